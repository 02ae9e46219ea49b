"""Zones, their states, and the distance between them."""

from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

from pumicenotch.errors import InputError

DISTANCE_IN_REGION_MS = 1.0  # where nobody has measured it
DISTANCE_BETWEEN_REGIONS_MS = 100.0  # likewise


class ZoneState(StrEnum):
    """What was found of a zone; the values are the words of statuses and of the fleet's log."""

    HEALTHY = "well"
    DEGRADED = "weak"
    """It is reached and serves far less of its requests than other zones."""
    PARTITIONED = "cut"
    """It runs and is not reached from other zones."""
    LOST = "lost"
    """It is not reached, and nothing is heard of it."""
    EVACUATED = "emptied"
    """An operator has emptied it."""
    RECOVERING = "returning"
    """It ramps up after it was lost, partitioned or evacuated."""


class Zone(NamedTuple):
    """A zone and its capacity."""

    name: str
    region: str
    capacity: float  # work a second, as observed
    state: ZoneState = ZoneState.HEALTHY
    reserve_fraction: float = 0.1  # of the capacity, kept from other zones' traffic
    ramp_fraction: float = 1.0  # of the capacity that a recovering zone may use by now

    @property
    def usable_capacity(self) -> float:
        """Work a second that may be sent to the zone in its state.

        A partitioned zone serves those who reach it; no plan reaches them.
        """
        if self.state in (ZoneState.LOST, ZoneState.EVACUATED):
            return 0.0
        return self.capacity * (self.ramp_fraction if self.is_recovering else 1.0)

    @property
    def is_recovering(self) -> bool:
        """Whether the zone ramps up."""
        return self.state is ZoneState.RECOVERING

    @property
    def accepts_failover(self) -> bool:
        """Whether the zone may take traffic of other zones."""
        return self.state in (ZoneState.HEALTHY, ZoneState.RECOVERING)


class TrafficClass(NamedTuple):
    """A class of requests."""

    name: str
    weight: float  # priority of a unit of its work


class Flow(NamedTuple):
    """The traffic of one class that arrives in one zone."""

    origin: str
    traffic_class: str


Demand = Mapping[Flow, float]  # work a second
Distances = Mapping[tuple[str, str], float]  # between two zones by name, ms


class InvalidTrafficPlanError(InputError):
    """Zones or demand from which no plan can be made."""


def check(zones: Iterable[Zone], traffic_classes: Iterable[TrafficClass], demand: Demand) -> None:
    """Checks the inputs of a plan.

    Raises:
        InvalidTrafficPlanError: A zone is named twice or out of range, or demand is negative or of
            an unknown class.
    """
    zones = list(zones)
    if len({zone.name for zone in zones}) < len(zones):
        raise InvalidTrafficPlanError("a zone stands twice", remedy="name each zone once")
    for zone in zones:
        check_zone(zone)
    known = {traffic_class.name for traffic_class in traffic_classes}
    for (origin, traffic_class), work in demand.items():
        if traffic_class not in known or work < 0.0:
            raise InvalidTrafficPlanError(
                f"{work:g} of {traffic_class!r}; known: {', '.join(sorted(known))}",
                place=f"demand of {origin}",
            )


def check_zone(zone: Zone) -> None:
    """Checks one zone; raises InvalidTrafficPlanError."""
    place = f"zone {zone.name}"
    if zone.state not in tuple(ZoneState):
        raise InvalidTrafficPlanError(
            f"state {zone.state!r}; allowed: {', '.join(ZoneState)}", place=place
        )
    is_fraction = 0.0 <= zone.reserve_fraction < 1.0 and 0.0 <= zone.ramp_fraction <= 1.0
    if zone.capacity < 0.0 or not is_fraction:
        raise InvalidTrafficPlanError(
            f"room {zone.capacity:g}, reserve {zone.reserve_fraction:g},"
            f" warm {zone.ramp_fraction:g}",
            place=place,
            remedy="give a room from 0, a reserve from 0 below 1, and warm from 0 to 1",
        )


def distance_ms(zones: Mapping[str, Zone], distances: Distances, origin: str, target: str) -> float:
    """The distance between two zones; where it was not measured, by whether they share a region."""
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
