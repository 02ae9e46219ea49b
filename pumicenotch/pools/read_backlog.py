"""While requests wait long to be read, a fraction of what is read is kept for reserved pools."""

# Mean wait from which reading is behind: some ticks. Where it keeps up, it is a few ms.
BEHIND_MS = 40.0
# A request that waited less is admitted without being noted, while the mean wait is as short.
NEGLIGIBLE_WAIT_MS = 4.0
# One held up for seconds by its own connection is no sign of a backlog: it counts as this.
MAX_SAMPLE_MS = 10.0 * BEHIND_MS
SAMPLE_WEIGHT = 0.05
# After so long without a request nothing can be waiting to be read.
IDLE_MS = 1000.0


class ReadBacklog:
    """Sheds requests of pools without a reserve while reading is behind.

    The class of a request is not known before it is read, so reading itself cannot be reserved;
    what follows can. Rejecting before any more work is done is what lets reading catch up.
    """

    def __init__(self, now: float, reserved_fraction: float) -> None:
        self.mean_wait_ms = 0.0
        self.rejected = 0
        self._reserved_fraction = reserved_fraction
        self._last_read_at = now
        self._read = 0  # since reading fell behind
        self._admitted = 0  # of those

    def admits(self, now: float, waited_ms: float, is_reserved: bool) -> bool:
        """Whether a request is to be considered further.

        Args:
            now: the present time, ms.
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
