"""The tables that can be published, and the fields of their records."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import MAX_VALUE_BYTES, Change, split_key
from pumicenotch.distribution.errors import (
    InvalidRecordError,
    OversizedRecordError,
    UnknownTableError,
    UnreadableFormError,
)


class Field(NamedTuple):
    """A field of a record's value. Fields that the table does not define are allowed and kept."""

    name: str
    kinds: tuple[type, ...]
    required: bool = True


class Table(NamedTuple):
    """A named table; `form` is the newest form of its records that this program reads."""

    name: str
    fields: tuple[Field, ...]
    form: int = 1


NUMBER = (int, float)
TEXT = (str,)
TABLES: Mapping[str, Table] = {
    table.name: table
    for table in (
        Table("routes", (Field("upstream", TEXT), Field("timeout_ms", NUMBER, required=False))),
        Table("tenants", (Field("weight", NUMBER), Field("class", TEXT, required=False))),
        Table("homes", (Field("cell", TEXT),)),
        Table("policies", (Field("rate", NUMBER), Field("burst", NUMBER, required=False))),
    )
}


def canonical(value: Mapping[str, Any]) -> str:
    """Returns the canonical text of a record's value: sorted keys, no spaces, ASCII."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=True, allow_nan=False
    )


def table_of(tables: Mapping[str, Table], name: str) -> Table:
    """Returns the table with a name.

    Raises:
        UnknownTableError: there is no table with this name.
    """
    table = tables.get(name)
    if table is None:
        raise UnknownTableError(
            f"table {name!r:.40}", "there is none of this name", f"use one of {', '.join(tables)}"
        )
    return table


def check_change(tables: Mapping[str, Table], change: Change) -> None:
    """Checks that a change can be published.

    Raises:
        UnknownTableError: there is no table with its name.
        InvalidRecordError: its key or value is invalid, or its value is not canonical JSON.
        OversizedRecordError: its value is too long.
        UnreadableFormError: its form is newer than this program reads.
    """
    table = table_of(tables, change.table)
    place = f"record {change.table}:{change.key!s:.140}"
    split_key(place, change.key)
    if change.value is None:
        return
    value = read_value(table, change.key, change.value)
    if change.value != _canonical_or_none(value):
        raise InvalidRecordError(
            place, "the value is not canonical JSON", "sort its keys and leave out spaces"
        )


def read_value(table: Table, key: str, text: str) -> Mapping[str, Any]:
    """Parses the value of a record and checks it against its table.

    Raises:
        InvalidRecordError: the value is not a JSON object with the fields of its table.
        OversizedRecordError: the value is too long.
        UnreadableFormError: its form is newer than this program reads.
    """
    place = f"record {table.name}:{key}"
    if len(text) > MAX_VALUE_BYTES:
        raise OversizedRecordError(
            place,
            f"the value has {len(text)} bytes",
            f"keep it within {MAX_VALUE_BYTES}, or divide it",
        )
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        raise InvalidRecordError(place, "the value is not JSON", "publish a JSON object") from None
    if not isinstance(value, dict):
        raise InvalidRecordError(place, "the value is no object", "publish a JSON object")
    _check_form(table, place, value.get("form", 1))
    for field in table.fields:
        _check_field(place, field, value)
    return value


def _check_form(table: Table, place: str, form: Any) -> None:
    if type(form) is not int or form < 1:
        raise InvalidRecordError(
            place, f"form {form!r:.40} is no whole number from 1", "leave it out, or use 1"
        )
    if form > table.form:
        raise UnreadableFormError(
            place,
            f"its form is {form}, this program reads forms up to {table.form}",
            "upgrade this instance, or publish the record in an older form",
        )


def _check_field(place: str, field: Field, value: Mapping[str, Any]) -> None:
    if field.name not in value:
        if field.required:
            raise InvalidRecordError(
                place, f"the field {field.name} is missing", "publish it with the record"
            )
        return
    if type(value[field.name]) not in field.kinds:
        kind_names = " or ".join(kind.__name__ for kind in field.kinds)
        raise InvalidRecordError(
            place, f"the field {field.name} is no {kind_names}", f"publish a {kind_names}"
        )


def _canonical_or_none(value: Mapping[str, Any]) -> str | None:
    try:
        return canonical(value)
    except (ValueError, RecursionError):
        return None
