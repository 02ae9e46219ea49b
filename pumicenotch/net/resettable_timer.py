"""A timer that may be set to an earlier time while it sleeps."""

from collections.abc import Callable

import anyio
import anyio.lowlevel

from pumicenotch.net.clock import MAX_TIMER_MS, Clock


class ResettableTimer(Clock):
    """The clock, with a timer that notices when it is set to an earlier time."""

    def __init__(self) -> None:
        super().__init__()
        self.rescheduled = anyio.Event()

    def wake(self, delay_ms: float) -> None:
        """Sets the timer, and wakes it where it sleeps for longer."""
        before = self.wake_at
        super().wake(delay_ms)
        if self.wake_at < before:
            self.rescheduled.set()

    async def run(self, on_timer: Callable[[], None]) -> None:
        """Calls back whenever the timer is due, until it is cancelled."""
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
