"""The time, and the one timer."""

import time
from collections.abc import Callable

import anyio
import anyio.lowlevel

MAX_TIMER_MS = 1000.0  # until the timer fires again where firing has not set it


class Clock:
    """Monotonic time for all that is timed here, and a timer that calls back when it is due."""

    def __init__(self) -> None:
        self.wake_at = 0.0

    def now(self) -> float:
        """Returns the time in ms, which neither jumps nor stops when the system's clock is set."""
        return time.monotonic() * 1000.0

    def unix(self) -> float:
        """Returns the Unix time in ms, for what others have stamped."""
        return time.time() * 1000.0

    def unix_offset(self) -> float:
        """Returns what the Unix clock is ahead of `now`; a stall makes it more, never less."""
        now = self.now()
        return self.unix() - now

    def wake(self, delay_ms: float) -> None:
        """Sets the timer."""
        self.wake_at = self.now() + delay_ms

    async def run(self, on_timer: Callable[[], None]) -> None:
        """Calls back whenever the timer is due, until it is cancelled."""
        while True:
            remaining_ms = self.wake_at - self.now()
            if remaining_ms > 0.0:
                await anyio.sleep(remaining_ms / 1000.0)
            else:
                self.wake(MAX_TIMER_MS)
                on_timer()
                await anyio.lowlevel.checkpoint()
