"""The estimated wait for a dependency call."""

from random import Random

from pumicenotch.control import ControllerSettings, TimerQueue
from pumicenotch.control.dependency_calls import DependencyCalls
from pumicenotch.interface import DependencyKind
from tests.control.controllers import IgnoredActions


def test_a_call_waits_for_the_open_calls_only_if_the_quota_is_below_one() -> None:
    """With a quota of about half a call, the next call waits for about twice the time of the open
    one. With free quota it does not wait.
    """

    def make_calls(quota: float, window_ms: float, linger_ms: float) -> DependencyCalls:
        settings = ControllerSettings(
            request_classes=[],
            tenants=[],
            gauges=[],
            dependency_kind=DependencyKind.SHARED,
            dependency_quota=quota,
            dependency_window_ms=window_ms,
            dependency_linger_ms=linger_ms,
        )
        dependency_calls = DependencyCalls(TimerQueue(), IgnoredActions(), Random(1), settings)
        dependency_calls.mean_call_ms = 100.0
        dependency_calls.blocked_until = 0.0
        return dependency_calls

    scarce = make_calls(0.56, 5000.0, 200.0)
    assert scarce.expected_wait_ms(0.0) == 0.0
    scarce.open.add(7)
    assert abs(scarce.expected_wait_ms(0.0) - 100.0 / (0.9 * 0.56)) < 1e-9
    ample = make_calls(32.0, 0.0, 0.0)
    ample.open.update({1, 2, 3})
    assert ample.expected_wait_ms(0.0) == 0.0
