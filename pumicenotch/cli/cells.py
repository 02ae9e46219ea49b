"""The commands `pumicenotch cells`, which derive a new cell map from an existing one.

The commands only read and write files; nothing is sent over the network. A map's file is written
atomically. Whatever distributes the map to nodes and routers reports which epoch each of them has
(`--acks`).
"""

import json
import sys
import time
from pathlib import Path
from typing import Annotated, NoReturn

from cyclopts import App, Parameter

from pumicenotch.cells import moves
from pumicenotch.cells.map import CellMap, InvalidCellMapError, dump
from pumicenotch.config.files import load_cell_map, write_atomically
from pumicenotch.config.hcl import InvalidFileError

cells = App(
    name="cells", help="Cell maps: create the first map, move tenants, show the progress of a move."
)
JsonFlag = Annotated[bool, Parameter(name="--json", negative="")]


def exit_with_error(error: object) -> NoReturn:
    """Prints an error to standard error and exits with status 2."""
    print(error, file=sys.stderr)
    sys.exit(2)


def read_map(path: Path) -> CellMap:
    """Returns the cell map in a file; exits with status 2 if the map is invalid."""
    try:
        return load_cell_map(path)[0]
    except InvalidCellMapError as error:
        exit_with_error(error)


def write_map(placement: CellMap, out: Path) -> None:
    """Writes a map atomically and prints its summary.

    Exits with status 2 instead of replacing a map of the same or a later epoch.
    """
    if out.exists():
        before = read_map(out)
        if before.epoch >= placement.epoch:
            exit_with_error(
                f"{out}: already holds epoch {before.epoch}: epoch {placement.epoch} does not replace it"
            )
    try:
        write_atomically(out, dump(placement) + "\n")
    except OSError as error:
        exit_with_error(f"{out}: cannot be written: {error.strerror}")
    print(
        f"{out}: epoch {placement.epoch}, {len(placement.cells)} cells, {len(placement.tenants)} tenants"
    )


def current_time_ms() -> float:
    return time.time() * 1000.0


@cells.command
def compile(file: Path, /, *, out: Path) -> None:
    """Create the first map, with epoch 1, from an HCL file."""
    from pumicenotch.config.cells import read_first_map

    try:
        placement = read_first_map(file)
    except InvalidFileError as error:
        exit_with_error(error)
    write_map(placement, out)


@cells.command
def move(tenant: list[str], /, *, map: Path, to: str, out: Path, span: int = 0) -> None:
    """Create the next map, in which the given tenants are placed in the given cell.

    Parameters
    ----------
    span
        Number of nodes of the cell that each tenant uses; 0 means all nodes.
    """
    try:
        placement = moves.move(read_map(map), tenant, to, current_time_ms(), span)
    except InvalidCellMapError as error:
        exit_with_error(f"{map}: {error}")
    write_map(placement, out)


@cells.command
def evacuate(cell: str, /, *, map: Path, out: Path) -> None:
    """Create the next map, in which the cell has no tenants. They move to the other cells, within the limits of those cells."""
    try:
        placement = moves.evacuate(read_map(map), cell, current_time_ms(), {})
    except InvalidCellMapError as error:
        exit_with_error(f"{map}: {error}")
    write_map(placement, out)


@cells.command
def abort(*, before: Path, map: Path, out: Path) -> None:
    """Create the next map, which reverts the changes between two maps."""
    try:
        placement = moves.abort(read_map(before), read_map(map), current_time_ms())
    except InvalidCellMapError as error:
        exit_with_error(f"{map}: {error}")
    write_map(placement, out)


@cells.command
def settle(*, before: Path, map: Path, out: Path, acks: Path) -> None:
    """Create the next map, in which former homes count for one more window. Requires the present map at all nodes concerned, and at all routers unless the map has a lease.

    Parameters
    ----------
    acks
        JSON file with the epoch reported by each node and router: {"nodes": {NAME: EPOCH}, "routers": {NAME: EPOCH}}.
    """
    old, new = read_map(before), read_map(map)
    nodes, routers = read_acks(acks)
    move_progress = moves.progress(old, new, nodes, routers, current_time_ms())
    if move_progress.stage in (moves.Stage.DRAFTED, moves.Stage.TELLING_NODES):
        exit_with_error(
            f"{map}: epoch {new.epoch} is not known to {', '.join(move_progress.waits_for)}: distribute the map to them first"
        )
    if move_progress.stage is moves.Stage.TELLING_ROUTERS and not new.lease_ms:
        exit_with_error(
            f"{map}: routers {', '.join(move_progress.waits_for)} do not have epoch {new.epoch}, and the map has no lease to bound how long they use the old map"
        )
    write_map(moves.settle(new, current_time_ms()), out)


@cells.command
def status(*, before: Path, map: Path, acks: Path, as_json: JsonFlag = False) -> None:
    """Show the progress of the change between two maps, and the nodes or routers it waits for."""
    nodes, routers = read_acks(acks)
    move_progress = moves.progress(
        read_map(before), read_map(map), nodes, routers, current_time_ms()
    )
    if as_json:
        print(
            json.dumps(
                {
                    "stage": move_progress.stage.name.lower(),
                    "waits_for": list(move_progress.waits_for),
                }
            )
        )
    else:
        waits = (
            f", waits for {', '.join(move_progress.waits_for)}" if move_progress.waits_for else ""
        )
        print(f"{move_progress.stage.name.lower().replace('_', ' ')}{waits}")


@cells.command
def plan(*, map: Path, as_json: JsonFlag = False) -> None:
    """Show the tenants of each cell, and those whose former homes still count."""
    placement, now_ms = read_map(map), current_time_ms()
    rows = {
        name: {
            "nodes": [node.name for node in cell.nodes],
            "tenants": sorted(
                tenant_name
                for tenant_name, tenant in placement.tenants.items()
                if tenant.cell == name
            ),
            "settling": sorted(
                tenant_name
                for tenant_name, tenant in placement.tenants.items()
                if tenant.cell == name and any(former.is_active(now_ms) for former in tenant.former)
            ),
        }
        for name, cell in placement.cells.items()
    }
    if as_json:
        print(json.dumps({"epoch": placement.epoch, "cells": rows}))
        return
    print(f"epoch {placement.epoch}")
    for name, row in rows.items():
        settling = f", settling: {', '.join(row['settling'])}" if row["settling"] else ""
        print(f"cell {name}: {len(row['nodes'])} nodes, {len(row['tenants'])} tenants{settling}")


def read_acks(path: Path) -> tuple[dict[str, int], dict[str, int]]:
    """Returns the epochs reported by nodes and by routers; exits with status 2 if the file is invalid."""
    try:
        reported = json.loads(path.read_text())
        return tuple(
            {str(name): int(epoch) for name, epoch in reported[kind].items()}
            for kind in ("nodes", "routers")
        )  # type: ignore[return-value]
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        exit_with_error(
            f'{path}:1: expected {{"nodes": {{NAME: EPOCH}}, "routers": {{NAME: EPOCH}}}}: {error!r}'
        )
