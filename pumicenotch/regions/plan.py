"""Which share of each origin's traffic goes where. A zone serves its own first; what it cannot serve goes
over to the nearest that have room beyond their own and their reserve, the worthiest classes first; what fits
nowhere is rejected near its origin. All in work a second, since classes share the same cores.

The same zones and demand give the same plan, whoever works it out: order is by worth, distance and name
alone, and nobody at the same distance is preferred. It is a greedy fill; `benchmarks/regions` holds it
against the optimum of the linear program.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from pumicenotch.errors import InputError

WELL, WEAK, CUT, LOST, EMPTIED, RETURNING = "well", "weak", "cut", "lost", "emptied", "returning"
STATES = (WELL, WEAK, CUT, LOST, EMPTIED, RETURNING)
# One that is cut off serves those who reach it, and no plan reaches them.
SERVES_OWN = (WELL, WEAK, CUT, RETURNING)
REJECTED = ""  # the target of what goes nowhere
PLACES = 4  # of a part: finer than any zone's load is known; equal parts come out equal everywhere
LEAST = 1e-9  # of work: beyond, a rest of rounding


class Zone(NamedTuple):
    name: str
    region: str
    room: float  # work a second that it can do, as observed
    state: str = WELL
    reserve: float = 0.1  # part of the room that is kept from other origins
    warm: float = 1.0  # part of the room that may be used by now, of one that returns


class Kind(NamedTuple):
    """A class of tasks."""

    name: str
    worth: float  # of a unit of its work


class Way(NamedTuple):
    origin: str
    kind: str
    target: str  # REJECTED: nowhere
    part: float  # of that origin's traffic of that kind


class Plan(NamedTuple):
    epoch: int = 0
    ways: tuple[Way, ...] = ()

    def parts(self, origin: str, kind: str) -> dict[str, float]:
        return {
            way.target: way.part for way in self.ways if (way.origin, way.kind) == (origin, kind)
        }


Demand = Mapping[tuple[str, str], float]  # origin, kind -> work a second
Distance = Mapping[tuple[str, str], float]  # between zones, ms


class InvalidRegionPlanError(InputError):
    """Zones or demand that no plan can be made of."""


def check(zones: Iterable[Zone], kinds: Iterable[Kind], demand: Demand) -> None:
    names, known = [zone.name for zone in zones], {kind.name for kind in kinds}
    if len(set(names)) < len(names):
        raise InvalidRegionPlanError("a zone stands twice")
    for zone in zones:
        if zone.state not in STATES:
            raise InvalidRegionPlanError(
                f"zone {zone.name}: state {zone.state!r}; allowed: {', '.join(STATES)}"
            )
        if zone.room < 0.0 or not 0.0 <= zone.reserve < 1.0 or not 0.0 <= zone.warm <= 1.0:
            raise InvalidRegionPlanError(
                f"zone {zone.name}: room {zone.room:g}, reserve {zone.reserve:g}, warm {zone.warm:g}"
            )
    for (origin, kind), work in demand.items():
        if kind not in known or work < 0.0:
            raise InvalidRegionPlanError(
                f"demand of {origin}: {work:g} of {kind!r}; known: {', '.join(sorted(known))}"
            )


def far(zones: Mapping[str, Zone], distance: Distance, origin: str, target: str) -> float:
    """Between two zones; where nobody has measured it, a region's own is near and all else is far."""
    if origin == target:
        return 0.0
    found = distance.get((origin, target), distance.get((target, origin)))
    if found is not None:
        return found
    here, there = zones.get(origin), zones.get(target)
    return 1.0 if here is not None and there is not None and here.region == there.region else 100.0


class Fill:
    """Rooms and demand as they are used up."""

    def __init__(
        self, zones: list[Zone], kinds: list[Kind], demand: Demand, distance: Distance
    ) -> None:
        check(zones, kinds, demand)
        self.zones = {zone.name: zone for zone in sorted(zones)}
        self.distance = distance
        self.left = {key: work for key, work in sorted(demand.items()) if work > LEAST}
        self.room = {name: self.usable(zone) for name, zone in self.zones.items()}
        self.placed: dict[tuple[str, str, str], float] = {}
        ranked = sorted(kinds, key=lambda kind: (-kind.worth, kind.name))
        for kind in ranked:
            self.own(kind.name)
        for name, zone in self.zones.items():
            kept = zone.reserve * zone.room if zone.state in (WELL, RETURNING) else self.room[name]
            self.room[name] = max(0.0, self.room[name] - kept)
        for kind in ranked:
            for distance_ms in self.distances(kind.name):
                self.tier(kind.name, distance_ms)

    @staticmethod
    def usable(zone: Zone) -> float:
        if zone.state not in SERVES_OWN:
            return 0.0
        return zone.room * (zone.warm if zone.state == RETURNING else 1.0)

    def place(self, origin: str, kind: str, target: str, work: float) -> None:
        self.placed[origin, kind, target] = self.placed.get((origin, kind, target), 0.0) + work
        self.left[origin, kind] -= work
        self.room[target] -= work

    def own(self, kind: str) -> None:
        for name in self.zones:
            if work := min(self.left.get((name, kind), 0.0), self.room[name]):
                self.place(name, kind, name, work)

    def distances(self, kind: str) -> list[float]:
        """The tiers, nearest first, in which something of that kind may go over."""
        origins = [
            origin for (origin, its), work in self.left.items() if its == kind and work > LEAST
        ]
        targets = [target for target, room in self.room.items() if room > LEAST]
        return sorted(
            {
                far(self.zones, self.distance, one, other)
                for one in origins
                for other in targets
                if one != other
            }
        )

    def tier(self, kind: str, distance_ms: float) -> None:
        """All pairs at that distance at once: each origin asks its targets in proportion to their room, and a
        target that is asked for too much gives each the same part of it. What is refused asks again among the
        others.
        """
        for _ in range(len(self.zones) + 1):
            asked: dict[str, list[tuple[str, float]]] = {}
            for (origin, its), work in self.left.items():
                if its != kind or work <= LEAST:
                    continue
                near = {
                    target: room
                    for target, room in self.room.items()
                    if room > LEAST
                    and target != origin
                    and far(self.zones, self.distance, origin, target) == distance_ms
                }
                whole = sum(near.values())
                for target, room in near.items():
                    asked.setdefault(target, []).append((origin, work * room / whole))
            if not asked:
                return
            for target, wishes in asked.items():
                gives = min(1.0, self.room[target] / sum(work for _, work in wishes))
                for origin, work in wishes:
                    self.place(origin, kind, target, work * gives)


