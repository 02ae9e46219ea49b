"""Cost of the decisions: by event, with pools and without, and by the tenants known and active.

By event, both play the same kind of drawn overload in turn, in one process; the figure is the ratio of the
medians, so that the machine's speed falls out. What a run decides changes what follows, so it is cost by
event.

By tenants, one control knows many and few of them send: neighbours, each of which sends once a second at 1.2
times what the cores serve (all of them: at 0.6 times). Its figures are the longest single event and the
longest tick, in processor time without garbage collections and as the least over the rounds, the processor
time of all ticks a second, and the bytes that a known tenant holds once the control is made, and once every
one has sent. The past is `none`, or `all` where every tenant sent before, as after days of service.

    python -m benchmarks.decisions [ROUNDS]
    python -m benchmarks.decisions tenants [ROUNDS [KNOWN...]]
"""

import gc
import sys
import time
import tracemalloc
from dataclasses import dataclass
from statistics import median
from typing import Any

from pumicenotch.control import AdmissionController, ControllerSettings
from pumicenotch.interface import IncomingRequest, Outcome, Tenant
from pumicenotch.pools import ClassPools
from tests.control.decision_streams import DEPLOYMENTS, PLAN, REQUEST_CLASSES, SimulatedCarrier

KNOWN = (300, 3_000, 15_000, 54_000)
ACTIVE = (20, 300)
EVENTS = (
    "on_request",
    "on_run_finished",
    "on_dependency_needed",
    "on_dependency_finished",
    "on_cancel",
    "on_tick",
    "start_draining",
)


class Timed:
    """A control whose events are timed, what they ask for included."""

    def __init__(self, control: Any) -> None:
        self.control, self.spent, self.events = control, 0, 0

    def __getattr__(self, name: str) -> Any:
        do = getattr(self.control, name)

        def timed(*details: Any) -> None:
            began = time.perf_counter_ns()
            do(*details)
            self.spent += time.perf_counter_ns() - began
            self.events += 1

        return timed if name in EVENTS else do


