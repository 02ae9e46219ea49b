"""The fields of the entries by which the voters' log publishes: read before an entry is proposed, and again
where it is applied. What is checked here is the same in every program of one level.
"""

from collections.abc import Callable, Mapping
from typing import Any

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
from pumicenotch.distribution.publications.uploads import ADVICE, PART_BYTES_MOST, PART_CHANGES_MOST

Reader = Callable[[Any], Any]
WHY_MOST = 200
PLACE = "publication"


def identifier(told: Any) -> str:
    if not isinstance(told, str) or not KEY_PART_PATTERN.match(told):
        raise InvalidPublicationError(
            PLACE, f"{told!r:.80} is no id", f"use 1 to {MAX_KEY_PART_LENGTH} of A-Z a-z 0-9 . _ -"
        )
    return told


def identifier_or_none(told: Any) -> str:
    return identifier(told) if told != "" else ""


def whole_number(told: Any) -> int:
    if type(told) is not int or told < 0:
        raise InvalidPublicationError(PLACE, f"{told!r:.40} is no whole number from 0", "give one")
    return told


def reason(told: Any) -> str:
    if not isinstance(told, str) or not told.strip() or len(told) > WHY_MOST:
        raise InvalidPublicationError(
            PLACE, "it says nothing of who or why", f"give texts of 1 to {WHY_MOST} characters"
        )
    return told


def digest_text(told: Any) -> str:
    if not isinstance(told, str) or len(told) > MAX_KEY_PART_LENGTH:
        raise InvalidPublicationError(
            PLACE, "its digest is no text", "use changes_digest of its changes"
        )
    return told


def change_list(told: Any) -> tuple[Change, ...]:
    """The changes of one part."""
    if not isinstance(told, list | tuple) or len(told) > PART_CHANGES_MOST:
        raise OversizedPublicationError(
            PLACE, f"a part is no list of up to {PART_CHANGES_MOST} changes", ADVICE
        )
    changes = tuple(map(change_of, told))
    if sum(change.size for change in changes) > PART_BYTES_MOST + MAX_VALUE_BYTES:
        raise OversizedPublicationError(
            PLACE, f"a part has more than {PART_BYTES_MOST} bytes", ADVICE
        )
    return changes


def change_of(told: Any) -> Change:
    """One change, as any program reads it; its table's form is checked before it is proposed."""
    if not isinstance(told, list | tuple) or len(told) != 3 or not all(map(_is_text, told[:2])):
        raise InvalidRecordError(
            PLACE, f"{told!r:.80} is no change", "give [table, SCOPE/NAME, value]"
        )
    table, key, value = told
    split_key(f"record {table:.64}:{key:.140}", key)
    if not KEY_PART_PATTERN.match(table):
        raise InvalidRecordError(
            PLACE, f"{table!r:.80} is no name of a table", "use A-Z a-z 0-9 . _ -"
        )
    if value is not None and (
        not _is_text(value) or not value.isascii() or len(value) > MAX_VALUE_BYTES
    ):
        raise InvalidRecordError(
            f"record {table}:{key}",
            f"its value is no ASCII text of up to {MAX_VALUE_BYTES} bytes",
            "publish canonical JSON, or divide it",
        )
    return Change(table, key, value)


def _is_text(told: Any) -> bool:
    return isinstance(told, str)


VERBS: Mapping[str, tuple[Reader, ...]] = {
    "stage": (identifier, whole_number, whole_number, change_list),
    "publish": (
        identifier,
        identifier_or_none,
        whole_number,
        digest_text,
        whole_number,
        reason,
        reason,
        whole_number,
        change_list,
    ),
}
