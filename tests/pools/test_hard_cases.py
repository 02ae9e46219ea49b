"""Hard cases for class pools: the real server core in simulated time, with fixed seeds.

Bounds are far from the measured values (docs/pools.md) and allow for the spread between seeds, so
that a test fails if a mechanism is missing, not because of random variation.
"""

from functools import cache
from pathlib import Path
from typing import Any

import pytest

from pumicenotch.config.file import plan_of
from pumicenotch.lab.experiment_file import Experiment, read
from pumicenotch.lab.measure import figures
from pumicenotch.lab.simulate import Simulation, pools_of
from pumicenotch.pools import PoolPlan, PoolsPlan

PLAN = plan_of(Path(__file__).parents[2] / "deploy" / "pools.hcl")
SHORT_RUN = ("carrier=simulated", "length_s=30", "warm_s=6")


@cache
def load_experiment(name: str, *settings: str) -> Experiment:
    return read(name, [*SHORT_RUN, *settings])[0]


def simulate(
    name: str, *settings: str, plan: PoolsPlan | None = PLAN, seed: int = 1
) -> tuple[dict[str, float], Simulation]:
    """Runs a simulation and returns its figures; asserts that it breaks no rule."""
    experiment = load_experiment(name, *settings)
    simulation = Simulation(experiment, seed, pools_of(plan)).run()
    assert not any(simulation.ledger.rules().values()), simulation.ledger.broken[:3]
    return figures(experiment, simulation.ledger, 0.0, 1), simulation


def counts(simulation: Simulation) -> dict[str, float]:
    pools: Any = simulation.nodes[0].core.controller.pools  # type: ignore[union-attr]
    counters: dict[str, float] = pools.counts()
    return counters


def test_at_120_percent_cheap_calls_keep_their_service_and_utility_rises() -> None:
    without_pools, _ = simulate("pools", plan=None)
    with_pools, _ = simulate("pools")
    assert without_pools["service_preview"] < 0.9 < with_pools["service_preview"]
    assert with_pools["utility"] > without_pools["utility"]


def test_at_60_percent_pools_cost_nothing() -> None:
    without_pools, _ = simulate("pools", "load=0.6", plan=None)
    with_pools, _ = simulate("pools", "load=0.6")
    for name, figure in without_pools.items():
        if name.startswith("service") or name == "utility":
            assert with_pools[name] >= figure - 0.005, name
    assert with_pools["latency_p50_ms"] <= 1.02 * without_pools["latency_p50_ms"]


@pytest.mark.parametrize("marked", ["true", "false"])
@pytest.mark.parametrize("tries", [3, 10])
def test_gateways_that_retry_without_limit_do_not_drain_the_reserve(
    tries: int, marked: str
) -> None:
    with_pools, simulation = simulate(
        "pools-retries", f"gateways.tries={tries}", f"gateways.marks={marked}"
    )
    assert with_pools["service_preview"] >= 0.9
    counters = counts(simulation)
    assert counters["repeats_over_budget"] > 0 or tries == 3
    assert (counters["repeats_marked"] > 0) == (marked == "true")
    if marked == "false":
        retries = simulation.ledger.repeats
        assert 0.95 * retries <= counters["repeats_alike"] <= retries, (
            "nearly every retry is detected, because there is only one server"
        )


def test_different_content_never_counts_as_a_retry() -> None:
    _, simulation = simulate("pools", "gateways.tries=1")
    assert counts(simulation)["repeats_alike"] == 0


@pytest.mark.parametrize("seed", [1, 2])
def test_a_shift_of_classes_is_followed_within_seconds(seed: int) -> None:
    with_pools, _ = simulate("pools-shift", "length_s=60", seed=seed)
    assert with_pools["shift_s"] <= 3.0
    assert with_pools["service_preview"] >= 0.9


def test_a_tenant_that_sends_only_previews_does_not_occupy_the_whole_reserve() -> None:
    with_pools, _ = simulate("pools-one-tenant")
    assert with_pools["service_of_studio_b"] >= 0.9
    assert with_pools["service_of_studio_c"] >= 0.9
    assert with_pools["service_of_flood"] < with_pools["service_of_studio_b"]


@pytest.mark.parametrize("hints", ["fifth", "absent"])
def test_bakes_far_longer_than_estimated_or_without_estimates_lose_little_utility(
    hints: str,
) -> None:
    without_pools, _ = simulate("pools-long-bakes", f"hints={hints}", plan=None)
    with_pools, _ = simulate("pools-long-bakes", f"hints={hints}")
    assert with_pools["service_preview"] >= max(0.9, without_pools["service_preview"])
    assert with_pools["utility"] >= without_pools["utility"] - 0.02


UNUSUAL_PLANS = {
    "a class without requests": (
        [PoolPlan("none", ("never-sent",), 0.5), PoolPlan("rest", ("*",))],
        (),
    ),
    "a class missing from the plan": (
        [PoolPlan("cheap", ("preview",), 0.5), PoolPlan("heavy", ("bake",))],
        (),
    ),
    "a single pool": ([PoolPlan("all", ("*",), 0.9)], ()),
    "one core": ([PoolPlan("cheap", ("preview",), 0.5), PoolPlan("rest", ("*",))], ("cores=1",)),
    "a pool of one slot": (
        [PoolPlan("one", ("bake",), max_fraction=0.01), PoolPlan("rest", ("*",))],
        (),
    ),
    "a pool that lends none": (
        [PoolPlan("cheap", ("preview",), 0.5, lends_idle_slots=False), PoolPlan("rest", ("*",))],
        (),
    ),
}


@pytest.mark.parametrize(("pools", "settings"), UNUSUAL_PLANS.values(), ids=UNUSUAL_PLANS)
def test_unusual_plans_serve_requests(pools: list[PoolPlan], settings: tuple[str, ...]) -> None:
    without_pools, _ = simulate("pools", *settings, plan=None)
    with_pools, _ = simulate("pools", *settings, plan=PoolsPlan(tuple(pools)))
    assert with_pools["utility"] >= without_pools["utility"] - 0.08
    assert with_pools["service_final_submit"] >= 0.5


def test_an_idle_reserve_is_lent_completely() -> None:
    idle_reserve = PoolsPlan((PoolPlan("none", ("never-sent",), 0.8), PoolPlan("rest", ("*",))))
    without_pools, _ = simulate("pools", plan=PoolsPlan((PoolPlan("rest", ("*",)),)))
    with_pools, _ = simulate("pools", plan=idle_reserve)
    assert abs(with_pools["utility"] - without_pools["utility"]) < 0.03


def test_service_recovers_after_a_hang_a_stall_and_slow_cores() -> None:
    with_pools, _ = simulate("pools-recovery", "length_s=70")
    assert with_pools["recover_s"] <= 5.0


def test_reloads_and_a_drain_under_full_load_break_no_rule() -> None:
    with_pools, simulation = simulate("pools-reload", "length_s=45")
    assert with_pools["utility"] >= 0.7
    reload_lines = [text for _, _, text in simulation.log if text.startswith("reload: pools")]
    assert len(reload_lines) == 3


def test_limits_never_exceed_the_total_and_follow_it() -> None:
    _, simulation = simulate("pools")
    pools: Any = simulation.nodes[0].core.controller.pools  # type: ignore[union-attr]
    total = pools.total_slots
    assert all(state.limit <= total for state in pools.pools)
    assert sum(state.fair_slots for state in pools.pools) <= total + 0.5
