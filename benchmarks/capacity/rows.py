"""From measurements to the rows of the page: a slope's value at the size, its fit, and its budget."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from statistics import mean

from benchmarks.capacity import assumptions, fits
from benchmarks.capacity.assumptions import EVENTS, Assumption
from benchmarks.capacity.mechanisms import FORMER, MISSING, mechanism
from benchmarks.capacity.records import Measurement

BUDGETS_AT_SERVER: dict[str, Assumption] = {
    "processor": assumptions.PROCESSOR,
    "state": assumptions.MEMORY,
    "memory": assumptions.MEMORY,
    "traffic": assumptions.TRAFFIC,
    "longest_step": assumptions.STEP,
    "in_force": assumptions.IN_FORCE,
    "settled": assumptions.REJOINED,
}
AT_SERVER = ("agent", "distribution.relay", "distribution.replica")
VOTERS = ("voter.leader", "voter.follower", "distribution.voter")
EXTRAPOLATED_MOST = 4.0  # times the largest measured size: no fit is believed beyond


@dataclass(frozen=True)
class Row:
    role: str
    by: str
    measure: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    @property
    def target(self) -> float:
        return assumptions.target(self.role, self.by)

    @property
    def fit(self) -> fits.Fit:
        return fits.fit(self.sizes, self.values)

    @property
    def trial(self) -> fits.Trial | None:
        return fits.tried(self.sizes, self.values) if len(self.sizes) >= fits.POINTS_LEAST else None

    @property
    def value(self) -> float:
        """At the target: measured there, or what the fit makes of it."""
        if self.target in self.sizes:
            return self.values[self.sizes.index(self.target)]
        return self.fit.at(self.target)

    @property
    def reaches(self) -> bool:
        """Whether the measured sizes go far enough for a word on the target."""
        return self.target <= EXTRAPOLATED_MOST * max(self.sizes)

    @property
    def basis(self) -> str:
        if self.target in self.sizes:
            return "measured"
        least, most = min(self.sizes), max(self.sizes)
        if not self.reaches:
            return f"not measured beyond {most:g}"
        if self.target > most:
            return f"extrapolated from {most:g}"
        if self.target < least:
            return f"extrapolated from {least:g}"
        return f"by the fit, {least:g} to {most:g}"

    @property
    def budget(self) -> Assumption | None:
        if self.role.startswith("server.") or self.role in AT_SERVER:
            return BUDGETS_AT_SERVER.get(self.measure)
        if self.role in VOTERS and self.measure == "processor":
            return assumptions.LEADER
        if self.role.startswith("router") and self.measure == "longest_step":
            return assumptions.STEP
        return None

    @property
    def share(self) -> float | None:
        return self.value / self.budget.value if self.budget is not None else None

    @property
    def mechanism(self) -> str:
        return mechanism(self.role, self.by, self.measure)

    @property
    def missing(self) -> bool:
        return self.mechanism.startswith(MISSING)

    @property
    def command(self) -> str:
        largest = f"{max(self.sizes):g}" if max(self.sizes) < 1e6 else f"{max(self.sizes):.0f}"
        if self.role in FORMER:
            role = self.role.removesuffix(".before")
            checkout = f"git checkout {FORMER[self.role]} && python -m benchmarks.capacity"
            return f"`{checkout} {role} --by {self.by} --sizes {largest}`"
        return f"`python -m benchmarks.capacity {self.role} --by {self.by} --sizes {largest}`"


def rows(measurements: Iterable[Measurement]) -> list[Row]:
    """One for each role, by and measure; of several seeds the mean."""
    found: dict[tuple[str, str, str, str], dict[float, list[float]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for each in measurements:
        found[each.role, each.by, each.measure, each.unit][each.size].append(each.value)
    made = []
    for (role, by, measure, unit), sizes in found.items():
        order = sorted(sizes)
        made.append(
            Row(role, by, measure, unit, tuple(order), tuple(mean(sizes[size]) for size in order))
        )
    return made + traffic(made)


def traffic(some: list[Row]) -> list[Row]:
    """What is sent and received together: the measure that the budget speaks of."""
    found: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for row in some:
        if row.measure in ("sent", "received"):
            found[row.role, row.by].append(row)
    return [
        Row(
            role,
            by,
            "traffic",
            "bytes/s",
            parts[0].sizes,
            tuple(sum(each) for each in zip(*(part.values for part in parts), strict=True)),
        )
        for (role, by), parts in found.items()
    ]


def worst(some: Iterable[Row], role: str, measure: str, by: str = "") -> Row | None:
    """Of the slopes of one role and measure (and of one thing that grows, if named) the one that comes to the
    most at the size.
    """
    found = [
        row for row in some if (row.role, row.measure) == (role, measure) and row.by not in EVENTS
    ]
    found = [row for row in found if by in ("", row.by)]
    return max(found, key=lambda row: row.value, default=None)


def find(some: Iterable[Row], role: str, by: str, measure: str) -> Row | None:
    return next(
        (row for row in some if (row.role, row.by, row.measure) == (role, by, measure)), None
    )
