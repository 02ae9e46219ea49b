"""The split of the total among the tenants, against DESIGN's chain written out over all of them."""

import math
import random
from collections.abc import Sequence
from decimal import Decimal
from math import exp, log

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pumicenotch.control.slot_shares import SlotShares

V_MOST = 6


def chain(total: int, vs: list[float]) -> list[float]:
    """Every tenant's cap: each pair's ratio from the table, floors reserved, the rest split by weight."""
    known = len(vs)
    floor = min(1.0, 0.5 * total / known)
    widest = log((total - (known - 1) * floor) / floor) if known > 1 else 0.0
    weights = [1.0]
    for v in vs[1:]:
        weights.append(weights[-1] * exp(widest * round(v) / V_MOST))
    rest = (total - known * floor) / sum(weights)
    return [floor + rest * weight for weight in weights]


def exact_chain(total: int, vs: list[float]) -> list[float]:
    """The same in numbers whose exponent has no bound that a chain of ratios reaches."""
    known = len(vs)
    floor = min(1.0, 0.5 * total / known)
    widest = Decimal(log((total - (known - 1) * floor) / floor)) if known > 1 else Decimal(0)
    weights = [Decimal(1)]
    for v in vs[1:]:
        weights.append(weights[-1] * (widest * round(v) / V_MOST).exp())
    rest = Decimal(total - known * floor) / sum(weights)
    return [floor + float(rest * weight) for weight in weights]


def assert_same(caps: SlotShares, total: int, vs: list[float], tenants: Sequence[int]) -> None:
    """To the last bit as in floats, and where the floats' chain ends in no number as in exact ones."""
    found = [caps[tenant] for tenant in tenants]
    wanted = chain(total, vs)
    if all(map(math.isfinite, wanted)):
        assert found == [wanted[tenant] for tenant in tenants]
    else:
        exact = exact_chain(total, vs)
        assert found == pytest.approx([exact[tenant] for tenant in tenants], rel=1e-9, abs=0.0)


@given(
    st.integers(1, 300),
    st.lists(
        st.one_of(
            st.tuples(st.just("move"), st.integers(1, 299), st.floats(-V_MOST, V_MOST)),
            st.tuples(st.just("total"), st.integers(1, 80), st.just(0.0)),
            st.tuples(st.just("read"), st.integers(0, 299), st.just(0.0)),
            st.tuples(st.just("all"), st.integers(1, 7), st.floats(-V_MOST, V_MOST)),
        ),
        max_size=40,
    ),
)
def test_shares_are_those_of_the_whole_chain_to_the_last_bit(
    known: int, steps: list[tuple[str, int, float]]
) -> None:
    total, vs = 4, [0.0] * known
    caps = SlotShares(known, total)
    for kind, number, v in steps:
        if kind == "total":
            total = number
            caps.rebuild(total)
        elif kind == "read":
            assert_same(caps, total, vs, [number % known])
        else:
            moved = range(1, known, number) if kind == "all" else [number] if number < known else []
            for tenant in moved:
                vs[tenant] = v
                caps.set_control_output(tenant, v)
    assert_same(caps, total, vs, range(known))


def test_weights_beyond_the_largest_float_are_as_in_the_exact_chain() -> None:
    vs = [6.0] * 2000
    caps = SlotShares(len(vs), 3)
    for tenant in range(1, len(vs)):
        caps.set_control_output(tenant, 6.0)
    assert_same(caps, 3, vs, range(len(vs)))


@pytest.mark.parametrize("uneven_fraction", [1.0, 0.2])
def test_shares_of_very_many_uneven_tenants_are_numbers(uneven_fraction: float) -> None:
    """Guards against products of ratios that leave the floats: no tenant had a share then."""
    known, total = 54_000, 6
    rng = random.Random(0)
    shares = SlotShares(known, total)
    for tenant in range(known):
        if rng.random() < uneven_fraction:
            shares.set_control_output(tenant, rng.uniform(0.0, 6.0))
    slots = [shares[tenant] for tenant in range(known)]
    assert min(slots) >= shares.floor and sum(slots) == pytest.approx(total)
