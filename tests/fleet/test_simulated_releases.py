"""Tests of releases in whole fleets in simulated time: harmful versions, and faults."""

from collections import Counter
from typing import Any

import pytest

from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.releases import release as release_records
from pumicenotch.lab import fleets, releasing
from pumicenotch.lab.releasing import NEW, OLD, Agents, Version


def check_budgets_on_leave(simulation: Agents) -> None:
    """Asserts the budgets whenever a process leaves, by the processes that are away."""

    def check_budgets(leaving_name: str) -> None:
        away_names = [away_name for away_name in simulation.away if away_name not in ("",)]
        zones = Counter(simulation.processes[away_name].spec.zone for away_name in away_names)
        assert len(away_names) <= 2 and max(zones.values(), default=0) <= 1, (
            f"{leaving_name} leaves while {away_names} are away"
        )

    simulation.on_leave = check_budgets


def wait_for_end(simulation: Agents, name: str = "r1", within_ms: float = 300_000.0) -> str:
    """Runs until the release has ended, and returns its final state."""
    simulation.until(lambda: simulation.stands(name) in ("done", "abandoned"), within_ms, 200.0)
    return simulation.stands(name)


def wait_until_all_run(simulation: Agents, version: str) -> None:
    """Runs until all nodes run the version and no member is unavailable."""
    simulation.until(
        lambda: (
            simulation.versions_run() == Counter({version: len(simulation.agents)})
            and bool(simulation.leader())
            and not any(
                simulation.state().is_unavailable(member)
                for member in simulation.state().members.values()
            )
        ),
        120_000.0,
    )


def wait_for_vote(simulation: Agents, voter: str) -> None:
    """Runs until the voter's new process has a vote.

    Only one voter at a time may restart, because voters keep their log in memory.
    """
    replica = f"{voter}/{simulation.processes[voter].life:04d}"

    def has_vote() -> bool:
        core = simulation.processes[simulation.leader()].core if simulation.leader() else None
        return core is not None and replica in core.voter.log.membership.voters  # type: ignore[attr-defined]

    simulation.until(has_vote)


def run_harmful_release(
    version: Version, max_nodes: int = 1, seed: int = 1, **options: Any
) -> Agents:
    """Asserts that a harmful version is rolled back after at most `max_nodes` nodes ran it."""
    simulation = releasing.usual(seed, versions={NEW: version}, **options)
    check_budgets_on_leave(simulation)
    simulation.run(8000.0)  # until the baseline of the dependency calls is known
    simulation.plan(soak_ms=20_000)
    assert wait_for_end(simulation) == "abandoned"
    wait_until_all_run(simulation, OLD)
    assert 0 < len(simulation.ever[NEW]) <= max_nodes
    return simulation


def test_a_good_version_reaches_all_nodes_in_waves_within_the_budgets() -> None:
    simulation = releasing.usual(1)
    check_budgets_on_leave(simulation)
    simulation.plan()
    assert wait_for_end(simulation) == "done"
    wait_until_all_run(simulation, NEW)
    assert simulation.state().releases.current_versions == {"program": NEW}


