"""Files that are there whole or not at all, and the cell map as such a file. Standard library alone."""

import os
from pathlib import Path

from pumicenotch.cells.map import CellMap, InvalidCellMapError, load


def put(path: Path, text: str) -> None:
    """In the place of what was there, at once: a full disk or a crash leaves the old, and so does a power
    loss. Raises OSError.
    """
    temporary = path.with_name(path.name + ".new")
    with temporary.open("w", encoding="utf-8") as file:
        file.write(text)
        file.flush()
        os.fsync(file.fileno())
    temporary.replace(path)


def cell_map(path: str | Path) -> tuple[CellMap, float]:
    """The map in that file, and when the file was last confirmed: written, or touched (Unix ms). Raises
    InvalidCellMapError.
    """
    try:
        with open(path, encoding="utf-8") as file:
            confirmed = os.fstat(file.fileno()).st_mtime * 1000.0
            return load(file.read(), str(path)), confirmed
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidCellMapError(
            f"{path}:1: cannot be read: {getattr(error, 'strerror', None) or error}"
        ) from None
