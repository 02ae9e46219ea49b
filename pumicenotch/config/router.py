"""The schema of the router's file."""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from pumicenotch.config.schema import Schema, read

Address = Annotated[str, Field(pattern=r"^.+:[0-9]{1,5}$")]


class RouterFile(Schema):
    listen: Address
    map: Annotated[str, Field(min_length=1)]  # the cell map; read again when it changes
    settings: Annotated[
        str, Field(min_length=1)
    ]  # a JSON file as LB_CONFIG names it: stages and their time limits
    stop_ms: Annotated[float, Field(ge=0.0, le=600_000.0)] = 3000.0
    sockets: Annotated[int, Field(ge=64, le=1_000_000)] = 1024
    seed: Annotated[int, Field(ge=0)] = 0


def router_of(path: str | Path) -> RouterFile:
    """With the other files' paths beside it. Raises InvalidFileError."""
    told, folder = read(path, RouterFile), Path(path).parent
    return told.model_copy(
        update={"map": str(folder / told.map), "settings": str(folder / told.settings)}
    )
