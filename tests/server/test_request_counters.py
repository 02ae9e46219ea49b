"""Counters of requests and dependency calls by class, which are reported to a fleet."""

from pumicenotch.interface import Idempotency, Outcome, RequestClass
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_counters import MAX_CLASSES, OTHER_CLASSES, RequestCounters

REQUEST_CLASS = RequestClass(
    latency_objective_ms=100.0,
    objective_per_work=0.0,
    timeout_ms=500.0,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_window_ms=0.0,
    priority_weight=1.0,
    late_weight=0.0,
    degraded_weight=0.0,
)


def pending_request(number: int, class_name: str = "read") -> PendingRequest:
    pending = PendingRequest(number, str(number), 1, number, class_name, b"")
    pending.request_class = REQUEST_CLASS
    return pending


def test_requests_and_calls_are_counted_by_class_without_state_per_request() -> None:
    counters = RequestCounters()
    for number, outcome, answered_at in (
        (1, "served", 50.0),
        (2, "served", 150.0),
        (3, "failed", 50.0),
    ):
        request = pending_request(number)
        counters.on_received(0.0, request, 20.0)
        counters.on_answered(answered_at, request, outcome == "served")
    retry = pending_request(4)
    retry.is_retry = True
    counters.on_received(0.0, retry, 0.0)
    counters.on_call_started(10.0, retry)
    counters.on_call_finished(25.0, retry, Outcome.TIMEOUT)
    counters.on_answered(30.0, retry, served=False)
    cancelled = pending_request(5)
    counters.on_received(0.0, cancelled, 0.0)
    # The request is cancelled after this, so its call never finishes.
    counters.on_call_started(10.0, cancelled)
    never_called = pending_request(6)
    # A server without a database finishes calls that were never started.
    counters.on_call_finished(10.0, never_called, Outcome.UNREACHABLE)
    assert counters.rows() == [("read", 4, 3, 3, 1, 1, 15.0)]
    assert vars(counters).keys() == {"by_class"}, "no state is kept for single requests"


def test_classes_beyond_the_maximum_are_counted_as_one() -> None:
    counters = RequestCounters()
    for number in range(MAX_CLASSES + 5):
        request = pending_request(number, f"class {number}")
        counters.on_received(0.0, request, 0.0)
        counters.on_answered(1.0, request, served=True)
    rows = counters.rows()
    assert len(rows) == MAX_CLASSES + 1 and rows[-1] == (OTHER_CLASSES, 5, 5, 0, 0, 0, 0)
