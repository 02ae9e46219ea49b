"""Estimates the share of a processor core that a process gets beside other work of the machine."""

from collections import deque
from typing import NamedTuple

# Observations that the estimate covers: a few tenths of a second where turns take long.
MAX_OBSERVATIONS = 16
# Time on a core of its own that is added to the observations. Without it, one wait between a few
# short turns would look like a crowded core.
PRIOR_MS = 5.0


class BusyTime(NamedTuple):
    """A time in which the process had work throughout, and the part of it on a core."""

    elapsed_ms: float
    processor_ms: float

    @property
    def waited_ms(self) -> float:
        """The time in which the process did not run."""
        return max(0.0, self.elapsed_ms - self.processor_ms)


class CoreShare:
    """The share of a core, from the latest observations.

    The longest wait among them does not count: a process that was stopped once is not starved.
    """

    def __init__(self) -> None:
        self._observations: deque[BusyTime] = deque(maxlen=MAX_OBSERVATIONS)

    def observe(self, busy: BusyTime) -> None:
        """Adds an observation; the oldest one is dropped."""
        self._observations.append(busy)

    @property
    def fraction(self) -> float:
        """The share, above 0 and at most 1; 1 without observations."""
        processor_ms = PRIOR_MS + sum(busy.processor_ms for busy in self._observations)
        waits_ms = [busy.waited_ms for busy in self._observations]
        waited_ms = sum(waits_ms) - max(waits_ms, default=0.0)
        return processor_ms / (processor_ms + waited_ms)