def fill(
    epoch: int, zones: Iterable[Zone], kinds: Iterable[Kind], demand: Demand, distance: Distance
) -> Plan:
    """The plan for that moment. Raises InvalidRegionPlanError."""
    zones, kinds = list(zones), list(kinds)
    made = Fill(zones, kinds, demand, distance)
    ways = []
    for (origin, kind), work in sorted(demand.items()):
        if work <= LEAST:
            ways.append(
                Way(origin, kind, origin, 1.0)
            )  # nobody comes: whoever does is served where it is
            continue
        parts = {
            target: round(placed / work, PLACES)
            for (its, other, target), placed in made.placed.items()
            if (its, other) == (origin, kind)
        }
        ways += [
            Way(origin, kind, target, part) for target, part in sorted(parts.items()) if part > 0.0
        ]
        if (rest := round(1.0 - sum(parts.values()), PLACES)) > 0.0:
            ways.append(Way(origin, kind, REJECTED, rest))
    return Plan(epoch, tuple(ways))


def promised(plan: Plan, demand: Demand) -> dict[str, float]:
    """Work a second that each target is to take."""
    found: dict[str, float] = {}
    for way in plan.ways:
        found[way.target] = found.get(way.target, 0.0) + way.part * demand.get(
            (way.origin, way.kind), 0.0
        )
    return found


def towards(old: Plan, new: Plan, zones: Iterable[Zone], demand: Demand, most: float) -> Plan:
    """One step from the old plan to the new, under the new one's epoch: no zone takes on more than `most` of
    its room from others at once. Traffic leaves a zone that serves nobody at once all the same: what may not
    yet go where the plan will have it is rejected meanwhile. A zone's own traffic comes home by the same
    step.
    """
    held = {zone.name: zone for zone in zones}
    dead = {name for name, zone in held.items() if zone.state not in SERVES_OWN}
    keys = sorted({(way.origin, way.kind) for way in new.ways})
    more: dict[str, float] = {}
    for key in keys:
        was, will = old.parts(*key), new.parts(*key)
        for target, part in will.items():
            if target != REJECTED and was:
                gain = max(0.0, part - was.get(target, 0.0)) * demand.get(key, 0.0)
                more[target] = more.get(target, 0.0) + gain
    speeds = {
        target: min(1.0, most * held[target].room / work) if work > LEAST else 1.0
        for target, work in more.items()
        if target in held
    }
    ways: list[Way] = []
    for origin, kind in keys:
        was, will = old.parts(origin, kind), new.parts(origin, kind)
        ways += [
            Way(origin, kind, target, part)
            for target, part in sorted(step(was, will, speeds, dead).items())
        ]
    return Plan(new.epoch, tuple(ways))


def step(
    was: Mapping[str, float], will: Mapping[str, float], speeds: Mapping[str, float], dead: set[str]
) -> dict[str, float]:
    """Of one origin and kind: what goes where after one step."""
    if not was:
        return dict(will)
    gains = {
        target: (part - was.get(target, 0.0)) * speeds.get(target, 1.0)
        for target, part in will.items()
        if target != REJECTED and part > was.get(target, 0.0)
    }
    found = {
        target: part for target, part in was.items() if target not in dead and target != REJECTED
    }
    free = 1.0 - sum(found.values())  # of the dead, and of what was rejected
    wanted = sum(gains.values())
    # What gains take beyond what is free comes from those that are to give, in proportion; what the plan
    # rejects is taken from them at once, since it relieves them.
    gives = {
        target: part - will.get(target, 0.0)
        for target, part in found.items()
        if part > will.get(target, 0.0)
    }
    whole, needed = sum(gives.values()), wanted + will.get(REJECTED, 0.0) - free
    taken = min(1.0, max(0.0, needed) / whole) if whole > LEAST else 0.0
    for target, part in gives.items():
        found[target] -= part * taken
    fits = min(1.0, (free + whole * taken) / wanted) if wanted > LEAST else 1.0
    for target, part in gains.items():
        found[target] = found.get(target, 0.0) + part * fits
    made = {
        target: round(part, PLACES) for target, part in found.items() if round(part, PLACES) > 0.0
    }
    if (rest := round(1.0 - sum(made.values()), PLACES)) > 0.0:
        made[REJECTED] = rest
    return made
