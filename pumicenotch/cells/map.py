"""The cell map: the nodes of each cell, the cell of each tenant, and the former nodes that may still hold
a tenant's idempotency keys.

Maps are numbered by epochs. One epoch has one content: receiving a map again changes nothing,
different content under a known epoch is refused, and a lower epoch never replaces a higher one.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

from pumicenotch.cells.place import Node, owner, shard
from pumicenotch.errors import InputError
from pumicenotch.interface import MAX_CLOCK_AHEAD_MS

FORMAT_VERSION = 1
# How late after its arrival a request with an idempotency key may be read by a router and still be
# sent on. Former nodes stay in maps for as long, because the router asks those of the arrival.
MAX_READ_DELAY_MS = 30_000.0


class InvalidCellMapError(InputError):
    """A cell map is invalid. The text names the place and the permitted values."""


# Expiry of former nodes while some node or router may not know of the change yet.
OPEN_ENDED = 0.0


class FormerNodes(NamedTuple):
    """Nodes that may hold idempotency keys of a tenant that they no longer serve.

    Attributes:
        nodes: The nodes of the former cell.
        span: How many of them served the tenant; 0 for all.
        expires_at: The end of the idempotency windows of all requests that they have run, in Unix
            ms; OPEN_ENDED while this is not known.
    """

    nodes: tuple[Node, ...]
    span: int
    expires_at: float = OPEN_ENDED

    def may_know(self, arrived_at: float) -> bool:
        """Returns whether the nodes must be asked about a request.

        Args:
            arrived_at: When the request came, in Unix ms, not when it was read: a request that came
                within the window of an earlier attempt must not run again, however late it is read.
        """
        return self.expires_at == OPEN_ENDED or arrived_at < self.expires_at + MAX_CLOCK_AHEAD_MS

    def is_active(self, now: float) -> bool:
        """Returns whether a request that the nodes must be asked about may still be read.

        Args:
            now: The current Unix time in ms.
        """
        return self.may_know(now - MAX_READ_DELAY_MS)


class Cell(NamedTuple):
    """A cell.

    Attributes:
        name: The unique name.
        nodes: The current nodes.
        former: Earlier node sets.
        since: The epoch in which the cell got its current nodes.
    """

    name: str
    nodes: tuple[Node, ...]
    former: tuple[FormerNodes, ...] = ()
    since: int = 1


class Tenant(NamedTuple):
    """A tenant's placement.

    Attributes:
        cell: The name of the tenant's cell.
        span: How many nodes of the cell serve the tenant; 0 for all.
        former: Nodes of the cells in which the tenant was before.
        since: The epoch in which the tenant moved to the cell.
    """

    cell: str
    span: int = 0
    former: tuple[FormerNodes, ...] = ()
    since: int = 1


class Homes(NamedTuple):
    """The nodes of an idempotency key.

    Attributes:
        home: The node that runs requests with the key.
        former_homes: Nodes that may have run such a request. Each must give the key up before
            `home` may run a request with it.
    """

    home: Node
    former_homes: tuple[Node, ...]


class CellMap(NamedTuple):
    """All cells and tenants in one epoch.

    Attributes:
        epoch: The number of the map, from 1.
        cells: The cells by name.
        tenants: The tenants by name.
        window_ms: How long a node remembers an idempotency key.
        lease_ms: How long a router may use a map that has not been confirmed; 0 for any time.
        fallback: The cell of tenants that the map does not name; "" to reject them.
    """

    epoch: int
    cells: Mapping[str, Cell]
    tenants: Mapping[str, Tenant]
    window_ms: float
    lease_ms: float = 0.0
    fallback: str = ""

    def tenant(self, name: str) -> Tenant | None:
        """Returns the tenant's placement; None if the map does not serve the tenant."""
        tenant = self.tenants.get(name)
        if tenant is None and self.fallback:
            return Tenant(self.fallback)
        return tenant

    def nodes(self, name: str) -> tuple[Node, ...]:
        """Returns the nodes that serve a tenant; none if the map does not serve the tenant."""
        tenant = self.tenant(name)
        return shard(name, self.cells[tenant.cell].nodes, tenant.span) if tenant is not None else ()

    def formers(self, name: str) -> tuple[FormerNodes, ...]:
        """Returns the former nodes of a tenant: of its earlier cells, and of its cell before resizes."""
        tenant = self.tenant(name)
        if tenant is None:
            return ()
        of_cell = (each._replace(span=tenant.span) for each in self.cells[tenant.cell].former)
        return (*tenant.former, *of_cell)

    def homes(self, name: str, key: str, arrived_at: float) -> Homes | None:
        """Returns the home and the former homes of a request's idempotency key.

        Args:
            name: The tenant's name.
            key: The idempotency key.
            arrived_at: When the request came, in Unix ms.
        """
        if self.tenant(name) is None:
            return None
        home = owner(key, self.nodes(name))
        former_homes: list[Node] = []
        for former in self.formers(name):
            if former.may_know(arrived_at) and former.nodes:
                node = owner(key, shard(name, former.nodes, former.span))
                if node.name != home.name and all(node.name != each.name for each in former_homes):
                    former_homes.append(node)
        return Homes(home, tuple(former_homes))

    def tenant_epoch(self, name: str) -> int:
        """Returns the epoch since which the tenant has had its current nodes; 0 if unknown.

        Requests are stamped with this epoch. A map that changes nothing for a tenant leaves its
        epoch, so routers with older maps continue to serve the tenant.
        """
        tenant = self.tenant(name)
        return max(tenant.since, self.cells[tenant.cell].since) if tenant is not None else 0

    def serves(self, node: str, name: str) -> bool:
        """Returns whether the node serves the tenant."""
        return any(each.name == node for each in self.nodes(name))

    def addresses(self) -> dict[str, str]:
        """Returns the address of each current and former node by its name."""
        formers = [former for cell in self.cells.values() for former in cell.former]
        formers += [former for tenant in self.tenants.values() for former in tenant.former]
        former_addresses = {node.name: node.address for former in formers for node in former.nodes}
        return former_addresses | {
            node.name: node.address for cell in self.cells.values() for node in cell.nodes
        }

    def digest(self) -> str:
        """Returns a hash of the map's content."""
        return blake2b(
            json.dumps(to_dict(self), sort_keys=True).encode(), digest_size=12
        ).hexdigest()


