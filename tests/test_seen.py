"""Counts of tasks and calls by class, for a fleet."""

from pumicenotch.interface import Idempotency, Outcome, RequestClass
from pumicenotch.server.seen import MOST, REST, Seen
from pumicenotch.server.tasks import Held

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


def held(number: int, stage: str = "read") -> Held:
    made = Held(number, str(number), 1, number, stage, b"")
    made.stage = STAGE
    return made


def test_tasks_and_calls_are_counted_by_class_and_one_given_up_leaves_nothing_behind() -> None:
    seen = Seen()
    for number, outcome, at in ((1, "served", 50.0), (2, "served", 150.0), (3, "failed", 50.0)):
        task = held(number)
        seen.taken(0.0, task, 20.0)
        seen.answered(at, task, outcome)
    again = held(4)
    again.again = True
    seen.taken(0.0, again, 0.0)
    seen.called(10.0, again)
    seen.call_ended(25.0, again, Outcome.TIMEOUT)
    seen.answered(30.0, again, "rejected")
    given_up = held(5)
    seen.taken(0.0, given_up, 0.0)
    seen.called(10.0, given_up)  # and its task is let go: the call never ends
    unmade = held(6)
    seen.call_ended(10.0, unmade, Outcome.UNREACHABLE)  # where nothing is below
    assert seen.rows() == [("read", 4, 3, 3, 1, 1, 15.0)]
    assert vars(seen).keys() == {"counts"}, "nothing is kept by task"


def test_classes_beyond_what_is_told_go_as_one() -> None:
    seen = Seen()
    for number in range(MOST + 5):
        task = held(number, f"class {number}")
        seen.taken(0.0, task, 0.0)
        seen.answered(1.0, task, "served")
    rows = seen.rows()
    assert len(rows) == MOST + 1 and rows[-1] == (REST, 5, 5, 0, 0, 0, 0)
