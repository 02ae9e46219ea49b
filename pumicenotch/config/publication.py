"""Reads the file of a publication, which has one JSON object per line and record.

Each line is `{"table": ..., "key": ..., "value": {...} | null}`; null deletes the record.
"""

import json
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.tables import TABLES, Table, canonical, check_change
from pumicenotch.distribution.errors import DistributionError, InvalidRecordError
from pumicenotch.errors import InputError

MAX_FILE_BYTES = 64 * 1024 * 1024
# Errors that are reported in full; further ones are only counted.
MAX_FAULTS = 20
FIELDS = ("table", "key", "value")
FORM_REMEDY = 'give {"table": ..., "key": ..., "value": {...} or null}'

# The voters decide which forms are accepted: they may know newer ones than this program.
ANY_FORM: Mapping[str, Table] = {
    name: table._replace(form=sys.maxsize) for name, table in TABLES.items()
}


class InvalidPublicationFileError(InputError):
    """A file is invalid. Each line of the text is `FILE:LINE: what is wrong: what is allowed`."""


class PublicationFile(NamedTuple):
    """The content of a file.

    Attributes:
        changes: The changes in the order of the file.
        lines: The line of each record, by table and key.
    """

    changes: list[Change]
    lines: Mapping[tuple[str, str], int]

    def line_of(self, refusal: str) -> int:
        """Returns the line of the record that the voters' refusal names; 0 if it names none."""
        for (table, key), line in self.lines.items():
            if refusal.startswith(f"record {table}:{key}:"):
                return line
        return 0


def read_publication(path: Path) -> PublicationFile:
    """Reads and checks a file. Raises InvalidPublicationFileError."""
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
        faults.append(f"{path}:1: the file has no records: {FORM_REMEDY}")
    if len(faults) > MAX_FAULTS:
        faults[MAX_FAULTS:] = [f"{path}: {len(faults) - MAX_FAULTS} further lines are invalid"]
    if faults:
        raise InvalidPublicationFileError("\n".join(faults))
    return PublicationFile(changes, first_lines)


def lines_of(path: Path) -> list[str]:
    """Returns the lines of the file. Raises InvalidPublicationFileError."""
    try:
        if (size := path.stat().st_size) > MAX_FILE_BYTES:
            raise InvalidPublicationFileError(
                f"{path}:1: {size} bytes: at most {MAX_FILE_BYTES} are allowed"
            )
        return path.read_text(encoding="utf-8").splitlines()
    except OSError as error:
        raise InvalidPublicationFileError(f"{path}:1: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise InvalidPublicationFileError(f"{path}:1: not UTF-8 at byte {error.start}") from None


def change_of(line: str) -> Change:
    """Returns the change in a line. Raises DistributionError."""
    document = parse_json(line)
    if not isinstance(document, dict) or set(document) != set(FIELDS):
        raise InvalidRecordError(
            "line", "not an object with exactly table, key and value", FORM_REMEDY
        )
    table, key, value = (document[name] for name in FIELDS)
    if not isinstance(table, str) or not isinstance(key, str):
        raise InvalidRecordError("line", "table and key must be text", FORM_REMEDY)
    if value is not None and not isinstance(value, dict):
        raise InvalidRecordError(
            f"record {table}:{key}", "the value is neither an object nor null", FORM_REMEDY
        )
    change = Change(table, key, None if value is None else canonical_text(table, key, value))
    check_change(ANY_FORM, change)
    return change


def parse_json(line: str) -> Any:
    """Parses a line. Raises InvalidRecordError."""
    try:
        return json.loads(line)
    except (ValueError, RecursionError) as error:
        raise InvalidRecordError("line", f"not JSON ({error})"[:200], FORM_REMEDY) from None


def canonical_text(table: str, key: str, value: Mapping[str, Any]) -> str:
    """Returns the canonical JSON of a record's value. Raises InvalidRecordError."""
    try:
        return canonical(value)
    except (ValueError, RecursionError) as error:
        raise InvalidRecordError(
            f"record {table}:{key}", f"not a plain JSON value ({error})", FORM_REMEDY
        ) from None


def check_repeated(change: Change, first_lines: dict[tuple[str, str], int], number: int) -> None:
    """Raises InvalidRecordError if an earlier line has the same record."""
    first = first_lines.setdefault((change.table, change.key), number)
    if first != number:
        raise InvalidRecordError(
            f"record {change.table}:{change.key}",
            f"already defined in line {first}",
            "name a record once",
        )
