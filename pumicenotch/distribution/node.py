"""An instance's part in the distribution: its replica, and a source for others where it is a relay."""

import itertools
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from pumicenotch.distribution.data.changelog import LogEntry
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import TABLES, Table
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.effects import Effect, WakeAt
from pumicenotch.distribution.errors import DistributionError, SourceBehindError, SourceRefusedError
from pumicenotch.distribution.events import (
    NodeEvent,
    Peer,
    PeerChanged,
    Received,
    Sender,
    Started,
    SubscriptionChanged,
    Ticked,
)
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import BEHIND, Report, merged, own_report
from pumicenotch.distribution.replica.acknowledgements import Acknowledger
from pumicenotch.distribution.replica.placement import Placement
from pumicenotch.distribution.replica.replica import Replica
from pumicenotch.distribution.replica.upstreams import Upstreams
from pumicenotch.distribution.settings import DEFAULTS, NEVER, Settings
from pumicenotch.distribution.source.source import Source

FROM_CHILDREN = (
    m.Subscribe,
    m.Unsubscribe,
    m.Acknowledge,
    m.Pull,
    m.Compare,
    m.Fetch,
    m.EndTransfer,
    m.Check,
)


class Node:
    """`step` is the one way in. `me` is this instance, `voters` their addresses."""

    def __init__(
        self,
        me: Peer,
        voters: Sequence[str],
        subscription: Subscription,
        rng: random.Random,
        *,
        settings: Settings = DEFAULTS,
        tables: Mapping[str, Table] = TABLES,
        relay_eligible: bool = True,
    ) -> None:
        self.me = me
        self.counts: Counter[str] = Counter()
        self._settings = settings
        self._own = subscription  # what this instance needs for itself
        self._now = 0.0
        self._outbox = Outbox()
        numbers = itertools.count(1)
        self._upstreams = Upstreams(settings, rng, self._outbox, self.counts, numbers)
        self._replica = Replica(
            subscription,
            rng,
            settings,
            tables,
            self._outbox,
            self.counts,
            self._upstreams,
            numbers,
            self._switched,
        )
        self._source = Source(settings, rng, self._outbox, self.counts, self._told_age_ms)
        self._placement = Placement(
            me, voters, settings, self._upstreams, self._source, self._outbox, relay_eligible
        )
        self._acknowledger = Acknowledger(me.name, settings, self._outbox)
        self._started_at = NEVER
        self._widen_at = NEVER
        self._narrow_at = settings.narrow_ms
        self._current_at = -NEVER
        self._error_code = ""

    # What there is to see

    @property
    def view(self) -> View:
        """What is in force."""
        return self._replica.copy.view

    def holds(self, table: str, scope: str) -> bool:
        """Whether the view has that scope, with or without records in it."""
        return self._replica.copy.coverage.contains(table, scope)

    @property
    def relay(self) -> bool:
        """Whether it serves others of its zone."""
        return self._placement.relay

    @property
    def error(self) -> DistributionError | None:
        """What keeps this copy behind, if anything does."""
        if self._replica.copy.error is not None:
            return self._replica.copy.error
        if self._is_ahead_of_sources():
            return SourceBehindError(
                f"instance {self.me.name}",
                f"it has version {self.view.version}, and all its sources have lower ones",
                "if the fleet was founded anew, publish all again, then restart this instance",
            )
        if self._started_at + self._settings.source_silent_ms > self._now or self._has_source():
            return None
        return SourceRefusedError(
            f"instance {self.me.name}",
            "no relay and no voter serves it at the moment",
            "see that it reaches voters and relays of its zone; it serves on with what it has",
        )

    def age_ms(self, now_ms: float) -> float:
        """How long ago this copy was known to be current; infinite before it ever was."""
        return max(0.0, now_ms - self._current_at)

    def status(self, now_ms: float) -> dict[str, Any]:
        """For operators: version, age, sources, role, error with remedy."""
        age = self.age_ms(now_ms)
        error = self.error
        return {
            "version": self.view.version,
            "newest": self._replica.copy.newest,
            "age_ms": None if age == NEVER else round(age),
            "relay": self.relay,
            "sources": [link.address for link in self._upstreams.links if link.accepted],
            "children": len(self._source.children),
            "subscription": self._replica.subscription.encode(),
            "error": None if error is None else {"code": error.code, "text": str(error)},
            "counts": dict(self.counts),
        }

    def _is_ahead_of_sources(self) -> bool:
        """For longer than a source may lag: no version goes back, so that nothing mends it by itself."""
        versions = [link.version for link in self._upstreams.links if link.accepted]
        silent = self._now - self._current_at >= self._settings.source_silent_ms
        return bool(versions) and max(versions) < self.view.version and silent

    def _has_source(self) -> bool:
        return any(link.accepted for link in self._upstreams.links)

    def _told_age_ms(self, now_ms: float) -> int:
        return int(min(m.AGE_UNKNOWN_MS, self.age_ms(now_ms)))

    # The one way in

    def step(self, now_ms: float, event: NodeEvent) -> list[Effect]:
        """Takes one event, and gives the effects that are wanted."""
        now = max(self._now, now_ms)
        self._now = now
        match event:
            case Received(sender, message):
                self._received(now, sender, message)
            case PeerChanged(peer):
                self._placement.peer_changed(now, peer)
            case SubscriptionChanged(subscription):
                self._own = subscription
                self._resubscribe(now, subscription.union(self._source.wanted()))
            case Started():
                self._started_at = now
                self._narrow_at = now + self._settings.narrow_ms
                self._placement.started(now)
            case Ticked():
                pass
        self._go_on(now)
        return [*self._outbox.take(), WakeAt(self._due(now))]

    def _go_on(self, now: float) -> None:
        """What is due, a slice of each."""
        if now >= self._placement.next_choice_at(now):
            self._choose(now)
        self._replica.tick(now)
        self._follow_upstreams(now)
        self._update_subscription(now)
        if now >= self._source.next_tick_at(now):
            self._source.tick(now)
        self._acknowledge(now)

    def _choose(self, now: float) -> None:
        replica = self._replica
        self._placement.choose(now, readable=not replica.copy.is_blocked())
        self._upstreams.tick(
            now, replica.generation, self.view.version, replica.copy.newest, replica.subscription
        )
        self._follow_upstreams(now)

    def _follow_upstreams(self, now: float) -> None:
        """Does what follows from sources that are lost, or primary now."""
        lost, self._upstreams.lost = self._upstreams.lost, []
        for address in lost:
            self._replica.source_lost(address)
            self._placement.choose_soon(now)
        if self._upstreams.promoted:
            self._upstreams.promoted = False
            self._acknowledger.at_once(now)

    def _due(self, now: float) -> float:
        parts = (
            self._placement.next_choice_at(now),
            self._replica.next_tick_at(now),
            self._source.next_tick_at(now),
        )
        return min(*parts, self._widen_at, self._narrow_at, self._acknowledger.next_send_at())

    # Messages

    def _received(self, now: float, sender: Sender, message: m.Message) -> None:
        if isinstance(message, FROM_CHILDREN):
            self._source.received(now, sender, message)
            self._after_child(now, message)
        elif self._upstreams.link(sender.address) is None:
            if isinstance(message, m.Announce | m.Delta):
                self._outbox.send(sender.address, m.Unsubscribe())
        else:
            self._from_source(now, sender.address, message)
            self._find_age()

    def _after_child(self, now: float, message: m.Message) -> None:
        if isinstance(message, m.Acknowledge | m.Subscribe | m.Unsubscribe):
            self._acknowledger.changed(now, serves=True)
        if isinstance(message, m.Subscribe) and not self._replica.subscription.covers(
            message.subscription
        ):
            self._widen_at = min(self._widen_at, now + self._settings.widen_ms)

    def _from_source(self, now: float, address: str, message: m.Message) -> None:
        replica = self._replica
        upstreams = self._upstreams
        match message:
            case m.Accepted(_, version, age_ms):
                upstreams.heard(now, address, version, age_ms)
                if upstreams.accepted(address, message):
                    self._acknowledger.at_once(now)
                    replica.heard(now, version)
            case m.Announce(version, age_ms):
                upstreams.heard(now, address, version, age_ms)
                replica.heard(now, version)
            case m.Delta():
                upstreams.heard(now, address, message.version, message.age_ms)
                replica.delta(now, address, message)
            case m.Scopes():
                upstreams.heard(now, address, message.version, message.age_ms)
                replica.scopes(now, address, message)
            case m.Records():
                upstreams.heard(now, address, None, 0)
                replica.records(now, address, message)
            case m.Mismatch():
                replica.mismatch(message)
            case m.Refused():
                self._refused(now, address, message)

    def _refused(self, now: float, address: str, message: m.Refused) -> None:
        link = self._upstreams.link(address)
        assert link is not None
        link.heard_at = now
        if message.reason == m.NOT_A_RELAY:
            self._placement.hints = message.candidates
            self._upstreams.failed(now, address)
        elif message.reason == m.BUSY and message.request == link.request:
            self._upstreams.failed(now, address, message.retry_after_ms)
        elif message.reason == m.UNKNOWN_CHILD:
            self._upstreams.forgotten(now, address)
        self._replica.refused(now, address, message)
        self._placement.choose_soon(now)

    # The subscription: what this instance needs, and what its children need

    def _update_subscription(self, now: float) -> None:
        if now >= self._widen_at:
            self._widen_at = NEVER
            needed = self._own.union(self._source.wanted())
            if not self._replica.subscription.covers(needed):
                self._resubscribe(now, self._replica.subscription.union(needed))
        if now >= self._narrow_at:
            self._narrow_at = now + self._settings.narrow_ms
            self._resubscribe(now, self._own.union(self._source.wanted()))

    def _resubscribe(self, now: float, subscription: Subscription) -> None:
        if subscription == self._replica.subscription:
            return
        self._replica.subscribe(now, subscription)
        self._source.view = self.view
        self._source.coverage = self._replica.copy.coverage
        self._upstreams.subscribe_anew(now)
        self._placement.choose_soon(now)

    # What is in force

    def _switched(self, entry: LogEntry | None) -> None:
        """The replica has another view in force."""
        source = self._source
        view = self.view
        if entry is None or not self.relay:
            source.log.reset(view.version)
        else:
            source.log.append(entry)
        source.view = view
        source.coverage = self._replica.copy.coverage
        source.published(self._now)
        self._find_age()
        self._acknowledger.changed(self._now, serves=bool(source.children))

    def _find_age(self) -> None:
        for link in self._upstreams.links:
            # One with a lower version says nothing: it lags, or its past is another one.
            if link.version == self.view.version:
                self._current_at = max(self._current_at, link.as_of)

    # Acknowledgements

    def report(self) -> Report:
        """Of this copy and those that it serves."""
        copy = self._replica.copy
        code = self._code()
        if not code and not copy.coverage.covers(self._own):
            code = BEHIND
        own = own_report(self.me.name, copy.view.version, copy.newest, code)
        return merged([own, self._source.report()])

    def _code(self) -> str:
        """Of the error that sources are to hear of."""
        error = self._replica.copy.error
        if error is None:
            return SourceBehindError.code if self._is_ahead_of_sources() else ""
        return error.code

    def _acknowledge(self, now: float) -> None:
        code = self._code()
        if code != self._error_code:
            self._error_code = code
            self._acknowledger.changed(now, serves=bool(self._source.children))
            self._placement.choose_soon(now)  # whether it accepts children
        if now < self._acknowledger.next_send_at():
            return
        links = self._upstreams.links
        self._acknowledger.send(now, links, self.view.version, self.report())
        served = [child.name for child in self._source.children.values() if child.primary]
        self._acknowledger.tell_roster(now, links, served)
