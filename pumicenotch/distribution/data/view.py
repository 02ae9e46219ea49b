"""Immutable views of the configuration. Successive views share their unchanged scopes.

A `Builder` stages the next view in bounded slices; the switch to it is then a single assignment.
"""

from bisect import bisect_right
from collections.abc import Iterator, Mapping
from types import MappingProxyType

from pumicenotch.distribution.data.records import (
    DIGEST_MODULUS,
    MAX_SCOPE_RECORDS,
    MAX_TABLE_SCOPES,
    Change,
    ScopeId,
    record_digest,
)
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.errors import OversizedScopeError

# Number of records whose copying counts as one change in the budget of a slice.
COPIED_RECORDS_PER_CHANGE = 32


class Scope:
    """The records of one scope by name, with their digest. Never changed once it is in a view."""

    __slots__ = ("_names", "digest", "encoded", "records")

    def __init__(self, records: dict[str, str], digest: int) -> None:
        self.records = records
        self.digest = digest
        # The line of this scope in a snapshot, cached by the encoder.
        self.encoded: bytes | None = None
        self._names: list[str] | None = None

    def names_after(self, after: str) -> list[str]:
        """Returns the record names that come after `after`, in order."""
        if self._names is None:
            self._names = sorted(self.records)
        return self._names[bisect_right(self._names, after) :] if after else self._names

    def compute_digest(self, scope_id: ScopeId) -> int:
        """Returns the digest computed from the records."""
        table, scope = scope_id
        return (
            sum(
                record_digest(table, f"{scope}/{name}", value)
                for name, value in self.records.items()
            )
            % DIGEST_MODULUS
        )


class TableView:
    """The scopes of one table, in the order of their names."""

    __slots__ = ("_names", "scopes")

    def __init__(self, scopes: dict[str, Scope]) -> None:
        self.scopes = scopes
        self._names: list[str] | None = None

    def names_after(self, after: str) -> Iterator[str]:
        """Yields the scope names that come after `after`, in order."""
        if self._names is None:
            self._names = list(self.scopes)
        for index in range(bisect_right(self._names, after), len(self._names)):
            yield self._names[index]


NO_RECORDS: Mapping[str, str] = MappingProxyType({})
NO_TABLE = TableView({})


class View:
    """The configuration at one version, limited to the scopes of this process. Immutable."""

    __slots__ = ("_tables", "version")

    def __init__(self, version: int = 0, tables: Mapping[str, TableView] | None = None) -> None:
        self.version = version
        self._tables: Mapping[str, TableView] = tables or {}

    @property
    def tables(self) -> Mapping[str, TableView]:
        """The tables by name."""
        return self._tables

    def lookup(self, table: str, key: str) -> str | None:
        """Returns the value of a record as JSON text; None if there is no such record."""
        scope, _, name = key.partition("/")
        return self.scope(table, scope).get(name)

    def scope(self, table: str, scope: str) -> Mapping[str, str]:
        """Returns the values of a scope's records by name."""
        found_scope = self.find(ScopeId(table, scope))
        return NO_RECORDS if found_scope is None else MappingProxyType(found_scope.records)

    def digest(self, table: str, scope: str) -> int:
        """Returns the digest of a scope; 0 if it has no records."""
        found_scope = self.find(ScopeId(table, scope))
        return 0 if found_scope is None else found_scope.digest

    def find(self, scope_id: ScopeId) -> Scope | None:
        """Returns a scope; None if it has no records."""
        return self._tables.get(scope_id.table, NO_TABLE).scopes.get(scope_id.scope)

    def scope_ids(self) -> Iterator[ScopeId]:
        """Yields all scopes, ordered by table and name."""
        for table in sorted(self._tables):
            for scope in self._tables[table].scopes:
                yield ScopeId(table, scope)

    def subscribed_after(self, subscription: Subscription, after: ScopeId) -> Iterator[ScopeId]:
        """Yields the subscribed scopes that come after `after`, ordered by table and name."""
        for table, wanted_scopes in subscription.tables.items():
            if table < after.table:
                continue
            first = after.scope if table == after.table else ""
            table_view = self._tables.get(table, NO_TABLE)
            names = (
                table_view.names_after(first)
                if wanted_scopes is None
                else subscription.named_after(table, first)
            )
            for scope in names:
                if scope in table_view.scopes:
                    yield ScopeId(table, scope)

    def record_count(self) -> int:
        """Returns the total number of records."""
        return sum(
            len(scope.records) for table in self._tables.values() for scope in table.scopes.values()
        )


