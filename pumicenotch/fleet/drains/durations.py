"""How long drains take, as one process has seen them."""

from collections.abc import Collection, Mapping
from statistics import median_high

KEPT = 16  # durations of the last permits


class DrainTimes:
    """When this process saw each wait or permit begin, and how long the last permits lasted."""

    def __init__(self) -> None:
        self.seen_at: dict[str, float] = {}  # by member that waits or holds a permit
        self.durations: list[float] = []

    def observe(
        self,
        now: float,
        before: Collection[str],
        permits: Mapping[str, object],
        waits: Collection[str],
    ) -> None:
        """After an entry: who held a permit before it, who does now, and who waits."""
        for name in before:
            if name not in permits and name in self.seen_at:
                self.durations = [*self.durations, now - self.seen_at.pop(name)][-KEPT:]
        for name in permits:
            if name not in before:
                self.seen_at[name] = now
        for name in waits:
            self.seen_at.setdefault(name, now)
        for name in [name for name in self.seen_at if name not in permits and name not in waits]:
            del self.seen_at[name]

    def lasted_ms(self, now: float, name: str) -> float:
        """How long it waits or holds a permit."""
        return round(now - self.seen_at[name]) if name in self.seen_at else 0.0

    def median_ms(self) -> int:
        """Of the last permits; 0 while none has ended."""
        return round(median_high(self.durations)) if self.durations else 0
