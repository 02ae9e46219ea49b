"""Which nodes a release reaches together, and in which order."""

from collections.abc import Iterator
from itertools import zip_longest
from math import ceil

from pumicenotch.fleet.drains.budgets import Member


def waves_of(
    members: list[Member],
    *,
    shares: tuple[float, ...] = (0.34, 1.0),
    mixed: bool = False,
    order: str = "",
) -> tuple[tuple[str, ...], ...]:
    """One node, then one of each zone, then rising shares of each zone and cell; voters last, one a wave.
    `order` is "below-first" or "callers-first", as the compatibility of services with their callers asks.
    """
    found: list[tuple[str, ...]] = []
    below = [each for each in members if each.serves and not each.voter]
    others = [each for each in members if not each.serves and not each.voter]
    parts = {"below-first": [below, others], "callers-first": [others, below]}.get(
        order, [below + others]
    )
    for part in parts:
        found += list(part_waves(sorted(part), shares, mixed))
    found += [(each.name,) for each in sorted(members) if each.voter]
    return tuple(found)


def part_waves(
    part: list[Member], shares: tuple[float, ...], mixed: bool
) -> Iterator[tuple[str, ...]]:
    left: dict[tuple[str, str], list[str]] = {}
    for each in part:
        left.setdefault((each.zone, each.cell), []).append(each.name)
    whole = {place: len(some) for place, some in left.items()}
    if not left:
        return
    place = next(iter(left))
    yield (left[place].pop(0),)

    def wave(counts: dict[tuple[str, str], int]) -> Iterator[tuple[str, ...]]:
        taken = []
        for place, many in counts.items():
            some, left[place] = left[place][:many], left[place][many:]
            if some:
                taken.append(tuple(some))
        if (
            mixed and taken
        ):  # zones in turn: one that waits for its own bars whoever stands behind it
            yield tuple(one for some in zip_longest(*taken) for one in some if one is not None)
        elif not mixed:
            yield from taken

    zones = {place[0]: place for place in reversed(left) if len(left[place]) == whole[place]}
    seen = {place[0] for place in left if len(left[place]) < whole[place]}
    yield from wave({zones[zone]: 1 for zone in sorted(zones) if zone not in seen})
    for share in shares:
        yield from wave(
            {at: max(0, ceil(share * whole[at]) - (whole[at] - len(left[at]))) for at in left}
        )
