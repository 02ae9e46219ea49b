"""Estimates that follow quickly and forget a single freak."""

from math import exp


class Rate:
    """Events a millisecond, as a mean over about `span_ms`, read at any time without a timer."""

    def __init__(self, now: float, span_ms: float) -> None:
        self.span_ms, self.value, self.at = span_ms, 0.0, now
        self.since = now  # young, the mean is over what there was

    def fade(self, now: float) -> None:
        if now > self.at:
            self.value *= exp((self.at - now) / self.span_ms)
            self.at = now

    def add(self, now: float, amount: float = 1.0) -> None:
        self.fade(now)
        self.value += amount

    def read(self, now: float) -> float:
        """Without the correction a cold start would see a tenth of its load for a second."""
        self.fade(now)
        seen = 1.0 - exp(-max(now - self.since, 50.0) / self.span_ms)
        return self.value / (self.span_ms * seen)


class Typical:
    """A typical time that a few freaks don't move: each sample pulls by its part, but counts as four times
    the present value at the most and as a quarter at the least. After a change of ten times it is there
    within some thirty samples, and after one hung run it is where it was."""

    PULL, CLIP = 0.08, 4.0

    def __init__(self) -> None:
        self.value = 0.0  # 0: nothing seen yet
        self.samples = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        if not self.value:
            self.value = max(sample, 0.1)
            return
        clipped = min(self.CLIP * self.value, max(self.value / self.CLIP, sample))
        # The first dozen count by number, or the first of all would be remembered for long.
        self.value += max(self.PULL, 1.0 / self.samples) * (clipped - self.value)
