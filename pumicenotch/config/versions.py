"""Versions as folders, known by their content: what is there is hashed, so that half a copy is none."""

import hashlib
import os
import shutil
from pathlib import Path

from pumicenotch.errors import InputError
from pumicenotch.fleet.releases.release import VERSION_PATTERN

LETTERS = 32  # of a version's name: 128 bits
CHUNK = 1 << 20
PART = ".part-"  # how a folder is called until it is whole


class InvalidVersionError(InputError):
    """The folder is no version, or not the one that was wanted."""


def content(folder: Path) -> str:
    """The version that a folder holds: of every file its path, whether it may be run, and its bytes; compiled
    Python is left out. Raises InvalidVersionError.
    """
    whole = hashlib.sha256()
    try:
        found = sorted(path for path in folder.rglob("*") if path.is_file() or path.is_symlink())
        for path in found:
            name = path.relative_to(folder).as_posix()
            if "__pycache__" in path.parts:
                continue
            if path.is_symlink():
                raise InvalidVersionError(f"{path}: a link: a version holds all that it is")
            one = hashlib.sha256()
            with path.open("rb") as file:
                while data := file.read(CHUNK):
                    one.update(data)
            runs = os.access(path, os.X_OK)
            whole.update(f"{len(name)}:{name}:{int(runs)}:{one.hexdigest()}\n".encode())
    except OSError as error:
        raise InvalidVersionError(f"{folder}: {error.strerror or error}") from None
    if not found:
        raise InvalidVersionError(f"{folder}: holds nothing")
    return whole.hexdigest()[:LETTERS]


def fetch(version: str, source: Path, into: Path) -> None:
    """Copies SOURCE/VERSION into INTO/VERSION, there only once it is whole and checked. Raises InvalidVersionError."""
    if not VERSION_PATTERN.fullmatch(version):
        raise InvalidVersionError(f"{version!r:.80} names no version")
    put(source / version, version, into)


def pack(folder: Path, into: Path) -> str:
    """Puts a folder among the versions that agents fetch from; its version. Raises InvalidVersionError."""
    version = content(folder)
    put(folder, version, into)
    return version


def put(folder: Path, version: str, into: Path) -> None:
    goal, part = into / version, into / f"{PART}{version}"
    try:
        if goal.is_dir():
            if content(goal) == version:
                return
            shutil.rmtree(goal)  # spoilt since: put there again
        into.mkdir(parents=True, exist_ok=True)
        shutil.rmtree(part, ignore_errors=True)
        shutil.copytree(folder, part, ignore=shutil.ignore_patterns("__pycache__"))
        if (found := content(part)) != version:
            raise InvalidVersionError(f"half a copy, or another version: {found} is in {folder}")
        sync(part)
        part.rename(goal)
        sync(into)
    except shutil.Error as error:
        raise InvalidVersionError(
            f"{folder}: {error.args[0][0][2] if error.args[0] else error}"
        ) from None
    except OSError as error:
        raise InvalidVersionError(
            f"{error.filename or folder}: {error.strerror or error}"
        ) from None
    finally:
        shutil.rmtree(part, ignore_errors=True)


def sync(folder: Path) -> None:
    """What was written there outlasts a power loss."""
    for path in [*folder.rglob("*"), folder]:
        handle = os.open(path, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


def remove(folder: Path) -> None:
    """Out of sight at once, then away: half of one is never taken for a version."""
    gone = folder.with_name(f"{PART}gone-{folder.name}")
    folder.rename(gone)
    shutil.rmtree(gone, ignore_errors=True)


def held(into: Path) -> list[str]:
    """The versions there; what an agent's end has left half copied is taken away."""
    into.mkdir(parents=True, exist_ok=True)
    for path in into.iterdir():
        if path.name.startswith(PART):
            shutil.rmtree(path, ignore_errors=True)
    return sorted(path.name for path in into.iterdir() if path.is_dir())
