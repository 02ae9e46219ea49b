"""Tests of the agent's reducer, driven by single inputs."""

from typing import Any

import pytest

from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.agent.version_checks import VersionChecks
from pumicenotch.fleet.drains.budgets import SERVING
from pumicenotch.fleet.member import effects
from pumicenotch.lab.releasing import NEW, OLD


def agent_with_pending_move() -> tuple[Agent, int, float]:
    """Returns an agent whose server exited by permit, and the number and deadline of its move."""
    agent = serving_agent(start_timeout_ms=1e4, drain_timeout_ms=1e4)
    answer = {
        "due": ("program", NEW),
        "life": "L",
        "standing": "draining",
        "permit": 7,
        "begun": True,
        "hold": [],
    }
    agent.step(0.0, "start")
    agent.step(1.0, "ended", 0)
    for time_ms in (2.0, 3.0, 4.0):
        assert agent.request is not None
        if agent.request[1] == "move":
            break
        agent.step(time_ms, "answered", agent.request[0], None, answer)
        if agent.checks.running:
            agent.step(time_ms, "checked", NEW, "")
    assert agent.request is not None and agent.request[1] == "move"
    return agent, agent.request[0], agent.request[2]


def serving_agent(problem: str = "", **setup: Any) -> Agent:
    """Returns an agent that has just started beside a server that runs."""
    values: dict[str, Any] = {
        "fleet": "f",
        "node": "n0",
        "process_id": "a",
        "voters": ("v1",),
        "versions": {"program": OLD},
        "stored": (OLD, NEW),
        "has_server": True,
        "start_timeout_ms": 5000.0,
        "drain_timeout_ms": 9000.0,
        "now_ms": 0.0,
        "seed": 1,
        "problem": problem,
    }
    return Agent(AgentSetup(**values | setup))


class AgentHarness:
    """Steps an agent, whose reports are answered at once by `hint`; other requests stay open."""

    def __init__(self, agent: Agent, now_ms: float = 0.0, **hint: Any) -> None:
        self.agent = agent
        self.hint: dict[str, Any] = {"life": "p0", "standing": SERVING, "hold": [], **hint}
        self.now_ms = now_ms
        self.effects: list[Any] = []

    def step(self, name: str, *details: Any) -> None:
        self.effects += self.agent.step(self.now_ms, name, *details)
        request = self.agent.request
        if request is not None and request.verb == "agent":
            self.step("answered", request.number, None, self.hint)

    def run_until(self, time_ms: float) -> None:
        while self.now_ms < time_ms:
            self.now_ms += 50.0
            self.step("time")

    def stops(self) -> list[Any]:
        return [effect for effect in self.effects if isinstance(effect, effects.StopServer)]

    def requests(self) -> list[str]:
        return [effect.verb for effect in self.effects if isinstance(effect, effects.SendRequest)]

    def start(self) -> "AgentHarness":
        self.step("start")
        return self

    def crash(self, process_id: str) -> None:
        """The server crashes, is started again and comes into service."""
        self.hint |= {"standing": "gone"}
        self.step("ended", -9)
        self.run_until(self.now_ms + 3000.0)
        assert self.agent.has_server
        self.hint |= {"standing": SERVING, "life": process_id}
        self.run_until(self.now_ms + 1000.0)


@pytest.mark.parametrize("halt_reason", ["", "HALT by op: wait"])
def test_a_server_that_serves_after_a_crash_loop_is_not_stopped_without_a_permit(
    halt_reason: str,
) -> None:
    # The agent took such a server for out: it ended it beyond the budget, in halts, and by SIGKILL.
    harness = AgentHarness(serving_agent()).start()
    for number in range(1, 4):
        harness.crash(f"p{number}")
    assert harness.agent.problem.startswith("crash loop") and harness.agent.has_served
    harness.hint |= {"due": ("program", NEW), "halted": halt_reason}
    harness.run_until(harness.now_ms + 20_000.0)
    assert not harness.stops() and harness.agent.has_server
    harness.hint |= {"permit": 7, "begun": False}
    harness.run_until(harness.now_ms + 7000.0)
    assert not harness.stops()
    assert ("began" in harness.requests()) == (not halt_reason), "by its permit, once it is overdue"


def test_an_agent_whose_own_release_failed_does_not_stop_its_server_without_a_permit() -> None:
    # A problem of the agent's own version is none of the server, which serves.
    harness = AgentHarness(serving_agent("agent refused: it ended"), due=("program", NEW)).start()
    harness.run_until(20_000.0)
    assert not harness.stops()


