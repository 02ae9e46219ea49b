"""How much a source sends to replicas that catch up, so that it survives many at one time."""


class TokenBucket:
    """Bytes that may be sent, refilled at a rate up to a burst. One page may overdraw it."""

    def __init__(self, rate_per_second: float, burst: float) -> None:
        self.rate_per_ms = rate_per_second / 1000.0
        self.burst = burst
        self.tokens = burst
        self._filled_at: float | None = None

    def _fill(self, now_ms: float) -> None:
        if self._filled_at is not None:
            gained = max(0.0, now_ms - self._filled_at) * self.rate_per_ms
            self.tokens = min(self.burst, self.tokens + gained)
        self._filled_at = now_ms

    def is_open(self, now_ms: float) -> bool:
        """Whether a page may be sent now."""
        self._fill(now_ms)
        return self.tokens > 0.0

    def spend(self, size: int) -> None:
        """Count bytes as sent."""
        self.tokens -= size

    def wait_ms(self, now_ms: float) -> float:
        """Return how long it is until a page may be sent."""
        self._fill(now_ms)
        return max(0.0, -self.tokens / self.rate_per_ms)
