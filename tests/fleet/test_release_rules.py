"""Tests of release entries on a replicated state without processes: plans, reports, moves."""

from typing import Any

import pytest

from pumicenotch.fleet.drains.budgets import SERVING, Budget, Member
from pumicenotch.fleet.releases.commands import release_to_wire
from pumicenotch.fleet.releases.release import Release
from pumicenotch.fleet.releases.releases import Releases
from pumicenotch.fleet.releases.waves import plan_waves
from pumicenotch.fleet.replicated.records import member_to_wire
from pumicenotch.fleet.replicated.snapshot import dump, load
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.lab.releasing import NEW, OLD


def initial_state(level: int = 2, nodes: int = 4) -> FleetState:
    """Returns a state built by entries alone: nodes of two zones, whose agents have reported."""
    fleet_state = FleetState()
    entries: list[tuple[Any, ...]] = [("begin", "f", ("v1",), (), ()), ("level", level)]
    for number in range(nodes):
        node_name = f"n{number}"
        entries += [
            ("join", member_to_wire(Member(node_name, "0", zone=f"z{number % 2}"))),
            ("serving", node_name, "0"),
            ("word", node_name, "a", (("program", OLD),), (OLD, NEW), "", ""),
        ]
    for number, entry in enumerate(entries, 1):
        assert fleet_state.apply(number, entry).ok, entry
    return fleet_state


def release_plan(name: str = "r", **overrides: Any) -> tuple[Any, ...]:
    defaults: dict[str, Any] = {
        "slot": "program",
        "version": NEW,
        "replaces": "",
        "level": 2,
        "waves": (("n0",), ("n2",), ("n1", "n3")),
        "soak_ms": 1,
        "extra_soak_ms": 1,
        "rolls_back": True,
        "gate": 0,
        "urgent": False,
        "mixed": False,
    }
    return release_to_wire(Release(name=name, **{**defaults, **overrides}))


@pytest.mark.parametrize(
    ("overrides", "problem"),
    [
        ({"waves": (("n0", "n1"),)}, "zones z0, z1 together: allow it with mixed"),
        ({"waves": (("n9",),)}, "no agent has spoken for n9"),
        ({"waves": ((),)}, "waves of one node or more"),
        ({"waves": (("n0",), ("n0",))}, "a node stands in two waves"),
        ({"version": OLD}, f"the fleet is on {OLD} already"),
        ({"level": 1}, "there is no way back over a level"),
        ({"slot": "engine"}, "no slot 'engine'"),
        ({"version": "../../etc"}, "a version of letters"),
        ({"version": "x y"}, "a version of letters"),
        ({"replaces": "a/b"}, "a version of letters"),
        ({"replaces": "v-other"}, ""),
    ],
)
def test_an_invalid_plan_is_refused_with_its_problem(
    overrides: dict[str, Any], problem: str
) -> None:
    fleet_state = initial_state()
    result = fleet_state.apply(100, ("plan", "p", release_plan(**overrides), "op"))
    if problem:
        assert not result.ok and problem in result.text
        return
    assert fleet_state.apply(101, ("release", "s", "r", "start", (), "x", "op")).ok


def test_equal_entries_give_equal_states_and_a_snapshot_restores_the_releases() -> None:
    fleet_state, second_fleet_state = initial_state(), initial_state()
    for state in (fleet_state, second_fleet_state):
        state.apply(100, ("plan", "p", release_plan(), "op"))
        state.apply(101, ("release", "s", "r", "start", (), "x", "op"))
        state.apply(102, ("release", "h", "r", "halt", (), "x", "op"))
    assert dump(fleet_state) == dump(second_fleet_state) and dump(load(dump(fleet_state))) == dump(
        fleet_state
    )
    restored = load(dump(fleet_state))
    assert (
        restored.releases.releases == fleet_state.releases.releases
        and restored.releases.nodes == fleet_state.releases.nodes
    )
    assert b'"form":2' in dump(fleet_state) and b'"form":1' in dump(initial_state(level=1))


