"""Exponential backoff with jitter, for dials and reports."""

from collections.abc import Callable

INITIAL_DELAY_MS = 20.0  # short, so that a restarted peer is reached quickly
MAX_DELAY_MS = 1000.0  # limits dials to an absent peer to about one per second
MAX_DOUBLINGS = 16


class Backoff:
    """Doubles the delay with each failure; up to half of the delay is jitter.

    Args:
        random_uniform: Draws a number between its two arguments.
    """

    def __init__(self, random_uniform: Callable[[float, float], float]) -> None:
        self.random_uniform = random_uniform
        self.failures = 0

    def record_failure(self) -> None:
        """Records a failed attempt, which doubles the next delay up to MAX_DELAY_MS."""
        self.failures += 1

    def reset(self) -> None:
        """Clears all failures, so that the next attempt is made without delay."""
        self.failures = 0

    def next_delay_ms(self) -> float:
        """Returns the delay before the next attempt; 0 without failures since the last reset."""
        if not self.failures:
            return 0.0
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay_ms = min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2.0**doublings)
        return delay_ms * self.random_uniform(0.5, 1.0)
