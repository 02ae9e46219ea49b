"""Moving estimators that follow a change quickly and are robust to single outliers."""

from math import exp

# A lower decayed count of arrivals is set to 0.
NEGLIGIBLE_ARRIVALS = 1e-9
# The rate is corrected for its short history until it is this many spans old.
WARM_UP_SPANS = 5.0
# Lower bound of the age in that correction.
MIN_AGE_MS = 50.0

# The weight of one sample in the mean.
SAMPLE_WEIGHT = 0.08
# Samples are clipped to at most this multiple of the mean, and at least the mean divided by it.
MAX_SAMPLE_RATIO = 4.0
# The first samples have equal weights; otherwise the first one would dominate the mean for long.
WARM_UP_SAMPLES = 12
# Lower bound of the first sample.
MIN_MEAN = 0.1


class ArrivalRate:
    """Arrivals per ms, as an exponentially weighted mean over about `span_ms`.

    Callers count each arrival in `new_arrivals`; `fold` adds the count to the mean.

    Attributes:
        new_arrivals: the number of arrivals since the last fold.
        decayed_arrivals: the decayed count of the arrivals before the last fold.
    """

    def __init__(self, now: float, span_ms: float) -> None:
        self.new_arrivals = 0
        self.decayed_arrivals = 0.0
        self._span_ms = span_ms
        self._started_at = now
        self._folded_at = now

    def fold(self, now: float) -> float:
        """Adds the new arrivals and returns the current rate.

        At first the rate is the mean over the time since the start.
        """
        elapsed_ms = now - self._folded_at
        if elapsed_ms > 0.0:
            # The new arrivals' mean age is half of the elapsed time.
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
    """An exponentially weighted mean that is robust to a few outliers.

    Each sample is clipped to a ratio of the current mean. The mean follows a tenfold change within
    about thirty samples.

    Attributes:
        value: the mean; 0 until there is a sample.
        samples: the number of samples.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self.samples = 0

    def add(self, sample: float) -> None:
        """Adds a sample, which must be above 0."""
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
