"""Records and changes: their keys, their digests and the limits that apply to them."""

import re
from hashlib import blake2b
from typing import NamedTuple

from pumicenotch.distribution.errors import InvalidRecordError

# Limit on the length of a scope and of a name, in characters.
MAX_KEY_PART_LENGTH = 64
MAX_VALUE_BYTES = 4096
MAX_SCOPE_RECORDS = 4096
MAX_TABLE_SCOPES = 8192
DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)
KEY_PART_PATTERN = re.compile(rf"[A-Za-z0-9._-]{{1,{MAX_KEY_PART_LENGTH}}}\Z")


class Change(NamedTuple):
    """The new value of one record, or its deletion.

    Attributes:
        table: the record's table.
        key: the key of the record, as SCOPE/NAME.
        value: the value as canonical JSON; None deletes the record.
    """

    table: str
    key: str
    value: str | None

    @property
    def size(self) -> int:
        """The approximate size on the wire in bytes. Values are ASCII, as canonical JSON is."""
        return len(self.table) + len(self.key) + len(self.value or "") + RECORD_OVERHEAD_BYTES


# Approximate overhead of one record on the wire.
RECORD_OVERHEAD_BYTES = 8


class ScopeId(NamedTuple):
    """A scope of a table: the unit of subscription, of digests and of repair."""

    table: str
    scope: str


def split_key(place: str, key: str) -> tuple[str, str]:
    """Returns the scope and the name of a record.

    Raises:
        InvalidRecordError: the key is not SCOPE/NAME.
    """
    scope, slash, name = key.partition("/")
    if not slash or not KEY_PART_PATTERN.match(scope) or not KEY_PART_PATTERN.match(name):
        raise InvalidRecordError(
            place,
            f"key {key!r:.140} is not SCOPE/NAME",
            f"use 1 to {MAX_KEY_PART_LENGTH} of the characters A-Z a-z 0-9 . _ - for each",
        )
    return scope, name


def scope_of(change: Change) -> ScopeId:
    """Returns the scope of a change whose key has been checked."""
    return ScopeId(change.table, change.key.partition("/")[0])


def record_digest(table: str, key: str, value: str) -> int:
    """Returns the digest of one record. A scope's digest is the sum of those of its records.

    The digest detects faults. It does not protect against forgery.
    """
    text = f"{table}\0{key}\0{value}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


def digest_bytes(digest: int) -> bytes:
    """Returns the encoding of a digest on the wire."""
    return digest.to_bytes(DIGEST_BYTES, "big")
