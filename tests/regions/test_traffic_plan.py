"""Guards against traffic without a route, overloaded zones and traffic shifts in too large steps.

Properties are checked for random fleets, and single cases by example.
"""

import random
from collections.abc import Mapping
from typing import cast

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.regions.traffic_plan import REJECTED, TrafficPlan, make_plan, planned_load
from pumicenotch.regions.transition import step_towards
from pumicenotch.regions.zones import Flow, InvalidTrafficPlanError, TrafficClass, Zone, ZoneState

TRAFFIC_CLASSES = [
    TrafficClass("bake", 1.0),
    TrafficClass("preview", 2.0),
    TrafficClass("submit", 6.0),
]
ROUNDING_TOLERANCE = 1e-3  # fractions in a plan have four decimal digits
DrawnFleet = tuple[list[Zone], dict[Flow, float], dict[tuple[str, str], float]]


@st.composite
def fleets(draw: st.DrawFn) -> DrawnFleet:
    count = draw(st.integers(2, 6))
    names = [f"z{number}" for number in range(count)]
    zones = [
        Zone(
            name,
            f"r{draw(st.integers(0, 1))}",
            draw(st.floats(0.0, 100.0)),
            draw(st.sampled_from(list(ZoneState))),
            draw(st.sampled_from([0.0, 0.1, 0.3])),
            draw(st.sampled_from([0.0, 0.5, 1.0])),
        )
        for name in names
    ]
    demand = {
        Flow(name, traffic_class.name): draw(st.floats(0.0, 60.0))
        for name in names
        for traffic_class in TRAFFIC_CLASSES
    }
    distance = {
        (a, b): draw(st.sampled_from([1.0, 5.0, 50.0])) for a in names for b in names if a < b
    }
    return zones, demand, distance


def equal_zones(load: float, **states: ZoneState) -> DrawnFleet:
    """Returns three equal zones of one region; each has `load` times its capacity as demand."""
    zones = [
        Zone(name, "r", 100.0, states.get(name, ZoneState.HEALTHY)) for name in ("a", "b", "c")
    ]
    fractions = {"bake": 0.3, "preview": 0.5, "submit": 0.2}
    demand = {
        Flow(zone.name, traffic_class): load * 100.0 * fraction
        for zone in zones
        for traffic_class, fraction in fractions.items()
    }
    return zones, demand, {}


def served_fraction(plan: TrafficPlan, demand: Mapping[Flow, float], origin: str) -> float:
    own = {flow: work for flow, work in demand.items() if flow.origin == origin}
    rejected = sum(plan.fractions(flow).get(REJECTED, 0.0) * work for flow, work in own.items())
    return 1.0 - rejected / sum(own.values())


@settings(deadline=None)
@given(fleets(), st.integers(0, 1000))
def test_all_traffic_has_a_route_and_no_zone_exceeds_its_capacity_or_reserve(
    fleet: DrawnFleet, seed: int
) -> None:
    zones, demand, distance = fleet
    plan = make_plan(1, zones, TRAFFIC_CLASSES, demand, distance)
    for key in demand:
        assert sum(plan.fractions(key).values()) == pytest.approx(1.0, abs=ROUNDING_TOLERANCE)
    load = planned_load(plan, demand)
    for zone in zones:
        usable = 0.0 if zone.state in (ZoneState.LOST, ZoneState.EVACUATED) else zone.capacity
        usable *= zone.ramp_fraction if zone.state == ZoneState.RECOVERING else 1.0
        own = sum(
            route.fraction * demand[route.flow]
            for route in plan.routes
            if route.target == zone.name == route.origin
        )
        foreign = load.get(zone.name, 0.0) - own
        slack = ROUNDING_TOLERANCE * (1.0 + sum(demand.values()))
        has_no_demand = sum(demand[key] for key in demand if key[0] == zone.name) < 1e-6
        assert has_no_demand or load.get(zone.name, 0.0) <= usable + slack
        assert foreign <= max(0.0, usable - zone.reserve_fraction * zone.capacity) + slack
        if zone.state in (ZoneState.DEGRADED, ZoneState.PARTITIONED):
            assert foreign <= slack, "must take no traffic of other zones"
    random.Random(seed).shuffle(zones)
    keys = list(demand)
    random.Random(seed).shuffle(keys)
    assert (
        make_plan(1, zones, TRAFFIC_CLASSES, {key: demand[key] for key in keys}, distance) == plan
    )


@settings(deadline=None)
@given(fleets())
def test_a_healthy_zone_serves_its_own_traffic_first(fleet: DrawnFleet) -> None:
    zones, demand, distance = fleet
    plan = make_plan(1, zones, TRAFFIC_CLASSES, demand, distance)
    for zone in zones:
        if zone.state != ZoneState.HEALTHY:
            continue
        own = sum(work for (origin, _), work in demand.items() if origin == zone.name)
        kept = sum(
            plan.fractions(Flow(zone.name, traffic_class.name)).get(zone.name, 0.0)
            * demand[Flow(zone.name, traffic_class.name)]
            for traffic_class in TRAFFIC_CLASSES
        )
        assert kept == pytest.approx(min(own, zone.capacity), abs=ROUNDING_TOLERANCE * (1.0 + own))


