"""Sheds requests by priority while the server cannot read all that it is sent."""

from collections.abc import Callable

from pumicenotch.interface import RequestClass


class PriorityShedder:
    """Admits low-priority requests with a probability that falls under overload.

    It acts only where a class has far more weight than the mean, and only while reading is behind
    or many high-priority requests are not served.

    Attributes:
        high_priority: the least weight of high-priority requests; infinite where there are none.
        unread_fraction: how much of its time to the deadline the mean request waits to be read.
    """

    HIGH_PRIORITY_RATIO = 2.0  # times the mean weight: below, shedding the others loses more
    SHRINK_FACTOR = 0.6  # of the admitted fraction, a sample: a backlog fills faster than it drains
    GROWTH_FACTOR = 1.1
    GROWTH_STEP = 0.01
    MAX_UNREAD_FRACTION = 0.1
    MAX_UNSERVED_FRACTION = 0.3  # of high-priority requests
    SMOOTHING = 0.05  # of the unread fraction, for each request
    IDLE_DECAY = 0.5  # of the unread fraction, for a sample with no request
    MIN_WEIGHT = 1e-9

    def __init__(self, random_unit: Callable[[], float], classes: list[RequestClass]) -> None:
        weights = [request_class.priority_weight for request_class in classes] or [1.0]
        max_weight = max(self.MIN_WEIGHT, *weights)
        self._random_unit = random_unit
        self._min_weight = max(self.MIN_WEIGHT, min(weights))
        self.high_priority = float("inf")
        if max_weight > self.HIGH_PRIORITY_RATIO * sum(weights) / len(weights):
            self.high_priority = max_weight
        self._min_admitted = (self._min_weight / max_weight) ** 2
        self._admitted_fraction = 1.0  # of requests of the least weight
        self.unread_fraction = 0.0
        self._high_priority_received = 0
        self._high_priority_unserved = 0

    def on_request(self, unread_fraction: float, weight: float) -> None:
        """Count a request that was read after so much of its time."""
        self.unread_fraction += self.SMOOTHING * (unread_fraction - self.unread_fraction)
        self._high_priority_received += weight >= self.high_priority

    def on_unserved(self, weight: float) -> None:
        """Count a request that was rejected or failed."""
        self._high_priority_unserved += weight >= self.high_priority

    def sheds(self, weight: float) -> bool:
        """Decide whether a request of this weight is rejected.

        By the square of weights: while hardly any of the least are admitted, all of the
        high-priority requests are.
        """
        if self.high_priority == float("inf"):
            return False
        return self._random_unit() > self._admitted_fraction * (weight / self._min_weight) ** 2

    def on_sample(self, received: int) -> None:
        """Admit fewer or more low-priority requests from now on."""
        if not received:
            self.unread_fraction *= self.IDLE_DECAY
        max_unserved = self.MAX_UNSERVED_FRACTION * self._high_priority_received + 1
        is_overloaded = (
            self.unread_fraction > self.MAX_UNREAD_FRACTION
            or self._high_priority_unserved > max_unserved
        )
        self._high_priority_received = 0
        self._high_priority_unserved = 0
        fraction = self._admitted_fraction
        if is_overloaded:
            fraction = self.SHRINK_FACTOR * fraction
        else:
            fraction = self.GROWTH_FACTOR * fraction + self.GROWTH_STEP
        self._admitted_fraction = min(1.0, max(self._min_admitted, fraction))
