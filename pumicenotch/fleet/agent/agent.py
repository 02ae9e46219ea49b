"""The agent of a node, as a reducer: stores versions, and starts and stops the node's server.

An agent changes a version only with a fresh permission of the fleet. While the agent is cut off
from the fleet, its server keeps running with the versions that are in place. A permission is valid
only within the timeout of its request (`REQUEST_TIMEOUT_MS`), by the agent's own clock, until the
version is in its slot. All that takes long comes before the request: a version is compared with its
hash first. A permission that comes later, or whose time passes before it is used, is ignored.
"""

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.agent.hint import AgentHint, read_agent_hint
from pumicenotch.fleet.agent.version_checks import VersionChecks
from pumicenotch.fleet.drains.budgets import SERVING
from pumicenotch.fleet.member.effects import (
    ActivateVersion,
    CheckVersion,
    ConfirmVersions,
    FetchVersion,
    ReloadServer,
    RestartAgent,
    StartServer,
    StopServer,
)
from pumicenotch.fleet.member.voter_client import VoterClient
from pumicenotch.fleet.releases.release import (
    NO_STEP,
    RESTART_SLOTS,
    SERVER_DOWN,
    SERVER_STARTING,
    STORAGE_PROBLEM,
    Step,
)
from pumicenotch.fleet.replicated.fields import MAX_TEXT_LENGTH

# Prefixes of the problems that agents report.
CRASH_LOOP = "crash loop"
AGENT_FAILED = "agent refused"  # a version of the agent itself failed to start

AGENT_SLOT = "agent"
NEVER_MS = float("inf")
MAX_REPORT_INTERVAL_MS = 60_000.0  # limits the interval that the leader sets
MAX_BACKOFF_DOUBLINGS = 8


class AgentSetup(NamedTuple):
    """The initial state of an agent."""

    fleet: str
    node: str
    process_id: str  # of this agent
    voters: tuple[str, ...]
    versions: Mapping[str, str]  # by slot
    stored: tuple[str, ...]  # the versions on the disk
    has_server: bool  # whether the server runs already, started by a previous agent process
    start_timeout_ms: float  # for the server to come into service
    drain_timeout_ms: float
    now_ms: float
    seed: int
    problem: str = ""  # left by a failed start of the agent, if any


