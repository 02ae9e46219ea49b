"""Decisions that lindach-moebel and utrecht-centraal brought."""

from itertools import pairwise

from pumicenotch import start
from pumicenotch.control import TICK_INTERVAL_MS
from pumicenotch.interface import Idempotency, IncomingRequest, LoadFeedback, RequestClass
from tests.controls import IgnoredActions, control

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
    server = control(
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


def test_a_server_that_reads_too_late_leaves_the_list_for_seconds_and_comes_back() -> None:
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


def test_where_the_list_does_not_follow_health_a_late_server_says_nothing() -> None:
    assert late_for(listed=False, until_s=20.0, then_s=0.0) == [(0.0, True)]


def test_a_server_that_leaves_stays_out_of_the_list() -> None:
    heard = Heard()
    server = control(heard, STAGE, memory_kb=1e6, listed_by_health=True)
    server.start_draining(0.0, 60_000.0)
    while heard.now < 20_000.0:
        heard.now += TICK_INTERVAL_MS
        server.on_tick(heard.now, ())
    assert [good for _, good in heard.answers] == [True, False]


def test_readiness_comes_from_the_settings_and_is_off_without_them() -> None:
    assert start.controller_settings({"family-info.readiness": "true"}).listed_by_health is True
    assert start.controller_settings({}).listed_by_health is False
