"""Roles `voter.leader`, `voter.follower`, `server.membership` and `server.agreement`: real processes in a
fleet whose other members are hollow.
"""

import random
from itertools import count
from typing import Any

import msgpack

from benchmarks.capacity import assumptions
from benchmarks.capacity.hollow import HollowFleet
from benchmarks.capacity.measured_day import Meter, fleet_budgets
from benchmarks.capacity.meter import least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.fleet.replicated import snapshot
from pumicenotch.membership import messages
from pumicenotch.membership.events import MessageReceived
from pumicenotch.membership.swim import SwimMembership

LEADER, FOLLOWER, MEMBERSHIP, AGREEMENT = (
    "voter.leader",
    "voter.follower",
    "server.membership",
    "server.agreement",
)
ROLES = (LEADER, FOLLOWER, MEMBERSHIP, AGREEMENT)
SPAN_MS = 45_000.0  # three exchanges of whole pages, one of each kind
WARM_MS = 2000.0
WINDOWS = 3  # each with one exchange
SERVERS_USUAL = 640  # where something else grows
DAY_MS = 86_400_000.0
OFTEN_A_DAY = 58_000.0  # restarts, twenty times the usual: some within the span
AGREEMENT_KINDS = ("asked", "answered", "counts")
MEMBERS_KINDS = ("members",)


def of_kinds(counted: dict[str, int], kinds: tuple[str, ...]) -> float:
    return sum(counted.get(kind, 0) for kind in kinds) / SPAN_MS * 1000.0


def traffic(role: str, meter: Meter, kinds: tuple[str, ...] | None = None) -> list[Reading]:
    def rate(counted: dict[str, int]) -> float:
        return of_kinds(counted, kinds if kinds is not None else tuple(counted))

    return readings(
        role,
        sent=rate(meter.sent),
        received=rate(meter.received),
        sent_messages=rate(meter.sent_messages),
        received_messages=rate(meter.received_messages),
    )


def process(role: str, meter: Meter) -> list[Reading]:
    return readings(role, processor=meter.processor(SPAN_MS), longest_step=meter.longest_ms)


def read_fleet(fleet: HollowFleet, windows: int = 1) -> list[Reading]:
    """Windows that are alike, or one where something happens now and then."""
    meters = fleet.measure(SPAN_MS, windows, WARM_MS)
    found: list[Reading] = []
    for role, name in ((LEADER, fleet.leader), (FOLLOWER, fleet.follower)):
        found += traffic(role, meters[name]) + process(role, meters[name])
    server = meters[fleet.server]
    found += traffic(MEMBERSHIP, server, MEMBERS_KINDS) + process(MEMBERSHIP, server)
    return found + traffic(AGREEMENT, server, AGREEMENT_KINDS)


def absorbed(fleet: HollowFleet, wired: list[bytes]) -> SwimMembership:
    """The table of a process that hears of everybody for the first time."""
    core: Any = fleet.day.processes[fleet.server].core
    made = SwimMembership(core.me, 0.0, ["seed"], random.Random(1))
    for page in wired:
        told = msgpack.unpackb(page, use_list=False)
        made.step(0.0, MessageReceived("seed", messages.decode(told)))
    return made


def built(fleet: HollowFleet) -> list[Reading]:
    """State and start: the table of members from whole pages, the agreed state from a snapshot."""
    wired = [msgpack.packb(messages.encode(page)) for page in fleet.pages(False)]
    leader: Any = fleet.day.processes[fleet.leader].core
    dumped = snapshot.dump(leader.state)
    table, table_ms = (
        state_bytes(lambda: absorbed(fleet, wired)),
        least_ms(lambda: absorbed(fleet, wired)),
    )
    agreed, agreed_ms = (
        state_bytes(lambda: snapshot.load(dumped)),
        least_ms(lambda: snapshot.load(dumped)),
    )
    found = readings(MEMBERSHIP, state=table, start=table_ms)
    for role in (LEADER, FOLLOWER):
        found += readings(role, state=table + agreed, start=table_ms + agreed_ms, text=len(dumped))
    return found


