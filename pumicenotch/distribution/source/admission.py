"""Rate limit on the bytes that a source sends to replicas, so that many can catch up at once."""


class TokenBucket:
    """A token bucket of bytes. One page may overdraw it, and later pages wait for the refill."""

    def __init__(self, rate_per_second: float, burst: float) -> None:
        self.rate_per_ms = rate_per_second / 1000.0
        self.burst = burst
        self.tokens = burst
        self._filled_at: float | None = None

    def _refill(self, now_ms: float) -> None:
        if self._filled_at is not None:
            refilled = max(0.0, now_ms - self._filled_at) * self.rate_per_ms
            self.tokens = min(self.burst, self.tokens + refilled)
        self._filled_at = now_ms

    def is_open(self, now_ms: float) -> bool:
        """Returns whether a page may be sent now."""
        self._refill(now_ms)
        return self.tokens > 0.0

    def spend(self, size: int) -> None:
        """Deducts bytes that were sent."""
        self.tokens -= size

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time in milliseconds until a page may be sent."""
        self._refill(now_ms)
        return max(0.0, -self.tokens / self.rate_per_ms)
