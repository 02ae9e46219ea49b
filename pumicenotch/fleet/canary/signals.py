"""Detectors of harm that the comparison of failures alone does not show.

`CanaryAnalysis` feeds the detectors window by window and asks each one for a reason to halt.
"""

import math
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from pumicenotch.fleet.canary.counts import RequestCounts, total_of
from pumicenotch.fleet.canary.judge import MixtureBound
from pumicenotch.fleet.releases.release import Release
from pumicenotch.fleet.replicated.state import FleetState


class CallAmplification:
    """Detects released members that make more dependency calls per request than the others.

    The detector compares the released members' fraction of all calls with their fraction of all
    requests, stratum by stratum, under the same bound as SequentialJudge.
    """

    # Calls per request, relative to the others. A smaller increase may be what the version is meant
    # to do.
    MIN_RATIO = 1.5

    def __init__(self) -> None:
        self.bound = MixtureBound()
        self.calls = 0.0  # of the released members
        self.expected_calls = 0.0

    def observe(self, others: RequestCounts, released: RequestCounts) -> None:
        """Adds one window of one stratum."""
        requests = others.requests + released.requests
        calls = others.calls + released.calls
        if min(others.requests, released.requests) <= 0 or not calls:
            return
        fraction = released.requests / requests
        difference = released.calls - calls * fraction
        self.bound.add(difference, calls * fraction * (1.0 - fraction))
        self.calls += released.calls
        self.expected_calls += released.requests * others.calls / others.requests

    def harm_reason(self) -> str:
        """Returns the reason to halt the release; "" if there is none."""
        is_likely = self.bound.sum >= self.bound.value()
        if not is_likely or self.calls < self.MIN_RATIO * self.expected_calls:
            return ""
        ratio = self.calls / max(1.0, self.expected_calls)
        return (
            f"the released ones call the services below {ratio:.1f} times as often for a task as"
            " the others"
        )


class DependencyHealth:
    """Detects dependency calls of all members that got worse since the wave moved.

    A version that overloads a shared dependency harms both groups alike. The detector reports
    nothing if the request rate has grown, because the load may then be the cause.
    """

    MIN_WINDOWS = 5  # before the wave moves, and after
    MAX_FAILURE_INCREASE = 0.1  # of the failed fraction of calls, beyond the baseline
    MAX_SLOWDOWN = 3.0  # mean duration of a call, relative to the baseline
    MAX_LOAD_RATIO = 1.25  # first attempts per window, relative to the baseline

    def __init__(self) -> None:
        self.windows: list[RequestCounts] = []  # the latest windows since the wave moved

    def observe(self, total: RequestCounts, has_moved: bool) -> None:
        """Adds one window with the total counts of all members."""
        self.windows = [*self.windows, total][-self.MIN_WINDOWS :] if has_moved else []

    def harm_reason(self, baseline: tuple[float, ...]) -> str:
        """Returns the reason to halt the release; "" if there is none.

        Args:
            baseline: the release's baseline, empty while unknown.
        """
        total = total_of(self.windows)
        if len(self.windows) < self.MIN_WINDOWS or not baseline or not total.calls:
            return ""
        _, first_attempts, failed_fraction, mean_ms = baseline
        failed_now = total.failed_calls / total.calls
        mean_ms_now = total.call_ms / total.calls
        if total.first_attempts / self.MIN_WINDOWS > self.MAX_LOAD_RATIO * first_attempts:
            return ""
        fails_more = failed_now >= failed_fraction + self.MAX_FAILURE_INCREASE
        if not fails_more and mean_ms_now < self.MAX_SLOWDOWN * mean_ms:
            return ""
        return (
            "below, all are worse off since this wave has the version, and no more tasks come:"
            f" {failed_now:.0%} of calls go badly (before: {failed_fraction:.0%}),"
            f" {mean_ms_now:.0f} ms each (before: {mean_ms:.0f})"
        )


# The probability that chance alone makes the crashes of a harmless release look like harm.
MAX_FALSE_CRASH_ALARM_PROBABILITY = 0.01


def crash_harm_reason(release: Release, state: FleetState) -> str:
    """Returns the reason to halt a release whose servers crash too often; "" if there is none.

    For a harmless version, each crash falls on a released node with at most the probability of
    the released nodes' fraction of all nodes, because they have run the version for only a part of
    the time. The test is the tail of the binomial distribution.
    """
    nodes = [state.releases.nodes[name] for name in release.nodes if name in state.releases.nodes]
    released = [node for node in nodes if state.releases.runs_version(release, node.name)]
    released_crashes = sum(node.crashes for node in released)
    crashes = sum(node.crashes for node in nodes)
    if not released_crashes or len(released) == len(nodes):
        return ""
    fraction = len(released) / len(nodes)
    probability = sum(
        math.comb(crashes, count) * fraction**count * (1.0 - fraction) ** (crashes - count)
        for count in range(released_crashes, crashes + 1)
    )
    if probability > MAX_FALSE_CRASH_ALARM_PROBABILITY:
        return ""
    return (
        f"{released_crashes} ends that nobody asked for at {len(released)} released nodes,"
        f" {crashes - released_crashes} at the other {len(nodes) - len(released)}"
    )


class ZoneMemory(NamedTuple):
    """The memory of the processes of one zone, in MB."""

    others: list[float]
    released: list[float]


class MemoryGrowth:
    """Detects released processes that use much more memory than the others of their zone.

    Both limits must be exceeded: a smaller increase exhausts no machine's memory.
    """

    MAX_RATIO = 1.5
    MAX_DIFFERENCE_MB = 64.0
    MIN_WINDOWS = 10  # in a row

    def __init__(self) -> None:
        self.windows = 0  # consecutive windows in which a zone exceeded both limits
        self.text = ""

    def observe(self, zones: Iterable[ZoneMemory]) -> None:
        """Adds one window of all zones."""
        exceeded = [text for zone in zones if (text := self._excess_text(zone))]
        if not exceeded:
            self.windows = 0
            return
        self.windows += 1
        self.text = exceeded[0]

    def _excess_text(self, zone: ZoneMemory) -> str:
        if not zone.others or not zone.released:
            return ""
        released_mb = median(zone.released)
        others_mb = max(zone.others)
        is_large = released_mb > others_mb + self.MAX_DIFFERENCE_MB
        if released_mb <= self.MAX_RATIO * others_mb or not is_large:
            return ""
        return (
            f"a released process holds {released_mb:.0f} MB, the others of its zone {others_mb:.0f}"
        )

    def harm_reason(self) -> str:
        """Returns the reason to halt the release; "" if there is none."""
        return self.text if self.windows >= self.MIN_WINDOWS else ""