def by_servers(size: float, seed: int) -> list[Reading]:
    fleet = HollowFleet(int(size), seed)
    found = built(fleet)
    fleet.ordinary()
    return found + read_fleet(fleet, WINDOWS)


def by_zones(size: float, seed: int) -> list[Reading]:
    fleet = HollowFleet(SERVERS_USUAL, seed, zones=int(size))
    fleet.ordinary()
    return [each for each in read_fleet(fleet, WINDOWS) if each.role != AGREEMENT]


def by_services(size: float, seed: int) -> list[Reading]:
    """Each service is a group of its callers, with a budget of its own; groups are counted anew where members
    come and go.
    """
    fleet = HollowFleet(SERVERS_USUAL, seed, services=int(size))
    fleet.ordinary()
    fleet.every(DAY_MS / OFTEN_A_DAY, fleet.restart)
    return [each for each in read_fleet(fleet) if each.role in (LEADER, FOLLOWER)]


def by_changes(size: float, seed: int) -> list[Reading]:
    """Budgets agreed anew: the largest entry of an operator that there is today."""
    fleet, number = HollowFleet(SERVERS_USUAL, seed), count()
    budgets = [list(each) for each in fleet_budgets(20)]
    fleet.ordinary()

    def change() -> None:
        fleet.day.ask(fleet.leader, "budget", f"change-{next(number)}", budgets, "operator")

    fleet.every(1000.0 / size, change)
    return [each for each in read_fleet(fleet) if each.role in (LEADER, FOLLOWER)]


def by_restarts(size: float, seed: int) -> list[Reading]:
    fleet = HollowFleet(SERVERS_USUAL, seed)
    fleet.ordinary()
    fleet.every(DAY_MS / size, fleet.restart)
    return read_fleet(fleet)


def zone_joining(size: float, seed: int) -> list[Reading]:
    """A zone's part of the fleet comes back at once."""
    fleet = HollowFleet(int(size), seed)
    fleet.ordinary()
    joining = fleet.names[
        : max(2, round(size * assumptions.ZONE.value / assumptions.SERVERS.value))
    ]
    began = fleet.day.now + WARM_MS
    fleet.day.at(began, lambda: fleet.join_at_once(joining))
    found = [each for each in read_fleet(fleet) if each.role in (LEADER, FOLLOWER)]
    cores: list[Any] = [fleet.day.processes[name].core for name in joining]
    assert not any(core.asks for core in cores)
    return found + readings(LEADER, agree=max(core.agreed_at for core in cores) - began)


def by_failures(size: float, seed: int) -> list[Reading]:
    fleet = HollowFleet(SERVERS_USUAL, seed)
    fleet.ordinary()
    fleet.every(DAY_MS / size, fleet.fail)
    return [each for each in read_fleet(fleet) if each.role in (LEADER, FOLLOWER)]


SLOPES = (
    Slope(ROLES, "servers", (80, 160, 320, 640, 1280, 2500), by_servers, 16),
    Slope((LEADER, FOLLOWER, MEMBERSHIP), "zones", (4, 8, 12, 16, 20), by_zones),
    Slope((LEADER, FOLLOWER), "services", (75, 150, 300, 600, 1200), by_services),
    Slope((LEADER, FOLLOWER), "changes_per_s", (0.25, 0.5, 1, 2, 4, 8), by_changes, 0.01),
    Slope(ROLES, "restarts_per_day", (2900, 11_600, 29_000, 58_000, 116_000), by_restarts),
    Slope((LEADER, FOLLOWER), "zone_joining", (160, 320, 640, 1280, 2500), zone_joining, 40),
    Slope(
        (LEADER, FOLLOWER), "failures_per_day", (2900, 11_600, 29_000, 58_000, 116_000), by_failures
    ),
)
