"""Tests of the agent's reducer under random orders of reports, answers, exits and permits.

A simulated leader answers from the agreed state, which a report changes only some time later, as
with several voters. Answers arrive late, twice and out of order.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

import pytest

from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.agent.hint import AgentHint
from pumicenotch.fleet.drains.budgets import DRAINING, SERVING
from pumicenotch.fleet.member import effects
from pumicenotch.fleet.releases.release import NO_STEP, SERVER_DOWN, Step

SLOT = "program"
VERSIONS = ("old", "new", "newer")
RUNS = 1000
RUNS_PER_TEST = 250
# Targets, exits and delays are random for this long. After that every delay is short.
FAULT_PERIOD_MS = 30_000.0
SETTLE_DEADLINE_MS = 120_000.0
START_TIMEOUT_MS, DRAIN_TIMEOUT_MS = 4000.0, 3000.0


class SimulatedLeader:
    """Holds the agreed state of one node, and answers from that state."""

    def __init__(self) -> None:
        self.target_version = "old"
        self.reported_version = "old"  # by the agent's last applied report
        self.server_state = ""
        self.process_id = "p0"
        self.is_serving = True
        self.last_epoch = 0  # of the permits granted
        self.permit_epoch = 0  # 0: no permit is in force
        self.permit_process_id = ""
        self.permit_started = False

    def next_step(self) -> Step:
        return (
            Step(SLOT, self.target_version)
            if self.target_version != self.reported_version
            else NO_STEP
        )

    def hint(self) -> dict[str, Any]:
        return AgentHint(
            is_member=True,
            process_id=self.process_id,
            status=SERVING if self.is_serving else DRAINING,
            permit_epoch=self.permit_epoch,
            permit_started=self.permit_started,
            next_step=self.next_step(),
            wanted_versions=VERSIONS,
            halt_reason="",
            report_interval_ms=500.0,
        ).to_wire()

    def grant_permit(self) -> None:
        if not self.permit_epoch and self.is_serving and self.next_step() != NO_STEP:
            self.last_epoch += 1
            self.permit_epoch, self.permit_process_id = self.last_epoch, self.process_id

    def start_serving(self, process_id: str) -> None:
        """Applies the word of a process that it serves; the late word of an earlier one is ignored.

        The fleet refuses it too, by the process IDs that it remembers of each member.
        """
        if int(process_id[1:]) < int(self.process_id[1:]):
            return
        self.process_id, self.is_serving = process_id, True
        self.permit_epoch, self.permit_started = 0, False


class RandomRun:
    """One random order of events. `violations` lists what must not happen."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.time_ms = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_count = 0
        self.leader = SimulatedLeader()
        self.installed_version = "old"  # on the disk
        self.process = "p0"  # the server's process; "" while none runs
        self.process_count = 0
        self.targets_since_start = {"old"}  # agreed since the server's start
        self.violations: list[str] = []
        self.agent = Agent(
            AgentSetup(
                fleet="f",
                node="n0",
                process_id="a",
                voters=("v1", "v2", "v3"),
                versions={SLOT: "old"},
                stored=VERSIONS,
                has_server=True,
                start_timeout_ms=START_TIMEOUT_MS,
                drain_timeout_ms=DRAIN_TIMEOUT_MS,
                now_ms=0.0,
                seed=seed,
            )
        )

    def schedule(self, after_ms: float, action: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.events, (self.time_ms + after_ms, self.event_count, action))

    def random_delay_ms(self) -> float:
        """Returns the delay of a message or an agreement, at times beyond a request's timeout."""
        if self.time_ms > FAULT_PERIOD_MS:
            return 1.0
        return self.rng.choice((1.0, 5.0, 60.0, self.rng.uniform(0.0, 900.0)))

    def step_agent(self, name: str, *details: Any) -> None:
        for effect in self.agent.step(self.time_ms, name, *details):
            self.carry_out(effect)

    def carry_out(self, effect: Any) -> None:
        match effect:
            case effects.SendRequest(_, number, verb, args):
                self.schedule(
                    self.random_delay_ms(), lambda: self.receive_request(number, verb, args)
                )
            case effects.StartServer():
                self.start_server()
            case effects.StopServer(force):
                if (
                    not force
                    and self.process
                    and self.targets_since_start <= {self.installed_version}
                ):
                    self.violations.append(
                        f"{self.time_ms:.0f}: {self.installed_version} is wanted,"
                        " but its server is stopped"
                    )
                process = self.process
                self.schedule(self.rng.uniform(0.0, 300.0), lambda: self.exit_server(process, 0))
            case effects.CheckVersion(version):
                self.schedule(
                    self.random_delay_ms(), lambda: self.step_agent("checked", version, "")
                )
            case effects.ActivateVersion(slot, version):
                if self.process:
                    self.violations.append(
                        f"{self.time_ms:.0f}: {version} is activated while a server runs"
                    )
                self.schedule(self.random_delay_ms(), lambda: self.finish_activation(slot, version))

    def finish_activation(self, slot: str, version: str) -> None:
        self.installed_version = version
        self.step_agent("swapped", slot, "")

    # The server

    def start_server(self) -> None:
        if self.process:
            self.violations.append(f"{self.time_ms:.0f}: a second server is started")
            return
        self.process_count += 1
        process = self.process = f"p{self.process_count}"
        self.targets_since_start = {self.leader.target_version}
        self.schedule(self.rng.uniform(50.0, 1500.0), lambda: self.announce_serving(process))

    def announce_serving(self, process: str) -> None:
        if self.process == process:
            self.schedule(self.random_delay_ms(), lambda: self.leader.start_serving(process))

    def exit_server(self, process: str, status: int) -> None:
        if process and self.process == process:
            self.process = ""
            if self.leader.process_id == process:
                self.leader.is_serving = False
            self.step_agent("ended", status)

    def use_permit(self) -> None:
        """The server learns of its permit by its own heartbeat, drains and exits."""
        leader = self.leader
        process = self.process
        if (
            leader.permit_epoch
            and leader.permit_process_id == process
            and not leader.permit_started
        ):
            leader.permit_started, leader.is_serving = True, False
            self.schedule(self.rng.uniform(50.0, 1500.0), lambda: self.exit_server(process, 0))

    # The leader

    def receive_request(self, number: int, verb: str, args: tuple[Any, ...]) -> None:
        error, result = self.answer_request(verb, args)
        for _ in range(self.rng.choice((1, 1, 1, 2)) if self.time_ms < FAULT_PERIOD_MS else 1):
            self.schedule(
                self.random_delay_ms(), lambda: self.step_agent("answered", number, error, result)
            )

    def answer_request(self, verb: str, args: tuple[Any, ...]) -> tuple[Any, dict[str, Any]]:
        leader = self.leader
        match verb, args:
            case "agent", (_, _, versions, _, server_state, _):
                self.schedule(
                    self.random_delay_ms(),
                    lambda: self.apply_report(dict(versions)[SLOT], server_state),
                )
                return None, leader.hint()
            case "move", (_, _, slot, version):
                if leader.next_step() == Step(slot, version) and leader.server_state == SERVER_DOWN:
                    return None, {"value": 1}
            case "began", (_, process_id, epoch):
                if (leader.permit_epoch, leader.permit_process_id) == (epoch, process_id):
                    leader.permit_started, leader.is_serving = True, False
                    return None, {}
        return ["Refused", "not so", ""], {}

    def apply_report(self, version: str, server_state: str) -> None:
        self.leader.reported_version, self.leader.server_state = version, server_state

    def change_target(self) -> None:
        self.leader.target_version = self.rng.choice(VERSIONS)
        self.targets_since_start.add(self.leader.target_version)

    # The run

    def run(self) -> None:
        self.step_agent("start")
        for _ in range(self.rng.randrange(1, 6)):
            self.schedule(self.rng.uniform(0.0, FAULT_PERIOD_MS), self.change_target)
        for _ in range(self.rng.randrange(3)):
            self.schedule(
                self.rng.uniform(0.0, FAULT_PERIOD_MS), lambda: self.exit_server(self.process, 1)
            )
        while self.time_ms < SETTLE_DEADLINE_MS and not self.violations:
            if self.time_ms > FAULT_PERIOD_MS and self.is_settled():
                return
            self.leader.grant_permit()
            if self.rng.random() < 0.1:
                self.use_permit()
            self.run_next_event()
        if not self.violations:
            self.violations.append(
                f"not settled: {self.installed_version} runs as {self.process or 'nothing'}"
            )

    def run_next_event(self) -> None:
        """Runs the next event, or the agent's timer if that is due before."""
        wakes_at = min(self.agent.wake_at_ms(), self.time_ms + 100.0)
        if self.events and self.events[0][0] <= wakes_at:
            self.time_ms, _, action = heapq.heappop(self.events)
            action()
        else:
            self.time_ms = max(wakes_at, self.time_ms)
            self.step_agent("time")

    def is_settled(self) -> bool:
        return (
            bool(self.process)
            and self.installed_version == self.leader.target_version == self.leader.reported_version
            and self.leader.is_serving
            and self.leader.process_id == self.process
        )


@pytest.mark.parametrize("first_seed", range(0, RUNS, RUNS_PER_TEST))
def test_a_server_is_stopped_only_for_a_newer_step_in_any_order_of_answers(first_seed: int) -> None:
    """Guards against an answer from before a server's start that stops the server right after."""
    violations_by_seed = {}
    for seed in range(first_seed, first_seed + RUNS_PER_TEST):
        random_run = RandomRun(seed)
        random_run.run()
        if random_run.violations:
            violations_by_seed[seed] = random_run.violations
    assert not violations_by_seed, (
        len(violations_by_seed),
        dict(list(violations_by_seed.items())[:5]),
    )
