"""Placement: weighted rendezvous hashing, shuffle sharding and bounded loads.

All functions are pure and give the same result on every machine.

Weighted rendezvous hashing follows Schindelhauer and Schomaker: a node's score for a key is
-weight / ln(u), where u is a hash of both mapped to (0, 1). The node with the highest score owns
the key. Adding a node moves only keys to it; removing a node moves only its own keys.
"""

from collections.abc import Iterable, Mapping, Sequence
from functools import lru_cache
from hashlib import blake2b
from math import ceil, log
from typing import NamedTuple


class Node(NamedTuple):
    """A node, or a cell as a target for tenants.

    Attributes:
        name: The unique name.
        address: `host:port`; empty for a cell.
        weight: The capacity relative to other nodes.
    """

    name: str
    address: str = ""
    weight: float = 1.0


@lru_cache(maxsize=65536)
def uniform_hash(key: str, name: str) -> float:
    """Returns a hash of the key and the name, uniform between 0 and 1, both excluded."""
    digest = int.from_bytes(blake2b(f"{key}\0{name}".encode(), digest_size=8).digest())
    return (digest + 0.5) / 2.0**64


def score(key: str, node: Node) -> float:
    """Returns the rendezvous score of the node for the key."""
    return -node.weight / log(uniform_hash(key, node.name))


def ranked(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes by descending score for the key; the first owns the key."""
    return sorted(nodes, key=lambda node: (-score(key, node), node.name))


def owner(key: str, nodes: Sequence[Node]) -> Node:
    """Returns the first node of `ranked` without sorting. Raises ValueError without nodes."""
    return min(nodes, key=lambda node: (-score(key, node), node.name))


def shard(tenant: str, nodes: Sequence[Node], span: int) -> tuple[Node, ...]:
    """Returns the nodes of a cell that serve a tenant (shuffle sharding).

    Each tenant has its own ranking, so two tenants rarely share all of their nodes.

    Args:
        tenant: The tenant's name.
        nodes: The nodes of the cell.
        span: The number of nodes; 0 for all.
    """
    if not span or span >= len(nodes):
        return tuple(nodes)
    return tuple(ranked(tenant, nodes)[:span])


def assign_tenants(
    weights: Mapping[str, float],
    cells: Sequence[Node],
    slack: float,
    pins: Mapping[str, str] | None = None,
) -> dict[str, str]:
    """Assigns tenants to cells by rendezvous hashing with bounded loads.

    The bound is that of Mirrokni, Thorup and Zadimoghaddam (2016): no cell carries more than
    (1 + slack) times its share of the total weight. Heavy tenants are assigned first, so that light
    ones are displaced by the bound; equal weights are ordered by name.

    Args:
        weights: The weight of each tenant.
        cells: The cells with their weights.
        slack: The permitted excess over the fair share; above 0.
        pins: Tenants with a fixed cell. A pinned tenant counts towards the cell's load.

    Raises:
        ValueError: A pin names an unknown cell, or `slack` is not above 0.
    """
    if slack <= 0.0:
        raise ValueError(f"slack {slack:g}: must be above 0: at 0 no assignment would fit")
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
    assigned: dict[str, str] = {}
    for tenant, cell in pins.items():
        if tenant in weights:
            assigned[tenant] = cell
            room[cell] -= weights[tenant]
    for tenant in sorted(weights, key=lambda name: (-weights[name], name)):
        if tenant in assigned:
            continue
        candidates = ranked(tenant, cells)
        fitting = [cell for cell in candidates if room[cell.name] >= weights[tenant]]
        # A tenant too heavy for every cell goes to the one with the most room: the bound must not
        # leave a tenant without a cell.
        chosen = fitting[0] if fitting else max(candidates, key=lambda each: room[each.name])
        assigned[tenant] = chosen.name
        room[chosen.name] -= weights[tenant]
    return assigned


def min_moves(tenants: int, cells_before: int, cells_after: int) -> int:
    """Returns the minimum number of moves when the number of equal cells changes."""
    fewer, more = sorted((cells_before, cells_after))
    return ceil(tenants * (1.0 - fewer / more)) if more else 0
