"""An instance's part in the distribution: its replica, and a source where it is a relay."""

from collections.abc import Sequence
from typing import Any

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.data.changelog import LogEntry
from pumicenotch.distribution.data.subscription import Subscription
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
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.protocol.reports import BEHIND, Report, merged, own_report
from pumicenotch.distribution.replica.acknowledgements import Acknowledger
from pumicenotch.distribution.replica.placement import Placement
from pumicenotch.distribution.replica.replica import Replica
from pumicenotch.distribution.replica.upstreams import Upstreams
from pumicenotch.distribution.settings import NEVER
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
    """A replica, and a source for others. `step` is the one way in."""

    def __init__(
        self,
        me: Peer,
        voters: Sequence[str],
        subscription: Subscription,
        context: Context,
        relay_eligible: bool = True,
    ) -> None:
        """Create a node without any configuration.

        Args:
            me: this instance.
            voters: their addresses.
            subscription: what this instance needs for itself.
            context: settings and collaborators.
            relay_eligible: whether it may be a relay.
        """
        self.me = me
        self.counts = context.counts
        self._settings = context.settings
        self._own = subscription
        self._now = 0.0
        self._outbox = context.outbox
        self._upstreams = Upstreams(context)
        self._replica = Replica(subscription, context, self._upstreams, self._on_switch)
        self._source = Source(context, self._encoded_age_ms)
        self._placement = Placement(
            me, voters, context, self._upstreams, self._source, relay_eligible
        )
        self._acknowledger = Acknowledger(me.name, context)
        self._started_at = NEVER
        self._widen_at = NEVER
        self._narrow_at = context.settings.narrow_ms
        self._current_at = -NEVER
        self._error_code = ""

    # Status

    @property
    def view(self) -> View:
        """The configuration in force."""
        return self._replica.copy.view

    def covers(self, table: str, scope: str) -> bool:
        """Whether the view covers that scope, with or without records in it."""
        return self._replica.copy.coverage.contains(table, scope)

    @property
    def relay(self) -> bool:
        """Whether it serves others of its zone."""
        return self._placement.relay

    @property
    def error(self) -> DistributionError | None:
        """What keeps this copy from the newest version, if anything does."""
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
        """Return how long ago this copy was known to be current; infinite before it was."""
        return max(0.0, now_ms - self._current_at)

    def status(self, now_ms: float) -> dict[str, Any]:
        """Return a status answer: version, age, sources, role, error with remedy."""
        age = self.age_ms(now_ms)
        error = self.error
        return {
            "version": self.view.version,
            "newest": self._replica.copy.newest_version,
            "age_ms": None if age == NEVER else round(age),
            "relay": self.relay,
            "sources": [
                upstream.address for upstream in self._upstreams.active if upstream.accepted
            ],
            "children": len(self._source.children),
            "subscription": self._replica.subscription.encode(),
            "error": None if error is None else {"code": error.code, "text": str(error)},
            "counts": dict(self.counts),
        }

    def _is_ahead_of_sources(self) -> bool:
        """Whether all sources have had lower versions for long.

        No version goes back, so nothing repairs it by itself.
        """
        versions = [upstream.version for upstream in self._upstreams.active if upstream.accepted]
        silent = self._now - self._current_at >= self._settings.source_silent_ms
        return bool(versions) and max(versions) < self.view.version and silent

    def _has_source(self) -> bool:
        return any(upstream.accepted for upstream in self._upstreams.active)

    def _encoded_age_ms(self, now_ms: float) -> int:
        return int(min(m.AGE_UNKNOWN_MS, self.age_ms(now_ms)))

    # The one way in

    def step(self, now_ms: float, event: NodeEvent) -> list[Effect]:
        """Take one event, and return the effects that are wanted."""
        now = max(self._now, now_ms)
        self._now = now
        match event:
            case Received(sender, message):
                self._received(now, sender, message)
            case PeerChanged(peer):
                self._placement.on_peer_changed(now, peer)
            case SubscriptionChanged(subscription):
                self._own = subscription
                self._resubscribe(now, subscription.union(self._source.children_subscription()))
            case Started():
                self._started_at = now
                self._narrow_at = now + self._settings.narrow_ms
                self._placement.on_started(now)
            case Ticked():
                pass
        self._continue(now)
        return [*self._outbox.take(), WakeAt(self._next_wake_at(now))]

    def _continue(self, now: float) -> None:
        """Do a slice of each thing that is due."""
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
            now,
            replica.generation,
            self.view.version,
            replica.copy.newest_version,
            replica.subscription,
        )
        self._follow_upstreams(now)

    def _follow_upstreams(self, now: float) -> None:
        """Act on sources that were lost or promoted."""
        lost, self._upstreams.lost = self._upstreams.lost, []
        for address in lost:
            self._replica.on_source_lost(address)
            self._placement.request_choice(now)
        if self._upstreams.promoted:
            self._upstreams.promoted = False
            self._acknowledger.acknowledge_now(now)

    def _next_wake_at(self, now: float) -> float:
        return min(
            self._placement.next_choice_at(now),
            self._replica.next_tick_at(now),
            self._source.next_tick_at(now),
            self._widen_at,
            self._narrow_at,
            self._acknowledger.next_send_at(),
        )

    # Messages

    def _received(self, now: float, sender: Sender, message: m.Message) -> None:
        if isinstance(message, FROM_CHILDREN):
            self._source.on_message(now, sender, message)
            self._after_child(now, message)
        elif self._upstreams.find(sender.address) is None:
            if isinstance(message, m.Announce | m.Delta):
                self._outbox.send(sender.address, m.Unsubscribe())
        else:
            self._from_source(now, sender.address, message)
            self._update_age()

    def _after_child(self, now: float, message: m.Message) -> None:
        if isinstance(message, m.Acknowledge | m.Subscribe | m.Unsubscribe):
            self._acknowledger.schedule(now, serves=True)
        if isinstance(message, m.Subscribe) and not self._replica.subscription.covers(
            message.subscription
        ):
            self._widen_at = min(self._widen_at, now + self._settings.widen_ms)

    def _from_source(self, now: float, address: str, message: m.Message) -> None:
        replica = self._replica
        upstreams = self._upstreams
        match message:
            case m.Accepted(_, version, age_ms):
                upstreams.on_message(now, address, version, age_ms)
                if upstreams.on_accepted(address, message):
                    self._acknowledger.acknowledge_now(now)
                    replica.on_version(now, version)
            case m.Announce(version, age_ms):
                upstreams.on_message(now, address, version, age_ms)
                replica.on_version(now, version)
            case m.Delta():
                upstreams.on_message(now, address, message.version, message.age_ms)
                replica.on_delta(now, address, message)
            case m.Scopes():
                upstreams.on_message(now, address, message.version, message.age_ms)
                replica.on_scopes(now, address, message)
            case m.Records():
                upstreams.on_message(now, address, None, 0)
                replica.on_records(now, address, message)
            case m.Mismatch():
                replica.on_mismatch(message)
            case m.Refused():
                self._refused(now, address, message)

    def _refused(self, now: float, address: str, message: m.Refused) -> None:
        upstream = self._upstreams.find(address)
        assert upstream is not None
        upstream.last_message_at = now
        if message.reason == m.NOT_A_RELAY:
            self._placement.hints = message.candidates
            self._upstreams.on_source_failed(now, address)
        elif message.reason == m.BUSY and message.request == upstream.request:
            self._upstreams.on_source_failed(now, address, message.retry_after_ms)
        elif message.reason == m.UNKNOWN_CHILD:
            self._upstreams.resubscribe(now, address)
        self._replica.on_refused(now, address, message)
        self._placement.request_choice(now)

    # The subscription: for this instance and for its children

    def _update_subscription(self, now: float) -> None:
        if now >= self._widen_at:
            self._widen_at = NEVER
            needed = self._own.union(self._source.children_subscription())
            if not self._replica.subscription.covers(needed):
                self._resubscribe(now, self._replica.subscription.union(needed))
        if now >= self._narrow_at:
            self._narrow_at = now + self._settings.narrow_ms
            self._resubscribe(now, self._own.union(self._source.children_subscription()))

    def _resubscribe(self, now: float, subscription: Subscription) -> None:
        if subscription == self._replica.subscription:
            return
        self._replica.subscribe(now, subscription)
        self._source.view = self.view
        self._source.coverage = self._replica.copy.coverage
        self._upstreams.resubscribe_all(now)
        self._placement.request_choice(now)

    # Switches

    def _on_switch(self, entry: LogEntry | None) -> None:
        """Serve the view that the replica has put into force."""
        source = self._source
        view = self.view
        if entry is None or not self.relay:
            source.log.reset(view.version)
        else:
            source.log.append(entry)
        source.view = view
        source.coverage = self._replica.copy.coverage
        source.on_published(self._now)
        self._update_age()
        self._acknowledger.schedule(self._now, serves=bool(source.children))

    def _update_age(self) -> None:
        for upstream in self._upstreams.active:
            # One with a lower version lags, or has another history.
            if upstream.version == self.view.version:
                self._current_at = max(self._current_at, upstream.current_at)

    # Acknowledgements

    def report(self) -> Report:
        """Return the report of this copy and of those that it serves."""
        copy = self._replica.copy
        code = self._reported_code()
        if not code and not copy.coverage.covers(self._own):
            code = BEHIND
        own = own_report(self.me.name, copy.view.version, copy.newest_version, code)
        return merged([own, self._source.report()])

    def _reported_code(self) -> str:
        """Return the code of the error that is acknowledged to sources."""
        error = self._replica.copy.error
        if error is None:
            return SourceBehindError.code if self._is_ahead_of_sources() else ""
        return error.code

    def _acknowledge(self, now: float) -> None:
        code = self._reported_code()
        if code != self._error_code:
            self._error_code = code
            self._acknowledger.schedule(now, serves=bool(self._source.children))
            self._placement.request_choice(now)
        if now < self._acknowledger.next_send_at():
            return
        active = self._upstreams.active
        self._acknowledger.send(now, active, self.view.version, self.report())
        served = [child.name for child in self._source.children.values() if child.primary]
        self._acknowledger.send_roster(now, active, served)
