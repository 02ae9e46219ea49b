"""The split of the total among the tenants, against DESIGN's chain written out over all of them."""

import math
from math import exp, log

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


def same(found: float, wanted: float) -> bool:
    return found == wanted or (math.isnan(found) and math.isnan(wanted))


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
            assert same(caps[number % known], chain(total, vs)[number % known])
        else:
            moved = range(1, known, number) if kind == "all" else [number] if number < known else []
            for tenant in moved:
                vs[tenant] = v
                caps.set_control_output(tenant, v)
    assert all(map(same, [caps[tenant] for tenant in range(known)], chain(total, vs)))


def test_weights_beyond_the_largest_float_are_as_in_the_whole_chain() -> None:
    vs = [6.0] * 2000
    caps = SlotShares(len(vs), 3)
    for tenant in range(1, len(vs)):
        caps.set_control_output(tenant, 6.0)
    assert all(map(same, [caps[tenant] for tenant in range(len(vs))], chain(3, vs)))
