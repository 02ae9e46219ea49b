"""The schema of the router's file."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from pumicenotch.config.schema import Schema, read

Address = Annotated[str, Field(pattern=r"^.+:[0-9]{1,5}$")]


class RouterFile(Schema):
    """The router's file.

    Attributes:
        listen: The address for callers, `HOST:PORT`.
        map: The path of the cell map, which is read again when it changes.
        settings: The path of a JSON file as named by LB_CONFIG, with request classes and their time
            limits.
        stop_ms: The time from a request to shut down until the process is killed.
        sockets: The limit of sockets.
        seed: Seeds the random choice of nodes.
    """

    listen: Address
    map: Annotated[str, Field(min_length=1)]
    settings: Annotated[str, Field(min_length=1)]
    stop_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 3000.0
    sockets: Annotated[int, Field(ge=64, le=1_000_000)] = 1024
    seed: Annotated[int, Field(ge=0)] = 0


def router_of(path: str | Path) -> RouterFile:
    """Reads the router's file, and resolves relative paths in it against its folder.

    Raises:
        InvalidFileError: The file cannot be read or is invalid.
    """
    file, folder = read(path, RouterFile), Path(path).parent
    return file.model_copy(
        update={"map": str(folder / file.map), "settings": str(folder / file.settings)}
    )
