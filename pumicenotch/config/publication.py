"""The file of a publication: JSON lines `{"table": ..., "key": ..., "value": {...} | null}`, one a record."""

import json
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.tables import TABLES, Table, canonical, check_change
from pumicenotch.distribution.errors import DistributionError, InvalidRecordError
from pumicenotch.errors import InputError

FILE_BYTES_MOST = 64 * 1024 * 1024
FAULTS_MOST = 20  # told at once
FIELDS = ("table", "key", "value")
FORM_REMEDY = 'give {"table": ..., "key": ..., "value": {...} or null}'

# Which forms are accepted is the voters' to say: they may know newer ones than this program.
ANY_FORM: Mapping[str, Table] = {
    name: table._replace(form=sys.maxsize) for name, table in TABLES.items()
}


class InvalidPublicationFileError(InputError):
    """What is wrong with a file, a line each: `FILE:LINE: what is wrong: what is allowed`."""


class PublicationFile(NamedTuple):
    changes: list[Change]
    lines: Mapping[tuple[str, str], int]  # of each record

    def line_of(self, refusal: str) -> int:
        """Of the record that a refusal of the voters is about; 0 if it is about none."""
        for (table, key), line in self.lines.items():
            if refusal.startswith(f"record {table}:{key}:"):
                return line
        return 0


def read_publication(path: Path) -> PublicationFile:
    """Raises InvalidPublicationFileError."""
    changes: list[Change] = []
    faults: list[str] = []
    first_lines: dict[tuple[str, str], int] = {}
    for number, line in enumerate(lines_of(path), 1):
        if not line.strip():
            continue
        try:
            change = change_of(line)
            check_repeated(change, first_lines, number)
            changes.append(change)
        except DistributionError as error:
            faults.append(f"{path}:{number}: {error}")
    if not changes and not faults:
        faults.append(f"{path}:1: there is no record in it: {FORM_REMEDY}")
    if len(faults) > FAULTS_MOST:
        faults[FAULTS_MOST:] = [f"{path}: {len(faults) - FAULTS_MOST} further lines are wrong"]
    if faults:
        raise InvalidPublicationFileError("\n".join(faults))
    return PublicationFile(changes, first_lines)


def lines_of(path: Path) -> list[str]:
    try:
        if (size := path.stat().st_size) > FILE_BYTES_MOST:
            raise InvalidPublicationFileError(
                f"{path}:1: {size} bytes: up to {FILE_BYTES_MOST} are allowed"
            )
        return path.read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise InvalidPublicationFileError(f"{path}:1: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidPublicationFileError(f"{path}:1: no UTF-8 at byte {error.start}") from None


def change_of(line: str) -> Change:
    """Raises DistributionError."""
    told = parsed(line)
    if not isinstance(told, dict) or set(told) != set(FIELDS):
        raise InvalidRecordError("line", "no object with exactly table, key and value", FORM_REMEDY)
    table, key, value = (told[name] for name in FIELDS)
    if not isinstance(table, str) or not isinstance(key, str):
        raise InvalidRecordError("line", "table and key are no texts", FORM_REMEDY)
    if value is not None and not isinstance(value, dict):
        raise InvalidRecordError(
            f"record {table}:{key}", "the value is neither object nor null", FORM_REMEDY
        )
    change = Change(table, key, None if value is None else text_of(table, key, value))
    check_change(ANY_FORM, change)
    return change


def parsed(line: str) -> Any:
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as error:
        raise InvalidRecordError("line", f"no JSON ({error})"[:200], FORM_REMEDY) from None


def text_of(table: str, key: str, value: Mapping[str, Any]) -> str:
    try:
        return canonical(value)
    except (ValueError, RecursionError) as error:
        raise InvalidRecordError(
            f"record {table}:{key}", f"no plain JSON value ({error})", FORM_REMEDY
        ) from None


def check_repeated(change: Change, first_lines: dict[tuple[str, str], int], number: int) -> None:
    first = first_lines.setdefault((change.table, change.key), number)
    if first != number:
        raise InvalidRecordError(
            f"record {change.table}:{change.key}",
            f"it stands in line {first} already",
            "name a record once",
        )
