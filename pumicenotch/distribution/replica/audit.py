"""Periodic verification of records in memory against the digests of their scopes.

One scope is verified at a time, in slices. Corrupted memory is detected before it has been served
for long.
"""

from collections.abc import Iterator

from pumicenotch.distribution.data.records import DIGEST_MODULUS, ScopeId, record_digest
from pumicenotch.distribution.data.view import Scope, View
from pumicenotch.distribution.protocol.messages import BEFORE_ALL_SCOPES
from pumicenotch.distribution.settings import Settings


class Audit:
    """The verification of one scope of a view."""

    def __init__(self, scope_id: ScopeId, scope: Scope) -> None:
        self.scope_id = scope_id
        self.scope = scope
        self._records: Iterator[tuple[str, str]] = iter(list(scope.records.items()))
        self._digest = 0
        self.done = False

    def process_slice(self, budget: int) -> None:
        """Hashes up to `budget` records."""
        table, scope = self.scope_id
        for _ in range(budget):
            record = next(self._records, None)
            if record is None:
                self.done = True
                return
            name, value = record
            self._digest = (
                self._digest + record_digest(table, f"{scope}/{name}", value)
            ) % DIGEST_MODULUS

    @property
    def matches(self) -> bool:
        """Whether the digest computed from the records is the digest of the scope."""
        return self._digest == self.scope.digest


class Auditor:
    """Verifies the scopes of a view in turn; the next one starts at `next_audit_at`."""

    def __init__(self, settings: Settings, first_at: float) -> None:
        self.next_audit_at = first_at
        self.current: Audit | None = None
        self._settings = settings
        self._last_audited = BEFORE_ALL_SCOPES

    def start(self, now_ms: float, view: View) -> None:
        """Starts the audit of the next scope, unless one is in progress."""
        self.next_audit_at = now_ms + self._settings.audit_ms
        if self.current is None:
            self.current = _next_audit(view, self._last_audited)
            self._last_audited = (
                BEFORE_ALL_SCOPES if self.current is None else self.current.scope_id
            )

    def process_slice(self, view: View) -> Audit | None:
        """Continues the current audit by one slice.

        Returns:
            The audit once it is complete, if its scope is still in force; None otherwise.
        """
        audit = self.current
        if audit is None:
            return None
        audit.process_slice(self._settings.slice_audit)
        if not audit.done:
            return None
        self.current = None
        return audit if view.find(audit.scope_id) is audit.scope else None


def _next_audit(view: View, after: ScopeId) -> Audit | None:
    """Returns an audit of the scope that follows `after`, or of the first scope after the last."""
    next_scope_id = None
    first = None
    for scope_id in view.scope_ids():
        first = first or scope_id
        if scope_id > after:
            next_scope_id = scope_id
            break
    chosen = next_scope_id or first
    scope = None if chosen is None else view.find(chosen)
    return None if chosen is None or scope is None else Audit(chosen, scope)
