"""Placement: weighted rendezvous, shuffle sharding, bounded loads. Pure functions; the same on every machine.

Weighted rendezvous after Schindelhauer and Schomaker: each node's score for a key is -weight / ln(u), with u
drawn by a hash of the two; the highest wins. A node that comes or goes changes only what it wins or held.
"""

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from hashlib import blake2b
from math import ceil, log
from typing import NamedTuple


class Node(NamedTuple):
    name: str
    address: str = ""
    weight: float = 1.0  # of its capacity against other nodes


@lru_cache(maxsize=65536)
def unit(key: str, name: str) -> float:
    """A number above 0 and below 1, by chance of the two names alone."""
    drawn = int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest())
    return (drawn + 0.5) / 2.0**64


def score(key: str, node: Node) -> float:
    return -node.weight / log(unit(key, node.name))


def ranked(key: str, nodes: Iterable[Node]) -> list[Node]:
    """The nodes by their claim on the key, the first its owner."""
    return sorted(nodes, key=lambda node: (-score(key, node), node.name))


def owner(key: str, nodes: Sequence[Node]) -> Node:
    """The first of `ranked`, without the rest. ValueError on no nodes."""
    return min(nodes, key=lambda node: (-score(key, node), node.name))


def shard(tenant: str, nodes: Sequence[Node], span: int) -> tuple[Node, ...]:
    """The nodes of a cell that a tenant spans: all for 0, else that many by its own ranking, so that two
    tenants share all of theirs by chance only.
    """
    if not span or span >= len(nodes):
        return tuple(nodes)
    return tuple(ranked(tenant, nodes)[:span])


def bounded(
    weights: Mapping[str, float],
    cells: Sequence[Node],
    slack: float,
    pins: Mapping[str, str] | None = None,
) -> dict[str, str]:
    """Tenants (by their weight) to cells, none with more than (1 + slack) of its part (Mirrokni, Thorup and
    Zadimoghaddam, 2016). Heavy tenants choose first, so that a light one is what gives way; among equals the
    name decides. Pinned ones stay where they are told, and count.

    Raises ValueError for a pin to no cell, or a slack that is not above 0.
    """
    if slack <= 0.0:
        raise ValueError(f"slack {slack:g}: above 0 is allowed: at 0 nothing would fit")
    pins = pins or {}
    by_name = {cell.name: cell for cell in cells}
    for tenant, cell in pins.items():
        if cell not in by_name:
            raise ValueError(f"tenant {tenant}: pinned to {cell}, which is no cell")
    total, capacity = sum(weights.values()), sum(cell.weight for cell in cells)
    heaviest = max(weights.values(), default=0.0)
    room = {
        cell.name: max(
            (1.0 + slack) * total * cell.weight / capacity, heaviest if len(cells) == 1 else 0.0
        )
        for cell in cells
    }
    found: dict[str, str] = {}
    for tenant, cell in pins.items():
        if tenant in weights:
            found[tenant] = cell
            room[cell] -= weights[tenant]
    for tenant in sorted(weights, key=lambda name: (-weights[name], name)):
        if tenant in found:
            continue
        choices = ranked(tenant, cells)
        fits = [cell for cell in choices if room[cell.name] >= weights[tenant]]
        # One heavier than any cell's room goes where most is left: a bound must not leave it without a cell.
        chosen = fits[0] if fits else max(choices, key=lambda each: room[each.name])
        found[tenant] = chosen.name
        room[chosen.name] -= weights[tenant]
    return found


def least_moves(tenants: int, cells_before: int, cells_after: int) -> int:
    """Moves that a change of the number of even cells needs at the least."""
    fewer, more = sorted((cells_before, cells_after))
    return ceil(tenants * (1.0 - fewer / more)) if more else 0
