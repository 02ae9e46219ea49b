"""How running places are divided between pools: a pure function of what each needs and may claim."""

from collections.abc import Sequence

LEAST = 0.05  # of a place: a pool that nobody sends to has a claim still, or its first task would wait for good


def divide(
    total: float,
    needs: Sequence[float],
    own: Sequence[float],
    weights: Sequence[float],
    most: Sequence[float] | None = None,
) -> list[float]:
    """The limit of each pool, in places like all arguments but the weights. They sum to the total, less what
    a pool's `most` keeps it from taking.

    Weighted max-min with floors and ceilings: one level for all, at which a pool has its weight's part, but
    never less than its reserve as far as it needs it and never more than it needs. A pool that its reserve
    has raised above the level takes nothing else. What nobody needs then goes to all by weight, so that one
    whose demand grows finds its limit ahead of it.
    """
    if most is not None:
        needs = [min(pair) for pair in zip(needs, most, strict=True)]
    left = total - sum(needs)
    if left >= 0.0:
        spare = left / sum(weights)
        parts = [
            max(LEAST, need + spare * weight) for need, weight in zip(needs, weights, strict=True)
        ]
        return parts if most is None else [min(pair) for pair in zip(parts, most, strict=True)]
    floors = [claim if claim < need else need for claim, need in zip(own, needs, strict=True)]
    reserved = sum(floors)
    if reserved > total:
        return [max(LEAST, floor * total / reserved) for floor in floors]
    return [max(LEAST, part) for part in level(total, floors, needs, weights)]


def level(
    total: float, floors: Sequence[float], ceilings: Sequence[float], weights: Sequence[float]
) -> list[float]:
    """Parts by weight between floors and ceilings that sum to the total, as far as the ceilings allow. Each
    round settles those on the side, below or above, that is out by more: what settles them stays true
    after.
    """
    given = list(ceilings)
    free = list(range(len(floors)))
    left = total
    while free:
        a_weight = left / sum([weights[at] for at in free])
        low, high, under, over = [], [], 0.0, 0.0
        for at in free:
            part = given[at] = a_weight * weights[at]
            if part < floors[at]:
                low.append(at)
                under += floors[at] - part
            elif part > ceilings[at]:
                high.append(at)
                over += part - ceilings[at]
        if not low and not high:
            break
        settled, bounds = (low, floors) if under >= over else (high, ceilings)
        for at in settled:
            given[at] = bounds[at]
            left -= bounds[at]
            free.remove(at)
        left = max(0.0, left)
    return given
