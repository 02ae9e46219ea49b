"""Releases in whole fleets in simulated time: versions that do harm in their own way, and faults."""

from collections import Counter
from typing import Any

import pytest

from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.releases import release as release_
from pumicenotch.lab import fleets, releasing
from pumicenotch.lab.releasing import NEW, OLD, Agents, Version


def watched(day: Agents) -> None:
    """The budgets hold at all times, by what the processes do."""

    def look(name: str) -> None:
        out = [each for each in day.away if each not in ("",)]
        zones = Counter(day.processes[each].spec.zone for each in out)
        assert len(out) <= 2 and max(zones.values(), default=0) <= 1, (
            f"{name} goes while {out} are away"
        )

    day.on_leave = look


def ended(day: Agents, name: str = "r1", within_ms: float = 300_000.0) -> str:
    day.until(lambda: day.stands(name) in ("done", "abandoned"), within_ms, 200.0)
    return day.stands(name)


def all_on(day: Agents, version: str) -> None:
    day.until(
        lambda: (
            day.versions_run() == Counter({version: len(day.agents)})
            and bool(day.leader())
            and not any(day.state().is_unavailable(each) for each in day.state().members.values())
        ),
        120_000.0,
    )


def seated(day: Agents, voter: str) -> None:
    """Its new life has a seat: one voter at a time, as long as they keep their log in memory."""
    seat = f"{voter}/{day.processes[voter].life:04d}"

    def has() -> bool:
        core = day.processes[day.leader()].core if day.leader() else None
        return core is not None and seat in core.voter.log.membership.voters  # type: ignore[attr-defined]

    day.until(has)


def harmful(version: Version, most: int = 1, seed: int = 1, **more: Any) -> Agents:
    """The version is found, and all are back on the old one, with so many nodes that ever had it."""
    day = releasing.usual(seed, versions={NEW: version}, **more)
    watched(day)
    day.run(8000.0)  # so that what is usual below is known
    day.plan(soak_ms=20_000)
    assert ended(day) == "abandoned"
    all_on(day, OLD)
    assert 0 < len(day.ever[NEW]) <= most
    return day


def test_a_good_version_is_on_all_nodes_in_waves_within_the_budgets() -> None:
    day = releasing.usual(1)
    watched(day)
    day.plan()
    assert ended(day) == "done"
    all_on(day, NEW)
    assert day.state().releases.current_versions == {"program": NEW}


@pytest.mark.parametrize(
    ("version", "word"),
    [
        (Version(crashes_ms=100.0), "start refused"),
        (Version(crashes_ms=0.0), "start refused"),
        (Version(mute=True), "silent: not in service"),
        (Version(bad=0.2, kind="search"), "of the released ones' tasks go badly"),
        (Version(calls=3.0), "times as often for a task"),
        (Version(crashes_ms=3000.0), "ends that nobody asked for"),
        (Version(memory_mb=400.0), "holds 400 MB, the others of its zone 40"),
    ],
)
def test_a_bad_version_goes_back_by_itself(version: Version, word: str) -> None:
    day = harmful(version)
    assert word in day.state().releases.releases["r1"].reason


def test_a_version_that_dies_now_and_then_is_no_crash_loop_and_goes_back_all_the_same() -> None:
    day = releasing.usual(1, versions={NEW: Version(crashes_ms=70_000.0)})
    day.plan(soak_ms=400_000)
    assert ended(day, within_ms=600_000.0) == "abandoned"
    assert (
        "ends that nobody asked for at 1 released nodes, 0 at"
        in day.state().releases.releases["r1"].reason
    )
    assert len(day.ever[NEW]) == 1


def test_servers_that_die_everywhere_are_no_bad_version() -> None:
    day = releasing.usual(2)
    day.plan(soak_ms=120_000)
    for at in (0, 1, 2, 6, 7):  # n0 has it; two ends of one zone never overlap
        day.run(9000.0)
        day.crash(f"n{at}")
    assert day.stands() == "soaking"


def test_a_version_that_ruins_what_all_share_is_found_though_both_sides_suffer_alike() -> None:
    day = releasing.usual(2)
    day.run(8000.0)
    day.plan()

    def ruin() -> None:
        day.below = 0.4 if day.versions_run()[NEW] else 0.0
        day.at(day.now + 100.0, ruin)

    day.run(2000.0)
    ruin()
    day.until(lambda: bool(day.ever[NEW]))
    leader = day.leader()
    day.kill(leader)  # what was usual is agreed: the next leader knows it too
    day.run(1000.0)
    day.boot(leader)
    assert ended(day) == "abandoned"
    assert len(day.ever[NEW]) == 1
    assert "all are worse off" in day.state().releases.releases["r1"].reason
    all_on(day, OLD)


def test_a_load_that_doubles_is_no_bad_version() -> None:
    """Both sides fare worse, and so do the calls below."""
    day = releasing.usual(3)
    day.plan()
    day.run(15_000.0)
    assert day.versions_run()[NEW]
    day.load, day.below = 2.0 * day.load, 0.3
    assert ended(day) == "done"


