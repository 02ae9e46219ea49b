"""Writes files atomically, and reads the cell map. Uses the standard library only."""

import os
from collections.abc import Callable
from pathlib import Path

from pumicenotch.cells.map import CellMap, InvalidCellMapError, load
from pumicenotch.errors import PumicenotchError

MayReplace = Callable[[], bool]


class NotReplacedError(PumicenotchError):
    """A file was left as it was, because its replacement was no longer allowed."""

    def __init__(self, path: Path) -> None:
        remedy = "decide again whether to write it"
        super().__init__("the time to replace it has passed", place=str(path), remedy=remedy)


def always() -> bool:
    """Allows a file to be replaced at any time."""
    return True


def write_atomically(path: Path, text: str, may_replace: MayReplace = always) -> None:
    """Replaces a file atomically.

    After a full disk, a crash or a power loss the file has its old content or its new one.

    Args:
        path: The file.
        text: The new content.
        may_replace: Called once the new content is on the disk, right before it takes effect.

    Raises:
        OSError: The file cannot be written.
        NotReplacedError: `may_replace` returned False. The file is as it was.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    if not may_replace():
        temporary.unlink()
        raise NotReplacedError(path)
    temporary.replace(path)


def load_cell_map(path: str | Path) -> tuple[CellMap, float]:
    """Reads a cell map file.

    Returns the map and when it was last confirmed as the newest: the modification time of the file in
    Unix ms, which whoever publishes maps updates by writing or touching the file.

    Raises:
        InvalidCellMapError: The file cannot be read or is invalid.
    """
    try:
        with open(path, encoding="utf-8") as file:
            confirmed_at = os.fstat(file.fileno()).st_mtime * 1000.0
            return load(file.read(), str(path)), confirmed_at
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidCellMapError(
            f"{path}:1: cannot be read: {getattr(error, 'strerror', None) or error}"
        ) from None
