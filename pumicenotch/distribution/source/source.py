"""The server side of the distribution, which runs in voters and relays.

A source pushes small deltas to its children, announces larger ones, and answers requests.
"""

from collections.abc import Callable

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.data.changelog import ChangeLog, Page
from pumicenotch.distribution.data.subscription import NOTHING, Subscription, union_of
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.events import Sender
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import Report, merge_reports
from pumicenotch.distribution.settings import NEVER, Settings
from pumicenotch.distribution.source.admission import TokenBucket
from pumicenotch.distribution.source.children import Child, page_bytes
from pumicenotch.distribution.source.transfers import OpenTransfer, digest_page, record_page

# Approximate size of a scope's digest on the wire.
SCOPE_DIGEST_BYTES = 48


def new_change_log(settings: Settings) -> ChangeLog:
    """Returns an empty change log with the bounds of the settings."""
    return ChangeLog(max_entries=settings.max_log_versions, max_bytes=settings.max_log_bytes)


class Source:
    """Serves the replicas that subscribe to it, its children.

    The owner, a node or a voter, sets `view`, `log`, `coverage`, `accepting` and `candidates`, and
    calls `on_published` after a change of the view.

    Attributes:
        view: the view in force.
        log: the changes that led to the view.
        coverage: the scopes that the view covers.
        accepting: whether replicas may subscribe.
        candidates: addresses of other sources, which are sent with a refusal.
        children: the children by name.
    """

    def __init__(self, context: Context, age_ms: Callable[[float], int]) -> None:
        """Creates a source without children.

        Args:
            context: the settings and collaborators of the reducer.
            age_ms: returns, for the present time, how long ago the view was known to be current.
        """
        settings = context.settings
        self.view = View()
        self.log = new_change_log(settings)
        self.coverage: Subscription = NOTHING
        self.accepting = False
        self.candidates: tuple[str, ...] = ()
        self.children: dict[str, Child] = {}
        self._settings = settings
        self._rng = context.rng
        self._outbox = context.outbox
        self._counts = context.counts
        self._age_ms = age_ms
        self._transfers: dict[str, OpenTransfer] = {}
        self._bucket = TokenBucket(settings.bytes_per_second, settings.bytes_burst)
        self._push_queue: dict[str, None] = {}
        self._next_review_at = NEVER

    # Interface to the owner

    def on_published(self, now_ms: float) -> None:
        """Schedules pushes and announcements of the view that has come into force."""
        for child in self.children.values():
            if child.primary:
                self._push_queue[child.name] = None
        self._next_review_at = min(self._next_review_at, now_ms)

    def next_tick_at(self, now_ms: float) -> float:
        """Returns the time at which `tick` is to be called next."""
        return now_ms if self._push_queue else self._next_review_at

    def tick(self, now_ms: float) -> None:
        """Pushes to a slice of the queued children, or reviews announcements and timeouts."""
        budget = self._settings.slice_bytes
        for name in list(self._push_queue)[: self._settings.slice_children]:
            del self._push_queue[name]
            if name in self.children:
                budget -= self._push(now_ms, self.children[name])
            if budget <= 0:
                break
        if now_ms >= self._next_review_at and not self._push_queue:
            self._review_children(now_ms)

    def report(self) -> Report:
        """Returns the merged report of the children that have this as their primary source."""
        return merge_reports(child.report for child in self.children.values() if child.primary)

    def children_subscription(self) -> Subscription:
        """Returns the scopes that the children need."""
        return union_of(child.subscription for child in self.children.values())

    def dismiss(self, reason: str) -> None:
        """Sends a refusal to all children, and removes them."""
        for child in self.children.values():
            self._outbox.send(child.address, m.Refused(0, reason, 0, self.candidates))
        self.children.clear()
        self._transfers.clear()
        self._push_queue.clear()

    # Messages from children

    def on_message(self, now_ms: float, sender: Sender, message: m.Message) -> None:
        """Handles a message from a child, or from a replica that subscribes."""
        if isinstance(message, m.Subscribe):
            self._subscribe(now_ms, sender, message)
            return
        child = self.children.get(sender.name)
        if child is None or child.process_id != sender.process_id:
            if not isinstance(message, m.Unsubscribe):
                request = (
                    message.request if isinstance(message, m.Pull | m.Compare | m.Fetch) else 0
                )
                self._refuse(sender.address, request, m.UNKNOWN_CHILD, 0)
            return
        child.last_message_at = now_ms
        self._received_from_child(now_ms, child, message)

    def _received_from_child(self, now_ms: float, child: Child, message: m.Message) -> None:
        match message:
            case m.Unsubscribe():
                self._remove(child)
            case m.Acknowledge():
                self._acknowledge(now_ms, child, message)
            case m.Pull():
                self._pull(now_ms, child, message)
            case m.Compare():
                self._compare(now_ms, child, message)
            case m.Fetch():
                self._fetch(now_ms, child, message)
            case m.EndTransfer(number):
                self._end_transfer(child, number)
            case m.Check():
                self._check(child, message)

    def _subscribe(self, now_ms: float, sender: Sender, message: m.Subscribe) -> None:
        previous_child = self.children.get(sender.name)
        if not self.accepting:
            self._refuse(sender.address, message.request, m.NOT_A_RELAY, 0)
            return
        if previous_child is None and len(self.children) >= self._settings.max_children:
            self._refuse(
                sender.address, message.request, m.BUSY, self._jittered(self._settings.busy_ms)
            )
            return
        child = Child.of(now_ms, sender, message)
        if previous_child is not None and previous_child.process_id == child.process_id:
            child.report = previous_child.report
        self.children[child.name] = child
        self._transfers.pop(child.name, None)
        child.announced_version = self.view.version
        accepted = m.Accepted(message.request, self.view.version, self._age_ms(now_ms))
        self._outbox.send(child.address, accepted)
        if child.primary:
            self._push_queue[child.name] = None
        self._next_review_at = min(
            self._next_review_at, child.next_announcement_at(self.view.version, self._settings)
        )

    def _acknowledge(self, now_ms: float, child: Child, message: m.Acknowledge) -> None:
        child.acknowledged(message.version)
        child.primary = message.primary
        child.report = message.report
        if child.primary and child.pushed_version < self.view.version:
            self._push_queue[child.name] = None

    def _pull(self, now_ms: float, child: Child, message: m.Pull) -> None:
        if not self._can_serve(now_ms, child, message.request, message.generation):
            return
        page = self.log.page(
            message.have, message.start, child.subscription, self._settings.page_bytes
        )
        # The child has the newest version already.
        if message.have >= self.view.version:
            page = Page(message.have, message.have, m.START, m.START, True, (), ())
        if page is None:
            self._refuse(child.address, message.request, m.COMPACTED, 0)
            return
        if page.done:
            child.pushed_version = page.version
        self._bucket.spend(page_bytes(page))
        self._outbox.send(child.address, child.delta(message.request, self._age_ms(now_ms), page))

    def _compare(self, now_ms: float, child: Child, message: m.Compare) -> None:
        if not self._can_serve(now_ms, child, message.request, message.generation):
            return
        transfer = self._transfers.get(child.name)
        if transfer is None or transfer.number != message.transfer:
            if message.after != m.BEFORE_ALL_SCOPES:
                self._refuse(child.address, message.request, m.NO_TRANSFER, 0)
                return
            if transfer is None and len(self._transfers) >= self._settings.max_transfers:
                delay_ms = self._jittered(self._settings.busy_ms)
                self._refuse(child.address, message.request, m.BUSY, delay_ms)
                return
            transfer = OpenTransfer(
                message.transfer, child.generation, self.view, child.subscription, now_ms
            )
            self._transfers[child.name] = transfer
            child.pushed_version = self.view.version
        transfer.last_used_at = now_ms
        digests, done = digest_page(transfer, message.after, self._settings.page_scopes)
        self._bucket.spend(SCOPE_DIGEST_BYTES * len(digests))
        scopes = m.Scopes(
            message.request,
            transfer.number,
            transfer.view.version,
            self._age_ms(now_ms),
            digests,
            done,
        )
        self._outbox.send(child.address, scopes)

    def _fetch(self, now_ms: float, child: Child, message: m.Fetch) -> None:
        transfer = self._transfers.get(child.name)
        if (
            transfer is None
            or transfer.number != message.transfer
            or transfer.generation != child.generation
        ):
            self._refuse(child.address, message.request, m.NO_TRANSFER, 0)
            return
        transfer.last_used_at = now_ms
        if not self._is_admitted(now_ms, child, message.request):
            return
        pages, size = record_page(transfer, message.wants, self._settings.page_bytes)
        self._bucket.spend(size)
        self._outbox.send(child.address, m.Records(message.request, transfer.number, pages))

    def _end_transfer(self, child: Child, number: int) -> None:
        transfer = self._transfers.get(child.name)
        if transfer is not None and transfer.number == number:
            del self._transfers[child.name]

    def _check(self, child: Child, message: m.Check) -> None:
        table, scope, digest = message.scope
        is_comparable = message.version == self.view.version and self.coverage.contains(
            table, scope
        )
        if is_comparable and digest != self.view.digest(table, scope):
            self._outbox.send(child.address, m.Mismatch(message.version, table, scope))

    def _can_serve(self, now_ms: float, child: Child, request: int, generation: int) -> bool:
        if generation != child.generation:
            self._refuse(child.address, request, m.UNKNOWN_CHILD, 0)
            return False
        if not self.coverage.covers(child.subscription):
            delay_ms = self._jittered(self._settings.not_ready_ms)
            self._refuse(child.address, request, m.NOT_READY, delay_ms)
            return False
        return self._is_admitted(now_ms, child, request)

    def _is_admitted(self, now_ms: float, child: Child, request: int) -> bool:
        if self._bucket.is_open(now_ms):
            return True
        delay_ms = self._bucket.wait_ms(now_ms) + self._jittered(self._settings.busy_ms)
        self._refuse(child.address, request, m.BUSY, int(delay_ms))
        return False

    def _refuse(self, address: str, request: int, reason: str, retry_after_ms: int) -> None:
        self._counts[f"refused-{reason}"] += 1
        self._outbox.send(address, m.Refused(request, reason, retry_after_ms, self.candidates))

    def _jittered(self, min_ms: float) -> int:
        return int(min_ms * (1.0 + self._rng.random()))

    # Pushes and announcements

    def _push(self, now_ms: float, child: Child) -> int:
        """Pushes small deltas to a child within its window, and returns their size in bytes."""
        settings = self._settings
        pushed_bytes = 0
        while (
            child.pushed_version < self.view.version
            and child.pushed_version - child.version < settings.push_window
        ):
            if not self.coverage.covers(child.subscription):
                break
            page = self.log.complete_page(
                child.pushed_version, child.subscription, settings.max_push_bytes
            )
            if page is None:
                # The child pulls a delta of this size after its announcement.
                break
            pushed_bytes += page_bytes(page)
            self._outbox.send(child.address, child.delta(0, self._age_ms(now_ms), page))
            self._counts["pushed"] += 1
            child.pushed_version = page.version
            child.announced_version = page.version
            child.announced_at = now_ms
        return pushed_bytes

    def _review_children(self, now_ms: float) -> None:
        """Sends due announcements, and removes silent children and idle transfers."""
        version = self.view.version
        announcements = 0
        next_review_at = NEVER
        for child in list(self.children.values()):
            if now_ms - child.last_message_at >= self._settings.child_silent_ms:
                self._remove(child)
                continue
            if now_ms >= child.next_announcement_at(version, self._settings):
                if announcements >= 2 * self._settings.slice_children:
                    next_review_at = now_ms
                    break
                self._outbox.send(child.address, m.Announce(version, self._age_ms(now_ms)))
                child.announced_version = version
                child.announced_at = now_ms
                announcements += 1
            next_announcement_at = child.next_announcement_at(version, self._settings)
            next_review_at = min(next_review_at, next_announcement_at)
        self._next_review_at = next_review_at
        for name, transfer in list(self._transfers.items()):
            if now_ms - transfer.last_used_at >= self._settings.transfer_idle_ms:
                del self._transfers[name]

    def _remove(self, child: Child) -> None:
        del self.children[child.name]
        self._transfers.pop(child.name, None)
        self._push_queue.pop(child.name, None)
