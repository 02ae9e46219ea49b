"""Drains in whole fleets in simulated time, under faults.

An observer outside the fleet counts the processes that really drain, independent of the state that any
process believes agreed.
"""

from functools import partial
from typing import Any

import pytest

from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.lab import fleets
from pumicenotch.lab.fleets import Day, usual

NODES = tuple(f"n{number}" for number in range(12))


class DrainObserver:
    """Records the processes that drain by permit, and when they exceed the budgets."""

    def __init__(self, day: Day, max_per_zone: int = 1, max_total: int = 2) -> None:
        self.day, self.max_per_zone, self.max_total = day, max_per_zone, max_total
        self.violations: list[str] = []
        self.max_draining, self.drained = 0, list[str]()
        day.on_leave = self.on_drain

    def on_drain(self, name: str) -> None:
        self.drained.append(name)
        draining = self.day.away
        self.max_draining = max(self.max_draining, len(draining))
        for zone in ("z0", "z1", "z2"):
            if (
                sum(self.day.processes[other].spec.zone == zone for other in draining)
                > self.max_per_zone
            ):
                self.violations.append(f"{self.day.now:.0f}: {sorted(draining)} in {zone}")
        if len(draining) > self.max_total:
            self.violations.append(f"{self.day.now:.0f}: {sorted(draining)}")


def all_available(day: Day) -> bool:
    return (
        bool(day.leader())
        and not day.away
        and not any(map(day.state().is_unavailable, day.state().members.values()))
    )


def drain(day: Day, *names: str, request_id: str = "d") -> Any:
    return day.agreed("drain", request_id, names, "kernel", "op")


def test_all_nodes_drain_and_return_within_the_budgets() -> None:
    day = usual(1)
    observer = DrainObserver(day)
    drain(day, *NODES)
    duration_ms = day.until(lambda: len(observer.drained) == 12 and all_available(day), 120_000.0)
    assert not observer.violations and sorted(observer.drained) == sorted(NODES)
    # Two nodes drain at once, and a drain with restart takes 3.2 s: six rounds are the shortest possible time.
    assert 6 * 3200.0 <= duration_ms <= 6 * 3200.0 / 0.85


@pytest.mark.parametrize("seed", range(4))
def test_drains_complete_within_the_budgets_although_leaders_die_repeatedly(seed: int) -> None:
    day = usual(seed, loss=0.02)
    observer = DrainObserver(day)
    drain(day, *NODES[:8])
    for _ in range(3):
        day.run(2500.0)
        if leader := day.leader():
            day.kill(leader)
            day.run(4000.0)
            day.boot(leader)
            day.until(lambda: bool(day.leader()))
    day.until(lambda: len(observer.drained) >= 8 and all_available(day), 240_000.0)
    assert not observer.violations and sorted(observer.drained) == sorted(NODES[:8])


def test_a_process_suspended_for_minutes_does_not_use_a_revoked_permit() -> None:
    day = usual(2)
    observer = DrainObserver(day)
    day.stop("n0")
    drain(day, "n0", "n3")  # of one zone
    day.run(10_000.0)
    assert day.state().permits.keys() == {"n0"}  # a silent holder keeps its permit
    day.run(120_000.0)
    assert day.state().members["n0"].failure == "silent"
    day.agreed("free", "f", "n0", "burnt, says the hall", "op")
    day.run(3000.0)
    assert observer.drained == []  # n0 counts as unavailable even without a permit
    day.wake("n0")
    day.until(lambda: observer.drained == ["n3"], 60_000.0)
    day.until(lambda: all_available(day), 60_000.0)
    assert observer.drained == ["n3"]


def test_a_resumed_stale_leader_grants_no_permit() -> None:
    day = usual(3)
    observer = DrainObserver(day)
    stale = day.leader()
    day.stop(stale)
    day.until(lambda: day.leader() not in ("", stale))
    drain(day, "n0")
    day.until(lambda: observer.drained == ["n0"])
    # The request waits in the sockets of the suspended leader.
    answer = day.ask(stale, "drain", "late", ("n3",), "kernel", "op")
    day.wake(stale)
    day.run(5000.0)
    error, _ = day.answers[answer]
    assert error is None or error[0] in ("NotLeader", "NoMajority")
    assert not observer.violations


@pytest.mark.parametrize("zone", ["z0", "z1", "z2"])
def test_a_partitioned_zone_keeps_serving_and_starts_no_drain(zone: str) -> None:
    """z0 and z1 hold two voters each, z2 one. One of the zones holds the leader."""
    day = usual(4)
    observer = DrainObserver(day)
    day.isolate(zone)
    inside = [name for name, process in day.processes.items() if process.spec.zone == zone]
    day.until(lambda: day.leader() not in ("", *inside), 20_000.0)
    drain(day, *NODES)
    day.run(40_000.0)
    drained_inside = [name for name in observer.drained if name in inside]
    assert not observer.violations and not drained_inside
    assert all(day.processes[name].up for name in inside)  # still in service
    assert {name for name in day.state().members if day.state().members[name].failure} == set(
        inside
    )
    day.heal()
    day.until(lambda: len(observer.drained) == 12 and all_available(day), 240_000.0)
    assert not observer.violations


