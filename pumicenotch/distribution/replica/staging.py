"""Staging of a received delta.

The pages of the delta are applied in slices to a new view, while the view in force remains in use.
The new view is verified before the switch to it.
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
    """Stages the changes from the version in force to another, for the scopes in `coverage`.

    Attributes:
        previous: the version in force.
        version: the version that the delta leads to.
        end: the position at which the next page starts.
        paged: whether further pages are expected.
    """

    def __init__(
        self, view: View, coverage: Subscription, tables: Mapping[str, Table], version: int
    ) -> None:
        self.previous = view.version
        self.version = version
        self.end: Cursor = START
        self.paged = True
        self._coverage = coverage
        self._tables = tables
        self._builder = Builder(view)
        self._unstaged: deque[Change] = deque()
        self._changes = ChangeSet()
        self._digests: dict[ScopeId, int] = {}

    def follows(self, delta: Delta) -> bool:
        """Returns whether a delta is the next page."""
        return (
            self.paged
            and (delta.previous, delta.version) == (self.previous, self.version)
            and delta.start == self.end
        )

    def add(self, delta: Delta) -> None:
        """Adds the next page."""
        self.end = delta.end
        self.paged = not delta.done
        self._unstaged.extend(delta.changes)
        for digest in delta.digests:
            if self._coverage.contains(digest.table, digest.scope):
                self._digests[ScopeId(digest.table, digest.scope)] = digest.digest

    @property
    def has_work(self) -> bool:
        """Whether received changes are waiting to be staged."""
        return bool(self._unstaged)

    @property
    def complete(self) -> bool:
        """Whether all pages are received and staged."""
        return not self.paged and not self._unstaged

    def process_slice(self, budget: int) -> int:
        """Stages changes up to a cost of `budget`, and returns the part of the budget that is left.

        Raises:
            DistributionError: a record cannot be applied.
        """
        while self._unstaged and budget > 0:
            change = self._unstaged.popleft()
            scope_id = scope_of(change)
            is_covered = self._coverage.contains(*scope_id)
            budget -= self._stage(scope_id, change) if is_covered else 1
        return budget

    def _stage(self, scope_id: ScopeId, change: Change) -> int:
        if change.value is not None:
            read_value(table_of(self._tables, change.table), change.key, change.value)
        self._changes.add(scope_id, change)
        return self._builder.put(change)

    def mismatches(self) -> list[ScopeId]:
        """Returns the changed scopes whose digests differ from the source's, or were not sent."""
        differing = [
            scope_id
            for scope_id in self._digests
            if self._builder.digest(scope_id) != self._digests[scope_id]
        ]
        return sorted([*differing, *(self._changes.scopes.keys() - self._digests.keys())])

    def finish(self) -> tuple[View, LogEntry]:
        """Returns the next view, and the log entry that a relay keeps for its children."""
        view = self._builder.finish(self.version)
        return view, LogEntry(self.previous, self.version, self._changes, self._digests)
