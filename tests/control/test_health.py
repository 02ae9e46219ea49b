"""Health as the list of endpoints sees it: a server that reads too late leaves it for a while."""

from itertools import pairwise

from pumicenotch.control import TICK_INTERVAL_MS
from pumicenotch.interface import Idempotency, IncomingRequest, LoadFeedback, RequestClass
from tests.control.controllers import IgnoredActions, make_controller

STAGE = RequestClass(1000.0, 0.0, 3000.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0)


class Heard(IgnoredActions):
    """Keeps each health answer that was set, with its time; every other action is taken and forgotten."""

    def __init__(self) -> None:
        self.now = 0.0
        self.answers: list[tuple[float, bool]] = []

    def set_health(self, healthy: bool, cached: bool) -> None:
        self.answers.append((self.now, healthy))


def late_for(listed: bool, until_s: float, then_s: float) -> list[tuple[float, bool]]:
    """Three tasks a tick are read after nine tenths of their time, then fresh ones."""
    heard, ident = Heard(), 0
    server = make_controller(
        heard, STAGE, memory_kb=1e6, load_feedback=LoadFeedback.WEIGHT, listed_by_health=listed
    )
    while heard.now < 1000.0 * (until_s + then_s):
        heard.now += TICK_INTERVAL_MS
        for _ in range(3):
            ident += 1
            waited = 900.0 if heard.now < 1000.0 * until_s else 0.0
            server.on_request(
                heard.now, IncomingRequest(ident, 0, 0, waited, None, None, 1.0, None)
            )
        server.on_tick(heard.now, ())
    return heard.answers


def test_a_server_that_reads_too_late_is_unhealthy_for_seconds_and_recovers() -> None:
    """Seen at utrecht rough-2: one of fifteen servers read 80 tasks a second against 24 on the mean, all too
    late, and ran none; it looked idle to callers that go by measured reports, so more came.
    """
    health = late_for(listed=True, until_s=20.0, then_s=10.0)
    assert [good for _, good in health[:3]] == [True, False, True]
    bad = [end - begin for (begin, good), (end, _) in pairwise(health) if not good]
    good = [end - begin for (begin, good), (end, _) in pairwise(health[1:]) if good]
    assert (
        bad and max(bad) <= 4000.0 + TICK_INTERVAL_MS
    )  # never out for longer, however late it reads
    assert good and min(good) >= 4000.0  # and then in the list for as long, whatever happens
    assert health[-1][1]  # reading keeps up: it stays
    assert health[-1][0] < 26_000.0


def test_where_health_does_not_list_servers_a_late_one_stays_healthy() -> None:
    assert late_for(listed=False, until_s=20.0, then_s=0.0) == [(0.0, True)]


def test_a_draining_server_stays_unhealthy() -> None:
    heard = Heard()
    server = make_controller(heard, STAGE, memory_kb=1e6, listed_by_health=True)
    server.start_draining(0.0, 60_000.0)
    while heard.now < 20_000.0:
        heard.now += TICK_INTERVAL_MS
        server.on_tick(heard.now, ())
    assert [good for _, good in heard.answers] == [True, False]
