"""Records and changes: keys, digests, and the bounds that every part keeps."""

import re
from hashlib import blake2b
from typing import NamedTuple

from pumicenotch.distribution.errors import InvalidRecordError

KEY_PART_MOST = 64  # characters of a scope, and of a name
VALUE_BYTES_MOST = 4096
SCOPE_RECORDS_MOST = 4096
TABLE_SCOPES_MOST = 8192
DIGEST_BYTES = 16
DIGEST_MODULUS = 1 << (8 * DIGEST_BYTES)
KEY_PART = re.compile(rf"[A-Za-z0-9._-]{{1,{KEY_PART_MOST}}}\Z")


class Change(NamedTuple):
    """One record's new value, a canonical JSON text; None deletes it. The key is SCOPE/NAME."""

    table: str
    key: str
    value: str | None

    @property
    def size(self) -> int:
        """About its bytes on the wire: values are ASCII as canonical JSON is."""
        return len(self.table) + len(self.key) + len(self.value or "") + RECORD_OVERHEAD_BYTES


RECORD_OVERHEAD_BYTES = 8


class ScopeId(NamedTuple):
    """The unit of subscription, of digests and of repair."""

    table: str
    scope: str


def split_key(place: str, key: str) -> tuple[str, str]:
    """The scope and the name of a record. Raises InvalidRecordError."""
    scope, slash, name = key.partition("/")
    if not slash or not KEY_PART.match(scope) or not KEY_PART.match(name):
        raise InvalidRecordError(
            place,
            f"key {key!r:.140} is not SCOPE/NAME",
            f"use 1 to {KEY_PART_MOST} of the characters A-Z a-z 0-9 . _ - for each",
        )
    return scope, name


def scope_of(change: Change) -> ScopeId:
    """Of a change whose key has been checked."""
    return ScopeId(change.table, change.key.partition("/")[0])


def record_digest(table: str, key: str, value: str) -> int:
    """One record's part of its scope's digest, which is the sum of these: it guards against faults, not
    against forgery.
    """
    text = f"{table}\0{key}\0{value}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


def digest_bytes(digest: int) -> bytes:
    return digest.to_bytes(DIGEST_BYTES, "big")
