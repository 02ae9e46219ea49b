"""The agent's reducer under drawn orders of reports, answers, exits, swaps and permits.

A small leader answers from what is agreed when a request reaches it, which a report changes some time
later, as with several voters. Answers come late, twice and out of order.
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
ORDERS = 1000  # drawn
ORDERS_A_TEST = 250
FAULTS_MS = 30_000.0  # for which the order is drawn; then all is prompt
SETTLES_MS = 120_000.0
START_MS, DRAIN_MS = 4000.0, 3000.0  # the agent's time limits


class Leader:
    """What the fleet has agreed of one node."""

    def __init__(self) -> None:
        self.target = "old"
        self.reported = "old"  # the version that the node runs, by its agent's applied report
        self.server_state = ""
        self.process_id = "p0"
        self.serving = True
        self.epoch = 0
        self.permit = 0  # its epoch
        self.permit_process_id = ""
        self.permit_started = False

    def next_step(self) -> Step:
        return Step(SLOT, self.target) if self.target != self.reported else NO_STEP

    def hint(self) -> dict[str, Any]:
        return AgentHint(
            is_member=True,
            process_id=self.process_id,
            status=SERVING if self.serving else DRAINING,
            permit_epoch=self.permit,
            permit_started=self.permit_started,
            next_step=self.next_step(),
            wanted_versions=VERSIONS,
            halt_reason="",
            report_interval_ms=500.0,
        ).to_wire()

    def grant(self) -> None:
        if not self.permit and self.serving and self.next_step() != NO_STEP:
            self.epoch += 1
            self.permit, self.permit_process_id = self.epoch, self.process_id

    def starts_serving(self, process_id: str) -> None:
        self.process_id, self.serving = process_id, True
        self.permit, self.permit_started = 0, False


class Order:
    """One drawn order; `wrong` names what must not happen."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
        self.leader = Leader()
        self.slot = "old"  # on the disk
        self.process = "p0"  # of the server; "" while none runs
        self.lives = 0
        self.wanted_since_start = {"old"}  # targets that were agreed since the server's start
        self.wrong: list[str] = []
        self.agent = Agent(
            AgentSetup(
                fleet="f",
                node="n0",
                process_id="a",
                voters=("v1", "v2", "v3"),
                versions={SLOT: "old"},
                stored=VERSIONS,
                has_server=True,
                start_timeout_ms=START_MS,
                drain_timeout_ms=DRAIN_MS,
                now_ms=0.0,
                seed=seed,
            )
        )

    def at(self, after_ms: float, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + after_ms, self.count, do))

    def delay(self) -> float:
        """Of a message or an agreement: mostly short, at times beyond a request's patience."""
        if self.now > FAULTS_MS:
            return 1.0
        return self.rng.choice((1.0, 5.0, 60.0, self.rng.uniform(0.0, 900.0)))

    def put(self, name: str, *details: Any) -> None:
        for effect in self.agent.step(self.now, name, *details):
            self.carry_out(effect)

    def carry_out(self, effect: Any) -> None:
        match effect:
            case effects.SendRequest(_, number, verb, args):
                self.at(self.delay(), lambda: self.arrives(number, verb, args))
            case effects.StartServer():
                self.start_server()
            case effects.StopServer(force):
                if not force and self.process and self.wanted_since_start <= {self.slot}:
                    self.wrong.append(
                        f"{self.now:.0f}: {self.slot} is wanted, and its server ended"
                    )
                process = self.process
                self.at(self.rng.uniform(0.0, 300.0), lambda: self.exits(process, 0))
            case effects.ActivateVersion(slot, version):
                if self.process:
                    self.wrong.append(f"{self.now:.0f}: {version} is put in place of a running one")
                self.at(self.delay(), lambda: self.swapped(slot, version))

    def swapped(self, slot: str, version: str) -> None:
        self.slot = version
        self.put("swapped", slot, "")

    # The server

    def start_server(self) -> None:
        if self.process:
            self.wrong.append(f"{self.now:.0f}: a second server is started")
            return
        self.lives += 1
        process = self.process = f"p{self.lives}"
        self.wanted_since_start = {self.leader.target}
        self.at(self.rng.uniform(50.0, 1500.0), lambda: self.serves(process))

    def serves(self, process: str) -> None:
        if self.process == process:
            self.at(self.delay(), lambda: self.leader.starts_serving(process))

    def exits(self, process: str, status: int) -> None:
        if process and self.process == process:
            self.process = ""
            if self.leader.process_id == process:
                self.leader.serving = False
            self.put("ended", status)

    def uses_permit(self) -> None:
        """The server hears of its permit by its own heartbeat, drains and ends."""
        leader = self.leader
        process = self.process
        if leader.permit and leader.permit_process_id == process and not leader.permit_started:
            leader.permit_started, leader.serving = True, False
            self.at(self.rng.uniform(50.0, 1500.0), lambda: self.exits(process, 0))

    # The leader

    def arrives(self, number: int, verb: str, args: tuple[Any, ...]) -> None:
        error, result = self.answer(verb, args)
        for _ in range(self.rng.choice((1, 1, 1, 2)) if self.now < FAULTS_MS else 1):
            self.at(self.delay(), lambda: self.put("answered", number, error, result))

    def answer(self, verb: str, args: tuple[Any, ...]) -> tuple[Any, dict[str, Any]]:
        leader = self.leader
        match verb, args:
            case "agent", (_, _, versions, _, server_state, _):
                self.at(self.delay(), lambda: self.agreed(dict(versions)[SLOT], server_state))
                return None, leader.hint()
            case "move", (_, _, slot, version):
                if leader.next_step() == Step(slot, version) and leader.server_state == SERVER_DOWN:
                    return None, {"value": 1}
            case "began", (_, process_id, epoch):
                if (leader.permit, leader.permit_process_id) == (epoch, process_id):
                    leader.permit_started, leader.serving = True, False
                    return None, {}
        return ["Refused", "not so", ""], {}

    def agreed(self, version: str, server_state: str) -> None:
        self.leader.reported, self.leader.server_state = version, server_state

    def retargets(self) -> None:
        self.leader.target = self.rng.choice(VERSIONS)
        self.wanted_since_start.add(self.leader.target)

    # The order

    def play(self) -> None:
        self.put("start")
        for _ in range(self.rng.randrange(1, 6)):
            self.at(self.rng.uniform(0.0, FAULTS_MS), self.retargets)
        for _ in range(self.rng.randrange(3)):
            self.at(self.rng.uniform(0.0, FAULTS_MS), lambda: self.exits(self.process, 1))
        while self.now < SETTLES_MS and not self.wrong:
            if self.now > FAULTS_MS and self.is_settled():
                return
            self.leader.grant()
            if self.rng.random() < 0.1:
                self.uses_permit()
            self.turn()
        if not self.wrong:
            self.wrong.append(f"not settled: {self.slot} runs as {self.process or 'nothing'}")

    def turn(self) -> None:
        """The next event, or the agent's own time."""
        wakes_at = min(self.agent.wake_at_ms(), self.now + 100.0)
        if self.events and self.events[0][0] <= wakes_at:
            self.now, _, do = heapq.heappop(self.events)
            do()
        else:
            self.now = max(wakes_at, self.now)
            self.put("time")

    def is_settled(self) -> bool:
        return (
            bool(self.process)
            and self.slot == self.leader.target == self.leader.reported
            and self.leader.serving
            and self.leader.process_id == self.process
        )


@pytest.mark.parametrize("first", range(0, ORDERS, ORDERS_A_TEST))
def test_no_server_ends_but_for_a_newer_step_whatever_the_order_of_answers(first: int) -> None:
    """Guards against a server that is ended right after its start by an answer from before it."""
    found = {}
    for seed in range(first, first + ORDERS_A_TEST):
        order = Order(seed)
        order.play()
        if order.wrong:
            found[seed] = order.wrong
    assert not found, (len(found), dict(list(found.items())[:5]))
