"""Reports for operators: tables of the replicated state and of the leader's measurements.

The keys of the tables are part of the command's `--json` output and never change.
"""

from typing import Any, NamedTuple

from pumicenotch.errors import InputError
from pumicenotch.fleet.canary.analysis import CanaryAnalysis
from pumicenotch.fleet.drains.budgets import GroupOutages, Member
from pumicenotch.fleet.drains.durations import DrainDurations
from pumicenotch.fleet.releases.release import BUDGETS, Release
from pumicenotch.fleet.releases.waves import plan_waves
from pumicenotch.fleet.replicated.records import QueuedDrain
from pumicenotch.fleet.replicated.state import FleetState

MAX_ROWS = 200  # rows of a table in one answer, about 30 KB
READ_VERBS = ("status", "why", "log", "halts", "releases", "one_release", "waves")

Table = dict[str, Any]  # JSON object


class InvalidReadError(InputError):
    """A read of something that does not exist, or with arguments of the wrong type."""

    def __init__(self, verb: str, problem: str) -> None:
        remedy = "see `fleet status` and `release status` for what there is"
        super().__init__(problem, place=verb, remedy=remedy)


class LeaderInfo(NamedTuple):
    """The answering leader and the membership of its consensus group."""

    name: str
    term: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]


class Sources(NamedTuple):
    """The data from which the tables are built."""

    state: FleetState
    leader: LeaderInfo
    analysis: CanaryAnalysis
    durations: DrainDurations


