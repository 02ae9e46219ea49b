"""Zones, their states, and the distance between them."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from pumicenotch.errors import InputError

# Default distances between two zones whose distance was not measured.
DISTANCE_IN_REGION_MS = 1.0
DISTANCE_BETWEEN_REGIONS_MS = 100.0


class ZoneState(StrEnum):
    """The state of a zone; the values are used in status responses and in the fleet's log."""

    HEALTHY = "well"
    DEGRADED = "weak"
    """The zone is reachable but serves a far smaller fraction of its requests than other zones."""
    PARTITIONED = "cut"
    """The zone's members run but cannot be reached from other zones."""
    LOST = "lost"
    """The zone cannot be reached and its members send no reports."""
    EVACUATED = "emptied"
    """An operator has evacuated the zone."""
    RECOVERING = "returning"
    """The zone ramps up after it was lost, partitioned or evacuated."""


class Zone(NamedTuple):
    """A zone, its capacity and its state."""

    name: str
    region: str
    capacity: float  # observed capacity, work per second
    state: ZoneState = ZoneState.HEALTHY
    reserve_fraction: float = 0.1  # fraction of the capacity withheld from other zones' traffic
    ramp_fraction: float = 1.0  # fraction of the capacity available while the zone is recovering

    @property
    def usable_capacity(self) -> float:
        """The work per second that may be sent to the zone in its current state.

        A partitioned zone keeps its capacity: it still serves the callers that can reach it, and
        these callers receive no new plan.
        """
        if self.state in (ZoneState.LOST, ZoneState.EVACUATED):
            return 0.0
        return self.capacity * (self.ramp_fraction if self.is_recovering else 1.0)

    @property
    def is_recovering(self) -> bool:
        """Whether the zone is ramping up."""
        return self.state is ZoneState.RECOVERING

    @property
    def accepts_failover(self) -> bool:
        """Whether the zone may serve traffic of other zones."""
        return self.state in (ZoneState.HEALTHY, ZoneState.RECOVERING)


class TrafficClass(NamedTuple):
    """A class of requests."""

    name: str
    weight: float  # priority of one unit of the class's work


class Flow(NamedTuple):
    """The traffic of one class that arrives in one zone."""

    origin: str
    traffic_class: str


Demand = Mapping[Flow, float]  # work per second
Distances = Mapping[tuple[str, str], float]  # measured ms between two zones, by their names


class InvalidTrafficPlanError(InputError):
    """The zones or the demand are invalid, so that no plan can be computed."""


def check_inputs(
    zones: Iterable[Zone], traffic_classes: Iterable[TrafficClass], demand: Demand
) -> None:
    """Validates the inputs of a plan.

    Raises:
        InvalidTrafficPlanError: Two zones have the same name, a value of a zone is out of range, or
            a demand is negative or of an unknown class.
    """
    zones = list(zones)
    if len({zone.name for zone in zones}) < len(zones):
        raise InvalidTrafficPlanError("a zone is listed twice", remedy="list each zone once")
    for zone in zones:
        check_zone(zone)
    known_classes = {traffic_class.name for traffic_class in traffic_classes}
    for (origin, traffic_class), work in demand.items():
        if traffic_class not in known_classes or work < 0.0:
            raise InvalidTrafficPlanError(
                f"{work:g} for class {traffic_class!r};"
                f" known classes: {', '.join(sorted(known_classes))}",
                place=f"demand of {origin}",
            )


def check_zone(zone: Zone) -> None:
    """Validates one zone.

    Raises:
        InvalidTrafficPlanError: The state is unknown or a value is out of range.
    """
    place = f"zone {zone.name}"
    if zone.state not in tuple(ZoneState):
        raise InvalidTrafficPlanError(
            f"state {zone.state!r}; allowed states: {', '.join(ZoneState)}", place=place
        )
    has_valid_fractions = 0.0 <= zone.reserve_fraction < 1.0 and 0.0 <= zone.ramp_fraction <= 1.0
    if zone.capacity < 0.0 or not has_valid_fractions:
        raise InvalidTrafficPlanError(
            f"capacity {zone.capacity:g}, reserve fraction {zone.reserve_fraction:g},"
            f" ramp fraction {zone.ramp_fraction:g}",
            place=place,
            remedy="set capacity >= 0, 0 <= reserve fraction < 1 and 0 <= ramp fraction <= 1",
        )


def distance_ms(zones: Mapping[str, Zone], distances: Distances, origin: str, target: str) -> float:
    """Returns the distance between two zones in ms.

    A distance that was not measured has a default, which depends on whether the zones share a
    region.
    """
    if origin == target:
        return 0.0
    measured = distances.get((origin, target), distances.get((target, origin)))
    if measured is not None:
        return measured
    origin_zone = zones.get(origin)
    target_zone = zones.get(target)
    if origin_zone is None or target_zone is None or origin_zone.region != target_zone.region:
        return DISTANCE_BETWEEN_REGIONS_MS
    return DISTANCE_IN_REGION_MS
