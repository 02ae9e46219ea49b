"""The times of a drain, by the share of a core that the process gets."""

import pytest

from pumicenotch.server.core_share import BusyTime, CoreShare
from pumicenotch.server.drain_schedule import (
    CONNECTION_CLOSE_WORK_MS,
    EXIT_RESERVE_MS,
    EXIT_WORK_MS,
    DrainSchedule,
    DrainStep,
)

SHUTDOWN_MS = 1500.0
GRACE_MS = 9000.0  # beyond the kill
CROWD = 120  # connections


def schedule_at_share(share: float, grace_ms: float = GRACE_MS) -> DrainSchedule:
    """Returns the schedule of a process that was busy for a while, requested at 0."""
    schedule = DrainSchedule(0.0, SHUTDOWN_MS, grace_ms)
    for _ in range(16):
        schedule.observe(BusyTime(elapsed_ms=60.0, processor_ms=60.0 * share))
    return schedule


@pytest.mark.parametrize("share", [1.0, 0.5, 0.3, 0.2])
@pytest.mark.parametrize("connections", [0, 30, CROWD])
def test_the_work_of_each_step_fits_into_its_time_on_such_a_core(
    share: float, connections: int
) -> None:
    schedule = schedule_at_share(share)
    assert share <= schedule.core_share <= 1.25 * share
    closing_ms = schedule.stop_at - schedule.connections_close_at(connections)
    assert closing_ms * schedule.core_share >= connections * CONNECTION_CLOSE_WORK_MS - 1e-6
    margin_ms = SHUTDOWN_MS - schedule.stop_at
    assert margin_ms * schedule.core_share >= EXIT_WORK_MS - 1e-6
    assert schedule.listener_closes_at(connections) < schedule.connections_close_at(connections)


def test_with_a_core_of_its_own_a_drain_keeps_its_latest_times() -> None:
    schedule = DrainSchedule(0.0, SHUTDOWN_MS, GRACE_MS)
    assert schedule.stop_at == 1400.0
    assert schedule.connections_close_at(CROWD) == 1150.0
    assert schedule.listener_closes_at(CROWD) == 1100.0
    assert schedule.exit_timeout_ms(1400.0) == 60.0
    assert schedule.exit_timeout_ms(1490.0) == EXIT_RESERVE_MS


def test_the_steps_follow_the_end_of_the_grace_period_if_that_is_sooner() -> None:
    schedule = DrainSchedule(0.0, SHUTDOWN_MS, 200.0)
    assert schedule.listener_closes_at(CROWD) == 200.0
    assert schedule.connections_close_at(CROWD) == 450.0


def test_each_step_is_taken_once_and_in_order() -> None:
    schedule = DrainSchedule(0.0, SHUTDOWN_MS, GRACE_MS)
    taken = [(at, schedule.take_due_steps(at, CROWD)) for at in range(0, 1500, 10)]
    assert [(at, steps) for at, steps in taken if steps] == [
        (1100, [DrainStep.CLOSE_LISTENER]),
        (1150, [DrainStep.CLOSE_CONNECTIONS]),
        (1400, [DrainStep.STOP]),
    ]


def test_after_a_stall_over_the_stop_all_steps_are_taken_at_once() -> None:
    schedule = DrainSchedule(0.0, SHUTDOWN_MS, GRACE_MS)
    assert schedule.take_due_steps(1450.0, CROWD) == list(DrainStep)


def test_connections_close_only_once_gateways_cannot_connect_again() -> None:
    schedule = schedule_at_share(0.25)
    closes_at = schedule.connections_close_at(CROWD)
    assert schedule.take_due_steps(closes_at, CROWD) == [DrainStep.CLOSE_LISTENER]
    assert schedule.take_due_steps(closes_at + 20.0, CROWD) == []
    schedule.refuses_connections = True
    assert schedule.take_due_steps(closes_at + 40.0, CROWD) == [DrainStep.CLOSE_CONNECTIONS]


def test_the_next_check_is_in_the_future_even_if_a_step_waits() -> None:
    schedule = schedule_at_share(0.25)
    now = schedule.connections_close_at(CROWD)
    schedule.take_due_steps(now, CROWD)
    assert now < schedule.next_check_at(now, CROWD) <= now + 20.0


def test_one_long_stop_of_the_process_does_not_look_like_a_crowded_core() -> None:
    share = CoreShare()
    share.observe(BusyTime(elapsed_ms=300.0, processor_ms=0.5))
    assert share.fraction == 1.0
    for _ in range(5):
        share.observe(BusyTime(elapsed_ms=1.0, processor_ms=1.0))
    assert share.fraction == 1.0


def test_old_observations_are_forgotten() -> None:
    share = CoreShare()
    for _ in range(16):
        share.observe(BusyTime(elapsed_ms=50.0, processor_ms=10.0))
    assert share.fraction < 0.3
    for _ in range(16):
        share.observe(BusyTime(elapsed_ms=5.0, processor_ms=5.0))
    assert share.fraction == 1.0