class Reports:
    """Answers reads as of one point in time."""

    def __init__(self, now_ms: float, sources: Sources) -> None:
        self.now_ms = now_ms
        self.state = sources.state
        self.leader = sources.leader
        self.analysis = sources.analysis
        self.durations = sources.durations

    def answer(self, verb: str, args: tuple[Any, ...]) -> Table:
        """Returns the answer to one of READ_VERBS; raises InvalidReadError."""
        match [verb, *args]:
            case ["status"]:
                table = self.status()
            case ["halts"]:
                table = {"halts": list(self.state.halts)}
            case ["log", int(count)]:
                table = self.events(count)
            case ["releases"]:
                table = self.releases()
            case ["one_release", str(name)]:
                table = self.release_details(name)
            case ["waves", [*fractions], bool(mixed), str(order)]:
                table = {"waves": self.waves(tuple(map(float, fractions)), mixed, order)}
            case ["why", str(name)]:
                table = self.member_details(name)
            case _:
                raise InvalidReadError(verb, "other values are wanted")
        return table

    def events(self, count: int) -> Table:
        """Returns the last `count` events, but at most MAX_ROWS, the latest last."""
        rows = [
            {"index": event.log_index, "what": event.text}
            for event in self.state.history[-max(1, count) :]
        ]
        return {"log": rows[-MAX_ROWS:]}

    # Releases

    def releases(self) -> Table:
        """Returns the latest releases, and the fleet's current versions."""
        releases = self.state.releases
        rows = [
            self._release_row(release) for release in list(releases.releases.values())[-MAX_ROWS:]
        ]
        return {"level": releases.level, "stands": releases.current_versions, "releases": rows}

    def release_details(self, name: str) -> Table:
        """Returns a release with one row per node; raises InvalidReadError."""
        release = self.state.releases.releases.get(name)
        if release is None:
            raise InvalidReadError("one_release", f"no release {name}")
        return {**self._release_row(release), "rows": self._release_nodes(release)}

    def waves(
        self, fractions: tuple[float, ...], mixed: bool, order: str
    ) -> tuple[tuple[str, ...], ...]:
        """Returns planned waves of all nodes that an agent has reported on."""
        nodes = self.state.releases.nodes
        members = [member for member in self.state.members.values() if member.name in nodes]
        return plan_waves(members, fractions=fractions, mixed=mixed, order=order)

    def _release_row(self, release: Release) -> Table:
        trial = self.analysis.observations.get(release.name)
        has_nodes = release.is_active and release.slot != BUDGETS
        missing = self.state.releases.missing_nodes(release) if has_nodes else []
        return {
            "name": release.name,
            "slot": release.slot,
            "version": release.version,
            "replaces": release.replaces,
            "state": release.state,
            "stands": release.description,
            "wave": release.wave,
            "waves": [len(wave) for wave in release.waves],
            "nodes": len(release.nodes),
            "halts": [list(halt) for halt in release.halts],
            "asks": release.approval_reason,
            "why": release.reason,
            "harmed": list(release.harmed),
            "urgent": release.urgent,
            "missing": missing[:MAX_ROWS],
            "judged": trial.text if trial is not None else "",
            "usual_windows": len(self.analysis.baseline_windows),
            "has": sum(self.state.releases.runs_version(release, name) for name in release.nodes),
        }

    def _release_nodes(self, release: Release) -> list[Table]:
        """Returns one row per node with its running version, for releases halted part-way."""
        rows = [
            self._release_node(release, name, number)
            for number, wave in enumerate(release.waves, 1)
            for name in wave
            if name in self.state.releases.nodes and name in self.state.members
        ]
        return rows[:MAX_ROWS]

    def _release_node(self, release: Release, name: str, wave: int) -> Table:
        node = self.state.releases.nodes[name]
        member = self.state.members[name]
        return {
            "name": name,
            "zone": member.zone,
            "wave": wave,
            "runs": node.version(release.slot),
            "serves": not self.state.is_unavailable(member),
            "trouble": node.problem or member.failure,
            "waits": self.state.wait_reasons.get(name, ""),
        }

    # Members and drains

    def status(self) -> Table:
        """Returns the unavailable and the waiting members, the budgets, and open releases."""
        state = self.state
        unavailable = [member for member in state.members.values() if state.is_unavailable(member)]
        groups = list(state.outage_counts().groups.values())
        open_releases = state.releases.open_releases()
        return {
            "fleet": state.fleet,
            "index": state.log_index,
            "leader": self.leader.name,
            "term": self.leader.term,
            "seats": list(self.leader.voters),
            "learners": list(self.leader.learners),
            "halted": state.halt_reason(),
            "members": len(state.members),
            "out": len(unavailable),
            "rows": [self._member_row(member) for member in unavailable[:MAX_ROWS]],
            "waiting": [self._waiting_row(request) for request in state.queue[:MAX_ROWS]],
            "budgets": [_budget_row(group) for group in groups[:MAX_ROWS]],
            "over": state.violations()[:MAX_ROWS],
            "level": state.releases.level,
            "releases": [
                {"name": release.name, "stands": release.description} for release in open_releases
            ],
        }

    def _member_row(self, member: Member) -> Table:
        permit = self.state.permits.get(member.name)
        return {
            "name": member.name,
            "zone": member.zone,
            "standing": member.status,
            "against": member.failure,
            "permit": permit.epoch if permit is not None else 0,
            "kind": permit.kind if permit is not None else "",
            "reason": permit.reason if permit is not None else "",
            "ms": self.durations.elapsed_ms(self.now_ms, member.name),
        }

    def _waiting_row(self, request: QueuedDrain) -> Table:
        return {
            "name": request.name,
            "by": request.requested_by,
            "reason": request.reason,
            "why": self.state.wait_reasons.get(request.name, ""),
            "ms": self.durations.elapsed_ms(self.now_ms, request.name),
        }

    def member_details(self, name: str) -> Table:
        """Returns a member's status and, if it waits, why and how long; raises InvalidReadError."""
        if name not in self.state.members:
            raise InvalidReadError("why", f"no member {name}")
        member = self.state.members[name]
        wait_reason = self.state.wait_reasons.get(name, "")
        table = {
            **self._member_row(member),
            "budgets": self._budgets_of(member),
            "waits": wait_reason,
        }
        if name in self.state.wait_reasons:
            table["ahead"] = self._queued_before(name)
            table["a_drain_takes_ms"] = self.durations.median_ms()
        return table

    def _budgets_of(self, member: Member) -> list[Table]:
        """Returns the groups that the member belongs to, with their unavailable members."""
        state = self.state
        outages = state.outage_counts()
        unavailable = [other for other in state.members.values() if state.is_unavailable(other)]
        rows = []
        for group in outages.groups_of(member):
            names = [
                other.name
                for other in unavailable
                if any(other_group is group for other_group in outages.groups_of(other))
            ]
            rows.append(
                {
                    "budget": group.label(),
                    "members": group.members,
                    "out": names[:MAX_ROWS],
                    "over": group.violation(),
                }
            )
        return rows

    def _queued_before(self, name: str) -> int:
        return [request.name for request in self.state.queue].index(name)

    def describe_wait(self, name: str) -> str:
        """Returns why a queued drain waits and the estimated wait, as a text for the member."""
        drain_s = self.durations.median_ms() / 1000.0
        estimate = f", of about {drain_s:.0f} s each" if self.durations.durations_ms else ""
        return f"{self.state.wait_reasons[name]}; {self._queued_before(name)} before it{estimate}"


def _budget_row(group: GroupOutages) -> Table:
    budget = group.budget
    return {
        "budget": budget.name,
        "each": budget.scope,
        "group": group.group,
        "members": group.members,
        "out": group.unavailable,
        "over": group.violation(),
        "most_out": budget.max_unavailable,
        "least_serving": budget.min_available,
        "least_capacity": budget.min_capacity_fraction,
    }
