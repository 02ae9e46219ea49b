"""The greedy plan against the optimum, by drawn fleets: `pip install 'pumicenotch[bench]'`, then `python -m
benchmarks.regions`. The optimum is of two linear programs (HiGHS by scipy): first the most worth that can be
served, then, of all plans that serve it, the one that carries least work far.
"""

import argparse
import json
import time
from statistics import quantiles

import numpy as np
from scipy.optimize import linprog

from pumicenotch.regions.traffic_plan import REJECTED, make_plan
from pumicenotch.regions.zones import Flow, TrafficClass, Zone, ZoneState, distance_ms

TRAFFIC_CLASSES = [
    TrafficClass("bake", 1.0),
    TrafficClass("preview", 2.0),
    TrafficClass("submit", 6.0),
]
PARTS = {"bake": 0.3, "preview": 0.5, "submit": 0.2}


def drawn(seed: int, regions: int, zones: int) -> tuple[list[Zone], dict[Flow, float]]:
    """Zones that differ, one or two of them lost, at loads of 40 to 100% of their own."""
    chance = np.random.default_rng(seed)
    made = [
        Zone(f"z{at}", f"r{at % regions}", float(chance.uniform(50.0, 150.0)))
        for at in range(zones)
    ]
    for at in chance.choice(zones, int(chance.integers(1, 3)), replace=False):
        made[at] = made[at]._replace(state=ZoneState.LOST)
    demand = {
        Flow(zone.name, kind): zone.capacity * float(chance.uniform(0.4, 1.0)) * part
        for zone in made
        for kind, part in PARTS.items()
    }
    return made, demand


def optimum(zones: list[Zone], demand: dict[Flow, float]) -> tuple[float, float]:
    """The worth served, and the work times distance that it takes at the least."""
    held = {zone.name: zone for zone in zones}
    worth = {kind.name: kind.weight for kind in TRAFFIC_CLASSES}
    pairs = [
        (origin, kind, zone.name)
        for origin, kind in demand
        for zone in zones
        if zone.state == ZoneState.HEALTHY
    ]
    keys, names = list(demand), [zone.name for zone in zones if zone.state == ZoneState.HEALTHY]
    rows = np.zeros((len(keys) + 2 * len(names), len(pairs)))
    limits = np.zeros(len(rows))
    for at, key in enumerate(keys):
        rows[at] = [pair[:2] == key for pair in pairs]
        limits[at] = demand[key]
    for at, name in enumerate(names):
        rows[len(keys) + at] = [pair[2] == name for pair in pairs]
        limits[len(keys) + at] = held[name].capacity
        rows[len(keys) + len(names) + at] = [pair[2] == name != pair[0] for pair in pairs]
        own = sum(work for (origin, _), work in demand.items() if origin == name)
        limits[len(keys) + len(names) + at] = max(
            0.0, held[name].capacity * (1.0 - held[name].reserve_fraction) - own
        )
    gain = np.array([worth[pair[1]] for pair in pairs])
    best = linprog(-gain, rows, limits, method="highs")
    cost = np.array([distance_ms(held, {}, pair[0], pair[2]) for pair in pairs])
    floor = np.vstack([rows, -gain]), np.append(limits, best.fun * (1.0 - 1e-7))
    near = linprog(cost, *floor, method="highs")
    return -float(best.fun), float(near.fun)


def measure(seed: int, regions: int, zones: int) -> dict[str, float]:
    made, demand = drawn(seed, regions, zones)
    began = time.perf_counter()
    plan = make_plan(1, made, TRAFFIC_CLASSES, demand, {})
    took = (time.perf_counter() - began) * 1000.0
    held = {zone.name: zone for zone in made}
    worth = {kind.name: kind.weight for kind in TRAFFIC_CLASSES}
    served = carried = 0.0
    for route in plan.routes:
        if route.target != REJECTED:
            work = route.fraction * demand[route.flow]
            served += work * worth[route.traffic_class]
            carried += work * distance_ms(held, {}, route.origin, route.target)
    best, near = optimum(made, demand)
    return {
        "worth": served / best,
        "carried": carried / near if near > 1e-6 else 1.0,
        "ms": took,
        "ways": float(len(plan.routes)),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fleets", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    for regions, zones in ((1, 3), (3, 9), (3, 30)):
        found = [measure(told.seed + at, regions, zones) for at in range(told.fleets)]
        line: dict[str, float] = {
            "regions": regions,
            "zones": zones,
            "fleets": told.fleets,
            "seed": told.seed,
        }
        for name in ("worth", "carried", "ms", "ways"):
            cuts = quantiles([each[name] for each in found], n=100)
            line |= {
                f"{name}_p50": round(cuts[49], 4),
                f"{name}_p99": round(cuts[98], 4),
                f"{name}_p1": round(cuts[0], 4),
            }
        print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
