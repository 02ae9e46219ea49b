"""The replica's side of a transfer by scopes: digests are compared, the scopes that differ are fetched
beside the view in force, verified, and switched to at once.
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
    """From one source, at the version that its first page tells."""

    def __init__(
        self,
        number: int,
        address: str,
        subscription: Subscription,
        tables: Mapping[str, Table],
        suspects: Iterable[ScopeId],
        kept: Mapping[ScopeId, Scope],
    ) -> None:
        self.number = number
        self.address = address
        self.subscription = subscription
        self.version = -1  # not known yet
        self.listed_to = BEFORE_ALL_SCOPES  # digests up to there have come
        self.listed_all = False
        self.complete: dict[ScopeId, Scope] = dict(
            kept
        )  # fetched and verified, also by a former transfer
        self._tables = tables
        self.suspects = frozenset(suspects)  # fetched whatever their digest is here
        self._listed: dict[ScopeId, int] = {}
        self._wanted: deque[Want] = deque()
        self._missing: set[ScopeId] = set()
        self._partial: dict[ScopeId, Scope] = {}
        self._inbox: deque[tuple[ScopePage, int]] = deque()  # with how far it has been read

    def list_page(self, page: Scopes, view: View) -> None:
        """Compares a page of digests with what is here."""
        self.version = page.version
        for table, name, digest in page.digests:
            scope_id = ScopeId(table, name)
            self._listed[scope_id] = digest
            self.listed_to = scope_id
            if not self._is_here(scope_id, digest, view):
                self._wanted.append(Want(table, name))
                self._missing.add(scope_id)
        self.listed_all = page.done

    def _is_here(self, scope_id: ScopeId, digest: int, view: View) -> bool:
        kept = self.complete.get(scope_id)
        if kept is not None and kept.digest == digest:
            return True
        self.complete.pop(scope_id, None)
        return scope_id not in self.suspects and view.digest(*scope_id) == digest

    def next_wants(self) -> tuple[Want, ...]:
        """Scopes for one more request."""
        count = min(MAX_WANTS, len(self._wanted))
        return tuple(self._wanted.popleft() for _ in range(count))

    @property
    def wants(self) -> bool:
        return bool(self._wanted)

    @property
    def has_work(self) -> bool:
        return bool(self._inbox)

    @property
    def done(self) -> bool:
        return self.listed_all and not self._missing and not self._inbox

    def add(self, asked: Iterable[Want], parts: Iterable[ScopePage]) -> None:
        """What came of a request: parts to be read, and the rest is asked for again."""
        came = {ScopeId(part.table, part.scope): part for part in parts}
        for want in asked:
            part = came.get(ScopeId(want.table, want.scope))
            if part is None:
                self._wanted.append(want)
                continue
            self._inbox.append((part, 0))
            if not part.done:
                after = part.records[-1][0] if part.records else want.after
                self._wanted.appendleft(want._replace(after=after))

    def work(self, budget: int) -> int:
        """Reads records up to so many, and returns how many more it might. Raises what a record may be wrong
        in, and DigestMismatchError.
        """
        while self._inbox and budget > 0:
            part, at = self._inbox.popleft()
            chunk = part.records[at : at + budget]
            self._read(ScopeId(part.table, part.scope), chunk)
            budget -= max(1, len(chunk))
            if at + len(chunk) < len(part.records):
                self._inbox.appendleft((part, at + len(chunk)))
            elif part.done:
                self._finish_scope(ScopeId(part.table, part.scope))
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
        """The next view: scopes that the source did not list are gone."""
        builder = Builder(view)
        for scope_id in view.scope_ids():
            if scope_id not in self._listed:
                builder.drop(scope_id)
        for scope_id, scope in self.complete.items():
            if scope_id in self._listed:
                builder.replace(scope_id, scope)
        return builder.finish(self.version)
