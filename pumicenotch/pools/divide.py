"""How running places are divided between pools: a pure function of what each needs and may claim."""

from collections.abc import Sequence
from typing import NamedTuple


class Claim(NamedTuple):
    """All in running places."""

    need: float  # what its demand would hold on the mean
    own: float  # its reserve: claimed before all others as far as it is needed
    weight: float  # of its claim on what is left
    most: float


# of a place: a pool that nobody sends to has a claim still, or its first task would wait for good
LEAST = 0.05


def divide(total: float, claims: Sequence[Claim]) -> list[float]:
    """The limit of each pool. They sum to the total, or to the sum of `most` where that is less.

    First each has its reserve as far as it needs it; then what is left is filled up by weight, none beyond
    its need while another is short; then what nobody needs goes to all by weight, so that a pool whose demand
    grows finds its limit ahead of it."""
    given = [min(claim.own, claim.need, claim.most) for claim in claims]
    scale = sum(given) / total if total > 0 else 0.0
    if scale > 1.0:
        given = [part / scale for part in given]
    given = fill(total, given, [min(claim.need, claim.most) for claim in claims], claims)
    given = fill(total, given, [claim.most for claim in claims], claims)
    return [max(LEAST, part) for part in given]


def fill(total: float, given: list[float], most: list[float], claims: Sequence[Claim]) -> list[float]:
    """Water-filling: what is left is given out by weight, and what one cannot take goes to the others."""
    given = given[:]
    left = total - sum(given)
    short = [at for at, part in enumerate(given) if part < most[at]]
    while left > 1e-9 and short:
        weights = sum(claims[at].weight for at in short)
        full = [at for at in short if given[at] + left * claims[at].weight / weights >= most[at]]
        if not full:
            for at in short:
                given[at] += left * claims[at].weight / weights
            break
        for at in full:
            left -= max(0.0, most[at] - given[at])
            given[at] = most[at]
        short = [at for at in short if at not in full]
    return given
