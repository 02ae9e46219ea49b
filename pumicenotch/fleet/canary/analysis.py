"""What a leader makes of members' counts while a release is on.

It proposes three commands: harm, a wave whose soak is over, and the baseline before a wave moves.
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
    crash_harm,
)
from pumicenotch.fleet.drains.lifecycle import SILENT
from pumicenotch.fleet.releases.commands import CompleteSoak, ReportHarm, SetBaseline
from pumicenotch.fleet.releases.release import BUDGETS, FORWARD_STATES, SOAKING, Release
from pumicenotch.fleet.replicated.state import FleetState

ReleaseFinding = CompleteSoak | ReportHarm | SetBaseline


class SoakStart(NamedTuple):
    """Since when a wave has no node missing."""

    wave: int
    since_ms: float


NO_SOAK = SoakStart(-1, 0.0)


class ReleaseTrial:
    """What this leader has observed of one release."""

    def __init__(self) -> None:
        self.requests = SequentialJudge()
        self.calls = SequentialJudge()
        self.amplification = CallAmplification()
        self.dependencies = DependencyHealth()
        self.memory = MemoryGrowth()
        self.soak = NO_SOAK
        self.silent_since_ms: dict[str, float] = {}
        self.proposed_at_ms = float("-inf")
        self.text = "nothing was looked at yet"


class MemberReport(NamedTuple):
    """What a member's process has reported last."""

    process_id: str
    first_report_ms: float  # of that process
    counts: dict[str, RequestCounts]  # by class


