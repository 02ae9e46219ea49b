"""The plan of which fraction of each zone's traffic is served where.

A zone serves its own traffic first. What it cannot serve goes to the nearest zones that have
capacity beyond their own traffic and their reserve, the classes of highest weight first. What fits
nowhere is rejected in the zone where it arrives. Loads are in work a second, since classes share
the same cores.

The same zones and demand give the same plan on whichever process computes it: the order is by
weight, distance and name alone, and zones at the same distance share in proportion. It is a greedy
allocation; `benchmarks/regions.py` compares it with the optimum of the linear program.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pumicenotch.regions.zones import (
    Demand,
    Distances,
    Flow,
    TrafficClass,
    Zone,
    check,
    distance_ms,
)

REJECTED = ""  # the target of traffic that is served nowhere
FRACTION_DIGITS = (
    4  # finer than any zone's load is known; equal fractions come out equal everywhere
)
NEGLIGIBLE_WORK = 1e-9  # work a second: what rounding leaves


class Route(NamedTuple):
    """The fraction of a flow that one target serves."""

    origin: str
    traffic_class: str
    target: str  # a zone, or REJECTED
    fraction: float

    @property
    def flow(self) -> Flow:
        """The flow of which this is a part."""
        return Flow(self.origin, self.traffic_class)


class TrafficPlan(NamedTuple):
    """All routes in force, as of one epoch."""

    epoch: int = 0
    routes: tuple[Route, ...] = ()

    def fractions(self, flow: Flow) -> dict[str, float]:
        """The fraction of that flow by target."""
        return {route.target: route.fraction for route in self.routes if route.flow == flow}


class Allocation:
    """Capacity and demand as they are used up while a plan is made."""

    def __init__(
        self,
        zones: list[Zone],
        traffic_classes: list[TrafficClass],
        demand: Demand,
        distances: Distances,
    ) -> None:
        check(zones, traffic_classes, demand)
        self.zones = {zone.name: zone for zone in sorted(zones)}
        self.distances = distances
        self.unplaced = {
            flow: work for flow, work in sorted(demand.items()) if work > NEGLIGIBLE_WORK
        }
        self.free_capacity = {name: zone.usable_capacity for name, zone in self.zones.items()}
        self.placed: dict[Flow, dict[str, float]] = {}
        by_weight = sorted(traffic_classes, key=lambda each: (-each.weight, each.name))
        for traffic_class in by_weight:
            self.place_at_home(traffic_class.name)
        self.withhold_reserves()
        for traffic_class in by_weight:
            for distance in self.failover_distances(traffic_class.name):
                self.place_at_distance(traffic_class.name, distance)

    def place(self, flow: Flow, target: str, work: float) -> None:
        """Gives that much of a flow to a target."""
        by_target = self.placed.setdefault(flow, {})
        by_target[target] = by_target.get(target, 0.0) + work
        self.unplaced[flow] -= work
        self.free_capacity[target] -= work

    def place_at_home(self, traffic_class: str) -> None:
        """Each zone serves what it can of its own traffic of that class."""
        for name in self.zones:
            flow = Flow(name, traffic_class)
            work = min(self.unplaced.get(flow, 0.0), self.free_capacity[name])
            if work:
                self.place(flow, name, work)

    def withhold_reserves(self) -> None:
        """Leaves only the capacity that other zones' traffic may use."""
        for name, zone in self.zones.items():
            free = self.free_capacity[name]
            withheld = zone.reserve_fraction * zone.capacity if zone.accepts_failover else free
            self.free_capacity[name] = max(0.0, free - withheld)

    def failover_distances(self, traffic_class: str) -> list[float]:
        """The distances at which traffic of that class could find capacity, nearest first."""
        origins = [
            flow.origin
            for flow, work in self.unplaced.items()
            if flow.traffic_class == traffic_class and work > NEGLIGIBLE_WORK
        ]
        targets = [name for name, free in self.free_capacity.items() if free > NEGLIGIBLE_WORK]
        return sorted(
            {
                self.distance_ms(origin, target)
                for origin in origins
                for target in targets
                if origin != target
            }
        )

    def distance_ms(self, origin: str, target: str) -> float:
        """The distance between two zones."""
        return distance_ms(self.zones, self.distances, origin, target)

    def place_at_distance(self, traffic_class: str, distance: float) -> None:
        """Places traffic between all pairs of zones at that distance.

        In each round each origin asks its targets in proportion to their free capacity, and a
        target that is asked for too much gives all the same fraction. What is refused asks again
        among the others.
        """
        for _ in range(len(self.zones) + 1):
            requests = self.requests_by_target(traffic_class, distance)
            if not requests:
                return
            for target, wanted in requests.items():
                granted = min(1.0, self.free_capacity[target] / sum(wanted.values()))
                for flow, work in wanted.items():
                    self.place(flow, target, work * granted)

    def requests_by_target(
        self, traffic_class: str, distance: float
    ) -> dict[str, dict[Flow, float]]:
        """What each target is asked for in one round: work by flow."""
        requests: dict[str, dict[Flow, float]] = {}
        for flow, work in self.unplaced.items():
            if flow.traffic_class != traffic_class or work <= NEGLIGIBLE_WORK:
                continue
            candidates = {
                target: free
                for target, free in self.free_capacity.items()
                if free > NEGLIGIBLE_WORK
                and target != flow.origin
                and self.distance_ms(flow.origin, target) == distance
            }
            total_free = sum(candidates.values())
            for target, free in candidates.items():
                requests.setdefault(target, {})[flow] = work * free / total_free
        return requests

    def routes(self, flow: Flow, work: float) -> list[Route]:
        """The routes of one flow, with what is rejected of it."""
        if work <= NEGLIGIBLE_WORK:
            return [Route(*flow, flow.origin, 1.0)]  # whatever does arrive is served at home
        fractions = {
            target: round(placed / work, FRACTION_DIGITS)
            for target, placed in self.placed.get(flow, {}).items()
        }
        routes = [
            Route(*flow, target, fraction)
            for target, fraction in sorted(fractions.items())
            if fraction > 0.0
        ]
        rejected = round(1.0 - sum(fractions.values()), FRACTION_DIGITS)
        return [*routes, Route(*flow, REJECTED, rejected)] if rejected > 0.0 else routes


def make_plan(
    epoch: int,
    zones: Iterable[Zone],
    traffic_classes: Iterable[TrafficClass],
    demand: Demand,
    distances: Distances,
) -> TrafficPlan:
    """The plan for the present zones and demand.

    Raises:
        InvalidTrafficPlanError: No plan can be made of these inputs.
    """
    typed_demand = {Flow(*flow): work for flow, work in demand.items()}
    allocation = Allocation(list(zones), list(traffic_classes), typed_demand, distances)
    routes = [
        route
        for flow, work in sorted(typed_demand.items())
        for route in allocation.routes(flow, work)
    ]
    return TrafficPlan(epoch, tuple(routes))


def planned_load(plan: TrafficPlan, demand: Demand) -> dict[str, float]:
    """Work a second that each target is to take."""
    load: dict[str, float] = {}
    for route in plan.routes:
        work = route.fraction * demand.get(route.flow, 0.0)
        load[route.target] = load.get(route.target, 0.0) + work
    return load
