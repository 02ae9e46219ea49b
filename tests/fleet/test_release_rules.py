"""What the entries of releases come to: plans, reports, moves, waves; without processes."""

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


def agreed(level: int = 2, nodes: int = 4) -> FleetState:
    """A state by entries alone: nodes of two zones, with agents that have spoken."""
    made = FleetState()
    entries: list[tuple[Any, ...]] = [("begin", "f", ("v1",), (), ()), ("level", level)]
    for at in range(nodes):
        one = f"n{at}"
        entries += [
            ("join", member_to_wire(Member(one, "0", zone=f"z{at % 2}"))),
            ("serving", one, "0"),
            ("word", one, "a", (("program", OLD),), (OLD, NEW), "", ""),
        ]
    for at, entry in enumerate(entries, 1):
        assert made.apply(at, entry).ok, entry
    return made


def planned(name: str = "r", **more: Any) -> tuple[Any, ...]:
    usual: dict[str, Any] = {
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
    return release_to_wire(Release(name=name, **{**usual, **more}))


@pytest.mark.parametrize(
    ("more", "word"),
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
def test_plans_that_cannot_hold_are_refused_by_name(more: dict[str, Any], word: str) -> None:
    made = agreed()
    said = made.apply(100, ("plan", "p", planned(**more), "op"))
    if word:
        assert not said.ok and word in said.text
        return
    assert made.apply(101, ("release", "s", "r", "start", (), "x", "op")).ok


def test_the_same_entries_give_the_same_state_and_a_snapshot_holds_releases_whole() -> None:
    made, again = agreed(), agreed()
    for state in (made, again):
        state.apply(100, ("plan", "p", planned(), "op"))
        state.apply(101, ("release", "s", "r", "start", (), "x", "op"))
        state.apply(102, ("release", "h", "r", "halt", (), "x", "op"))
    assert dump(made) == dump(again) and dump(load(dump(made))) == dump(made)
    restored = load(dump(made))
    assert (
        restored.releases.releases == made.releases.releases
        and restored.releases.nodes == made.releases.nodes
    )
    assert b'"form":2' in dump(made) and b'"form":1' in dump(agreed(level=1))


def test_a_repeated_word_changes_nothing() -> None:
    made = agreed()
    made.apply(100, ("plan", "p", planned(), "op"))
    made.apply(101, ("release", "s", "r", "start", (), "x", "op"))
    first = made.apply(102, ("release", "h", "r", "halt", (), "x", "op"))
    made.apply(103, ("release", "g", "r", "resume", ("h",), "x", "op"))
    assert made.apply(104, ("release", "h", "r", "halt", (), "x", "op")) == first
    assert made.releases.releases["r"].state == "draining"


def test_a_word_that_takes_nobody_out_counts_nothing_anew() -> None:
    """Hundreds of agents speak; among 1,000 members to count takes milliseconds."""
    made = agreed()
    made.apply(100, ("budget", "b", (Budget("all", "fleet", max_unavailable=0),), "op"))
    made.apply(101, ("drain", "d", ("n0",), "x", "op"))
    before = made.cached_counts
    made.apply(102, ("word", "n1", "a", (("program", OLD),), (OLD, NEW, "v-new"), "", ""))
    assert (
        before is not None and made.cached_counts is not None and made.cached_counts[0] is before[0]
    )
    made.apply(103, ("word", "n1", "a", (("program", OLD),), (OLD, NEW), "ended", ""))
    assert made.cached_counts[0] is not before[0]


def test_a_move_is_refused_unless_its_server_has_ended_and_the_release_goes_on() -> None:
    made = agreed()
    made.apply(100, ("plan", "p", planned(), "op"))
    made.apply(101, ("release", "s", "r", "start", (), "x", "op"))
    move = ("move", "n0", "a", "program", NEW)
    assert "is in service" in made.apply(102, move).text
    assert made.permits["n0"].kind == "release"
    made.apply(103, ("began", "n0", "0", made.permits["n0"].epoch))
    made.apply(104, ("word", "n0", "a", (("program", OLD),), (OLD, NEW), "ended", ""))
    assert "another agent" in made.apply(105, ("move", "n0", "b", "program", NEW)).text
    assert "is not to run" in made.apply(106, ("move", "n0", "a", "program", "v-x")).text
    made.apply(107, ("release", "h", "r", "halt", (), "x", "op"))
    assert "r is halted" in made.apply(108, move).text
    made.apply(109, ("release", "g", "r", "resume", ("h",), "x", "op"))
    made.apply(110, ("halt", "H", "op", "x"))
    assert "halted" in made.apply(111, move).text
    made.apply(112, ("resume", "R", ("H",), "x", "op"))
    assert made.apply(113, move).ok
    assert made.apply(114, move).value == 113, "a repeat is the same permission"
    assert not made.apply(115, ("move", "n2", "a", "program", NEW)).ok, "its wave has not come"


def test_waves_begin_with_one_node_and_never_mix_zones_or_voters() -> None:
    members = [Member(f"n{at}", "0", zone=f"z{at % 3}", status=SERVING) for at in range(12)]
    members += [Member(f"v{at}", "0", zone=f"z{at}", voter=True) for at in range(3)]
    members += [Member("db", "0", zone="z0", serves=("pg",))]
    waves = plan_waves(members, order="callers-first")
    assert len(waves[0]) == 1 and sorted(one for wave in waves for one in wave) == sorted(
        m.name for m in members
    )
    zone = {each.name: each.zone for each in members}
    assert all(len({zone[one] for one in wave}) == 1 for wave in waves)
    assert [wave for wave in waves if wave[0][0] == "v"] == list(waves[-3:])
    assert waves.index(("db",)) == len(waves) - 4
    assert plan_waves(members, order="below-first")[0] == ("db",)
    assert max(len(wave) for wave in plan_waves(members, mixed=True)) > max(
        len(wave) for wave in waves
    )
    assert isinstance(agreed().releases, Releases)
