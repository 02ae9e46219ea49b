"""SWIM with Lifeguard's extensions, as a reducer: events go in, effects come out.

A member probes one other in each period, asks some to probe it too where that one does not answer,
suspects it, and declares it dead unless it refutes the suspicion. Updates travel with the probes.
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
from pumicenotch.membership.full_state import FullStateExchange, pages
from pumicenotch.membership.gossip import Broadcasts, GossipBuffer
from pumicenotch.membership.member_table import MemberTable, Merge
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

# Between two probes of one member; each member is probed once a period on average.
PERIOD_MS = 1000.0
# In one message, with the sender's own: some hundred bytes each, a packet or two in all.
MAX_GOSSIP_UPDATES = 12


class SwimMembership:
    """One member's view of the group.

    `step` is the one way in. Between steps the carrier may read `me`, `table`, `health` and
    `broadcasts`.
    """

    def __init__(
        self, me: MemberIdentity, now: float, seeds: Iterable[str], rng: random.Random
    ) -> None:
        """Start to join.

        Args:
            me: this member.
            now: the present time, ms.
            seeds: addresses of members to join by; this member's own is ignored.
            rng: the source of all random choices.
        """
        self.me = me
        self.now = now
        self.phase = MemberPhase.JOINING
        self.incarnation = 1
        self.table = MemberTable(PERIOD_MS)
        self.gossip = GossipBuffer()
        self.broadcasts = Broadcasts()
        self.health = LocalHealth()
        self.prober = Prober(rng, self.health)
        self.next_probe_at = now
        other_seeds = [seed for seed in seeds if seed != me.address]
        self.exchange = FullStateExchange(now, PERIOD_MS, other_seeds)
        self._rng = rng
        self._effects: list[Effect] = []

    def step(self, now: float, event: Event) -> list[Effect]:
        """Take one event and return the effects that are wanted, a `WakeAt` last."""
        self.now = max(self.now, now)
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
        """Return when the next `Tick` is wanted."""
        return min(self.next_probe_at, self.prober.next_deadline(), self.table.next_deadline())

    def state_of(self, name: str) -> MemberState:
        """Return what this member believes of another; one that is not known counts as dead."""
        return self.table.state_of(name)

    def own_update(self) -> Update:
        """Return what this member says of itself."""
        return Update(self.me, self.incarnation, self.phase, MemberState.ALIVE, self.me.name)

    def members(self) -> Mapping[str, Update]:
        """Return all known members by name, this one included."""
        return {self.me.name: self.own_update(), **self.table.updates}

    # Time

    def _on_tick(self) -> None:
        for relayed in self.prober.take_expired_relays(self.now):
            self._send(relayed.requester_address, Nack(relayed.requester_sequence_number))
        for name in self.table.expired_suspicions(self.now):
            self._report(name, MemberState.DEAD)
        if self.prober.is_expired(self.now):
            self._on_probe_expired()
        if self.now >= self.next_probe_at:
            self._begin_period()

    def _begin_period(self) -> None:
        self.next_probe_at = self.now + PERIOD_MS * self.health.multiplier
        probe = self.prober.start(self.now, self.table)
        if probe is not None:
            self._ping(probe.target, probe.sequence_number)
        if self.exchange.is_scheduled(self.now):
            address = self.exchange.choose_peer(self.now, self.table, self._rng)
            if address is not None:
                self._send_full_state(address, reply_wanted=True)
        for name in self.table.remove_expired(self.now):
            self.gossip.discard(name)

    def _on_probe_expired(self) -> None:
        probe = self.prober.current
        assert probe is not None
        if not probe.indirect:
            helpers = self.prober.go_indirect(self.now, self.table)
            for address in self.table.addresses_of(helpers):
                self._send(address, PingRequest(probe.sequence_number, probe.target))
            return
        target = self.prober.fail()
        # A member that is suspected already has its suspicion confirmed by this (Lifeguard, 4.2).
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
                    self._ping(target, self.prober.relay(self.now, address, sequence_number))
            case FullState(updates, reply_wanted):
                self._receive(updates, ())
                if reply_wanted:
                    self._send_full_state(address, reply_wanted=False)

    def _on_ack(self, sequence_number: int) -> None:
        relayed = self.prober.take_relayed(sequence_number)
        if relayed is not None:
            self._ack(relayed.requester_address, relayed.requester_sequence_number, "")
        else:
            self.prober.on_ack(sequence_number)

    def _receive(self, updates: Iterable[Update], broadcasts: Iterable[object]) -> None:
        for update in updates:
            if update.member.name == self.me.name:
                self._on_update_of_me(update)
            else:
                self._merge(update)
        for item in broadcasts:
            self.broadcasts.receive(item)

    def _merge(self, update: Update) -> None:
        merge = self.table.merge(self.now, update)
        if merge is not Merge.IGNORED:
            self.gossip.enqueue(update.member.name)
        if merge is Merge.CHANGED:
            self._effects.append(MemberUpdated(update))

    def _on_update_of_me(self, update: Update) -> None:
        if update.member.process_id != self.me.process_id:
            self._on_update_of_namesake(update)
        elif update.state is not MemberState.ALIVE and update.incarnation >= self.incarnation:
            # Refuted by a higher incarnation. Some answer of this member must have come late.
            self.incarnation = update.incarnation + 1
            self.health.adjust(1)
            self.gossip.enqueue(self.me.name)

    def _on_update_of_namesake(self, update: Update) -> None:
        """Another process has had, or has, this member's name."""
        other = update.member
        if update.is_dead_or_left:
            # An earlier process that seems to have started later: the clock was set back since.
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
        """Return the updates that go with a message, this member's own first.

        A receiver that is suspected or declared dead is sent that update always, so that it can
        refute it at once (Lifeguard's buddy system).
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
        for page in pages([self.own_update(), *others], reply_wanted):
            self._send(address, page)

    def _send(self, address: str, message: Message) -> None:
        self._effects.append(Send(address, message))

    # This member

    def _set_phase(self, phase: MemberPhase) -> None:
        """Announce a phase. One that leaves tells some members at once, not by probes alone."""
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
    """Return the sender of gossip, which begins with its own update; "" if there is none."""
    return updates[0].member.name if updates else ""
