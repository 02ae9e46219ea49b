"""SWIM with Lifeguard's extensions as a reducer: events go in, effects come out.

In each protocol period a member probes one other member. If that member does not respond, some
others are asked to probe it too. If they get no response either, the member is suspected, and
declared dead unless it refutes the suspicion in time. Updates are piggybacked on the probes.
"""

import random
from collections.abc import Iterable, Mapping

from pumicenotch.membership.events import (
    Effect,
    Event,
    MemberUpdated,
    MessageReceived,
    NameConflict,
    Send,
    SetPhase,
    Tick,
    WakeAt,
)
from pumicenotch.membership.full_state import FullStateExchange, paginate
from pumicenotch.membership.gossip import Broadcasts, GossipBuffer
from pumicenotch.membership.member_table import MemberTable, MergeResult
from pumicenotch.membership.messages import (
    Ack,
    FullState,
    MemberIdentity,
    MemberPhase,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    Update,
)
from pumicenotch.membership.probing import INDIRECT_PROBES, LocalHealth, Prober

# The protocol period. A member starts one probe per period and, on average, is probed once.
PERIOD_MS = 1000.0
# The maximum number of updates in one message, the sender's own included. An update takes a few
# hundred bytes, so a message fits in one or two packets.
MAX_GOSSIP_UPDATES = 12


