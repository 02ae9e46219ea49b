"""Whole fleets in simulated time, through faults. The observer is outside: it counts who really drains, by
what the processes were told to do, never by what any of them thinks is agreed.
"""

from functools import partial
from typing import Any

import pytest

from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.lab import fleets
from pumicenotch.lab.fleets import Day, usual

NODES = tuple(f"n{at}" for at in range(12))


class Watch:
    """Who drains by permit at any instant, against what was promised."""

    def __init__(self, day: Day, a_zone: int = 1, in_all: int = 2) -> None:
        self.day, self.a_zone, self.in_all = day, a_zone, in_all
        self.over: list[str] = []
        self.most, self.left = 0, list[str]()
        day.on_leave = self.leaves

    def leaves(self, name: str) -> None:
        self.left.append(name)
        away = self.day.away
        self.most = max(self.most, len(away))
        for zone in ("z0", "z1", "z2"):
            if sum(self.day.processes[each].spec.zone == zone for each in away) > self.a_zone:
                self.over.append(f"{self.day.now:.0f}: {sorted(away)} in {zone}")
        if len(away) > self.in_all:
            self.over.append(f"{self.day.now:.0f}: {sorted(away)}")


def all_back(day: Day) -> bool:
    return (
        bool(day.leader())
        and not day.away
        and not any(map(day.state().is_unavailable, day.state().members.values()))
    )


def drain(day: Day, *names: str, key: str = "d") -> Any:
    return day.agreed("drain", key, names, "kernel", "op")


def test_all_nodes_drain_and_return_within_the_budgets() -> None:
    day = usual(1)
    watch = Watch(day)
    drain(day, *NODES)
    took = day.until(lambda: len(watch.left) == 12 and all_back(day), 120_000.0)
    assert not watch.over and sorted(watch.left) == sorted(NODES)
    # Two at once, each away for its drain, its end and its return: six turns of 3.2 s are the shortest.
    assert 6 * 3200.0 <= took <= 6 * 3200.0 / 0.85


@pytest.mark.parametrize("seed", range(4))
def test_the_leader_dies_again_and_again_while_drains_go_on(seed: int) -> None:
    day = usual(seed, loss=0.02)
    watch = Watch(day)
    drain(day, *NODES[:8])
    for _ in range(3):
        day.run(2500.0)
        if leader := day.leader():
            day.kill(leader)
            day.run(4000.0)
            day.boot(leader)
            day.until(lambda: bool(day.leader()))
    day.until(lambda: len(watch.left) >= 8 and all_back(day), 240_000.0)
    assert not watch.over and sorted(watch.left) == sorted(NODES[:8])


def test_a_holder_that_hears_of_its_permit_after_minutes_uses_no_old_one() -> None:
    day = usual(2)
    watch = Watch(day)
    day.stop("n0")
    drain(day, "n0", "n3")  # of one zone
    day.run(10_000.0)
    assert day.state().permits.keys() == {"n0"}  # silence frees nothing
    day.run(120_000.0)
    assert day.state().members["n0"].failure == "silent"
    day.agreed("free", "f", "n0", "burnt, says the hall", "op")
    day.run(3000.0)
    assert watch.left == []  # n0 counts as out, whether it holds a permit or not
    day.wake("n0")
    day.until(lambda: watch.left == ["n3"], 60_000.0)
    day.until(lambda: all_back(day), 60_000.0)
    assert watch.left == ["n3"]


def test_a_stopped_leader_that_wakes_grants_nothing() -> None:
    day = usual(3)
    watch = Watch(day)
    old = day.leader()
    day.stop(old)
    day.until(lambda: day.leader() not in ("", old))
    drain(day, "n0")
    day.until(lambda: watch.left == ["n0"])
    answer = day.ask(old, "drain", "late", ("n3",), "kernel", "op")  # as it lies in its sockets
    day.wake(old)
    day.run(5000.0)
    error, _ = day.answers[answer]
    assert error is None or error[0] in ("NotLeader", "NoMajority")
    assert not watch.over


