"""Failure detection: SWIM's pings and ping requests, with Lifeguard's local health."""

import math
import random
from typing import NamedTuple

from pumicenotch.membership.member_table import MemberTable
from pumicenotch.membership.messages import MemberState

# The timeout of a direct ping, many times a round trip. After it, other members are asked to ping.
ACK_TIMEOUT_MS = 300.0
# SWIM's k: the number of helpers, members that are asked to ping on behalf of this one.
INDIRECT_PROBES = 3
# Lifeguard's S: the maximum of the local health multiplier minus one.
MAX_HEALTH_SCORE = 8


class LocalHealth:
    """Lifeguard's local health multiplier: a degraded member lengthens its own timeouts.

    Attributes:
        score: 0 while this member is healthy, up to `MAX_HEALTH_SCORE`.
    """

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor that lengthens this member's protocol period and probe timeouts."""
        return 1 + self.score

    def adjust(self, change: int) -> None:
        """Raises the score after missed responses and lowers it after timely ones."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + change))


class Probe(NamedTuple):
    """A probe whose target has not responded yet."""

    sequence_number: int
    target: str
    deadline_ms: float
    indirect: bool  # whether other members were asked to ping the target


class RelayedPing(NamedTuple):
    """A ping that this member has sent on behalf of another member."""

    requester_address: str
    requester_sequence_number: int
    deadline_ms: float


class Prober:
    """Tracks the probes of this member and the pings it relays for others. Times are in ms.

    Args:
        rng: The source of random choices.
        health: This member's local health, updated by the results of its probes.

    Attributes:
        current: The probe in progress, or None.
    """

    def __init__(self, rng: random.Random, health: LocalHealth) -> None:
        self.current: Probe | None = None
        self._rng = rng
        self._health = health
        self._remaining: list[str] = []  # members still to be probed in this round, last one first
        self._sequence_number = 0
        self._missing_nacks = 0
        self._has_helpers = False
        self._relayed_pings: dict[int, RelayedPing] = {}

    def clear_round(self) -> None:
        """Ends the round, so that the next probe starts one in a new random order."""
        self._remaining = []

    def next_deadline_ms(self) -> float:
        """Returns when the next probe or relayed ping expires; infinity if there is none."""
        probe_deadline_ms = math.inf if self.current is None else self.current.deadline_ms
        return min(
            [probe_deadline_ms, *(relayed.deadline_ms for relayed in self._relayed_pings.values())]
        )

    # Own probes

    def start(self, now_ms: float, table: MemberTable) -> Probe | None:
        """Starts to probe the next member of the round.

        Each member is probed once per round, and every round has a new random order, so that a
        failed member is probed by some other member within a bounded time (SWIM, 4.3).

        Returns:
            The probe, or None if another probe is in progress or no member is alive.
        """
        if self.current is not None:
            return None
        target = self._next_target(table)
        if target is None:
            return None
        deadline_ms = now_ms + ACK_TIMEOUT_MS * self._health.multiplier
        self.current = Probe(self._next_sequence_number(), target, deadline_ms, False)
        return self.current

    def _next_target(self, table: MemberTable) -> str | None:
        alive = set(table.alive())
        while self._remaining:
            name = self._remaining.pop()
            if name in alive:
                return name
        self._remaining = sorted(alive)
        self._rng.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None

    def _next_sequence_number(self) -> int:
        self._sequence_number += 1
        return self._sequence_number

    def is_expired(self, now_ms: float) -> bool:
        """Returns whether the current stage of the probe, direct or indirect, has timed out."""
        return self.current is not None and now_ms >= self.current.deadline_ms

    def start_indirect(self, now_ms: float, table: MemberTable) -> list[str]:
        """Starts the indirect stage and returns the members to send ping requests to.

        Suspected members are not chosen: in a partition many members become suspected at once, and
        those on the other side cannot respond.
        """
        assert self.current is not None
        target = self.current.target
        candidates = [
            name
            for name in sorted(table.alive())
            if name != target and table.state_of(name) is MemberState.ALIVE
        ]
        helpers = self._rng.sample(candidates, min(INDIRECT_PROBES, len(candidates)))
        self._missing_nacks = len(helpers)
        self._has_helpers = bool(helpers)
        deadline_ms = now_ms + 2.0 * ACK_TIMEOUT_MS * self._health.multiplier
        self.current = self.current._replace(deadline_ms=deadline_ms, indirect=True)
        return helpers

    def fail(self) -> str:
        """Ends the probe without a response and returns its target.

        Missing Nacks of helpers indicate that this member itself is degraded, so they raise its
        health score (Lifeguard, 4.1).
        """
        assert self.current is not None
        self._health.adjust(self._missing_nacks if self._has_helpers else 1)
        target = self.current.target
        self.current = None
        return target

    def on_ack(self, sequence_number: int) -> None:
        """Completes the probe after an Ack of the target, direct or relayed by a helper."""
        if self.current is not None and self.current.sequence_number == sequence_number:
            self.current = None
            self._health.adjust(-1)

    def on_nack(self, sequence_number: int) -> None:
        """Records that a helper is reachable although the target has not responded to it."""
        if self.current is not None and self.current.sequence_number == sequence_number:
            self._missing_nacks = max(0, self._missing_nacks - 1)

    # Relayed pings

    def add_relayed_ping(
        self, now_ms: float, requester_address: str, requester_sequence_number: int
    ) -> int:
        """Records a ping on behalf of another member and returns the sequence number to use."""
        sequence_number = self._next_sequence_number()
        self._relayed_pings[sequence_number] = RelayedPing(
            requester_address, requester_sequence_number, now_ms + ACK_TIMEOUT_MS
        )
        return sequence_number

    def take_relayed_ping(self, sequence_number: int) -> RelayedPing | None:
        """Removes and returns the relayed ping that an Ack responds to; None if there is none."""
        return self._relayed_pings.pop(sequence_number, None)

    def take_expired_relayed_pings(self, now_ms: float) -> list[RelayedPing]:
        """Removes and returns the relayed pings that have timed out."""
        expired = [
            number for number, ping in self._relayed_pings.items() if now_ms >= ping.deadline_ms
        ]
        return [self._relayed_pings.pop(number) for number in expired]
