"""Detects unmarked retries: requests with the content of a request that was rejected recently.

Only rejected requests are stored: a served caller has no reason to retry, and two served requests
with equal content are two separate requests. docs/pools.md states how often the detection is wrong.
A detection affects only retry budgets, which act only while slots are short.
"""

# Digests per generation: more than the rejections of a server within seconds, at most some 300 KB.
MAX_DIGESTS = 4096


class DuplicateDetector:
    """Stores the content digests of requests rejected in the last one to two windows.

    Digests are kept in two generations of bounded size. A full generation ends early, so that a
    flood shortens the window instead of growing the memory. Some retries are then missed, but no
    first attempt is mistaken for a retry.

    Attributes:
        recent: the digests of the current generation.
        previous: the digests of the generation before.
        shortened_windows: how many generations ended early.
    """

    def __init__(self, now: float, window_ms: float) -> None:
        """Creates an empty detector; a window of 0 disables it."""
        self.recent: set[int] = set()
        self.previous: set[int] = set()
        self.shortened_windows = 0
        self._window_ms = window_ms
        self._window_started_at = now

    def is_duplicate(self, now: float, content_digest: int) -> bool:
        """Returns whether a request with this digest was rejected recently; False for digest 0."""
        if now - self._window_started_at >= self._window_ms:
            self._rotate(now)
        return content_digest in self.recent or content_digest in self.previous

    def remember(self, now: float, content_digest: int) -> None:
        """Stores the digest of a rejected request; 0 stands for an unknown digest."""
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
