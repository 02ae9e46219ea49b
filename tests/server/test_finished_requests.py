"""What finished requests leave behind in the server, the controller and their timers."""

import pytest

from pumicenotch.control import TimerQueue
from tests.server.scenario_player import ServerScenario

REQUESTS = 3000
# Entries that may stay in a timer queue: those in use, and as many cancelled ones again.
MAX_TIMERS = 200


def server_with_few_slots() -> ServerScenario:
    scenario = ServerScenario()
    scenario.play_step("stage buy due=5000 limit=13000 effect=FINGERPRINTED window=38000")
    scenario.play_step("serve cores=1 crowd_multiple=2")
    return scenario


def timer_counts(scenario: ServerScenario) -> list[int]:
    controller = scenario.core.controller
    assert controller is not None
    return [len(scenario.core.timers._timers), len(controller.timers._timers)]


def kept_key_count(scenario: ServerScenario) -> int:
    controller = scenario.core.controller
    assert controller is not None
    return max(len(scenario.core.results.by_key), len(controller.keys.retained))


# Guards against memory that grows with requests that are over: their timers held them until their limits (review case 8).
@pytest.mark.parametrize("ending", ["rejected", "withdrawn", "unknown to the pool"])
def test_requests_that_are_over_leave_no_timer_behind(ending: str) -> None:
    scenario = server_with_few_slots()
    for message_id in range(1, REQUESTS + 1):
        name = f"{message_id:04x}"
        scenario.do_send(["1", str(message_id), "buy", name], {"token": name})
        if ending == "withdrawn":
            scenario.step("cancel", 1, message_id)
        elif ending == "unknown to the pool":
            scenario.play_step(f"put unknown spawn {name}")
        scenario.recorded.clear()
    assert max(timer_counts(scenario)) <= MAX_TIMERS, timer_counts(scenario)
    assert kept_key_count(scenario) <= MAX_TIMERS
    assert len(scenario.core.requests.by_id) <= MAX_TIMERS


def test_a_key_that_may_have_run_stays_for_its_window() -> None:
    scenario = server_with_few_slots()
    scenario.play_step("send 1 1 buy aa token=aa")
    scenario.play_step("finish aa fine x")
    scenario.play_step("at 37000")
    assert kept_key_count(scenario) == 1
    scenario.play_step("at 60000")
    assert kept_key_count(scenario) == 0
    assert max(timer_counts(scenario)) <= MAX_TIMERS


def test_cancelled_timers_neither_run_nor_change_the_order_of_the_others() -> None:
    timers = TimerQueue()
    ran: list[int] = []
    handles = [
        timers.schedule(float(number % 10), lambda _, argument: ran.append(argument), number)
        for number in range(1000)
    ]
    for number, timer in enumerate(handles):
        if number % 7:
            timer.cancel()
            timer.cancel()
    expected = sorted(range(0, 1000, 7), key=lambda number: (number % 10, number))
    assert len(timers) == len(expected)
    timers.run_expired(10.0)
    assert ran == expected
    assert not len(timers)
    handles[0].cancel()
    assert not len(timers)
