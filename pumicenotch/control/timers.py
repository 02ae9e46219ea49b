"""A timer queue, and the two intervals on which the controller's periodic work runs."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any

# Half the shortest time within which an answer is still useful.
TICK_INTERVAL_MS = 25.0
# Half the interval in the paper, which is longer than short surges of load.
SAMPLE_INTERVAL_MS = 1000.0


Callback = Callable[[float, Any], None]
# A queue with fewer timers than this is not compacted.
MIN_COMPACTED_TIMERS = 64


class Timer:
    """A scheduled callback and its argument; `callback` is None once it has run or is cancelled."""

    __slots__ = ("_queue", "argument", "callback")

    def __init__(self, queue: "TimerQueue", callback: Callback, argument: Any) -> None:
        self._queue = queue
        self.callback: Callback | None = callback
        self.argument = argument

    def cancel(self) -> None:
        """Drops the callback and its argument; no effect if it has run or is cancelled."""
        if self.callback is not None:
            self.callback = None
            self.argument = None
            self._queue.on_cancelled()


class TimerQueue:
    """Runs callbacks in the order of their times; equal times run in the order of scheduling.

    The queue holds at most as many cancelled timers as scheduled ones, or `MIN_COMPACTED_TIMERS`.
    """

    def __init__(self) -> None:
        self._timers: list[tuple[float, int, Timer]] = []
        self._sequence = count()
        self._cancelled = 0

    def __len__(self) -> int:
        """The number of scheduled timers."""
        return len(self._timers) - self._cancelled

    def schedule(self, at_ms: float, callback: Callback, argument: Any) -> Timer:
        """Schedules `callback(now, argument)` for the first `run_expired` at or after `at_ms`."""
        timer = Timer(self, callback, argument)
        heapq.heappush(self._timers, (at_ms, next(self._sequence), timer))
        return timer

    def on_cancelled(self) -> None:
        """Counts a cancelled timer, and removes all of them once they are the greater part."""
        self._cancelled += 1
        if len(self._timers) >= MIN_COMPACTED_TIMERS and 2 * self._cancelled > len(self._timers):
            self._compact()

    def run_expired(self, now: float) -> None:
        """Runs every callback that is due, including due ones that callbacks schedule."""
        while self._timers and self._timers[0][0] <= now:
            _, _, timer = heapq.heappop(self._timers)
            callback = timer.callback
            if callback is None:
                self._cancelled -= 1
                continue
            timer.callback = None
            callback(now, timer.argument)

    def clear(self) -> None:
        """Drops all callbacks."""
        self._timers.clear()
        self._cancelled = 0

    def _compact(self) -> None:
        self._timers = [entry for entry in self._timers if entry[2].callback is not None]
        heapq.heapify(self._timers)
        self._cancelled = 0
