"""Tells unmarked repeats: what holds the same as a task that was turned away here a moment ago is another
try of it.

Only what was turned away is remembered: who was served has no reason to ask again, and two tasks that hold
the same and are both served are two tasks. How wrong this is stands, measured, in docs/pools.md. It decides
on budgets alone, which act only while places are short.
"""


class Likeness:
    """Prints of what was turned away in the last one to two windows, in two generations of a bounded size.

    A full generation ends early, so that under a flood the memory of it gets shorter and not larger: repeats
    are then missed, and no first try is taken for one on that account.
    """

    MOST = 4096  # prints a generation: seconds of more than a server can turn away, some 300 KB at the most

    def __init__(self, now: float, window_ms: float) -> None:
        self.window_ms, self.since = window_ms, now
        self.young: set[int] = set()
        self.old: set[int] = set()
        self.cut_short = 0

    def seen(self, now: float, mark: int) -> bool:
        """Whether what holds this was turned away lately. 0 holds nothing, and is never seen."""
        if now - self.since >= self.window_ms:
            self.turn(now)
        return mark in self.young or mark in self.old

    def turned_away(self, now: float, mark: int) -> None:
        if mark and self.window_ms:
            if len(self.young) >= self.MOST:
                self.turn(now)
            self.young.add(mark)

    def turn(self, now: float) -> None:
        full = len(self.young) >= self.MOST
        self.cut_short += full
        self.old = self.young if full or now - self.since < 2.0 * self.window_ms else set()
        self.young, self.since = set(), now
