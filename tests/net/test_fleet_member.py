"""Tests of the overload reports of a server to its node, and of its connection limit."""

from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.net.fleet_member import (
    MIN_CONNECTIONS,
    MIN_REQUESTS_TO_JUDGE,
    OVERLOAD_WINDOW_REPORTS,
    OverloadDetector,
    RequestTotals,
    max_fleet_connections,
)


def test_server_is_overloaded_while_more_than_half_of_its_requests_fail() -> None:
    detector = OverloadDetector()
    assert not detector.observe(RequestTotals(MIN_REQUESTS_TO_JUDGE, MIN_REQUESTS_TO_JUDGE // 2))
    assert detector.observe(RequestTotals(MIN_REQUESTS_TO_JUDGE, MIN_REQUESTS_TO_JUDGE // 2 + 1))


def test_server_with_few_requests_is_not_judged() -> None:
    few = MIN_REQUESTS_TO_JUDGE - 1
    assert not OverloadDetector().observe(RequestTotals(few, few))


def test_failures_before_the_window_no_longer_count() -> None:
    detector = OverloadDetector()
    totals = RequestTotals(100, 100)
    reports = [detector.observe(totals) for _ in range(OVERLOAD_WINDOW_REPORTS + 1)]
    assert reports == [True] * OVERLOAD_WINDOW_REPORTS + [False]


def test_fleet_takes_a_bounded_part_of_the_descriptors() -> None:
    assert max_fleet_connections(64, None) == MIN_CONNECTIONS
    assert max_fleet_connections(1600, None) == 100
    assert max_fleet_connections(1600, InstanceSettings(relay=False)) == 100
    assert max_fleet_connections(1600, InstanceSettings(relay=True)) == 400
