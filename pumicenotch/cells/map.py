"""The cell map: which nodes form which cell, which tenant lives where, and whose memory of fingerprints
counts still.

Maps are numbered by epochs. One epoch has one content: a map that comes twice changes nothing, another
content under a known epoch is refused, and a lower epoch never replaces a higher.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, NamedTuple

from pumicenotch.cells.place import Node, owner, shard
from pumicenotch.errors import InputError

FORM = 1


class InvalidCellMapError(InputError):
    """A map that cannot be taken; the text names the place and what is allowed."""


OPEN = 0.0  # until nobody knows when: the change is not known to all yet


class Former(NamedTuple):
    """Nodes that may know of fingerprints, until a time (Unix ms)."""

    nodes: tuple[Node, ...]
    span: int
    until: float = OPEN

    def counts(self, now: float) -> bool:
        return self.until == OPEN or now < self.until


class Cell(NamedTuple):
    name: str
    nodes: tuple[Node, ...]
    former: tuple[Former, ...] = ()  # node sets that it had
    since: int = 1  # the epoch that its nodes are of


class Tenant(NamedTuple):
    cell: str
    span: int = 0  # nodes of the cell that it spans; 0: all
    former: tuple[Former, ...] = ()  # where it lived
    since: int = 1  # the epoch that it moved in


class Homes(NamedTuple):
    """Where a fingerprint belongs. Each of `ask` must have sworn off the fingerprint before `home` may run
    it.
    """

    home: Node
    ask: tuple[Node, ...]


class CellMap(NamedTuple):
    epoch: int
    cells: Mapping[str, Cell]
    tenants: Mapping[str, Tenant]
    window_ms: float  # for which a node remembers a fingerprint
    lease_ms: float = (
        0.0  # for which a router may go by a map that nobody has confirmed; 0: for good
    )
    fallback: str = ""  # the cell of tenants that the map does not name; "": they are rejected

    def tenant(self, name: str) -> Tenant | None:
        found = self.tenants.get(name)
        if found is None and self.fallback:
            return Tenant(self.fallback)
        return found

    def nodes(self, name: str) -> tuple[Node, ...]:
        """The nodes that serve a tenant; none where the map does not know it."""
        tenant = self.tenant(name)
        return shard(name, self.cells[tenant.cell].nodes, tenant.span) if tenant is not None else ()

    def homes(self, name: str, token: str, now: float) -> Homes | None:
        """Where that fingerprint belongs at that time (Unix ms), and which nodes may have run it before."""
        tenant = self.tenant(name)
        if tenant is None:
            return None
        cell = self.cells[tenant.cell]
        home = owner(token, shard(name, cell.nodes, tenant.span))
        ask: list[Node] = []
        for former in (*tenant.former, *(each._replace(span=tenant.span) for each in cell.former)):
            if former.counts(now) and former.nodes:
                before = owner(token, shard(name, former.nodes, former.span))
                if before.name != home.name and all(before.name != each.name for each in ask):
                    ask.append(before)
        return Homes(home, tuple(ask))

    def stamp(self, name: str) -> int:
        """The epoch since when the tenant's nodes are what they are: what its tasks carry. Maps that change
        nothing for a tenant leave its stamp, so that routers with older ones go on serving it.
        """
        tenant = self.tenant(name)
        return max(tenant.since, self.cells[tenant.cell].since) if tenant is not None else 0

    def serves(self, node: str, name: str) -> bool:
        return any(each.name == node for each in self.nodes(name))

    def addresses(self) -> dict[str, str]:
        """Of every node that serves a tenant or may know of its fingerprints."""
        formers = [former for cell in self.cells.values() for former in cell.former]
        formers += [former for tenant in self.tenants.values() for former in tenant.former]
        found = {node.name: node.address for former in formers for node in former.nodes}
        return found | {
            node.name: node.address for cell in self.cells.values() for node in cell.nodes
        }

    def digest(self) -> str:
        return blake2b(json.dumps(plain(self), sort_keys=True).encode(), digest_size=12).hexdigest()


def check(cells: CellMap) -> CellMap:
    """The map itself, if it can be carried. Raises InvalidCellMapError."""
    if cells.epoch < 1:
        raise InvalidCellMapError(f"epoch {cells.epoch}: 1 or above is allowed")
    if cells.window_ms <= 0.0 or cells.lease_ms < 0.0:
        raise InvalidCellMapError("window_ms must be above 0 and lease_ms not below")
    for name, cell in cells.cells.items():
        if not cell.nodes:
            raise InvalidCellMapError(
                f"cell {name}: no nodes: name one at the least, or move its tenants and take it out"
            )
        if not 1 <= cell.since <= cells.epoch:
            raise InvalidCellMapError(
                f"cell {name}: since {cell.since}: 1 to the map's epoch {cells.epoch} is allowed"
            )
        names = [node.name for node in cell.nodes]
        if len(set(names)) < len(names):
            raise InvalidCellMapError(f"cell {name}: a node stands twice")
        if any(node.weight <= 0.0 for node in cell.nodes):
            raise InvalidCellMapError(f"cell {name}: a weight must be above 0")
    for name, tenant in cells.tenants.items():
        if tenant.cell not in cells.cells:
            raise InvalidCellMapError(
                f"tenant {name}: no cell {tenant.cell!r}; cells: {', '.join(sorted(cells.cells))}"
            )
        if not 1 <= tenant.since <= cells.epoch:
            raise InvalidCellMapError(
                f"tenant {name}: since {tenant.since}: 1 to the map's epoch {cells.epoch} is allowed"
            )
        if tenant.span < 0:
            raise InvalidCellMapError(f"tenant {name}: span {tenant.span}: 0 or above is allowed")
    if cells.fallback and cells.fallback not in cells.cells:
        raise InvalidCellMapError(f"fallback: no cell {cells.fallback!r}")
    return cells


def newer(held: CellMap | None, other: CellMap) -> bool:
    """Whether the other replaces the one that is held. Raises InvalidCellMapError where one epoch has two contents:
    whoever made them must not go on.
    """
    if held is None or other.epoch > held.epoch:
        return True
    if other.epoch == held.epoch and other.digest() != held.digest():
        raise InvalidCellMapError(
            f"epoch {other.epoch} has two contents: make the next epoch from the newest map"
        )
    return False


def plain(cells: CellMap) -> dict[str, Any]:
    def nodes(some: tuple[Node, ...]) -> list[list[Any]]:
        return [list(node) for node in some]

    def formers(some: tuple[Former, ...]) -> list[dict[str, Any]]:
        return [
            {"nodes": nodes(each.nodes), "span": each.span, "until": each.until} for each in some
        ]

    return {
        "epoch": cells.epoch,
        "window_ms": cells.window_ms,
        "lease_ms": cells.lease_ms,
        "fallback": cells.fallback,
        "cells": {
            name: {"nodes": nodes(cell.nodes), "former": formers(cell.former), "since": cell.since}
            for name, cell in cells.cells.items()
        },
        "tenants": {
            name: {
                "cell": each.cell,
                "span": each.span,
                "former": formers(each.former),
                "since": each.since,
            }
            for name, each in cells.tenants.items()
        },
    }


def dump(cells: CellMap) -> str:
    """One line of JSON with its own checksum: a torn one is known."""
    return json.dumps({"form": FORM, "digest": cells.digest(), "map": plain(cells)}, sort_keys=True)


def load(text: str, name: str = "map") -> CellMap:
    """Raises InvalidCellMapError on whatever `dump` does not write."""

    def nodes(some: Any) -> tuple[Node, ...]:
        return tuple(Node(str(one), str(address), float(weight)) for one, address, weight in some)

    def formers(some: Any) -> tuple[Former, ...]:
        return tuple(
            Former(nodes(each["nodes"]), int(each["span"]), float(each["until"])) for each in some
        )

    try:
        told = json.loads(text)
        if told["form"] != FORM:
            raise InvalidCellMapError(
                f"{name}:1: form: {told['form']!r} is unknown, {FORM} is allowed"
            )
        inside = told["map"]
        found = CellMap(
            int(inside["epoch"]),
            {
                key: Cell(key, nodes(each["nodes"]), formers(each["former"]), int(each["since"]))
                for key, each in inside["cells"].items()
            },
            {
                key: Tenant(
                    str(each["cell"]),
                    int(each["span"]),
                    formers(each["former"]),
                    int(each["since"]),
                )
                for key, each in inside["tenants"].items()
            },
            float(inside["window_ms"]),
            float(inside["lease_ms"]),
            str(inside["fallback"]),
        )
        if found.digest() != told["digest"]:
            raise InvalidCellMapError(
                f"{name}:1: digest: the map does not fit its checksum: torn, or changed by hand"
            )
        return check(found)
    except InvalidCellMapError as error:
        raise InvalidCellMapError(
            str(error) if str(error).startswith(name) else f"{name}:1: {error}"
        ) from None
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        raise InvalidCellMapError(f"{name}:1: no cell map ({type(error).__name__})") from None
