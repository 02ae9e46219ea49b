"""The plan of which traffic goes where: properties over drawn fleets, and the cases by name."""

import random
from collections.abc import Mapping

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.regions.judge import Judge, Seen
from pumicenotch.regions.plan import (
    CUT,
    EMPTIED,
    LOST,
    REJECTED,
    RETURNING,
    STATES,
    WEAK,
    WELL,
    InvalidRegionPlanError,
    Kind,
    Plan,
    Zone,
    fill,
    promised,
    towards,
)

KINDS = [Kind("bake", 1.0), Kind("preview", 2.0), Kind("submit", 6.0)]
ROUNDED = 1e-3  # of what a plan promises: parts have four places
Fleet = tuple[list[Zone], dict[tuple[str, str], float], dict[tuple[str, str], float]]


@st.composite
def fleets(draw: st.DrawFn) -> Fleet:
    many = draw(st.integers(2, 6))
    names = [f"z{at}" for at in range(many)]
    zones = [
        Zone(
            name,
            f"r{draw(st.integers(0, 1))}",
            draw(st.floats(0.0, 100.0)),
            draw(st.sampled_from(STATES)),
            draw(st.sampled_from([0.0, 0.1, 0.3])),
            draw(st.sampled_from([0.0, 0.5, 1.0])),
        )
        for name in names
    ]
    demand = {(name, kind.name): draw(st.floats(0.0, 60.0)) for name in names for kind in KINDS}
    distance = {
        (a, b): draw(st.sampled_from([1.0, 5.0, 50.0])) for a in names for b in names if a < b
    }
    return zones, demand, distance


def even(load: float, **states: str) -> Fleet:
    """Three zones of one region, alike, each with that load of its own."""
    zones = [Zone(name, "r", 100.0, states.get(name, WELL)) for name in ("a", "b", "c")]
    parts = {"bake": 0.3, "preview": 0.5, "submit": 0.2}
    demand = {
        (zone.name, kind): load * 100.0 * part for zone in zones for kind, part in parts.items()
    }
    return zones, demand, {}


def served(plan: Plan, demand: Mapping[tuple[str, str], float], origin: str) -> float:
    work = {kind: many for (its, kind), many in demand.items() if its == origin}
    rejected = sum(
        plan.parts(origin, kind).get(REJECTED, 0.0) * many for kind, many in work.items()
    )
    return 1.0 - rejected / sum(work.values())


@settings(deadline=None)
@given(fleets(), st.integers(0, 1000))
def test_every_part_goes_somewhere_and_none_takes_over_its_room_or_reserve(
    fleet: Fleet, seed: int
) -> None:
    zones, demand, distance = fleet
    plan = fill(1, zones, KINDS, demand, distance)
    for key in demand:
        assert sum(plan.parts(*key).values()) == pytest.approx(1.0, abs=ROUNDED)
    whole = promised(plan, demand)
    for zone in zones:
        usable = 0.0 if zone.state in (LOST, EMPTIED) else zone.room
        usable *= zone.warm if zone.state == RETURNING else 1.0
        own = sum(
            way.part * demand[way.origin, way.kind]
            for way in plan.ways
            if way.target == zone.name == way.origin
        )
        foreign = whole.get(zone.name, 0.0) - own
        slack = ROUNDED * (1.0 + sum(demand.values()))
        nobody_comes = sum(demand[key] for key in demand if key[0] == zone.name) < 1e-6
        assert nobody_comes or whole.get(zone.name, 0.0) <= usable + slack
        assert foreign <= max(0.0, usable - zone.reserve * zone.room) + slack
        if zone.state in (WEAK, CUT):
            assert foreign <= slack, "takes nothing from others"
    random.Random(seed).shuffle(zones)
    keys = list(demand)
    random.Random(seed).shuffle(keys)
    assert fill(1, zones, KINDS, {key: demand[key] for key in keys}, distance) == plan


@settings(deadline=None)
@given(fleets())
def test_no_zones_own_is_turned_away_for_others(fleet: Fleet) -> None:
    zones, demand, distance = fleet
    plan = fill(1, zones, KINDS, demand, distance)
    for zone in zones:
        if zone.state != WELL:
            continue
        own = sum(work for (origin, _), work in demand.items() if origin == zone.name)
        kept = sum(
            plan.parts(zone.name, kind.name).get(zone.name, 0.0) * demand[zone.name, kind.name]
            for kind in KINDS
        )
        assert kept == pytest.approx(min(own, zone.room), abs=ROUNDED * (1.0 + own))


