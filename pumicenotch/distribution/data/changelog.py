"""A bounded log of changes, from which those who have missed some versions are served without a snapshot."""

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pumicenotch.distribution.data.records import Change, ScopeId, scope_of
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.messages import (
    PAGE_BYTES_MOST,
    PAGE_CHANGES_MOST,
    START,
    Cursor,
    ScopeDigest,
)

ENTRIES_MOST = 4096
BYTES_MOST = 8 * 1024 * 1024
ENTRIES_A_PAGE = 256  # looked at for one page
DIGEST_OVERHEAD_BYTES = 24
FEW_CHANGES = 16  # in one entry: not worth counting by scope


class ChangeSet:
    """Changes by scope, with their sizes, so that nobody has to go through all of them at once."""

    __slots__ = ("count", "scopes", "size", "sizes")

    def __init__(self, changes: Iterable[Change] = ()) -> None:
        self.scopes: dict[ScopeId, list[Change]] = {}
        self.sizes: dict[ScopeId, int] = {}
        self.size = 0
        self.count = 0
        for change in changes:
            self.add(scope_of(change), change)

    def add(self, scope_id: ScopeId, change: Change) -> None:
        size = change.size
        self.scopes.setdefault(scope_id, []).append(change)
        self.sizes[scope_id] = self.sizes.get(scope_id, DIGEST_OVERHEAD_BYTES) + size
        self.size += size
        self.count += 1


class LogEntry:
    """What led from version `previous` to `version`, by scope, with the scopes' digests after it."""

    __slots__ = ("count", "digests", "dumped", "previous", "scopes", "size", "sizes", "version")

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
        self.dumped: bytes | None = None


class Page(NamedTuple):
    """A part of what leads from one version to another; `done` when it is the last."""

    previous: int
    version: int
    start: Cursor
    end: Cursor
    done: bool
    changes: tuple[Change, ...]
    digests: tuple[ScopeDigest, ...]


class ChangeLog:
    """Entries in order, each beginning where the one before ended."""

    def __init__(
        self, version: int = 0, *, entries_most: int = ENTRIES_MOST, bytes_most: int = BYTES_MOST
    ) -> None:
        self.base = version  # the oldest version from which it leads on
        self.entries: list[LogEntry] = []
        self.size = 0
        self._entries_most = entries_most
        self._bytes_most = bytes_most

    @property
    def version(self) -> int:
        return self.entries[-1].version if self.entries else self.base

    def append(self, entry: LogEntry) -> None:
        """The next entry; one that does not follow on makes the log begin anew after it."""
        if entry.previous != self.version:
            self.reset(entry.version)
            return
        self.entries.append(entry)
        self.size += entry.size
        self._compact()

    def reset(self, version: int) -> None:
        self.base, self.entries, self.size = version, [], 0

    def _compact(self) -> None:
        dropped = 0
        while self.size > self._bytes_most or len(self.entries) - dropped > self._entries_most:
            entry = self.entries[dropped]
            self.size -= entry.size
            self.base = entry.version
            dropped += 1
        del self.entries[:dropped]

    def position(self, have: int) -> int | None:
        """Of the entry that leads on from that version; None if there is none."""
        at = bisect_left(self.entries, have, key=lambda entry: entry.previous)
        if at < len(self.entries) and self.entries[at].previous == have:
            return at
        return None

    def page(
        self,
        have: int,
        start: Cursor,
        subscription: Subscription,
        bytes_most: int = PAGE_BYTES_MOST,
    ) -> Page | None:
        """What comes after version `have`, as far as a page holds; None if the log does not lead on from
        there.
        """
        at = self.position(have)
        if at is None:
            return None
        whole = self.whole_page(have, subscription, bytes_most) if start == START else None
        return whole or entry_page(self.entries[at], start, subscription, bytes_most)

    def whole_page(self, have: int, subscription: Subscription, bytes_most: int) -> Page | None:
        """One or more whole versions after that one in so many bytes; None if not even one fits."""
        at = self.position(have)
        if at is None or self._filtered_size(self.entries[at], subscription) > bytes_most:
            return None
        return self._merged_page(at, subscription, bytes_most)

    @staticmethod
    def _filtered_size(entry: LogEntry, subscription: Subscription) -> int:
        """In bytes, or beyond any page where there are too many changes."""
        if entry.count <= FEW_CHANGES:
            return entry.size
        count = size = 0
        for scope_id, changes in entry.scopes.items():
            if subscription.contains(*scope_id):
                count += len(changes)
                size += entry.sizes[scope_id]
                if size > PAGE_BYTES_MOST or count > PAGE_CHANGES_MOST:
                    return PAGE_BYTES_MOST + 1
        return size

    def _merged_page(self, at: int, subscription: Subscription, bytes_most: int) -> Page:
        """Several versions in one, of each record the last change."""
        found: dict[tuple[str, str], Change] = {}
        digests: dict[ScopeId, int] = {}
        size, version, previous = 0, self.entries[at].version, self.entries[at].previous
        for entry in self.entries[at : at + ENTRIES_A_PAGE]:
            taken = self._filtered_size(entry, subscription)
            fits = size + taken <= bytes_most and len(found) + entry.count <= PAGE_CHANGES_MOST
            if entry.previous != previous and not fits:
                break
            size, version = size + taken, entry.version
            for scope_id, changes in entry.scopes.items():
                if subscription.contains(*scope_id):
                    found.update(((change.table, change.key), change) for change in changes)
                    digests[scope_id] = entry.digests[scope_id]
        told = tuple(ScopeDigest(*scope_id, digest) for scope_id, digest in digests.items())
        return Page(previous, version, START, START, True, tuple(found.values()), told)


def entry_page(entry: LogEntry, start: Cursor, subscription: Subscription, bytes_most: int) -> Page:
    """A page of one entry from that place on. The place is the same at every source that has the entry."""
    changes: list[Change] = []
    digests: list[ScopeDigest] = []
    size, end, done = 0, start, True
    for scope_id, found in entry.scopes.items():
        if scope_id < (start.table, start.scope) or not subscription.contains(*scope_id):
            continue
        offset = start.offset if scope_id == (start.table, start.scope) else 0
        for at in range(offset, len(found)):
            size += found[at].size
            if changes and (size > bytes_most or len(changes) >= PAGE_CHANGES_MOST):
                done = False
                break
            changes.append(found[at])
            end = Cursor(*scope_id, at + 1)
        if len(found) > offset and end.scope == scope_id.scope and end.table == scope_id.table:
            digests.append(ScopeDigest(*scope_id, entry.digests[scope_id]))
        if not done:
            break
    told = tuple(digests)
    return Page(entry.previous, entry.version, start, end, done, tuple(changes), told)
