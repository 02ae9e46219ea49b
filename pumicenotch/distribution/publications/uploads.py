"""Publications on their way into the book: the parts of a large one are staged before it is published."""

from collections.abc import Sequence
from typing import Any

from pumicenotch.distribution.data.changelog import ChangeSet, LogEntry
from pumicenotch.distribution.data.records import (
    DIGEST_MODULUS,
    Change,
    record_digest,
    scope_of,
)
from pumicenotch.distribution.data.view import Builder, View
from pumicenotch.distribution.errors import InvalidPublicationError, OversizedPublicationError

PART_CHANGES_MOST = 200
PART_BYTES_MOST = 32 * 1024
CHANGES_MOST = 100_000
BYTES_MOST = 32 * 1024 * 1024
UPLOADS_MOST = 4  # at once; the oldest gives way
ADVICE = "divide it into several publications"


def changes_digest(changes: Sequence[Change]) -> str:
    """Of all changes of a publication, in any order: whether what is staged is what was meant."""
    total = sum(record_digest(change.table, change.key, change.value or "") for change in changes)
    return f"{total % DIGEST_MODULUS:032x}"


class Upload:
    """What is staged of one publication, onto the version that it was made against."""

    def __init__(self, view: View) -> None:
        self.previous = view.version
        self.parts = 0
        self._changes = ChangeSet()
        self._builder = Builder(view)
        self._keys: set[tuple[str, str]] = set()
        self._digest = 0

    @property
    def digest(self) -> str:
        return f"{self._digest % DIGEST_MODULUS:032x}"

    def add(self, changes: Sequence[Change]) -> None:
        """The next part. Raises OversizedPublicationError, OversizedScopeError and InvalidPublicationError; the upload is
        of no use after that.
        """
        for change in changes:
            if (change.table, change.key) in self._keys:
                raise InvalidPublicationError(
                    f"record {change.table}:{change.key}",
                    "it is named twice",
                    "name each record once",
                )
            self._keys.add((change.table, change.key))
            self._builder.put(change)
            self._changes.add(scope_of(change), change)
            self._digest += record_digest(change.table, change.key, change.value or "")
        self.parts += 1
        if self._changes.count > CHANGES_MOST or self._changes.size > BYTES_MOST:
            raise OversizedPublicationError(
                "publication", f"more than {CHANGES_MOST} changes or {BYTES_MOST} bytes", ADVICE
            )

    def finish(self) -> tuple[View, LogEntry]:
        """The view with all of it in force, and what the log of changes keeps."""
        view = self._builder.finish(self.previous + 1)
        digests = {scope_id: self._builder.digest(scope_id) for scope_id in self._changes.scopes}
        return view, LogEntry(self.previous, view.version, self._changes, digests)

    def changes(self) -> list[Change]:
        return [change for changes in self._changes.scopes.values() for change in changes]


def entries_of(
    request: str, previous: int, by: str, why: str, at_ms: int, changes: Sequence[Change]
) -> list[tuple[Any, ...]]:
    """The entries by which a publisher has a list of changes published: one, or parts and one. `request` is
    an id of its own for each publication.
    """
    parts = _divided(changes)
    told = [[list(change) for change in part] for part in parts]
    digest = changes_digest(changes)
    if len(told) == 1:
        return [("publish", request, "", 0, digest, previous, by, why, at_ms, told[0])]
    staged: list[tuple[Any, ...]] = [
        ("stage", request, number, previous, part) for number, part in enumerate(told)
    ]
    return [*staged, ("publish", request, request, len(told), digest, previous, by, why, at_ms, [])]


def _divided(changes: Sequence[Change]) -> list[list[Change]]:
    parts: list[list[Change]] = [[]]
    size = 0
    for change in changes:
        size += change.size
        if parts[-1] and (size > PART_BYTES_MOST or len(parts[-1]) >= PART_CHANGES_MOST):
            parts.append([])
            size = change.size
        parts[-1].append(change)
    return parts