class Builder:
    """Stages changes in copies of scopes. The base view remains unchanged."""

    def __init__(self, view: View) -> None:
        self.base = view
        self._drafts: dict[ScopeId, Scope] = {}
        # Drafts that are shared with another owner, and are copied before a change.
        self._shared: set[ScopeId] = set()
        self._new_scopes: dict[str, int] = {}

    def put(self, change: Change) -> int:
        """Stages one change, and returns its cost in changes.

        Raises:
            OversizedScopeError: the scope or the table would have too many records or scopes.
        """
        scope_name, _, name = change.key.partition("/")
        scope_id = ScopeId(change.table, scope_name)
        draft, cost = self._draft(scope_id)
        previous_value = draft.records.pop(name, None)
        if previous_value is not None:
            draft.digest -= record_digest(change.table, change.key, previous_value)
        if change.value is not None:
            draft.records[name] = change.value
            draft.digest += record_digest(change.table, change.key, change.value)
            self._check_size(scope_id, draft)
        draft.digest %= DIGEST_MODULUS
        return cost

    def replace(self, scope_id: ScopeId, scope: Scope) -> None:
        """Stages a complete scope, for example one fetched from a source."""
        self._drafts[scope_id] = scope
        self._shared.add(scope_id)

    def drop(self, scope_id: ScopeId) -> None:
        """Stages the removal of a scope."""
        if self.base.find(scope_id) is not None or scope_id in self._drafts:
            self.replace(scope_id, Scope({}, 0))

    def digest(self, scope_id: ScopeId) -> int:
        """Returns the digest of a scope with its staged changes."""
        draft = self._drafts.get(scope_id) or self.base.find(scope_id)
        return 0 if draft is None else draft.digest

    def finish(self, version: int) -> View:
        """Returns the next view, from the scopes that are already staged."""
        tables = dict(self.base.tables)
        for table in {scope_id.table for scope_id in self._drafts}:
            scopes = dict(tables.get(table, NO_TABLE).scopes)
            tables[table] = TableView(self._with_drafts(table, scopes))
        return View(version, tables)

    def _with_drafts(self, table: str, scopes: dict[str, Scope]) -> dict[str, Scope]:
        added = False
        for (draft_table, scope), draft in self._drafts.items():
            if draft_table != table:
                continue
            if draft.records:
                added = added or scope not in scopes
                scopes[scope] = draft
            else:
                scopes.pop(scope, None)
        return {scope: scopes[scope] for scope in sorted(scopes)} if added else scopes

    def _draft(self, scope_id: ScopeId) -> tuple[Scope, int]:
        draft = self._drafts.get(scope_id)
        if draft is not None and scope_id not in self._shared:
            return draft, 1
        original = draft or self.base.find(scope_id)
        if original is None:
            self._count_new_scope(scope_id.table)
            original = Scope({}, 0)
        draft = Scope(dict(original.records), original.digest)
        self._drafts[scope_id] = draft
        self._shared.discard(scope_id)
        return draft, 1 + len(draft.records) // COPIED_RECORDS_PER_CHANGE

    def _count_new_scope(self, table: str) -> None:
        count = self._new_scopes.get(table, 0) + 1
        if count + len(self.base.tables.get(table, NO_TABLE).scopes) > MAX_TABLE_SCOPES:
            raise OversizedScopeError(
                f"table {table}",
                f"it would have more than {MAX_TABLE_SCOPES} scopes",
                "delete scopes in a publication before, or use fewer and larger ones",
            )
        self._new_scopes[table] = count

    @staticmethod
    def _check_size(scope_id: ScopeId, draft: Scope) -> None:
        if len(draft.records) > MAX_SCOPE_RECORDS:
            raise OversizedScopeError(
                f"scope {scope_id.table}:{scope_id.scope}",
                f"it would hold more than {MAX_SCOPE_RECORDS} records",
                "delete records first, or divide it into scopes",
            )
