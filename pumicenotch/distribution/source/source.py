"""Whoever serves replicas: a voter, or an instance that is a relay. It pushes what is small, announces the
rest, and answers those who ask.
"""

import random
from collections import Counter
from collections.abc import Callable

from pumicenotch.distribution.data.changelog import ChangeLog, Page
from pumicenotch.distribution.data.subscription import NOTHING, Subscription, union_of
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.events import Sender
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import Report, merged
from pumicenotch.distribution.settings import NEVER, Settings
from pumicenotch.distribution.source.admission import TokenBucket
from pumicenotch.distribution.source.children import Child, page_bytes
from pumicenotch.distribution.source.transfers import KeptTransfer, digest_page, record_page

SCOPE_DIGEST_BYTES = 48  # about, on the wire


def log_of(settings: Settings) -> ChangeLog:
    """An empty one, within its bounds."""
    return ChangeLog(entries_most=settings.log_versions_most, bytes_most=settings.log_bytes_most)


class Source:
    """Its owner sets `view`, `log` and `held`, and tells it when these have moved on (`published`)."""

    def __init__(
        self,
        settings: Settings,
        chance: random.Random,
        out: Outbox,
        counts: Counter[str],
        age_ms: Callable[[float], int],
    ) -> None:
        self.view = View()
        self.log = log_of(settings)
        self.held: Subscription = NOTHING  # scopes that the view covers
        self.accepting = False
        self.candidates: tuple[str, ...] = ()  # addresses of better sources, told with a refusal
        self.children: dict[str, Child] = {}
        self._settings, self._chance, self._out, self._counts = settings, chance, out, counts
        self._age_ms = age_ms
        self._transfers: dict[str, KeptTransfer] = {}
        self._bucket = TokenBucket(settings.bytes_per_second, settings.bytes_burst)
        self._to_push: dict[str, None] = {}
        self._look_at = NEVER

    # What the owner asks

    def published(self, now_ms: float) -> None:
        """The view and its log have moved on."""
        for child in self.children.values():
            if child.primary:
                self._to_push[child.name] = None
        self._look_at = min(self._look_at, now_ms)

    def due(self, now_ms: float) -> float:
        """When `tick` is to be called next."""
        return now_ms if self._to_push else self._look_at

    def tick(self, now_ms: float) -> None:
        budget = self._settings.slice_bytes
        for name in list(self._to_push)[: self._settings.slice_children]:
            del self._to_push[name]
            if name in self.children:
                budget -= self._push(now_ms, self.children[name])
            if budget <= 0:
                break
        if now_ms >= self._look_at and not self._to_push:
            self._look(now_ms)

    def report(self) -> Report:
        """Of all that are served here and have this as their primary source."""
        return merged(child.report for child in self.children.values() if child.primary)

    def wanted(self) -> Subscription:
        """What the children need."""
        return union_of(child.subscription for child in self.children.values())

    def dismiss(self, reason: str) -> None:
        """Tells all children to go elsewhere."""
        for child in self.children.values():
            self._out.send(child.address, m.Refused(0, reason, 0, self.candidates))
        self.children.clear()
        self._transfers.clear()
        self._to_push.clear()

    # Messages of children

    def received(self, now_ms: float, sender: Sender, message: m.Message) -> None:
        if isinstance(message, m.Subscribe):
            self._subscribe(now_ms, sender, message)
            return
        child = self.children.get(sender.name)
        if child is None or child.life != sender.process_id:
            if not isinstance(message, m.Unsubscribe):
                request = (
                    message.request if isinstance(message, m.Pull | m.Compare | m.Fetch) else 0
                )
                self._refuse(sender.address, request, m.UNKNOWN_CHILD, 0)
            return
        child.heard_at = now_ms
        match message:
            case m.Unsubscribe():
                self._forget(child)
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
        former = self.children.get(sender.name)
        if not self.accepting:
            self._refuse(sender.address, message.request, m.NOT_A_RELAY, 0)
            return
        if former is None and len(self.children) >= self._settings.children_most:
            self._refuse(
                sender.address, message.request, m.BUSY, self._jittered(self._settings.busy_ms)
            )
            return
        child = Child.of(now_ms, sender, message)
        if former is not None and former.life == child.life:
            child.report = former.report
        self.children[child.name] = child
        self._transfers.pop(child.name, None)
        child.announced = self.view.version
        accepted = m.Accepted(message.request, self.view.version, self._age_ms(now_ms))
        self._out.send(child.address, accepted)
        if child.primary:
            self._to_push[child.name] = None
        self._look_at = min(self._look_at, child.announce_due(self.view.version, self._settings))

    def _acknowledge(self, now_ms: float, child: Child, message: m.Acknowledge) -> None:
        child.acknowledged(message.version)
        child.primary = message.primary
        child.report = message.report
        if child.primary and child.pushed < self.view.version:
            self._to_push[child.name] = None

    def _pull(self, now_ms: float, child: Child, message: m.Pull) -> None:
        if not self._serves(now_ms, child, message.request, message.generation):
            return
        page = self.log.page(
            message.have, message.start, child.subscription, self._settings.page_bytes
        )
        if message.have >= self.view.version:
            page = Page(message.have, message.have, m.START, m.START, True, (), ())  # nothing newer
        if page is None:
            self._refuse(child.address, message.request, m.COMPACTED, 0)
            return
        if page.done:
            child.pushed = page.version
        self._bucket.spend(page_bytes(page))
        self._out.send(child.address, child.delta(message.request, self._age_ms(now_ms), page))

    def _compare(self, now_ms: float, child: Child, message: m.Compare) -> None:
        if not self._serves(now_ms, child, message.request, message.generation):
            return
        kept = self._transfers.get(child.name)
        if kept is None or kept.number != message.transfer:
            if message.after != m.FIRST_SCOPE:
                self._refuse(child.address, message.request, m.NO_TRANSFER, 0)
                return
            if kept is None and len(self._transfers) >= self._settings.transfers_most:
                wait = self._jittered(self._settings.busy_ms)
                self._refuse(child.address, message.request, m.BUSY, wait)
                return
            kept = KeptTransfer(
                message.transfer, child.generation, self.view, child.subscription, now_ms
            )
            self._transfers[child.name] = kept
            child.pushed = self.view.version
        kept.used_at = now_ms
        digests, done = digest_page(kept, message.after, self._settings.page_scopes)
        self._bucket.spend(SCOPE_DIGEST_BYTES * len(digests))
        scopes = m.Scopes(
            message.request, kept.number, kept.view.version, self._age_ms(now_ms), digests, done
        )
        self._out.send(child.address, scopes)

    def _fetch(self, now_ms: float, child: Child, message: m.Fetch) -> None:
        kept = self._transfers.get(child.name)
        if kept is None or kept.number != message.transfer or kept.generation != child.generation:
            self._refuse(child.address, message.request, m.NO_TRANSFER, 0)
            return
        kept.used_at = now_ms
        if not self._admits(now_ms, child, message.request):
            return
        parts, size = record_page(kept, message.wants, self._settings.page_bytes)
        self._bucket.spend(size)
        self._out.send(child.address, m.Records(message.request, kept.number, parts))

    def _end_transfer(self, child: Child, number: int) -> None:
        kept = self._transfers.get(child.name)
        if kept is not None and kept.number == number:
            del self._transfers[child.name]

    def _check(self, child: Child, message: m.Check) -> None:
        table, scope, digest = message.scope
        known = message.version == self.view.version and self.held.contains(table, scope)
        if known and digest != self.view.digest(table, scope):
            self._out.send(child.address, m.Mismatch(message.version, table, scope))

    def _serves(self, now_ms: float, child: Child, request: int, generation: int) -> bool:
        if generation != child.generation:
            self._refuse(child.address, request, m.UNKNOWN_CHILD, 0)
            return False
        if not self.held.covers(child.subscription):
            wait = self._jittered(self._settings.not_ready_ms)
            self._refuse(child.address, request, m.NOT_READY, wait)
            return False
        return self._admits(now_ms, child, request)

    def _admits(self, now_ms: float, child: Child, request: int) -> bool:
        if self._bucket.open(now_ms):
            return True
        wait = self._bucket.wait_ms(now_ms) + self._jittered(self._settings.busy_ms)
        self._refuse(child.address, request, m.BUSY, int(wait))
        return False

    def _refuse(self, address: str, request: int, reason: str, retry_after_ms: int) -> None:
        self._counts[f"refused-{reason}"] += 1
        self._out.send(address, m.Refused(request, reason, retry_after_ms, self.candidates))

    def _jittered(self, least_ms: float) -> int:
        return int(least_ms * (1.0 + self._chance.random()))

    # What it tells by itself

    def _push(self, now_ms: float, child: Child) -> int:
        """The next changes, as far as they are small and the child acknowledges; and their size."""
        settings, pushed = self._settings, 0
        while (
            child.pushed < self.view.version and child.pushed - child.version < settings.push_window
        ):
            if not self.held.covers(child.subscription):
                break
            page = self.log.whole_page(child.pushed, child.subscription, settings.push_bytes_most)
            if page is None:
                break  # it is announced, and pulled
            pushed += page_bytes(page)
            self._out.send(child.address, child.delta(0, self._age_ms(now_ms), page))
            self._counts["pushed"] += 1
            child.pushed = child.announced = page.version
            child.announced_at = now_ms
        return pushed

    def _look(self, now_ms: float) -> None:
        """Announces where it is time, and forgets those who have fallen silent."""
        version, told, following = self.view.version, 0, NEVER
        for child in list(self.children.values()):
            if now_ms - child.heard_at >= self._settings.child_silent_ms:
                self._forget(child)
                continue
            if now_ms >= child.announce_due(version, self._settings):
                if told >= 2 * self._settings.slice_children:
                    following = now_ms
                    break
                self._out.send(child.address, m.Announce(version, self._age_ms(now_ms)))
                child.announced, child.announced_at, told = version, now_ms, told + 1
            following = min(following, child.announce_due(version, self._settings))
        self._look_at = following
        for name, kept in list(self._transfers.items()):
            if now_ms - kept.used_at >= self._settings.transfer_idle_ms:
                del self._transfers[name]

    def _forget(self, child: Child) -> None:
        del self.children[child.name]
        self._transfers.pop(child.name, None)
        self._to_push.pop(child.name, None)
