"""The agent beside a server, by itself."""

from typing import Any

from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.member import effects
from pumicenotch.lab.releasing import NEW, OLD


def agent_at_its_move() -> tuple[Agent, int, float]:
    """Its server has ended by permit, and it has asked for the move: the number of that question."""
    made = Agent(
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
    made.step(0.0, "start")
    made.step(1.0, "ended", 0)
    for now in (2.0, 3.0, 4.0):
        assert made.request is not None
        if made.request[1] == "move":
            break
        made.step(now, "answered", made.request[0], None, answer)
    assert made.request is not None and made.request[1] == "move"
    return made, made.request[0], made.request[2]


def test_a_permission_that_its_agent_slept_through_is_none() -> None:
    made, number, until = agent_at_its_move()
    assert effects.ActivateVersion("program", NEW) in made.step(
        until - 1.0, "answered", number, None, {"value": 9}
    )
    made, number, until = agent_at_its_move()
    late = made.step(until, "answered", number, None, {"value": 9})
    assert not [each for each in late if isinstance(each, effects.ActivateVersion)]


def test_an_agent_without_its_fleet_starts_what_it_has_and_swaps_nothing() -> None:
    made, _, _ = agent_at_its_move()
    seen: list[Any] = []
    for at in range(1, 100):
        seen += made.step(4.0 + 100.0 * at, "time")
    assert effects.StartServer() in seen and not [
        each for each in seen if isinstance(each, effects.ActivateVersion)
    ]
    assert made.versions == {"program": OLD}
