"""Estimators that follow a change quickly and forget a single outlier."""

from math import exp

# Below it the decayed count of arrivals is nothing.
NEGLIGIBLE_ARRIVALS = 1e-9
# After so many spans an arrival rate no longer corrects for its short past.
WARM_UP_SPANS = 5.0
MIN_AGE_MS = 50.0

# Of a sample, in the mean.
SAMPLE_WEIGHT = 0.08
# A sample counts as at most so many times the mean, and at least as this fraction of it.
MAX_SAMPLE_RATIO = 4.0
# The first samples count by their number, or the very first would be remembered for long.
WARM_UP_SAMPLES = 12
MIN_MEAN = 0.1


class ArrivalRate:
    """Arrivals per ms, as an exponentially weighted mean over about `span_ms`.

    Arrivals are counted as they come and folded in when the rate is read.
    """

    def __init__(self, now: float, span_ms: float) -> None:
        self.new_arrivals = 0  # since the last fold
        self.decayed_arrivals = 0.0  # those before
        self._span_ms = span_ms
        self._started_at = now
        self._folded_at = now

    def fold(self, now: float) -> float:
        """Return the rate up to now, at first as the mean over the time that has passed."""
        elapsed_ms = now - self._folded_at
        if elapsed_ms > 0.0:
            # New arrivals came half as long ago on average.
            half_decay = exp(-0.5 * elapsed_ms / self._span_ms)
            self.decayed_arrivals = (
                self.decayed_arrivals * half_decay + self.new_arrivals
            ) * half_decay
            self._folded_at = now
            self.new_arrivals = 0
            if self.decayed_arrivals < NEGLIGIBLE_ARRIVALS:
                self.decayed_arrivals = 0.0
        age_ms = now - self._started_at
        if age_ms > WARM_UP_SPANS * self._span_ms:
            return self.decayed_arrivals / self._span_ms
        observed_fraction = 1.0 - exp(-max(age_ms, MIN_AGE_MS) / self._span_ms)
        return self.decayed_arrivals / (self._span_ms * observed_fraction)


class ClippedMean:
    """An exponentially weighted mean that a few outliers do not move.

    Each sample is clipped to a ratio of the present mean. A tenfold change is followed within some
    thirty samples.
    """

    def __init__(self) -> None:
        self.value = 0.0  # 0 until there is a sample
        self.samples = 0

    def add(self, sample: float) -> None:
        """Take in one sample, above 0."""
        self.samples += 1
        mean = self.value
        if not mean:
            self.value = max(sample, MIN_MEAN)
            return
        if sample > MAX_SAMPLE_RATIO * mean:
            sample = MAX_SAMPLE_RATIO * mean
        elif sample < mean / MAX_SAMPLE_RATIO:
            sample = mean / MAX_SAMPLE_RATIO
        weight = SAMPLE_WEIGHT if self.samples > WARM_UP_SAMPLES else 1.0 / self.samples
        self.value = mean + weight * (sample - mean)
