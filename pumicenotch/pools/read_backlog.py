"""Reserves a fraction of the requests read for reserved pools while reading is behind."""

# Reading is behind above this mean wait, which is more than a tick. Otherwise it is a few ms.
BEHIND_MS = 40.0
# A request that waited less is admitted without being counted, while the mean wait is also lower.
NEGLIGIBLE_WAIT_MS = 4.0
# Upper bound of a sample. A request that its own connection delayed for seconds does not indicate a
# backlog.
MAX_SAMPLE_MS = 10.0 * BEHIND_MS
# The weight of one sample in the mean wait.
SAMPLE_WEIGHT = 0.05
# After this time without a request there can be no backlog.
IDLE_MS = 1000.0


class ReadBacklog:
    """Sheds requests of pools without a reserve while reading is behind.

    The class of a request is unknown until it is read, so reading itself cannot be reserved, but
    the work after it can. Rejecting requests before further work lets reading catch up.

    Attributes:
        mean_wait_ms: the moving mean of the time that requests wait to be read.
        rejected: the number of requests shed.
    """

    def __init__(self, now: float, reserved_fraction: float) -> None:
        self.mean_wait_ms = 0.0
        self.rejected = 0
        self._reserved_fraction = reserved_fraction
        self._last_read_at = now
        # Requests read since reading fell behind, and those of them that were admitted without a
        # reserve.
        self._read = 0
        self._admitted = 0

    def admits(self, now: float, waited_ms: float, is_reserved: bool) -> bool:
        """Returns whether a request is admitted, and updates the mean wait.

        Args:
            now: the current time, ms.
            waited_ms: how long the request waited to be read.
            is_reserved: whether its pool has a reserve.
        """
        if now - self._last_read_at > IDLE_MS:
            self.mean_wait_ms = 0.0
        self._last_read_at = now
        self.mean_wait_ms += SAMPLE_WEIGHT * (min(waited_ms, MAX_SAMPLE_MS) - self.mean_wait_ms)
        if self.mean_wait_ms <= BEHIND_MS:
            self._read = 0
            self._admitted = 0
            return True
        self._read += 1
        if not is_reserved and self._admitted >= (1.0 - self._reserved_fraction) * self._read:
            self.rejected += 1
            return False
        self._admitted += not is_reserved
        return True
