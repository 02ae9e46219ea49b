"""A delta on its way into force: its pages are staged in slices beside the view in force, and verified before
the switch.
"""

from collections import deque
from collections.abc import Mapping

from pumicenotch.distribution.data.changelog import ChangeSet, LogEntry
from pumicenotch.distribution.data.records import Change, ScopeId, scope_of
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import Table, read_value, table_of
from pumicenotch.distribution.data.view import Builder, View
from pumicenotch.distribution.protocol.messages import START, Cursor, Delta


class Staging:
    """What leads from the view in force to another version. Changes outside of `coverage` are left out."""

    def __init__(
        self, view: View, coverage: Subscription, tables: Mapping[str, Table], version: int
    ) -> None:
        self.previous = view.version
        self.version = version
        self.end: Cursor = START  # where the next page begins
        self.paged = True  # whether there are pages to come
        self._coverage = coverage
        self._tables = tables
        self._builder = Builder(view)
        self._waiting: deque[Change] = deque()
        self._changes = ChangeSet()  # what has been staged
        self._digests: dict[ScopeId, int] = {}

    def follows(self, delta: Delta) -> bool:
        """Whether this is the next page."""
        return (
            self.paged
            and (delta.previous, delta.version) == (self.previous, self.version)
            and delta.start == self.end
        )

    def add(self, delta: Delta) -> None:
        self.end = delta.end
        self.paged = not delta.done
        self._waiting.extend(delta.changes)
        for digest in delta.digests:
            if self._coverage.contains(digest.table, digest.scope):
                self._digests[ScopeId(digest.table, digest.scope)] = digest.digest

    @property
    def has_work(self) -> bool:
        return bool(self._waiting)

    @property
    def complete(self) -> bool:
        return not self.paged and not self._waiting

    def work(self, budget: int) -> int:
        """Stages changes that cost so much, and returns what is left of it. Raises what a record may be
        wrong in.
        """
        while self._waiting and budget > 0:
            change = self._waiting.popleft()
            scope_id = scope_of(change)
            covered = self._coverage.contains(*scope_id)
            budget -= self._stage(scope_id, change) if covered else 1
        return budget

    def _stage(self, scope_id: ScopeId, change: Change) -> int:
        if change.value is not None:
            read_value(table_of(self._tables, change.table), change.key, change.value)
        self._changes.add(scope_id, change)
        return self._builder.put(change)

    def mismatches(self) -> list[ScopeId]:
        """Scopes whose digest is another than the source told."""
        told = self._digests
        wrong = [scope_id for scope_id in told if self._builder.digest(scope_id) != told[scope_id]]
        return sorted([*wrong, *(self._changes.scopes.keys() - told.keys())])

    def finish(self) -> tuple[View, LogEntry]:
        """The next view, and the entry that a relay keeps for its children."""
        view = self._builder.finish(self.version)
        return view, LogEntry(self.previous, self.version, self._changes, self._digests)
