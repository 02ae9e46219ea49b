# ruff: noqa: D102, D103
"""A small deployment with cells: nodes, one router, an operator with the command `cells`."""

import asyncio
import signal
import subprocess
import time
from pathlib import Path
from typing import Any

from parties import HERE, ROOT, TENANTS, CannotRunError, Case, Gateway, Platform, Process, free_port

PUMICENOTCH = str(ROOT / ".venv/bin/pumicenotch")
WINDOW_MS = 37794


class Node:
    """One server with its platform and files."""

    def __init__(self, case: Case, name: str) -> None:
        self.case, self.name, self.port = case, name, free_port()
        self.platform = Platform(case.record, name)
        self.map = case.folder / f"{name}-map.json"
        self.file = case.folder / f"{name}.hcl"
        self.file.write_text(f'cells {{\n  node = "{name}"\n  map  = "{self.map}"\n}}\n')
        self.process: Process | None = None

    async def start(self, addresses: dict[str, str] | None = None, **values: Any) -> None:
        addresses = addresses or await self.platform.open()
        self.path, _ = self.case.configure(self.name, addresses, port=self.port, **values)
        self.process = self.case.start_server(
            self.path, self.name, PUMICENOTCH_CONFIG=str(self.file)
        )

    async def takes_map(self, epoch: int) -> None:
        assert self.process is not None
        self.process.signal(signal.SIGHUP)
        await logged(self.process, f"the cell map of epoch {epoch} is in force")


class Deployment:
    """Cells by the names of their nodes, one router in front, and the tenant's cell."""

    def __init__(self, case: Case, cells: dict[str, list[str]], tenant_cell: str) -> None:
        self.case = case
        names = [name for members in cells.values() for name in members]
        self.nodes = {name: Node(case, name) for name in names}
        self.router_port = free_port()
        self.router_map = case.folder / "r1-map.json"
        blocks = []
        for cell, members in cells.items():
            lines = [
                f'  node "{name}" {{ address = "{HERE}:{self.nodes[name].port}" }}'
                for name in members
            ]
            blocks.append(f'cell "{cell}" {{\n' + "\n".join(lines) + "\n}\n")
        text = "".join(blocks) + f'tenant "{TENANTS[0]}" {{ cell = "{tenant_cell}" }}\n'
        first = case.folder / "first.hcl"
        first.write_text(f"window_ms = {WINDOW_MS}\n{text}")
        self.first_map = self.operator(1, "compile", str(first))

    def operator(self, epoch: int, command: str, *arguments: str) -> Path:
        """Makes a map with the command `pumicenotch cells`."""
        out = self.case.folder / f"map-{epoch}.json"
        call = [PUMICENOTCH, "cells", command, *arguments, "--out", str(out)]
        done = subprocess.run(call, cwd=ROOT, capture_output=True, text=True, check=False)
        self.case.record.line(f"operator: cells {command}: epoch {epoch}, status {done.returncode}")
        if done.returncode:
            raise CannotRunError(f"cells {command}: {done.stdout}{done.stderr}")
        return out

    async def start(self, **values: Any) -> None:
        for node in self.nodes.values():
            place(self.first_map, node.map)
            await node.start(**values)
        for node in self.nodes.values():
            await self.case.ready(node.port)
        place(self.first_map, self.router_map)
        file = self.case.folder / "r1.hcl"
        settings = next(iter(self.nodes.values())).path
        file.write_text(
            f'listen = "{HERE}:{self.router_port}"\nmap = "{self.router_map}"\n'
            f'settings = "{settings}"\nstop_ms = 3200\n'
        )
        command = f"exec .venv/bin/pumicenotch route --config {file}"
        self.router = self.case.start_process(command, {}, "r1")
        await self.case.ready(self.router_port)

    async def tell_nodes(self, source: Path, epoch: int) -> None:
        """Nodes get a map into their files, and take it, before any router goes by it."""
        for node in self.nodes.values():
            place(source, node.map)
            await node.takes_map(epoch)
        self.case.record.line(f"all nodes have epoch {epoch}")

    async def tell_router(self, source: Path, epoch: int) -> None:
        place(source, self.router_map)
        await logged(self.router, f"the cell map of epoch {epoch} is in force")
        self.case.record.line(f"the router has epoch {epoch}")

    async def gateway(self) -> Gateway:
        platforms = [node.platform for node in self.nodes.values()]
        gateway = Gateway(platforms, self.case.record)
        return await gateway.connect((HERE, self.router_port))


def place(source: Path, target: Path) -> None:
    temporary = target.with_suffix(".new")
    temporary.write_text(source.read_text())
    temporary.replace(target)


async def logged(process: Process, line: str, timeout_s: float = 10.0) -> None:
    until = time.monotonic() + timeout_s
    while line not in process.log.read_text(errors="replace"):
        if time.monotonic() > until:
            raise CannotRunError(f"not logged in time: {line}")
        await asyncio.sleep(0.05)
