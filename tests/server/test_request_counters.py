"""Counts of tasks and calls by class, for a fleet."""

from pumicenotch.interface import Idempotency, Outcome, RequestClass
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_counters import MAX_CLASSES, OTHER_CLASSES, RequestCounters

STAGE = RequestClass(
    latency_objective_ms=100.0,
    objective_per_work=0.0,
    timeout_ms=500.0,
    idempotency=Idempotency.IDEMPOTENT,
    idempotency_window_ms=0.0,
    priority_weight=1.0,
    late_weight=0.0,
    degraded_weight=0.0,
)


def held(number: int, stage: str = "read") -> PendingRequest:
    made = PendingRequest(number, str(number), 1, number, stage, b"")
    made.request_class = STAGE
    return made


def test_requests_and_calls_are_counted_by_class_and_nothing_is_kept() -> None:
    seen = RequestCounters()
    for number, outcome, at in ((1, "served", 50.0), (2, "served", 150.0), (3, "failed", 50.0)):
        task = held(number)
        seen.on_received(0.0, task, 20.0)
        seen.on_answered(at, task, outcome == "served")
    again = held(4)
    again.is_retry = True
    seen.on_received(0.0, again, 0.0)
    seen.on_call_started(10.0, again)
    seen.on_call_finished(25.0, again, Outcome.TIMEOUT)
    seen.on_answered(30.0, again, served=False)
    given_up = held(5)
    seen.on_received(0.0, given_up, 0.0)
    seen.on_call_started(10.0, given_up)  # and its task is let go: the call never ends
    unmade = held(6)
    seen.on_call_finished(10.0, unmade, Outcome.UNREACHABLE)  # where nothing is below
    assert seen.rows() == [("read", 4, 3, 3, 1, 1, 15.0)]
    assert vars(seen).keys() == {"by_class"}, "nothing is kept by task"


def test_classes_beyond_the_maximum_are_counted_as_one() -> None:
    seen = RequestCounters()
    for number in range(MAX_CLASSES + 5):
        task = held(number, f"class {number}")
        seen.on_received(0.0, task, 0.0)
        seen.on_answered(1.0, task, served=True)
    rows = seen.rows()
    assert len(rows) == MAX_CLASSES + 1 and rows[-1] == (OTHER_CLASSES, 5, 5, 0, 0, 0, 0)
