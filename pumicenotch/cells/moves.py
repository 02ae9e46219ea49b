"""Moves of tenants between cells, as maps that follow each other, and the order in which they are made known.

A move is a map of the next epoch: the tenant has its new cell, and its old nodes stand as former,
open-ended. It is made known to the nodes first; once a node has it in its file, it runs nothing new by an
older one. Only when every node of the old and the new place has it do routers get it. When all have, a
second map settles it: from then on the former nodes count for one window more. Nothing else is remembered: a
control plane that dies reads the newest map and the acknowledgements again, and goes on or aborts from
there.
"""

from collections.abc import Iterable, Mapping
from enum import Enum, auto
from typing import NamedTuple

from pumicenotch.cells.map import OPEN, Cell, CellMap, Former, InvalidCellMapError, Tenant, check
from pumicenotch.cells.place import Node, bounded, shard


def living(formers: Iterable[Former], now: float) -> tuple[Former, ...]:
    return tuple(former for former in formers if former.counts(now))


def left(cells: CellMap, name: str, held: Tenant) -> Former:
    return Former(shard(name, cells.cells[held.cell].nodes, held.span), 0)


def relocate(cells: CellMap, places: Mapping[str, tuple[str, int]], now: float) -> CellMap:
    """The next map, in which those tenants live in those cells, on so many nodes (0: all). Raises InvalidCellMapError."""
    tenants, epoch = dict(cells.tenants), cells.epoch + 1
    for name, (cell, span) in places.items():
        if cell not in cells.cells:
            raise InvalidCellMapError(f"no cell {cell!r}; cells: {', '.join(sorted(cells.cells))}")
        held = cells.tenant(name)
        if held is None:
            tenants[name] = Tenant(cell, span, (), epoch)
            continue
        if held.cell == cell and held.span == span:
            raise InvalidCellMapError(f"tenant {name}: lives in {cell} already")
        # A whole place is left, whatever part of it the token's home was; what its old cell had been counts
        # too.
        formers = [left(cells, name, held), *cells.cells[held.cell].former]
        tenants[name] = Tenant(
            cell, span, (*living(held.former, now), *living(formers, now)), epoch
        )
    return check(cells._replace(epoch=epoch, tenants=tenants))


def move(cells: CellMap, names: Iterable[str], cell: str, now: float, span: int = 0) -> CellMap:
    """The next map, in which all those tenants live in that cell. Raises InvalidCellMapError."""
    return relocate(cells, dict.fromkeys(names, (cell, span)), now)


def resize(cells: CellMap, cell: str, nodes: tuple[Node, ...], now: float) -> CellMap:
    """The next map, in which that cell has those nodes. Fingerprints whose home stays are not asked about."""
    held = cells.cells.get(cell) or Cell(cell, ())
    former = (Former(held.nodes, 0),) if held.nodes else ()
    epoch = cells.epoch + 1
    made = Cell(cell, nodes, (*living(held.former, now), *former), epoch)
    return check(cells._replace(epoch=epoch, cells={**cells.cells, cell: made}))


def evacuate(
    cells: CellMap, cell: str, now: float, weights: dict[str, float], slack: float = 0.25
) -> CellMap:
    """The next map, in which nobody lives in that cell: its tenants go to the others by weight, within a
    bound.
    """
    others = [
        Node(name, weight=sum(node.weight for node in each.nodes))
        for name, each in cells.cells.items()
        if name != cell
    ]
    if not others:
        raise InvalidCellMapError(f"cell {cell} is the only one: nowhere to go")
    if cells.fallback == cell:
        raise InvalidCellMapError(f"cell {cell} is the fallback: name another first")
    going = [name for name, each in cells.tenants.items() if each.cell == cell]
    stay = {name: each.cell for name, each in cells.tenants.items() if each.cell != cell}
    every = {name: weights.get(name, 1.0) for name in cells.tenants}
    found = bounded(every, others, slack, stay)
    return relocate(cells, {name: (found[name], 0) for name in going}, now)


