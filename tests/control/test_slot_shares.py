"""The split of the slots, compared with the chain of ratios in docs/design.md over all tenants."""

import math
import random
from collections.abc import Sequence
from decimal import Decimal
from math import exp, log

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pumicenotch.control.slot_shares import SlotShares

MAX_OUTPUT = 6


def chain(total_slots: int, outputs: list[float]) -> list[float]:
    """Returns every tenant's slots: a reserved floor, and a part of the other slots by weight."""
    tenant_count = len(outputs)
    floor = min(1.0, 0.5 * total_slots / tenant_count)
    max_log_ratio = (
        log((total_slots - (tenant_count - 1) * floor) / floor) if tenant_count > 1 else 0.0
    )
    weights = [1.0]
    for output in outputs[1:]:
        weights.append(weights[-1] * exp(max_log_ratio * round(output) / MAX_OUTPUT))
    slots_per_weight = (total_slots - tenant_count * floor) / sum(weights)
    return [floor + slots_per_weight * weight for weight in weights]


def exact_chain(total_slots: int, outputs: list[float]) -> list[float]:
    """Returns the same as `chain`, in decimals, which a product of ratios does not overflow."""
    tenant_count = len(outputs)
    floor = min(1.0, 0.5 * total_slots / tenant_count)
    max_log_ratio = (
        Decimal(log((total_slots - (tenant_count - 1) * floor) / floor))
        if tenant_count > 1
        else Decimal(0)
    )
    weights = [Decimal(1)]
    for output in outputs[1:]:
        weights.append(weights[-1] * (max_log_ratio * round(output) / MAX_OUTPUT).exp())
    slots_per_weight = Decimal(total_slots - tenant_count * floor) / sum(weights)
    return [floor + float(slots_per_weight * weight) for weight in weights]


def assert_same(
    shares: SlotShares, total_slots: int, outputs: list[float], tenants: Sequence[int]
) -> None:
    """Asserts shares equal to `chain` to the last bit, or to `exact_chain` if floats overflow."""
    actual = [shares[tenant] for tenant in tenants]
    expected = chain(total_slots, outputs)
    if all(map(math.isfinite, expected)):
        assert actual == [expected[tenant] for tenant in tenants]
    else:
        exact = exact_chain(total_slots, outputs)
        assert actual == pytest.approx([exact[tenant] for tenant in tenants], rel=1e-9, abs=0.0)


@given(
    st.integers(1, 300),
    st.lists(
        st.one_of(
            st.tuples(st.just("move"), st.integers(1, 299), st.floats(-MAX_OUTPUT, MAX_OUTPUT)),
            st.tuples(st.just("total"), st.integers(1, 80), st.just(0.0)),
            st.tuples(st.just("read"), st.integers(0, 299), st.just(0.0)),
            st.tuples(st.just("all"), st.integers(1, 7), st.floats(-MAX_OUTPUT, MAX_OUTPUT)),
        ),
        max_size=40,
    ),
)
def test_shares_are_those_of_the_whole_chain_to_the_last_bit(
    tenant_count: int, steps: list[tuple[str, int, float]]
) -> None:
    total_slots, outputs = 4, [0.0] * tenant_count
    shares = SlotShares(tenant_count, total_slots)
    for kind, number, output in steps:
        if kind == "total":
            total_slots = number
            shares.rebuild(total_slots)
        elif kind == "read":
            assert_same(shares, total_slots, outputs, [number % tenant_count])
        else:
            changed = (
                range(1, tenant_count, number)
                if kind == "all"
                else [number]
                if number < tenant_count
                else []
            )
            for tenant in changed:
                outputs[tenant] = output
                shares.set_control_output(tenant, output)
    assert_same(shares, total_slots, outputs, range(tenant_count))


def test_weights_beyond_the_largest_float_match_the_exact_chain() -> None:
    outputs = [6.0] * 2000
    shares = SlotShares(len(outputs), 3)
    for tenant in range(1, len(outputs)):
        shares.set_control_output(tenant, 6.0)
    assert_same(shares, 3, outputs, range(len(outputs)))


@pytest.mark.parametrize("uneven_fraction", [1.0, 0.2])
def test_shares_of_very_many_uneven_tenants_are_numbers(uneven_fraction: float) -> None:
    """Guards against products of ratios that overflow a float, after which no tenant has a share."""
    tenant_count, total_slots = 54_000, 6
    rng = random.Random(0)
    shares = SlotShares(tenant_count, total_slots)
    for tenant in range(tenant_count):
        if rng.random() < uneven_fraction:
            shares.set_control_output(tenant, rng.uniform(0.0, 6.0))
    slots = [shares[tenant] for tenant in range(tenant_count)]
    assert min(slots) >= shares.floor and sum(slots) == pytest.approx(total_slots)
