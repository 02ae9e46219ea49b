"""Moves of tenants between cells as a sequence of maps, and the order in which the maps are published.

A move is a map of the next epoch: the tenant has its new cell, and its old nodes become former nodes
without an expiry. The map is published to the nodes first; once a node has it in its file, the node runs
nothing new under an older one. Routers get the map only when every old and new node of the tenant has it.
When all routers have it, a second map settles the move: from then on the former nodes are asked about
requests that come within one more window. No other state is kept: a control plane that crashes reads
the newest map and the acknowledgements again, and continues or aborts the move from there.
"""

from collections.abc import Iterable, Mapping
from enum import Enum, auto
from typing import NamedTuple

from pumicenotch.cells.map import (
    OPEN_ENDED,
    Cell,
    CellMap,
    FormerNodes,
    InvalidCellMapError,
    Tenant,
    validate,
)
from pumicenotch.cells.place import Node, assign_tenants, shard


def active_formers(formers: Iterable[FormerNodes], now: float) -> tuple[FormerNodes, ...]:
    """Returns the former nodes that a router may still have to ask."""
    return tuple(former for former in formers if former.is_active(now))


def current_nodes_as_former(cells: CellMap, name: str, tenant: Tenant) -> FormerNodes:
    """Returns the tenant's current nodes as former nodes without an expiry."""
    return FormerNodes(shard(name, cells.cells[tenant.cell].nodes, tenant.span), 0)


def relocate(cells: CellMap, places: Mapping[str, tuple[str, int]], now: float) -> CellMap:
    """Returns the next map, with tenants moved.

    Args:
        cells: The current map.
        places: The new cell and span (0 for all nodes) of each tenant to move.
        now: The current Unix time in ms.

    Raises:
        InvalidCellMapError: A cell is unknown, or a tenant already has the place.
    """
    tenants, epoch = dict(cells.tenants), cells.epoch + 1
    for name, (cell, span) in places.items():
        if cell not in cells.cells:
            raise InvalidCellMapError(f"no cell {cell!r}; cells: {', '.join(sorted(cells.cells))}")
        tenant = cells.tenant(name)
        if tenant is None:
            tenants[name] = Tenant(cell, span, (), epoch)
            continue
        if tenant.cell == cell and tenant.span == span:
            raise InvalidCellMapError(f"tenant {name}: is already in cell {cell}")
        # All nodes of the old place become former nodes, whichever of them was a key's home, and so
        # do the former nodes of the old cell.
        formers = [current_nodes_as_former(cells, name, tenant), *cells.cells[tenant.cell].former]
        tenants[name] = Tenant(
            cell,
            span,
            (*active_formers(tenant.former, now), *active_formers(formers, now)),
            epoch,
        )
    return validate(cells._replace(epoch=epoch, tenants=tenants))


def move(cells: CellMap, names: Iterable[str], cell: str, now: float, span: int = 0) -> CellMap:
    """Returns the next map, with the named tenants in the cell. Raises InvalidCellMapError."""
    return relocate(cells, dict.fromkeys(names, (cell, span)), now)


def resize(cells: CellMap, cell: str, nodes: tuple[Node, ...], now: float) -> CellMap:
    """Returns the next map, with the cell on these nodes; a new cell is created.

    Former homes are asked only about idempotency keys whose home changes.
    """
    previous = cells.cells.get(cell) or Cell(cell, ())
    former = (FormerNodes(previous.nodes, 0),) if previous.nodes else ()
    epoch = cells.epoch + 1
    resized = Cell(cell, nodes, (*active_formers(previous.former, now), *former), epoch)
    return validate(cells._replace(epoch=epoch, cells={**cells.cells, cell: resized}))


def evacuate(
    cells: CellMap, cell: str, now: float, weights: dict[str, float], slack: float = 0.25
) -> CellMap:
    """Returns the next map, without tenants in the cell.

    Its tenants are assigned to the other cells with bounded loads; see `assign_tenants`.

    Args:
        cells: The current map.
        cell: The cell to evacuate.
        now: The current Unix time in ms.
        weights: The weights of tenants; 1 for those not named.
        slack: The permitted excess of a cell over its fair share.

    Raises:
        InvalidCellMapError: There is no other cell, or the cell is the fallback.
    """
    others = [
        Node(name, weight=sum(node.weight for node in each.nodes))
        for name, each in cells.cells.items()
        if name != cell
    ]
    if not others:
        raise InvalidCellMapError(f"cell {cell} is the only one: there is no cell to move to")
    if cells.fallback == cell:
        raise InvalidCellMapError(f"cell {cell} is the fallback: name another fallback first")
    leaving = [name for name, each in cells.tenants.items() if each.cell == cell]
    pins = {name: each.cell for name, each in cells.tenants.items() if each.cell != cell}
    all_weights = {name: weights.get(name, 1.0) for name in cells.tenants}
    assigned = assign_tenants(all_weights, others, slack, pins)
    return relocate(cells, {name: (assigned[name], 0) for name in leaving}, now)


