"""The process's clock, with one timer."""

import time
from collections.abc import Callable

import anyio
import anyio.lowlevel

MAX_TIMER_MS = 1000.0  # Time until the next call if the callback does not set the timer.


class Clock:
    """Monotonic time in ms, and a timer that calls back when it expires."""

    def __init__(self) -> None:
        self.wake_at = 0.0

    def now(self) -> float:
        """Returns monotonic time in ms, which is unaffected by changes to the system's clock."""
        return time.monotonic() * 1000.0

    def unix(self) -> float:
        """Returns Unix time in ms, for comparison with timestamps of other processes."""
        return time.time() * 1000.0

    def unix_offset(self) -> float:
        """Returns Unix time minus `now` in ms.

        A stall between reading the two clocks can only increase the result.
        """
        now = self.now()
        return self.unix() - now

    def wake(self, delay_ms: float) -> None:
        """Sets the timer to expire after `delay_ms`."""
        self.wake_at = self.now() + delay_ms

    async def run(self, on_timer: Callable[[], None]) -> None:
        """Calls `on_timer` each time the timer expires, until cancelled."""
        while True:
            remaining_ms = self.wake_at - self.now()
            if remaining_ms > 0.0:
                await anyio.sleep(remaining_ms / 1000.0)
            else:
                self.wake(MAX_TIMER_MS)
                on_timer()
                await anyio.lowlevel.checkpoint()
