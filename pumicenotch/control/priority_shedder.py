"""Sheds requests by priority while the server cannot read all requests in time."""

from collections.abc import Callable

from pumicenotch.interface import RequestClass


class PriorityShedder:
    """Admits low-priority requests with a probability that falls under overload.

    The shedder acts only if a class has far more weight than the mean of all classes, and only
    while reading is behind or many high-priority requests are not served.

    Attributes:
        high_priority: the lowest weight of high-priority requests; infinite if no class has one.
        unread_fraction: the fraction of its time to the deadline that the mean request waits to be
            read.
    """

    # A class has high priority above this multiple of the mean weight. Below it, shedding the other
    # classes would lose more value than it protects.
    HIGH_PRIORITY_RATIO = 2.0
    # Factor of the admitted fraction per overloaded sample: a backlog fills faster than it drains.
    SHRINK_FACTOR = 0.6
    # Factor and addend of the admitted fraction per sample without overload.
    GROWTH_FACTOR = 1.1
    GROWTH_STEP = 0.01
    # Reading is behind above this unread fraction.
    MAX_UNREAD_FRACTION = 0.1
    # The server is overloaded above this fraction of unserved high-priority requests.
    MAX_UNSERVED_FRACTION = 0.3
    # The weight of one request in the unread fraction.
    SMOOTHING = 0.05
    # Factor of the unread fraction per sample without requests.
    IDLE_DECAY = 0.5
    # Lower bound of weights, which are divisors.
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
        self._admitted_fraction = 1.0  # of requests with the lowest weight
        self.unread_fraction = 0.0
        self._high_priority_received = 0
        self._high_priority_unserved = 0

    def on_request(self, unread_fraction: float, weight: float) -> None:
        """Counts a request that was read.

        Args:
            unread_fraction: the fraction of its time to the deadline that passed before.
            weight: its priority weight.
        """
        self.unread_fraction += self.SMOOTHING * (unread_fraction - self.unread_fraction)
        self._high_priority_received += weight >= self.high_priority

    def on_unserved(self, weight: float) -> None:
        """Counts a request that was rejected or failed."""
        self._high_priority_unserved += weight >= self.high_priority

    def sheds(self, weight: float) -> bool:
        """Decides at random whether a request of this weight is rejected.

        The probability of admission grows with the square of the weight: all high-priority requests
        are admitted, even when almost none of the lowest weight are.
        """
        if self.high_priority == float("inf"):
            return False
        return self._random_unit() > self._admitted_fraction * (weight / self._min_weight) ** 2

    def on_sample(self, received: int) -> None:
        """Lowers the admitted fraction if the sample was overloaded, else raises it.

        Args:
            received: the number of requests read in the sample.
        """
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