def test_all_traffic_is_served_in_its_origin_while_all_zones_are_healthy() -> None:
    zones, demand, distance = equal_zones(0.85)
    plan = make_plan(1, zones, TRAFFIC_CLASSES, demand, distance)
    assert all(route.origin == route.target for route in plan.routes)


def test_traffic_of_a_lost_zone_fails_over_by_weight_up_to_the_capacity() -> None:
    zones, demand, distance = equal_zones(0.85, a=ZoneState.LOST)
    plan = make_plan(1, zones, TRAFFIC_CLASSES, demand, distance)
    assert (
        plan.fractions(Flow("a", "submit")).keys() == {"b", "c"}
        or plan.fractions(Flow("a", "submit"))[REJECTED] > 0.0
    )
    assert served_fraction(plan, demand, "b") == served_fraction(plan, demand, "c") == 1.0
    assert (
        planned_load(plan, demand)["b"]
        == pytest.approx(90.0, abs=0.1)
        == planned_load(plan, demand)["c"]
    )
    assert plan.fractions(Flow("a", "bake")) == {REJECTED: 1.0} and plan.fractions(
        Flow("a", "preview")
    ) == {REJECTED: 1.0}
    assert plan.fractions(Flow("a", "submit"))["b"] == plan.fractions(Flow("a", "submit"))["c"], (
        "neither of two equal zones is preferred"
    )


def test_nothing_fails_over_while_all_zones_are_degraded() -> None:
    zones, demand, distance = equal_zones(
        1.2, a=ZoneState.DEGRADED, b=ZoneState.DEGRADED, c=ZoneState.DEGRADED
    )
    plan = make_plan(1, zones, TRAFFIC_CLASSES, demand, distance)
    assert {
        route.target for route in plan.routes if route.target not in (route.origin, REJECTED)
    } == set()


def test_nearer_zones_are_filled_first_and_unmeasured_distances_depend_on_the_region() -> None:
    zones = [
        Zone("a", "r1", 0.0, ZoneState.LOST),
        Zone("b", "r1", 50.0, reserve_fraction=0.0),
        Zone("c", "r2", 100.0, reserve_fraction=0.0),
    ]
    plan = make_plan(1, zones, TRAFFIC_CLASSES, {Flow("a", "submit"): 80.0}, {})
    assert plan.fractions(Flow("a", "submit")) == {"b": 0.625, "c": 0.375}
    plan = make_plan(1, zones, TRAFFIC_CLASSES, {Flow("a", "submit"): 80.0}, {("a", "c"): 0.5})
    assert plan.fractions(Flow("a", "submit")) == {"c": 1.0}


@settings(deadline=None, max_examples=60)
@given(fleets(), st.sampled_from([0.05, 0.2, 1.0]))
def test_steps_reach_the_goal_and_no_step_exceeds_the_limit_of_a_zone(
    fleet: DrawnFleet, max_step_fraction: float
) -> None:
    zones, demand, distance = fleet
    healthy_zones = [zone._replace(state=ZoneState.HEALTHY) for zone in zones]
    plan = make_plan(1, healthy_zones, TRAFFIC_CLASSES, demand, distance)
    goal = make_plan(2, zones, TRAFFIC_CLASSES, demand, distance)
    capacities = {zone.name: zone.capacity for zone in zones}
    for _ in range(200):
        before, plan = plan, step_towards(plan, goal, zones, demand, max_step_fraction)
        for key in demand:
            assert sum(plan.fractions(key).values()) == pytest.approx(1.0, abs=ROUNDING_TOLERANCE)
        old_load, new_load = planned_load(before, demand), planned_load(plan, demand)
        for name, capacity in capacities.items():
            slack = ROUNDING_TOLERANCE * (1.0 + sum(demand.values()))
            assert (
                new_load.get(name, 0.0) - old_load.get(name, 0.0)
                <= max_step_fraction * capacity + slack
            )
        for zone in zones:
            if zone.state in (ZoneState.LOST, ZoneState.EVACUATED):
                assert not [
                    route
                    for route in plan.routes
                    if route.target == zone.name and route not in goal.routes
                ]
        if plan == before:
            break
    for key in demand:
        actual, expected = plan.fractions(key), goal.fractions(key)
        difference = max(
            abs(actual.get(target, 0.0) - expected.get(target, 0.0))
            for target in {*actual, *expected}
        )
        assert difference <= 0.01 or not any(capacities.values()), (key, actual, expected)


@pytest.mark.parametrize(
    ("zones", "demand", "pattern"),
    [
        ([Zone("a", "r", 1.0), Zone("a", "r", 1.0)], {}, "listed twice"),
        (
            [Zone("a", "r", 1.0, cast(ZoneState, "odd"))],
            {},
            "state 'odd'; allowed states: well, weak",
        ),
        ([Zone("a", "r", -1.0)], {}, "capacity -1"),
        ([Zone("a", "r", 1.0)], {Flow("a", "none"): 1.0}, "'none'; known classes: bake"),
    ],
)
def test_invalid_inputs_are_rejected_with_the_invalid_value(
    zones: list[Zone], demand: dict[Flow, float], pattern: str
) -> None:
    with pytest.raises(InvalidTrafficPlanError, match=pattern):
        make_plan(1, zones, TRAFFIC_CLASSES, demand, {})
