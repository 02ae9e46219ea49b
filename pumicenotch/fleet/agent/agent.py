"""The agent beside a server: it stores versions, and starts and stops its server.

It takes no step between versions that was not agreed an instant ago. Cut off from the fleet it
keeps its server running as it is. A permission is valid for as long as a request waits for its
answer (`REQUEST_TIMEOUT_MS`), by this process's own clock: one that comes later, or that its
process slept through, is none.
"""

from collections.abc import Mapping
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.agent.hint import AgentHint, read_agent_hint
from pumicenotch.fleet.drains.budgets import SERVING
from pumicenotch.fleet.member.effects import (
    ActivateVersion,
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

# How problems begin, as agents report them.
CRASH_LOOP = "crash loop"
AGENT_FAILED = "agent refused"  # a version of the agent itself does not start

AGENT_SLOT = "agent"
NEVER_MS = float("inf")
MAX_REPORT_INTERVAL_MS = 60_000.0  # whatever the leader says
MAX_BACKOFF_DOUBLINGS = 8


class AgentSetup(NamedTuple):
    """What an agent is made from."""

    fleet: str
    node: str
    process_id: str  # of this agent
    voters: tuple[str, ...]
    versions: Mapping[str, str]  # by slot
    stored: tuple[str, ...]  # the versions on the disk
    has_server: bool  # its server runs already, started by an agent before this one
    start_timeout_ms: float  # for the server to come into service
    drain_timeout_ms: float
    now_ms: float
    seed: int
    problem: str = ""  # of this agent's earlier start, if any


class Agent(VoterClient):
    """A reducer of these inputs.

    `start`; `time`; `answered` (number, error, result); `ended` (status): its server has exited,
    with None for an unknown status; `held` (version, problem): it is stored, or could not be;
    `swapped` (slot, problem): the version is in its slot, or could not be put there.
    """

    REPORT_MS = 500.0  # between reports
    # For its server to use its permit by itself: some of its own heartbeats.
    PERMIT_PATIENCE_MS = 5000.0
    # Without an answer after its server's exit, until the server is started as it is: the time of
    # an election; and when this process has just started: voters that are there answer at once.
    ISOLATION_MS = 4000.0
    FIRST_ISOLATION_MS = 1000.0
    # This many unexpected exits within the window are a crash loop.
    CRASH_LOOP_EXITS = 3
    CRASH_LOOP_WINDOW_MS = 60_000.0
    # Exits before it ever served: the first may be for a port that is not free yet.
    MAX_FAILED_STARTS = 2
    BACKOFF_MS = 250.0  # before a start after an unexpected exit, doubling
    MAX_BACKOFF_MS = 10_000.0
    KILL_MS = 3000.0  # for a server to exit that was told to and need not drain
    FETCH_RETRY_MS = 5000.0  # before a version is fetched again that could not be

    INPUTS: ClassVar[Mapping[str, str]] = {
        "start": "on_start",
        "time": "on_time",
        "answered": "on_response",
        "ended": "on_server_exited",
        "held": "on_fetched",
        "swapped": "on_activated",
    }

    def __init__(self, setup: AgentSetup) -> None:
        super().__init__(setup.voters, setup.now_ms, setup.seed)
        self.fleet = setup.fleet
        self.node = setup.node
        self.process_id = setup.process_id
        self.start_timeout_ms = setup.start_timeout_ms
        self.drain_timeout_ms = setup.drain_timeout_ms
        self.problem = setup.problem
        # Versions.
        self.versions = dict(setup.versions)  # by slot
        self.stored = list(setup.stored)
        # Not fetched again before then; NEVER_MS while a fetch is under way.
        self.fetch_at_ms: dict[str, float] = {}
        self.activating = NO_STEP  # while a version is put in its slot
        # Its server.
        self.has_server = setup.has_server
        self.has_served = setup.has_server  # since its start
        self.crashes_ms: list[float] = []  # when it exited unexpectedly
        self.failed_starts = 0
        self.started_at_ms = setup.now_ms
        self.exited_at_ms = setup.now_ms - (self.ISOLATION_MS - self.FIRST_ISOLATION_MS)
        self.start_at_ms = setup.now_ms  # not before
        # The last request before the server's last start or exit: its answer, and all before it,
        # speak of the server as it was.
        self.last_outdated_request = 0
        self.kill_at_ms = NEVER_MS  # set once it was told to stop
        # What the fleet said last.
        self.has_spoken = False
        self.last_answered_report = 0  # the number of its request
        self.report_at_ms = setup.now_ms
        self.known_process_id = ""  # of its server
        self.process_id_before_start = ""
        self.next_step = NO_STEP
        self.permit_epoch = 0
        self.permit_at_ms = setup.now_ms
        self.permit_started = False
        self.permit_started_at_ms = setup.now_ms
        self.halt_reason = ""
        self.wanted_versions: tuple[str, ...] = ()

    def wake_at_ms(self) -> float:
        """Returns when the next input `time` is due."""
        return min(self.request_deadline_ms(), self.now_ms + self.REPORT_MS / 2.0)

    def on_start(self) -> None:
        """Logs what the agent begins with."""
        self.log(f"the agent of {self.node}: {self.describe_versions()}")

    def on_time(self) -> None:
        """Lets the request time out."""
        self.check_timeout()

    def describe_versions(self) -> str:
        """Returns the version in each slot, for the log."""
        return ", ".join(f"{slot} {version}" for slot, version in sorted(self.versions.items()))

    # Its server

    def check_server(self) -> None:
        """Does what needs no answer: reports a slow start, kills, or starts the server."""
        if self.has_server:
            is_late = self.now_ms - self.started_at_ms > self.start_timeout_ms
            if is_late and not self.has_served and not self.problem:
                timeout_s = self.start_timeout_ms / 1000.0
                self.report_problem(f"silent: not in service {timeout_s:.0f} s after its start")
            if self.now_ms >= self.kill_at_ms:
                self.kill_at_ms = NEVER_MS
                self.effects.append(StopServer(force=True))
            return
        if self.activating.slot or self.now_ms < self.start_at_ms:
            return
        slot, version = self.next_step
        moves_first = slot in RESTART_SLOTS and version in self.stored
        is_isolated = self.now_ms >= self.exited_at_ms + self.ISOLATION_MS
        if (self.has_answer_since_exit() and not moves_first) or is_isolated:
            self.start_server()

    def has_answer_since_exit(self) -> bool:
        """Tells whether the fleet has answered a report that was sent since the server exited."""
        return self.last_answered_report > self.last_outdated_request

    def _is_answer_outdated(self) -> bool:
        """Tells whether the request that was answered is from before the server's start or exit."""
        request = self.answered_request
        return request is None or request.number <= self.last_outdated_request

    def start_server(self) -> None:
        """Starts the server from the versions in the slots."""
        self.has_server = True
        self.has_served = False
        self.started_at_ms = self.now_ms
        self.last_outdated_request = self.last_request_number
        self.kill_at_ms = NEVER_MS
        self.process_id_before_start = self.known_process_id
        self.log(f"starts its server: {self.describe_versions()}")
        self.effects.append(StartServer())

    def on_server_exited(self, status: int | None) -> None:
        """Takes the server's exit; one that nobody asked for counts as a crash."""
        exited_cleanly = self.has_served and (status in (0, None) or self.permit_started)
        was_expected = self.kill_at_ms < NEVER_MS or exited_cleanly
        self.has_server = False
        self.exited_at_ms = self.now_ms
        self.last_outdated_request = self.last_request_number
        self.kill_at_ms = NEVER_MS
        self.start_at_ms = self.now_ms
        if not was_expected:
            self._note_crash(status)
        self.has_served = False
        self.log(f"its server has ended: status {status}")
        self.schedule_report()

    def _note_crash(self, status: int | None) -> None:
        window_start_ms = self.now_ms - self.CRASH_LOOP_WINDOW_MS
        recent = [at_ms for at_ms in self.crashes_ms if at_ms > window_start_ms]
        self.crashes_ms = [*recent, self.now_ms]
        crashes = len(self.crashes_ms)
        backoff_ms = self.BACKOFF_MS * 2.0 ** min(crashes - 1, MAX_BACKOFF_DOUBLINGS)
        self.start_at_ms = self.now_ms + min(self.MAX_BACKOFF_MS, backoff_ms)
        self.failed_starts += not self.has_served
        if self.failed_starts >= self.MAX_FAILED_STARTS:
            self.report_problem(f"start refused: it ended with status {status} before it served")
        elif crashes >= self.CRASH_LOOP_EXITS:
            within_s = (self.now_ms - self.crashes_ms[0]) / 1000.0
            self.report_problem(
                f"{CRASH_LOOP}: {crashes} ends in {within_s:.0f} s, status {status}"
            )

    def report_problem(self, problem: str) -> None:
        """Sets the node's problem, and reports it soon."""
        if self.problem != problem:
            self.problem = problem[:MAX_TEXT_LENGTH]
            self.log(problem)
            self.schedule_report()

    def stop_server(self, kill_after_ms: float) -> None:
        """Has the server stop, and killed if it has not by then."""
        if self.has_server and self.kill_at_ms == NEVER_MS:
            self.kill_at_ms = self.now_ms + kill_after_ms
            self.effects.append(StopServer(force=False))

    def schedule_report(self) -> None:
        """Has the next report sent as soon as no request is outstanding."""
        self.report_at_ms = self.now_ms
        if self.request is None:
            self.next_request_at_ms = min(self.next_request_at_ms, self.now_ms)

    # Versions

    def on_fetched(self, version: str, problem: str) -> None:
        """Takes the end of a fetch."""
        if problem:
            self.fetch_at_ms[version] = self.now_ms + self.FETCH_RETRY_MS
            self.report_problem(f"{STORAGE_PROBLEM} {version}: {problem}")
            return
        self.fetch_at_ms.pop(version, None)
        if version not in self.stored:
            self.stored.append(version)
        if self.problem.startswith(f"{STORAGE_PROBLEM} {version}"):
            self.problem = ""
        self.schedule_report()

    def on_activated(self, slot: str, problem: str) -> None:
        """Takes the end of an activation: the server is started, reloaded or left alone."""
        version = self.activating.version
        self.activating = NO_STEP
        if problem:
            self.report_problem(f"{STORAGE_PROBLEM} {version}: {problem}")
            # The version that is in the slot is started.
            self.exited_at_ms = min(self.exited_at_ms, self.now_ms - self.ISOLATION_MS)
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
            self.crashes_ms = []
            self.failed_starts = 0
            self.start_server()

    def fetch(self, versions: tuple[str, ...]) -> None:
        """Fetches those versions that are not stored."""
        self.wanted_versions = versions
        for version in versions:
            if version not in self.stored and self.now_ms >= self.fetch_at_ms.get(version, 0.0):
                self.fetch_at_ms[version] = NEVER_MS
                self.effects.append(FetchVersion(version))

    # Reports and requests

    def send_next_request(self) -> None:
        """Sends a report when one is due, else asks for the next step towards another version."""
        self.check_server()
        is_early = self.now_ms < self.next_request_at_ms
        if self.request is not None or is_early or not self.voters or self.activating.slot:
            return
        slot, version = self.next_step
        is_restart = slot in RESTART_SLOTS
        if self.now_ms >= self.report_at_ms:
            self._send_report()
        elif version in self.stored and is_restart and self.has_server:
            self._free_slot()
        elif version in self.stored and (not is_restart or self.has_answer_since_exit()):
            self.send_request("move", self.node, self.process_id, slot, version)
        if self.request is None and self.next_request_at_ms <= self.now_ms:
            self.next_request_at_ms = self.report_at_ms

    def _send_report(self) -> None:
        self.report_at_ms = self.now_ms + self.REPORT_MS
        versions = sorted(self.versions.items())
        server_state = self._server_state()
        report = (self.node, self.process_id, versions, self.stored, server_state, self.problem)
        self.send_request("agent", *report)

    def _server_state(self) -> str:
        if self.has_served:
            return ""
        return SERVER_STARTING if self.has_server else SERVER_DOWN

    def _free_slot(self) -> None:
        """Has the server stop, so that another version can take its place.

        By its permit the server drains by itself. One that does not is stopped, its permit put in
        use first; one with a problem is unavailable by its agent's report, and needs no permit.
        """
        if self.problem and not self.problem.startswith(STORAGE_PROBLEM):
            self.stop_server(self.KILL_MS)
        elif self.permit_started:
            if self.now_ms - self.permit_started_at_ms > self.drain_timeout_ms:
                self.stop_server(self.KILL_MS)
        elif self.permit_epoch and not self.halt_reason and self._is_permit_overdue():
            self.send_request("began", self.node, self.known_process_id, self.permit_epoch)

    def _is_permit_overdue(self) -> bool:
        return self.now_ms - self.permit_at_ms > self.PERMIT_PATIENCE_MS

    def on_result(self, verb: str, result: dict[str, Any]) -> None:
        """Takes the result of a request."""
        match verb:
            case "agent":
                self.on_hint(read_agent_hint(result))
            case "move":
                self._on_move_allowed()
            case "began" if not self._is_answer_outdated():
                self.permit_started = True
                self.permit_started_at_ms = self.now_ms
                self.stop_server(self.drain_timeout_ms)

    def _on_move_allowed(self) -> None:
        """Puts the version in place that was asked for, unless a server runs again by now."""
        assert self.answered_request is not None
        *_, slot, version = self.answered_request.args
        if slot in RESTART_SLOTS and self._is_answer_outdated():
            self.log(f"does not move to {slot} {version}: its server was started since it asked")
            return
        self.log(f"moves to {slot} {version}")
        self.activating = Step(slot, version)
        self.effects.append(ActivateVersion(slot, version))

    def on_refusal(self, verb: str, text: str) -> None:
        """Takes the fleet's refusal of a request."""
        self.counters[f"{verb}_refused"] += 1
        if verb in ("move", "agent"):
            self.log(f"{verb} refused: {text}")
        self.report_at_ms = self.now_ms

    def on_hint(self, hint: AgentHint) -> None:
        """Takes what the leader says of this node: no step rests on it alone.

        An answer to a report from before the server's last start or exit is only a sign of life. A
        leader may answer before it has the report agreed: what it then names as the next step may
        be in its slot already, and is none.
        """
        if not self.has_spoken:
            self.has_spoken = True
            self.effects.append(ConfirmVersions((AGENT_SLOT,)))
        if self._is_answer_outdated():
            self.counters["answers_outdated"] += 1
            self.schedule_report()
            return
        assert self.answered_request is not None
        self.last_answered_report = self.answered_request.number
        is_taken = self.versions.get(hint.next_step.slot) == hint.next_step.version
        self.next_step = NO_STEP if is_taken else hint.next_step
        self.halt_reason = hint.halt_reason
        self.known_process_id = hint.process_id
        if self.problem.startswith(AGENT_FAILED) and not self.next_step.slot:
            self.problem = ""  # nobody wants that version here any more
        self._note_permit(hint)
        is_idle = self.has_served and not self.next_step.slot and not self.permit_epoch
        if is_idle and self.REPORT_MS < hint.report_interval_ms <= MAX_REPORT_INTERVAL_MS:
            self.report_at_ms = self.now_ms + hint.report_interval_ms
        self._note_service(hint)
        self.fetch(hint.wanted_versions)

    def _note_permit(self, hint: AgentHint) -> None:
        if hint.permit_epoch != self.permit_epoch:
            self.permit_at_ms = self.now_ms
        if hint.permit_started and not self.permit_started:
            self.permit_started_at_ms = self.now_ms
        self.permit_epoch = hint.permit_epoch
        self.permit_started = hint.permit_started

    def _note_service(self, hint: AgentHint) -> None:
        """Notes that the server serves, once the fleet counts its new process so."""
        is_in_service = hint.status == SERVING and not hint.permit_epoch
        is_new = self.known_process_id != self.process_id_before_start
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
