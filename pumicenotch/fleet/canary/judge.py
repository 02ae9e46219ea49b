"""Whether a version does harm: nodes that have it against nodes that do not yet.

Compared are nodes of the same zone and cell, for the same class of requests, in the same seconds.
Never against yesterday, and never against a moment before: when load doubles, both groups fare
worse, and that is nobody's version.

Each window of each stratum is a table of two by two (released or not; failed or not). Given its
sums, the expected failures of the released group are known, and so is their variance (Mantel and
Haenszel 1959; the log-rank test's increments). The sum of the differences is a martingale where the
version is harmless, hence Robbins' mixture bounds it at all times at once (Robbins 1970; Howard et
al. 2021): it may be examined after every window, and the probability of a false halt stays under
`ALPHA` for a whole release. Without that, frequent looks find harm in any version (peeking).
"""

import math
from collections import defaultdict
from typing import NamedTuple


class Observation(NamedTuple):
    """What one member counted in one window, of one class of requests."""

    stratum: str  # zone, cell and class: only like is compared with like
    released: bool
    requests: int
    failures: int  # failed, late, or rejected though others of its zone did not reject


class Verdict(NamedTuple):
    """What the observations so far say of a version."""

    harmful: bool
    conclusive: bool  # there was enough to tell harm of NOTICEABLE_HARM, had there been any
    excess: float  # failures of the released group beyond the expected, as a fraction of requests
    text: str


class GroupCounts(NamedTuple):
    """Requests of one group in one window."""

    requests: int = 0
    failures: int = 0

    def plus(self, requests: int, failures: int) -> "GroupCounts":
        """Returns the counts with these added."""
        return GroupCounts(self.requests + requests, self.failures + failures)


class MixtureBound:
    """A sum of differences from the expected, and the bound that it stays under without harm."""

    ALPHA = 0.005  # the probability of a false halt in a release: one in 200 harmless ones
    # The variance at which the bound is tightest: dozens of failures, where 5% of harm shows.
    TIGHTEST_VARIANCE = 25.0

    def __init__(self) -> None:
        self.sum = 0.0
        self.variance = 0.0

    def add(self, difference: float, variance: float) -> None:
        """Adds a window's difference and its variance under no harm."""
        self.sum += difference
        # Where requests fail together, as on one slow core, the differences spread more than the
        # table says.
        self.variance += max(variance, difference * difference)

    def value(self) -> float:
        """Returns what the sum stays under at all times, but for ALPHA of harmless releases."""
        total = self.variance + self.TIGHTEST_VARIANCE
        confidence = 2.0 * math.log(1.0 / self.ALPHA)
        return math.sqrt(total * (math.log(total / self.TIGHTEST_VARIANCE) + confidence))


class SequentialJudge:
    """A sequential test of whether the released group fails more often than the other."""

    NOTICEABLE_HARM = 0.05  # the excess that has to show before a wave is over

    def __init__(self) -> None:
        self.bound = MixtureBound()
        self.requests = 0  # of the released group
        self.failures = 0
        self.window: dict[str, list[GroupCounts]] = defaultdict(
            lambda: [GroupCounts(), GroupCounts()]
        )
        self.differences: dict[str, float] = defaultdict(float)  # by stratum, to say where

    def observe(self, observation: Observation) -> None:
        """Adds an observation to the current window."""
        groups = self.window[observation.stratum]
        counts = groups[observation.released]
        groups[observation.released] = counts.plus(observation.requests, observation.failures)

    def close_window(self) -> Verdict:
        """Ends the window: its observations count from now on."""
        for stratum, (others, released) in sorted(self.window.items()):
            requests = others.requests + released.requests
            failures = others.failures + released.failures
            if not others.requests or not released.requests:
                continue  # nothing to compare it with
            self.requests += released.requests
            self.failures += released.failures
            expected = released.requests * failures / requests
            variance = (released.requests * others.requests * failures * (requests - failures)) / (
                requests * requests * (requests - 1.0)
            )
            difference = released.failures - expected
            self.bound.add(difference, variance)
            self.differences[stratum] += difference
        self.window.clear()
        return self.verdict()

    def verdict(self) -> Verdict:
        """Returns what all closed windows say."""
        excess = self.bound.sum / self.requests if self.requests else 0.0
        bound = self.bound.value()
        if self.bound.sum >= bound and self.bound.variance > 0.0:
            worst = max(sorted(self.differences), key=lambda stratum: self.differences[stratum])
            text = (
                f"{excess:.1%} more of the released ones' tasks go badly than of the others',"
                f" most in {worst}"
            )
            return Verdict(True, True, excess, text)
        if self.NOTICEABLE_HARM * self.requests < bound:
            text = f"not known yet: {self.requests} tasks of released ones were seen"
            return Verdict(False, False, excess, text)
        text = f"no harm of {self.NOTICEABLE_HARM:.0%} in {self.requests} tasks"
        return Verdict(False, True, excess, text)


class FixedThreshold:
    """The baseline for benchmarks: a fixed fraction more of failures than the others have."""

    MAX_EXCESS = 0.02
    MIN_REQUESTS = 50  # of each group

    def __init__(self) -> None:
        self.groups = [GroupCounts(), GroupCounts()]

    def observe(self, observation: Observation) -> None:
        """Adds an observation."""
        counts = self.groups[observation.released]
        self.groups[observation.released] = counts.plus(observation.requests, observation.failures)

    def is_exceeded(self) -> bool:
        """Tells whether the released group fails too often by now."""
        others, released = self.groups
        if min(others.requests, released.requests) < self.MIN_REQUESTS:
            return False
        failing = released.failures / released.requests
        return failing > others.failures / others.requests + self.MAX_EXCESS
