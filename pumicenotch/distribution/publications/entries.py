"""The entries of the voters' log that publish configuration: `(verb, *fields)`.

The fields of an entry are read before it is proposed, and again when it is applied. The checks in
this module are the same in all programs of one level.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import (
    KEY_PART_PATTERN,
    MAX_KEY_PART_LENGTH,
    MAX_VALUE_BYTES,
    Change,
    split_key,
)
from pumicenotch.distribution.errors import (
    InvalidPublicationError,
    InvalidRecordError,
    OversizedPublicationError,
)
from pumicenotch.distribution.publications.uploads import (
    MAX_PART_BYTES,
    MAX_PART_CHANGES,
    OVERSIZED_REMEDY,
)

MAX_REASON_LENGTH = 200
ERROR_PLACE = "publication"

FieldReader = Callable[[Any], Any]


class StageEntry(NamedTuple):
    """Stages one part of an upload.

    Attributes:
        upload: the identifier of the upload.
        part: the number of the part, from 0.
        previous: the version that the publication was made against.
        changes: the changes of the part.
    """

    upload: str
    part: int
    previous: int
    changes: tuple[Change, ...]


class PublishEntry(NamedTuple):
    """Publishes an upload or, if `parts` is 0, the changes in this entry.

    Attributes:
        request: the identifier of the request; a retry with it changes nothing.
        upload: the identifier of the upload; empty if there is none.
        parts: the number of parts of the upload.
        digest: the digest of all changes.
        previous: the version that the publication was made against.
        published_by: the publisher.
        reason: the reason for the publication.
        published_at_ms: Unix time in milliseconds.
        changes: the changes of a publication without an upload.
    """

    request: str
    upload: str
    parts: int
    digest: str
    previous: int
    published_by: str
    reason: str
    published_at_ms: int
    changes: tuple[Change, ...]


PublicationEntry = StageEntry | PublishEntry


def entry_of(verb: str, fields: tuple[Any, ...]) -> PublicationEntry:
    """Returns the entry with the given fields, which the readers of `FIELD_READERS` have read."""
    return StageEntry._make(fields) if verb == "stage" else PublishEntry._make(fields)


def read_identifier(value: Any) -> str:
    """Reads an identifier."""
    if not isinstance(value, str) or not KEY_PART_PATTERN.match(value):
        raise InvalidPublicationError(
            ERROR_PLACE,
            f"{value!r:.80} is no id",
            f"use 1 to {MAX_KEY_PART_LENGTH} of A-Z a-z 0-9 . _ -",
        )
    return value


def read_optional_identifier(value: Any) -> str:
    """Reads an identifier or an empty string."""
    return read_identifier(value) if value != "" else ""


def read_number(value: Any) -> int:
    """Reads a non-negative integer."""
    if type(value) is not int or value < 0:
        raise InvalidPublicationError(
            ERROR_PLACE, f"{value!r:.40} is no whole number from 0", "give one"
        )
    return value


def read_reason(value: Any) -> str:
    """Reads the publisher or the reason of a publication."""
    if not isinstance(value, str) or not value.strip() or len(value) > MAX_REASON_LENGTH:
        raise InvalidPublicationError(
            ERROR_PLACE,
            "it does not say who publishes, or why",
            f"give texts of 1 to {MAX_REASON_LENGTH} characters",
        )
    return value


def read_digest(value: Any) -> str:
    """Reads the digest of a publication."""
    if not isinstance(value, str) or len(value) > MAX_KEY_PART_LENGTH:
        raise InvalidPublicationError(
            ERROR_PLACE, "its digest is no text", "use changes_digest of its changes"
        )
    return value


def read_changes(value: Any) -> tuple[Change, ...]:
    """Reads the changes of one part."""
    if not isinstance(value, list | tuple) or len(value) > MAX_PART_CHANGES:
        raise OversizedPublicationError(
            ERROR_PLACE,
            f"a part is no list of up to {MAX_PART_CHANGES} changes",
            OVERSIZED_REMEDY,
        )
    changes = tuple(map(read_change, value))
    if sum(change.size for change in changes) > MAX_PART_BYTES + MAX_VALUE_BYTES:
        raise OversizedPublicationError(
            ERROR_PLACE, f"a part has more than {MAX_PART_BYTES} bytes", OVERSIZED_REMEDY
        )
    return changes


def read_change(value: Any) -> Change:
    """Reads one change with the checks that all programs of one level share.

    `Publications.admit` checks the value against its table before the entry is proposed.
    """
    if not isinstance(value, list | tuple) or len(value) != 3 or not all(map(_is_text, value[:2])):
        raise InvalidRecordError(
            ERROR_PLACE, f"{value!r:.80} is no change", "give [table, SCOPE/NAME, value]"
        )
    table, key, text = value
    split_key(f"record {table:.64}:{key:.140}", key)
    if not KEY_PART_PATTERN.match(table):
        raise InvalidRecordError(
            ERROR_PLACE, f"{table!r:.80} is no name of a table", "use A-Z a-z 0-9 . _ -"
        )
    if text is not None and (
        not _is_text(text) or not text.isascii() or len(text) > MAX_VALUE_BYTES
    ):
        raise InvalidRecordError(
            f"record {table}:{key}",
            f"its value is no ASCII text of up to {MAX_VALUE_BYTES} bytes",
            "publish canonical JSON, or divide it",
        )
    return Change(table, key, text)


def _is_text(value: Any) -> bool:
    return isinstance(value, str)


# The readers of an entry's fields, by verb.
FIELD_READERS: Mapping[str, tuple[FieldReader, ...]] = {
    "stage": (read_identifier, read_number, read_number, read_changes),
    "publish": (
        read_identifier,
        read_optional_identifier,
        read_number,
        read_digest,
        read_number,
        read_reason,
        read_reason,
        read_number,
        read_changes,
    ),
}