def validate(cells: CellMap) -> CellMap:
    """Returns the map itself. Raises InvalidCellMapError if it is invalid."""
    if cells.epoch < 1:
        raise InvalidCellMapError(f"epoch {cells.epoch}: must be at least 1")
    if cells.window_ms <= 0.0 or cells.lease_ms < 0.0:
        raise InvalidCellMapError("window_ms must be above 0 and lease_ms at least 0")
    for name, cell in cells.cells.items():
        if not cell.nodes:
            raise InvalidCellMapError(
                f"cell {name}: no nodes: add a node, or move its tenants and remove the cell"
            )
        if not 1 <= cell.since <= cells.epoch:
            raise InvalidCellMapError(
                f"cell {name}: since {cell.since}: must be from 1 to the map's epoch {cells.epoch}"
            )
        names = [node.name for node in cell.nodes]
        if len(set(names)) < len(names):
            raise InvalidCellMapError(f"cell {name}: a node is listed twice")
        if any(node.weight <= 0.0 for node in cell.nodes):
            raise InvalidCellMapError(f"cell {name}: each node's weight must be above 0")
    for name, tenant in cells.tenants.items():
        if tenant.cell not in cells.cells:
            raise InvalidCellMapError(
                f"tenant {name}: no cell {tenant.cell!r}; cells: {', '.join(sorted(cells.cells))}"
            )
        if not 1 <= tenant.since <= cells.epoch:
            raise InvalidCellMapError(
                f"tenant {name}: since {tenant.since}: must be from 1 to the map's epoch {cells.epoch}"
            )
        if tenant.span < 0:
            raise InvalidCellMapError(f"tenant {name}: span {tenant.span}: must be at least 0")
    if cells.fallback and cells.fallback not in cells.cells:
        raise InvalidCellMapError(f"fallback: no cell {cells.fallback!r}")
    return cells


