"""A bounded log of changes, from which replicas fetch the versions that they missed.

A replica that missed more versions than the log contains compares scope digests instead.
"""

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from itertools import islice
from typing import NamedTuple

from pumicenotch.distribution.data.records import Change, ScopeId, scope_of
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.messages import (
    MAX_PAGE_BYTES,
    MAX_PAGE_CHANGES,
    START,
    Cursor,
    ScopeDigest,
)

MAX_LOG_ENTRIES = 4096
MAX_LOG_BYTES = 8 * 1024 * 1024
# Number of entries that are merged into one page at most.
MAX_MERGED_ENTRIES = 256
DIGEST_OVERHEAD_BYTES = 24
# The size of an entry with at most this many changes is not filtered by scope, to save work.
MAX_UNFILTERED_CHANGES = 16


class ChangeSet:
    """Changes grouped by scope. Their sizes are kept, so that no step passes over all changes."""

    __slots__ = ("count", "scopes", "size", "sizes")

    def __init__(self, changes: Iterable[Change] = ()) -> None:
        self.scopes: dict[ScopeId, list[Change]] = {}
        self.sizes: dict[ScopeId, int] = {}
        self.size = 0
        self.count = 0
        for change in changes:
            self.add(scope_of(change), change)

    def add(self, scope_id: ScopeId, change: Change) -> None:
        """Adds a change of a scope."""
        size = change.size
        self.scopes.setdefault(scope_id, []).append(change)
        self.sizes[scope_id] = self.sizes.get(scope_id, DIGEST_OVERHEAD_BYTES) + size
        self.size += size
        self.count += 1


class LogEntry:
    """The changes from version `previous` to `version`, by scope, with the digests at `version`."""

    __slots__ = ("count", "digests", "encoded", "previous", "scopes", "size", "sizes", "version")

    def __init__(
        self, previous: int, version: int, changes: ChangeSet, digests: Mapping[ScopeId, int]
    ) -> None:
        self.previous = previous
        self.version = version
        self.scopes = {scope_id: changes.scopes[scope_id] for scope_id in sorted(changes.scopes)}
        self.sizes = changes.sizes
        self.digests = digests
        self.size = changes.size
        self.count = changes.count
        # The line of this entry in a snapshot, cached by the encoder.
        self.encoded: bytes | None = None


class Page(NamedTuple):
    """A part of the changes from one version to another; `done` is set on the last part."""

    previous: int
    version: int
    start: Cursor
    end: Cursor
    done: bool
    changes: tuple[Change, ...]
    digests: tuple[ScopeDigest, ...]


