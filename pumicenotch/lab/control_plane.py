"""The control plane of a run on loopback: it makes cell maps, writes them to nodes and routers, and reads in
their logs that they are in force.
"""

import asyncio
import signal
import time
from pathlib import Path

from pumicenotch.cells import moves
from pumicenotch.cells.map import Cell, CellMap, Tenant, dump
from pumicenotch.cells.place import Node as PlacedNode
from pumicenotch.cells.place import assign_tenants
from pumicenotch.config.files import write_atomically
from pumicenotch.lab.server_process import HERE, POLL_S, Node
from pumicenotch.lab.world import World

DEFAULT_WINDOW_MS = 1000.0  # where no stage is fingerprinted
ACKNOWLEDGE_S = 10.0  # for a process to take a map
CELL_SLACK = 0.25  # by which a cell may get more than its part of the tenants


class ControlPlane:
    """Keeps its files in `folder`."""

    def __init__(self, world: World, nodes: list[Node], routers: list[Node], folder: Path) -> None:
        self.world, self.nodes, self.routers, self.folder = world, nodes, routers, folder
        self.map = first_map(world, nodes)
        self.moving = asyncio.Lock()
        self.moves = 0

    def path(self, name: str) -> Path:
        return self.folder / f"{name}-map.json"

    def write_map(self, name: str) -> None:
        write_atomically(self.path(name), dump(self.map))

    def node_file(self, node: Node, pools: str) -> Path:
        self.write_map(f"n{node.number}")
        path = self.folder / f"n{node.number}.hcl"
        text = Path(pools).read_text() if pools else ""
        path.write_text(
            f'{text}\ncells {{\n  node = "n{node.number}"\n  map  = "{self.path(f"n{node.number}")}"\n}}\n'
        )
        return path

    def set_addresses(self) -> None:
        """Nodes listen where the system let them: known once they have started."""
        at = {f"n{node.number}": "{}:{}".format(*node.address) for node in self.nodes}
        cells = {
            name: cell._replace(
                nodes=tuple(node._replace(address=at[node.name]) for node in cell.nodes)
            )
            for name, cell in self.map.cells.items()
        }
        self.map = self.map._replace(cells=cells)

    def router_file(self, router: Node) -> Path:
        self.write_map(f"r{router.number}")
        path = self.folder / f"r{router.number}.hcl"
        path.write_text(
            f'listen   = "{HERE}:0"\nmap      = "{self.path(f"r{router.number}")}"\n'
            f'settings = "{self.folder / "n0.json"}"\nstop_ms  = {self.world.stop_ms:g}\n'
        )
        return path

    async def move(self, tenant: str, cell: str) -> None:
        """Nodes first, then routers, then the map that settles it. One move waits for another."""
        async with self.moving:
            held = self.map.tenant(tenant)
            if held is not None and held.cell == cell:
                return
            self.map = moves.move(self.map, [tenant], cell, time.time() * 1000.0)
            await self.publish()
            self.map = moves.settle(self.map, time.time() * 1000.0)
            await self.publish()
            self.moves += 1

    async def publish(self) -> None:
        """The map to all nodes, and once they have taken it to all routers."""
        for nodes, letter in ((self.nodes, "n"), (self.routers, "r")):
            running = [node for node in nodes if node.running]
            for node in running:
                self.write_map(f"{letter}{node.number}")
                if letter == "n" and node.process is not None:
                    node.process.send_signal(signal.SIGHUP)
            for node in running:
                await self.acknowledged(node)

    async def acknowledged(self, node: Node) -> None:
        until = time.monotonic() + ACKNOWLEDGE_S
        line = f"the cell map of epoch {self.map.epoch} is in force"
        while line not in node.log.read_text(errors="replace"):
            if not node.running:
                return  # it has ended: it comes back by its file, or not at all
            if time.monotonic() > until:
                raise RuntimeError(
                    f"{node.log.stem} has not taken epoch {self.map.epoch} in {ACKNOWLEDGE_S:g} s"
                )
            await asyncio.sleep(POLL_S)


def first_map(world: World, nodes: list[Node]) -> CellMap:
    """Nodes in the cells by turns, tenants by their shares; nodes have no address yet."""
    names = [f"c{at}" for at in range(world.cells)]
    placed: dict[str, list[PlacedNode]] = {name: [] for name in names}
    for node in nodes:
        placed[names[node.number % len(names)]].append(PlacedNode(f"n{node.number}", f"{HERE}:1"))
    cells = {name: Cell(name, tuple(some)) for name, some in placed.items()}
    shares = {each.name: each.share for each in world.tenant}
    places = [PlacedNode(name, weight=float(len(some))) for name, some in placed.items()]
    homes = assign_tenants(shares, places, CELL_SLACK)
    tenants = {name: Tenant(home) for name, home in homes.items()}
    window_ms = max(stage.window_ms for stage in world.stage) or DEFAULT_WINDOW_MS
    return CellMap(1, cells, tenants, window_ms)
