"""Tests of the agent's reducer, driven by single inputs."""

from typing import Any

from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.member import effects
from pumicenotch.lab.releasing import NEW, OLD


def agent_with_pending_move() -> tuple[Agent, int, float]:
    """Returns an agent whose server exited by permit, and the number and deadline of its move."""
    agent = Agent(
        AgentSetup(
            fleet="f",
            node="n0",
            process_id="a",
            voters=("v1",),
            versions={"program": OLD},
            stored=(OLD, NEW),
            has_server=True,
            start_timeout_ms=1e4,
            drain_timeout_ms=1e4,
            now_ms=0.0,
            seed=1,
        )
    )
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
    assert agent.request is not None and agent.request[1] == "move"
    return agent, agent.request[0], agent.request[2]


def test_a_permission_received_after_its_timeout_is_ignored() -> None:
    agent, number, expires_at_ms = agent_with_pending_move()
    assert effects.ActivateVersion("program", NEW) in agent.step(
        expires_at_ms - 1.0, "answered", number, None, {"value": 9}
    )
    agent, number, expires_at_ms = agent_with_pending_move()
    late_effects = agent.step(expires_at_ms, "answered", number, None, {"value": 9})
    assert not [effect for effect in late_effects if isinstance(effect, effects.ActivateVersion)]


def test_an_agent_cut_off_from_the_fleet_starts_its_server_and_activates_no_version() -> None:
    agent, _, _ = agent_with_pending_move()
    returned_effects: list[Any] = []
    for count in range(1, 100):
        returned_effects += agent.step(4.0 + 100.0 * count, "time")
    assert effects.StartServer() in returned_effects and not [
        effect for effect in returned_effects if isinstance(effect, effects.ActivateVersion)
    ]
    assert agent.versions == {"program": OLD}