def settle(cells: CellMap, now: float) -> CellMap:
    """Returns the next map, in which former nodes without an expiry get one.

    The expiry is the end of the window of the last request that they can have run, by the time when a
    retry comes; `FormerNodes.is_active` adds the time until the retry is read. It is one window plus the
    lease from now: for as long as the lease, a router without the newest map may still send requests by
    its old one to a node that was forced, see `may_publish_to_routers`.

    The map is created once every affected node has the previous one, and every router has it or its
    lease has run out; see `progress`. The map changes no tenant's epoch: routers without it continue
    to ask the former homes, which is safe.
    """
    expires_at = now + cells.window_ms + cells.lease_ms

    def with_expiry(formers: tuple[FormerNodes, ...]) -> tuple[FormerNodes, ...]:
        return tuple(
            each._replace(expires_at=expires_at) if each.expires_at == OPEN_ENDED else each
            for each in active_formers(formers, now)
        )

    return validate(
        cells._replace(
            epoch=cells.epoch + 1,
            cells={
                name: each._replace(former=with_expiry(each.former))
                for name, each in cells.cells.items()
            },
            tenants={
                name: each._replace(former=with_expiry(each.former))
                for name, each in cells.tenants.items()
            },
        )
    )


class Stage(Enum):
    """How far a move has come. The stage is derived from the newest map and its acknowledgements only."""

    # The map exists; no node has it.
    DRAFTED = auto()
    # Some nodes have the map in their files; routers must not get it yet.
    TELLING_NODES = auto()
    # All affected nodes have the map; routers may get it.
    TELLING_ROUTERS = auto()
    # All nodes and routers have the map; the move can be settled.
    OPEN = auto()
    # The move is settled; former homes are still asked about requests that came in time.
    SETTLING = auto()
    # No request is left that former homes must be asked about.
    DONE = auto()


class Progress(NamedTuple):
    """The progress of a move.

    Attributes:
        stage: The stage.
        waits_for: The nodes or routers that have not acknowledged the map.
    """

    stage: Stage
    waits_for: tuple[str, ...]


def affected_nodes(before: CellMap, after: CellMap, names: Iterable[str]) -> tuple[str, ...]:
    """Returns the nodes that must have the new map before any router: the tenants' old and new ones."""
    found = {
        node.name for name in names for cells in (before, after) for node in cells.nodes(name)
    } | {node.name for name in names for former in after.formers(name) for node in former.nodes}
    return tuple(sorted(found))


def changed_tenants(before: CellMap, after: CellMap) -> tuple[str, ...]:
    """Returns the tenants whose epoch differs between the maps."""
    names = {*before.tenants, *after.tenants}
    return tuple(
        sorted(name for name in names if before.tenant_epoch(name) != after.tenant_epoch(name))
    )


def unfinished_tenants(before: CellMap, after: CellMap) -> set[str]:
    """Returns the tenants whose nodes must have the new map before any router.

    These are the tenants of the newest change, and those of earlier ones that are not settled: some
    of their former nodes may not know of it yet.
    """
    unsettled = {
        name
        for name in after.tenants
        if any(former.expires_at == OPEN_ENDED for former in after.formers(name))
    }
    return unsettled | set(changed_tenants(before, after))


def progress(
    before: CellMap, after: CellMap, nodes: dict[str, int], routers: dict[str, int], now: float
) -> Progress:
    """Returns the progress of the change from one map to the next.

    Args:
        before: The previous map.
        after: The new map.
        nodes: The epoch that each node has acknowledged.
        routers: The epoch that each router has acknowledged.
        now: The current Unix time in ms.
    """
    names = unfinished_tenants(before, after)
    missing = tuple(
        name for name in affected_nodes(before, after, names) if nodes.get(name, 0) < after.epoch
    )
    if missing:
        some = any(epoch >= after.epoch for epoch in nodes.values())
        return Progress(Stage.TELLING_NODES if some else Stage.DRAFTED, missing)
    behind = tuple(sorted(name for name, epoch in routers.items() if epoch < after.epoch))
    if behind:
        return Progress(Stage.TELLING_ROUTERS, behind)
    formers = [former for name in names for former in after.formers(name)]
    if any(former.expires_at == OPEN_ENDED for former in formers):
        return Progress(Stage.OPEN, ())
    return Progress(
        Stage.SETTLING if any(former.is_active(now) for former in formers) else Stage.DONE, ()
    )


def may_publish_to_routers(
    before: CellMap, after: CellMap, nodes: dict[str, int], force: Iterable[str] = ()
) -> bool:
    """Returns whether routers may get the new map.

    Args:
        before: The previous map.
        after: The new map.
        nodes: The epoch that each node has acknowledged.
        force: Nodes that count as dead and need not acknowledge. They must be stopped first: a
            running one could, by an old map, run requests that the tenants' new nodes run too.
    """
    ready = set(force) | {name for name, epoch in nodes.items() if epoch >= after.epoch}
    return set(affected_nodes(before, after, unfinished_tenants(before, after))) <= ready


def abort(before: CellMap, after: CellMap, now: float) -> CellMap:
    """Returns the next map after `after`, in which the tenants are back in their cells of `before`.

    An abort is a move like any other, with a new epoch: the nodes of the aborted move may have run
    requests, and become former nodes.

    Raises:
        InvalidCellMapError: No tenant moved between the maps.
    """
    places = {}
    for name in changed_tenants(before, after):
        old, new = before.tenant(name), after.tenant(name)
        if old is not None and new is not None and (old.cell, old.span) != (new.cell, new.span):
            places[name] = (old.cell, old.span)
    if not places:
        raise InvalidCellMapError(f"epoch {after.epoch} moved no tenant: nothing to abort")
    return relocate(after, places, now)
