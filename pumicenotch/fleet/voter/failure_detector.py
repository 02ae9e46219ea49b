"""What the leader concludes of members: who has failed, and whose name is taken.

Voters tell the leader whom they believe dead; members send heartbeats to the leader itself.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from pumicenotch.fleet.drains.budgets import SERVING, Member
from pumicenotch.fleet.drains.lifecycle import SILENT
from pumicenotch.fleet.replicated.commands import SetFailure
from pumicenotch.fleet.replicated.registry import FIRST_LEVEL
from pumicenotch.membership.messages import MemberState
from pumicenotch.membership.swim import SwimMembership

OVERLOADED = "overloaded"  # the failure of a member that says so itself
NEVER_MS = float("-inf")
OPINION_LIFETIME_MS = 5000.0  # of a voter's opinion: some lost ones change nothing
# For gossip of a member to reach a voter: many times what it takes among a thousand.
GOSSIP_TIMEOUT_MS = 15_000.0
NAME_LEASE_MS = 3000.0  # a name's process that was heard from this lately keeps it


class Observation(NamedTuple):
    """One voter's opinion."""

    at_ms: float
    dead: frozenset[str]


class Heartbeat(NamedTuple):
    """The last one of a member since this process leads."""

    at_ms: float
    overloaded: bool


class LastHeartbeat(NamedTuple):
    """When a member's process last sent a heartbeat."""

    process_id: str
    at_ms: float


class SilentMembers:
    """Whom one voter believes dead, or has not heard of for too long."""

    def __init__(self) -> None:
        self.unknown_since_ms: dict[str, float] = {}  # counted members that no gossip speaks of

    def dead(
        self, now_ms: float, me: str, counted: Mapping[str, Member], members: SwimMembership
    ) -> list[str]:
        """Returns those that the fleet counts, without this voter and members without a process."""
        return sorted(
            name
            for name, member in counted.items()
            if member.process_id and name != me and self._is_dead(now_ms, name, members)
        )

    def _is_dead(self, now_ms: float, name: str, members: SwimMembership) -> bool:
        if name in members.table:
            self.unknown_since_ms.pop(name, None)
            return members.state_of(name) is MemberState.DEAD
        return now_ms - self.unknown_since_ms.setdefault(name, now_ms) > GOSSIP_TIMEOUT_MS


class FailureDetector:
    """A leader's, from when it begins to lead. It remembers nothing that must last."""

    def __init__(self, now_ms: float, members: Mapping[str, Member]) -> None:
        self.observations: dict[str, Observation] = {}  # by voter
        self.heartbeats: dict[str, Heartbeat] = {}
        # Who sent heartbeats to the former leader counts as heard: its name is not available.
        self.last_heartbeats = {
            name: LastHeartbeat(member.process_id, now_ms) for name, member in members.items()
        }

    def observe(self, now_ms: float, voter: str, dead: Collection[str]) -> None:
        """Takes a voter's opinion."""
        self.observations[voter] = Observation(now_ms, frozenset(dead))

    def on_heartbeat(self, now_ms: float, name: str, process_id: str, overloaded: bool) -> None:
        """Takes a member's heartbeat."""
        self.last_heartbeats[name] = LastHeartbeat(process_id, now_ms)
        self.heartbeats[name] = Heartbeat(now_ms, overloaded)

    def is_name_taken(self, now_ms: float, member: Member, interval_ms: float) -> bool:
        """Tells whether the process that has this name is alive, so that no other may take it."""
        last = self.last_heartbeats.get(member.name)
        is_recent = last is not None and now_ms - last.at_ms < NAME_LEASE_MS + interval_ms
        return is_recent and member.status == SERVING

    def findings(
        self, now_ms: float, voters: int, members: Mapping[str, Member], interval_ms: float
    ) -> Iterator[SetFailure]:
        """Yields the members that have failed or recovered.

        A member has failed if a majority of the voters believes it dead, or if it says itself that
        it is overloaded. It takes as much to recover, and its own heartbeat: a new leader that has
        heard of nobody yet knows of no change.
        """
        oldest_ms = now_ms - OPINION_LIFETIME_MS
        opinions = [each.dead for each in self.observations.values() if each.at_ms >= oldest_ms]
        if 2 * len(opinions) <= voters:
            return
        for name, member in list(members.items()):
            if not member.process_id or member.status != SERVING:
                continue
            failure = self._failure_of(member, opinions, voters, oldest_ms - interval_ms)
            if failure != member.failure:
                yield SetFailure(name, member.process_id, failure)

    def _failure_of(
        self, member: Member, opinions: list[frozenset[str]], voters: int, oldest_ms: float
    ) -> str:
        heartbeat = self.heartbeats.get(member.name, Heartbeat(NEVER_MS, False))
        dead = sum(member.name in opinion for opinion in opinions)
        if 2 * dead > voters:
            return SILENT
        if heartbeat.at_ms >= oldest_ms and 2 * (len(opinions) - dead) > voters:
            return OVERLOADED if heartbeat.overloaded else ""
        return member.failure


class AnnouncedLevel(NamedTuple):
    """The level of entries that a voter says it reads."""

    at_ms: float
    level: int


class VoterLevels:
    """The levels that the voters have announced to the leader since it leads."""

    def __init__(self) -> None:
        self.announced: dict[str, AnnouncedLevel] = {}

    def observe(self, now_ms: float, voter: str, level: int) -> None:
        """Takes a voter's announcement."""
        self.announced[voter] = AnnouncedLevel(now_ms, level)

    def voters_without(self, level: int, voters: Collection[str]) -> list[str]:
        """Returns the voters that have not announced that level."""
        unknown = AnnouncedLevel(NEVER_MS, FIRST_LEVEL)
        return [name for name in voters if self.announced.get(name, unknown).level < level]

    def common(self, now_ms: float, voters: int) -> int:
        """Returns the level that all voters read; the first while some were not heard lately."""
        oldest_ms = now_ms - OPINION_LIFETIME_MS
        levels = [each.level for each in self.announced.values() if each.at_ms >= oldest_ms]
        return min(levels) if len(levels) >= voters else FIRST_LEVEL
