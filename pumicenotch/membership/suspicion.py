"""The timeout after which a suspected member is declared dead (Lifeguard, 4.2)."""

import math

# The number of confirmations by other members that reduces the timeout to the shortest. In a small
# group fewer suffice.
EXPECTED_CONFIRMATIONS = 3


class Suspicion:
    """A timeout that shrinks with the number of members that report the suspicion.

    Times are in ms.

    Attributes:
        reporters: The names of the members that have reported the suspicion.
    """

    __slots__ = ("_expected", "_longest_ms", "_shortest_ms", "_started_at_ms", "reporters")

    def __init__(
        self,
        now_ms: float,
        shortest_ms: float,
        longest_ms: float,
        reported_by: str,
        max_reporters: int,
    ) -> None:
        """Starts the timeout.

        Args:
            now_ms: The current time.
            shortest_ms: The timeout once enough members have confirmed the suspicion.
            longest_ms: The timeout while no member has confirmed the suspicion.
            reported_by: The first reporter.
            max_reporters: The number of other members that could confirm the suspicion.
        """
        self.reporters = {reported_by}
        self._started_at_ms = now_ms
        self._shortest_ms = shortest_ms
        self._longest_ms = longest_ms
        self._expected = min(EXPECTED_CONFIRMATIONS, max_reporters)

    @property
    def deadline_ms(self) -> float:
        """When the member is declared dead unless it has refuted the suspicion."""
        if self._expected < 1:
            return self._started_at_ms + self._shortest_ms
        fraction = math.log(len(self.reporters)) / math.log(self._expected + 1)
        span_ms = self._longest_ms - self._shortest_ms
        return self._started_at_ms + max(self._shortest_ms, self._longest_ms - fraction * span_ms)

    def confirm(self, reported_by: str) -> bool:
        """Adds a reporter; returns whether the reporter is new and shortens the timeout."""
        if reported_by in self.reporters or len(self.reporters) > self._expected:
            return False
        self.reporters.add(reported_by)
        return True
