"""The load that callers are told of."""

from pumicenotch.control import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS
from pumicenotch.interface import Idempotency, LoadFeedback, RequestClass
from tests.control.controllers import IgnoredActions, make_controller

STAGE = RequestClass(1600.0, 0.0, 5400.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.2, 0.0)


class ReportedLoad(IgnoredActions):
    """Keeps the values that callers were told; every other action is taken and forgotten."""

    def __init__(self) -> None:
        self.values: list[float] = []

    def report_load(self, value: float) -> None:
        self.values.append(value)


def test_tokens_cover_what_meets_the_objective_not_two_requests_a_core() -> None:
    """With 180 gateways and two cores, two tasks a core gave each gateway 0.022, which most of them settle
    as no room at all; the credit is now what the limit and a queue get through by the due time.
    """
    reported = ReportedLoad()
    server = make_controller(reported, STAGE, callers=180, load_feedback=LoadFeedback.TOKENS)
    now = 0.0
    while now <= SAMPLE_INTERVAL_MS:
        now += TICK_INTERVAL_MS
        server.on_tick(now, ())
    assert reported.values[0] == 2.0 * 2 / 180
    assert reported.values[-1] > 2.0 * (2.0 * 2 / 180)
