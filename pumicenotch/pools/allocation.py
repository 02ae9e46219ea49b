"""How the server's slots are allocated to pools: weighted max-min with floors and ceilings."""

from collections.abc import Sequence

# In slots. A pool without requests keeps a claim, or its first request would wait for ever.
MIN_SLOTS = 0.05


def allocate(
    total_slots: float,
    needs: Sequence[float],
    reserves: Sequence[float],
    weights: Sequence[float],
    ceilings: Sequence[float] | None = None,
) -> list[float]:
    """Return the limit of each pool, in slots.

    There is one level for all, at which a pool has slots by its weight, but never less than its
    reserve as far as it needs it, and never more than it needs. A pool that its reserve has raised
    above the level gets nothing else. What nobody needs goes to all by weight, so that a pool whose
    demand grows finds its limit ahead of it.

    Args:
        total_slots: what there is to allocate.
        needs: the slots that each pool's demand would hold.
        reserves: the slots that each pool fills before all others.
        weights: the claims of the pools on the rest.
        ceilings: the most slots for each pool, if there are any.

    Returns:
        Limits that sum to the total, less what the ceilings keep from use.
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
    """Return the limits where the pools need more than there is."""
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
    """Return limits by weight between floors and ceilings that sum to the total.

    Each round settles those below their floors or those above their ceilings, whichever are out by
    more in sum: what settles them remains true in the rounds after.
    """
    limits = list(ceilings)
    open_pools = list(range(len(floors)))
    remaining = total_slots
    while open_pools:
        per_weight = remaining / sum([weights[pool] for pool in open_pools])
        too_low = []
        too_high = []
        deficit = 0.0
        excess = 0.0
        for pool in open_pools:
            limits[pool] = per_weight * weights[pool]
            if limits[pool] < floors[pool]:
                too_low.append(pool)
                deficit += floors[pool] - limits[pool]
            elif limits[pool] > ceilings[pool]:
                too_high.append(pool)
                excess += limits[pool] - ceilings[pool]
        if not too_low and not too_high:
            break
        settled, bounds = (too_low, floors) if deficit >= excess else (too_high, ceilings)
        for pool in settled:
            limits[pool] = bounds[pool]
            remaining -= bounds[pool]
            open_pools.remove(pool)
        remaining = max(0.0, remaining)
    return limits