def is_newer(current: CellMap | None, other: CellMap) -> bool:
    """Returns whether the other map replaces the current one.

    Raises:
        InvalidCellMapError: One epoch has two contents. Whoever made the maps must not continue.
    """
    if current is None or other.epoch > current.epoch:
        return True
    if other.epoch == current.epoch and other.digest() != current.digest():
        raise InvalidCellMapError(
            f"epoch {other.epoch} has two contents: create the next epoch from the newest map"
        )
    return False


def to_dict(cells: CellMap) -> dict[str, Any]:
    """Returns the map as JSON values."""

    def node_lists(nodes: tuple[Node, ...]) -> list[list[Any]]:
        return [list(node) for node in nodes]

    def former_dicts(formers: tuple[FormerNodes, ...]) -> list[dict[str, Any]]:
        return [
            {"nodes": node_lists(each.nodes), "span": each.span, "until": each.expires_at}
            for each in formers
        ]

    return {
        "epoch": cells.epoch,
        "window_ms": cells.window_ms,
        "lease_ms": cells.lease_ms,
        "fallback": cells.fallback,
        "cells": {
            name: {
                "nodes": node_lists(cell.nodes),
                "former": former_dicts(cell.former),
                "since": cell.since,
            }
            for name, cell in cells.cells.items()
        },
        "tenants": {
            name: {
                "cell": each.cell,
                "span": each.span,
                "former": former_dicts(each.former),
                "since": each.since,
            }
            for name, each in cells.tenants.items()
        },
    }


def dump(cells: CellMap) -> str:
    """Returns the map as one line of JSON with a checksum, which reveals a truncated file."""
    return json.dumps(
        {"form": FORMAT_VERSION, "digest": cells.digest(), "map": to_dict(cells)}, sort_keys=True
    )


def load(text: str, name: str = "map") -> CellMap:
    """Parses and validates a map written by `dump`.

    Args:
        text: The line of JSON.
        name: The name of the source in errors, such as the path.

    Raises:
        InvalidCellMapError: The text is not a valid map of a known format version.
    """

    def parse_nodes(values: Any) -> tuple[Node, ...]:
        return tuple(
            Node(str(node_name), str(address), float(weight))
            for node_name, address, weight in values
        )

    def parse_formers(values: Any) -> tuple[FormerNodes, ...]:
        return tuple(
            FormerNodes(parse_nodes(each["nodes"]), int(each["span"]), float(each["until"]))
            for each in values
        )

    try:
        document = json.loads(text)
        if document["form"] != FORMAT_VERSION:
            raise InvalidCellMapError(
                f"{name}:1: form: {document['form']!r} is unknown, must be {FORMAT_VERSION}"
            )
        content = document["map"]
        cells = CellMap(
            int(content["epoch"]),
            {
                key: Cell(
                    key,
                    parse_nodes(each["nodes"]),
                    parse_formers(each["former"]),
                    int(each["since"]),
                )
                for key, each in content["cells"].items()
            },
            {
                key: Tenant(
                    str(each["cell"]),
                    int(each["span"]),
                    parse_formers(each["former"]),
                    int(each["since"]),
                )
                for key, each in content["tenants"].items()
            },
            float(content["window_ms"]),
            float(content["lease_ms"]),
            str(content["fallback"]),
        )
        if cells.digest() != document["digest"]:
            raise InvalidCellMapError(
                f"{name}:1: digest: the map does not match its checksum: truncated, or edited by hand"
            )
        return validate(cells)
    except InvalidCellMapError as error:
        raise InvalidCellMapError(
            str(error) if str(error).startswith(name) else f"{name}:1: {error}"
        ) from None
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidCellMapError(f"{name}:1: not a cell map ({type(error).__name__})") from None
