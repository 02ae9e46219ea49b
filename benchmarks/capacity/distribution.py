"""Roles `distribution.voter`, `distribution.relay` and `distribution.replica`: configuration as versioned
changes, in simulated time.
"""

import pickle
from functools import partial
from statistics import quantiles

from benchmarks.capacity import assumptions
from benchmarks.capacity.measured_day import Meter, spending
from benchmarks.capacity.meter import frozen_heap, least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from benchmarks.capacity.spread import RELAY, REPLICA, VOTER, Load, Spread, book_dump
from pumicenotch.distribution.publications.book import Publications

SPAN_MS, WINDOWS = 60_000.0, 3
CHILDREN_USUAL, ZONES_USUAL = 32, 4
CHANGES_USUAL = 0.2  # a second: ten times the daily rate
PUBLICATIONS = 10  # whose time to be in force is taken
WITHIN_MS = 60_000.0
ROLES = (VOTER, RELAY, REPLICA)


def spent(role: str, meter: Meter) -> list[Reading]:
    return spending(role, meter, SPAN_MS) + readings(
        role,
        sent_messages=sum(meter.sent_messages.values()) / SPAN_MS * 1000.0,
        received_messages=sum(meter.received_messages.values()) / SPAN_MS * 1000.0,
    )


def changing(spread: Spread, changes_per_s: float) -> list[Reading]:
    """Publications of two records each, evenly over the span."""
    gap = 1000.0 / changes_per_s
    for number in range(int(SPAN_MS / gap)):
        spread.at(spread.now + (number + 0.5) * gap, spread.change)
    addresses = (spread.voters[0], spread.busiest_relay(), spread.a_replica())
    meters = spread.measured(SPAN_MS, WINDOWS, *addresses)
    found: list[Reading] = []
    for role, meter in zip(ROLES, meters, strict=True):
        found += spent(role, meter)
    return found


def in_force(spread: Spread) -> list[Reading]:
    """From when the voters have agreed until 99 in 100 replicas of the zone have it."""
    spread.meters.clear()
    times: list[float] = []
    for _ in range(PUBLICATIONS):
        spread.change()
        began = spread.now
        spread.until(spread.all_current, WITHIN_MS)
        times += [
            spread.in_force[address] - began
            for address in spread.zone
            if address in spread.in_force
        ]
        spread.run(1000.0)
    return readings(REPLICA, in_force=quantiles(times, n=100)[98])


def states(spread: Spread) -> list[Reading]:
    """Of a relay and a replica, copied so that nothing is shared."""
    found: list[Reading] = []
    for role, address in ((RELAY, spread.busiest_relay()), (REPLICA, spread.a_replica())):
        told = pickle.dumps(spread.processes[address].core)
        found += readings(role, state=state_bytes(partial(pickle.loads, told)))
    return found


def held(load: Load) -> list[Reading]:
    """State of each part, built alone."""
    dumped = book_dump(load)

    def book() -> Publications:
        made = Publications()
        made.load(dumped)
        return made

    return readings(VOTER, state=state_bytes(book), start=least_ms(book, 1), text=len(dumped))


def by_children(size: float, seed: int) -> list[Reading]:
    """All start cold at once; then changes, and the time that each takes to be in force."""
    spread = Spread(seed, Load(), children=int(size), zones=ZONES_USUAL, cold=True)
    settled = spread.until(spread.all_current, WITHIN_MS)
    spread.run(5000.0)
    found = readings(REPLICA, settled=settled)
    found += states(spread)
    found += [each for each in changing(spread, CHANGES_USUAL) if each.role != VOTER]
    return found + in_force(spread)


def by_zones(size: float, seed: int) -> list[Reading]:
    spread = Spread(seed, Load(), children=CHILDREN_USUAL, zones=int(size))
    return [each for each in changing(spread, CHANGES_USUAL) if each.role == VOTER]


def by_records(size: float, seed: int) -> list[Reading]:
    """One publication of so many tenants, from when the voters have agreed until all have it in force."""
    load = Load()
    spread = Spread(seed, load, children=CHILDREN_USUAL, zones=ZONES_USUAL)
    changes = [load.tenant(at, 2.0) for at in range(int(size))]
    addresses = (spread.voters[0], spread.busiest_relay(), spread.a_replica())
    spread.watch(*addresses)
    with frozen_heap():
        spread.publish(changes)
        spread.until(spread.all_current, WITHIN_MS)
    slowest = max(spread.in_force.values()) - spread.published_at
    found = readings(REPLICA, in_force=slowest)
    for role, address in zip(ROLES, addresses, strict=True):
        found += readings(role, longest_step=spread.meters[address].longest_ms)
    return found


def by_changes(size: float, seed: int) -> list[Reading]:
    return changing(Spread(seed, Load(), children=CHILDREN_USUAL, zones=ZONES_USUAL), size)


def by_tenants(size: float, seed: int) -> list[Reading]:
    load = Load(tenants=int(size))
    found = held(load)
    spread = Spread(seed, load, children=CHILDREN_USUAL, zones=ZONES_USUAL)
    return found + states(spread) + changing(spread, CHANGES_USUAL)


def by_routes(size: float, seed: int) -> list[Reading]:
    load = Load(routes=int(size))
    found = held(load)
    spread = Spread(seed, load, children=CHILDREN_USUAL, zones=ZONES_USUAL)
    return found + states(spread) + changing(spread, CHANGES_USUAL)


def by_held(size: float, seed: int) -> list[Reading]:
    """Tenants of one server's cell, and routes in the same part: the fleet's total grows with them."""
    part = size / assumptions.TENANTS_AT_SERVER.value
    load = Load(
        tenants=max(Load().cells, int(part * assumptions.TENANTS.value)),
        routes=max(Load().services, int(part * assumptions.ROUTES.value)),
    )
    spread = Spread(seed, load, children=CHILDREN_USUAL, zones=ZONES_USUAL)
    return [each for each in changing(spread, CHANGES_USUAL) if each.role == REPLICA] + states(
        spread
    )


SLOPES = (
    Slope(ROLES, "children", (8, 16, 32, 64, 125), by_children, 4),
    Slope((VOTER,), "zones", (4, 8, 12, 16, 20), by_zones, 2),
    Slope(ROLES, "records_per_publication", (500, 2000, 8000, 20_000, 54_000), by_records),
    Slope(ROLES, "changes_per_s", (0.1, 0.2, 0.5, 1, 2, 5), by_changes, 0.1),
    Slope((RELAY, REPLICA), "tenants_held", (10, 21, 43, 86, 172.8), by_held, 2),
    Slope(ROLES, "tenants_known", (1000, 3000, 10_000, 30_000, 54_000), by_tenants, 320),
    Slope(ROLES, "routes", (2500, 5000, 10_000, 20_000, 40_000), by_routes, 1200),
)
