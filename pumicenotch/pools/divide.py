"""How running places are divided between pools: a pure function of what each needs and may claim."""

from collections.abc import Sequence
from typing import NamedTuple


class Claim(NamedTuple):
    """All in running places but the weight."""

    need: float  # what its demand would hold on the mean
    own: float  # its reserve: claimed before all others as far as it is needed
    weight: float
    most: float


# of a place: a pool that nobody sends to has a claim still, or its first task would wait for good
LEAST = 0.05


def divide(total: float, claims: Sequence[Claim]) -> list[float]:
    """The limit of each pool. They sum to the total, less what a pool's `most` keeps it from taking.

    Weighted max-min with floors and ceilings: one level for all, at which a pool has its weight's part, but
    never less than its reserve as far as it needs it and never more than it needs. A pool that its reserve
    has raised above the level takes nothing else. What nobody needs then goes to all by weight, so that one
    whose demand grows finds its limit ahead of it."""
    floors = [min(claim.own, claim.need, claim.most) for claim in claims]
    reserved = sum(floors)
    if reserved > total:
        return [max(LEAST, floor * total / reserved) for floor in floors]
    needs = [min(claim.need, claim.most) for claim in claims]
    left = total - sum(needs)
    if left < 0.0:
        given = level(total, floors, needs, claims)
    else:
        weights = sum(claim.weight for claim in claims)
        spare = left / weights
        given = [min(each.most, need + spare * each.weight) for need, each in zip(needs, claims, strict=True)]
    return [max(LEAST, part) for part in given]


def level(
    total: float, floors: Sequence[float], ceilings: Sequence[float], claims: Sequence[Claim]
) -> list[float]:
    """Parts by weight between floors and ceilings that sum to the total, as far as the ceilings allow. Each
    round settles those on the side, below or above, that is out by more: what settles them stays true
    after."""
    given = list(ceilings)
    free = list(range(len(claims)))
    left = total
    while free:
        weights = sum(claims[at].weight for at in free)
        parts = {at: left * claims[at].weight / weights for at in free}
        low = [at for at in free if parts[at] < floors[at]]
        high = [at for at in free if parts[at] > ceilings[at]]
        under = sum(floors[at] - parts[at] for at in low)
        over = sum(parts[at] - ceilings[at] for at in high)
        if not low and not high:
            for at in free:
                given[at] = parts[at]
            break
        settled, bounds = (low, floors) if under >= over else (high, ceilings)
        for at in settled:
            given[at] = bounds[at]
            left -= bounds[at]
            free.remove(at)
        left = max(0.0, left)
    return given