class Agent(VoterClient):
    """A reducer with the following inputs.

    `start`; `time`; `answered` (number, error, result); `ended` (status): the server exited, with
    status None if unknown; `held` (version, problem): the version is stored, or could not be
    stored; `checked` (version, problem): the stored version matches its hash, or not; `swapped`
    (slot, problem): the version is in its slot, or could not be put there; `expired` (slot): it was
    not put there, because the permission expired.
    """

    REPORT_INTERVAL_MS = 500.0
    # Time for a server with a permit to start its drain by itself: several heartbeat intervals.
    PERMIT_START_TIMEOUT_MS = 5000.0
    # If the fleet does not answer for this long after the server's exit, the agent starts the
    # server with the versions in place. 4000 ms allow for an election. The initial timeout, for an
    # agent that has just started, is shorter, because a reachable leader answers at once.
    ISOLATION_TIMEOUT_MS = 4000.0
    INITIAL_ISOLATION_TIMEOUT_MS = 1000.0
    # The number of unexpected exits within the window that make a crash loop.
    CRASH_LOOP_EXITS = 3
    CRASH_LOOP_WINDOW_MS = 60_000.0
    # Exits before the server has ever served. The first may be due to a port that is still in use.
    MAX_FAILED_STARTS = 2
    INITIAL_BACKOFF_MS = 250.0  # before a restart after an unexpected exit; doubles
    MAX_BACKOFF_MS = 10_000.0
    FETCH_RETRY_DELAY_MS = 5000.0

    INPUTS: ClassVar[Mapping[str, str]] = {
        "start": "on_start",
        "time": "on_time",
        "answered": "on_response",
        "ended": "on_server_exited",
        "held": "on_fetched",
        "checked": "on_checked",
        "swapped": "on_activated",
        "expired": "on_permission_expired",
    }

    def __init__(self, setup: AgentSetup) -> None:
        super().__init__(setup.voters, setup.now_ms, setup.seed)
        self.fleet = setup.fleet
        self.node = setup.node
        self.process_id = setup.process_id
        self.start_timeout_ms = setup.start_timeout_ms
        self.drain_timeout_ms = setup.drain_timeout_ms
        self.problem = setup.problem
        # Versions
        self.versions = dict(setup.versions)  # by slot
        self.stored = list(setup.stored)
        # The earliest time of the next fetch, by version; NEVER_MS during a fetch.
        self.next_fetch_at_ms: dict[str, float] = {}
        self.checks = VersionChecks()
        self.activating_step = NO_STEP  # the step whose version is being put in its slot
        # The server
        self.has_server = setup.has_server
        self.has_served = setup.has_server  # since its last start
        self.crash_times_ms: list[float] = []
        self.failed_starts = 0
        self.started_at_ms = setup.now_ms
        self.exited_at_ms = setup.now_ms - (
            self.ISOLATION_TIMEOUT_MS - self.INITIAL_ISOLATION_TIMEOUT_MS
        )
        self.next_start_at_ms = setup.now_ms  # the earliest time of the next start
        # The number of the last request before the server's last start or exit. The answers up to
        # this request describe the server as it was before.
        self.last_outdated_request = 0
        self.kill_at_ms = NEVER_MS  # set when the server is told to stop
        # The fleet's last answers
        self.has_fleet_answered = False
        self.last_answered_report = 0  # the request number of the report
        self.last_hint_at_ms = -NEVER_MS
        self.server_status = ""  # as agreed, by the last answer since the server's start
        self.next_report_at_ms = setup.now_ms
        self.server_process_id = ""  # as the fleet knows it
        self.server_process_id_before_start = ""
        self.next_step = NO_STEP
        self.permit_epoch = 0
        self.permit_received_at_ms = setup.now_ms
        self.permit_started = False
        self.permit_started_at_ms = setup.now_ms
        self.halt_reason = ""
        self.wanted_versions: tuple[str, ...] = ()

    def wake_at_ms(self) -> float:
        """Returns when the next input `time` is due."""
        return min(self.request_deadline_ms(), self.now_ms + self.REPORT_INTERVAL_MS / 2.0)

    def on_start(self) -> None:
        """Logs the versions with which the agent starts."""
        self.log(f"agent of {self.node} started: {self.describe_versions()}")

    def on_time(self) -> None:
        """Retries a request that has timed out."""
        self.check_timeout()

    def describe_versions(self) -> str:
        """Returns the version in each slot, for the log."""
        return ", ".join(f"{slot} {version}" for slot, version in sorted(self.versions.items()))

    # The server

    def check_server(self) -> None:
        """Reports a slow start, kills a server that does not stop, or starts a stopped server.

        A stopped server is started once the fleet has answered a report sent after the exit, unless
        the answer names a version to activate first and no halt. Without an answer the server is
        started after the isolation timeout.
        """
        if self.has_server:
            if self._is_silent() and not self.problem:
                timeout_s = self.start_timeout_ms / 1000.0
                self.report_problem(f"silent: not in service {timeout_s:.0f} s after its start")
            if self.now_ms >= self.kill_at_ms:
                self.kill_at_ms = NEVER_MS
                self.effects.append(StopServer(force=True))
            return
        if self.activating_step.slot or self.now_ms < self.next_start_at_ms:
            return
        slot, version = self.next_step
        moves_first = slot in RESTART_SLOTS and version in self.stored and not self.halt_reason
        is_isolated = self.now_ms >= self.exited_at_ms + self.ISOLATION_TIMEOUT_MS
        if (self.has_current_answer() and not moves_first) or is_isolated:
            self.start_server()

    def _is_silent(self) -> bool:
        """Tells whether the server runs and has not come into service in time after its start."""
        is_late = self.now_ms - self.started_at_ms > self.start_timeout_ms
        return self.has_server and not self.has_served and is_late

    def has_current_answer(self) -> bool:
        """Tells whether the fleet has answered a report from after the last start or exit."""
        return self.last_answered_report > self.last_outdated_request

    def _is_answer_outdated(self) -> bool:
        """Tells whether the answered request precedes the server's last start or exit."""
        request = self.answered_request
        return request is None or request.number <= self.last_outdated_request

    def start_server(self) -> None:
        """Starts the server with the versions in the slots."""
        self.has_server = True
        self.has_served = False
        self.started_at_ms = self.now_ms
        self.last_outdated_request = self.last_request_number
        self.kill_at_ms = NEVER_MS
        self.server_process_id_before_start = self.server_process_id
        self.log(f"starting the server: {self.describe_versions()}")
        self.effects.append(StartServer())

    def on_server_exited(self, status: int | None) -> None:
        """Handles the server's exit. An unexpected exit counts as a crash."""
        exited_cleanly = self.has_served and (status in (0, None) or self.permit_started)
        was_expected = self.kill_at_ms < NEVER_MS or exited_cleanly
        self.has_server = False
        self.exited_at_ms = self.now_ms
        self.last_outdated_request = self.last_request_number
        self.kill_at_ms = NEVER_MS
        self.next_start_at_ms = self.now_ms
        if not was_expected:
            self._record_crash(status)
        self.has_served = False
        self.log(f"the server exited with status {status}")
        self.schedule_report()

    def _record_crash(self, status: int | None) -> None:
        """Delays the next start, and reports a failed start or a crash loop."""
        window_start_ms = self.now_ms - self.CRASH_LOOP_WINDOW_MS
        recent = [at_ms for at_ms in self.crash_times_ms if at_ms > window_start_ms]
        self.crash_times_ms = [*recent, self.now_ms]
        crashes = len(self.crash_times_ms)
        backoff_ms = self.INITIAL_BACKOFF_MS * 2.0 ** min(crashes - 1, MAX_BACKOFF_DOUBLINGS)
        self.next_start_at_ms = self.now_ms + min(self.MAX_BACKOFF_MS, backoff_ms)
        self.failed_starts += not self.has_served
        if self.failed_starts >= self.MAX_FAILED_STARTS:
            self.report_problem(f"start refused: it ended with status {status} before it served")
        elif crashes >= self.CRASH_LOOP_EXITS:
            within_s = (self.now_ms - self.crash_times_ms[0]) / 1000.0
            self.report_problem(
                f"{CRASH_LOOP}: {crashes} ends in {within_s:.0f} s, status {status}"
            )

    def report_problem(self, problem: str) -> None:
        """Sets the node's problem, and schedules a report."""
        if self.problem != problem:
            self.problem = problem[:MAX_TEXT_LENGTH]
            self.log(problem)
            self.schedule_report()

    def stop_server(self) -> None:
        """Stops the server, and kills it if it has not exited after the time for a drain.

        Every server gets this time: one that the fleet does not count as serving may hold requests.
        """
        if self.has_server and self.kill_at_ms == NEVER_MS:
            self.kill_at_ms = self.now_ms + self.drain_timeout_ms
            self.effects.append(StopServer(force=False))

    def schedule_report(self) -> None:
        """Schedules a report for as soon as no request is outstanding."""
        self.next_report_at_ms = self.now_ms
        self._allow_next_request()

    def _allow_next_request(self) -> None:
        """Lets the next request follow at once, unless one is outstanding."""
        if self.request is None:
            self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)

    # Versions

    def on_fetched(self, version: str, problem: str) -> None:
        """Handles the end of a fetch; an empty problem means success."""
        if problem:
            self.next_fetch_at_ms[version] = self.now_ms + self.FETCH_RETRY_DELAY_MS
            self.report_problem(f"{STORAGE_PROBLEM} {version}: {problem}")
            return
        self.next_fetch_at_ms.pop(version, None)
        if version not in self.stored:
            self.stored.append(version)
        self._clear_storage_problem(version)
        self.schedule_report()

    def check_version(self, version: str, is_in_use: bool) -> None:
        """Starts to compare a stored version with its hash, if a check is due."""
        if self.checks.is_due(version, self.now_ms, is_in_use):
            self.checks.start(version)
            self.effects.append(CheckVersion(version))

    def on_checked(self, version: str, problem: str) -> None:
        """Handles the end of a check. A version that is not as stored is not activated."""
        self.checks.finish(version, self.now_ms, passed=not problem)
        if problem:
            self._on_storage_problem(version, problem)
            return
        self._clear_storage_problem(version)
        self._allow_next_request()

    def _clear_storage_problem(self, version: str) -> None:
        if self.problem.startswith(f"{STORAGE_PROBLEM} {version}"):
            self.problem = ""

    def _on_storage_problem(self, version: str, problem: str) -> None:
        """Reports the problem, and lets a stopped server start with the previous version."""
        self.report_problem(f"{STORAGE_PROBLEM} {version}: {problem}")
        # Lets the isolation timeout expire, so that the server starts without an answer.
        self.exited_at_ms = min(self.exited_at_ms, self.now_ms - self.ISOLATION_TIMEOUT_MS)

    def on_permission_expired(self, slot: str) -> None:
        """Handles a permission that expired unused: the agent reports, and may ask again."""
        version = self.activating_step.version
        self.activating_step = NO_STEP
        self.counters["permissions_expired"] += 1
        self.log(f"not activating {slot} {version}: the permission has expired")
        self.schedule_report()

    def on_activated(self, slot: str, problem: str) -> None:
        """Handles the end of an activation: restarts or reloads the slot's process.

        If the activation failed, the server is started with the previous version.
        """
        version = self.activating_step.version
        self.activating_step = NO_STEP
        if problem:
            self._on_storage_problem(version, problem)
            return
        self.versions[slot] = version
        self.next_step = NO_STEP
        self.schedule_report()
        if slot == AGENT_SLOT:
            self.effects.append(RestartAgent())
        elif slot not in RESTART_SLOTS:
            self.effects.append(ReloadServer())
        else:
            self.problem = ""
            self.crash_times_ms = []
            self.failed_starts = 0
            self.start_server()

    def fetch(self, versions: tuple[str, ...]) -> None:
        """Fetches the wanted versions that are not stored."""
        self.wanted_versions = versions
        for version in versions:
            if version not in self.stored and self.now_ms >= self.next_fetch_at_ms.get(
                version, 0.0
            ):
                self.next_fetch_at_ms[version] = NEVER_MS
                self.effects.append(FetchVersion(version))

    # Reports and requests

    def send_next_request(self) -> None:
        """Sends a report if one is due; otherwise requests the next step to another version."""
        self.check_server()
        is_early = self.now_ms < self.next_request_at_ms
        if self.request is not None or is_early or not self.voters or self.activating_step.slot:
            return
        slot, version = self.next_step
        is_restart = slot in RESTART_SLOTS
        is_stored = version in self.stored
        if is_stored:
            self.check_version(version, is_in_use=is_restart and self.has_server)
        if self.now_ms >= self.next_report_at_ms:
            self._send_report()
        elif is_stored and is_restart and self.has_server:
            self._stop_for_move()
        elif self.checks.is_valid(version, self.now_ms) and (
            not is_restart or self.has_current_answer()
        ):
            self.send_request("move", self.node, self.process_id, slot, version)
        if self.request is None and self.next_request_at_ms <= self.now_ms:
            self.next_request_at_ms = self.next_report_at_ms

    def _send_report(self) -> None:
        self.next_report_at_ms = self.now_ms + self.REPORT_INTERVAL_MS
        versions = sorted(self.versions.items())
        server_state = self._server_state()
        report = (self.node, self.process_id, versions, self.stored, server_state, self.problem)
        self.send_request("agent", *report)

    def _server_state(self) -> str:
        if self.has_served:
            return ""
        return SERVER_STARTING if self.has_server else SERVER_DOWN

    def _stop_for_move(self) -> None:
        """Stops the server for a move to another version, by its permit.

        A server that has a permit drains and exits by itself. If the server has not started its
        drain in time, the agent starts the permit and then stops the server. A server that never
        came into service gets no permit and is stopped without one.
        """
        if self._is_out_of_service():
            self.stop_server()
        elif self.permit_started:
            if self.now_ms - self.permit_started_at_ms > self.drain_timeout_ms:
                self.stop_server()
        elif self.permit_epoch and not self.halt_reason and self._is_permit_overdue():
            self.send_request("began", self.node, self.server_process_id, self.permit_epoch)

    def _is_out_of_service(self) -> bool:
        """Tells whether the server may be stopped without a permit, as nobody counts on it.

        The server has not come into service in time, the fleet has just said that it does not count
        it as serving, and no halt is in force. A problem that the agent remembers, such as a crash
        loop, does not matter: the server may serve again.
        """
        answer_age_ms = self.now_ms - self.last_hint_at_ms
        is_status_known = self.has_current_answer() and answer_age_ms <= self.REQUEST_TIMEOUT_MS
        is_counted = not is_status_known or self.server_status == SERVING
        return self._is_silent() and not is_counted and not self.halt_reason

    def _is_permit_overdue(self) -> bool:
        return self.now_ms - self.permit_received_at_ms > self.PERMIT_START_TIMEOUT_MS

    def on_result(self, verb: str, result: dict[str, Any]) -> None:
        """Handles the result of a request."""
        match verb:
            case "agent":
                self.on_hint(read_agent_hint(result))
            case "move":
                self._on_move_permitted()
            case "began" if not self._is_answer_outdated():
                self.permit_started = True
                self.permit_started_at_ms = self.now_ms
                self.stop_server()

    def _on_move_permitted(self) -> None:
        """Activates the requested version, unless a server was started after the request."""
        assert self.answered_request is not None
        *_, slot, version = self.answered_request.args
        if slot in RESTART_SLOTS and self._is_answer_outdated():
            self.log(f"not activating {slot} {version}: the server was started after the request")
            return
        self.log(f"activating {slot} {version}")
        self.activating_step = Step(slot, version)
        expires_at_ms = self.answered_request.expires_at_ms
        self.effects.append(ActivateVersion(slot, version, expires_at_ms))

    def on_refusal(self, verb: str, text: str) -> None:
        """Handles the fleet's refusal of a request, and reports again."""
        self.counters[f"{verb}_refused"] += 1
        if verb in ("move", "agent"):
            self.log(f"request {verb} refused: {text}")
        self.next_report_at_ms = self.now_ms

    def on_hint(self, hint: AgentHint) -> None:
        """Handles the leader's answer to a report. No step rests on the hint alone.

        An answer to a report from before the server's last start or exit only shows that the fleet
        is reachable. A leader may also answer before the report is agreed. The next step in its
        answer may then name the version that is in the slot already, and is ignored.
        """
        if not self.has_fleet_answered:
            self.has_fleet_answered = True
            self.effects.append(ConfirmVersions((AGENT_SLOT,)))
        if self._is_answer_outdated():
            self.counters["answers_outdated"] += 1
            self.schedule_report()
            return
        assert self.answered_request is not None
        self.last_answered_report = self.answered_request.number
        self.last_hint_at_ms = self.now_ms
        self.server_status = hint.status
        is_in_place = self.versions.get(hint.next_step.slot) == hint.next_step.version
        next_step = NO_STEP if is_in_place else hint.next_step
        if next_step != self.next_step:
            self.checks.forget()
        self.next_step = next_step
        self.halt_reason = hint.halt_reason
        self.server_process_id = hint.process_id
        if self.problem.startswith(AGENT_FAILED) and not self.next_step.slot:
            self.problem = ""  # no release wants the failed agent version on this node any more
        self._update_permit(hint)
        is_idle = self.has_served and not self.next_step.slot and not self.permit_epoch
        if is_idle and self.REPORT_INTERVAL_MS < hint.report_interval_ms <= MAX_REPORT_INTERVAL_MS:
            self.next_report_at_ms = self.now_ms + hint.report_interval_ms
        self._update_served(hint)
        self.fetch(hint.wanted_versions)

    def _update_permit(self, hint: AgentHint) -> None:
        if hint.permit_epoch != self.permit_epoch:
            self.permit_received_at_ms = self.now_ms
        if hint.permit_started and not self.permit_started:
            self.permit_started_at_ms = self.now_ms
        self.permit_epoch = hint.permit_epoch
        self.permit_started = hint.permit_started

    def _update_served(self, hint: AgentHint) -> None:
        """Records that the server has served, once the fleet counts its new process as serving.

        The versions in the restart slots are then confirmed. A crash loop stays a problem until the
        server has run for CRASH_LOOP_WINDOW_MS.
        """
        is_in_service = hint.status == SERVING and not hint.permit_epoch
        is_new = self.server_process_id != self.server_process_id_before_start
        if self.has_server and not self.has_served and is_in_service and is_new:
            self.has_served = True
            self.failed_starts = 0
            if not self.problem.startswith(CRASH_LOOP):
                self.problem = ""
            slots = tuple(slot for slot in self.versions if slot in RESTART_SLOTS)
            self.effects.append(ConfirmVersions(slots))
            self.schedule_report()
        uptime_ms = self.now_ms - self.started_at_ms
        is_stable = self.has_served and uptime_ms > self.CRASH_LOOP_WINDOW_MS
        if is_stable and self.problem.startswith(CRASH_LOOP):
            self.problem = ""
