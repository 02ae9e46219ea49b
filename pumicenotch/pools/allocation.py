"""Allocates the server's slots to pools: weighted max-min fairness with floors and ceilings."""

from collections.abc import Sequence

# The lowest limit, in slots. Without it the first request of an idle pool would wait forever.
MIN_SLOTS = 0.05


def allocate(
    total_slots: float,
    needs: Sequence[float],
    reserves: Sequence[float],
    weights: Sequence[float],
    ceilings: Sequence[float] | None = None,
) -> list[float]:
    """Returns the limit of each pool, in slots.

    If the needs exceed the total, each pool gets slots in proportion to its weight, but at least
    the lower of its reserve and its need, and at most its need. A pool whose reserve exceeds its
    proportional part gets the reserve alone. If the needs do not exceed the total, the unneeded
    slots are divided by weight, so that a pool whose demand grows already has a higher limit.

    Args:
        total_slots: the number of slots to allocate.
        needs: the slots that each pool's demand would occupy.
        reserves: the slots that each pool fills before all others.
        weights: the pools' weights for the slots that are not reserved.
        ceilings: the maximum number of slots of each pool, if pools have one.

    Returns:
        Limits that sum to the total, minus slots that no ceiling allows to use. `MIN_SLOTS` may
        raise the sum slightly.
    """
    if ceilings is not None:
        needs = [min(pair) for pair in zip(needs, ceilings, strict=True)]
    unneeded = total_slots - sum(needs)
    if unneeded >= 0.0:
        per_weight = unneeded / sum(weights)
        limits = [
            max(MIN_SLOTS, need + per_weight * weight)
            for need, weight in zip(needs, weights, strict=True)
        ]
        if ceilings is None:
            return limits
        return [min(pair) for pair in zip(limits, ceilings, strict=True)]
    return _ration(total_slots, needs, reserves, weights)


def _ration(
    total_slots: float,
    needs: Sequence[float],
    reserves: Sequence[float],
    weights: Sequence[float],
) -> list[float]:
    """Returns the limits for pools whose needs exceed the total."""
    floors = [
        reserve if reserve < need else need for reserve, need in zip(reserves, needs, strict=True)
    ]
    reserved = sum(floors)
    if reserved > total_slots:
        return [max(MIN_SLOTS, floor * total_slots / reserved) for floor in floors]
    return [max(MIN_SLOTS, limit) for limit in _fill(total_slots, floors, needs, weights)]


def _fill(
    total_slots: float,
    floors: Sequence[float],
    ceilings: Sequence[float],
    weights: Sequence[float],
) -> list[float]:
    """Returns limits in proportion to weights, within floors and ceilings, that sum to the total.

    Each round fixes either the pools below their floors or the pools above their ceilings,
    whichever group deviates more in sum. These pools would violate the same bound in every later
    round, so their limits are final.
    """
    limits = list(ceilings)
    open_pools = list(range(len(floors)))
    remaining = total_slots
    while open_pools:
        per_weight = remaining / sum([weights[pool] for pool in open_pools])
        below_floor = []
        above_ceiling = []
        deficit = 0.0
        excess = 0.0
        for pool in open_pools:
            limits[pool] = per_weight * weights[pool]
            if limits[pool] < floors[pool]:
                below_floor.append(pool)
                deficit += floors[pool] - limits[pool]
            elif limits[pool] > ceilings[pool]:
                above_ceiling.append(pool)
                excess += limits[pool] - ceilings[pool]
        if not below_floor and not above_ceiling:
            break
        fixed_pools, bounds = (
            (below_floor, floors) if deficit >= excess else (above_ceiling, ceilings)
        )
        for pool in fixed_pools:
            limits[pool] = bounds[pool]
            remaining -= bounds[pool]
            open_pools.remove(pool)
        remaining = max(0.0, remaining)
    return limits