@pytest.mark.parametrize(
    ("version", "reason"),
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
def test_a_harmful_version_is_rolled_back_automatically(version: Version, reason: str) -> None:
    simulation = run_harmful_release(version)
    assert reason in simulation.state().releases.releases["r1"].reason


def test_a_version_that_crashes_too_rarely_for_a_crash_loop_is_rolled_back() -> None:
    simulation = releasing.usual(1, versions={NEW: Version(crashes_ms=70_000.0)})
    simulation.plan(soak_ms=400_000)
    assert wait_for_end(simulation, within_ms=600_000.0) == "abandoned"
    assert (
        "ends that nobody asked for at 1 released nodes, 0 at"
        in simulation.state().releases.releases["r1"].reason
    )
    assert len(simulation.ever[NEW]) == 1


def test_crashes_on_nodes_with_and_without_the_version_are_not_harm() -> None:
    simulation = releasing.usual(2)
    simulation.plan(soak_ms=120_000)
    # n0 runs the version. Two crashes in one zone never overlap.
    for number in (0, 1, 2, 6, 7):
        simulation.run(9000.0)
        simulation.crash(f"n{number}")
    assert simulation.stands() == "soaking"


def test_harm_to_a_shared_dependency_is_detected_though_both_groups_fail_alike() -> None:
    simulation = releasing.usual(2)
    simulation.run(8000.0)
    simulation.plan()

    def degrade_dependency() -> None:
        simulation.below = 0.4 if simulation.versions_run()[NEW] else 0.0
        simulation.at(simulation.now + 100.0, degrade_dependency)

    simulation.run(2000.0)
    degrade_dependency()
    simulation.until(lambda: bool(simulation.ever[NEW]))
    leader = simulation.leader()
    simulation.kill(leader)  # the baseline is agreed, so the next leader has it
    simulation.run(1000.0)
    simulation.boot(leader)
    assert wait_for_end(simulation) == "abandoned"
    assert len(simulation.ever[NEW]) == 1
    assert "all are worse off" in simulation.state().releases.releases["r1"].reason
    wait_until_all_run(simulation, OLD)


def test_a_doubled_load_is_not_harm() -> None:
    """Both groups fail more often, and so do their dependency calls."""
    simulation = releasing.usual(3)
    simulation.plan()
    simulation.run(15_000.0)
    assert simulation.versions_run()[NEW]
    simulation.load, simulation.below = 2.0 * simulation.load, 0.3
    assert wait_for_end(simulation) == "done"


def test_a_server_that_hangs_is_killed_during_a_rollback_with_its_permit_started() -> None:
    simulation = releasing.usual(4, versions={NEW: Version(bad=0.3, hangs=True)})
    simulation.plan(soak_ms=20_000)
    assert wait_for_end(simulation) == "abandoned"
    wait_until_all_run(simulation, OLD)


@pytest.mark.parametrize("seed", range(4))
def test_a_release_completes_although_leaders_agents_and_nodes_are_killed_between_steps(
    seed: int,
) -> None:
    simulation = releasing.usual(seed + 10)
    check_budgets_on_leave(simulation)
    simulation.plan(soak_ms=2000)
    rng = simulation.chance
    # Each server is killed at most once, because three exits in a minute are a crash loop.
    for number in rng.sample(range(12), 12):
        simulation.run(rng.uniform(1000.0, 6000.0))
        victim = rng.choice([simulation.leader() or "v1", f"a-n{number}", f"n{number}"])
        simulation.kill(victim)
        if victim in simulation.agents.values():
            simulation.away.pop(victim, None)
            simulation.ended(victim, -9)
        else:
            simulation.run(rng.uniform(100.0, 2000.0))
            simulation.boot(victim)
            if victim in simulation.voters:
                wait_for_vote(simulation, victim)
    assert wait_for_end(simulation, within_ms=600_000.0) == "done"
    wait_until_all_run(simulation, NEW)


def test_a_zone_that_is_cut_off_takes_no_step_and_then_catches_up_with_the_rollback() -> None:
    simulation = releasing.usual(5)
    simulation.plan()
    simulation.until(lambda: len(simulation.ever[NEW]) >= 3, 120_000.0)
    simulation.isolate("z2")
    simulation.run(3000.0)  # until messages under way have arrived
    versions_before = {node: dict(runs) for node, runs in simulation.runs.items()}
    simulation.run(20_000.0)
    assert all(
        simulation.runs[node] == versions_before[node]
        for node in versions_before
        if simulation.processes[node].spec.zone == "z2"
    )
    answer = simulation.word("r1", "back")
    assert "going back" in answer["text"]
    simulation.run(20_000.0)
    assert all(
        simulation.runs[node] == versions_before[node]
        for node in versions_before
        if simulation.processes[node].spec.zone == "z2"
    )
    simulation.heal()
    assert wait_for_end(simulation) == "abandoned"
    wait_until_all_run(simulation, OLD)


def test_a_node_that_was_down_during_a_release_catches_up() -> None:
    simulation = releasing.usual(6, budgets=(Budget("all", "fleet", max_unavailable=2),))
    simulation.plan(soak_ms=1000)
    simulation.kill("n7")
    simulation.kill("a-n7")
    assert wait_for_end(simulation) == "done"
    assert simulation.runs["n7"]["program"] == OLD
    simulation.boot("n7")
    simulation.boot("a-n7")
    wait_until_all_run(simulation, NEW)


def test_concurrent_halts_resumes_and_rollbacks_lose_no_halt() -> None:
    simulation = releasing.usual(7)
    simulation.plan()
    simulation.run(6000.0)
    leader = simulation.leader()
    for index, (action, known_halts) in enumerate(
        (("halt", ()), ("resume", ("h0",)), ("back", ("h0",)), ("halt", ()))
    ):
        simulation.ask(
            leader, "release", f"h{index}", "r1", action, known_halts, "race", f"op{index}"
        )
    simulation.run(1000.0)
    release = simulation.state().releases.releases["r1"]
    assert (release.state, release.halted_state, [halt[0] for halt in release.halts]) == (
        "halted",
        "going back",
        ["h3"],
    )
    move_count = len(simulation.moves)
    simulation.run(10_000.0)
    assert len(simulation.moves) == move_count, "a node moved while the release was halted"
    simulation.word("r1", "resume", ("h3",))
    assert wait_for_end(simulation) == "abandoned"
    wait_until_all_run(simulation, OLD)


def test_a_halt_takes_effect_within_a_second_and_survives_the_restart_of_every_voter() -> None:
    simulation = releasing.usual(8)
    simulation.plan()
    simulation.run(9000.0)
    simulation.word("r1", "halt")
    simulation.run(1000.0)
    move_count = len(simulation.moves)
    for voter in simulation.voters:
        simulation.kill(voter)
        simulation.run(3000.0)
        simulation.boot(voter)
        wait_for_vote(simulation, voter)
    assert simulation.stands() == "halted" and len(simulation.moves) == move_count
    # A halt keeps no node out of service.
    simulation.until(
        lambda: (
            not any(
                simulation.state().is_unavailable(member)
                for member in simulation.state().members.values()
            )
        )
    )
    simulation.word(
        "r1", "resume", [halt[0] for halt in simulation.state().releases.releases["r1"].halts]
    )
    assert wait_for_end(simulation) == "done"


def test_a_full_disk_halts_the_release_without_a_rollback() -> None:
    simulation = releasing.usual(9)
    simulation.full.add("n4")
    simulation.plan()
    simulation.until(lambda: simulation.stands() == "halted")
    assert "no space left" in simulation.state().releases.releases["r1"].reason
    assert simulation.processes["n4"].up
    simulation.full.clear()
    simulation.run(8000.0)
    simulation.word(
        "r1", "resume", [halt[0] for halt in simulation.state().releases.releases["r1"].halts]
    )
    assert wait_for_end(simulation) == "done"


def test_a_failed_rollback_is_halted_and_its_rows_show_what_each_node_runs() -> None:
    simulation = releasing.usual(10)
    simulation.plan()
    simulation.until(lambda: simulation.versions_run()[NEW] >= 2)
    simulation.versions[OLD] = Version(crashes_ms=50.0)  # the old version no longer starts
    simulation.word("r1", "back")
    simulation.until(lambda: simulation.stands() == "halted", 60_000.0)
    release = simulation.state().releases.releases["r1"]
    assert release.halted_state == "going back" and "start refused" in release.reason
    leader = simulation.processes[simulation.leader()].core
    rows = {row["name"]: row for row in leader.reports().release_details(release.name)["rows"]}  # type: ignore[union-attr]
    assert {row["runs"] for row in rows.values() if row["trouble"].startswith("start refused")} == {
        OLD
    }


def test_a_voter_version_that_sends_nothing_never_runs_on_a_majority() -> None:
    simulation = releasing.usual(
        11, nodes=3, with_voters=True, voters=3, versions={NEW: Version(mute=True)}
    )
    voters = tuple((name,) for name in simulation.voters)
    simulation.plan(waves=voters)
    assert wait_for_end(simulation) == "abandoned"
    wait_until_all_run(simulation, OLD)
    assert len(simulation.ever[NEW]) == 1


def test_a_good_version_reaches_the_nodes_first_and_the_voters_last() -> None:
    simulation = releasing.usual(12, nodes=6, with_voters=True, voters=3)
    simulation.plan(soak_ms=1000)
    assert wait_for_end(simulation, within_ms=600_000.0) == "done"
    wait_until_all_run(simulation, NEW)
    move_order = [node for _, node, version in simulation.moves if version == NEW]
    assert {node[0] for node in move_order[-3:]} == {"v"}


def test_too_little_traffic_is_inconclusive_and_needs_approval() -> None:
    simulation = releasing.usual(13)
    simulation.load = 0.0
    simulation.plan(soak_ms=1000, extra_soak_ms=3000)
    simulation.until(
        lambda: bool(simulation.state().releases.releases["r1"].approval_reason), 60_000.0
    )
    assert "not known" in simulation.state().releases.releases["r1"].approval_reason
    simulation.run(10_000.0)
    assert simulation.state().releases.releases["r1"].wave == 0
    simulation.word("r1", "approve")
    simulation.until(lambda: simulation.state().releases.releases["r1"].wave == 1)


def test_budgets_and_a_cell_map_are_released() -> None:
    simulation = releasing.usual(14, nodes=6)
    for node in simulation.agents.values():
        simulation.runs[node] = {"program": OLD, "map": "m1"}
        simulation.kill(f"a-{node}")
        simulation.boot(f"a-{node}")
    simulation.until(
        lambda: all(node.version("map") for node in simulation.state().releases.nodes.values())
    )
    simulation.plan("m", "m2", slot="map", soak_ms=1000)
    assert wait_for_end(simulation, "m") == "done"
    assert {runs["map"] for runs in simulation.runs.values()} == {"m2"} and not simulation.away, (
        "a node was drained for a cell map"
    )
    lower_budgets = (Budget("all", "fleet", max_unavailable=1),)
    simulation.plan("b", "b2", slot="budgets", budgets=lower_budgets, soak_ms=1000, waves=((),))
    assert simulation.state().budgets == lower_budgets
    simulation.word("b", "back")
    assert [budget.name for budget in simulation.state().budgets] == ["zones", "all"]


def test_an_agent_is_replaced_while_its_server_keeps_running() -> None:
    simulation = releasing.usual(15, nodes=3, zones=1)
    for node in simulation.agents.values():
        simulation.runs[node] = {"program": OLD, "agent": "a1"}
        simulation.kill(f"a-{node}")
        simulation.boot(f"a-{node}")
    simulation.until(
        lambda: all(node.version("agent") for node in simulation.state().releases.nodes.values())
    )
    lives_before = {node: simulation.processes[node].life for node in simulation.agents.values()}
    simulation.plan("a", "a2", slot="agent", soak_ms=1000)
    assert wait_for_end(simulation, "a") == "done"
    assert {runs["agent"] for runs in simulation.runs.values()} == {"a2"}
    assert lives_before == {
        node: simulation.processes[node].life for node in simulation.agents.values()
    }


def test_a_release_waits_for_a_failed_node_and_for_other_drains() -> None:
    simulation = releasing.usual(16)
    check_budgets_on_leave(simulation)
    simulation.kill("n3")  # in zone z0; its agent is killed too
    simulation.kill("a-n3")
    simulation.until(lambda: bool(simulation.state().members["n3"].failure))
    simulation.agreed("drain", "d1", ["n1", "n4"], "kernel", "op")
    simulation.plan(soak_ms=1000)
    simulation.run(20_000.0)
    assert not simulation.ever[NEW], (
        "n0 and n3 are in one zone, whose budget allows one unavailable node"
    )
    simulation.boot("n3")
    simulation.boot("a-n3")
    assert wait_for_end(simulation) == "done"
    wait_until_all_run(simulation, NEW)


def test_an_urgent_release_takes_over_a_halted_release() -> None:
    simulation = releasing.usual(17)
    simulation.plan()
    simulation.until(lambda: simulation.versions_run()[NEW] >= 2)
    assert "only an urgent one" in simulation.plan("r2", "v-fix")
    simulation.word("r1", "halt")
    simulation.word("r2", "abandon")
    simulation.plan("r3", "v-fix", urgent=True, replaces=OLD, soak_ms=1000)
    assert simulation.stands() == "abandoned"
    assert wait_for_end(simulation, "r3") == "done"
    wait_until_all_run(simulation, "v-fix")


def test_entries_above_the_agreed_level_are_refused_before_they_are_proposed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All voters run a program from before releases.
    monkeypatch.setattr(release_records, "PROGRAM_LEVEL", 1)
    simulation = fleets.usual(18, nodes=3, voters=3)
    answer = simulation.agreed("release", "x", "r1", "halt", (), "why", "op")
    assert "is of level 2, and the fleet is at level 1" in answer
    monkeypatch.setattr(release_records, "PROGRAM_LEVEL", 2)
    simulation.until(lambda: simulation.state().releases.level == 2)
    assert "no release r1" in simulation.agreed("release", "y", "r1", "halt", (), "why", "op")
