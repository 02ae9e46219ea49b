"""A voter's part in the distribution: it serves relays, and reports to the leader."""

import random
from collections.abc import Iterable
from typing import Any, NamedTuple

from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.subscription import EVERYTHING
from pumicenotch.distribution.effects import Effect, WakeAt
from pumicenotch.distribution.events import (
    LeaderChanged,
    Peer,
    Published,
    Received,
    Sender,
    Started,
    VoterEvent,
)
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import Report, merged
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.settings import DEFAULTS, NEVER, Settings
from pumicenotch.distribution.source.source import Source

# Names in a status answer.
MAX_NAMED_MISSING = 64


class _VoterReport(NamedTuple):
    report: Report
    received_at: float


class VoterSource:
    """Serves relays from the voters' book, which it reads and never changes.

    `step` is the one way in.
    """

    def __init__(
        self,
        me: Peer,
        publications: Publications,
        rng: random.Random,
        *,
        settings: Settings = DEFAULTS,
    ) -> None:
        self.me = me
        self.publications = publications
        context = new_context(rng, settings)
        self.counts = context.counts
        self._settings = settings
        self._now = 0.0
        self._outbox = context.outbox
        self._source = Source(context, self._age_ms)
        self._source.coverage = EVERYTHING
        self._source.accepting = True
        self._take_book()
        self._leader = ""
        self._is_leader = False
        self._in_touch = False
        self._last_in_touch_at = -NEVER  # when it was last in touch with the leader
        self._progress_at = NEVER
        self._progress_sent_at = -NEVER
        self._roster_at = NEVER
        self._reports: dict[str, _VoterReport] = {}  # at the leader: of the other voters
        self._rosters: dict[str, frozenset[str]] = {}  # by owner: a relay or a voter

    def step(self, now_ms: float, event: VoterEvent) -> list[Effect]:
        """Take one event, and return the effects that are wanted."""
        now = max(self._now, now_ms)
        self._now = now
        match event:
            case Published():
                self._take_book()
                self._source.published(now)
            case Received(sender, message):
                self._received(now, sender, message)
            case LeaderChanged():
                self._leader_changed(now, event)
            case Started():
                self._progress_at = now
                self._roster_at = now
        if now >= self._source.next_tick_at(now):
            self._source.tick(now)
        if now >= self._progress_at:
            self._send_progress(now)
        if now >= self._roster_at:
            self._send_roster(now)
        due = min(self._source.next_tick_at(now), self._progress_at, self._roster_at)
        return [*self._outbox.take(), WakeAt(due)]

    def _take_book(self) -> None:
        self._source.view = self.publications.view
        self._source.log = self.publications.log

    def _age_ms(self, now_ms: float) -> int:
        """Return the age as messages carry it."""
        return 0 if self._in_touch else int(min(m.AGE_UNKNOWN_MS, now_ms - self._last_in_touch_at))

    def age_ms(self, now_ms: float) -> float:
        """Return how long ago this voter's book was known to be current; infinite before it was.

        Nothing is newer while the voter is in touch with the leader.
        """
        return 0.0 if self._in_touch else now_ms - self._last_in_touch_at

    def _leader_changed(self, now: float, event: LeaderChanged) -> None:
        if self._in_touch:
            self._last_in_touch_at = now
        changed = event.address != self._leader
        self._leader, self._is_leader, self._in_touch = event
        if changed:
            self._progress_at = now
            self._roster_at = now
            self._introduce()
        if not self._is_leader:
            self._reports.clear()

    def _introduce(self) -> None:
        """Send a new leader the rosters of the relays that this voter serves."""
        if not self._leader or self._is_leader:
            return
        for owner in sorted(self._own_children() & self._rosters.keys()):
            self._outbox.send(self._leader, m.Roster(owner, tuple(sorted(self._rosters[owner]))))

    # Messages

    def _received(self, now: float, sender: Sender, message: m.Message) -> None:
        match message:
            case m.Progress(report):
                self._reports[sender.name] = _VoterReport(report, now)
            case m.Roster(owner, names):
                self._take_roster(sender, owner, names)
            case _:
                self._source.received(now, sender, message)
                if isinstance(message, m.Acknowledge | m.Subscribe | m.Unsubscribe):
                    earliest = self._progress_sent_at + self._settings.aggregate_ms
                    self._progress_at = min(self._progress_at, max(now, earliest))

    def _take_roster(self, sender: Sender, owner: str, names: tuple[str, ...]) -> None:
        self._rosters.pop(owner, None)
        while len(self._rosters) >= m.MAX_ROSTER_NAMES:
            del self._rosters[next(iter(self._rosters))]  # the one that was updated longest ago
        self._rosters[owner] = frozenset(names)
        own_child = sender.name == owner and owner in self._source.children
        if own_child and self._leader and not self._is_leader:
            self._outbox.send(self._leader, m.Roster(owner, names))

    # To the leader

    def _send_progress(self, now: float) -> None:
        self._progress_sent_at = now
        self._progress_at = now + self._settings.acknowledge_ms
        if self._leader and not self._is_leader:
            self._outbox.send(self._leader, m.Progress(self._source.report()))

    def _send_roster(self, now: float) -> None:
        """Send the names of those that this voter serves itself."""
        self._roster_at = now + self._settings.acknowledge_ms
        if not self._leader or self._is_leader:
            return
        names = self._own_children()
        self._outbox.send(self._leader, m.Roster(self.me.name, tuple(sorted(names))))

    def _own_children(self) -> set[str]:
        return {child.name for child in self._source.children.values() if child.primary}

    # At the leader

    def report(self, now_ms: float) -> Report:
        """Return the report of all copies that some voter has heard of."""
        since = now_ms - self._settings.progress_silent_ms
        others = [known.report for known in self._reports.values() if known.received_at >= since]
        return merged([self._source.report(), *others])

    def _accounted(self, now_ms: float) -> set[str]:
        """Return the names of all copies that report to some voter."""
        since = now_ms - self._settings.progress_silent_ms
        direct = self._own_children()
        for name, known in self._reports.items():
            if known.received_at >= since:
                direct |= self._rosters.get(name, frozenset())
        served = [self._rosters.get(name, frozenset()) for name in direct]
        return direct.union(*served)

    def status(self, now_ms: float, members: Iterable[str] = ()) -> dict[str, Any]:
        """Return a status answer: how many copies have the newest version, and which have not."""
        report = self.report(now_ms)
        version = self.publications.version
        missing = sorted(set(members) - self._accounted(now_ms))
        return {
            "version": version,
            "copies": report.copies,
            "in_force": report.current if report.newest == version else 0,
            "lowest": report.lowest if report.copies else None,
            "behind": [problem._asdict() for problem in report.problems],
            "behind_unnamed": report.unnamed,
            "missing": missing[:MAX_NAMED_MISSING],
            "missing_count": len(missing),
            "leader": self._is_leader,
            "children": len(self._source.children),
            "log": {"base": self.publications.log.base, "bytes": self.publications.log.size},
            "history": [entry._asdict() for entry in self.publications.history[-10:]],
            "counts": dict(self.counts),
        }
