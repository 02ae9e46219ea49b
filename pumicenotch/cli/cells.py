"""`pumicenotch cells`: maps from maps. Nothing is sent anywhere: a map is a file, whole or not there, and
who carries it to nodes and routers tells back which epoch each has.
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
    name="cells", help="Cell maps: make the first, move tenants, see how far a move has come."
)
Json = Annotated[bool, Parameter(name="--json", negative="")]


def wrong(error: object) -> NoReturn:
    print(error, file=sys.stderr)
    sys.exit(2)


def held(path: Path) -> CellMap:
    try:
        return load_cell_map(path)[0]
    except InvalidCellMapError as error:
        wrong(error)


def kept(made: CellMap, out: Path) -> None:
    """Whole or not at all, and never over another map of the same or a later epoch."""
    if out.exists():
        before = held(out)
        if before.epoch >= made.epoch:
            wrong(
                f"{out}: holds epoch {before.epoch} already: epoch {made.epoch} does not replace it"
            )
    try:
        write_atomically(out, dump(made) + "\n")
    except OSError as error:
        wrong(f"{out}: cannot be written: {error.strerror}")
    print(f"{out}: epoch {made.epoch}, {len(made.cells)} cells, {len(made.tenants)} tenants")


def now() -> float:
    return time.time() * 1000.0


@cells.command
def compile(file: Path, /, *, out: Path) -> None:
    """The first map, of epoch 1, from an HCL file."""
    from pumicenotch.config.cells import read_first_map

    try:
        made = read_first_map(file)
    except InvalidFileError as error:
        wrong(error)
    kept(made, out)


@cells.command
def move(tenant: list[str], /, *, map: Path, to: str, out: Path, span: int = 0) -> None:
    """The next map, in which those tenants live in that cell.

    Parameters
    ----------
    span
        Nodes of the cell that each spans; 0: all.
    """
    try:
        made = moves.move(held(map), tenant, to, now(), span)
    except InvalidCellMapError as error:
        wrong(f"{map}: {error}")
    kept(made, out)


@cells.command
def evacuate(cell: str, /, *, map: Path, out: Path) -> None:
    """The next map, in which nobody lives in that cell: its tenants go to the others, within their bounds."""
    try:
        made = moves.evacuate(held(map), cell, now(), {})
    except InvalidCellMapError as error:
        wrong(f"{map}: {error}")
    kept(made, out)


@cells.command
def abort(*, before: Path, map: Path, out: Path) -> None:
    """The next map, in which what changed from one map to the other is taken back."""
    try:
        made = moves.abort(held(before), held(map), now())
    except InvalidCellMapError as error:
        wrong(f"{map}: {error}")
    kept(made, out)


@cells.command
def settle(*, before: Path, map: Path, out: Path, acks: Path) -> None:
    """The next map, in which former homes count for one window more, once all have the open one.

    Parameters
    ----------
    acks
        JSON: {"nodes": {NAME: EPOCH}, "routers": {NAME: EPOCH}}, as they told.
    """
    old, new = held(before), held(map)
    nodes, routers = told(acks)
    found = moves.progress(old, new, nodes, routers, now())
    if found.stage in (moves.Stage.DRAFTED, moves.Stage.TELLING_NODES):
        wrong(
            f"{map}: epoch {new.epoch} is not known to {', '.join(found.waits_for)}: tell them first"
        )
    if found.stage is moves.Stage.TELLING_ROUTERS and not new.lease_ms:
        wrong(
            f"{map}: routers {', '.join(found.waits_for)} have not epoch {new.epoch}; no lease bounds them"
        )
    kept(moves.settle(new, now()), out)


@cells.command
def status(*, before: Path, map: Path, acks: Path, as_json: Json = False) -> None:
    """How far the change from one map to the other has come, and whom it waits for."""
    nodes, routers = told(acks)
    found = moves.progress(held(before), held(map), nodes, routers, now())
    if as_json:
        print(json.dumps({"stage": found.stage.name.lower(), "waits_for": list(found.waits_for)}))
    else:
        waits = f", waits for {', '.join(found.waits_for)}" if found.waits_for else ""
        print(f"{found.stage.name.lower().replace('_', ' ')}{waits}")


@cells.command
def plan(*, map: Path, as_json: Json = False) -> None:
    """Who lives where, and what still counts of former homes."""
    made, at = held(map), now()
    rows = {
        name: {
            "nodes": [node.name for node in cell.nodes],
            "tenants": sorted(each for each, tenant in made.tenants.items() if tenant.cell == name),
            "settling": sorted(
                each
                for each, tenant in made.tenants.items()
                if tenant.cell == name and any(former.is_active(at) for former in tenant.former)
            ),
        }
        for name, cell in made.cells.items()
    }
    if as_json:
        print(json.dumps({"epoch": made.epoch, "cells": rows}))
        return
    print(f"epoch {made.epoch}")
    for name, row in rows.items():
        settling = f", settling: {', '.join(row['settling'])}" if row["settling"] else ""
        print(f"cell {name}: {len(row['nodes'])} nodes, {len(row['tenants'])} tenants{settling}")


def told(path: Path) -> tuple[dict[str, int], dict[str, int]]:
    try:
        said = json.loads(path.read_text())
        return tuple(
            {str(name): int(epoch) for name, epoch in said[kind].items()}
            for kind in ("nodes", "routers")
        )  # type: ignore[return-value]
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        wrong(
            f'{path}:1: wanted {{"nodes": {{NAME: EPOCH}}, "routers": {{NAME: EPOCH}}}}: {error!r}'
        )
