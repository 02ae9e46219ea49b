"""The division of a fleet's nodes into the waves of a release."""

from collections.abc import Iterator
from itertools import zip_longest
from math import ceil
from typing import NamedTuple

from pumicenotch.fleet.drains.budgets import Member

DEFAULT_FRACTIONS = (0.34, 1.0)

# The side of a service that is released first, as the compatibility between callers and replicas
# requires.
REPLICAS_FIRST = "below-first"
CALLERS_FIRST = "callers-first"


class Placement(NamedTuple):
    """The zone and the cell of a node."""

    zone: str
    cell: str


def plan_waves(
    members: list[Member],
    *,
    fractions: tuple[float, ...] = DEFAULT_FRACTIONS,
    mixed: bool = False,
    order: str = "",
) -> tuple[tuple[str, ...], ...]:
    """Returns the names of the nodes of each wave.

    The first wave is a single node. One node of each further zone follows, and then growing
    fractions of each zone and cell. Voters come last, in waves of one voter each.

    Args:
        members: the nodes to release to.
        fractions: the fractions of each zone and cell to reach, in ascending order.
        mixed: whether one wave may contain nodes of several zones or cells.
        order: REPLICAS_FIRST, CALLERS_FIRST, or "" for no order between the two.
    """
    replicas = [member for member in members if member.serves and not member.voter]
    others = [member for member in members if not member.serves and not member.voter]
    voters = sorted(member for member in members if member.voter)
    groups = {REPLICAS_FIRST: [replicas, others], CALLERS_FIRST: [others, replicas]}
    waves: list[tuple[str, ...]] = []
    for group in groups.get(order, [replicas + others]):
        waves += _GroupPlan(sorted(group)).plan(fractions, mixed)
    waves += [(voter.name,) for voter in voters]
    return tuple(waves)


class _GroupPlan:
    """Plans the waves of nodes that need no order among themselves."""

    def __init__(self, members: list[Member]) -> None:
        self.remaining: dict[Placement, list[str]] = {}
        for member in members:
            placement = Placement(member.zone, member.cell)
            self.remaining.setdefault(placement, []).append(member.name)
        self.sizes = {placement: len(names) for placement, names in self.remaining.items()}

    def plan(self, fractions: tuple[float, ...], mixed: bool) -> Iterator[tuple[str, ...]]:
        """Yields the names of the nodes of each wave, in order."""
        if not self.remaining:
            return
        first = next(iter(self.remaining))
        yield (self.remaining[first].pop(0),)
        yield from self._take_nodes(self._one_of_each_new_zone(), mixed)
        for fraction in fractions:
            yield from self._take_nodes(self._up_to_fraction(fraction), mixed)

    def _one_of_each_new_zone(self) -> dict[Placement, int]:
        reached = {
            placement.zone
            for placement, names in self.remaining.items()
            if len(names) < self.sizes[placement]
        }
        first_placements = {
            placement.zone: placement
            for placement in reversed(self.remaining)
            if placement.zone not in reached
        }
        return {first_placements[zone]: 1 for zone in sorted(first_placements)}

    def _up_to_fraction(self, fraction: float) -> dict[Placement, int]:
        counts = {}
        for placement, names in self.remaining.items():
            size = self.sizes[placement]
            reached = size - len(names)
            counts[placement] = max(0, ceil(fraction * size) - reached)
        return counts

    def _take_nodes(self, counts: dict[Placement, int], mixed: bool) -> Iterator[tuple[str, ...]]:
        """Yields one wave for each placement, or a single wave for all if waves may be mixed."""
        taken = []
        for placement, count in counts.items():
            names = self.remaining[placement][:count]
            self.remaining[placement] = self.remaining[placement][count:]
            if names:
                taken.append(tuple(names))
        if not mixed:
            yield from taken
        elif taken:
            # Alternates the zones: a node that waits for the budget of its zone blocks the nodes
            # behind it in the queue, including those of other zones.
            rounds = zip_longest(*taken)
            yield tuple(name for round_names in rounds for name in round_names if name is not None)
