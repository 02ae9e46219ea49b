"""The control loop over the response times of neighbouring tenants."""

from pumicenotch.control import ControllerSettings
from pumicenotch.control.fair_scheduler import FairScheduler
from pumicenotch.interface import Tenant


def test_a_sample_processes_only_tenants_that_have_sent() -> None:
    scheduler = FairScheduler(ControllerSettings([], [Tenant(1.0, None)] * 1000, []), 4)
    scheduler.response_ms = {6: [100.0], 7: [300.0, 500.0], 9: [100.0]}
    scheduler.on_sample(4, 100.0, 1000.0)
    assert sorted(scheduler.queues) == [6, 7]  # the only pair
    assert scheduler.queues[7].control_output > 0.0 == scheduler.queues[6].control_output
    assert scheduler.shares[999] == scheduler.shares[7] > scheduler.shares[6] == scheduler.shares[0]


def test_a_pair_without_completions_of_both_tenants_keeps_its_control_output() -> None:
    scheduler = FairScheduler(ControllerSettings([], [Tenant(1.0, None)] * 10, []), 4)
    scheduler.response_ms = {6: [100.0], 7: [130.0]}
    scheduler.on_sample(4, 100.0, 1000.0)
    control_output_before, error = (
        scheduler.queues[7].control_output,
        scheduler.queues[7].control_error,
    )
    for times in ({}, {6: [100.0]}, {7: [100.0], 8: [100.0]}):
        scheduler.response_ms = dict(times)
        scheduler.on_sample(5, 100.0, 1000.0)
        assert (scheduler.queues[7].control_output, scheduler.queues[7].control_error) == (
            control_output_before,
            error,
        )