@pytest.mark.parametrize(
    ("status", "halt_reason", "is_stopped"),
    [("gone", "", True), (SERVING, "", False), ("gone", "HALT by op: wait", False)],
)
def test_a_server_that_never_served_is_stopped_unless_the_fleet_counts_it_or_is_halted(
    status: str, halt_reason: str, is_stopped: bool
) -> None:
    harness = AgentHarness(serving_agent(has_server=False), standing="gone").start()
    harness.run_until(2000.0)
    assert harness.agent.has_server and not harness.agent.has_served
    # The process that the fleet knows is the previous one, so the agent does not see it serve.
    harness.hint |= {"standing": status, "due": ("program", NEW), "halted": halt_reason}
    harness.run_until(harness.agent.started_at_ms + 4500.0)
    assert not harness.stops(), "it has time to start"
    harness.run_until(harness.agent.started_at_ms + 7000.0)
    stopped_at_ms = harness.now_ms
    assert bool(harness.stops()) == is_stopped
    harness.run_until(stopped_at_ms + 6500.0)
    assert effects.StopServer(force=True) not in harness.stops(), (
        "the kill waits for a drain's time"
    )
    harness.run_until(stopped_at_ms + 10_000.0)
    assert (effects.StopServer(force=True) in harness.stops()) == is_stopped


def test_a_permission_received_after_its_timeout_is_ignored() -> None:
    agent, number, expires_at_ms = agent_with_pending_move()
    assert effects.ActivateVersion("program", NEW, expires_at_ms) in agent.step(
        expires_at_ms - 1.0, "answered", number, None, {"value": 9}
    )
    agent, number, expires_at_ms = agent_with_pending_move()
    late_effects = agent.step(expires_at_ms, "answered", number, None, {"value": 9})
    assert not [effect for effect in late_effects if isinstance(effect, effects.ActivateVersion)]


def test_a_move_is_requested_only_once_the_version_has_been_checked() -> None:
    # The check of a large version took seconds after the permission, whose 0.7 s were over by then.
    harness = AgentHarness(serving_agent(), due=("program", NEW), permit=7, begun=True).start()
    harness.run_until(100.0)
    assert effects.CheckVersion(NEW) in harness.effects, "while the server still drains"
    harness.hint |= {"standing": "gone"}
    harness.step("ended", 0)
    harness.run_until(3000.0)
    assert "move" not in harness.requests() and not harness.agent.has_server
    harness.step("checked", NEW, "")
    harness.run_until(3500.0)
    request = harness.agent.request
    assert request is not None and request.verb == "move"
    harness.step("answered", request.number, None, {"value": 9})
    activations = [each for each in harness.effects if isinstance(each, effects.ActivateVersion)]
    assert activations == [effects.ActivateVersion("program", NEW, request.expires_at_ms)]
    assert request.expires_at_ms <= 3500.0 + Agent.REQUEST_TIMEOUT_MS


@pytest.mark.parametrize("halt_reason", ["", "HALT by op: wait"])
def test_a_permission_that_expired_unused_is_requested_again_or_the_server_comes_back(
    halt_reason: str,
) -> None:
    # A halt may have been agreed in the time in which the permission was not used.
    agent, number, expires_at_ms = agent_with_pending_move()
    agent.step(expires_at_ms - 1.0, "answered", number, None, {"value": 9})
    agent.step(expires_at_ms + 10.0, "expired", "program")
    assert agent.versions == {"program": OLD} and not agent.has_server
    hint: dict[str, Any] = {"due": ("program", NEW), "standing": "gone", "halted": halt_reason}
    harness = AgentHarness(agent, expires_at_ms + 10.0, **hint)
    harness.run_until(harness.now_ms + 1500.0)
    assert ("move" in harness.requests()) == (not halt_reason)
    assert (effects.StartServer() in harness.effects) == bool(halt_reason)
    assert agent.versions == {"program": OLD}


def test_a_version_that_is_not_as_stored_is_never_moved_to_and_the_server_comes_back() -> None:
    harness = AgentHarness(serving_agent(), due=("program", NEW), permit=7, begun=True).start()
    harness.hint |= {"standing": "gone"}
    harness.step("ended", 0)
    harness.run_until(500.0)
    harness.step("checked", NEW, "its content is 77")
    harness.run_until(1000.0)
    assert harness.agent.problem == f"cannot hold {NEW}: its content is 77"
    assert effects.StartServer() in harness.effects and "move" not in harness.requests()


def test_an_old_check_is_repeated_before_a_move_but_not_while_the_server_waits_to_drain() -> None:
    harness = AgentHarness(serving_agent(), due=("program", NEW)).start()
    harness.run_until(1000.0)
    harness.step("checked", NEW, "")
    harness.run_until(1000.0 + 2 * VersionChecks.VALIDITY_MS)
    assert harness.effects.count(effects.CheckVersion(NEW)) == 1
    harness.hint |= {"standing": "gone"}
    harness.step("ended", 0)
    harness.run_until(harness.now_ms + 500.0)
    assert harness.effects.count(effects.CheckVersion(NEW)) == 2
    assert "move" not in harness.requests()


def test_an_agent_cut_off_from_the_fleet_starts_its_server_and_activates_no_version() -> None:
    agent, _, _ = agent_with_pending_move()
    returned_effects: list[Any] = []
    for count in range(1, 100):
        returned_effects += agent.step(4.0 + 100.0 * count, "time")
    assert effects.StartServer() in returned_effects and not [
        effect for effect in returned_effects if isinstance(effect, effects.ActivateVersion)
    ]
    assert agent.versions == {"program": OLD}
