"""What an instance has in force, and how the next version comes into force.

It is staged in slices, verified, and switched to at one instant. Whatever fails, the last good view
stays.
"""

from collections.abc import Callable, Iterable

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.data.changelog import LogEntry
from pumicenotch.distribution.data.records import ScopeId
from pumicenotch.distribution.data.subscription import NOTHING, Subscription
from pumicenotch.distribution.data.view import Builder, View
from pumicenotch.distribution.errors import DigestMismatchError, DistributionError
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.replica.staging import Staging
from pumicenotch.distribution.source.children import page_bytes

NONE_BLOCKED = -1
# Scopes named in an error.
MAX_NAMED_SCOPES = 3
DIGEST_REMEDY = "none: they are fetched again; if this persists, look at this machine's memory"


class Copy:
    """The copy of one replica.

    Attributes:
        view: what is in force.
        coverage: the scopes that the view covers.
        newest: the newest version that any source has.
        error: why the newest version is not in force, if that is an error.
        needs_comparison: whether scopes are to be compared, as deltas are not enough.
        suspects: scopes that are fetched whatever their digests are.
        staging: the delta that is being staged.
        blocked: the version that this program could not apply, or NONE_BLOCKED.
    """

    def __init__(self, context: Context, on_switch: Callable[[LogEntry | None], None]) -> None:
        """Create an empty copy.

        Args:
            context: the reducer's.
            on_switch: called when another view is in force, with the delta's entry if it was one.
        """
        self.view = View()
        self.coverage: Subscription = NOTHING
        self.newest = 0
        self.error: DistributionError | None = None
        self.needs_comparison = True
        self.suspects: set[ScopeId] = set()
        self.staging: Staging | None = None
        self.blocked = NONE_BLOCKED
        self._settings = context.settings
        self._tables = context.tables
        self._outbox = context.outbox
        self._counts = context.counts
        self._on_switch = on_switch
        self._pending: dict[int, m.Delta] = {}  # by the version that they lead on from
        self._pending_bytes = 0

    def is_blocked(self) -> bool:
        """Whether the newest version is one that this program could not apply."""
        return self.blocked != NONE_BLOCKED and self.blocked >= self.newest

    def is_lagging(self) -> bool:
        """Whether a source has a newer version."""
        return self.newest > self.view.version

    # Deltas

    def stage(self, delta: m.Delta) -> None:
        """Start staging a delta that leads on from the view in force."""
        self.staging = Staging(self.view, self.coverage, self._tables, delta.version)
        self.staging.add(delta)

    def queue(self, delta: m.Delta) -> None:
        """Queue a complete delta that follows on later, within bounds."""
        size = page_bytes(delta)
        fits = self._pending_bytes + size <= self._settings.max_queue_bytes
        if not delta.done or delta.start != m.START or delta.previous in self._pending or not fits:
            return
        self._pending[delta.previous] = delta
        self._pending_bytes += size

    def work(self) -> None:
        """Stage one slice, and switch once everything is there and verified.

        Raises:
            DistributionError: a record cannot be applied.
        """
        staging = self.staging
        if staging is None:
            return
        if staging.work(self._settings.slice_changes) <= 0 or not staging.complete:
            return
        self.staging = None
        mismatches = staging.mismatches()
        if mismatches:
            self.suspect(mismatches)
            return
        view, entry = staging.finish()
        self.switch(view, self.coverage, entry)

    # The switch

    def switch(self, view: View, coverage: Subscription, entry: LogEntry | None) -> None:
        """Put another version into force: the one place where that happens."""
        assert view.version >= self.view.version, (view.version, self.view.version)
        self.view = view
        self.coverage = coverage
        self.newest = max(self.newest, view.version)
        if view.version > self.blocked:
            self.blocked = NONE_BLOCKED
        if self.error is not None:
            self._outbox.log(
                f"configuration version {view.version} is in force: {self.error.place} is repaired"
            )
            self.error = None
        self._counts["switched"] += 1
        self._drop_pending(view.version)
        self._outbox.in_force(view.version)
        self._on_switch(entry)
        self._stage_following()

    def narrow(self, subscription: Subscription) -> None:
        """Drop scopes that are not in that subscription, and what was on its way."""
        self.staging = None
        self._pending.clear()
        self._pending_bytes = 0
        self.coverage = self.coverage.intersection(subscription)
        builder = Builder(self.view)
        for scope_id in self.view.scope_ids():
            if not self.coverage.contains(*scope_id):
                builder.drop(scope_id)
        self.view = builder.finish(self.view.version)

    def _stage_following(self) -> None:
        following = self._pending.pop(self.view.version, None)
        if following is None:
            return
        self._pending_bytes -= page_bytes(following)
        if not self.needs_comparison:
            self.stage(following)

    def _drop_pending(self, version: int) -> None:
        for previous in [earlier for earlier in self._pending if earlier < version]:
            self._pending_bytes -= page_bytes(self._pending.pop(previous))

    # Errors

    def block(self, version: int, error: DistributionError) -> None:
        """Wait for a newer version, as this program cannot apply that one."""
        self.blocked = max(self.blocked, version)
        self.fail(error)

    def fail(self, error: DistributionError) -> None:
        """Keep what is in force, and have the scopes compared."""
        self.staging = None
        self.needs_comparison = True
        self._counts[error.code] += 1
        if str(error) != str(self.error):
            self._outbox.log(str(error))
        self.error = error

    def suspect(self, scopes: Iterable[ScopeId]) -> None:
        """Have these scopes fetched, as their records are not what they should be."""
        scope_ids = list(scopes)
        self.suspects.update(scope_ids)
        names = ", ".join(f"{table}:{scope}" for table, scope in scope_ids[:MAX_NAMED_SCOPES])
        self.fail(
            DigestMismatchError(
                f"scopes {names}", "the records are not what the source has", DIGEST_REMEDY
            )
        )
