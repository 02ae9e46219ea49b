"""The time of a run on loopback, in ms from its begin."""

import asyncio
from collections.abc import Callable


class RunClock:
    """`start` it inside the event loop."""

    def __init__(self) -> None:
        self.began_ms = 0.0  # on the loop's clock

    def start(self, after_ms: float = 0.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.began_ms = self.loop.time() * 1000.0 + after_ms

    def now(self) -> float:
        return self.loop.time() * 1000.0 - self.began_ms

    def at(self, when: float, do: Callable[[float], None]) -> asyncio.TimerHandle:
        return self.loop.call_at((when + self.began_ms) / 1000.0, lambda: do(self.now()))
