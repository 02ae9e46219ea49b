"""The wait for a call to the dependency."""

from random import Random

from pumicenotch.control import ControllerSettings, TimerQueue
from pumicenotch.control.dependency_calls import DependencyCalls
from pumicenotch.interface import DependencyKind
from tests.control.controllers import IgnoredActions


def test_a_call_waits_for_all_that_are_open_where_the_quota_is_below_one() -> None:
    """A server with half a call's place in the shared dependency waits out the call in hand, twice over,
    before its next; one with places to spare waits for nothing.
    """

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
        made = DependencyCalls(TimerQueue(), IgnoredActions(), Random(1), settings)
        made.mean_call_ms = 100.0
        made.blocked_until = 0.0
        return made

    scarce = calls(0.56, 5000.0, 200.0)
    assert scarce.expected_wait_ms(0.0) == 0.0
    scarce.open.add(7)
    assert abs(scarce.expected_wait_ms(0.0) - 100.0 / (0.9 * 0.56)) < 1e-9
    plenty = calls(32.0, 0.0, 0.0)
    plenty.open.update({1, 2, 3})
    assert plenty.expected_wait_ms(0.0) == 0.0
