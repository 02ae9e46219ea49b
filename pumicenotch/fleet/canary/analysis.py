"""The leader's analysis of members' request counts while a release is active.

The analysis leads the leader to propose three commands: a report of harm, the completion of a
wave's soak, and the baseline before a wave moves.
"""

from collections import defaultdict
from collections.abc import Iterator
from typing import NamedTuple

from pumicenotch.fleet.canary.counts import RequestCounts, total_of
from pumicenotch.fleet.canary.judge import Observation, SequentialJudge
from pumicenotch.fleet.canary.signals import (
    CallAmplification,
    DependencyHealth,
    MemoryGrowth,
    ZoneMemory,
    crash_harm_reason,
)
from pumicenotch.fleet.drains.lifecycle import SILENT
from pumicenotch.fleet.releases.commands import CompleteSoak, ReportHarm, SetBaseline
from pumicenotch.fleet.releases.release import BUDGETS, FORWARD_STATES, SOAKING, Release
from pumicenotch.fleet.replicated.state import FleetState

ReleaseFinding = CompleteSoak | ReportHarm | SetBaseline


class SoakStart(NamedTuple):
    """The time since which no node of a wave is missing."""

    wave: int
    started_at_ms: float


NO_SOAK = SoakStart(-1, 0.0)


class ReleaseObservations:
    """This leader's observations of one release, and its detectors of harm."""

    def __init__(self) -> None:
        self.requests = SequentialJudge()
        self.calls = SequentialJudge()
        self.amplification = CallAmplification()
        self.dependencies = DependencyHealth()
        self.memory = MemoryGrowth()
        self.soak = NO_SOAK
        self.failed_since_ms: dict[str, float] = {}  # by released member
        self.proposed_at_ms = float("-inf")
        self.text = "nothing was looked at yet"


class MemberReport(NamedTuple):
    """The last report of a member's process."""

    process_id: str
    first_report_ms: float  # the time of the process's first report
    counts: dict[str, RequestCounts]  # by request class


