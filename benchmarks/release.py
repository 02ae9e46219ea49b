"""How the judgement of releases fares, by drawn days: `python -m benchmarks.release`. Twelve members in
three zones, three classes; waves of one, three and all but three; load that doubles, members that differ,
bursts in which tasks of one member go badly together.
"""

import argparse
import json
import math
import time
from collections import Counter

import numpy as np

from pumicenotch.fleet.canary.judge import FixedThreshold, Observation, SequentialJudge
from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.fleet.releases.waves import plan_waves
from pumicenotch.lab import fleets, releasing

ZONES, A_ZONE, CLASSES = 3, 4, ("preview", "bake", "submit")
WAVES = ((0,), (0, 4, 8), (0, 1, 2, 4, 5, 6, 8, 9, 10))  # members that have it, by wave
SOAK_S = 60  # of each wave, in windows of a second
RATE = 10.0  # tasks a second, member and class
SOAK_MS = 10_000  # of a wave in a whole release
BASE = 0.01  # of the tasks go badly anyhow


class Day:
    """`harm` is the part more of the tasks that goes badly where the version is, of one class or of all."""

    def __init__(self, seed: int, harm: float, one_class: bool) -> None:
        self.chance = np.random.default_rng(seed)
        self.harm, self.one_class = harm, one_class
        self.differ = self.chance.lognormal(0.0, 0.1, ZONES * A_ZONE)  # members are not alike
        self.doubles_at = int(self.chance.integers(10, len(WAVES) * SOAK_S))

    def window(self, at: int, released: tuple[int, ...]) -> list[Observation]:
        load = 2.0 if at >= self.doubles_at else 1.0
        crowd = 0.04 if load > 1.0 else 0.0  # all fare worse
        found = []
        for member in range(ZONES * A_ZONE):
            burst = 0.3 if self.chance.random() < 0.01 else 0.0
            for number, name in enumerate(CLASSES):
                tasks = int(self.chance.poisson(RATE * load))
                more = (
                    self.harm if member in released and (not self.one_class or number == 0) else 0.0
                )
                bad = min(1.0, BASE * self.differ[member] + crowd + burst + more)
                found.append(
                    Observation(
                        f"z{member // A_ZONE}/{name}",
                        member in released,
                        tasks,
                        int(self.chance.binomial(tasks, bad)),
                    )
                )
        return found


def played(seed: int, harm: float, one_class: bool) -> tuple[int, int, int]:
    """Seconds until the judge and the fixed threshold halt it (-1: never), and members that had it by
    then.
    """
    day, judge, fixed = Day(seed, harm, one_class), SequentialJudge(), FixedThreshold()
    judged = thresholded = -1
    had = len(WAVES[-1])
    for at in range(len(WAVES) * SOAK_S):
        released = WAVES[at // SOAK_S]
        for told in day.window(at, released):
            judge.observe(told)
            fixed.observe(told)
        if judge.close_window().harmful and judged < 0:
            judged, had = at + 1, len(released)
        if fixed.is_exceeded() and thresholded < 0:
            thresholded = at + 1
        if judged >= 0 and thresholded >= 0:
            break
    return judged, thresholded, had


def measure(days: int, seed: int, harm: float, one_class: bool) -> dict[str, float]:
    found = [played(seed + at, harm, one_class) for at in range(days)]
    judged = sorted(each[0] for each in found if each[0] >= 0)
    fixed = sorted(each[1] for each in found if each[1] >= 0)
    return {
        "harm": harm,
        "one_class": one_class,
        "days": days,
        "seed": seed,
        "judge_halts": len(judged) / days,
        "judge_p50_s": judged[len(judged) // 2] if judged else -1.0,
        "judge_worst_s": judged[-1] if judged else -1.0,
        "members_worst": max((each[2] for each in found if each[0] >= 0), default=0),
        "threshold_halts": len(fixed) / days,
        "threshold_p50_s": fixed[len(fixed) // 2] if fixed else -1.0,
    }


def whole(many: int, seed: int) -> dict[str, float | str]:
    """A whole release in simulated time, voters, servers and agents, against the shortest that budgets and
    soaks allow: of each wave as many turns of drain, end and start as it needs, and its soak.
    """
    at_once = max(2, many // 10)
    a_zone = math.ceil(at_once / ZONES)
    real = time.perf_counter()
    day = releasing.usual(
        seed,
        nodes=many,
        budgets=(
            Budget("zones", "zone", max_unavailable=a_zone),
            Budget("all", "fleet", max_unavailable=at_once),
        ),
    )
    members = [
        each for each in day.state().members.values() if each.name in day.state().releases.nodes
    ]
    waves = plan_waves(members, mixed=True)
    day.run(10_000.0)  # so that what is usual is known
    day.plan(waves=waves, mixed=True, soak_ms=SOAK_MS)
    began = day.now
    day.until(lambda: day.stands() in ("done", "abandoned"), 3_600_000.0, 100.0)
    took = day.now - began
    turn = fleets.DRAIN_MS + 200.0 + releasing.SWAP_MS + fleets.RESTART_MS
    shortest = 0.0
    for wave in waves:
        zones = Counter(day.processes[name].spec.zone for name in wave)
        turns = max(math.ceil(len(wave) / at_once), math.ceil(max(zones.values()) / a_zone))
        shortest += turns * turn + SOAK_MS
    return {
        "nodes": many,
        "seed": seed,
        "state": day.stands(),
        "took_s": round(took / 1000.0, 2),
        "shortest_s": round(shortest / 1000.0, 2),
        "part": round(shortest / took, 3),
        "waves": len(waves),
        "real_s": round(time.perf_counter() - real, 1),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--whole", type=int, nargs="*", default=[], help="nodes of whole releases instead"
    )
    parser.add_argument("--days", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    for many in told.whole:
        print(json.dumps(whole(many, told.seed)), flush=True)
    if told.whole:
        return
    for harm, one_class in (
        (0.0, False),
        (0.02, False),
        (0.05, False),
        (0.2, False),
        (0.05, True),
        (0.2, True),
    ):
        print(json.dumps(measure(told.days, told.seed, harm, one_class)), flush=True)


if __name__ == "__main__":
    main()
