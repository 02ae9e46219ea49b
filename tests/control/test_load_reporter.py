"""The load values that callers receive."""

from pumicenotch.control import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS
from pumicenotch.interface import Idempotency, LoadFeedback, RequestClass
from tests.control.controllers import IgnoredActions, make_controller

REQUEST_CLASS = RequestClass(1600.0, 0.0, 5400.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.2, 0.0)


class ReportedLoad(IgnoredActions):
    """Records the reported load values, and ignores every other action."""

    def __init__(self) -> None:
        self.values: list[float] = []

    def report_load(self, value: float) -> None:
        self.values.append(value)


def test_tokens_cover_what_meets_the_objective_not_two_requests_a_core() -> None:
    """Guards against load values that are too low to use. With 180 gateways and two cores, two
    requests per core are 0.022 per gateway, which most gateways treat as no capacity. The value
    now covers what the limit and a queue complete within the objective.
    """
    reported = ReportedLoad()
    server = make_controller(
        reported, REQUEST_CLASS, callers=180, load_feedback=LoadFeedback.TOKENS
    )
    now = 0.0
    while now <= SAMPLE_INTERVAL_MS:
        now += TICK_INTERVAL_MS
        server.on_tick(now, ())
    assert reported.values[0] == 2.0 * 2 / 180
    assert reported.values[-1] > 2.0 * (2.0 * 2 / 180)
