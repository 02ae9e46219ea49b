"""Durations of drains, as measured by one process."""

from collections.abc import Collection, Mapping
from statistics import median_high

MAX_DURATIONS = 16  # number of last permits whose durations are kept


class DrainDurations:
    """Measures how long members wait for and hold drain permits, by this process's clock."""

    def __init__(self) -> None:
        # When a member's wait or permit began, by member name.
        self.began_at_ms: dict[str, float] = {}
        self.durations_ms: list[float] = []

    def observe(
        self,
        now_ms: float,
        previous_holders: Collection[str],
        permits: Mapping[str, object],
        waiting: Collection[str],
    ) -> None:
        """Records which waits and permits an applied entry began and ended.

        Args:
            now_ms: the current time.
            previous_holders: names of the members that held permits before the entry.
            permits: the permits after the entry, by member name.
            waiting: names of the members that wait for a permit after the entry.
        """
        for name in previous_holders:
            if name not in permits and name in self.began_at_ms:
                duration_ms = now_ms - self.began_at_ms.pop(name)
                self.durations_ms = [*self.durations_ms, duration_ms][-MAX_DURATIONS:]
        for name in permits:
            if name not in previous_holders:
                self.began_at_ms[name] = now_ms
        for name in waiting:
            self.began_at_ms.setdefault(name, now_ms)
        ended = [name for name in self.began_at_ms if name not in permits and name not in waiting]
        for name in ended:
            del self.began_at_ms[name]

    def elapsed_ms(self, now_ms: float, name: str) -> float:
        """Returns how many ms a member has waited or held its permit; 0 if it does neither."""
        if name not in self.began_at_ms:
            return 0.0
        return round(now_ms - self.began_at_ms[name])

    def median_ms(self) -> int:
        """Returns the median duration of the last permits in ms; 0 if none has ended yet."""
        return round(median_high(self.durations_ms)) if self.durations_ms else 0
