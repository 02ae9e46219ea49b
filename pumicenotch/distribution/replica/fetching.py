"""The replica's side of a transfer, which repairs a copy scope by scope.

The digests of the source are compared with those of the view in force. Scopes that differ are
fetched while that view stays in force, verified, and put into force together.
"""

from collections import deque
from collections.abc import Iterable, Mapping

from pumicenotch.distribution.data.records import DIGEST_MODULUS, ScopeId, record_digest
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import Table, read_value, table_of
from pumicenotch.distribution.data.view import Builder, Scope, View
from pumicenotch.distribution.errors import DigestMismatchError
from pumicenotch.distribution.protocol.messages import (
    BEFORE_ALL_SCOPES,
    MAX_WANTS,
    ScopePage,
    Scopes,
    Want,
)


class Transfer:
    """A transfer from one source, at the version of its first page.

    Attributes:
        number: identifies the transfer among those of this replica.
        address: the address of the source.
        subscription: the scopes that are compared.
        version: the version at the source; -1 until the first page has arrived.
        compared_up_to: the last scope whose digest has been compared.
        compared_all: whether all digests have been compared.
        complete: scopes that were fetched and verified, including those of an aborted transfer.
        suspect_scopes: scopes to fetch even if their digests match.
    """

    def __init__(
        self,
        number: int,
        address: str,
        subscription: Subscription,
        tables: Mapping[str, Table],
        suspect_scopes: Iterable[ScopeId],
        reusable: Mapping[ScopeId, Scope],
    ) -> None:
        self.number = number
        self.address = address
        self.subscription = subscription
        self.version = -1
        self.compared_up_to = BEFORE_ALL_SCOPES
        self.compared_all = False
        self.complete: dict[ScopeId, Scope] = dict(reusable)
        self._tables = tables
        self.suspect_scopes = frozenset(suspect_scopes)
        self._listed: dict[ScopeId, int] = {}
        self._wanted: deque[Want] = deque()
        self._missing: set[ScopeId] = set()
        self._partial: dict[ScopeId, Scope] = {}
        # Received pages, each with the number of its records that were read.
        self._inbox: deque[tuple[ScopePage, int]] = deque()

    def add_digests(self, page: Scopes, view: View) -> None:
        """Compares a page of the source's digests with a view."""
        self.version = page.version
        for table, name, digest in page.digests:
            scope_id = ScopeId(table, name)
            self._listed[scope_id] = digest
            self.compared_up_to = scope_id
            if not self._is_current(scope_id, digest, view):
                self._wanted.append(Want(table, name))
                self._missing.add(scope_id)
        self.compared_all = page.done

    def _is_current(self, scope_id: ScopeId, digest: int, view: View) -> bool:
        fetched = self.complete.get(scope_id)
        if fetched is not None and fetched.digest == digest:
            return True
        self.complete.pop(scope_id, None)
        return scope_id not in self.suspect_scopes and view.digest(*scope_id) == digest

    def next_wants(self) -> tuple[Want, ...]:
        """Returns the scopes to ask for in the next request, and removes them from the queue."""
        count = min(MAX_WANTS, len(self._wanted))
        return tuple(self._wanted.popleft() for _ in range(count))

    @property
    def has_wants(self) -> bool:
        """Whether scopes are waiting to be requested."""
        return bool(self._wanted)

    @property
    def has_work(self) -> bool:
        """Whether received records are waiting to be read."""
        return bool(self._inbox)

    @property
    def done(self) -> bool:
        """Whether all subscribed scopes are present and verified."""
        return self.compared_all and not self._missing and not self._inbox

    def add(self, wants: Iterable[Want], pages: Iterable[ScopePage]) -> None:
        """Adds the answer to a request. Scopes and records missing from it are requested again."""
        received = {ScopeId(page.table, page.scope): page for page in pages}
        for want in wants:
            page = received.get(ScopeId(want.table, want.scope))
            if page is None:
                self._wanted.append(want)
                continue
            self._inbox.append((page, 0))
            if not page.done:
                after = page.records[-1][0] if page.records else want.after
                self._wanted.appendleft(want._replace(after=after))

    def process_slice(self, budget: int) -> int:
        """Reads up to `budget` records, and returns the part of the budget that is left.

        Raises:
            DigestMismatchError: the records of a scope do not have the digest that was listed.
            DistributionError: a record cannot be applied.
        """
        while self._inbox and budget > 0:
            page, offset = self._inbox.popleft()
            chunk = page.records[offset : offset + budget]
            self._read(ScopeId(page.table, page.scope), chunk)
            budget -= max(1, len(chunk))
            if offset + len(chunk) < len(page.records):
                self._inbox.appendleft((page, offset + len(chunk)))
            elif page.done:
                self._finish_scope(ScopeId(page.table, page.scope))
        return budget

    def _read(self, scope_id: ScopeId, records: Iterable[tuple[str, str]]) -> None:
        table = table_of(self._tables, scope_id.table)
        partial = self._partial.setdefault(scope_id, Scope({}, 0))
        for name, value in records:
            key = f"{scope_id.scope}/{name}"
            read_value(table, key, value)
            partial.records[name] = value
            partial.digest = (
                partial.digest + record_digest(table.name, key, value)
            ) % DIGEST_MODULUS

    def _finish_scope(self, scope_id: ScopeId) -> None:
        scope = self._partial.pop(scope_id)
        if scope.digest != self._listed[scope_id]:
            raise DigestMismatchError(
                f"scope {scope_id.table}:{scope_id.scope}",
                "what the source sent is not what it listed",
                "it is fetched from another source; if this persists, restart the source",
            )
        self.complete[scope_id] = scope
        self._missing.discard(scope_id)

    def build(self, view: View) -> View:
        """Returns the next view, without the scopes that the source did not list."""
        builder = Builder(view)
        for scope_id in view.scope_ids():
            if scope_id not in self._listed:
                builder.drop(scope_id)
        for scope_id, scope in self.complete.items():
            if scope_id in self._listed:
                builder.replace(scope_id, scope)
        return builder.finish(self.version)
