"""What operators read of the fleet: plain tables made from the agreed state and from what the leader has
seen.
"""

from typing import Any, NamedTuple

from pumicenotch.fleet.canary.analysis import Watch
from pumicenotch.fleet.drains.budgets import Member, Tally
from pumicenotch.fleet.drains.durations import DrainTimes
from pumicenotch.fleet.releases.release import BUDGETS, Release
from pumicenotch.fleet.releases.waves import waves_of
from pumicenotch.fleet.replicated.records import Request
from pumicenotch.fleet.replicated.state import State

ROWS_MOST = 200  # of a table in one answer: some 30 KB
READ_VERBS = ("status", "why", "log", "halts", "releases", "one_release", "waves")

Table = dict[str, Any]


class BadRead(ValueError):
    """What is asked about is not there, or the values are of another kind."""


class Leading(NamedTuple):
    """Of the voter that answers."""

    name: str
    term: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class Reports:
    """Answers to one moment's questions."""

    def __init__(
        self, now: float, state: State, leading: Leading, watch: Watch, times: DrainTimes
    ) -> None:
        self.now, self.state, self.leading, self.watch, self.times = (
            now,
            state,
            leading,
            watch,
            times,
        )

    def answer(self, verb: str, args: tuple[Any, ...]) -> Table:
        """To one of READ_VERBS. Raises BadRead."""
        match [verb, *args]:
            case ["status"]:
                return self.status()
            case ["halts"]:
                return {"halts": list(self.state.halts)}
            case ["log", int(many)]:
                return self.log(many)
            case ["releases"]:
                return self.releases()
            case ["one_release", str(name)]:
                return self.one_release(name)
            case ["waves", [*shares], bool(mixed), str(order)]:
                return {"waves": self.waves(tuple(map(float, shares)), mixed, order)}
            case ["why", str(name)]:
                return self.why(name)
        raise BadRead(f"{verb}: other values are wanted")

    def log(self, many: int) -> Table:
        rows = [
            {"index": each.at, "what": each.text} for each in self.state.history[-max(1, many) :]
        ]
        return {"log": rows[-ROWS_MOST:]}

    # Releases

    def releases(self) -> Table:
        found = self.state.releases
        rows = [self.release_row(each) for each in list(found.releases.values())[-ROWS_MOST:]]
        return {"level": found.level, "stands": found.stands, "releases": rows}

    def one_release(self, name: str) -> Table:
        release = self.state.releases.releases.get(name)
        if release is None:
            raise BadRead(f"no release {name}")
        return {**self.release_row(release), "rows": self.release_nodes(release)}

    def waves(
        self, shares: tuple[float, ...], mixed: bool, order: str
    ) -> tuple[tuple[str, ...], ...]:
        """Of all nodes that an agent has spoken for."""
        nodes = self.state.releases.nodes
        members = [each for each in self.state.members.values() if each.name in nodes]
        return waves_of(members, shares=shares, mixed=mixed, order=order)

    def release_row(self, release: Release) -> Table:
        trial = self.watch.trials.get(release.name)
        missing = (
            self.state.releases.missing(release)
            if release.active and release.slot != BUDGETS
            else []
        )
        return {
            "name": release.name,
            "slot": release.slot,
            "version": release.version,
            "replaces": release.replaces,
            "state": release.state,
            "stands": release.stands,
            "wave": release.wave,
            "waves": [len(wave) for wave in release.waves],
            "nodes": len(release.nodes),
            "halts": [list(halt) for halt in release.halts],
            "asks": release.asks,
            "why": release.why,
            "harmed": list(release.harmed),
            "urgent": release.urgent,
            "missing": missing[:ROWS_MOST],
            "judged": trial.text if trial is not None else "",
            "usual_windows": len(self.watch.usual),
            "has": sum(self.state.releases.has(release, one) for one in release.nodes),
        }

    def release_nodes(self, release: Release) -> list[Table]:
        """What stands where: for when it is halted half way."""
        found = [
            self.release_node(release, one, number)
            for number, wave in enumerate(release.waves, 1)
            for one in wave
            if one in self.state.releases.nodes and one in self.state.members
        ]
        return found[:ROWS_MOST]

    def release_node(self, release: Release, one: str, wave: int) -> Table:
        node, member = self.state.releases.nodes[one], self.state.members[one]
        return {
            "name": one,
            "zone": member.zone,
            "wave": wave,
            "runs": node.version(release.slot),
            "serves": not self.state.is_out(member),
            "trouble": node.trouble or member.against,
            "waits": self.state.waits.get(one, ""),
        }

    # Members and drains

    def status(self) -> Table:
        state = self.state
        out = [each for each in state.members.values() if state.is_out(each)]
        return {
            "fleet": state.fleet,
            "index": state.index,
            "leader": self.leading.name,
            "term": self.leading.term,
            "seats": list(self.leading.voters),
            "learners": list(self.leading.learners),
            "halted": state.halted(),
            "members": len(state.members),
            "out": len(out),
            "rows": [self.member_row(each) for each in out[:ROWS_MOST]],
            "waiting": [self.waiting_row(each) for each in state.queue[:ROWS_MOST]],
            "budgets": [
                budget_row(each) for each in list(state.tallies().found.values())[:ROWS_MOST]
            ],
            "over": state.over()[:ROWS_MOST],
            "level": state.releases.level,
            "releases": [
                {"name": each.name, "stands": each.stands} for each in state.releases.open()
            ],
        }

    def member_row(self, member: Member) -> Table:
        permit = self.state.permits.get(member.name)
        return {
            "name": member.name,
            "zone": member.zone,
            "standing": member.standing,
            "against": member.against,
            "permit": permit.epoch if permit is not None else 0,
            "kind": permit.kind if permit is not None else "",
            "reason": permit.reason if permit is not None else "",
            "ms": self.times.lasted_ms(self.now, member.name),
        }

    def waiting_row(self, request: Request) -> Table:
        return {
            "name": request.name,
            "by": request.by,
            "reason": request.reason,
            "why": self.state.waits.get(request.name, ""),
            "ms": self.times.lasted_ms(self.now, request.name),
        }

    def why(self, name: str) -> Table:
        """Why it waits and about how long, or how else it stands."""
        if name not in self.state.members:
            raise BadRead(f"no member {name}")
        member, waits = self.state.members[name], self.state.waits.get(name, "")
        table = {**self.member_row(member), "budgets": self.budgets_of(member), "waits": waits}
        if name in self.state.waits:
            table |= {"ahead": self.queued_before(name), "a_drain_takes_ms": self.times.median_ms()}
        return table

    def budgets_of(self, member: Member) -> list[Table]:
        """The groups that it counts in, and who is out in each."""
        state, tallies = self.state, self.state.tallies()
        out = [each for each in state.members.values() if state.is_out(each)]
        rows = []
        for tally in tallies.of(member):
            names = [each.name for each in out if any(other is tally for other in tallies.of(each))]
            rows.append(
                {
                    "budget": tally.place(),
                    "members": tally.many,
                    "out": names[:ROWS_MOST],
                    "over": tally.over(),
                }
            )
        return rows

    def queued_before(self, name: str) -> int:
        """How many asked before it and wait still."""
        return [each.name for each in self.state.queue].index(name)

    def waiting_for(self, name: str) -> str:
        """For its holder: why, and about how long."""
        took = self.times.median_ms()
        each = f", of about {took / 1000.0:.0f} s each" if self.times.durations else ""
        return f"{self.state.waits[name]}; {self.queued_before(name)} before it{each}"


def budget_row(tally: Tally) -> Table:
    return {
        "budget": tally.budget.name,
        "each": tally.budget.each,
        "group": tally.group,
        "members": tally.many,
        "out": tally.out,
        "over": tally.over(),
        "most_out": tally.budget.most_out,
        "least_serving": tally.budget.least_serving,
        "least_capacity": tally.budget.least_capacity,
    }