@pytest.mark.parametrize("zone", ["z0", "z1", "z2"])
def test_a_zone_that_is_cut_off_goes_on_and_drains_nobody_by_itself(zone: str) -> None:
    """z0 and z1 hold two voters each, z2 one: the leader is in the cut zone or not."""
    day = usual(4)
    watch = Watch(day)
    day.isolate(zone)
    inside = [name for name, process in day.processes.items() if process.spec.zone == zone]
    day.until(lambda: day.leader() not in ("", *inside), 20_000.0)
    drain(day, *NODES)
    day.run(40_000.0)
    gone = [name for name in watch.left if name in inside]
    assert not watch.over and not gone
    assert all(day.processes[name].up for name in inside)  # they serve on
    assert {name for name in day.state().members if day.state().members[name].failure} == set(
        inside
    )
    day.heal()
    day.until(lambda: len(watch.left) == 12 and all_back(day), 240_000.0)
    assert not watch.over


def test_without_voters_nothing_drains_and_all_serve_on() -> None:
    day = usual(5)
    watch = Watch(day)
    for at in range(1, 4):
        day.kill(f"v{at}")
    day.run(60_000.0)
    assert not day.leader() and not watch.left
    assert all(day.processes[name].up for name in NODES)
    day.put("n0", "leave", "its platform asks")  # one that cannot wait asks nobody
    core = day.processes["n0"].core
    assert core is not None and core.is_draining


def test_one_way_cuts_of_every_pair_change_nothing_for_good() -> None:
    day = usual(6)
    watch = Watch(day)
    drain(day, *NODES[:6])
    voters = sorted(day.voters)
    for one in voters:
        day.part([one], [other for other in day.processes if other != one], both=False)
        day.run(4000.0)
        day.heal()
        day.run(1500.0)
    day.until(lambda: len(watch.left) == 6 and all_back(day), 240_000.0)
    assert not watch.over


def test_whoever_waits_is_told_why_and_how_long() -> None:
    day = usual(16)
    drain(day, "n0", "n3", "n6")
    day.run(2000.0)
    core = day.processes["n6"].core
    assert (
        core is not None
        and core.wait_reason == "budget zones: zone z0: 1 of at most 1 are out; 1 before it"
    )
    day.until(lambda: core.wait_reason.endswith("of about 3 s each"), 10_000.0)
    day.until(lambda: all_back(day), 60_000.0)


def test_a_node_killed_while_it_drains_keeps_its_place() -> None:
    day = usual(7)
    watch = Watch(day)
    drain(day, "n0", "n3")
    day.until(lambda: watch.left == ["n0"])
    day.kill("n0")
    day.run(90_000.0)
    assert watch.left == ["n0"] and "n0" in day.state().permits
    day.boot("n0")  # by somebody else, long after
    day.until(lambda: watch.left == ["n0", "n3"], 30_000.0)


def test_the_same_name_twice_is_refused_while_the_first_serves() -> None:
    day = usual(8)
    twin = day.add("twin", "z0")
    twin.spec = twin.spec._replace(name="n0")
    day.processes["twin"] = twin
    life = day.processes["n0"].life
    day.processes["n0"].core, kept = None, day.processes["n0"].core
    assert kept is not None
    day.processes["n0"].core = kept
    # The twin's request, as its process would send it.
    held = day.state().members["n0"]
    answer = day.agreed("join", held._replace(process_id="other")[:9])
    assert "the name is taken" in answer
    assert day.state().members["n0"].process_id == f"{life:04d}"
    day.kill("n0")
    day.run(5000.0)
    assert day.agreed("join", held._replace(process_id="other")[:9])["agreed"]


def test_a_voter_comes_back_as_another_seat_and_a_majority_stays() -> None:
    day = usual(9)
    for name in sorted(
        day.voters
    ):  # one after the other: in the end nobody of the first seats is there
        day.kill(name)
        day.run(3000.0)
        day.boot(name)

        def seated() -> bool:
            leader = day.leader()
            core = day.processes[leader].core if leader else None
            return (
                isinstance(core, VoterNode)
                and len(core.voter.log.membership.voters) == 5
                and all(
                    f"{each}/{day.processes[each].life:04d}" in core.voter.log.membership.voters
                    for each in day.voters
                )
            )

        day.until(seated, 60_000.0)
    assert day.state().fleet == "day" and len(day.state().members) == 17


def test_a_fleet_founded_anew_counts_who_drains(monkeypatch: pytest.MonkeyPatch) -> None:
    """All voters end at once, and with them what was agreed: who drains still says so again."""
    monkeypatch.setattr(fleets, "DRAIN_MS", 60_000.0)
    day = usual(15)
    watch = Watch(day)
    drain(day, "n0")
    day.until(lambda: watch.left == ["n0"])
    for name in day.voters:
        day.kill(name)
    for name in day.voters:
        day.boot(name)
    day.until(lambda: bool(day.leader()) and len(day.state().members) == 17, 30_000.0)
    drain(day, "n3", key="again")
    day.run(10_000.0)
    assert watch.left == ["n0"] and day.state().is_unavailable(day.state().members["n0"])