def test_without_voters_all_nodes_serve_and_none_drains() -> None:
    day = usual(5)
    observer = DrainObserver(day)
    for number in range(1, 4):
        day.kill(f"v{number}")
    day.run(60_000.0)
    assert not day.leader() and not observer.drained
    assert all(day.processes[name].up for name in NODES)
    day.put("n0", "leave", "its platform asks")  # a termination needs no permit
    core = day.processes["n0"].core
    assert core is not None and core.is_draining


def test_drains_complete_after_one_way_partitions_of_every_voter() -> None:
    day = usual(6)
    observer = DrainObserver(day)
    drain(day, *NODES[:6])
    voters = sorted(day.voters)
    for voter in voters:
        day.part([voter], [other for other in day.processes if other != voter], both=False)
        day.run(4000.0)
        day.heal()
        day.run(1500.0)
    day.until(lambda: len(observer.drained) == 6 and all_available(day), 240_000.0)
    assert not observer.violations


def test_a_waiting_member_knows_the_reason_and_the_expected_wait() -> None:
    day = usual(16)
    drain(day, "n0", "n3", "n6")
    day.run(2000.0)
    core = day.processes["n6"].core
    assert (
        core is not None
        and core.wait_reason == "budget zones: zone z0: 1 of at most 1 are out; 1 before it"
    )
    day.until(lambda: core.wait_reason.endswith("of about 3 s each"), 10_000.0)
    day.until(lambda: all_available(day), 60_000.0)


def test_a_node_killed_during_its_drain_keeps_its_permit() -> None:
    day = usual(7)
    observer = DrainObserver(day)
    drain(day, "n0", "n3")
    day.until(lambda: observer.drained == ["n0"])
    day.kill("n0")
    day.run(90_000.0)
    assert observer.drained == ["n0"] and "n0" in day.state().permits
    day.boot("n0")  # started again much later
    day.until(lambda: observer.drained == ["n0", "n3"], 30_000.0)


def test_a_second_process_of_a_name_is_refused_while_the_first_serves() -> None:
    day = usual(8)
    twin = day.add("twin", "z0")
    twin.spec = twin.spec._replace(name="n0")
    day.processes["twin"] = twin
    life = day.processes["n0"].life
    day.processes["n0"].core, core = None, day.processes["n0"].core
    assert core is not None
    day.processes["n0"].core = core
    # The request that the twin's process would send.
    member = day.state().members["n0"]
    answer = day.agreed("join", member._replace(process_id="other")[:9])
    assert "the name is taken" in answer
    assert day.state().members["n0"].process_id == f"{life:04d}"
    day.kill("n0")
    day.run(5000.0)
    assert day.agreed("join", member._replace(process_id="other")[:9])["agreed"]


def test_all_voters_can_be_replaced_one_after_the_other() -> None:
    day = usual(9)
    # In the end none of the first replicas is left.
    for name in sorted(day.voters):
        day.kill(name)
        day.run(3000.0)
        day.boot(name)

        def all_have_votes() -> bool:
            leader = day.leader()
            core = day.processes[leader].core if leader else None
            return (
                isinstance(core, VoterNode)
                and len(core.voter.log.membership.voters) == 5
                and all(
                    f"{voter}/{day.processes[voter].life:04d}" in core.voter.log.membership.voters
                    for voter in day.voters
                )
            )

        day.until(all_have_votes, 60_000.0)
    assert day.state().fleet == "day" and len(day.state().members) == 17