def test_all_stays_near_while_all_is_well() -> None:
    zones, demand, distance = even(0.85)
    plan = fill(1, zones, KINDS, demand, distance)
    assert all(way.origin == way.target for way in plan.ways)


def test_a_zone_lost_at_85_percent_goes_over_as_far_as_there_is_room_the_worthiest_first() -> None:
    zones, demand, distance = even(0.85, a=LOST)
    plan = fill(1, zones, KINDS, demand, distance)
    assert (
        plan.parts("a", "submit").keys() == {"b", "c"} or plan.parts("a", "submit")[REJECTED] > 0.0
    )
    assert served(plan, demand, "b") == served(plan, demand, "c") == 1.0
    assert (
        promised(plan, demand)["b"] == pytest.approx(90.0, abs=0.1) == promised(plan, demand)["c"]
    )
    assert plan.parts("a", "bake") == {REJECTED: 1.0} and plan.parts("a", "preview") == {
        REJECTED: 1.0
    }
    assert plan.parts("a", "submit")["b"] == plan.parts("a", "submit")["c"], "neither is preferred"


def test_what_is_slow_everywhere_goes_nowhere() -> None:
    zones, demand, distance = even(1.2, a=WEAK, b=WEAK, c=WEAK)
    plan = fill(1, zones, KINDS, demand, distance)
    assert {way.target for way in plan.ways if way.target not in (way.origin, REJECTED)} == set()


def test_the_near_are_filled_before_the_far_and_regions_are_near_where_nobody_measured() -> None:
    zones = [
        Zone("a", "r1", 0.0, LOST),
        Zone("b", "r1", 50.0, reserve=0.0),
        Zone("c", "r2", 100.0, reserve=0.0),
    ]
    plan = fill(1, zones, KINDS, {("a", "submit"): 80.0}, {})
    assert plan.parts("a", "submit") == {"b": 0.625, "c": 0.375}
    plan = fill(1, zones, KINDS, {("a", "submit"): 80.0}, {("a", "c"): 0.5})
    assert plan.parts("a", "submit") == {"c": 1.0}


@settings(deadline=None, max_examples=60)
@given(fleets(), st.sampled_from([0.05, 0.2, 1.0]))
def test_steps_lead_to_the_plan_and_no_step_loads_a_zone_by_more_than_its_part(
    fleet: Fleet, most: float
) -> None:
    zones, demand, distance = fleet
    well = [zone._replace(state=WELL) for zone in zones]
    held = fill(1, well, KINDS, demand, distance)
    new = fill(2, zones, KINDS, demand, distance)
    rooms = {zone.name: zone.room for zone in zones}
    for _ in range(200):
        before, held = held, towards(held, new, zones, demand, most)
        for key in demand:
            assert sum(held.parts(*key).values()) == pytest.approx(1.0, abs=ROUNDED)
        was, now = promised(before, demand), promised(held, demand)
        for name, room in rooms.items():
            slack = ROUNDED * (1.0 + sum(demand.values()))
            assert now.get(name, 0.0) - was.get(name, 0.0) <= most * room + slack
        for zone in zones:
            if zone.state in (LOST, EMPTIED):
                assert not [
                    way for way in held.ways if way.target == zone.name and way not in new.ways
                ]
        if held == before:
            break
    for key in demand:
        was, will = held.parts(*key), new.parts(*key)
        off = max(abs(was.get(one, 0.0) - will.get(one, 0.0)) for one in {*was, *will})
        assert off <= 0.01 or not any(rooms.values()), (key, was, will)


@pytest.mark.parametrize(
    ("zones", "demand", "word"),
    [
        ([Zone("a", "r", 1.0), Zone("a", "r", 1.0)], {}, "stands twice"),
        ([Zone("a", "r", 1.0, "odd")], {}, "state 'odd'; allowed: well, weak"),
        ([Zone("a", "r", -1.0)], {}, "room -1"),
        ([Zone("a", "r", 1.0)], {("a", "none"): 1.0}, "'none'; known: bake"),
    ],
)
def test_what_no_plan_can_be_made_of_is_refused_by_name(
    zones: list[Zone], demand: dict[tuple[str, str], float], word: str
) -> None:
    with pytest.raises(InvalidRegionPlanError, match=word):
        fill(1, zones, KINDS, demand, {})


# Judging


