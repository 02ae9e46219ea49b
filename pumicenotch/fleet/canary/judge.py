"""A sequential test of whether members with a new version fail more often than the others.

The test compares members of the same zone and cell, for the same request class, in the same
seconds. There is no comparison with an earlier day or moment: when the load doubles, both groups
fail more often, and the version is not the cause.

Each window of each stratum is a two-by-two table (released or not, failed or not). The sums of the
table give the expected failures of the released group and their variance (Mantel and Haenszel 1959;
the increments of the log-rank test). For a harmless version the sum of the differences is a
martingale, and Robbins' mixture bounds the martingale at all times at once (Robbins 1970; Howard et
al. 2021). The sum may therefore be examined after every window, and the probability of a false halt
stays under `ALPHA` for a whole release. Repeated examination under a bound for a single time finds
harm in any version (peeking).
"""

import math
from collections import defaultdict
from typing import NamedTuple


class Observation(NamedTuple):
    """The requests of one class that one member counted in one window."""

    stratum: str  # zone, cell and request class; the test compares only within a stratum
    released: bool  # whether the member runs the new version
    requests: int
    failures: int  # failed, late, or rejected while others of the member's zone did not reject


class Verdict(NamedTuple):
    """The result of the test on the observations of all closed windows."""

    harmful: bool
    conclusive: bool  # whether an excess of NOTICEABLE_HARM would have been detected by now
    excess: float  # failures of the released group beyond the expected, as a fraction of requests
    text: str


class GroupCounts(NamedTuple):
    """Requests and failures of one group in one window."""

    requests: int = 0
    failures: int = 0

    def plus(self, requests: int, failures: int) -> "GroupCounts":
        """Returns the counts with the given requests and failures added."""
        return GroupCounts(self.requests + requests, self.failures + failures)


class MixtureBound:
    """A sum of differences from expected values, and its bound for a harmless version."""

    ALPHA = 0.005  # probability of a false halt: one in 200 harmless releases
    # The variance at which the bound is tightest: dozens of failures, enough to detect an excess
    # of 5%.
    TIGHTEST_VARIANCE = 25.0

    def __init__(self) -> None:
        self.sum = 0.0
        self.variance = 0.0

    def add(self, difference: float, variance: float) -> None:
        """Adds a window's difference, and its variance under the assumption of no harm."""
        self.sum += difference
        # Requests that fail together, as on one slow core, spread the differences further than the
        # variance of the table.
        self.variance += max(variance, difference * difference)

    def value(self) -> float:
        """Returns the bound under which the sum stays at all times, but for ALPHA of releases."""
        total = self.variance + self.TIGHTEST_VARIANCE
        confidence = 2.0 * math.log(1.0 / self.ALPHA)
        return math.sqrt(total * (math.log(total / self.TIGHTEST_VARIANCE) + confidence))


class SequentialJudge:
    """A sequential test of whether the released group fails more often than the other group.

    The caller adds a window's observations with `observe` and ends the window with `close_window`.
    """

    NOTICEABLE_HARM = 0.05  # the excess that must be detectable before a wave may end

    def __init__(self) -> None:
        self.bound = MixtureBound()
        self.requests = 0  # of the released group
        self.failures = 0
        self.window: dict[str, list[GroupCounts]] = defaultdict(
            lambda: [GroupCounts(), GroupCounts()]
        )
        self.differences: dict[str, float] = defaultdict(float)  # excess failures by stratum

    def observe(self, observation: Observation) -> None:
        """Adds an observation to the current window."""
        groups = self.window[observation.stratum]
        counts = groups[observation.released]
        groups[observation.released] = counts.plus(observation.requests, observation.failures)

    def close_window(self) -> Verdict:
        """Ends the window, adds its differences to the sum, and returns the new verdict."""
        for stratum, (others, released) in sorted(self.window.items()):
            requests = others.requests + released.requests
            failures = others.failures + released.failures
            if not others.requests or not released.requests:
                continue  # the stratum has only one group, so there is no comparison
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
        """Returns the verdict on all closed windows."""
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
    """A fixed limit on the excess of failures, as the baseline of benchmarks."""

    MAX_EXCESS = 0.02  # fraction of requests
    MIN_REQUESTS = 50  # of each group

    def __init__(self) -> None:
        self.groups = [GroupCounts(), GroupCounts()]

    def observe(self, observation: Observation) -> None:
        """Adds an observation to the counts of its group."""
        counts = self.groups[observation.released]
        self.groups[observation.released] = counts.plus(observation.requests, observation.failures)

    def is_exceeded(self) -> bool:
        """Tells whether the released group's failure fraction exceeds the limit."""
        others, released = self.groups
        if min(others.requests, released.requests) < self.MIN_REQUESTS:
            return False
        failure_fraction = released.failures / released.requests
        return failure_fraction > others.failures / others.requests + self.MAX_EXCESS
