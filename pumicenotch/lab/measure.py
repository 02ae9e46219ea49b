"""Figures of one run from the ledger. Latency counts from the intended time, arrivals from before the run."""

from typing import Any

from hdrh.histogram import HdrHistogram

from pumicenotch.lab.ledger import End, Ledger
from pumicenotch.lab.world import World, names_of

MOST_MS, DIGITS = 3_600_000, 3  # of the histogram


def in_time(world: World, end: End) -> bool:
    return end.kind == "served" and end.at - end.task.at <= world.stage[end.task.stage].due_ms


def figures(world: World, ledger: Ledger, cpu_ms: float, read: int) -> dict[str, float]:
    """By name; service and utility are parts of what was asked for after the warm-up, first tries only.
    Tasks still open at the end count as not served."""
    asked = [task for task in ledger.asked if task.at >= world.warm_s * 1000.0]
    ends = [end for end in ledger.ends if end.task.at >= world.warm_s * 1000.0]
    found: dict[str, float] = {}
    worth = sum(world.stage[task.stage].utility for task in asked)
    good = [end for end in ends if in_time(world, end)]
    for at, name in enumerate(names_of(world.stage)):
        wanted = sum(task.stage == at for task in asked)
        found[f"service_{name}"] = sum(end.task.stage == at for end in good) / wanted if wanted else 1.0
    by_tenant = []
    for at, _ in enumerate(world.tenant):
        wanted = sum(task.tenant == at for task in asked)
        if wanted:
            by_tenant.append(sum(end.task.tenant == at for end in good) / wanted)
    found["service_worst_tenant"] = min(by_tenant, default=1.0)
    found["utility"] = sum(world.stage[end.task.stage].utility for end in good) / worth if worth else 1.0
    histogram = HdrHistogram(1, MOST_MS * 10, DIGITS)
    for end in ends:
        if end.kind == "served":
            histogram.record_value(max(1, min(MOST_MS * 10, int((end.at - end.task.at) * 10.0))))
    for part in (50, 99):
        found[f"latency_p{part}_ms"] = histogram.get_value_at_percentile(part) / 10.0
    found["asked_per_s"] = len(asked) / max(1e-9, world.length_s - world.warm_s)
    found["tries_per_task"] = ledger.sent / max(1, len(ledger.asked))
    found["cpu_us_per_task"] = cpu_ms * 1000.0 / max(1, read)
    if world.phase:
        found["shift_s"] = shift(world, ledger)
    return {name: round(value, 4) for name, value in found.items()}


def windows(world: World, ledger: Ledger) -> list[dict[str, Any]]:
    """One row a second and class, by the intended time."""
    rows: dict[tuple[int, int], dict[str, Any]] = {}
    names = names_of(world.stage)
    for task in ledger.asked:
        key = (int(task.at // 1000.0), task.stage)
        blank = {
            "second": key[0],
            "class": names[task.stage],
            "asked": 0,
            "served": 0,
            "rejected": 0,
            "late": 0,
        }
        rows.setdefault(key, blank)["asked"] += 1
    for end in ledger.ends:
        row = rows[int(end.task.at // 1000.0), end.task.stage]
        row["served" if in_time(world, end) else "rejected" if end.kind == "rejected" else "late"] += 1
    return [rows[key] for key in sorted(rows)]


def shift(world: World, ledger: Ledger) -> float:
    """The longest that service took, after a change of phase, to be at 90% of what it was in the second half
    of that phase for good: over windows of a second, in seconds."""
    longest = 0.0
    utility = [stage.utility for stage in world.stage]
    for begins, ends, _, _ in world.loads()[1:]:
        asked: dict[int, float] = {}
        good: dict[int, float] = {}
        for task in ledger.asked:
            if begins * 1000.0 <= task.at < ends * 1000.0:
                at = int(task.at / 1000.0 - begins)
                asked[at] = asked.get(at, 0.0) + utility[task.stage]
        for end in ledger.ends:
            if begins * 1000.0 <= end.task.at < ends * 1000.0 and in_time(world, end):
                at = int(end.task.at / 1000.0 - begins)
                good[at] = good.get(at, 0.0) + utility[end.task.stage]
        length = int(ends - begins)
        half = range(length // 2, length)
        steady = sum(good.get(at, 0.0) for at in half) / max(1e-9, sum(asked.get(at, 0.0) for at in half))
        # Three seconds together, or chance alone would hide the shift; the first that is good counts.
        for at in range(length):
            span = range(at, min(length, at + 3))
            if sum(good.get(one, 0.0) for one in span) >= 0.9 * steady * sum(
                asked.get(one, 0.0) for one in span
            ):
                longest = max(longest, float(at))
                break
        else:
            longest = max(longest, float(length))
    return longest