def cost(pooled: bool, many: int, seed: int) -> float:
    """Microseconds an event."""
    stages = [*REQUEST_CLASSES * max(1, many // 4)]
    numbers = {str(at): at % 4 for at in range(len(stages))} | {
        str(at): at for at in range(len(stages))
    }
    world = SimulatedCarrier(seed, max(3, many), 1.2, stages, **DEPLOYMENTS[0])
    if pooled:
        world.control.use_pools(0.0, ClassPools(0.0, PLAN, stages, numbers))
        world.identifies_callers = True
    world.skips_digest = True
    timed = Timed(world.control)
    world.control = timed  # type: ignore[assignment]
    world.play()
    return timed.spent / timed.events / 1000.0


class Neighbours(SimulatedCarrier):
    """The first so many of the known tenants send, in turn, each once a second."""

    LENGTH_MS = 6_000.0
    skips_digest = True

    def __init__(self, seed: int, known: int, active: int) -> None:
        load = 1.2 if active < known else 0.6
        cores = max(1, round(0.3 * active / load))
        super().__init__(seed, known, load, **{**DEPLOYMENTS[0], "cores": cores})
        self.active, self.sent = active, 0

    def tenant(self) -> int:
        self.sent += 1
        return self.sent % self.active


class Quiet:
    """Takes every action, and does nothing."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


class Longest:
    """A control of which the longest event, the longest tick and the time in ticks are kept, in nanoseconds
    of processor time.
    """

    def __init__(self, control: AdmissionController) -> None:
        self.control, self.longest_event, self.longest_tick, self.in_ticks = control, 0, 0, 0

    def __getattr__(self, name: str) -> Any:
        do = getattr(self.control, name)

        def timed(*details: Any) -> None:
            began = time.process_time_ns()
            do(*details)
            took = time.process_time_ns() - began
            self.longest_event = max(self.longest_event, took)
            if name == "on_tick":
                self.longest_tick = max(self.longest_tick, took)
                self.in_ticks += took

        return timed if name in EVENTS else do


@dataclass(frozen=True)
class Cost:
    """In milliseconds; of ticks a second."""

    event: float
    tick: float
    ticks: float


def sampled(control: AdmissionController, tenants: int) -> None:
    """Puts all tenants through a sample, before the time 0: one task of each, and neighbours differ."""
    control.sampled_at = began = -10_000.0
    for at in range(tenants):
        control.on_request(began, IncomingRequest(-1 - at, 0, at, 0.0, None, None, 1.0, None))
        control.on_run_finished(began + (100.0 if at % 2 else 400.0), -1 - at, Outcome.OK)
    control.on_tick(began + 1_000.0, (0.0, 0.0, 0.0, 0.0))
    control.timers.clear()  # all tasks have ended


def cost_of_tenants(seed: int, known: int, active: int, past: str) -> Cost:
    world = Neighbours(seed, known, active)
    if past == "all":
        sampled(world.control, known)
        world.events.clear()
        world.running.clear()
        world.tick_scheduled(0.0)
    longest = Longest(world.control)
    world.control = longest  # type: ignore[assignment]
    gc.collect()
    gc.disable()
    world.play()
    gc.enable()
    seconds = world.LENGTH_MS / 1000.0
    return Cost(
        longest.longest_event / 1e6, longest.longest_tick / 1e6, longest.in_ticks / 1e6 / seconds
    )


def bytes_a_tenant(known: int) -> tuple[float, float]:
    """Held by each known tenant, and by each that has sent and is idle again; allowances are the caller's."""
    people = [Tenant(1.0 / known, 20.0 if at % 2 else None) for at in range(known)]
    tracemalloc.start()
    actions: Any = Quiet()
    settings = ControllerSettings(REQUEST_CLASSES, people, [])
    control = AdmissionController(actions, 0.0, settings, 1)
    made = tracemalloc.get_traced_memory()[0]
    sampled(control, known)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return made / known, used / known


def tenants(rounds: int, sizes: tuple[int, ...]) -> None:
    print(
        f"{'known':>7} {'active':>7} {'past':>5} {'event ms':>9} {'tick ms':>8} {'ticks ms/s':>11}"
    )
    for known in sizes:
        cases = [(active, past) for active in ACTIVE if active < known for past in ("none", "all")]
        for active, past in [*cases, (known, "none")]:
            costs = [cost_of_tenants(seed, known, active, past) for seed in range(rounds)]
            event, tick = min(cost.event for cost in costs), min(cost.tick for cost in costs)
            ticks = min(cost.ticks for cost in costs)
            print(
                f"{known:>7} {active:>7} {past:>5} {event:>9.2f} {tick:>8.2f} {ticks:>11.2f}",
                flush=True,
            )
    print(f"{'known':>7} {'bytes known':>12} {'bytes used':>11}")
    for known in sizes:
        made, used = bytes_a_tenant(known)
        print(f"{known:>7} {made:>12.0f} {used:>11.0f}")


def main(rounds: int) -> None:
    print(f"{'classes, tenants':>16} {'off us':>8} {'pools us':>9} {'ratio':>6}")
    base: dict[bool, float] = {}
    for many in (3, 30, 300):
        found: dict[bool, list[float]] = {False: [], True: []}
        for seed in range(rounds):
            for pooled in (False, True):
                found[pooled].append(cost(pooled, many, seed))
        off, on = median(found[False]), median(found[True])
        base = base or {False: off, True: on}
        grown = f"grown by {off / base[False]:.2f} and {on / base[True]:.2f}"
        print(f"{many:>16} {off:>8.2f} {on:>9.2f} {on / off:>6.2f}  {grown}")


if __name__ == "__main__":
    plain = [int(word) for word in sys.argv[1:] if word != "tenants"]
    if "tenants" in sys.argv[1:]:
        tenants(plain[0] if plain else 3, tuple(plain[1:]) or KNOWN)
    else:
        main(plain[0] if plain else 5)
