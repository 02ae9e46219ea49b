"""The schema of the first cell map in HCL.

Later maps are derived from the previous one by the command `pumicenotch cells`.
"""

from pathlib import Path
from typing import Annotated

from pydantic import Field

from pumicenotch.cells.map import Cell, CellMap, InvalidCellMapError, Tenant, validate
from pumicenotch.cells.place import Node, assign_tenants
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.schema import Schema, read

Name = Annotated[str, Field(min_length=1, max_length=64)]


class NodeBlock(Schema):
    """`node "NAME" { ... }` in a cell. `weight` is the capacity relative to other nodes."""

    name: Name
    address: Annotated[str, Field(pattern=r"^.+:[0-9]{1,5}$")]
    weight: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0


class CellBlock(Schema):
    """`cell "NAME" { ... }`."""

    name: Name
    node: tuple[NodeBlock, ...]


class TenantBlock(Schema):
    """`tenant "NAME" { ... }`.

    Attributes:
        name: The unique name.
        cell: The cell; without one the tenant is assigned by weight.
        span: How many nodes of the cell serve the tenant; 0 for all.
        weight: The tenant's traffic relative to other tenants.
    """

    name: Name
    cell: str | None = None
    span: Annotated[int, Field(ge=0)] = 0
    weight: Annotated[float, Field(gt=0.0)] = 1.0


class MapFile(Schema):
    """The file of the first cell map.

    Attributes:
        cell: The cells.
        tenant: The tenants.
        window_ms: How long a node remembers an idempotency key.
        lease_ms: How long a router may use a map that has not been confirmed; 0 for any time.
        fallback: The cell of tenants that the file does not name; "" to reject them.
        slack: The permitted excess of a cell over its fair share of the tenants' weight.
    """

    cell: tuple[CellBlock, ...]
    tenant: tuple[TenantBlock, ...] = ()
    window_ms: Annotated[float, Field(gt=0.0)]
    lease_ms: Annotated[float, Field(ge=0.0)] = 0.0
    fallback: str = ""
    slack: Annotated[float, Field(gt=0.0, le=10.0)] = 0.25


def read_first_map(path: str | Path) -> CellMap:
    """Reads a file and returns the map of epoch 1. Raises InvalidFileError."""
    file = read(path, MapFile)
    cells: dict[str, Cell] = {}
    for block in file.cell:
        if block.name in cells:
            raise InvalidFileError(f"{path}:1: cell {block.name}: is defined twice")
        nodes = tuple(Node(each.name, each.address, each.weight) for each in block.node)
        cells[block.name] = Cell(block.name, nodes)
    targets = [
        Node(name, weight=sum(node.weight for node in cell.nodes)) for name, cell in cells.items()
    ]
    pins = {each.name: each.cell for each in file.tenant if each.cell is not None}
    try:
        assigned = assign_tenants(
            {each.name: each.weight for each in file.tenant}, targets, file.slack, pins
        )
        tenants = {each.name: Tenant(assigned[each.name], each.span) for each in file.tenant}
        return validate(CellMap(1, cells, tenants, file.window_ms, file.lease_ms, file.fallback))
    except (InvalidCellMapError, ValueError) as error:
        raise InvalidFileError(f"{path}:1: {error}") from None
