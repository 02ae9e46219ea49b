"""Periodic checks of digests against records.

One scope at a time, in slices: memory that was corrupted is found before it is served for long.
"""

from collections.abc import Iterator

from pumicenotch.distribution.data.records import DIGEST_MODULUS, ScopeId, record_digest
from pumicenotch.distribution.data.view import Scope, View
from pumicenotch.distribution.protocol.messages import BEFORE_ALL_SCOPES
from pumicenotch.distribution.settings import Settings


class Audit:
    """The check of one scope as it is in a view."""

    def __init__(self, scope_id: ScopeId, scope: Scope) -> None:
        self.scope_id = scope_id
        self.scope = scope
        self._records: Iterator[tuple[str, str]] = iter(list(scope.records.items()))
        self._digest = 0
        self.done = False

    def work(self, budget: int) -> None:
        """Hash up to so many records."""
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
        """Whether the records have the digest of their scope."""
        return self._digest == self.scope.digest


class Auditor:
    """Checks one scope after the other, with a pause between: `next_audit_at` is when it starts."""

    def __init__(self, settings: Settings, first_at: float) -> None:
        self.next_audit_at = first_at
        self.current: Audit | None = None
        self._settings = settings
        self._last = BEFORE_ALL_SCOPES

    def start(self, now_ms: float, view: View) -> None:
        """Start with the next scope, if none is being checked."""
        self.next_audit_at = now_ms + self._settings.audit_ms
        if self.current is None:
            self.current = _next_audit(view, self._last)
            self._last = BEFORE_ALL_SCOPES if self.current is None else self.current.scope_id

    def work(self, view: View) -> Audit | None:
        """Work on one slice.

        Returns:
            The audit when it is done, if its scope is still in force.
        """
        audit = self.current
        if audit is None:
            return None
        audit.work(self._settings.slice_audit)
        if not audit.done:
            return None
        self.current = None
        return audit if view.find(audit.scope_id) is audit.scope else None


def _next_audit(view: View, after: ScopeId) -> Audit | None:
    """Return the audit of the scope that comes after that one, or of the first."""
    following = None
    first = None
    for scope_id in view.scope_ids():
        first = first or scope_id
        if scope_id > after:
            following = scope_id
            break
    chosen = following or first
    scope = None if chosen is None else view.find(chosen)
    return None if chosen is None or scope is None else Audit(chosen, scope)
