"""Bad hours: fleets of real members and five real voters in simulated time, of the sizes that the machine
bears; what goes is the same part of the fleet as at the size.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any

from benchmarks.capacity import assumptions
from benchmarks.capacity.measured_day import (
    MeasuredDay,
    fleet_budgets,
    founded,
    spending,
    zone_name,
)
from benchmarks.capacity.meter import frozen_heap
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.membership.messages import MemberState

LEADER, MEMBERSHIP = "voter.leader", "server.membership"
SIZES = (40, 60, 90, 135, 200)
LOOK_MS = 250.0
WITHIN_MS = 600_000.0
CUT_MS = 60_000.0
CALM_MS = 20_000.0  # in which the last news of the start is handed on
ROLLING_MS = 120_000.0
DAY_MS = 86_400_000.0


class RealFleet:
    """All members run the real code; servers are spread over the zones in turn."""

    def __init__(self, servers: int, seed: int) -> None:
        self.zones = int(assumptions.ZONES.value)
        self.names = [f"server-{at:07d}" for at in range(servers)]
        self.zone = {name: zone_name(at % self.zones) for at, name in enumerate(self.names)}
        self.day: MeasuredDay = founded(seed, fleet_budgets(self.zones), self.zone.items())
        self.day.run(CALM_MS)
        self.leader = self.day.leader()
        self.server = self.names[-1]  # it is watched, and spared
        self.day.watch(self.leader, self.server)
        self.began = self.day.now
        self.false: set[tuple[str, str]] = set()

    def part(self, figure: float) -> list[str]:
        """So many of the servers as at the size, two at the least: neighbours in one zone first."""
        many = max(2, round(figure / assumptions.SERVERS.value * len(self.names)))
        order = sorted(self.names[:-1], key=lambda name: (self.zone[name], name))
        return order[:many]

    def region(self) -> list[str]:
        """One in seven of the zones, without a voter: its servers."""
        lost = round(self.zones / assumptions.REGIONS.value)
        zones = [zone_name(at) for at in range(self.zones - lost, self.zones)]
        return [name for name in self.names[:-1] if self.zone[name] in zones]

    def states(self, some: Iterable[str], by: Iterable[str]) -> set[MemberState]:
        cores: list[Any] = [self.day.processes[name].core for name in by]
        targets = list(some)
        return {
            core.members.state_of(name) for core in cores if core is not None for name in targets
        }

    def others(self, gone: Iterable[str]) -> list[str]:
        left = set(gone)
        return [name for name in self.day.processes if name not in left]

    def out(self, some: Iterable[str]) -> bool:
        """Whether the voters have agreed that all of them are out."""
        state = self.day.state() if self.day.leader() else None
        return state is not None and all(state.is_unavailable(state.members[name]) for name in some)

    def serving(self, some: Iterable[str]) -> bool:
        """Whether the voters have agreed that all of them serve, as the processes that run now."""
        state = self.day.state() if self.day.leader() else None
        return state is not None and all(
            not state.is_unavailable(state.members[name])
            and state.members[name].process_id == self.life(name)
            for name in some
        )

    def life(self, name: str) -> str:
        core = self.day.processes[name].core
        return core.me.process_id if core is not None else ""

    def opinions_well(self, everybody: list[str]) -> bool:
        return self.states_of_others(everybody) == {MemberState.ALIVE}

    def states_of_others(self, everybody: list[str]) -> set[MemberState]:
        return {
            opinion
            for name in everybody
            for opinion in self.states([other for other in everybody if other != name], [name])
        }

    def until(self, met: Callable[[], bool], gone: Iterable[str]) -> float:
        """How long it takes from now; whoever is thought dead and is not gone is counted meanwhile."""
        dead = set(gone)
        return self.day.until(lambda: self.look(dead) or met(), WITHIN_MS, LOOK_MS)

    def look(self, gone: set[str]) -> bool:
        for name, process in self.day.processes.items():
            core: Any = process.core
            if core is None or name in gone:
                continue
            for other, update in core.members.table.updates.items():
                if update.state is not MemberState.DEAD or other in gone:
                    continue
                if update.member.process_id == self.life(other):  # of a former life it is true
                    self.false.add((name, other))
        return False

    def spent(self) -> list[Reading]:
        span_ms = self.day.now - self.began
        found = spending(LEADER, self.day.meters[self.leader], span_ms)
        found += spending(MEMBERSHIP, self.day.meters[self.server], span_ms)
        return found + readings(MEMBERSHIP, false_deaths=len(self.false))


def detected(fleet: RealFleet, gone: list[str]) -> list[Reading]:
    """Until the first thinks one of them dead, until all think all dead, until the voters have agreed so."""
    left = fleet.others(gone)
    first = fleet.until(lambda: MemberState.DEAD in fleet.states(gone, left), gone)
    rest = fleet.until(lambda: fleet.states(gone, left) == {MemberState.DEAD}, gone)
    agreed = fleet.until(lambda: fleet.out(gone), gone)
    found = readings(MEMBERSHIP, detected_by_first=first, detected_by_all=first + rest)
    return found + readings(LEADER, agree=first + rest + agreed)


def lost(fleet: RealFleet, gone: list[str]) -> list[Reading]:
    for name in gone:
        fleet.day.kill(name)
    with frozen_heap():
        return detected(fleet, gone) + fleet.spent()


def rack_lost(size: float, seed: int) -> list[Reading]:
    fleet = RealFleet(int(size), seed)
    return lost(fleet, fleet.part(assumptions.RACK.value))


def zone_lost(size: float, seed: int) -> list[Reading]:
    fleet = RealFleet(int(size), seed)
    return lost(fleet, fleet.part(assumptions.ZONE.value))


def cut_off(fleet: RealFleet, some: list[str]) -> list[Reading]:
    """They hear each other and nobody else for a minute; then until all think well of all again."""
    fleet.day.part(some, fleet.others(some))
    with frozen_heap():
        fleet.day.run(CUT_MS)
        fleet.day.heal()
        everybody = list(fleet.day.processes)

        def well() -> bool:
            return fleet.opinions_well(everybody)

        settled = fleet.day.until(well, WITHIN_MS, LOOK_MS)
        return readings(MEMBERSHIP, settled=settled) + fleet.spent()


def switch_lost(size: float, seed: int) -> list[Reading]:
    fleet = RealFleet(int(size), seed)
    return cut_off(fleet, fleet.part(assumptions.SWITCH.value))


def region_cut(size: float, seed: int) -> list[Reading]:
    fleet = RealFleet(int(size), seed)
    return cut_off(fleet, fleet.region())


def zone_returning(size: float, seed: int) -> list[Reading]:
    """The zone was lost and all know it; its servers start at once."""
    fleet = RealFleet(int(size), seed)
    back = fleet.part(assumptions.ZONE.value)
    for name in back:
        fleet.day.kill(name)
    detected(fleet, back)
    fleet.day.watch(fleet.leader, fleet.server)
    fleet.began = fleet.day.now
    fleet.false.clear()
    fleet.day.start(back)
    with frozen_heap():
        agreed = fleet.until(lambda: fleet.serving(back), ())
        rest = fleet.day.until(
            lambda: fleet.opinions_well(list(fleet.day.processes)), WITHIN_MS, LOOK_MS
        )
        found = readings(LEADER, agree=agreed) + readings(MEMBERSHIP, settled=agreed + rest)
        return found + fleet.spent()


def rolling_restarts(size: float, seed: int) -> list[Reading]:
    """Restarts at the whole fleet's rate, and changes of configuration with them, for two minutes."""
    fleet = RealFleet(int(size), seed)
    restart_ms = DAY_MS / assumptions.RESTARTS.value
    change_ms = DAY_MS / assumptions.CHANGES.value
    budgets = [list(each) for each in fleet_budgets(fleet.zones)]
    gone: set[str] = set()
    for number in range(int(ROLLING_MS / restart_ms)):
        fleet.day.at(
            fleet.began + number * restart_ms, partial(restart, fleet, fleet.names[number], gone)
        )
    for number in range(int(ROLLING_MS / change_ms)):
        fleet.day.at(fleet.began + number * change_ms, partial(change, fleet, budgets, number))
    with frozen_heap():
        while fleet.day.now - fleet.began < ROLLING_MS:
            fleet.day.run(LOOK_MS)
            fleet.look(gone)
        return fleet.spent()


def change(fleet: RealFleet, budgets: list[list[Any]], number: int) -> None:
    fleet.day.ask(fleet.leader, "budget", f"change-{number}", budgets, "operator")


def restart(fleet: RealFleet, name: str, gone: set[str]) -> None:
    """As by SIGTERM: it says that it leaves, ends, and is back a second later."""
    day = fleet.day
    gone.add(name)
    day.put(name, "leave", "restart")
    day.at(day.now + 500.0, lambda: day.put(name, "left"))
    day.at(day.now + 700.0, lambda: day.kill(name))
    day.at(day.now + 1700.0, lambda: day.boot(name))


SLOPES = tuple(
    Slope((LEADER, MEMBERSHIP), measure.__name__, SIZES, measure, 40)
    for measure in (rack_lost, switch_lost, zone_lost, region_cut, zone_returning, rolling_restarts)
)
