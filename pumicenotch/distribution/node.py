"""The distribution in an instance: its replica, and a source for others if it is a relay."""

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
from pumicenotch.distribution.protocol.reports import BEHIND, Report, merge_reports, own_report
from pumicenotch.distribution.replica.acknowledgements import Acknowledger
from pumicenotch.distribution.replica.placement import Placement
from pumicenotch.distribution.replica.replica import Replica
from pumicenotch.distribution.replica.upstreams import Upstreams
from pumicenotch.distribution.settings import NEVER
from pumicenotch.distribution.source.source import Source

CHILD_MESSAGES = (
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
    """A replica of the configuration, and a source for other replicas.

    `step` is the only entry point for events.
    """

    def __init__(
        self,
        me: Peer,
        voters: Sequence[str],
        subscription: Subscription,
        context: Context,
        relay_eligible: bool = True,
    ) -> None:
        """Creates a node without any configuration.

        Args:
            me: this instance.
            voters: the addresses of the voters.
            subscription: the scopes that this instance itself needs.
            context: the settings and collaborators.
            relay_eligible: whether this instance may be a relay.
        """
        self.me = me
        self.counts = context.counts
        self._settings = context.settings
        self._own_subscription = subscription
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
        """Returns whether the view covers a scope, with or without records in it."""
        return self._replica.copy.coverage.contains(table, scope)

    @property
    def relay(self) -> bool:
        """Whether this instance serves other replicas of its zone."""
        return self._placement.relay

    @property
    def error(self) -> DistributionError | None:
        """The error that keeps this copy from the newest version, or None."""
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
        """Returns the milliseconds since this copy was known to be current; initially infinite."""
        return max(0.0, now_ms - self._current_at)

    def status(self, now_ms: float) -> dict[str, Any]:
        """Returns a status answer with version, age, role, sources, and error with its remedy."""
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
        """Returns whether all sources have had lower versions for `source_silent_ms`.

        Versions never decrease, so that this state is not repaired without an operator.
        """
        versions = [upstream.version for upstream in self._upstreams.active if upstream.accepted]
        is_outdated = self._now - self._current_at >= self._settings.source_silent_ms
        return bool(versions) and max(versions) < self.view.version and is_outdated

    def _has_source(self) -> bool:
        return any(upstream.accepted for upstream in self._upstreams.active)

    def _encoded_age_ms(self, now_ms: float) -> int:
        return int(min(m.AGE_UNKNOWN_MS, self.age_ms(now_ms)))

    # Events

    def step(self, now_ms: float, event: NodeEvent) -> list[Effect]:
        """Handles one event, and returns the effects to carry out."""
        now = max(self._now, now_ms)
        self._now = now
        match event:
            case Received(sender, message):
                self._on_message(now, sender, message)
            case PeerChanged(peer):
                self._placement.on_peer_changed(now, peer)
            case SubscriptionChanged(subscription):
                self._own_subscription = subscription
                self._resubscribe(now, subscription.union(self._source.children_subscription()))
            case Started():
                self._started_at = now
                self._narrow_at = now + self._settings.narrow_ms
                self._placement.on_started(now)
            case Ticked():
                pass
        self._process_due_work(now)
        return [*self._outbox.take(), WakeAt(self._next_wake_at(now))]

    def _process_due_work(self, now: float) -> None:
        """Processes one slice of each due activity."""
        if now >= self._placement.next_choice_at(now):
            self._choose(now)
        self._replica.tick(now)
        self._handle_source_changes(now)
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
        self._handle_source_changes(now)

    def _handle_source_changes(self, now: float) -> None:
        """Handles the loss of sources and a change of the primary source."""
        lost_addresses, self._upstreams.lost_addresses = self._upstreams.lost_addresses, []
        for address in lost_addresses:
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

    def _on_message(self, now: float, sender: Sender, message: m.Message) -> None:
        if isinstance(message, CHILD_MESSAGES):
            self._source.on_message(now, sender, message)
            self._after_child_message(now, message)
        elif self._upstreams.find(sender.address) is None:
            if isinstance(message, m.Announce | m.Delta):
                self._outbox.send(sender.address, m.Unsubscribe())
        else:
            self._on_source_message(now, sender.address, message)
            self._update_age()

    def _after_child_message(self, now: float, message: m.Message) -> None:
        if isinstance(message, m.Acknowledge | m.Subscribe | m.Unsubscribe):
            self._acknowledger.schedule(now, serves=True)
        if isinstance(message, m.Subscribe) and not self._replica.subscription.covers(
            message.subscription
        ):
            self._widen_at = min(self._widen_at, now + self._settings.widen_ms)

    def _on_source_message(self, now: float, address: str, message: m.Message) -> None:
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
                self._on_refused(now, address, message)

    def _on_refused(self, now: float, address: str, message: m.Refused) -> None:
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

    # Subscription of this instance and its children

    def _update_subscription(self, now: float) -> None:
        if now >= self._widen_at:
            self._widen_at = NEVER
            needed = self._own_subscription.union(self._source.children_subscription())
            if not self._replica.subscription.covers(needed):
                self._resubscribe(now, self._replica.subscription.union(needed))
        if now >= self._narrow_at:
            self._narrow_at = now + self._settings.narrow_ms
            self._resubscribe(
                now, self._own_subscription.union(self._source.children_subscription())
            )

    def _resubscribe(self, now: float, subscription: Subscription) -> None:
        if subscription == self._replica.subscription:
            return
        self._replica.subscribe(now, subscription)
        self._source.view = self.view
        self._source.coverage = self._replica.copy.coverage
        self._upstreams.resubscribe_all(now)
        self._placement.request_choice(now)

    # Changes of the view in force

    def _on_switch(self, entry: LogEntry | None) -> None:
        """Makes the view that has come into force available to children."""
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
            # A source with a lower version lags, or has another history of versions.
            if upstream.version == self.view.version:
                self._current_at = max(self._current_at, upstream.current_at)

    # Acknowledgements

    def report(self) -> Report:
        """Returns the merged report of this copy and the copies that it serves."""
        copy = self._replica.copy
        code = self._reported_code()
        if not code and not copy.coverage.covers(self._own_subscription):
            code = BEHIND
        copy_report = own_report(self.me.name, copy.view.version, copy.newest_version, code)
        return merge_reports([copy_report, self._source.report()])

    def _reported_code(self) -> str:
        """Returns the code of the error that acknowledgements report; empty without an error."""
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
        child_names = [child.name for child in self._source.children.values() if child.primary]
        self._acknowledger.send_roster(now, active, child_names)