def test_a_newly_bootstrapped_fleet_counts_draining_members(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All voters restart at once and lose the agreed state, so draining members have to report again."""
    monkeypatch.setattr(fleets, "DRAIN_MS", 60_000.0)
    day = usual(15)
    observer = DrainObserver(day)
    drain(day, "n0")
    day.until(lambda: observer.drained == ["n0"])
    for name in day.voters:
        day.kill(name)
    for name in day.voters:
        day.boot(name)
    day.until(lambda: bool(day.leader()) and len(day.state().members) == 17, 30_000.0)
    drain(day, "n3", request_id="again")
    day.run(10_000.0)
    assert observer.drained == ["n0"] and day.state().is_unavailable(day.state().members["n0"])


def test_a_draining_leader_transfers_the_leadership_first() -> None:
    day = usual(10)
    leader = day.leader()
    drain(day, leader)
    leaderless_ms = 0.0
    while day.processes[leader].life == 1:
        day.run(20.0)
        leaderless_ms += 0.0 if day.leader() else 20.0
    day.until(lambda: all_available(day), 60_000.0)
    assert leaderless_ms < 1000.0  # the shortest election timeout


def test_a_halt_from_a_node_stops_all_drains_until_a_resume_is_agreed() -> None:
    day = usual(11)
    observer = DrainObserver(day)
    drain(day, *NODES)
    day.until(lambda: len(observer.drained) == 2)
    day.ask("n7", "halt", "h", "op", "smoke")
    day.until(lambda: bool(day.state().halts), 5000.0)
    before = len(observer.drained)
    day.run(20_000.0)
    assert len(observer.drained) == before
    leader = day.leader()
    day.kill(leader)
    day.until(lambda: day.leader() not in ("", leader))
    day.run(10_000.0)
    assert (
        day.state().halt_reason() and len(observer.drained) == before
    )  # the halt outlives the leader
    assert day.agreed("resume", "r", ("h",), "the smoke is gone", "op")["agreed"]
    day.boot(leader)
    day.until(lambda: len(observer.drained) == 12 and all_available(day), 120_000.0)
    assert not observer.violations


def test_concurrent_requests_of_two_operators_cause_one_drain() -> None:
    day = usual(12)
    observer = DrainObserver(day)
    others = [name for name in sorted(day.voters) if name != day.leader()]
    first, second = (
        day.ask(others[0], "drain", "x", ("n0",), "k", "a"),
        day.ask(day.leader(), "drain", "y", ("n0",), "k", "b"),
    )
    day.run(1000.0)
    assert day.answers[first][0][0] == "NotLeader" and day.answers[second][0] is None
    drain(day, "n0", request_id="x")
    day.until(lambda: observer.drained == ["n0"] and all_available(day), 60_000.0)
    day.run(10_000.0)
    assert observer.drained == ["n0"]  # one drain for two requests


def test_an_overloaded_member_counts_as_unavailable() -> None:
    day = usual(13)
    observer = DrainObserver(day)
    day.put("n0", "serve", True, True)
    day.until(lambda: day.state().members["n0"].failure == "overloaded", 10_000.0)
    drain(day, "n3")
    day.run(5000.0)
    assert observer.drained == []
    day.put("n0", "serve", True, False)
    day.until(lambda: observer.drained == ["n3"], 10_000.0)


def test_90_drains_requested_at_once_use_the_whole_budget_of_100_members() -> None:
    budgets = [
        Budget("zones", "zone", max_unavailable=10),
        Budget("all", "fleet", max_unavailable=30),
    ]
    day = usual(14, nodes=100, budgets=budgets)
    observer = DrainObserver(day, 10, 30)
    for number in range(90):
        day.ask(day.leader(), "drain", f"d{number}", (f"n{number}",), "k", "op")
    duration_ms = day.until(lambda: len(observer.drained) == 90 and all_available(day), 120_000.0)
    assert not observer.violations and observer.max_draining == 30
    assert duration_ms <= 3 * 3200.0 / 0.85


def test_the_first_voter_by_name_rejoins_after_all_others_have_been_replaced() -> None:
    """Replacements that had not taken part in the bootstrap reported that they knew of no fleet. While there
    was no leader, a restarted first voter therefore bootstrapped a second fleet.
    """
    day = usual(21, nodes=2, voters=3)

    def has_vote(name: str) -> bool:
        core = day.processes[day.leader()].core if day.leader() else None
        replica = f"{name}/{day.processes[name].life:04d}"
        return isinstance(core, VoterNode) and replica in core.voter.log.membership.voters

    replaced = {"v1"}
    while replaced < {"v1", "v2", "v3"} or day.leader() != "v1":
        name = next((voter for voter in ("v2", "v3") if voter not in replaced), day.leader())
        replaced.add(name)
        day.kill(name)
        day.run(100.0)
        day.boot(name)
        day.until(partial(has_vote, name))
    day.kill("v1")
    day.run(100.0)
    day.boot("v1")
    day.until(partial(has_vote, "v1"))


def test_a_voter_is_in_service_only_once_its_replica_has_a_vote() -> None:
    """Voters drain one after the other, each as soon as the one before is in service. A restarted voter
    counted as in service before its replica had a vote, and the next drain left no majority.
    """
    day = usual(22, nodes=2, voters=3, budgets=(Budget("all", "fleet", max_unavailable=1),))
    for name in ("v1", "v2", "v3", "v1"):
        life = day.processes[name].life
        day.agreed("drain", f"{name}-{life}", [name], "kernel", "op")
        day.until(
            lambda name=name, life=life: (  # type: ignore[misc]
                day.processes[name].life > life
                and bool(day.leader())
                and not day.state().unavailable_voters()
            )
        )
    assert len(day.processes[day.leader()].core.voter.log.membership.voters) == 3  # type: ignore[union-attr]