def test_a_repeated_command_gives_the_first_answer_and_changes_nothing() -> None:
    fleet_state = initial_state()
    fleet_state.apply(100, ("plan", "p", release_plan(), "op"))
    fleet_state.apply(101, ("release", "s", "r", "start", (), "x", "op"))
    first_result = fleet_state.apply(102, ("release", "h", "r", "halt", (), "x", "op"))
    fleet_state.apply(103, ("release", "g", "r", "resume", ("h",), "x", "op"))
    assert fleet_state.apply(104, ("release", "h", "r", "halt", (), "x", "op")) == first_result
    assert fleet_state.releases.releases["r"].state == "draining"


def test_a_report_that_makes_no_node_unavailable_keeps_the_cached_counts() -> None:
    """Guards against a recount per report: hundreds of agents report, and a count of 1,000 members
    takes milliseconds.
    """
    fleet_state = initial_state()
    fleet_state.apply(100, ("budget", "b", (Budget("all", "fleet", max_unavailable=0),), "op"))
    fleet_state.apply(101, ("drain", "d", ("n0",), "x", "op"))
    counts_before = fleet_state.cached_counts
    fleet_state.apply(102, ("word", "n1", "a", (("program", OLD),), (OLD, NEW, "v-new"), "", ""))
    assert (
        counts_before is not None
        and fleet_state.cached_counts is not None
        and fleet_state.cached_counts[0] is counts_before[0]
    )
    fleet_state.apply(103, ("word", "n1", "a", (("program", OLD),), (OLD, NEW), "ended", ""))
    assert fleet_state.cached_counts[0] is not counts_before[0]


def test_a_move_is_refused_unless_the_server_is_down_and_the_release_is_not_halted() -> None:
    fleet_state = initial_state()
    fleet_state.apply(100, ("plan", "p", release_plan(), "op"))
    fleet_state.apply(101, ("release", "s", "r", "start", (), "x", "op"))
    move = ("move", "n0", "a", "program", NEW)
    assert "is in service" in fleet_state.apply(102, move).text
    assert fleet_state.permits["n0"].kind == "release"
    fleet_state.apply(103, ("began", "n0", "0", fleet_state.permits["n0"].epoch))
    fleet_state.apply(104, ("word", "n0", "a", (("program", OLD),), (OLD, NEW), "ended", ""))
    assert "another agent" in fleet_state.apply(105, ("move", "n0", "b", "program", NEW)).text
    assert "is not to run" in fleet_state.apply(106, ("move", "n0", "a", "program", "v-x")).text
    fleet_state.apply(107, ("release", "h", "r", "halt", (), "x", "op"))
    assert "r is halted" in fleet_state.apply(108, move).text
    fleet_state.apply(109, ("release", "g", "r", "resume", ("h",), "x", "op"))
    fleet_state.apply(110, ("halt", "H", "op", "x"))
    assert "halted" in fleet_state.apply(111, move).text
    fleet_state.apply(112, ("resume", "R", ("H",), "x", "op"))
    assert fleet_state.apply(113, move).ok
    assert fleet_state.apply(114, move).value == 113, "a repeated request gets the same permission"
    assert not fleet_state.apply(115, ("move", "n2", "a", "program", NEW)).ok, (
        "the wave of n2 has not started"
    )


def test_waves_start_with_one_node_and_never_mix_zones_or_voters() -> None:
    members = [
        Member(f"n{number}", "0", zone=f"z{number % 3}", status=SERVING) for number in range(12)
    ]
    members += [Member(f"v{number}", "0", zone=f"z{number}", voter=True) for number in range(3)]
    members += [Member("db", "0", zone="z0", serves=("pg",))]
    waves = plan_waves(members, order="callers-first")
    assert len(waves[0]) == 1 and sorted(
        node_name for wave in waves for node_name in wave
    ) == sorted(node.name for node in members)
    zone_by_name = {member.name: member.zone for member in members}
    assert all(len({zone_by_name[node_name] for node_name in wave}) == 1 for wave in waves)
    assert [wave for wave in waves if wave[0][0] == "v"] == list(waves[-3:])
    assert waves.index(("db",)) == len(waves) - 4
    assert plan_waves(members, order="below-first")[0] == ("db",)
    assert max(len(wave) for wave in plan_waves(members, mixed=True)) > max(
        len(wave) for wave in waves
    )
    assert isinstance(initial_state().releases, Releases)
