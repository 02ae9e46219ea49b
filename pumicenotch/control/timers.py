"""Callbacks at times of their own, and the two intervals on which everything else runs."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

TICK_INTERVAL_MS = 25.0  # half the shortest time in which an answer is still of use
SAMPLE_INTERVAL_MS = 1000.0  # half the paper's, which outlasts short surges


class TimerQueue:
    """Runs callbacks in the order of their times; those of one time in the order of scheduling."""

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, Callable[[float, Any], None], Any]] = []
        self._sequence = count()

    def schedule(self, at_ms: float, callback: Callable[[float, Any], None], argument: Any) -> None:
        """Call `callback(now, argument)` at the first `run_expired` from that time on."""
        heapq.heappush(self._timers, (at_ms, next(self._sequence), callback, argument))

    def run_expired(self, now: float) -> None:
        """Run every callback whose time has come, those that they schedule included."""
        timers = self._timers
        while timers and timers[0][0] <= now:
            _, _, callback, argument = heapq.heappop(timers)
            callback(now, argument)

    def clear(self) -> None:
        """Drop all callbacks."""
        self._timers.clear()