def test_a_version_that_hangs_is_ended_on_the_way_back_under_a_begun_permit() -> None:
    day = releasing.usual(4, versions={NEW: Version(bad=0.3, hangs=True)})
    day.plan(soak_ms=20_000)
    assert ended(day) == "abandoned"
    all_on(day, OLD)


@pytest.mark.parametrize("seed", range(4))
def test_leaders_agents_and_nodes_that_die_between_any_two_steps_change_nothing(seed: int) -> None:
    day = releasing.usual(seed + 10)
    watched(day)
    day.plan(soak_ms=2000)
    chance = day.chance
    for at in chance.sample(
        range(12), 12
    ):  # each server once: three ends in a minute are a crash loop
        day.run(chance.uniform(1000.0, 6000.0))
        victim = chance.choice([day.leader() or "v1", f"a-n{at}", f"n{at}"])
        day.kill(victim)
        if victim in day.agents.values():
            day.away.pop(victim, None)
            day.ended(victim, -9)
        else:
            day.run(chance.uniform(100.0, 2000.0))
            day.boot(victim)
            if victim in day.voters:
                seated(day, victim)
    assert ended(day, within_ms=600_000.0) == "done"
    all_on(day, NEW)


def test_a_zone_cut_off_takes_no_step_and_comes_back_to_what_was_decided_meanwhile() -> None:
    day = releasing.usual(5)
    day.plan()
    day.until(lambda: len(day.ever[NEW]) >= 3, 120_000.0)
    day.isolate("z2")
    day.run(3000.0)  # whatever was on its way
    before = {node: dict(runs) for node, runs in day.runs.items()}
    day.run(20_000.0)
    assert all(
        day.runs[node] == before[node] for node in before if day.processes[node].spec.zone == "z2"
    )
    halts = day.word("r1", "back")
    assert "going back" in halts["text"]
    day.run(20_000.0)
    assert all(
        day.runs[node] == before[node] for node in before if day.processes[node].spec.zone == "z2"
    )
    day.heal()
    assert ended(day) == "abandoned"
    all_on(day, OLD)


def test_a_node_that_was_gone_during_a_release_catches_up_with_it() -> None:
    day = releasing.usual(6, budgets=(Budget("all", "fleet", max_unavailable=2),))
    day.plan(soak_ms=1000)
    day.kill("n7")
    day.kill("a-n7")
    assert ended(day) == "done"
    assert day.runs["n7"]["program"] == OLD
    day.boot("n7")
    day.boot("a-n7")
    all_on(day, NEW)


def test_halt_resume_and_back_at_once_come_to_one_thing_and_no_halt_is_lost() -> None:
    day = releasing.usual(7)
    day.plan()
    day.run(6000.0)
    leader = day.leader()
    for at, (what, seen) in enumerate(
        (("halt", ()), ("resume", ("h0",)), ("back", ("h0",)), ("halt", ()))
    ):
        day.ask(leader, "release", f"h{at}", "r1", what, seen, "race", f"op{at}")
    day.run(1000.0)
    held = day.state().releases.releases["r1"]
    assert (held.state, held.halted_state, [halt[0] for halt in held.halts]) == (
        "halted",
        "going back",
        ["h3"],
    )
    moved = len(day.moves)
    day.run(10_000.0)
    assert len(day.moves) == moved, "a step while it was halted"
    day.word("r1", "resume", ("h3",))
    assert ended(day) == "abandoned"
    all_on(day, OLD)


def test_a_halt_survives_every_voter_restarted_one_by_one_and_stops_all_within_a_second() -> None:
    day = releasing.usual(8)
    day.plan()
    day.run(9000.0)
    day.word("r1", "halt")
    day.run(1000.0)
    moved = len(day.moves)
    for voter in day.voters:
        day.kill(voter)
        day.run(3000.0)
        day.boot(voter)
        seated(day, voter)
    assert day.stands() == "halted" and len(day.moves) == moved
    # A halt keeps no node out.
    day.until(
        lambda: not any(day.state().is_unavailable(each) for each in day.state().members.values())
    )
    day.word("r1", "resume", [halt[0] for halt in day.state().releases.releases["r1"].halts])
    assert ended(day) == "done"


def test_a_full_disk_halts_and_does_not_send_the_fleet_back() -> None:
    day = releasing.usual(9)
    day.full.add("n4")
    day.plan()
    day.until(lambda: day.stands() == "halted")
    assert "no space left" in day.state().releases.releases["r1"].reason
    assert day.processes["n4"].up
    day.full.clear()
    day.run(8000.0)
    day.word("r1", "resume", [halt[0] for halt in day.state().releases.releases["r1"].halts])
    assert ended(day) == "done"


def test_a_way_back_that_fails_is_halted_and_says_what_stands_where() -> None:
    day = releasing.usual(10)
    day.plan()
    day.until(lambda: day.versions_run()[NEW] >= 2)
    day.versions[OLD] = Version(crashes_ms=50.0)  # what was good does not start any more
    day.word("r1", "back")
    day.until(lambda: day.stands() == "halted", 60_000.0)
    held = day.state().releases.releases["r1"]
    assert held.halted_state == "going back" and "start refused" in held.reason
    leader = day.processes[day.leader()].core
    rows = {row["name"]: row for row in leader.reports().release_details(held.name)["rows"]}  # type: ignore[union-attr]
    assert {row["runs"] for row in rows.values() if row["trouble"].startswith("start refused")} == {
        OLD
    }