class Sky:
    """Three zones with ten members and two observers each; `sees` is what an observer of a zone reaches of
    another.
    """

    def __init__(self) -> None:
        self.now = 0.0
        observers = {f"{zone}{at}": zone for zone in "abc" for at in range(2)}
        self.judge = Judge(observers, 0.0)
        self.sees = {(one, zone): 10 for one in observers for zone in "abc"}
        self.silent: set[str] = set()  # observers, or zones whose members are not heard
        self.work = dict.fromkeys("abc", 1.0)  # part of the tasks served well
        self.found: list[tuple[float, str, str]] = []

    def run(self, for_s: float) -> None:
        until = self.now + 1000.0 * for_s
        while self.now < until:
            self.now += 500.0
            for one in self.judge.observers:
                if one not in self.silent:
                    self.judge.seen(
                        self.now, one, {zone: Seen(self.sees[one, zone], 10) for zone in "abc"}
                    )
            for zone, part in self.work.items():
                if zone not in self.silent:
                    self.judge.spoke(self.now, zone, 100.0, 100.0 * part)
            self.found += [(self.now, each.zone, each.state) for each in self.judge.look(self.now)]

    def reach(self, zone: str, alive: int, of: str = "abc") -> None:
        """So many of that zone's members are reached by the observers of those zones."""
        for one, place in self.judge.observers.items():
            if place in of and place != zone:
                self.sees[one, zone] = alive

    def states(self) -> list[str]:
        return [self.judge.of(zone).state for zone in "abc"]


def test_a_zone_lost_is_found_in_three_seconds_and_returns_in_steps_within_fifteen() -> None:
    sky = Sky()
    sky.run(10.0)
    assert not sky.found
    sky.reach("a", 0)
    sky.silent.add("a")
    sky.run(10.0)
    when = sky.found[0]
    assert (
        when[1:] == ("a", LOST)
        and when[0] <= 10_000.0 + 3000.0 + Judge.LASTS_MS
        and len(sky.found) == 1
    )
    sky.reach("a", 10)
    sky.silent.clear()
    back = sky.now
    sky.run(15.0)
    assert [each[2] for each in sky.found[1:]] == [RETURNING, RETURNING, WELL]
    assert sky.found[-1][0] - back <= 15_000.0


def test_a_zone_that_speaks_and_cannot_be_reached_is_cut_and_not_lost() -> None:
    sky = Sky()
    sky.reach("a", 1)
    sky.run(10.0)
    assert sky.states() == [CUT, WELL, WELL]


def test_one_that_answers_and_serves_nothing_is_weak_and_slowness_everywhere_is_not() -> None:
    sky = Sky()
    sky.work["b"] = 0.05
    sky.run(10.0)
    assert sky.states() == [WELL, WEAK, WELL]
    sky = Sky()
    sky.work = dict.fromkeys("abc", 0.05)
    sky.run(30.0)
    assert not sky.found


def test_observers_that_reach_nobody_say_nothing_and_half_of_them_change_nothing() -> None:
    sky = Sky()
    for zone in "bc":  # the observers of a lie low: all looks dead from there
        sky.reach(zone, 0, of="a")
    sky.run(30.0)
    assert not sky.found
    for zone in "ac":  # and those of b too
        sky.reach(zone, 0, of="b")
    sky.run(30.0)
    assert not sky.found, "with less than a majority nothing is known"


def test_one_observer_or_a_moment_is_not_enough() -> None:
    sky = Sky()
    sky.sees["b0", "a"] = 0
    sky.run(10.0)
    sky.reach("a", 0)
    sky.run(1.5)
    sky.reach("a", 10)
    sky.run(10.0)
    assert not sky.found


def test_a_zone_that_flaps_every_ten_seconds_stays_out_ever_longer() -> None:
    sky = Sky()
    for _ in range(30):  # ten minutes
        sky.reach("a", 0)
        sky.silent.add("a")
        sky.run(10.0)
        sky.reach("a", 10)
        sky.silent.clear()
        sky.run(10.0)
    downs = [when for when, _, state in sky.found if state == LOST]
    assert len(downs) <= 6, "thirty losses, and its traffic moved a few times"
    sky.run(150.0)
    assert sky.states() == [WELL, WELL, WELL]


def test_what_an_operator_empties_is_empty_at_once_and_returns_by_steps() -> None:
    sky = Sky()
    sky.run(1.0)
    sky.judge.empty(sky.now, "c", "maintenance")
    sky.run(0.5)
    assert sky.states() == [WELL, WELL, EMPTIED]
    sky.judge.empty(sky.now, "c", "")
    sky.run(14.0)
    assert sky.states() == [WELL, WELL, WELL]
