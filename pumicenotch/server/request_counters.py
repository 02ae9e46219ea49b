"""Counters of requests and dependency calls by class, which a fleet uses to judge a release."""

from typing import NamedTuple

from pumicenotch.interface import Outcome
from pumicenotch.server.pending_request import PendingRequest

MAX_CLASSES = 63  # counted by name; further classes are counted together as OTHER_CLASSES
OTHER_CLASSES = "other classes"
MAX_NAME_LENGTH = 64  # characters of a class name in a report


class ClassCounts:
    """Totals of one class since the start of the process."""

    __slots__ = ("bad", "bad_calls", "call_ms", "calls", "first_attempts", "requests")

    def __init__(self) -> None:
        self.requests = 0
        self.first_attempts = 0
        self.bad = 0  # requests that failed, were rejected or missed the latency objective
        self.calls = 0
        self.bad_calls = 0  # calls with any outcome but OK
        self.call_ms = 0.0


class ClassRow(NamedTuple):
    """The totals of one class in a report to the fleet."""

    name: str
    requests: float
    first_attempts: float
    bad: float
    calls: float
    bad_calls: float
    call_ms: float


class RequestCounters:
    """Counts requests and calls by class, and keeps no state for single requests."""

    def __init__(self) -> None:
        self.by_class: dict[str, ClassCounts] = {}

    def on_received(self, now: float, request: PendingRequest, waited_ms: float) -> None:
        """Sets when the request, which arrived `waited_ms` ago, misses its latency objective."""
        request.objective_at = now - waited_ms + request.request_class.latency_objective_ms

    def on_answered(self, now: float, request: PendingRequest, served: bool) -> None:
        """Counts an answered request."""
        counts = self._counts_of(request)
        counts.requests += 1
        counts.first_attempts += not request.is_retry
        counts.bad += not served or now > request.objective_at

    def on_call_started(self, now: float, request: PendingRequest) -> None:
        """Records the start of a dependency call."""
        request.dependency_called_at = now

    def on_call_finished(self, now: float, request: PendingRequest, outcome: Outcome) -> None:
        """Counts a finished dependency call; no effect if the call was never started."""
        if request.dependency_called_at is None:
            return
        counts = self._counts_of(request)
        counts.calls += 1
        counts.bad_calls += outcome is not Outcome.OK
        counts.call_ms += now - request.dependency_called_at
        request.dependency_called_at = None

    def rows(self) -> list[ClassRow]:
        """Returns the totals of each class."""
        return [
            ClassRow(
                name[:MAX_NAME_LENGTH],
                float(counts.requests),
                float(counts.first_attempts),
                float(counts.bad),
                float(counts.calls),
                float(counts.bad_calls),
                counts.call_ms,
            )
            for name, counts in self.by_class.items()
        ]

    def _counts_of(self, request: PendingRequest) -> ClassCounts:
        counts = self.by_class.get(request.class_name)
        if counts is None:
            name = request.class_name if len(self.by_class) < MAX_CLASSES else OTHER_CLASSES
            counts = self.by_class.setdefault(name, ClassCounts())
        return counts
