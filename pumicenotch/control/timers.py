"""A timer queue, and the two intervals on which the controller's periodic work runs."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

# Half the shortest time within which an answer is still useful.
TICK_INTERVAL_MS = 25.0
# Half the interval in the paper, which is longer than short surges of load.
SAMPLE_INTERVAL_MS = 1000.0


class TimerQueue:
    """Runs callbacks in the order of their times; equal times run in the order of scheduling."""

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, Callable[[float, Any], None], Any]] = []
        self._sequence = count()

    def schedule(self, at_ms: float, callback: Callable[[float, Any], None], argument: Any) -> None:
        """Schedules `callback(now, argument)` for the first `run_expired` at or after `at_ms`."""
        heapq.heappush(self._timers, (at_ms, next(self._sequence), callback, argument))

    def run_expired(self, now: float) -> None:
        """Runs every callback that is due, including due ones that callbacks schedule."""
        timers = self._timers
        while timers and timers[0][0] <= now:
            _, _, callback, argument = heapq.heappop(timers)
            callback(now, argument)

    def clear(self) -> None:
        """Drops all callbacks."""
        self._timers.clear()
