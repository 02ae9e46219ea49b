"""Versions of programs and files as folders that are named by a hash of their content.

The hash reveals an incomplete copy.
"""

import hashlib
import os
import shutil
from pathlib import Path

from pumicenotch.errors import InputError
from pumicenotch.fleet.releases.release import VERSION_PATTERN

NAME_LENGTH = 32  # hexadecimal digits: 128 bits of the hash
CHUNK_BYTES = 1 << 20
PART = ".part-"  # name prefix of a folder that is incomplete or being removed


class InvalidVersionError(InputError):
    """A folder is not a version, or not the expected one."""


def version_of(folder: Path) -> str:
    """Returns the version in a folder.

    The hash covers the path, the executable bit and the bytes of each file, but no compiled Python.

    Raises:
        InvalidVersionError: The folder cannot be read, is empty or contains a link.
    """
    digest = hashlib.sha256()
    try:
        paths = sorted(path for path in folder.rglob("*") if path.is_file() or path.is_symlink())
        for path in paths:
            name = path.relative_to(folder).as_posix()
            if "__pycache__" in path.parts:
                continue
            if path.is_symlink():
                raise InvalidVersionError(f"{path}: a link: a version holds all that it is")
            file_digest = hashlib.sha256()
            with path.open("rb") as file:
                while data := file.read(CHUNK_BYTES):
                    file_digest.update(data)
            is_executable = os.access(path, os.X_OK)
            digest.update(
                f"{len(name)}:{name}:{int(is_executable)}:{file_digest.hexdigest()}\n".encode()
            )
    except OSError as error:
        raise InvalidVersionError(f"{folder}: {error.strerror or error}") from None
    if not paths:
        raise InvalidVersionError(f"{folder}: holds nothing")
    return digest.hexdigest()[:NAME_LENGTH]


def fetch(version: str, source: Path, into: Path) -> None:
    """Copies a version between folders of versions. The copy appears once it is complete and checked.

    Raises:
        InvalidVersionError: The name is invalid, or the copy failed or has another content.
    """
    if not VERSION_PATTERN.fullmatch(version):
        raise InvalidVersionError(f"{version!r:.80} names no version")
    install(source / version, version, into)


def pack(folder: Path, into: Path) -> str:
    """Copies a folder to the versions that agents fetch, and returns its version.

    Raises:
        InvalidVersionError: The folder is not a version, or the copy failed.
    """
    version = version_of(folder)
    install(folder, version, into)
    return version


def install(folder: Path, version: str, into: Path) -> None:
    """Copies a folder to `into` under the name of its version, unless it is there already.

    Raises:
        InvalidVersionError: The copy failed or has another content.
    """
    target, part = into / version, into / f"{PART}{version}"
    try:
        if target.is_dir():
            if version_of(target) == version:
                return
            shutil.rmtree(target)  # corrupted since it was copied
        into.mkdir(parents=True, exist_ok=True)
        shutil.rmtree(part, ignore_errors=True)
        shutil.copytree(folder, part, ignore=shutil.ignore_patterns("__pycache__"))
        if (found := version_of(part)) != version:
            raise InvalidVersionError(f"half a copy, or another version: {found} is in {folder}")
        sync(part)
        part.rename(target)
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
    """Flushes a folder to disk, so that its content survives a power loss."""
    for path in [*folder.rglob("*"), folder]:
        descriptor = os.open(path, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def remove(folder: Path) -> None:
    """Removes a version. It is renamed first, so that a partly removed one is never used."""
    renamed = folder.with_name(f"{PART}gone-{folder.name}")
    folder.rename(renamed)
    shutil.rmtree(renamed, ignore_errors=True)


def list_versions(into: Path) -> list[str]:
    """Returns the versions in a folder, and removes copies that a stopped agent left incomplete."""
    into.mkdir(parents=True, exist_ok=True)
    for path in into.iterdir():
        if path.name.startswith(PART):
            shutil.rmtree(path, ignore_errors=True)
    return sorted(path.name for path in into.iterdir() if path.is_dir())