def settle(cells: CellMap, now: float) -> CellMap:
    """The next map, in which what was left open counts for one window more, and for a lease: so long a
    router that heard of nothing may go by its old map, with a node that was forced.

    To be made once every node concerned has the open one, and every router, or where a lease bounds those
    that have not; see `progress`. It changes no tenant's stamp: routers that have not heard of it ask on,
    which is safe.
    """
    until = now + cells.window_ms + cells.lease_ms

    def closed(formers: tuple[Former, ...]) -> tuple[Former, ...]:
        return tuple(
            each._replace(until=until) if each.until == OPEN else each
            for each in living(formers, now)
        )

    return check(
        cells._replace(
            epoch=cells.epoch + 1,
            cells={
                name: each._replace(former=closed(each.former))
                for name, each in cells.cells.items()
            },
            tenants={
                name: each._replace(former=closed(each.former))
                for name, each in cells.tenants.items()
            },
        )
    )


class Stage(Enum):
    """How far a move has come. Only the newest map and who has it tell this: it is nowhere else kept."""

    DRAFTED = auto()  # made; nobody has it
    TELLING_NODES = auto()  # some nodes have it in their files: routers must not yet
    TELLING_ROUTERS = auto()  # all nodes concerned have it: routers may
    OPEN = auto()  # all have it: it can be settled
    SETTLING = auto()  # settled; former homes are asked still
    DONE = auto()  # nobody is asked any more


class Progress(NamedTuple):
    stage: Stage
    waits_for: tuple[str, ...]  # whose acknowledgement is missing


def concerned(before: CellMap, after: CellMap, names: Iterable[str]) -> tuple[str, ...]:
    """The nodes that must have the new map before any router has: the tenants' old and new ones."""
    found = {
        node.name for name in names for cells in (before, after) for node in cells.nodes(name)
    } | {
        node.name
        for name in names
        if (held := after.tenant(name)) is not None
        for former in (*held.former, *after.cells[held.cell].former)
        for node in former.nodes
    }
    return tuple(sorted(found))


def changed(before: CellMap, after: CellMap) -> tuple[str, ...]:
    """Tenants whose stamp the new map raises."""
    names = {*before.tenants, *after.tenants}
    return tuple(sorted(name for name in names if before.stamp(name) != after.stamp(name)))


def progress(
    before: CellMap, after: CellMap, nodes: dict[str, int], routers: dict[str, int], now: float
) -> Progress:
    """Where the change from one map to the next stands, by the epochs that nodes and routers acknowledged."""
    names = changed(before, after)
    missing = tuple(
        name for name in concerned(before, after, names) if nodes.get(name, 0) < after.epoch
    )
    if missing:
        some = any(epoch >= after.epoch for epoch in nodes.values())
        return Progress(Stage.TELLING_NODES if some else Stage.DRAFTED, missing)
    behind = tuple(sorted(name for name, epoch in routers.items() if epoch < after.epoch))
    if behind:
        return Progress(Stage.TELLING_ROUTERS, behind)
    formers = [
        former
        for name in names
        if (held := after.tenant(name)) is not None
        for former in (*held.former, *after.cells[held.cell].former)
    ]
    if any(former.until == OPEN for former in formers):
        return Progress(Stage.OPEN, ())
    return Progress(
        Stage.SETTLING if any(former.counts(now) for former in formers) else Stage.DONE, ()
    )


def may_tell_routers(
    before: CellMap, after: CellMap, nodes: dict[str, int], force: Iterable[str] = ()
) -> bool:
    """Whether the new map may go to routers. A node that is forced is taken for dead: it must be ended
    before, or it could run, by an old map, what its tenants' new nodes run too.
    """
    ready = set(force) | {name for name, epoch in nodes.items() if epoch >= after.epoch}
    return set(concerned(before, after, changed(before, after))) <= ready


def abort(before: CellMap, after: CellMap, now: float) -> CellMap:
    """The map after a move that is taken back: the tenants live where they lived, and what their new place
    may have run counts as long as any other former home. It is a move like every other: there is no way back
    but onward.
    """
    back = {}
    for name in changed(before, after):
        old, new = before.tenant(name), after.tenant(name)
        if old is not None and new is not None and (old.cell, old.span) != (new.cell, new.span):
            back[name] = (old.cell, old.span)
    if not back:
        raise InvalidCellMapError(f"epoch {after.epoch} moved no tenant: nothing to take back")
    return relocate(after, back, now)
