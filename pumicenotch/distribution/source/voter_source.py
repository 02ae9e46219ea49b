"""The distribution in a voter: it serves relays, and reports on its children to the leader."""

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
from pumicenotch.distribution.protocol.reports import Report, merge_reports
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.settings import DEFAULTS, NEVER, Settings
from pumicenotch.distribution.source.source import Source

# Number of missing copies that a status answer names.
MAX_NAMED_MISSING = 64


class _VoterReport(NamedTuple):
    report: Report
    received_at: float


class VoterSource:
    """Serves relays from the voters' publications, which are read and never changed here.

    `step` is the only entry point for events. `report` and `status` return the state.
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
        self._use_publications()
        self._leader = ""
        self._is_leader = False
        self._in_touch = False
        # Time at which contact with the leader ended.
        self._last_in_touch_at = -NEVER
        self._progress_at = NEVER
        self._progress_sent_at = -NEVER
        self._roster_at = NEVER
        # At the leader: the last reports of the other voters, by name.
        self._reports: dict[str, _VoterReport] = {}
        # Names of served replicas, by the relay or voter that serves them.
        self._rosters: dict[str, frozenset[str]] = {}

    def step(self, now_ms: float, event: VoterEvent) -> list[Effect]:
        """Handles one event, and returns the effects to carry out."""
        now = max(self._now, now_ms)
        self._now = now
        match event:
            case Published():
                self._use_publications()
                self._source.on_published(now)
            case Received(sender, message):
                self._on_message(now, sender, message)
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
        wake_at = min(self._source.next_tick_at(now), self._progress_at, self._roster_at)
        return [*self._outbox.take(), WakeAt(wake_at)]

    def _use_publications(self) -> None:
        self._source.view = self.publications.view
        self._source.log = self.publications.log

    def _age_ms(self, now_ms: float) -> int:
        """Returns the age of the view in milliseconds, bounded by AGE_UNKNOWN_MS."""
        return 0 if self._in_touch else int(min(m.AGE_UNKNOWN_MS, now_ms - self._last_in_touch_at))

    def age_ms(self, now_ms: float) -> float:
        """Returns how long ago this voter's publications were known to be current, in milliseconds.

        The age is 0 while the voter is in touch with the leader, and infinite before the first
        contact.
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
            self._send_relay_rosters()
        if not self._is_leader:
            self._reports.clear()

    def _send_relay_rosters(self) -> None:
        """Sends a new leader the rosters of the relays that this voter serves."""
        if not self._leader or self._is_leader:
            return
        for owner in sorted(self._own_children() & self._rosters.keys()):
            self._outbox.send(self._leader, m.Roster(owner, tuple(sorted(self._rosters[owner]))))

    # Messages

    def _on_message(self, now: float, sender: Sender, message: m.Message) -> None:
        match message:
            case m.Progress(report):
                self._reports[sender.name] = _VoterReport(report, now)
            case m.Roster(owner, names):
                self._store_roster(sender, owner, names)
            case _:
                self._source.on_message(now, sender, message)
                if isinstance(message, m.Acknowledge | m.Subscribe | m.Unsubscribe):
                    earliest_at = self._progress_sent_at + self._settings.aggregate_ms
                    self._progress_at = min(self._progress_at, max(now, earliest_at))

    def _store_roster(self, sender: Sender, owner: str, names: tuple[str, ...]) -> None:
        self._rosters.pop(owner, None)
        while len(self._rosters) >= m.MAX_ROSTER_NAMES:
            # The first roster is the least recently updated one.
            del self._rosters[next(iter(self._rosters))]
        self._rosters[owner] = frozenset(names)
        is_own_child = sender.name == owner and owner in self._source.children
        if is_own_child and self._leader and not self._is_leader:
            self._outbox.send(self._leader, m.Roster(owner, names))

    # Messages to the leader

    def _send_progress(self, now: float) -> None:
        self._progress_sent_at = now
        self._progress_at = now + self._settings.acknowledge_ms
        if self._leader and not self._is_leader:
            self._outbox.send(self._leader, m.Progress(self._source.report()))

    def _send_roster(self, now: float) -> None:
        """Sends the leader the names of the replicas that this voter serves directly."""
        self._roster_at = now + self._settings.acknowledge_ms
        if not self._leader or self._is_leader:
            return
        names = self._own_children()
        self._outbox.send(self._leader, m.Roster(self.me.name, tuple(sorted(names))))

    def _own_children(self) -> set[str]:
        return {child.name for child in self._source.children.values() if child.primary}

    # Reports and status answers of the leader

    def report(self, now_ms: float) -> Report:
        """Returns the merged report of all copies that voters have reported recently."""
        oldest = now_ms - self._settings.progress_silent_ms
        reports = [
            voter_report.report
            for voter_report in self._reports.values()
            if voter_report.received_at >= oldest
        ]
        return merge_reports([self._source.report(), *reports])

    def _reporting_names(self, now_ms: float) -> set[str]:
        """Returns the names of all copies that report to a voter, directly or through a relay."""
        oldest = now_ms - self._settings.progress_silent_ms
        direct = self._own_children()
        for name, voter_report in self._reports.items():
            if voter_report.received_at >= oldest:
                direct |= self._rosters.get(name, frozenset())
        served = [self._rosters.get(name, frozenset()) for name in direct]
        return direct.union(*served)

    def status(self, now_ms: float, members: Iterable[str] = ()) -> dict[str, Any]:
        """Returns a status answer, which counts the current copies and names those behind."""
        report = self.report(now_ms)
        version = self.publications.version
        missing = sorted(set(members) - self._reporting_names(now_ms))
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
