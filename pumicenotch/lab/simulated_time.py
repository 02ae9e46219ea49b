"""Simulated time: a clock that goes from event to event."""

import heapq
from collections.abc import Callable


class SimulatedTime:
    """Events happen in the order of their times; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now, self.count = 0.0, 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, when: float, do: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.events, (when, self.count, do))

    def run(self, for_ms: float) -> None:
        until = self.now + for_ms
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heapq.heappop(self.events)
            do()
        self.now = until
