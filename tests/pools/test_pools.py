"""The components of class pools, and `ClassPools` on random event streams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pumicenotch.interface import Idempotency, IncomingRequest, RequestClass, SlotQuery
from pumicenotch.pools import ClassPools, PoolPlan, PoolsPlan
from pumicenotch.pools.allocation import MIN_SLOTS, allocate
from pumicenotch.pools.duplicates import MAX_DIGESTS, DuplicateDetector
from pumicenotch.pools.estimators import ArrivalRate, ClippedMean
from pumicenotch.pools.plan import InvalidPoolsPlanError, assign_classes, unknown_classes
from pumicenotch.pools.read_backlog import ReadBacklog
from pumicenotch.pools.retry_budget import RetryBudget, RetryBudgets

REQUEST_CLASS = RequestClass(2500.0, 0.0, 6300.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0)
slots = st.floats(0.0, 50.0)
pool = st.tuples(slots, slots, st.floats(0.01, 10.0))


@given(st.floats(1.0, 40.0), st.lists(pool, min_size=1, max_size=8))
def test_limits_sum_to_the_total_and_none_goes_beyond_its_need_while_another_is_short(
    total: float, pools: list[tuple[float, float, float]]
) -> None:
    needs, reserves, weights = map(list, zip(*pools, strict=True))
    limits = allocate(total, needs, reserves, weights)
    assert total - 1e-6 <= sum(limits) <= total + MIN_SLOTS * len(pools) + 1e-6
    short_pools = [index for index, limit in enumerate(limits) if limit < needs[index] - 1e-6]
    if short_pools:
        assert all(
            limit <= need + MIN_SLOTS + 1e-6 for limit, need in zip(limits, needs, strict=True)
        )


@given(st.floats(1.0, 40.0), st.lists(pool, min_size=2, max_size=8))
def test_a_reserve_is_allocated_before_all_others(
    total: float, pools: list[tuple[float, float, float]]
) -> None:
    needs, _, weights = map(list, zip(*pools, strict=True))
    reserves = [0.5 * total] + [0.0] * (len(pools) - 1)
    assert allocate(total, needs, reserves, weights)[0] >= min(needs[0], 0.5 * total) - 1e-6


@given(st.floats(1.0, 40.0), st.lists(pool, min_size=2, max_size=8))
def test_limits_of_pools_below_their_needs_are_proportional_to_weights(
    total: float, pools: list[tuple[float, float, float]]
) -> None:
    needs, _, weights = map(list, zip(*pools, strict=True))
    limits = allocate(total, needs, [0.0] * len(pools), weights)
    slots_per_weight = [
        limits[index] / weights[index]
        for index in range(len(pools))
        if MIN_SLOTS < limits[index] < needs[index] - 1e-6
    ]
    assert (
        not slots_per_weight or max(slots_per_weight) <= min(slots_per_weight) * (1.0 + 1e-6) + 1e-9
    )


@given(st.floats(1.0, 40.0), st.lists(pool, min_size=1, max_size=8), st.floats(0.1, 1.0))
def test_no_limit_is_over_its_ceiling(
    total: float, pools: list[tuple[float, float, float]], fraction: float
) -> None:
    needs, reserves, weights = map(list, zip(*pools, strict=True))
    ceilings = [fraction * total] * len(pools)
    capped_reserves = [
        min(reserve, ceiling) for reserve, ceiling in zip(reserves, ceilings, strict=True)
    ]
    limits = allocate(total, needs, capped_reserves, weights, ceilings)
    assert all(
        limit <= max(ceiling, MIN_SLOTS) + 1e-6
        for limit, ceiling in zip(limits, ceilings, strict=True)
    )


def test_an_arrival_rate_is_accurate_at_once_follows_a_jump_within_a_second_and_decays() -> None:
    arrivals = ArrivalRate(0.0, 700.0)
    for at_ms in range(0, 400, 20):
        arrivals.new_arrivals += 1
        if at_ms % 100 == 80:
            rate = arrivals.fold(float(at_ms))
    assert 0.04 < rate < 0.065  # 50 a second
    for at_ms in range(400, 1900, 5):
        arrivals.new_arrivals += 1
        if at_ms % 100 == 95:
            rate = arrivals.fold(float(at_ms))
    assert 0.16 < rate < 0.22  # 200 a second
    assert arrivals.fold(5000.0) < 0.01
    assert arrivals.fold(60000.0) == 0.0


def test_one_hung_run_does_not_move_a_clipped_mean_and_a_real_change_does() -> None:
    mean = ClippedMean()
    for _ in range(50):
        mean.add(100.0)
    mean.add(60_000.0)
    assert mean.value < 130.0
    for _ in range(60):
        mean.add(1000.0)
    assert 850.0 < mean.value <= 1000.0
    for _ in range(60):
        mean.add(100.0)
    assert mean.value < 150.0


def test_a_retry_budget_is_a_fraction_of_first_attempts() -> None:
    budgets = RetryBudgets(0.25, 2.0, 100)
    for _ in range(2):  # the initial token, then the first saved one
        assert budgets.allows(1, 1)
        budgets.withdraw(1, 1)
        for _ in range(4):
            budgets.deposit(1, 1)
    budgets.withdraw(1, 1)
    assert not budgets.allows(1, 1)
    assert budgets.allows(2, 2)
    assert not budgets.allows(2, 1), "the tenant's tokens are spent, whichever caller sends"
    for _ in range(4):
        budgets.deposit(1, 1)
    assert budgets.allows(1, 1)


def test_callers_with_a_new_id_for_each_attempt_gain_few_retries_and_bounded_memory() -> None:
    budgets = RetryBudgets(0.1, 10.0, 64)
    admitted = 0
    for caller in range(100_000):
        if budgets.allows(caller, caller % 7):
            budgets.withdraw(caller, caller % 7)
            admitted += 1
        elif caller % 10 == 0:
            budgets.callers.deposit(caller)
    assert admitted <= 40, "the total budget bounds the retries"
    assert len(budgets.callers.recent) + len(budgets.callers.previous) <= 128
    assert budgets.dropped_keys > 0


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 30)), max_size=300))
def test_tokens_stay_within_the_burst(events: list[tuple[bool, int]]) -> None:
    budget = RetryBudget(0.3, 4.0, 8)
    for is_first, key in events:
        (budget.deposit if is_first else budget.withdraw)(key)
        assert 0.0 <= budget.tokens_of(key) <= 4.0
        assert len(budget.recent) <= 8


def test_content_of_a_rejected_request_is_a_duplicate_within_a_window_of_bounded_size() -> None:
    detector = DuplicateDetector(0.0, 1000.0)
    assert not detector.is_duplicate(0.0, 7)
    assert not detector.is_duplicate(1.0, 7), "equal content served twice is two requests"
    detector.remember(2.0, 7)
    assert detector.is_duplicate(900.0, 7)
    assert detector.is_duplicate(1100.0, 7), "in the previous generation"
    assert not detector.is_duplicate(9000.0, 7)
    detector.remember(9000.0, 0)
    assert not detector.is_duplicate(9000.0, 0), "digest 0 stands for unknown content"
    for digest in range(100, 101 + 3 * MAX_DIGESTS):
        detector.remember(9100.0, digest)
        assert len(detector.recent) + len(detector.previous) <= 2 * MAX_DIGESTS
    assert detector.shortened_windows == 3


def test_a_window_of_zero_finds_no_duplicates() -> None:
    detector = DuplicateDetector(0.0, 0.0)
    detector.remember(0.0, 7)
    assert not detector.is_duplicate(0.0, 7)


def test_while_reading_is_behind_a_fraction_of_requests_is_kept_for_reserved_pools() -> None:
    backlog = ReadBacklog(0.0, 0.5)
    assert all(backlog.admits(float(at_ms), 5.0, False) for at_ms in range(100))
    for at_ms in range(100, 120):
        backlog.admits(float(at_ms), 300.0, True)
    admitted_flags = [backlog.admits(200.0 + at_ms, 300.0, at_ms % 4 == 0) for at_ms in range(200)]
    assert all(admitted_flags[::4]), "requests of reserved pools are always admitted"
    others_admitted = sum(admitted_flags) - 50
    assert 95 <= others_admitted <= 110, "half of the requests read"
    assert backlog.rejected == 150 - others_admitted
    for at_ms in range(400, 600):
        backlog.admits(float(at_ms), 1.0, False)
    assert all(backlog.admits(600.0 + at_ms, 1.0, False) for at_ms in range(50)), (
        "reading has caught up"
    )


def test_a_reader_that_was_idle_is_no_longer_behind() -> None:
    backlog = ReadBacklog(0.0, 0.5)
    for at_ms in range(100):
        backlog.admits(float(at_ms), 400.0, False)
    assert backlog.admits(5000.0, 1.0, False)


@pytest.mark.parametrize(
    ("pools", "message"),
    [
        ([], "name one at the least"),
        ([PoolPlan("a", ())], "no stages"),
        ([PoolPlan("a", ("x",)), PoolPlan("b", ("x",))], "also of 'a'"),
        ([PoolPlan("a", ("x",)), PoolPlan("a", ("y",))], "named twice: a"),
        (
            [PoolPlan("a", ("x",), reserve=0.6), PoolPlan("b", ("y",), reserve=0.6)],
            "reserves sum to 1.2",
        ),
        ([PoolPlan("a", ("x",), reserve=0.6, max_fraction=0.5)], "reserve 0.6 is over most 0.5"),
    ],
)
def test_plans_that_contradict_themselves_are_refused(pools: list[PoolPlan], message: str) -> None:
    with pytest.raises(InvalidPoolsPlanError, match=message):
        assign_classes(PoolsPlan(tuple(pools)), {"x": 0, "y": 1})


def test_classes_are_assigned_to_the_pool_that_names_them_else_to_the_default() -> None:
    plan = PoolsPlan(
        (PoolPlan("a", ("x",)), PoolPlan("rest", ("*",)), PoolPlan("b", ("y", "gone")))
    )
    assert assign_classes(plan, {"x": 0, "y": 1, "z": 2}) == [0, 2, 1]
    assert unknown_classes(plan, ["x", "y", "z"]) == ["gone"]
    assert assign_classes(PoolsPlan((PoolPlan("a", ("x",)), PoolPlan("b", ("y",)))), {"z": 0}) == [
        1
    ], "without a pool for other classes, to the last pool"


event_names = st.sampled_from(["received", "taken", "released", "finished", "tick", "next"])
events = st.lists(st.tuples(event_names, st.integers(0, 3), st.floats(0.0, 400.0)), max_size=120)


def three_pools(fixed: bool, lends: bool) -> PoolsPlan:
    return PoolsPlan(
        (
            PoolPlan("a", ("0",), 0.4, lends_idle_slots=lends),
            PoolPlan("b", ("1",), max_fraction=0.7),
            PoolPlan("c", ("*",)),
        ),
        fixed_limits=fixed,
    )


@given(events, st.integers(1, 12), st.booleans(), st.booleans())
def test_on_random_events_a_waiting_pool_may_start_or_a_slot_is_kept_for_another(
    stream: list[tuple[str, int, float]], total: int, fixed: bool, lends: bool
) -> None:
    plan = three_pools(fixed, lends)
    pools = ClassPools(0.0, plan, [REQUEST_CLASS] * 4, {str(index): index for index in range(4)})
    now = 0.0
    running = [0] * pools.count
    for name, pool, value in stream:
        now += value
        if name == "received":
            incoming = IncomingRequest(0, 0, 0, value, None, None, 1.0, None)
            pools.request_received(now, pool % 3, incoming)
            offer = pools.reserve_slot(
                now, SlotQuery(pool % 3, False, pool == 3, {pool % 3: 0}, 100.0, True)
            )
            assert offer.slots > 0.0 and offer.slot_ms > 0.0
        elif name == "taken" and sum(running) < total:
            running[pool] += 1
            pools.slot_taken(now, pool, True)
        elif name == "released" and running[pool]:
            running[pool] -= 1
            pools.slot_released(now, pool)
        elif name == "finished":
            pools.request_finished(now, pool, value)
        elif name == "tick":
            pools.tick(now, total)
            assert all(0.0 < state.limit <= max(total, 1) + MIN_SLOTS * 4 for state in pools.pools)
        elif name == "next":
            all_pools = list(range(pools.count))
            chosen = pools.next_pool(now, all_pools)
            assert chosen in (None, *all_pools)
            if not fixed and not sum(running):
                assert chosen is not None, "on idle cores a run always starts"
            assert pools.next_pool(now, []) is None
    assert [state.running for state in pools.pools] == running
    assert pools.running == sum(running)
