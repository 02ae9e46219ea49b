"""What an instance has in force, and how the next version comes into force: staged in slices, verified, and
switched to at one instant. Whatever fails, the last good view stays.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from pumicenotch.distribution.data.changelog import LogEntry
from pumicenotch.distribution.data.records import ScopeId
from pumicenotch.distribution.data.subscription import NOTHING, Subscription
from pumicenotch.distribution.data.tables import Table
from pumicenotch.distribution.data.view import Builder, View
from pumicenotch.distribution.errors import DigestMismatchError, DistributionError
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.replica.staging import Staging
from pumicenotch.distribution.settings import Settings
from pumicenotch.distribution.source.children import page_bytes

NONE_BLOCKED = -1
DIGEST_REMEDY = "none: they are fetched again; if this persists, look at this machine's memory"


class Copy:
    """`on_switch` is called when another view is in force, with the entry that led to it if a delta did."""

    def __init__(
        self,
        settings: Settings,
        tables: Mapping[str, Table],
        outbox: Outbox,
        counts: Counter[str],
        on_switch: Callable[[LogEntry | None], None],
    ) -> None:
        self.view = View()
        self.coverage: Subscription = NOTHING  # what the view covers
        self.newest = 0  # version that any source has told of
        self.error: DistributionError | None = None
        self.compare = True  # whether scopes are to be compared, as deltas are not enough
        self.suspects: set[ScopeId] = set()  # scopes to be fetched whatever their digest is
        self.staging: Staging | None = None
        self.blocked = NONE_BLOCKED  # version that this program could not apply
        self._settings = settings
        self._tables = tables
        self._outbox = outbox
        self._counts = counts
        self._on_switch = on_switch
        self._pending: dict[int, m.Delta] = {}  # by the version that they lead on from
        self._pending_bytes = 0

    def is_blocked(self) -> bool:
        """Whether the newest version is one that this program could not apply."""
        return self.blocked != NONE_BLOCKED and self.blocked >= self.newest

    def lags(self) -> bool:
        return self.newest > self.view.version

    # Deltas

    def stage(self, delta: m.Delta) -> None:
        """Begins with a delta that leads on from the view in force."""
        self.staging = Staging(self.view, self.coverage, self._tables, delta.version)
        self.staging.add(delta)

    def keep(self, delta: m.Delta) -> None:
        """A whole delta that follows on later: it waits for its turn, within bounds."""
        size = page_bytes(delta)
        fits = self._pending_bytes + size <= self._settings.max_queue_bytes
        if not delta.done or delta.start != m.START or delta.previous in self._pending or not fits:
            return
        self._pending[delta.previous] = delta
        self._pending_bytes += size

    def work(self) -> None:
        """One slice of what is staged; the switch when all of it is there and verified. Raises what a record
        may be wrong in.
        """
        staging = self.staging
        if staging is None:
            return
        if staging.work(self._settings.slice_changes) <= 0 or not staging.complete:
            return
        self.staging = None
        if wrong := staging.mismatches():
            self.suspect(wrong)
            return
        view, entry = staging.finish()
        self.switch(view, self.coverage, entry)

    # The switch

    def switch(self, view: View, coverage: Subscription, entry: LogEntry | None) -> None:
        """The one place where another version comes into force."""
        assert view.version >= self.view.version, (view.version, self.view.version)
        self.view = view
        self.coverage = coverage
        self.newest = max(self.newest, view.version)
        if view.version > self.blocked:
            self.blocked = NONE_BLOCKED
        if self.error is not None:
            self._outbox.log(
                f"configuration version {view.version} is in force: {self.error.place} is mended"
            )
            self.error = None
        self._counts["switched"] += 1
        self._drop_pending(view.version)
        self._outbox.in_force(view.version)
        self._on_switch(entry)
        self._stage_following()

    def narrow(self, subscription: Subscription) -> None:
        """Scopes that are not in that subscription are dropped; what was on its way is of no use."""
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
        if not self.compare:
            self.stage(following)

    def _drop_pending(self, version: int) -> None:
        for previous in [each for each in self._pending if each < version]:
            self._pending_bytes -= page_bytes(self._pending.pop(previous))

    # What goes wrong

    def stuck(self, version: int, error: DistributionError) -> None:
        """That version can't be applied by this program: it waits for a newer one."""
        self.blocked = max(self.blocked, version)
        self.fail(error)

    def fail(self, error: DistributionError) -> None:
        """What is in force stays; the scopes are to be compared."""
        self.staging = None
        self.compare = True
        self._counts[error.code] += 1
        if str(error) != str(self.error):
            self._outbox.log(str(error))
        self.error = error

    def suspect(self, scopes: Iterable[ScopeId]) -> None:
        """The records of these scopes are not what they should be."""
        found = list(scopes)
        self.suspects.update(found)
        names = ", ".join(f"{table}:{scope}" for table, scope in found[:3])
        self.fail(
            DigestMismatchError(
                f"scopes {names}", "the records are not what the source has", DIGEST_REMEDY
            )
        )
