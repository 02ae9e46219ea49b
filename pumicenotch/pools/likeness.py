"""Tells unmarked repeats: the same content read again within a window is taken for another try of it.

How wrong this is (docs/pools.md has the measured figures): a caller that sends the same bytes for two
different tasks is counted as repeating, a caller that changes the content or tries another server first is
not seen. It decides on budgets alone, which act only while places are short."""


class Likeness:
    """Content prints of the last one to two windows, in two generations of a bounded size.

    A full generation ends early, so that under a flood the memory of it gets shorter and not larger: repeats
    are then missed, and first tries are never taken for repeats on that account."""

    MOST = 4096  # prints a generation: a second of far more than one server can read, some 300 KB at the most

    def __init__(self, now: float, window_ms: float) -> None:
        self.window_ms, self.since = window_ms, now
        self.young: set[int] = set()
        self.old: set[int] = set()
        self.cut_short = 0

    def seen(self, now: float, mark: int) -> bool:
        """Whether that content was read before; from now on it was. 0 is no content and never seen."""
        if not mark or not self.window_ms:
            return False
        young = self.young
        if now - self.since >= self.window_ms or len(young) >= self.MOST:
            young = self.turn(now)
        if mark in young:
            return True
        young.add(mark)
        return mark in self.old

    def turn(self, now: float) -> set[int]:
        full = len(self.young) >= self.MOST
        self.cut_short += full
        self.old = self.young if full or now - self.since < 2.0 * self.window_ms else set()
        self.young, self.since = set(), now
        return self.young
