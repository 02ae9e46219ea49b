"""Failure detection: SWIM's round of pings and ping requests, Lifeguard's local health."""

import math
import random
from typing import NamedTuple

from pumicenotch.membership.member_table import MemberTable
from pumicenotch.membership.messages import MemberState

# For an answer to a ping. After it other members are asked to ping; many times a round trip.
ACK_TIMEOUT_MS = 300.0
# Members that are asked to ping for this one: SWIM's k.
INDIRECT_PROBES = 3
# The highest local health multiplier less one: Lifeguard's S.
MAX_HEALTH_SCORE = 8


class LocalHealth:
    """Lifeguard's local health multiplier: a degraded member lengthens its own timeouts."""

    def __init__(self) -> None:
        self.score = 0  # 0 is healthy

    @property
    def multiplier(self) -> int:
        """By how much this member's period and timeouts are lengthened."""
        return 1 + self.score

    def adjust(self, change: int) -> None:
        """Raise the score after missed answers, lower it after answers in time."""
        self.score = min(MAX_HEALTH_SCORE, max(0, self.score + change))


class Probe(NamedTuple):
    """A probe that has not been answered yet."""

    sequence_number: int
    target: str
    deadline: float
    indirect: bool  # whether other members were asked to ping


class RelayedPing(NamedTuple):
    """A ping that this member has sent on behalf of another."""

    requester_address: str
    requester_sequence_number: int
    deadline: float


class Prober:
    """The probes that this member has sent, its own and those for others. Times are in ms."""

    def __init__(self, rng: random.Random, health: LocalHealth) -> None:
        self.current: Probe | None = None
        self._rng = rng
        self._health = health
        self._round: list[str] = []  # the members still to be probed, in reverse
        self._sequence_number = 0
        self._missing_nacks = 0
        self._has_helpers = False
        self._relayed: dict[int, RelayedPing] = {}

    def clear_round(self) -> None:
        """Draw a new order of members before the next probe."""
        self._round = []

    def next_deadline(self) -> float:
        """Return when the next probe or relayed ping expires."""
        probe_deadline = math.inf if self.current is None else self.current.deadline
        return min([probe_deadline, *(relayed.deadline for relayed in self._relayed.values())])

    # Own probes

    def start(self, now: float, table: MemberTable) -> Probe | None:
        """Begin to probe the next member of the round; None if there is none to probe.

        Each member is probed once in a round, and every round has a new order, so that a failed one
        is probed by some member within a bounded time (SWIM, 4.3).
        """
        if self.current is not None:
            return None
        target = self._next_target(table)
        if target is None:
            return None
        deadline = now + ACK_TIMEOUT_MS * self._health.multiplier
        self.current = Probe(self._next_sequence_number(), target, deadline, False)
        return self.current

    def _next_target(self, table: MemberTable) -> str | None:
        alive = set(table.alive())
        while self._round:
            name = self._round.pop()
            if name in alive:
                return name
        self._round = sorted(alive)
        self._rng.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _next_sequence_number(self) -> int:
        self._sequence_number += 1
        return self._sequence_number

    def is_expired(self, now: float) -> bool:
        """Whether the present stage of the probe has had no answer in time."""
        return self.current is not None and now >= self.current.deadline

    def go_indirect(self, now: float, table: MemberTable) -> list[str]:
        """Return the members to be asked for a ping of the target.

        Suspects are not asked: in a partition many fail at once, and those beyond it could not say
        anything.
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
        deadline = now + 2.0 * ACK_TIMEOUT_MS * self._health.multiplier
        self.current = self.current._replace(deadline=deadline, indirect=True)
        return helpers

    def fail(self) -> str:
        """End the probe without an answer, and return its target.

        Helpers that sent not even a Nack suggest that this member is the one in trouble (Lifeguard,
        4.1).
        """
        assert self.current is not None
        self._health.adjust(self._missing_nacks if self._has_helpers else 1)
        target = self.current.target
        self.current = None
        return target

    def on_ack(self, sequence_number: int) -> None:
        """The target, or a helper for it, has answered."""
        if self.current is not None and self.current.sequence_number == sequence_number:
            self.current = None
            self._health.adjust(-1)

    def on_nack(self, sequence_number: int) -> None:
        """A helper has no answer of the target, but is reachable."""
        if self.current is not None and self.current.sequence_number == sequence_number:
            self._missing_nacks = max(0, self._missing_nacks - 1)

    # Pings on behalf of others

    def relay(self, now: float, requester_address: str, requester_sequence_number: int) -> int:
        """Note a ping on behalf of another member, and return its own sequence number."""
        sequence_number = self._next_sequence_number()
        self._relayed[sequence_number] = RelayedPing(
            requester_address, requester_sequence_number, now + ACK_TIMEOUT_MS
        )
        return sequence_number

    def take_relayed(self, sequence_number: int) -> RelayedPing | None:
        """Return the request that an Ack answers, if it is one of a relayed ping."""
        return self._relayed.pop(sequence_number, None)

    def take_expired_relays(self, now: float) -> list[RelayedPing]:
        """Return the requests whose ping had no answer in time."""
        expired = [number for number, each in self._relayed.items() if now >= each.deadline]
        return [self._relayed.pop(number) for number in expired]
