"""Figures of one run from the ledger. Latency counts from the intended time, arrivals from before the run."""

from typing import Any

from hdrh.histogram import HdrHistogram

from pumicenotch.lab.ledger import End, Ledger
from pumicenotch.lab.world import World, names_of

MOST_TENANTS = 12  # of which each has a figure of its own
MOST_MS, DIGITS = 3_600_000, 3  # of the histogram


def in_time(world: World, end: End) -> bool:
    return end.kind == "served" and end.at - end.task.at <= world.stage[end.task.stage].due_ms


def figures(world: World, ledger: Ledger, cpu_ms: float, read: int) -> dict[str, float]:
    """By name; service and utility are parts of what was asked for after the warm-up, first tries only.
    Tasks still open at the end count as not served.
    """
    asked = [task for task in ledger.asked if task.at >= world.warm_s * 1000.0]
    ends = [end for end in ledger.ends if end.task.at >= world.warm_s * 1000.0]
    found: dict[str, float] = {}
    worth = sum(world.stage[task.stage].utility for task in asked)
    good = [end for end in ends if in_time(world, end)]
    for at, name in enumerate(names_of(world.stage)):
        wanted = sum(task.stage == at for task in asked)
        found[f"service_{name}"] = (
            sum(end.task.stage == at for end in good) / wanted if wanted else 1.0
        )
    by_tenant = []
    for at, _ in enumerate(world.tenant):
        wanted = sum(task.tenant == at for task in asked)
        if wanted:
            by_tenant.append(sum(end.task.tenant == at for end in good) / wanted)
            if len(world.tenant) <= MOST_TENANTS:
                found[f"service_of_{world.tenant[at].name.replace('-', '_')}"] = by_tenant[-1]
    found["service_worst_tenant"] = min(by_tenant, default=1.0)
    found["utility"] = (
        sum(world.stage[end.task.stage].utility for end in good) / worth if worth else 1.0
    )
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
    lasting = [
        fault for fault in world.fault if fault.kind not in ("drain", "kill", "reload", "cut_pool")
    ]
    if lasting:
        found["recover_s"] = max(
            recovery(world, ledger, fault.at_s + fault.for_s) for fault in lasting
        )
    return {name: round(value, 4) for name, value in found.items()}


def added(world: World, ledger: Ledger, until_s: float) -> dict[str, float]:
    """What a served task took beyond its own work, at the median and for 99 in 100: `quiet` of those meant to
    begin after the warm-up and up to then, `later` of all that came after.
    """
    quiet, later = HdrHistogram(1, MOST_MS * 1000, DIGITS), HdrHistogram(1, MOST_MS * 1000, DIGITS)
    for end in ledger.ends:
        if end.kind == "served" and end.task.at >= world.warm_s * 1000.0:
            took = end.at - end.task.at - end.task.work / world.speed - end.task.disk
            some = quiet if end.task.at < until_s * 1000.0 else later
            some.record_value(max(1, min(MOST_MS * 1000, int(took * 1000.0))))
    return {
        f"{name}_added_p{part}_ms": round(some.get_value_at_percentile(part) / 1000.0, 3)
        for name, some in (("quiet", quiet), ("later", later))
        for part in (50, 99)
    }


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
        row[
            "served" if in_time(world, end) else "rejected" if end.kind == "rejected" else "late"
        ] += 1
    return [rows[key] for key in sorted(rows)]


def by_second(world: World, ledger: Ledger) -> tuple[list[float], list[float]]:
    """Utility asked for and served in time, by the second of the intended time."""
    utility = [stage.utility for stage in world.stage]
    asked, good = [0.0] * (int(world.length_s) + 1), [0.0] * (int(world.length_s) + 1)
    for task in ledger.asked:
        asked[int(task.at // 1000.0)] += utility[task.stage]
    for end in ledger.ends:
        if in_time(world, end):
            good[int(end.task.at // 1000.0)] += utility[end.task.stage]
    return asked, good


def settled(asked: list[float], good: list[float], begins: int, ends: int, steady: float) -> float:
    """Seconds from `begins` until the next three seconds together serve 90% of the steady part: three, or
    chance alone would hide what is looked for.
    """
    for at in range(begins, ends - 2):
        if sum(good[at : at + 3]) >= 0.9 * steady * sum(asked[at : at + 3]):
            return float(at - begins)
    return float(ends - begins)


def shift(world: World, ledger: Ledger) -> float:
    """The longest that service took, after a change of phase, to be at 90% of what it was in that phase's
    second half, s.
    """
    asked, good = by_second(world, ledger)
    longest = 0.0
    for begins, ends, _, _ in world.loads()[1:]:
        first, last = int(begins), int(ends)
        half = slice((first + last) // 2, last)
        steady = sum(good[half]) / max(1e-9, sum(asked[half]))
        longest = max(longest, settled(asked, good, first, last, steady))
    return longest


def recovery(world: World, ledger: Ledger, mended_s: float) -> float:
    """From the end of a fault until service is at 90% of what it was over the run's last quarter, s. The
    fault is to end well before that.
    """
    asked, good = by_second(world, ledger)
    last = int(world.length_s)
    quarter = slice(last - last // 4, last)
    steady = sum(good[quarter]) / max(1e-9, sum(asked[quarter]))
    return settled(asked, good, min(last, int(mended_s)), last, steady)
