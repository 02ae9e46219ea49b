"""How long a suspicion lasts before the suspected member is declared dead (Lifeguard, 4.2)."""

import math

# Confirmations by so many others bring the timeout down to the shortest; fewer in a small group.
EXPECTED_CONFIRMATIONS = 3


class Suspicion:
    """A timeout that shrinks with the number of members that share the suspicion.

    Times are in ms.
    """

    __slots__ = ("_expected", "_longest_ms", "_shortest_ms", "_started_at", "reporters")

    def __init__(
        self,
        now: float,
        shortest_ms: float,
        longest_ms: float,
        reported_by: str,
        max_reporters: int,
    ) -> None:
        """Start the timeout.

        Args:
            now: the present time.
            shortest_ms: the timeout once enough members have confirmed the suspicion.
            longest_ms: the timeout while nobody has.
            reported_by: the first reporter.
            max_reporters: how many other members could confirm it.
        """
        self.reporters = {reported_by}
        self._started_at = now
        self._shortest_ms = shortest_ms
        self._longest_ms = longest_ms
        self._expected = min(EXPECTED_CONFIRMATIONS, max_reporters)

    @property
    def deadline(self) -> float:
        """When the member is declared dead unless it refutes the suspicion."""
        if self._expected < 1:
            return self._started_at + self._shortest_ms
        fraction = math.log(len(self.reporters)) / math.log(self._expected + 1)
        span_ms = self._longest_ms - self._shortest_ms
        return self._started_at + max(self._shortest_ms, self._longest_ms - fraction * span_ms)

    def confirm(self, reported_by: str) -> bool:
        """Count one more reporter. Return whether it is new and shortens the timeout."""
        if reported_by in self.reporters or len(self.reporters) > self._expected:
            return False
        self.reporters.add(reported_by)
        return True
