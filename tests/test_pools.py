"""The parts of the pools by themselves: division, estimates, budgets, likeness, reading, plans, the
reducer.
"""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pumicenotch.interface import Idempotency, IncomingRequest, RequestClass, SlotQuery
from pumicenotch.pools import Plan, Pool, Pools
from pumicenotch.pools.budget import Budget, Budgets
from pumicenotch.pools.divide import LEAST, divide
from pumicenotch.pools.estimate import Demand, Typical
from pumicenotch.pools.likeness import Likeness
from pumicenotch.pools.plan import InvalidPoolsPlanError, lanes, unknown
from pumicenotch.pools.reading import Reading

STAGE = RequestClass(2500.0, 0.0, 6300.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0)
places = st.floats(0.0, 50.0)
side = st.tuples(places, places, st.floats(0.01, 10.0))


@given(st.floats(1.0, 40.0), st.lists(side, min_size=1, max_size=8))
def test_limits_sum_to_the_total_and_none_goes_beyond_its_need_while_another_is_short(
    total: float, sides: list[tuple[float, float, float]]
) -> None:
    needs, own, weights = map(list, zip(*sides, strict=True))
    limits = divide(total, needs, own, weights)
    assert total - 1e-6 <= sum(limits) <= total + LEAST * len(sides) + 1e-6
    short = [at for at, limit in enumerate(limits) if limit < needs[at] - 1e-6]
    if short:
        assert all(limit <= need + LEAST + 1e-6 for limit, need in zip(limits, needs, strict=True))


@given(st.floats(1.0, 40.0), st.lists(side, min_size=2, max_size=8))
def test_a_reserve_is_given_before_all_others(
    total: float, sides: list[tuple[float, float, float]]
) -> None:
    needs, _, weights = map(list, zip(*sides, strict=True))
    own = [0.5 * total] + [0.0] * (len(sides) - 1)
    assert divide(total, needs, own, weights)[0] >= min(needs[0], 0.5 * total) - 1e-6


@given(st.floats(1.0, 40.0), st.lists(side, min_size=2, max_size=8))
def test_among_pools_that_are_short_weight_decides(
    total: float, sides: list[tuple[float, float, float]]
) -> None:
    needs, _, weights = map(list, zip(*sides, strict=True))
    limits = divide(total, needs, [0.0] * len(sides), weights)
    level = [
        limits[at] / weights[at]
        for at in range(len(sides))
        if LEAST < limits[at] < needs[at] - 1e-6
    ]
    assert not level or max(level) <= min(level) * (1.0 + 1e-6) + 1e-9


@given(st.floats(1.0, 40.0), st.lists(side, min_size=1, max_size=8), st.floats(0.1, 1.0))
def test_no_limit_is_over_its_most(
    total: float, sides: list[tuple[float, float, float]], part: float
) -> None:
    needs, own, weights = map(list, zip(*sides, strict=True))
    most = [part * total] * len(sides)
    capped = [min(claim, cap) for claim, cap in zip(own, most, strict=True)]
    limits = divide(total, needs, capped, weights, most)
    assert all(limit <= max(cap, LEAST) + 1e-6 for limit, cap in zip(limits, most, strict=True))


def test_demand_is_right_from_the_start_follows_a_jump_within_a_second_and_fades() -> None:
    demand = Demand(0.0, 700.0)
    for at in range(0, 400, 20):
        demand.arrived += 1
        if at % 100 == 80:
            rate = demand.fold(float(at))
    assert 0.04 < rate < 0.065  # 50 a second
    for at in range(400, 1900, 5):
        demand.arrived += 1
        if at % 100 == 95:
            rate = demand.fold(float(at))
    assert 0.16 < rate < 0.22  # 200 a second
    assert demand.fold(5000.0) < 0.01
    assert demand.fold(60000.0) == 0.0


def test_one_hung_run_does_not_move_a_typical_time_and_a_real_change_does() -> None:
    slot = Typical()
    for _ in range(50):
        slot.add(100.0)
    slot.add(60_000.0)
    assert slot.value < 130.0
    for _ in range(60):
        slot.add(1000.0)
    assert 850.0 < slot.value <= 1000.0
    for _ in range(60):
        slot.add(100.0)
    assert slot.value < 150.0


def test_a_budget_is_a_share_of_first_tries() -> None:
    budgets = Budgets(0.25, 2.0, 100)
    for _ in range(2):  # the first token is there, the burst saved up
        assert budgets.holds(1, 1)
        budgets.spend(1, 1)
        for _ in range(4):
            budgets.first(1, 1)
    budgets.spend(1, 1)
    assert not budgets.holds(1, 1)
    assert budgets.holds(2, 2)
    assert not budgets.holds(2, 1), "the tenant's are spent, whoever sends"
    for _ in range(4):
        budgets.first(1, 1)
    assert budgets.holds(1, 1)


def test_made_up_callers_gain_little_and_take_no_memory() -> None:
    budgets = Budgets(0.1, 10.0, 64)
    let_in = 0
    for caller in range(100_000):
        if budgets.holds(caller, caller % 7):
            budgets.spend(caller, caller % 7)
            let_in += 1
        elif caller % 10 == 0:
            budgets.callers.first(caller)
    assert let_in <= 40, "the budget over all bounds them"
    assert len(budgets.callers.young) + len(budgets.callers.old) <= 128
    assert budgets.forgotten > 0


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=300))
def test_tokens_stay_within_the_burst(events: list[tuple[bool, int]]) -> None:
    budget = Budget(0.3, 4.0, 8)
    for first, key in events:
        (budget.first if first else budget.spend)(key)
        assert 0.0 <= budget.get(key) <= 4.0
        assert len(budget.young) <= 8


