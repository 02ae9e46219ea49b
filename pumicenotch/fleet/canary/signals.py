"""Signs of harm that the comparison of failures alone does not show."""

import math
from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from pumicenotch.fleet.canary.counts import RequestCounts, total_of
from pumicenotch.fleet.canary.judge import MixtureBound
from pumicenotch.fleet.releases.release import Release
from pumicenotch.fleet.replicated.state import FleetState


class CallAmplification:
    """Whether released members call dependencies more often for a request than the others.

    Their fraction of all calls is compared with their fraction of all requests, stratum by stratum,
    under the same bound that SequentialJudge has.
    """

    MIN_RATIO = 1.5  # calls for a request, against the others': less is a version's own business

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

    def harm(self) -> str:
        """Returns what was found; "" if nothing."""
        is_likely = self.bound.sum >= self.bound.value()
        if not is_likely or self.calls < self.MIN_RATIO * self.expected_calls:
            return ""
        ratio = self.calls / max(1.0, self.expected_calls)
        return (
            f"the released ones call the services below {ratio:.1f} times as often for a task as"
            " the others"
        )


class DependencyHealth:
    """Whether all members' calls fare worse than before the wave moved, without more requests."""

    MIN_WINDOWS = 5  # before the wave moved, and since
    MORE_FAILURES = 0.1  # of the calls, beyond the baseline
    MAX_SLOWDOWN = 3.0  # of the calls' mean time, against the baseline
    MAX_LOAD_RATIO = 1.25  # of the requests: beyond, the load may be the cause

    def __init__(self) -> None:
        self.windows: list[RequestCounts] = []  # since the wave moved

    def observe(self, total: RequestCounts, has_moved: bool) -> None:
        """Adds one window of all members."""
        self.windows = [*self.windows, total][-self.MIN_WINDOWS :] if has_moved else []

    def harm(self, baseline: tuple[float, ...]) -> str:
        """Returns what was found, against a release's baseline; "" if nothing."""
        total = total_of(self.windows)
        if len(self.windows) < self.MIN_WINDOWS or not baseline or not total.calls:
            return ""
        _, first_attempts, failed_fraction, mean_ms = baseline
        failed_now = total.failed_calls / total.calls
        mean_ms_now = total.call_ms / total.calls
        if total.first_attempts / self.MIN_WINDOWS > self.MAX_LOAD_RATIO * first_attempts:
            return ""
        fails_more = failed_now >= failed_fraction + self.MORE_FAILURES
        if not fails_more and mean_ms_now < self.MAX_SLOWDOWN * mean_ms:
            return ""
        return (
            "below, all are worse off since this wave has the version, and no more tasks come:"
            f" {failed_now:.0%} of calls go badly (before: {failed_fraction:.0%}),"
            f" {mean_ms_now:.0f} ms each (before: {mean_ms:.0f})"
        )


# The probability that a harmless release's crashes are all taken for its own.
FALSE_CRASH_ALARMS = 0.01


def crash_harm(release: Release, state: FleetState) -> str:
    """Returns whether released nodes' servers crash more often than by chance; "" if they do not.

    Each crash would be a released node's with at most the probability of their fraction of all
    nodes, since they have had the version for a part of the time only (a binomial tail).
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
    if probability > FALSE_CRASH_ALARMS:
        return ""
    return (
        f"{released_crashes} ends that nobody asked for at {len(released)} released nodes,"
        f" {crashes - released_crashes} at the other {len(nodes) - len(released)}"
    )


class ZoneMemory(NamedTuple):
    """The memory of one zone's processes, in MB."""

    others: list[float]
    released: list[float]


class MemoryGrowth:
    """Whether released processes use much more memory than the others of their zone."""

    MAX_RATIO = 1.5
    MAX_DIFFERENCE_MB = 64.0  # both are exceeded: below that nobody runs out of memory
    MIN_WINDOWS = 10  # in a row

    def __init__(self) -> None:
        self.windows = 0  # in a row, in which they did
        self.text = ""

    def observe(self, zones: Iterable[ZoneMemory]) -> None:
        """Adds one window of all zones."""
        exceeded = [text for zone in zones if (text := self._excess(zone))]
        if not exceeded:
            self.windows = 0
            return
        self.windows += 1
        self.text = exceeded[0]

    def _excess(self, zone: ZoneMemory) -> str:
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

    def harm(self) -> str:
        """Returns what was found; "" if nothing."""
        return self.text if self.windows >= self.MIN_WINDOWS else ""
