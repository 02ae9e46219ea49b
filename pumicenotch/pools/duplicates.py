"""Recognizes unmarked retries: requests with the content of one that was rejected a moment ago.

Only rejected requests are remembered: a caller that was served has no reason to retry, and two
requests with the same content that were both served are two requests. docs/pools.md says how often
this is wrong. It decides on retry budgets alone, which act only while slots are short.
"""

# In a generation: more rejections than a server makes in seconds; some 300 KB at most.
MAX_DIGESTS = 4096


class DuplicateDetector:
    """Content digests of what was rejected in the last one to two windows.

    They are kept in two generations of bounded size. A full generation ends early, so that under a
    flood the window shrinks and not the memory grows: retries are missed then, and no first attempt
    is taken for one.
    """

    def __init__(self, now: float, window_ms: float) -> None:
        """Start with nothing remembered; a window of 0 remembers nothing ever."""
        self.recent: set[int] = set()
        self.previous: set[int] = set()
        self.shortened_windows = 0
        self._window_ms = window_ms
        self._window_started_at = now

    def is_duplicate(self, now: float, content_digest: int) -> bool:
        """Whether a request of that content was rejected lately; never for 0, no content."""
        if now - self._window_started_at >= self._window_ms:
            self._rotate(now)
        return content_digest in self.recent or content_digest in self.previous

    def remember(self, now: float, content_digest: int) -> None:
        """Note a rejected request."""
        if content_digest and self._window_ms:
            if len(self.recent) >= MAX_DIGESTS:
                self._rotate(now)
            self.recent.add(content_digest)

    def _rotate(self, now: float) -> None:
        is_full = len(self.recent) >= MAX_DIGESTS
        self.shortened_windows += is_full
        is_current = now - self._window_started_at < 2.0 * self._window_ms
        self.previous = self.recent if is_full or is_current else set()
        self.recent = set()
        self._window_started_at = now