class SwimMembership:
    """One member's view of the group.

    All state changes go through `step`. Between steps the caller may read `me`, `table`, `health`
    and `broadcasts`.
    """

    def __init__(
        self, me: MemberIdentity, now_ms: float, seeds: Iterable[str], rng: random.Random
    ) -> None:
        """Starts to join the group.

        Args:
            me: This member.
            now_ms: The current time.
            seeds: The addresses of members to join by; this member's own address is ignored.
            rng: The source of all random choices.
        """
        self.me = me
        self.now_ms = now_ms
        self.phase = MemberPhase.JOINING
        self.incarnation = 1
        self.table = MemberTable(PERIOD_MS)
        self.gossip = GossipBuffer()
        self.broadcasts = Broadcasts()
        self.health = LocalHealth()
        self.prober = Prober(rng, self.health)
        self.next_probe_at = now_ms
        other_seeds = [seed for seed in seeds if seed != me.address]
        self.exchange = FullStateExchange(now_ms, PERIOD_MS, other_seeds)
        self._rng = rng
        self._effects: list[Effect] = []

    def step(self, now_ms: float, event: Event) -> list[Effect]:
        """Handles one event and returns its effects in order, the last one a `WakeAt`."""
        self.now_ms = max(self.now_ms, now_ms)
        match event:
            case Tick():
                self._on_tick()
            case MessageReceived(address, message):
                self._on_message(address, message)
            case SetPhase(phase):
                self._set_phase(phase)
        effects = self._effects
        self._effects = []
        effects.append(WakeAt(self.next_wake_at()))
        return effects

    def next_wake_at(self) -> float:
        """Returns the time at which the next `Tick` is required, in ms."""
        return min(
            self.next_probe_at, self.prober.next_deadline_ms(), self.table.next_deadline_ms()
        )

    def state_of(self, name: str) -> MemberState:
        """Returns the believed state of another member; an unknown member counts as dead."""
        return self.table.state_of(name)

    def own_update(self) -> Update:
        """Returns the update that this member announces about itself."""
        return Update(self.me, self.incarnation, self.phase, MemberState.ALIVE, self.me.name)

    def members(self) -> Mapping[str, Update]:
        """Returns all known members by name, this one included."""
        return {self.me.name: self.own_update(), **self.table.updates}

    # Timers

    def _on_tick(self) -> None:
        for relayed in self.prober.take_expired_relayed_pings(self.now_ms):
            self._send(relayed.requester_address, Nack(relayed.requester_sequence_number))
        for name in self.table.expired_suspicions(self.now_ms):
            self._report(name, MemberState.DEAD)
        if self.prober.is_expired(self.now_ms):
            self._on_probe_expired()
        if self.now_ms >= self.next_probe_at:
            self._begin_period()

    def _begin_period(self) -> None:
        self.next_probe_at = self.now_ms + PERIOD_MS * self.health.multiplier
        probe = self.prober.start(self.now_ms, self.table)
        if probe is not None:
            self._ping(probe.target, probe.sequence_number)
        if self.exchange.is_scheduled(self.now_ms):
            address = self.exchange.choose_peer(self.now_ms, self.table, self._rng)
            if address is not None:
                self._send_full_state(address, reply_wanted=True)
        for name in self.table.remove_expired(self.now_ms):
            self.gossip.discard(name)

    def _on_probe_expired(self) -> None:
        probe = self.prober.current
        assert probe is not None
        if not probe.indirect:
            helpers = self.prober.start_indirect(self.now_ms, self.table)
            for address in self.table.addresses_of(helpers):
                self._send(address, PingRequest(probe.sequence_number, probe.target))
            return
        target = self.prober.fail()
        # If the member is already suspected, this report confirms the suspicion (Lifeguard, 4.2).
        if self.table.state_of(target) is not MemberState.DEAD:
            self._report(target, MemberState.SUSPECT)

    def _report(self, name: str, state: MemberState) -> None:
        update = self.table.updates[name]
        self._merge(update._replace(state=state, reported_by=self.me.name))

    # Messages

    def _on_message(self, address: str, message: Message) -> None:
        match message:
            case Ping(sequence_number, updates, broadcasts):
                self._receive(updates, broadcasts)
                self._ack(address, sequence_number, _sender_of(updates))
            case Ack(sequence_number, updates, broadcasts):
                self._receive(updates, broadcasts)
                self._on_ack(sequence_number)
            case Nack(sequence_number):
                self.prober.on_nack(sequence_number)
            case PingRequest(sequence_number, target):
                if target in self.table:
                    self._ping(
                        target, self.prober.add_relayed_ping(self.now_ms, address, sequence_number)
                    )
            case FullState(updates, reply_wanted):
                self._receive(updates, ())
                if reply_wanted:
                    self._send_full_state(address, reply_wanted=False)

    def _on_ack(self, sequence_number: int) -> None:
        relayed = self.prober.take_relayed_ping(sequence_number)
        if relayed is not None:
            self._ack(relayed.requester_address, relayed.requester_sequence_number, "")
        else:
            self.prober.on_ack(sequence_number)

    def _receive(self, updates: Iterable[Update], broadcasts: Iterable[object]) -> None:
        for update in updates:
            if update.member.name == self.me.name:
                self._on_update_about_self(update)
            else:
                self._merge(update)
        for item in broadcasts:
            self.broadcasts.receive(item)

    def _merge(self, update: Update) -> None:
        result = self.table.merge(self.now_ms, update)
        if result is not MergeResult.IGNORED:
            self.gossip.enqueue(update.member.name)
        if result is MergeResult.CHANGED:
            self._effects.append(MemberUpdated(update))

    def _on_update_about_self(self, update: Update) -> None:
        if update.member.process_id != self.me.process_id:
            self._on_update_about_namesake(update)
        elif update.state is not MemberState.ALIVE and update.incarnation >= self.incarnation:
            # A higher incarnation refutes the suspicion or death. This member must have responded
            # late, so its health score is raised.
            self.incarnation = update.incarnation + 1
            self.health.adjust(1)
            self.gossip.enqueue(self.me.name)

    def _on_update_about_namesake(self, update: Update) -> None:
        """Handles an update about another process that uses or has used this member's name."""
        other = update.member
        if update.is_dead_or_left:
            # An earlier process appears to have started later because the clock was set back since.
            # This member takes a later start time, so that its own updates prevail.
            if other.started_at_ms >= self.me.started_at_ms:
                self.me = self.me._replace(started_at_ms=other.started_at_ms + 1)
                self.gossip.enqueue(self.me.name)
        elif (other.started_at_ms, other.process_id) > (self.me.started_at_ms, self.me.process_id):
            self._effects.append(NameConflict(other))

    # Sending

    def _ping(self, target: str, sequence_number: int) -> None:
        address = self.table.updates[target].member.address
        self._send(address, Ping(sequence_number, self._gossip_for(target), self._broadcasts()))

    def _ack(self, address: str, sequence_number: int, receiver: str) -> None:
        self._send(address, Ack(sequence_number, self._gossip_for(receiver), self._broadcasts()))

    def _broadcasts(self) -> tuple[object, ...]:
        return self.broadcasts.payload()

    def _gossip_for(self, receiver: str) -> tuple[Update, ...]:
        """Returns the updates to send with a message, this member's own first.

        A receiver that is suspected or declared dead is always sent the update about itself, so
        that it can refute the update at once (Lifeguard's buddy system).
        """
        updates = [self.own_update()]
        if receiver in self.table and self.table.state_of(receiver) is not MemberState.ALIVE:
            updates.append(self.table.updates[receiver])
        count = MAX_GOSSIP_UPDATES - len(updates)
        for name in self.gossip.take(count, len(self.table) + 1, receiver):
            if name != self.me.name:
                updates.append(self.table.updates[name])
        return tuple(updates)

    def _send_full_state(self, address: str, reply_wanted: bool) -> None:
        others = (self.table.updates[name] for name in sorted(self.table.updates))
        for page in paginate([self.own_update(), *others], reply_wanted):
            self._send(address, page)

    def _send(self, address: str, message: Message) -> None:
        self._effects.append(Send(address, message))

    # This member

    def _set_phase(self, phase: MemberPhase) -> None:
        """Announces a phase; a member that leaves also sends its update to some members at once."""
        if phase is self.phase:
            return
        self.phase = phase
        self.incarnation += 1
        self.gossip.enqueue(self.me.name)
        if phase is MemberPhase.LEFT:
            alive = sorted(self.table.alive())
            receivers = self._rng.sample(alive, min(INDIRECT_PROBES, len(alive)))
            for address in self.table.addresses_of(receivers):
                self._send(address, FullState((self.own_update(),), False))


def _sender_of(updates: tuple[Update, ...]) -> str:
    """Returns the sender's name, taken from its own update at the front; "" if there are none."""
    return updates[0].member.name if updates else ""