class ChangeLog:
    """A contiguous sequence of entries: each one starts from the version of the one before.

    The oldest entries are dropped when the log exceeds its number of entries or bytes.

    Attributes:
        base: the oldest version from which the log continues.
        entries: the entries from the oldest to the newest.
        size: the size of all entries in bytes.
    """

    def __init__(
        self,
        version: int = 0,
        *,
        max_entries: int = MAX_LOG_ENTRIES,
        max_bytes: int = MAX_LOG_BYTES,
    ) -> None:
        self.base = version
        self.entries: list[LogEntry] = []
        self.size = 0
        self._max_entries = max_entries
        self._max_bytes = max_bytes

    @property
    def version(self) -> int:
        """The version of the newest entry, or `base` if the log is empty."""
        return self.entries[-1].version if self.entries else self.base

    def append(self, entry: LogEntry) -> None:
        """Appends the next entry. An entry that leaves a gap is dropped and resets the log."""
        if entry.previous != self.version:
            self.reset(entry.version)
            return
        self.entries.append(entry)
        self.size += entry.size
        self._compact()

    def reset(self, version: int) -> None:
        """Drops all entries and continues from a version."""
        self.base = version
        self.entries = []
        self.size = 0

    def _compact(self) -> None:
        dropped = 0
        while self.size > self._max_bytes or len(self.entries) - dropped > self._max_entries:
            entry = self.entries[dropped]
            self.size -= entry.size
            self.base = entry.version
            dropped += 1
        del self.entries[:dropped]

    def index_after(self, version: int) -> int | None:
        """Returns the index of the entry that starts from a version; None if there is none."""
        index = bisect_left(self.entries, version, key=lambda entry: entry.previous)
        if index < len(self.entries) and self.entries[index].previous == version:
            return index
        return None

    def page(
        self,
        have: int,
        start: Cursor,
        subscription: Subscription,
        max_bytes: int = MAX_PAGE_BYTES,
    ) -> Page | None:
        """Returns the changes after version `have` that fit into one page.

        Args:
            have: the version that the receiver has.
            start: the position of the page in the changes of the next version.
            subscription: the scopes of the receiver; changes of other scopes are left out.
            max_bytes: the limit on the size of the page, which has at least one change.

        Returns:
            The page; None if the log does not continue from version `have`.
        """
        index = self.index_after(have)
        if index is None:
            return None
        merged = self.complete_page(have, subscription, max_bytes) if start == START else None
        return merged or entry_page(self.entries[index], start, subscription, max_bytes)

    def complete_page(self, have: int, subscription: Subscription, max_bytes: int) -> Page | None:
        """Returns one or more complete versions after `have`; None if the next one does not fit."""
        index = self.index_after(have)
        if index is None or self._filtered_size(self.entries[index], subscription) > max_bytes:
            return None
        return self._merged_page(index, subscription, max_bytes)

    @staticmethod
    def _filtered_size(entry: LogEntry, subscription: Subscription) -> int:
        """Returns the subscribed bytes of an entry; MAX_PAGE_BYTES + 1 if no page can hold it.

        For an entry with few changes, this is its total size.
        """
        if entry.count <= MAX_UNFILTERED_CHANGES:
            return entry.size
        count = 0
        size = 0
        for scope_id, changes in entry.scopes.items():
            if subscription.contains(*scope_id):
                count += len(changes)
                size += entry.sizes[scope_id]
                if size > MAX_PAGE_BYTES or count > MAX_PAGE_CHANGES:
                    return MAX_PAGE_BYTES + 1
        return size

    def _merged_page(self, index: int, subscription: Subscription, max_bytes: int) -> Page:
        """Returns several versions as one page, with only the last change of each record."""
        changes: dict[tuple[str, str], Change] = {}
        digests: dict[ScopeId, int] = {}
        size = 0
        previous = self.entries[index].previous
        version = self.entries[index].version
        for entry in self.entries[index : index + MAX_MERGED_ENTRIES]:
            entry_size = self._filtered_size(entry, subscription)
            fits = size + entry_size <= max_bytes
            fits = fits and len(changes) + entry.count <= MAX_PAGE_CHANGES
            if entry.previous != previous and not fits:
                break
            size += entry_size
            version = entry.version
            for scope_id, scope_changes in entry.scopes.items():
                if subscription.contains(*scope_id):
                    changes.update(((change.table, change.key), change) for change in scope_changes)
                    digests[scope_id] = entry.digests[scope_id]
        scope_digests = tuple(
            ScopeDigest(*scope_id, digest) for scope_id, digest in digests.items()
        )
        return Page(previous, version, START, START, True, tuple(changes.values()), scope_digests)


def entry_page(entry: LogEntry, start: Cursor, subscription: Subscription, max_bytes: int) -> Page:
    """Returns a page of one entry that starts at a cursor.

    A cursor denotes the same position at every source that has the entry.
    """
    changes: list[Change] = []
    digests: list[ScopeDigest] = []
    size = 0
    end = start
    start_scope = (start.table, start.scope)
    for scope_id, scope_changes in entry.scopes.items():
        if scope_id < start_scope or not subscription.contains(*scope_id):
            continue
        offset = start.offset if scope_id == start_scope else 0
        first = len(changes)
        for change in islice(scope_changes, offset, None):
            size += change.size
            if changes and (size > max_bytes or len(changes) >= MAX_PAGE_CHANGES):
                break
            changes.append(change)
        added = len(changes) - first
        if added:
            end = Cursor(*scope_id, offset + added)
            digests.append(ScopeDigest(*scope_id, entry.digests[scope_id]))
        if added < len(scope_changes) - offset:
            return _page_of(entry, start, end, False, changes, digests)
    return _page_of(entry, start, end, True, changes, digests)


def _page_of(
    entry: LogEntry,
    start: Cursor,
    end: Cursor,
    done: bool,
    changes: Iterable[Change],
    digests: Iterable[ScopeDigest],
) -> Page:
    return Page(entry.previous, entry.version, start, end, done, tuple(changes), tuple(digests))
