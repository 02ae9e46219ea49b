"""The pause before a failed attempt is made again."""

from collections.abc import Callable

INITIAL_DELAY_MS = 20.0  # a restarted peer is found at once
MAX_DELAY_MS = 1000.0  # a peer that is long gone costs one dial a second
MAX_DOUBLINGS = 16


class Backoff:
    """Exponential backoff, of which half is jitter.

    Args:
        random_uniform: Draws a number between its two arguments.
    """

    def __init__(self, random_uniform: Callable[[float, float], float]) -> None:
        self.random_uniform = random_uniform
        self.failures = 0

    def record_failure(self) -> None:
        """Lengthens the next delay."""
        self.failures += 1

    def reset(self) -> None:
        """Forgets all failures: the next attempt is made without delay."""
        self.failures = 0

    def next_delay_ms(self) -> float:
        """Returns the time to wait before the next attempt: 0 if none has failed."""
        if not self.failures:
            return 0.0
        doublings = min(self.failures - 1, MAX_DOUBLINGS)
        delay_ms = min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2.0**doublings)
        return delay_ms * self.random_uniform(0.5, 1.0)
