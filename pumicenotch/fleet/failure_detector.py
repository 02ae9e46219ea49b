"""What the leader takes for granted of members: who is out against its will, and whose name is taken.

Voters tell the leader whom they think dead; members send heartbeats to the leader itself.
"""

from collections.abc import Collection, Iterator, Mapping
from typing import NamedTuple

from pumicenotch.fleet.budgets import SERVING, Member
from pumicenotch.fleet.state import SILENT
from pumicenotch.membership.messages import MemberState
from pumicenotch.membership.swim import SwimMembership

OVERLOADED = "overloaded"
NEVER = float("-inf")
OPINION_LASTS_MS = 5000.0  # of a voter's opinion: some lost ones change nothing
NO_NEWS_MS = (
    15_000.0  # for news of a member to reach a voter: many times what it takes among a thousand
)
NAME_HELD_MS = 3000.0  # a name's process that was heard from so lately keeps it


class Observation(NamedTuple):
    """One voter's opinion."""

    at: float
    dead: frozenset[str]


class Heartbeat(NamedTuple):
    """The last one of a member, since this process leads."""

    at: float
    overloaded: bool


class LastSeen(NamedTuple):
    """When a member's process last sent a heartbeat."""

    life: str
    at: float


class Verdict(NamedTuple):
    """Why a member is out against its will; "": it is not any more."""

    name: str
    life: str
    why: str


class SilentMembers:
    """Whom one voter thinks dead, or has not heard of for so long that it should have."""

    def __init__(self) -> None:
        self.no_news_since: dict[str, float] = {}  # of counted members that no news has come of

    def dead(
        self, now: float, me: str, counted: Mapping[str, Member], members: SwimMembership
    ) -> list[str]:
        """Of those that the fleet counts, without this voter and members by hand."""
        return sorted(
            name
            for name, held in counted.items()
            if held.life and name != me and self.is_dead(now, name, members)
        )

    def is_dead(self, now: float, name: str, members: SwimMembership) -> bool:
        if name in members.table:
            self.no_news_since.pop(name, None)
            return members.state_of(name) is MemberState.DEAD
        return now - self.no_news_since.setdefault(name, now) > NO_NEWS_MS


class FailureDetector:
    """Of a leader. It remembers nothing that must last: a new one begins anew."""

    def __init__(self, now: float, members: Mapping[str, Member]) -> None:
        self.observations: dict[str, Observation] = {}  # by voter
        self.heartbeats: dict[str, Heartbeat] = {}
        # Who sent heartbeats to the former leader counts as heard: its name is not free.
        self.last_seen = {name: LastSeen(held.life, now) for name, held in members.items()}

    def observe(self, now: float, voter: str, dead: Collection[str]) -> None:
        self.observations[voter] = Observation(now, frozenset(dead))

    def heard(self, now: float, name: str, life: str, overloaded: bool) -> None:
        self.last_seen[name] = LastSeen(life, now)
        self.heartbeats[name] = Heartbeat(now, overloaded)

    def holds_name(self, now: float, held: Member, interval_ms: float) -> bool:
        """Whether the process that has this name is alive, so that no other may take it."""
        seen = self.last_seen.get(held.name)
        lately = seen is not None and now - seen.at < NAME_HELD_MS + interval_ms
        return lately and held.standing == SERVING

    def verdicts(
        self, now: float, voters: int, members: Mapping[str, Member], interval_ms: float
    ) -> Iterator[Verdict]:
        """Out against its will is who a majority of the voters thinks dead, or who says so itself. It takes
        as much to be well again, and its own heartbeat: a new leader that has heard of nobody yet knows of
        no change.
        """
        since = now - OPINION_LASTS_MS
        fresh = [each.dead for each in self.observations.values() if each.at >= since]
        if 2 * len(fresh) <= voters:
            return
        for name, held in list(members.items()):
            if not held.life or held.standing != SERVING:
                continue
            why = self.why_out(held, fresh, voters, since - interval_ms)
            if why != held.against:
                yield Verdict(name, held.life, why)

    def why_out(self, held: Member, fresh: list[frozenset[str]], voters: int, since: float) -> str:
        heartbeat = self.heartbeats.get(held.name, Heartbeat(NEVER, False))
        dead = sum(held.name in each for each in fresh)
        if 2 * dead > voters:
            return SILENT
        if heartbeat.at >= since and 2 * (len(fresh) - dead) > voters:
            return OVERLOADED if heartbeat.overloaded else ""
        return held.against


class AnnouncedLevel(NamedTuple):
    """The level of entries that a voter has said to understand."""

    at: float
    level: int


class VoterLevels:
    """What the voters have told the leader since it leads."""

    FIRST = 1  # that every program understands

    def __init__(self) -> None:
        self.announced: dict[str, AnnouncedLevel] = {}

    def observe(self, now: float, voter: str, level: int) -> None:
        self.announced[voter] = AnnouncedLevel(now, level)

    def below(self, level: int, voters: Collection[str]) -> list[str]:
        """Who has not said that it understands that level."""
        unknown = AnnouncedLevel(NEVER, self.FIRST)
        return [name for name in voters if self.announced.get(name, unknown).level < level]

    def common(self, now: float, voters: int) -> int:
        """What all understand; the first while some have not spoken lately."""
        since = now - OPINION_LASTS_MS
        fresh = [each.level for each in self.announced.values() if each.at >= since]
        return min(fresh) if len(fresh) >= voters else self.FIRST
