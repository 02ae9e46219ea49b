"""Computes the traffic plan: which fraction of each zone's traffic is served in which zone.

A zone serves its own traffic first. Traffic beyond its capacity fails over to the nearest zones
with capacity beyond their own traffic and their reserve, the classes of highest weight first.
Traffic for which no zone has capacity is rejected in the zone where it arrives. Loads are measured
in work per second, because the classes share the same cores.

Every process computes the same plan from the same zones and demand: the allocation depends only on
weights, distances and names, and zones at the same distance receive traffic in proportion to their
free capacity. The allocation is greedy; `benchmarks/regions.py` compares it with the optimum of the
linear program.
"""

from collections.abc import Iterable
from typing import NamedTuple

from pumicenotch.regions.zones import (
    Demand,
    Distances,
    Flow,
    TrafficClass,
    Zone,
    check_inputs,
    distance_ms,
)

REJECTED = ""  # the target of traffic that no zone serves
# Decimal digits of a fraction: finer than any zone's load is known. Rounding makes equal fractions
# compare equal on every process.
FRACTION_DIGITS = 4
NEGLIGIBLE_WORK = 1e-9  # work per second, below which a remainder is a rounding error


class Route(NamedTuple):
    """The fraction of a flow that is sent to one target."""

    origin: str
    traffic_class: str
    target: str  # the name of a zone, or REJECTED
    fraction: float

    @property
    def flow(self) -> Flow:
        """The flow that this route belongs to."""
        return Flow(self.origin, self.traffic_class)


class TrafficPlan(NamedTuple):
    """The routes of all flows in one epoch."""

    epoch: int = 0
    routes: tuple[Route, ...] = ()

    def fractions(self, flow: Flow) -> dict[str, float]:
        """Returns the fractions of a flow by target."""
        return {route.target: route.fraction for route in self.routes if route.flow == flow}


class Allocation:
    """The remaining capacity and demand while a plan is computed.

    The constructor performs the whole allocation.

    Args:
        zones: The zones.
        traffic_classes: The classes of requests.
        demand: The work per second of each flow.
        distances: The measured distances between zones.

    Attributes:
        unassigned: The work per second of each flow that has no target yet.
        free_capacity: The work per second that each zone can still take.
        assigned: The work per second of each flow by target.

    Raises:
        InvalidTrafficPlanError: The inputs are invalid.
    """

    def __init__(
        self,
        zones: list[Zone],
        traffic_classes: list[TrafficClass],
        demand: Demand,
        distances: Distances,
    ) -> None:
        check_inputs(zones, traffic_classes, demand)
        self.zones = {zone.name: zone for zone in sorted(zones)}
        self.distances = distances
        self.unassigned = {
            flow: work for flow, work in sorted(demand.items()) if work > NEGLIGIBLE_WORK
        }
        self.free_capacity = {name: zone.usable_capacity for name, zone in self.zones.items()}
        self.assigned: dict[Flow, dict[str, float]] = {}
        classes_by_weight = sorted(traffic_classes, key=lambda item: (-item.weight, item.name))
        for traffic_class in classes_by_weight:
            self.assign_to_origin(traffic_class.name)
        self.withhold_reserves()
        for traffic_class in classes_by_weight:
            for distance in self.failover_distances(traffic_class.name):
                self.assign_at_distance(traffic_class.name, distance)

    def assign(self, flow: Flow, target: str, work: float) -> None:
        """Assigns an amount of a flow's work to a target."""
        work_by_target = self.assigned.setdefault(flow, {})
        work_by_target[target] = work_by_target.get(target, 0.0) + work
        self.unassigned[flow] -= work
        self.free_capacity[target] -= work

    def assign_to_origin(self, traffic_class: str) -> None:
        """Assigns traffic of a class to the zones where it arrives, up to their capacity."""
        for name in self.zones:
            flow = Flow(name, traffic_class)
            work = min(self.unassigned.get(flow, 0.0), self.free_capacity[name])
            if work:
                self.assign(flow, name, work)

    def withhold_reserves(self) -> None:
        """Reduces the free capacity to what traffic of other zones may use."""
        for name, zone in self.zones.items():
            free = self.free_capacity[name]
            withheld = zone.reserve_fraction * zone.capacity if zone.accepts_failover else free
            self.free_capacity[name] = max(0.0, free - withheld)

    def failover_distances(self, traffic_class: str) -> list[float]:
        """Returns the distances from unassigned traffic of a class to free capacity, ascending."""
        origins = [
            flow.origin
            for flow, work in self.unassigned.items()
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
        """Returns the distance between two zones in ms."""
        return distance_ms(self.zones, self.distances, origin, target)

    def assign_at_distance(self, traffic_class: str, distance: float) -> None:
        """Assigns traffic of a class between all pairs of zones at a distance.

        In each round, every origin requests capacity of its targets in proportion to their free
        capacity. A target with more requests than capacity grants the same fraction of each. The
        remaining work requests capacity of the other targets in the next round.
        """
        for _ in range(len(self.zones) + 1):
            requests = self.requests_by_target(traffic_class, distance)
            if not requests:
                return
            for target, requested in requests.items():
                granted_fraction = min(1.0, self.free_capacity[target] / sum(requested.values()))
                for flow, work in requested.items():
                    self.assign(flow, target, work * granted_fraction)

    def requests_by_target(
        self, traffic_class: str, distance: float
    ) -> dict[str, dict[Flow, float]]:
        """Returns the work that is requested of each target in one round, by flow."""
        requests: dict[str, dict[Flow, float]] = {}
        for flow, work in self.unassigned.items():
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
        """Returns the routes of one flow, including a route to REJECTED if needed."""
        if work <= NEGLIGIBLE_WORK:
            # No traffic is expected; traffic that arrives nevertheless is served in its origin.
            return [Route(*flow, flow.origin, 1.0)]
        fractions = {
            target: round(assigned / work, FRACTION_DIGITS)
            for target, assigned in self.assigned.get(flow, {}).items()
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
    """Returns the plan for the given zones and demand.

    Args:
        epoch: The epoch of the plan.
        zones: All zones in their current state.
        traffic_classes: The classes of requests.
        demand: The work per second of each flow.
        distances: The measured distances between zones.

    Raises:
        InvalidTrafficPlanError: The inputs are invalid.
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
    """Returns the work per second that each target receives under a plan."""
    load: dict[str, float] = {}
    for route in plan.routes:
        work = route.fraction * demand.get(route.flow, 0.0)
        load[route.target] = load.get(route.target, 0.0) + work
    return load
