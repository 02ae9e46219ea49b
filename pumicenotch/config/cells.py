"""The schema of a first cell map in HCL. Every later map is made from the one before, by the command
`cells`.
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
    name: Name
    address: Annotated[str, Field(pattern=r"^.+:[0-9]{1,5}$")]
    weight: Annotated[float, Field(gt=0.0, le=1000.0)] = 1.0


class CellBlock(Schema):
    name: Name
    node: tuple[NodeBlock, ...]


class TenantBlock(Schema):
    name: Name
    cell: str | None = None  # without one it is placed by weight
    span: Annotated[int, Field(ge=0)] = 0
    weight: Annotated[float, Field(gt=0.0)] = 1.0  # of its traffic


class MapFile(Schema):
    cell: tuple[CellBlock, ...]
    tenant: tuple[TenantBlock, ...] = ()
    window_ms: Annotated[float, Field(gt=0.0)]
    lease_ms: Annotated[float, Field(ge=0.0)] = 0.0
    fallback: str = ""
    slack: Annotated[float, Field(gt=0.0, le=10.0)] = (
        0.25  # over its even part that a cell may be given
    )


def first(path: str | Path) -> CellMap:
    """The map of epoch 1. Raises InvalidFileError."""
    told = read(path, MapFile)
    cells: dict[str, Cell] = {}
    for block in told.cell:
        if block.name in cells:
            raise InvalidFileError(f"{path}:1: cell {block.name}: stands twice")
        nodes = tuple(Node(each.name, each.address, each.weight) for each in block.node)
        cells[block.name] = Cell(block.name, nodes)
    places = [
        Node(name, weight=sum(node.weight for node in cell.nodes)) for name, cell in cells.items()
    ]
    pins = {each.name: each.cell for each in told.tenant if each.cell is not None}
    try:
        found = assign_tenants(
            {each.name: each.weight for each in told.tenant}, places, told.slack, pins
        )
        tenants = {each.name: Tenant(found[each.name], each.span) for each in told.tenant}
        return validate(CellMap(1, cells, tenants, told.window_ms, told.lease_ms, told.fallback))
    except (InvalidCellMapError, ValueError) as error:
        raise InvalidFileError(f"{path}:1: {error}") from None
