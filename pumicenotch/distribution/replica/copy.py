"""The configuration in force at an instance, and the switch to the next version.

The next version is staged in slices and verified, and replaces the view in force in a single step.
After a failure, the last verified view stays in force.
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

NO_BLOCKED_VERSION = -1
# Number of scopes that an error names.
MAX_NAMED_SCOPES = 3
DIGEST_REMEDY = "none: they are fetched again; if this persists, look at this machine's memory"


class Copy:
    """The copy of the configuration that one replica keeps.

    Attributes:
        view: the view in force.
        coverage: the scopes that the view covers.
        newest_version: the newest version that any source has announced.
        error: the error that keeps the newest version from coming into force, if any.
        needs_comparison: whether the copy can be updated only by comparing scope digests.
        suspect_scopes: scopes to fetch even if their digests match.
        staging: the delta that is being staged, if any.
        blocked_version: the version that this program cannot apply, or NO_BLOCKED_VERSION.
    """

    def __init__(self, context: Context, on_switch: Callable[[LogEntry | None], None]) -> None:
        """Creates an empty copy.

        Args:
            context: the settings and collaborators of the reducer.
            on_switch: called after each switch to another view, with the log entry of the delta,
                or None if the view came from a transfer.
        """
        self.view = View()
        self.coverage: Subscription = NOTHING
        self.newest_version = 0
        self.error: DistributionError | None = None
        self.needs_comparison = True
        self.suspect_scopes: set[ScopeId] = set()
        self.staging: Staging | None = None
        self.blocked_version = NO_BLOCKED_VERSION
        self._settings = context.settings
        self._tables = context.tables
        self._outbox = context.outbox
        self._counts = context.counts
        self._on_switch = on_switch
        # Complete deltas received ahead of their turn, by the version that they start from.
        self._pending: dict[int, m.Delta] = {}
        self._pending_bytes = 0

    def is_blocked(self) -> bool:
        """Returns whether this program is unable to apply the newest version."""
        return (
            self.blocked_version != NO_BLOCKED_VERSION
            and self.blocked_version >= self.newest_version
        )

    def is_lagging(self) -> bool:
        """Returns whether a source has a newer version than the one in force."""
        return self.newest_version > self.view.version

    # Deltas

    def stage(self, delta: m.Delta) -> None:
        """Starts staging a delta that starts from the version in force."""
        self.staging = Staging(self.view, self.coverage, self._tables, delta.version)
        self.staging.add(delta)

    def queue(self, delta: m.Delta) -> None:
        """Queues a complete delta that starts from a later version, unless the queue is full."""
        size = page_bytes(delta)
        fits = self._pending_bytes + size <= self._settings.max_queue_bytes
        if not delta.done or delta.start != m.START or delta.previous in self._pending or not fits:
            return
        self._pending[delta.previous] = delta
        self._pending_bytes += size

    def process_slice(self) -> None:
        """Stages one slice, and switches to the new view once it is complete and verified.

        Raises:
            DistributionError: a record cannot be applied.
        """
        staging = self.staging
        if staging is None:
            return
        if staging.process_slice(self._settings.slice_changes) <= 0 or not staging.complete:
            return
        self.staging = None
        mismatches = staging.mismatches()
        if mismatches:
            self.mark_suspect(mismatches)
            return
        view, entry = staging.finish()
        self.switch(view, self.coverage, entry)

    # Switch to another view

    def switch(self, view: View, coverage: Subscription, entry: LogEntry | None) -> None:
        """Puts another version into force. No other method does so."""
        assert view.version >= self.view.version, (view.version, self.view.version)
        self.view = view
        self.coverage = coverage
        self.newest_version = max(self.newest_version, view.version)
        if view.version > self.blocked_version:
            self.blocked_version = NO_BLOCKED_VERSION
        if self.error is not None:
            self._outbox.log(
                f"configuration version {view.version} is in force: {self.error.place} is repaired"
            )
            self.error = None
        self._counts["switched"] += 1
        self._drop_pending(view.version)
        self._outbox.in_force(view.version)
        self._on_switch(entry)
        self._stage_next()

    def narrow(self, subscription: Subscription) -> None:
        """Drops the scopes outside of the subscription, and discards staged and queued deltas."""
        self.staging = None
        self._pending.clear()
        self._pending_bytes = 0
        self.coverage = self.coverage.intersection(subscription)
        builder = Builder(self.view)
        for scope_id in self.view.scope_ids():
            if not self.coverage.contains(*scope_id):
                builder.drop(scope_id)
        self.view = builder.finish(self.view.version)

    def _stage_next(self) -> None:
        next_delta = self._pending.pop(self.view.version, None)
        if next_delta is None:
            return
        self._pending_bytes -= page_bytes(next_delta)
        if not self.needs_comparison:
            self.stage(next_delta)

    def _drop_pending(self, version: int) -> None:
        for previous in [queued for queued in self._pending if queued < version]:
            self._pending_bytes -= page_bytes(self._pending.pop(previous))

    # Errors

    def block_version(self, version: int, error: DistributionError) -> None:
        """Records that this program cannot apply a version; only a newer one is tried."""
        self.blocked_version = max(self.blocked_version, version)
        self.record_error(error)

    def record_error(self, error: DistributionError) -> None:
        """Records an error, keeps the view in force and requests a comparison of scopes."""
        self.staging = None
        self.needs_comparison = True
        self._counts[error.code] += 1
        if str(error) != str(self.error):
            self._outbox.log(str(error))
        self.error = error

    def mark_suspect(self, scopes: Iterable[ScopeId]) -> None:
        """Requests a fetch of scopes whose records do not match their digests."""
        scope_ids = list(scopes)
        self.suspect_scopes.update(scope_ids)
        names = ", ".join(f"{table}:{scope}" for table, scope in scope_ids[:MAX_NAMED_SCOPES])
        self.record_error(
            DigestMismatchError(
                f"scopes {names}", "the records are not what the source has", DIGEST_REMEDY
            )
        )