def test_a_voter_drains_by_permit_and_hands_over_first() -> None:
    day = usual(10)
    leader = day.leader()
    drain(day, leader)
    gap = 0.0
    while day.processes[leader].life == 1:
        day.run(20.0)
        gap += 0.0 if day.leader() else 20.0
    day.until(lambda: all_back(day), 60_000.0)
    assert gap < 1000.0  # the shortest silence that would bring an election


def test_a_halt_at_a_node_stops_the_fleet_and_only_agreement_resumes_it() -> None:
    day = usual(11)
    watch = Watch(day)
    drain(day, *NODES)
    day.until(lambda: len(watch.left) == 2)
    day.ask("n7", "halt", "h", "op", "smoke")
    day.until(lambda: bool(day.state().halts), 5000.0)
    before = len(watch.left)
    day.run(20_000.0)
    assert len(watch.left) == before
    leader = day.leader()
    day.kill(leader)
    day.until(lambda: day.leader() not in ("", leader))
    day.run(10_000.0)
    assert day.state().halt_reason() and len(watch.left) == before  # it outlives its leader
    assert day.agreed("resume", "r", ("h",), "the smoke is gone", "op")["agreed"]
    day.boot(leader)
    day.until(lambda: len(watch.left) == 12 and all_back(day), 120_000.0)
    assert not watch.over


def test_two_operators_ask_at_once_by_two_voters() -> None:
    day = usual(12)
    watch = Watch(day)
    others = [name for name in sorted(day.voters) if name != day.leader()]
    first, second = (
        day.ask(others[0], "drain", "x", ("n0",), "k", "a"),
        day.ask(day.leader(), "drain", "y", ("n0",), "k", "b"),
    )
    day.run(1000.0)
    assert day.answers[first][0][0] == "NotLeader" and day.answers[second][0] is None
    drain(day, "n0", key="x")
    day.until(lambda: watch.left == ["n0"] and all_back(day), 60_000.0)
    day.run(10_000.0)
    assert watch.left == ["n0"]  # one drain, though two asked


def test_an_overloaded_member_counts_as_out() -> None:
    day = usual(13)
    watch = Watch(day)
    day.put("n0", "serve", True, True)
    day.until(lambda: day.state().members["n0"].failure == "overloaded", 10_000.0)
    drain(day, "n3")
    day.run(5000.0)
    assert watch.left == []
    day.put("n0", "serve", True, False)
    day.until(lambda: watch.left == ["n3"], 10_000.0)


def test_a_hundred_members_take_90_drains_asked_at_once() -> None:
    budgets = [
        Budget("zones", "zone", max_unavailable=10),
        Budget("all", "fleet", max_unavailable=30),
    ]
    day = usual(14, nodes=100, budgets=budgets)
    watch = Watch(day, 10, 30)
    for at in range(90):
        day.ask(day.leader(), "drain", f"d{at}", (f"n{at}",), "k", "op")
    took = day.until(lambda: len(watch.left) == 90 and all_back(day), 120_000.0)
    assert not watch.over and watch.most == 30
    assert took <= 3 * 3200.0 / 0.85


def test_the_first_voter_by_name_gets_a_seat_after_all_others_have_been_replaced() -> None:
    """Those who took seats later had never heard of the founding, called themselves fresh, and let its new
    life found a fleet of its own while nobody led.
    """
    day = usual(21, nodes=2, voters=3)

    def seated(name: str) -> bool:
        core = day.processes[day.leader()].core if day.leader() else None
        seat = f"{name}/{day.processes[name].life:04d}"
        return isinstance(core, VoterNode) and seat in core.voter.log.membership.voters

    replaced = {"v1"}
    while replaced < {"v1", "v2", "v3"} or day.leader() != "v1":
        name = next((each for each in ("v2", "v3") if each not in replaced), day.leader())
        replaced.add(name)
        day.kill(name)
        day.run(100.0)
        day.boot(name)
        day.until(partial(seated, name))
    day.kill("v1")
    day.run(100.0)
    day.boot("v1")
    day.until(partial(seated, "v1"))


def test_a_voter_is_in_service_only_once_it_has_a_seat() -> None:
    """Drained one after the other, each as soon as the one before is back: a majority of seats was lost while
    the first had a process and no seat.
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
