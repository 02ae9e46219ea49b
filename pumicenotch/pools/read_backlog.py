"""The reserve in reading: while tasks wait long to be read, part of what is read belongs to reserved
pools.
"""


class Reading:
    """A task can't be known before it is read, so reading itself can't be reserved; what follows can. While
    reading is behind, a task of no reserved pool passes only as one of the part that is not kept; the others
    are turned away before any more effort goes into them, which is what lets reading catch up.
    """

    BEHIND_MS = 40.0  # to be read: some ticks; on a process that keeps up it is a few milliseconds
    SOON_MS = 4.0  # a stamp's millisecond, and a read's share of others before it
    PULL = 0.05  # of one task's wait in the mean
    IDLE_MS = 1000.0  # without a task nothing waits to be read

    def __init__(self, now: float, kept: float) -> None:
        self.kept, self.wait_ms, self.at = kept, 0.0, now
        self.seen = self.passed = 0  # since it fell behind
        self.turned_away = 0

    def passes(self, now: float, waited_ms: float, reserved: bool) -> bool:
        """Whether a task that waited so long to be read is looked at any further. Tasks read as soon as they
        came need not be told while the mean wait is as short.
        """
        if now - self.at > self.IDLE_MS:
            self.wait_ms = 0.0
        self.at = now
        # One task held up for seconds by its own connection is no sign of reading: it counts as ten times.
        self.wait_ms += self.PULL * (min(waited_ms, 10.0 * self.BEHIND_MS) - self.wait_ms)
        if self.wait_ms <= self.BEHIND_MS:
            self.seen = self.passed = 0
            return True
        self.seen += 1
        if not reserved and self.passed >= (1.0 - self.kept) * self.seen:
            self.turned_away += 1
            return False
        self.passed += not reserved
        return True
