"""Whether a version does harm: members that have it against members that do not yet, of the same zone and
cell, for the same class, in the same seconds. Never against yesterday, and never against a moment before:
when load doubles, both sides fare worse, and that is nobody's version.

Each window of each stratum is a table of two by two (who has it; good or bad). Given its sums, what the
released side should have of the bad ones is known, and so is the spread (Mantel and Haenszel 1959; the
log-rank test's increments). The sum of the differences is a martingale where the version is harmless, hence
Robbins' mixture bounds it at all times at once (Robbins 1970; Howard et al. 2021): it may be looked at after
every window, and the chance of a false halt stays under `ALPHA` for a whole release. Without that, looking
often finds harm in any version (peeking).
"""

import math
from collections import defaultdict
from typing import NamedTuple


class Told(NamedTuple):
    """What one member counted in one window, of one class: of its tasks those that went badly (failed, late,
    rejected though others of its zone were not).
    """

    stratum: str  # zone, cell and class: only like is held against like
    released: bool
    tasks: int
    bad: int


class Verdict(NamedTuple):
    harm: bool
    known: bool  # whether there was enough to tell harm of `NOTICED`, had there been any
    excess: float  # bad ones of the released beyond what they should have, as a part of their tasks
    text: str


class Side(NamedTuple):
    tasks: int = 0
    bad: int = 0


class Judge:
    ALPHA = 0.005  # chance of a false halt in a release: one in 200 good ones
    TUNED = 25.0  # variance at which the bound is tightest: some dozens of bad tasks, where 5% of harm shows
    NOTICED = 0.05  # harm that has to show before a wave is over: beyond, `known` tells that it would have

    def __init__(self) -> None:
        self.sum = self.spread = 0.0
        self.tasks = self.bad = 0  # of the released
        self.window: dict[str, list[Side]] = defaultdict(lambda: [Side(), Side()])
        self.worst: dict[str, float] = defaultdict(float)  # the sum by stratum, to say where

    def tell(self, told: Told) -> None:
        side = self.window[told.stratum][told.released]
        self.window[told.stratum][told.released] = Side(
            side.tasks + told.tasks, side.bad + told.bad
        )

    def close(self) -> Verdict:
        """The window is over: what was told of it counts from now on."""
        for stratum, (others, released) in sorted(self.window.items()):
            many, bad = others.tasks + released.tasks, others.bad + released.bad
            if not others.tasks or not released.tasks or many < 2:
                continue  # nothing to hold it against: neither good nor bad
            self.tasks += released.tasks
            self.bad += released.bad
            expected = released.tasks * bad / many
            spread = (
                released.tasks * others.tasks * bad * (many - bad) / (many * many * (many - 1.0))
            )
            off = released.bad - expected
            self.sum += off
            # Where tasks go badly together, as on one slow core, what was seen spreads more than the table
            # says.
            self.spread += max(spread, off * off)
            self.worst[stratum] += off
        self.window.clear()
        return self.verdict()

    def bound(self) -> float:
        """What the sum stays under at all times, but for a part ALPHA of harmless releases."""
        whole = self.spread + self.TUNED
        return math.sqrt(whole * (math.log(whole / self.TUNED) + 2.0 * math.log(1.0 / self.ALPHA)))

    def verdict(self) -> Verdict:
        excess = self.sum / self.tasks if self.tasks else 0.0
        bound = self.bound()
        if self.sum >= bound and self.spread > 0.0:
            where = max(sorted(self.worst), key=lambda stratum: self.worst[stratum])
            text = f"{excess:.1%} more of the released ones' tasks go badly than of the others', most in {where}"
            return Verdict(True, True, excess, text)
        known = self.NOTICED * self.tasks >= bound
        if not known:
            return Verdict(
                False,
                False,
                excess,
                f"not known yet: {self.tasks} tasks of released ones were seen",
            )
        return Verdict(False, True, excess, f"no harm of {self.NOTICED:.0%} in {self.tasks} tasks")


class Threshold:
    """The baseline that it is measured against: a fixed part more of bad tasks than the others have, looked
    at after every window once there are some tasks.
    """

    MORE, LEAST = 0.02, 50

    def __init__(self) -> None:
        self.sides = [Side(), Side()]

    def tell(self, told: Told) -> None:
        side = self.sides[told.released]
        self.sides[told.released] = Side(side.tasks + told.tasks, side.bad + told.bad)

    def close(self) -> bool:
        others, released = self.sides
        if min(others.tasks, released.tasks) < self.LEAST:
            return False
        return released.bad / released.tasks > others.bad / others.tasks + self.MORE
