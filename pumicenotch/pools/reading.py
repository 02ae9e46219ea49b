"""The reserve in reading: while tasks wait long to be read, part of what is read belongs to reserved
pools."""

from pumicenotch.pools.estimate import Rate


class Reading:
    """A task cannot be known before it is read, so reading itself can't be reserved; what follows can. While
    reading is behind, a task of no reserved pool passes only as one of the part that is not kept; the others
    are turned away before any more effort goes into them, which is what lets reading catch up."""

    BEHIND_MS = 40.0  # to be read: some ticks; on a process that keeps up it is a few milliseconds
    PULL = 0.05  # of one task's wait in the mean
    SPAN_MS = 500.0

    def __init__(self, now: float, kept: float) -> None:
        self.kept, self.wait_ms, self.at = kept, 0.0, now
        self.rate, self.passed = Rate(now, self.SPAN_MS), Rate(now, self.SPAN_MS)
        self.turned_away = 0

    def behind(self, now: float) -> bool:
        if now - self.at > 1000.0:  # a second without a task: nothing waits to be read
            self.wait_ms, self.at = 0.0, now
        return self.wait_ms > self.BEHIND_MS

    def passes(self, now: float, waited_ms: float, reserved: bool) -> bool:
        """Whether a task that waited so long to be read is looked at any further."""
        behind = self.behind(now)
        self.at = now
        # One task held up for seconds by its own connection is no sign of reading: it counts as ten times.
        self.wait_ms += self.PULL * (min(waited_ms, 10.0 * self.BEHIND_MS) - self.wait_ms)
        self.rate.add(now)
        if reserved or not behind:
            return True
        if self.passed.read(now) >= (1.0 - self.kept) * self.rate.read(now):
            self.turned_away += 1
            return False
        self.passed.add(now)
        return True
