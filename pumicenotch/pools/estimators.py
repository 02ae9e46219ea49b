"""Estimates that follow quickly and forget a single freak."""

from math import exp


class Demand:
    """Arrivals a millisecond, as a mean over about `span_ms`. Counted as they come, folded in when read: an
    arrival costs an addition.
    """

    def __init__(self, now: float, span_ms: float) -> None:
        self.span_ms, self.at, self.since = span_ms, now, now
        self.arrived = 0  # since the last fold
        self.weight = 0.0  # of those before

    def fold(self, now: float) -> float:
        """The rate up to now. Young, it is the mean over what there was: a cold start would else see a tenth
        of its load for a second.
        """
        past = now - self.at
        if past > 0.0:
            half = exp(
                -0.5 * past / self.span_ms
            )  # what came since came half as long ago on the mean
            self.weight = (self.weight * half + self.arrived) * half
            self.at, self.arrived = now, 0
            if self.weight < 1e-9:
                self.weight = 0.0
        age = now - self.since
        if age > 5.0 * self.span_ms:
            return self.weight / self.span_ms
        return self.weight / (self.span_ms * (1.0 - exp(-max(age, 50.0) / self.span_ms)))


class Typical:
    """A typical time that a few freaks don't move: each sample pulls by its part, but counts as four times
    the present value at the most and as a quarter at the least. After a change of ten times it is there
    within some thirty samples, and after one hung run it is where it was.
    """

    PULL, CLIP = 0.08, 4.0

    def __init__(self) -> None:
        self.value = 0.0  # 0: nothing seen yet
        self.samples = 0

    def add(self, sample: float) -> None:
        self.samples += 1
        value = self.value
        if not value:
            self.value = max(sample, 0.1)
            return
        if sample > self.CLIP * value:
            sample = self.CLIP * value
        elif sample < value / self.CLIP:
            sample = value / self.CLIP
        # The first dozen count by number, or the first of all would be remembered for long.
        pull = self.PULL if self.samples > 12 else 1.0 / self.samples
        self.value = value + pull * (sample - value)