def test_a_voters_version_that_does_not_talk_never_has_a_majority() -> None:
    day = releasing.usual(
        11, nodes=3, with_voters=True, voters=3, versions={NEW: Version(mute=True)}
    )
    voters = tuple((name,) for name in day.voters)
    day.plan(waves=voters)
    assert ended(day) == "abandoned"
    all_on(day, OLD)
    assert len(day.ever[NEW]) == 1


def test_voters_and_nodes_take_a_good_version_voters_last() -> None:
    day = releasing.usual(12, nodes=6, with_voters=True, voters=3)
    day.plan(soak_ms=1000)
    assert ended(day, within_ms=600_000.0) == "done"
    all_on(day, NEW)
    order = [node for _, node, version in day.moves if version == NEW]
    assert {each[0] for each in order[-3:]} == {"v"}


def test_too_little_traffic_is_not_known_and_a_person_is_asked() -> None:
    day = releasing.usual(13)
    day.load = 0.0
    day.plan(soak_ms=1000, extra_soak_ms=3000)
    day.until(lambda: bool(day.state().releases.releases["r1"].approval_reason), 60_000.0)
    assert "not known" in day.state().releases.releases["r1"].approval_reason
    day.run(10_000.0)
    assert day.state().releases.releases["r1"].wave == 0
    day.word("r1", "approve")
    day.until(lambda: day.state().releases.releases["r1"].wave == 1)


def test_budgets_and_a_cell_map_are_released_too() -> None:
    day = releasing.usual(14, nodes=6)
    for node in day.agents.values():
        day.runs[node] = {"program": OLD, "map": "m1"}
        day.kill(f"a-{node}")
        day.boot(f"a-{node}")
    day.until(lambda: all(node.version("map") for node in day.state().releases.nodes.values()))
    day.plan("m", "m2", slot="map", soak_ms=1000)
    assert ended(day, "m") == "done"
    assert {runs["map"] for runs in day.runs.values()} == {"m2"} and not day.away, (
        "nobody was drained for it"
    )
    lower = (Budget("all", "fleet", max_unavailable=1),)
    day.plan("b", "b2", slot="budgets", budgets=lower, soak_ms=1000, waves=((),))
    assert day.state().budgets == lower
    day.word("b", "back")
    assert [each.name for each in day.state().budgets] == ["zones", "all"]


def test_an_agent_is_replaced_beside_a_server_that_goes_on() -> None:
    day = releasing.usual(15, nodes=3, zones=1)
    for node in day.agents.values():
        day.runs[node] = {"program": OLD, "agent": "a1"}
        day.kill(f"a-{node}")
        day.boot(f"a-{node}")
    day.until(lambda: all(node.version("agent") for node in day.state().releases.nodes.values()))
    lives = {node: day.processes[node].life for node in day.agents.values()}
    day.plan("a", "a2", slot="agent", soak_ms=1000)
    assert ended(day, "a") == "done"
    assert {runs["agent"] for runs in day.runs.values()} == {"a2"}
    assert lives == {node: day.processes[node].life for node in day.agents.values()}


def test_a_release_waits_for_a_node_out_against_its_will_and_for_other_drains() -> None:
    day = releasing.usual(16)
    watched(day)
    day.kill("n3")  # of z0, and its agent with it
    day.kill("a-n3")
    day.until(lambda: bool(day.state().members["n3"].failure))
    day.agreed("drain", "d1", ["n1", "n4"], "kernel", "op")
    day.plan(soak_ms=1000)
    day.run(20_000.0)
    assert not day.ever[NEW], "n0 is of the zone of n3, whose one place is taken"
    day.boot("n3")
    day.boot("a-n3")
    assert ended(day) == "done"
    all_on(day, NEW)


def test_an_urgent_release_takes_over_a_halted_one() -> None:
    day = releasing.usual(17)
    day.plan()
    day.until(lambda: day.versions_run()[NEW] >= 2)
    assert "only an urgent one" in day.plan("r2", "v-fix")
    day.word("r1", "halt")
    day.word("r2", "abandon")
    day.plan("r3", "v-fix", urgent=True, replaces=OLD, soak_ms=1000)
    assert day.stands() == "abandoned"
    assert ended(day, "r3") == "done"
    all_on(day, "v-fix")


def test_entries_above_the_level_are_refused_before_they_are_proposed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        release_, "PROGRAM_LEVEL", 1
    )  # all voters are of the program before releases
    day = fleets.usual(18, nodes=3, voters=3)
    said = day.agreed("release", "x", "r1", "halt", (), "why", "op")
    assert "is of level 2, and the fleet is at level 1" in said
    monkeypatch.setattr(release_, "PROGRAM_LEVEL", 2)
    day.until(lambda: day.state().releases.level == 2)
    assert "no release r1" in day.agreed("release", "y", "r1", "halt", (), "why", "op")
