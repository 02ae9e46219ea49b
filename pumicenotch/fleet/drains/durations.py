"""How long drains take, as one process has seen them."""

from collections.abc import Collection, Mapping
from statistics import median_high

MAX_DURATIONS = 16  # of the last permits


class DrainDurations:
    """When this process saw each wait or permit begin, and how long the last permits lasted."""

    def __init__(self) -> None:
        self.observed_at_ms: dict[str, float] = {}  # by member that waits or holds a permit
        self.durations_ms: list[float] = []

    def observe(
        self,
        now_ms: float,
        previous_holders: Collection[str],
        permits: Mapping[str, object],
        waiting: Collection[str],
    ) -> None:
        """Notes what an entry changed: who held a permit before it, who does now, and who waits."""
        for name in previous_holders:
            if name not in permits and name in self.observed_at_ms:
                duration_ms = now_ms - self.observed_at_ms.pop(name)
                self.durations_ms = [*self.durations_ms, duration_ms][-MAX_DURATIONS:]
        for name in permits:
            if name not in previous_holders:
                self.observed_at_ms[name] = now_ms
        for name in waiting:
            self.observed_at_ms.setdefault(name, now_ms)
        ended = [
            name for name in self.observed_at_ms if name not in permits and name not in waiting
        ]
        for name in ended:
            del self.observed_at_ms[name]

    def elapsed_ms(self, now_ms: float, name: str) -> float:
        """Returns how long a member has waited or held its permit; 0 if it does neither."""
        if name not in self.observed_at_ms:
            return 0.0
        return round(now_ms - self.observed_at_ms[name])

    def median_ms(self) -> int:
        """Returns the median of the last permits; 0 while none has ended."""
        return round(median_high(self.durations_ms)) if self.durations_ms else 0