def test_what_was_turned_away_within_the_window_is_a_repeat_and_memory_is_bounded() -> None:
    likeness = Likeness(0.0, 1000.0)
    assert not likeness.seen(0.0, 7)
    assert not likeness.seen(1.0, 7), "served twice it is two tasks"
    likeness.turned_away(2.0, 7)
    assert likeness.seen(900.0, 7)
    assert likeness.seen(1100.0, 7), "of the generation before"
    assert not likeness.seen(9000.0, 7)
    likeness.turned_away(9000.0, 0)
    assert not likeness.seen(9000.0, 0), "no content is never the same"
    for mark in range(100, 101 + 3 * Likeness.MOST):
        likeness.turned_away(9100.0, mark)
        assert len(likeness.young) + len(likeness.old) <= 2 * Likeness.MOST
    assert likeness.cut_short == 3


def test_a_window_of_nothing_knows_marked_repeats_alone() -> None:
    likeness = Likeness(0.0, 0.0)
    likeness.turned_away(0.0, 7)
    assert not likeness.seen(0.0, 7)


def test_while_reading_is_behind_a_part_of_it_is_kept_for_reserved_pools() -> None:
    reading = Reading(0.0, 0.5)
    assert all(reading.passes(float(at), 5.0, False) for at in range(100))
    for at in range(100, 120):
        reading.passes(float(at), 300.0, True)
    passed = [reading.passes(200.0 + at, 300.0, at % 4 == 0) for at in range(200)]
    assert all(passed[::4]), "reserved ones always"
    others = sum(passed) - 50
    assert 95 <= others <= 110, "half of what was read"
    assert reading.turned_away == 150 - others
    for at in range(400, 600):
        reading.passes(float(at), 1.0, False)
    assert all(reading.passes(600.0 + at, 1.0, False) for at in range(50)), "caught up"


def test_a_reader_that_stood_still_is_not_behind_for_good() -> None:
    reading = Reading(0.0, 0.5)
    for at in range(100):
        reading.passes(float(at), 400.0, False)
    assert reading.passes(5000.0, 1.0, False)


@pytest.mark.parametrize(
    ("pools", "words"),
    [
        ([], "name one at the least"),
        ([Pool("a", ())], "no stages"),
        ([Pool("a", ("x",)), Pool("b", ("x",))], "also of 'a'"),
        ([Pool("a", ("x",)), Pool("a", ("y",))], "named twice: a"),
        ([Pool("a", ("x",), reserve=0.6), Pool("b", ("y",), reserve=0.6)], "reserves sum to 1.2"),
        ([Pool("a", ("x",), reserve=0.6, most=0.5)], "reserve 0.6 is over most 0.5"),
    ],
)
def test_plans_that_contradict_themselves_are_refused(pools: list[Pool], words: str) -> None:
    with pytest.raises(InvalidPoolsPlanError, match=words):
        lanes(Plan(tuple(pools)), {"x": 0, "y": 1})


def test_stages_go_to_the_pool_that_names_them_else_to_the_rest() -> None:
    plan = Plan((Pool("a", ("x",)), Pool("rest", ("*",)), Pool("b", ("y", "gone"))))
    assert lanes(plan, {"x": 0, "y": 1, "z": 2}) == [0, 2, 1]
    assert unknown(plan, ["x", "y", "z"]) == ["gone"]
    assert lanes(Plan((Pool("a", ("x",)), Pool("b", ("y",)))), {"z": 0}) == [1], (
        "without a rest, to the last"
    )


kinds = st.sampled_from(["read", "on", "off", "ended", "tick", "next"])
events = st.lists(st.tuples(kinds, st.integers(0, 3), st.floats(0.0, 400.0)), max_size=120)


@given(events, st.integers(1, 12), st.booleans(), st.booleans())
def test_whatever_happens_one_of_those_waiting_may_start_or_a_place_is_kept_for_another(
    stream: list[tuple[str, int, float]], total: int, fixed: bool, lends: bool
) -> None:
    plan = Plan(
        (Pool("a", ("0",), 0.4, lends=lends), Pool("b", ("1",), most=0.7), Pool("c", ("*",))),
        fixed=fixed,
    )
    pools = Pools(0.0, plan, [STAGE] * 4, {str(at): at for at in range(4)})
    now, busy = 0.0, [0] * pools.count
    for name, lane, value in stream:
        now += value
        if name == "read":
            incoming = IncomingRequest(0, 0, 0, value, None, None, 1.0, None)
            pools.request_received(now, lane % 3, incoming)
            offer = pools.reserve_slot(
                now, SlotQuery(lane % 3, False, lane == 3, {lane % 3: 0}, 100.0, True)
            )
            assert offer.slots > 0.0 and offer.slot_ms > 0.0
        elif name == "on" and sum(busy) < total:
            busy[lane] += 1
            pools.slot_taken(now, lane, True)
        elif name == "off" and busy[lane]:
            busy[lane] -= 1
            pools.slot_released(now, lane)
        elif name == "ended":
            pools.request_finished(now, lane, value)
        elif name == "tick":
            pools.tick(now, total)
            sides: Any = pools.sides
            assert all(0.0 < each.limit <= max(total, 1) + LEAST * 4 for each in sides)
        elif name == "next":
            every = list(range(pools.count))
            chosen = pools.next_pool(now, every)
            assert chosen in (None, *every)
            if not fixed and not sum(busy):
                assert chosen is not None, "on empty cores something always starts"
            assert pools.next_pool(now, []) is None
    assert [each.busy for each in pools.sides] == busy
    assert pools.running == sum(busy)