class CanaryAnalysis:
    """Compares released members with the others, window by window."""

    WINDOW_MS = 1000.0  # members report twice in it
    WARM_UP_MS = 2000.0  # a new process is slower for no fault of its version
    SILENCE_MS = 2000.0  # beyond the voters' finding, until its neighbours' silence is known too
    # Half a minute, so that the day's change of load is not in the baseline.
    BASELINE_WINDOWS = 30
    RETRY_MS = 2000.0  # before another finding on the same release is proposed

    def __init__(self) -> None:
        self.reports: dict[str, MemberReport] = {}  # by member
        self.window_counts: dict[str, dict[str, RequestCounts]] = {}  # by member and class
        self.memory_mb: dict[str, float] = {}  # by member
        self.trials: dict[str, ReleaseTrial] = {}
        self.baseline_windows: list[RequestCounts] = []  # of all members together
        self.window_ends_ms = 0.0

    def observe_member(
        self,
        now_ms: float,
        name: str,
        process_id: str,
        counts: dict[str, RequestCounts],
        memory_mb: float = 0.0,
    ) -> None:
        """Takes what a member counted since its process started."""
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
        """Returns what this leader is to propose now."""
        releases = state.releases
        self.trials = {
            release.name: self.trials.get(release.name, ReleaseTrial())
            for release in releases.open_releases()
        }
        if now_ms >= self.window_ends_ms:
            self._close_window(now_ms, state)
        findings = []
        for release in releases.active_releases():
            if release.state not in FORWARD_STATES:
                continue
            trial = self.trials[release.name]
            finding = (
                self._find_harm(now_ms, release, state)
                or self._find_baseline(release, state)
                or self._find_soaked(now_ms, release, state)
            )
            if finding and now_ms - trial.proposed_at_ms >= self.RETRY_MS:
                trial.proposed_at_ms = now_ms
                findings.append(finding)
        return findings

    # Windows

    def _close_window(self, now_ms: float, state: FleetState) -> None:
        self.window_ends_ms = now_ms + self.WINDOW_MS
        total = total_of(row for rows in self.window_counts.values() for row in rows.values())
        if total.requests:
            self.baseline_windows = [*self.baseline_windows, total][-self.BASELINE_WINDOWS :]
        for release in state.releases.open_releases():
            if release.slot != BUDGETS:  # of which there is nothing to compare
                self._observe_window(release, state, total)
        self.window_counts = {}

    def _observe_window(self, release: Release, state: FleetState, total: RequestCounts) -> None:
        trial = self.trials[release.name]
        for stratum, (others, released) in sorted(self._strata(release, state).items()):
            for has_version, row in ((False, others), (True, released)):
                trial.requests.observe(
                    Observation(stratum, has_version, int(row.requests), int(row.failures))
                )
                calls = (int(row.calls), int(row.failed_calls))
                trial.calls.observe(Observation(f"{stratum}, calls below", has_version, *calls))
            trial.amplification.observe(others, released)
        trial.dependencies.observe(total, state.releases.has_moved(release))
        trial.memory.observe(self._memory_by_zone(release, state))
        trial.text = trial.requests.close_window().text
        trial.calls.close_window()

    def _strata(self, release: Release, state: FleetState) -> dict[str, list[RequestCounts]]:
        """Returns by zone, cell and class what the others and the released members counted."""
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
        """Finds the baseline while no node of the wave has moved, after enough windows."""
        is_known = bool(release.baseline) and release.baseline[0] == release.wave
        total = total_of(self.baseline_windows)
        windows = len(self.baseline_windows)
        if is_known or windows < DependencyHealth.MIN_WINDOWS or not total.calls:
            return None
        if state.releases.has_moved(release):
            return None
        figures = (
            total.first_attempts / windows,
            total.failed_calls / total.calls,
            total.call_ms / total.calls,
        )
        return SetBaseline(release.name, release.wave, figures)

    def _find_harm(self, now_ms: float, release: Release, state: FleetState) -> ReportHarm | None:
        trial = self.trials[release.name]
        released = [name for name in release.nodes if state.releases.runs_version(release, name)]
        if reason := self._judge(release, trial, state):
            return ReportHarm(release.name, "judgement", tuple(released), reason)
        for name in released:
            if reason := self._silence(now_ms, name, state, trial):
                return ReportHarm(release.name, "silence", (name,), reason)
        return None

    @staticmethod
    def _judge(release: Release, trial: ReleaseTrial, state: FleetState) -> str:
        for judge in (trial.requests, trial.calls):
            verdict = judge.verdict()
            if verdict.harmful:
                return verdict.text
        return (
            trial.amplification.harm()
            or trial.dependencies.harm(release.baseline)
            or trial.memory.harm()
            or crash_harm(release, state)
        )

    def _silence(self, now_ms: float, name: str, state: FleetState, trial: ReleaseTrial) -> str:
        """Returns whether a released node has failed alone; "" if it has not.

        That is a sign of harm only where its neighbours are heard: else the zone is cut off, and
        nobody knows.
        """
        member = state.members.get(name)
        if member is None or not member.failure:
            trial.silent_since_ms.pop(name, None)
            return ""
        if now_ms - trial.silent_since_ms.setdefault(name, now_ms) < self.SILENCE_MS:
            return ""
        neighbours = [
            other
            for other in state.members.values()
            if other.zone == member.zone and other.name != name
        ]
        if not neighbours or any(other.failure == SILENT for other in neighbours):
            return ""
        return f"{name} is {member.failure}, and its neighbours are not"

    def _find_soaked(
        self, now_ms: float, release: Release, state: FleetState
    ) -> CompleteSoak | None:
        """Finds a wave whose soak is over; a node that is unavailable again restarts the clock."""
        trial = self.trials[release.name]
        if release.state != SOAKING or release.approval_reason:
            return None
        if release.slot != BUDGETS and state.releases.missing_nodes(release):
            trial.soak = NO_SOAK
            return None
        if trial.soak.wave != release.wave:
            trial.soak = SoakStart(release.wave, now_ms)
        soaked_ms = now_ms - trial.soak.since_ms
        if soaked_ms < release.soak_ms:
            return None
        if release.slot == BUDGETS or self._is_wave_of_voters(release, state):
            reason = f"nothing was wrong for {soaked_ms / 1000.0:.0f} s"
            return CompleteSoak(release.name, release.wave, True, reason)
        verdict = trial.requests.verdict()
        if verdict.conclusive or soaked_ms >= release.soak_ms + release.extra_soak_ms:
            return CompleteSoak(release.name, release.wave, verdict.conclusive, verdict.text)
        return None

    @staticmethod
    def _is_wave_of_voters(release: Release, state: FleetState) -> bool:
        names = release.waves[release.wave]
        members = [state.members[name] for name in names if name in state.members]
        return bool(members) and all(member.voter for member in members)
