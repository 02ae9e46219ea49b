"""The time, and the one periodic timer."""

import time
from collections.abc import Callable

import anyio


class Clock:
    def __init__(self) -> None:
        self.due = 0.0

    def now(self) -> float:
        """For all that is timed here: it neither jumps nor stands when the system's clock is set."""
        return time.monotonic() * 1000.0

    def unix(self) -> float:
        """For what others have stamped."""
        return time.time() * 1000.0

    def ahead(self) -> float:
        """What the Unix clock is ahead of `now`. A stall in between makes it more, never less."""
        now = self.now()
        return self.unix() - now

    def wake(self, after_ms: float) -> None:
        self.due = self.now() + after_ms

    async def run(self, ring: Callable[[], None]) -> None:
        while True:
            left = self.due - self.now()
            if left > 0.0:
                await anyio.sleep(left / 1000.0)
            else:
                self.wake(1000.0)  # the ring sets the next time; should it fail, this one holds
                ring()
                await anyio.sleep(0)
