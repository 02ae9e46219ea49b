"""A timer that can be set to an earlier time while it is running."""

from collections.abc import Callable

import anyio
import anyio.lowlevel

from pumicenotch.net.clock import MAX_TIMER_MS, Clock


class ResettableTimer(Clock):
    """A clock whose sleeping timer wakes when it is set to an earlier time.

    The timer of `Clock` would sleep until the time that was set first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rescheduled = anyio.Event()

    def wake(self, delay_ms: float) -> None:
        """Sets the timer, and wakes it if it is sleeping until a later time."""
        previous_wake_at = self.wake_at
        super().wake(delay_ms)
        if self.wake_at < previous_wake_at:
            self.rescheduled.set()

    async def run(self, on_timer: Callable[[], None]) -> None:
        """Calls `on_timer` each time the timer expires, until cancelled."""
        while True:
            remaining_ms = self.wake_at - self.now()
            if remaining_ms > 0.0:
                self.rescheduled = anyio.Event()
                with anyio.move_on_after(remaining_ms / 1000.0):
                    await self.rescheduled.wait()
            else:
                self.wake(MAX_TIMER_MS)
                on_timer()
                await anyio.lowlevel.checkpoint()
