"""Failure detection at the leader: which members have failed, and which names are in use.

Voters report to the leader which members they believe dead. Members send heartbeats to the leader.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from pumicenotch.fleet.drains.budgets import SERVING, Member
from pumicenotch.fleet.drains.lifecycle import SILENT
from pumicenotch.fleet.replicated.commands import SetFailure
from pumicenotch.fleet.replicated.registry import FIRST_LEVEL
from pumicenotch.membership.messages import MemberState
from pumicenotch.membership.swim import SwimMembership

OVERLOADED = "overloaded"  # failure of a member that reports itself overloaded
NEVER_MS = float("-inf")
# A voter's report counts for this long after its arrival, so a few lost reports change nothing.
REPORT_LIFETIME_MS = 5000.0
# A member that gossip has not mentioned for this long is dead. Gossip among a thousand members
# takes a small fraction of this time to reach a voter.
GOSSIP_TIMEOUT_MS = 15_000.0
NAME_LEASE_MS = 3000.0  # time after its last heartbeat for which a process keeps its member name


class DeadMembersReport(NamedTuple):
    """The members that one voter believes dead, as of its last report."""

    at_ms: float
    dead: frozenset[str]


class Heartbeat(NamedTuple):
    """The last heartbeat of a member since this process became leader."""

    at_ms: float
    overloaded: bool


class LastHeartbeat(NamedTuple):
    """The process that last sent a heartbeat under a member's name, and when it did."""

    process_id: str
    at_ms: float


class SilentMembers:
    """Finds the members that a voter believes dead, or has not heard of in gossip for too long."""

    def __init__(self) -> None:
        # Members of the fleet that gossip does not mention, by name.
        self.unknown_since_ms: dict[str, float] = {}

    def dead(
        self, now_ms: float, own_name: str, counted: Mapping[str, Member], members: SwimMembership
    ) -> list[str]:
        """Returns the names of dead members, sorted.

        Args:
            now_ms: the current time.
            own_name: the name of this voter, which is left out.
            counted: the members that the fleet counts; those without a process are left out.
            members: the membership as known by gossip.
        """
        return sorted(
            name
            for name, member in counted.items()
            if member.process_id and name != own_name and self._is_dead(now_ms, name, members)
        )

    def _is_dead(self, now_ms: float, name: str, members: SwimMembership) -> bool:
        if name in members.table:
            self.unknown_since_ms.pop(name, None)
            return members.state_of(name) is MemberState.DEAD
        return now_ms - self.unknown_since_ms.setdefault(name, now_ms) > GOSSIP_TIMEOUT_MS


class FailureDetector:
    """Concludes which members have failed from voters' reports and members' heartbeats.

    A voter creates a new detector whenever it becomes leader. A detector holds no lasting state.
    """

    def __init__(self, now_ms: float, members: Mapping[str, Member]) -> None:
        self.reports: dict[str, DeadMembersReport] = {}  # by voter
        self.heartbeats: dict[str, Heartbeat] = {}
        # Each process may have sent heartbeats to the former leader, so all names count as in use.
        self.last_heartbeats = {
            name: LastHeartbeat(member.process_id, now_ms) for name, member in members.items()
        }

    def observe(self, now_ms: float, voter: str, dead: Collection[str]) -> None:
        """Records which members a voter believes dead."""
        self.reports[voter] = DeadMembersReport(now_ms, frozenset(dead))

    def on_heartbeat(self, now_ms: float, name: str, process_id: str, overloaded: bool) -> None:
        """Records a member's heartbeat."""
        self.last_heartbeats[name] = LastHeartbeat(process_id, now_ms)
        self.heartbeats[name] = Heartbeat(now_ms, overloaded)

    def is_name_taken(self, now_ms: float, member: Member, interval_ms: float) -> bool:
        """Returns whether the member's process is alive, so that no other may take its name."""
        heartbeat = self.last_heartbeats.get(member.name)
        is_recent = heartbeat is not None and now_ms - heartbeat.at_ms < NAME_LEASE_MS + interval_ms
        return is_recent and member.status == SERVING

    def findings(
        self, now_ms: float, voter_count: int, members: Mapping[str, Member], interval_ms: float
    ) -> Iterator[SetFailure]:
        """Yields a command for each member that has failed or recovered.

        A member has failed if a majority of the voters believes it dead, or if it reports itself
        overloaded. A member has recovered if a majority believes it alive and the leader has a
        recent heartbeat. A new leader without reports and heartbeats therefore finds no change.
        """
        oldest_ms = now_ms - REPORT_LIFETIME_MS
        recent_reports = [
            report.dead for report in self.reports.values() if report.at_ms >= oldest_ms
        ]
        if 2 * len(recent_reports) <= voter_count:
            return
        for name, member in list(members.items()):
            if not member.process_id or member.status != SERVING:
                continue
            failure = self._failure_of(member, recent_reports, voter_count, oldest_ms - interval_ms)
            if failure != member.failure:
                yield SetFailure(name, member.process_id, failure)

    def _failure_of(
        self,
        member: Member,
        recent_reports: list[frozenset[str]],
        voter_count: int,
        oldest_ms: float,
    ) -> str:
        heartbeat = self.heartbeats.get(member.name, Heartbeat(NEVER_MS, False))
        dead_reports = sum(member.name in report for report in recent_reports)
        if 2 * dead_reports > voter_count:
            return SILENT
        if heartbeat.at_ms >= oldest_ms and 2 * (len(recent_reports) - dead_reports) > voter_count:
            return OVERLOADED if heartbeat.overloaded else ""
        return member.failure


class AnnouncedLevel(NamedTuple):
    """The highest level of entries that a voter reads, as of its last report."""

    at_ms: float
    level: int


class VoterLevels:
    """Tracks the entry levels that voters have announced since this process became leader."""

    def __init__(self) -> None:
        self.announced: dict[str, AnnouncedLevel] = {}

    def observe(self, now_ms: float, voter: str, level: int) -> None:
        """Records the level that a voter announces."""
        self.announced[voter] = AnnouncedLevel(now_ms, level)

    def voters_without(self, level: int, voters: Collection[str]) -> list[str]:
        """Returns the voters that have not announced that they read the level."""
        default = AnnouncedLevel(NEVER_MS, FIRST_LEVEL)
        return [name for name in voters if self.announced.get(name, default).level < level]

    def common_level(self, now_ms: float, voter_count: int) -> int:
        """Returns the level that all voters read; FIRST_LEVEL if any has not reported recently."""
        oldest_ms = now_ms - REPORT_LIFETIME_MS
        levels = [
            announcement.level
            for announcement in self.announced.values()
            if announcement.at_ms >= oldest_ms
        ]
        return min(levels) if len(levels) >= voter_count else FIRST_LEVEL
