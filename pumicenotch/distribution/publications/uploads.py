"""Uploads: large publications are staged in parts, and then published as one version."""

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

# Limits of one part, and of a whole publication.
MAX_PART_CHANGES = 200
MAX_PART_BYTES = 32 * 1024
MAX_CHANGES = 100_000
MAX_BYTES = 32 * 1024 * 1024
# Number of unfinished uploads. A further one replaces the oldest.
MAX_UPLOADS = 4
OVERSIZED_REMEDY = "divide it into several publications"


def changes_digest(changes: Sequence[Change]) -> str:
    """Returns the digest of the changes of a publication, which does not depend on their order."""
    total = sum(record_digest(change.table, change.key, change.value or "") for change in changes)
    return f"{total % DIGEST_MODULUS:032x}"


class Upload:
    """The staged changes of one publication.

    Attributes:
        previous: the version that the publication was made against.
        parts: the number of parts that have been staged.
    """

    def __init__(self, view: View) -> None:
        self.previous = view.version
        self.parts = 0
        self._changes = ChangeSet()
        self._builder = Builder(view)
        self._keys: set[tuple[str, str]] = set()
        self._digest = 0

    @property
    def digest(self) -> str:
        """The digest of the staged changes."""
        return f"{self._digest % DIGEST_MODULUS:032x}"

    def add(self, changes: Sequence[Change]) -> None:
        """Stages the next part. After an error, the upload must be discarded.

        Raises:
            InvalidPublicationError: a record occurs twice in the upload.
            OversizedPublicationError: the upload has too many changes or bytes.
            OversizedScopeError: a scope or a table would become too large.
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
        if self._changes.count > MAX_CHANGES or self._changes.size > MAX_BYTES:
            raise OversizedPublicationError(
                "publication",
                f"more than {MAX_CHANGES} changes or {MAX_BYTES} bytes",
                OVERSIZED_REMEDY,
            )

    def finish(self) -> tuple[View, LogEntry]:
        """Returns the view with all staged changes, and the entry for the change log."""
        view = self._builder.finish(self.previous + 1)
        digests = {scope_id: self._builder.digest(scope_id) for scope_id in self._changes.scopes}
        return view, LogEntry(self.previous, view.version, self._changes, digests)

    def changes(self) -> list[Change]:
        """Returns all staged changes, grouped by scope."""
        return [change for changes in self._changes.scopes.values() for change in changes]


def entries_of(
    request: str,
    previous: int,
    published_by: str,
    reason: str,
    published_at_ms: int,
    changes: Sequence[Change],
) -> list[tuple[Any, ...]]:
    """Returns the log entries that publish changes as one version.

    Args:
        request: a unique identifier of the publication.
        previous: the version that the publication is made against.
        published_by: the publisher.
        reason: the reason for the publication.
        published_at_ms: Unix time in milliseconds.
        changes: all changes of the publication.

    Returns:
        Entries as (verb, *fields): a `stage` for each part and then a `publish`, or a `publish`
        alone if all changes fit into one part.
    """
    parts = [[list(change) for change in part] for part in _divide(changes)]
    digest = changes_digest(changes)
    publication = (digest, previous, published_by, reason, published_at_ms)
    if len(parts) == 1:
        return [("publish", request, "", 0, *publication, parts[0])]
    staged: list[tuple[Any, ...]] = [
        ("stage", request, number, previous, part) for number, part in enumerate(parts)
    ]
    return [*staged, ("publish", request, request, len(parts), *publication, [])]


def _divide(changes: Sequence[Change]) -> list[list[Change]]:
    parts: list[list[Change]] = [[]]
    size = 0
    for change in changes:
        size += change.size
        if parts[-1] and (size > MAX_PART_BYTES or len(parts[-1]) >= MAX_PART_CHANGES):
            parts.append([])
            size = change.size
        parts[-1].append(change)
    return parts