class CanaryAnalysis:
    """Compares released members with the others, window by window.

    A new leader starts with an empty analysis. The only observations that survive a change of
    leader are the baselines, which the replicated state holds.
    """

    WINDOW_MS = 1000.0  # two report intervals of a member
    WARM_UP_MS = 2000.0  # left out of the counts, because any new process is slow at first
    # How long a released member must stay failed before its failure may count as harm. In this time
    # the voters also find failed neighbours in its zone.
    FAILURE_CONFIRMATION_MS = 2000.0
    # Half a minute, short enough that the daily change of load does not distort the baseline.
    BASELINE_WINDOWS = 30
    PROPOSAL_RETRY_MS = 2000.0  # before the next proposal for the same release

    def __init__(self) -> None:
        self.reports: dict[str, MemberReport] = {}  # by member
        self.window_counts: dict[str, dict[str, RequestCounts]] = {}  # by member and request class
        self.memory_mb: dict[str, float] = {}  # by member
        self.observations: dict[str, ReleaseObservations] = {}  # by release
        self.baseline_windows: list[RequestCounts] = []  # totals of all members
        self.window_ends_ms = 0.0

    def observe_member(
        self,
        now_ms: float,
        name: str,
        process_id: str,
        counts: dict[str, RequestCounts],
        memory_mb: float = 0.0,
    ) -> None:
        """Adds a member's report to the current window.

        Args:
            now_ms: the current time.
            name: the member.
            process_id: the id of the member's process.
            counts: by request class, since the process started.
            memory_mb: the memory of the process.
        """
        self.memory_mb[name] = memory_mb
        last = self.reports.get(name)
        if last is None or last.process_id != process_id:
            self.reports[name] = MemberReport(process_id, now_ms, counts)
            return
        self.reports[name] = last._replace(counts=counts)
        if now_ms - last.first_report_ms < self.WARM_UP_MS:
            return
        window = self.window_counts.setdefault(name, {})
        for request_class, total in counts.items():
            increase = total.minus(last.counts.get(request_class, RequestCounts()))
            window[request_class] = window.get(request_class, RequestCounts()).plus(increase)

    def findings(self, now_ms: float, state: FleetState) -> list[ReleaseFinding]:
        """Returns the commands that the leader is to propose now."""
        releases = state.releases
        self.observations = {
            release.name: self.observations.get(release.name, ReleaseObservations())
            for release in releases.open_releases()
        }
        if now_ms >= self.window_ends_ms:
            self._close_window(now_ms, state)
        findings = []
        for release in releases.active_releases():
            if release.state not in FORWARD_STATES:
                continue
            observations = self.observations[release.name]
            finding = (
                self._find_harm(now_ms, release, state)
                or self._find_baseline(release, state)
                or self._find_completed_soak(now_ms, release, state)
            )
            if finding and now_ms - observations.proposed_at_ms >= self.PROPOSAL_RETRY_MS:
                observations.proposed_at_ms = now_ms
                findings.append(finding)
        return findings

    # Windows

    def _close_window(self, now_ms: float, state: FleetState) -> None:
        self.window_ends_ms = now_ms + self.WINDOW_MS
        total = total_of(row for rows in self.window_counts.values() for row in rows.values())
        if total.requests:
            self.baseline_windows = [*self.baseline_windows, total][-self.BASELINE_WINDOWS :]
        for release in state.releases.open_releases():
            if release.slot != BUDGETS:  # new budgets apply to all members, with none to compare
                self._observe_window(release, state, total)
        self.window_counts = {}

    def _observe_window(self, release: Release, state: FleetState, total: RequestCounts) -> None:
        observations = self.observations[release.name]
        for stratum, (others, released) in sorted(self._counts_by_stratum(release, state).items()):
            for has_version, row in ((False, others), (True, released)):
                observations.requests.observe(
                    Observation(stratum, has_version, int(row.requests), int(row.failures))
                )
                calls = (int(row.calls), int(row.failed_calls))
                observations.calls.observe(
                    Observation(f"{stratum}, calls below", has_version, *calls)
                )
            observations.amplification.observe(others, released)
        observations.dependencies.observe(total, state.releases.has_moved(release))
        observations.memory.observe(self._memory_by_zone(release, state))
        observations.text = observations.requests.close_window().text
        observations.calls.close_window()

    def _counts_by_stratum(
        self, release: Release, state: FleetState
    ) -> dict[str, list[RequestCounts]]:
        """Returns the window's counts of the others and of the released members.

        The strata are the zone, cell and request class. Unavailable members are left out.
        """
        strata: dict[str, list[RequestCounts]] = defaultdict(
            lambda: [RequestCounts(), RequestCounts()]
        )
        for name, rows in self.window_counts.items():
            member = state.members.get(name)
            if member is None or state.is_unavailable(member):
                continue
            has_version = state.releases.runs_version(release, name)
            for request_class, row in rows.items():
                zone = member.zone or "no zone"
                groups = strata[f"{zone}, {member.cell or 'no cell'}, {request_class}"]
                groups[has_version] = groups[has_version].plus(row)
        return strata

    def _memory_by_zone(self, release: Release, state: FleetState) -> Iterator[ZoneMemory]:
        zones: dict[str, ZoneMemory] = defaultdict(lambda: ZoneMemory([], []))
        for name, report in self.reports.items():
            member = state.members.get(name)
            if member is None or member.process_id != report.process_id:
                continue
            if not self._is_warm(report):
                continue
            zone = zones[member.zone]
            has_version = state.releases.runs_version(release, name)
            (zone.released if has_version else zone.others).append(self.memory_mb[name])
        yield from zones.values()

    def _is_warm(self, report: MemberReport) -> bool:
        age_ms = self.window_ends_ms - report.first_report_ms
        return age_ms > self.WARM_UP_MS + self.WINDOW_MS

    # Findings

    def _find_baseline(self, release: Release, state: FleetState) -> SetBaseline | None:
        """Returns a wave's baseline once there are enough windows, before the first node moves."""
        is_known = bool(release.baseline) and release.baseline[0] == release.wave
        total = total_of(self.baseline_windows)
        windows = len(self.baseline_windows)
        if is_known or windows < DependencyHealth.MIN_WINDOWS or not total.calls:
            return None
        if state.releases.has_moved(release):
            return None
        metrics = (
            total.first_attempts / windows,
            total.failed_calls / total.calls,
            total.call_ms / total.calls,
        )
        return SetBaseline(release.name, release.wave, metrics)

    def _find_harm(self, now_ms: float, release: Release, state: FleetState) -> ReportHarm | None:
        observations = self.observations[release.name]
        released = [name for name in release.nodes if state.releases.runs_version(release, name)]
        if reason := self._harm_reason(release, observations, state):
            return ReportHarm(release.name, "judgement", tuple(released), reason)
        for name in released:
            if reason := self._lone_failure_reason(now_ms, name, state, observations):
                return ReportHarm(release.name, "silence", (name,), reason)
        return None

    @staticmethod
    def _harm_reason(release: Release, observations: ReleaseObservations, state: FleetState) -> str:
        for judge in (observations.requests, observations.calls):
            verdict = judge.verdict()
            if verdict.harmful:
                return verdict.text
        return (
            observations.amplification.harm_reason()
            or observations.dependencies.harm_reason(release.baseline)
            or observations.memory.harm_reason()
            or crash_harm_reason(release, state)
        )

    def _lone_failure_reason(
        self, now_ms: float, name: str, state: FleetState, observations: ReleaseObservations
    ) -> str:
        """Returns the failure of a released member that failed alone; "" if there is none.

        A failure is a sign of harm only while the other members of the zone respond. If one of them
        is silent too, the zone may be cut off, and the state of its members is unknown.
        """
        member = state.members.get(name)
        if member is None or not member.failure:
            observations.failed_since_ms.pop(name, None)
            return ""
        if (
            now_ms - observations.failed_since_ms.setdefault(name, now_ms)
            < self.FAILURE_CONFIRMATION_MS
        ):
            return ""
        neighbours = [
            other
            for other in state.members.values()
            if other.zone == member.zone and other.name != name
        ]
        if not neighbours or any(other.failure == SILENT for other in neighbours):
            return ""
        return f"{name} is {member.failure}, and its neighbours are not"

    def _find_completed_soak(
        self, now_ms: float, release: Release, state: FleetState
    ) -> CompleteSoak | None:
        """Returns the completion of a wave whose soak is over.

        The soak starts anew whenever a node of the wave is missing again. Without a conclusive
        verdict the soak lasts `extra_soak_ms` longer.
        """
        observations = self.observations[release.name]
        if release.state != SOAKING or release.approval_reason:
            return None
        if release.slot != BUDGETS and state.releases.missing_nodes(release):
            observations.soak = NO_SOAK
            return None
        if observations.soak.wave != release.wave:
            observations.soak = SoakStart(release.wave, now_ms)
        soaked_ms = now_ms - observations.soak.started_at_ms
        if soaked_ms < release.soak_ms:
            return None
        if release.slot == BUDGETS or self._is_wave_of_voters(release, state):
            reason = f"nothing was wrong for {soaked_ms / 1000.0:.0f} s"
            return CompleteSoak(release.name, release.wave, True, reason)
        verdict = observations.requests.verdict()
        if verdict.conclusive or soaked_ms >= release.soak_ms + release.extra_soak_ms:
            return CompleteSoak(release.name, release.wave, verdict.conclusive, verdict.text)
        return None

    @staticmethod
    def _is_wave_of_voters(release: Release, state: FleetState) -> bool:
        names = release.waves[release.wave]
        members = [state.members[name] for name in names if name in state.members]
        return bool(members) and all(member.voter for member in members)
