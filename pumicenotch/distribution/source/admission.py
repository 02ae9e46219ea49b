"""How much a source sends to those who catch up: a storm of rejoining replicas is admitted at a rate that it
bears.
"""


class TokenBucket:
    """Bytes that may be sent: they come back at a rate, up to a burst. A page may overdraw it once."""

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
        self.tokens -= size

    def wait_ms(self, now_ms: float) -> float:
        """Until it is open again."""
        self._fill(now_ms)
        return max(0.0, -self.tokens / self.rate_per_ms)
