"""What a fleet costs and how fast it is, in simulated time: `python -m benchmarks.fleet`. Prints one JSON
object a measurement. Sizes grow; real time is dominated by the number of messages.
"""

import argparse
import json
import math
import time
from statistics import quantiles

from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.lab.fleets import DRAIN_MS, RESTART_MS, Day, usual
from pumicenotch.membership.messages import MemberState


def drain_all(many: int, seed: int) -> dict[str, float]:
    """Time to drain all nodes and have them back, against the shortest that the budgets allow."""
    at_once = max(2, many // 10)
    a_zone = math.ceil(at_once / 3)
    day = usual(
        seed,
        nodes=many,
        budgets=[
            Budget("zones", "zone", max_unavailable=a_zone),
            Budget("all", "fleet", max_unavailable=at_once),
        ],
    )
    left: list[str] = []
    day.on_leave = left.append
    began, real = day.now, time.perf_counter()
    for at in range(0, many, 500):
        day.agreed(
            "drain",
            f"d{at}",
            tuple(f"n{n}" for n in range(at, min(many, at + 500))),
            "kernel",
            "op",
        )
    day.until(
        lambda: (
            len(left) >= many
            and not day.away
            and bool(day.leader())
            and not any(map(day.state().is_unavailable, day.state().members.values()))
        ),
        3_600_000.0,
    )
    took = day.now - began
    turns = max(math.ceil(many / at_once), math.ceil(math.ceil(many / 3) / a_zone))
    shortest = turns * (DRAIN_MS + 200.0 + RESTART_MS)
    return {
        "nodes": many,
        "seed": seed,
        "took_s": round(took / 1000.0, 2),
        "shortest_s": shortest / 1000.0,
        "part": round(shortest / took, 3),
        "real_s": round(time.perf_counter() - real, 1),
    }


def leaderless(times: int, seed: int) -> dict[str, float]:
    """Time without a leader after its death."""
    gaps = []
    for at in range(times):
        day = usual(seed + at, nodes=0)
        day.run(day.chance.uniform(0.0, 500.0))
        before = day.leader()
        day.kill(before)
        # type: ignore[misc]
        gaps.append(
            day.until(lambda day=day, before=before: day.leader() not in ("", before), step_ms=5.0)
        )
    cuts = quantiles(gaps, n=100)
    return {
        "deaths": times,
        "seed": seed,
        "p50_ms": round(cuts[49]),
        "p99_ms": round(cuts[98]),
        "most_ms": max(gaps),
    }


def states(day: Day, name: str) -> list[MemberState]:
    return [
        process.core.members.state_of(name)
        for other, process in day.processes.items()
        if process.core is not None and other != name
    ]


def detection(many: int, seed: int, span_s: int = 0) -> dict[str, float]:
    """A death known to the first and to all; then false deaths, each where one other held it, with a tenth
    of the messages lost and a core at 90%: a message waits as in a queue, nine times its service of 2 ms on
    average.
    """
    day = usual(seed, nodes=many)
    day.kill("n0")
    first = day.until(lambda: MemberState.DEAD in states(day, "n0"), 600_000.0, 100.0)
    rest = day.until(lambda: set(states(day, "n0")) == {MemberState.DEAD}, 600_000.0, 100.0)
    day.boot("n0")
    day.until(lambda: set(states(day, "n0")) == {MemberState.ALIVE}, 600_000.0, 1000.0)
    day.loss = 0.1
    for process in day.processes.values():
        process.slow_ms = 18.0
    names = list(day.processes)
    false, held = 0, set[tuple[str, str]]()
    span_s = span_s or (3600 if many <= 30 else 600)
    for _ in range(span_s):
        day.run(1000.0)
        now = {
            (other, name)
            for other, process in day.processes.items()
            if process.core is not None
            for name in names
            if process.core.members.table.updates.get(name) is not None
            and process.core.members.table.updates[name].state is MemberState.DEAD
        }
        false += len(now - held)
        held = now
    return {
        "nodes": many,
        "seed": seed,
        "first_ms": first,
        "all_ms": first + rest,
        "span_s": span_s,
        "false_deaths": false,
    }


def traffic(many: int, seed: int) -> dict[str, float]:
    """Bytes and messages a second a process sends, with nothing happening, by role."""
    day = usual(seed, nodes=many, measure=True)
    day.run(30_000.0)
    before = {name: (process.bytes, process.messages) for name, process in day.processes.items()}
    day.run(30_000.0)
    found: dict[str, float] = {"nodes": many, "seed": seed}
    roles = {
        "leader": [day.leader()],
        "voter": [name for name in day.voters if name != day.leader()],
        "server": [name for name in day.processes if name not in day.voters],
    }
    for role, names in roles.items():
        for at, unit in enumerate(("bytes", "messages")):
            sent = [
                (getattr(day.processes[name], unit) - before[name][at]) / 30.0 for name in names
            ]
            found[f"{role}_{unit}_per_s"] = round(sum(sent) / len(sent), 1)
    return found


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[10, 30, 100, 300])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--deaths", type=int, default=200)
    parser.add_argument(
        "--only", nargs="+", default=["drain_all", "leaderless", "detection", "traffic"]
    )
    told = parser.parse_args()
    for name in told.only:
        job = globals()[name]
        for size in [told.deaths] if name == "leaderless" else told.sizes:
            print(json.dumps({"measure": name, **job(size, told.seed)}), flush=True)


if __name__ == "__main__":
    main()
