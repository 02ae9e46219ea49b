"""A server that reads requests too late leaves the list of endpoints for a while."""

from itertools import pairwise

from pumicenotch.control import TICK_INTERVAL_MS
from pumicenotch.interface import Idempotency, IncomingRequest, LoadFeedback, RequestClass
from tests.control.controllers import IgnoredActions, make_controller

REQUEST_CLASS = RequestClass(1000.0, 0.0, 3000.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0)


class RecordedHealth(IgnoredActions):
    """Records each change of health with its time, and ignores every other action."""

    def __init__(self) -> None:
        self.now = 0.0
        self.answers: list[tuple[float, bool]] = []

    def set_health(self, healthy: bool, cached: bool) -> None:
        self.answers.append((self.now, healthy))


def health_changes(listed: bool, late_s: float, on_time_s: float) -> list[tuple[float, bool]]:
    """Returns the changes of health while three requests per tick are read after nine tenths of
    their time for `late_s`, and at once for `on_time_s`.
    """
    actions, request_id = RecordedHealth(), 0
    server = make_controller(
        actions,
        REQUEST_CLASS,
        memory_kb=1e6,
        load_feedback=LoadFeedback.WEIGHT,
        listed_by_health=listed,
    )
    while actions.now < 1000.0 * (late_s + on_time_s):
        actions.now += TICK_INTERVAL_MS
        for _ in range(3):
            request_id += 1
            waited = 900.0 if actions.now < 1000.0 * late_s else 0.0
            server.on_request(
                actions.now, IncomingRequest(request_id, 0, 0, waited, None, None, 1.0, None)
            )
        server.on_tick(actions.now, ())
    return actions.answers


def test_a_server_that_reads_too_late_is_unhealthy_for_seconds_and_recovers() -> None:
    """Guards against a server that reads all requests too late, rejects them and looks idle to
    callers. One of fifteen servers read 80 requests per second, against a mean of 24, and ran none.
    """
    health = health_changes(listed=True, late_s=20.0, on_time_s=10.0)
    assert [healthy for _, healthy in health[:3]] == [True, False, True]
    unhealthy_ms = [
        ended_at - started_at
        for (started_at, healthy), (ended_at, _) in pairwise(health)
        if not healthy
    ]
    healthy_ms = [
        ended_at - started_at
        for (started_at, healthy), (ended_at, _) in pairwise(health[1:])
        if healthy
    ]
    # The unhealthy time is bounded however late the server reads, and so is the healthy time between.
    assert unhealthy_ms and max(unhealthy_ms) <= 4000.0 + TICK_INTERVAL_MS
    assert healthy_ms and min(healthy_ms) >= 4000.0
    # Reading keeps up at the end.
    assert health[-1][1]
    assert health[-1][0] < 26_000.0


def test_a_late_server_stays_healthy_if_health_does_not_list_servers() -> None:
    assert health_changes(listed=False, late_s=20.0, on_time_s=0.0) == [(0.0, True)]


def test_a_draining_server_stays_unhealthy() -> None:
    actions = RecordedHealth()
    server = make_controller(actions, REQUEST_CLASS, memory_kb=1e6, listed_by_health=True)
    server.start_draining(0.0, 60_000.0)
    while actions.now < 20_000.0:
        actions.now += TICK_INTERVAL_MS
        server.on_tick(actions.now, ())
    assert [healthy for _, healthy in actions.answers] == [True, False]
