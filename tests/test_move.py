"""Decisions that the move to deployments of a new shape (lagos-roster, delsol-avrakning) changed."""

from pathlib import Path
from typing import Any, cast

from pumicenotch.control import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS
from pumicenotch.interface import DependencyKind, Idempotency, LoadFeedback, RequestClass
from tests.controls import IgnoredActions, control

STAGE = RequestClass(1600.0, 0.0, 5400.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.2, 0.0)


class Told(IgnoredActions):
    """Keeps what callers were told; every other action is taken and forgotten."""

    def __init__(self) -> None:
        self.said: list[float] = []

    def report_load(self, value: float) -> None:
        self.said.append(value)


def test_a_credit_covers_what_the_server_gets_through_by_the_due_time_not_two_tasks_a_core() -> (
    None
):
    """With 180 gateways and two cores, two tasks a core gave each gateway 0.022, which most of them settle
    as no room at all; the credit is now what the limit and a queue get through by the due time.
    """
    told = Told()
    server = control(told, STAGE, callers=180, load_feedback=LoadFeedback.TOKENS)
    now = 0.0
    while now <= SAMPLE_INTERVAL_MS:
        now += TICK_INTERVAL_MS
        server.on_tick(now, ())
    assert told.said[0] == 2.0 * 2 / 180
    assert told.said[-1] > 2.0 * (2.0 * 2 / 180)


def test_a_call_asked_for_waits_behind_the_places_taken_where_a_share_is_less_than_one() -> None:
    """A server with half a call's place in the shared dependency waits out the call in hand, twice over,
    before its next; one with places to spare waits for nothing.
    """
    from random import Random

    from pumicenotch.control import ControllerSettings, TimerQueue
    from pumicenotch.control.dependency_calls import DependencyCalls

    def calls(quota: float, window_ms: float, linger_ms: float) -> DependencyCalls:
        settings = ControllerSettings(
            request_classes=[],
            tenants=[],
            gauges=[],
            dependency_kind=DependencyKind.SHARED,
            dependency_quota=quota,
            dependency_window_ms=window_ms,
            dependency_linger_ms=linger_ms,
        )
        made = DependencyCalls(TimerQueue(), Told(), Random(1), settings)
        made.recent_ms = 100.0
        made.blocked_until = 0.0
        return made

    scarce = calls(0.56, 5000.0, 200.0)
    assert scarce.expected_wait_ms(0.0) == 0.0
    scarce.open.add(7)
    assert abs(scarce.expected_wait_ms(0.0) - 100.0 / (0.9 * 0.56)) < 1e-9
    plenty = calls(32.0, 0.0, 0.0)
    plenty.open.update({1, 2, 3})
    assert plenty.expected_wait_ms(0.0) == 0.0


def test_the_shape_follows_from_the_settings_and_a_mix_is_refused_by_its_key() -> None:
    import pytest

    from pumicenotch import start

    old = {
        "family-info.signal": "bias",
        "family-info.callers": "6",
        "classes.count": "1",
        "classes.0.effect": "by_key",
        "classes.0.memory-span": "9000000",
        "classes.0.deadline": "9000000",
    }
    new = {
        "family-info.signal": "tokens",
        "family-info.callers": "180",
        "classes.count": "1",
        "classes.0.effect": "once",
        "classes.0.deadline": "11000000",
    }
    assert start.shape(old) == "share" and start.shape(new) == "credit"
    assert start.shape({}) == "share"  # as before the move: nothing named, nothing told
    with pytest.raises(start.InvalidStartValueError, match=r"family-info\.callers is missing"):
        start.controller_settings(
            {key: text for key, text in new.items() if key != "family-info.callers"}
        )
    assert (
        start.shape(new | {"classes.0.memory-span": "26595000"}) == "credit"
    )  # as the wire gives it
    with pytest.raises(start.InvalidStartValueError, match=r"family-info\.callers=-1"):
        start.controller_settings(old | {"family-info.callers": "-1"})


def test_the_real_server_refuses_a_credit_without_its_callers_and_starts_with_them(
    tmp_path: Path,
) -> None:
    """On loopback, against the stand-ins of tests/net/parties.py: the mixed file stops the start with the key
    named, and the same file with the number of callers serves, saying its shape.
    """
    import pytest

    from tests.net.parties import SETTINGS, Program

    family: dict[str, Any] = {**cast(dict[str, Any], SETTINGS["family-info"]), "signal": "tokens"}
    mixed = SETTINGS | {"family-info": family}
    refused = pytest.raises(AssertionError, match=r"family-info\.callers is missing")
    with refused, Program(tmp_path, settings=mixed):
        pass
    with Program(
        tmp_path, settings=SETTINGS | {"family-info": family | {"callers": 180}}
    ) as program:
        assert program.logged(r"callers are told a (\w+)") == "credit"


def test_a_value_out_of_its_range_is_refused_by_its_key_with_the_range() -> None:
    import pytest

    from pumicenotch import start

    with pytest.raises(
        start.InvalidStartValueError,
        match=r"family-info\.cores=0: out of range; give a value from 1",
    ):
        start.controller_settings({"family-info.cores": "0"})
    with pytest.raises(start.InvalidStartValueError, match=r"rules\.cold-share=1\.5: out of range"):
        start.controller_settings({"rules.cold-share": "1.5"})
    assert (
        start.controller_settings({"family-info.cores": "2", "rules.cold-share": "0.21"}).cores == 2
    )
