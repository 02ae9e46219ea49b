"""Plans of traffic between zones, and what is found of the zones, for drawn inputs.

The golden file was made by the code of commit ab8f5d8; the same inputs must give the same plans.
"""

import random

from pumicenotch.regions.traffic_plan import TrafficPlan, make_plan
from pumicenotch.regions.transition import step_towards
from pumicenotch.regions.zone_health import ZoneHealthMonitor, ZoneReport, ZoneView
from pumicenotch.regions.zones import Flow, TrafficClass, Zone, ZoneState
from tests.compatibility.golden_files import golden_json

TRAFFIC_CLASSES = [
    TrafficClass("bake", 1.0),
    TrafficClass("preview", 2.0),
    TrafficClass("submit", 6.0),
]
MAX_STEP_FRACTION = 0.2
PLAN_SEEDS = range(12)
ZONES = "abc"


def rows(plan: TrafficPlan) -> list[list[object]]:
    return [list(route) for route in plan.routes]


def planned(seed: int) -> dict[str, object]:
    """The plan for a drawn fleet, and the first step to it from the plan where all zones are well."""
    rng = random.Random(seed)
    names = [f"z{number}" for number in range(rng.randint(2, 6))]
    zones = [
        Zone(
            name,
            f"r{rng.randrange(2)}",
            rng.uniform(0.0, 100.0),
            rng.choice(list(ZoneState)),
            rng.choice([0.0, 0.1, 0.3]),
            rng.choice([0.0, 0.5, 1.0]),
        )
        for name in names
    ]
    demand = {
        Flow(name, each.name): rng.uniform(0.0, 60.0) for name in names for each in TRAFFIC_CLASSES
    }
    distance = {(a, b): rng.choice([1.0, 5.0, 50.0]) for a in names for b in names if a < b}
    plan = make_plan(2, zones, TRAFFIC_CLASSES, demand, distance)
    before = make_plan(
        1,
        [zone._replace(state=ZoneState.HEALTHY) for zone in zones],
        TRAFFIC_CLASSES,
        demand,
        distance,
    )
    step = step_towards(before, plan, zones, demand, MAX_STEP_FRACTION)
    return {"plan": rows(plan), "step": rows(step)}


def found(seed: int) -> list[list[object]]:
    """What is found of three zones in five minutes of drawn losses, cuts and failures."""
    rng = random.Random(seed)
    observers = {f"{zone}{number}": zone for zone in ZONES for number in range(2)}
    monitor = ZoneHealthMonitor(observers, 0.0)
    alive = dict.fromkeys(ZONES, 10)
    served = dict.fromkeys(ZONES, 1.0)
    silent: set[str] = set()
    changes: list[list[object]] = []
    for step in range(600):
        now = 500.0 * (step + 1)
        if step % 30 == 0:
            zone = rng.choice(ZONES)
            alive[zone] = rng.choice([0, 10, 10])
            served[zone] = rng.choice([0.1, 1.0, 1.0])
            silent = {zone} if rng.random() < 0.5 else set()
            monitor.evacuate(now, rng.choice(ZONES), rng.choice(["", "", "maintenance"]))
        for observer in observers:
            monitor.on_observer_report(
                now, observer, {zone: ZoneView(alive[zone], 10) for zone in ZONES}
            )
        for zone in ZONES:
            if zone not in silent:
                monitor.on_zone_report(now, zone, ZoneReport(100.0, 100.0 * served[zone]))
        changes += [
            [now, change.zone, str(change.state), change.ramp_fraction]
            for change in monitor.update(now)
        ]
    return changes


def test_drawn_fleets_get_the_plans_they_got() -> None:
    expected = golden_json("regions/plans.json")
    assert {str(seed): planned(seed) for seed in PLAN_SEEDS} == expected


def test_drawn_faults_are_found_as_they_were() -> None:
    """All but the reason, which is a text for people."""
    expected = [finding[:-1] for finding in golden_json("regions/findings.json")]
    assert found(1) == expected
