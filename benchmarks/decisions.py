"""Cost of the decisions by event, with pools and without, from few to many classes and tenants.

Both play the same kind of drawn overload in turn, in one process; the figure is the ratio of the medians, so
that the machine's speed falls out. What a run decides changes what follows, so it is cost by event.

    python -m benchmarks.decisions [ROUNDS]
"""

import sys
import time
from statistics import median
from typing import Any

from pumicenotch.pools import Plan, Pool, Pools
from tests.record import KINDS, STAGES, World

PLAN = Plan((Pool("cheap", ("0",), reserve=0.4), Pool("heavy", ("1",)), Pool("rest", ("*",))))
EVENTS = ("task", "ended", "at_call", "call_ended", "caller_gone", "tick", "leave")


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
    stages = [*STAGES * max(1, many // 4)]
    numbers = {str(at): at % 4 for at in range(len(stages))} | {str(at): at for at in range(len(stages))}
    world = World(seed, max(3, many), 1.2, stages, **KINDS[0])
    if pooled:
        world.control.pool(0.0, Pools(0.0, PLAN, stages, numbers))
        world.marks = True
    world.quiet = True
    timed = Timed(world.control)
    world.control = timed  # type: ignore[assignment]
    world.play()
    return timed.spent / timed.events / 1000.0


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
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
