"""Carries a world on loopback in real time: real servers in processes of their own, every other party
here.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from pumicenotch.lab import world as world_
from pumicenotch.lab.clients import Clients
from pumicenotch.lab.control_plane import ControlPlane
from pumicenotch.lab.cores import Cores, Work
from pumicenotch.lab.emulated_pool import EmulatedPools
from pumicenotch.lab.gateway_connections import GatewayConnections
from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.peers import DatabasePeer, GatewayPeer, PoolPeer, RegistryPeer
from pumicenotch.lab.run_clock import RunClock
from pumicenotch.lab.server_process import HERE, POLL_S, Launch, Node
from pumicenotch.lab.world import World, arrivals

UP_S = 20.0  # for a server to listen and its pool to be bound: a second on a quiet machine
ENDING = (signal.SIGINT, signal.SIGTERM)  # signals that end a run
AFTER_S = 15.0  # beyond the run's length for the last answers: the longest time limit and some
FIRST_MS = 50.0  # from the servers' start to the begin of the load
END_S = 1.0  # beyond its notice that a process may take to end; then it is killed


class Loopback:
    """One run of a world: its servers, the load, the faults, and what is measured."""

    def __init__(self, world: World, seed: int, launch: Launch, folder: Path) -> None:
        self.world, self.seed, self.launch, self.folder = world, seed, launch, folder
        self.ledger = Ledger(world)
        self.tasks = arrivals(world, seed)
        self.nodes = [
            Node(at, Work(Cores(world.cores, world.speed, world.thrash, world.thrash_at)))
            for at in range(world.servers)
        ]
        self.late: list[float] = []  # of sends behind their intended time, ms
        self.routers: list[Node] = [
            Node(at, Work(Cores(1, 1.0, 0.0, 1.0))) for at in range(world.routers)
        ]
        self.plane = (
            ControlPlane(world, self.nodes, self.routers, folder) if world.routers else None
        )
        self.clock = RunClock()
        self.dials: set[asyncio.Task[None]] = set()
        self.pools = EmulatedPools(world, self.ledger, self.clock)
        self.connections = GatewayConnections(
            world, self.ledger, self.clock, self.routers or self.nodes, self.dials, self.lost
        )
        self.database_ms = world.database_ms
        self.spread = random.Random(seed ^ 0xDB).uniform
        self.cpu_ms = self.memory_mb = 0.0  # of all servers; at most of any
        self.stopped = False
        self.failure: BaseException | None = None  # why the run has ended before its time
        self.ending = False  # it stops what it has started
        self.main: asyncio.Task[Any] | None = None  # that runs it

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        return self.clock.loop

    def now(self) -> float:
        """In ms from the run's begin."""
        return self.clock.now()

    # What a subclass may add to

    def lost(self, node: Node, conn: GatewayPeer) -> None:
        """A connection of a gateway to that server has ended."""
        self.connections.settle_lost(node, conn)

    def called(self, name: str, reply: Callable[[bytes], None]) -> None:
        """A server's call to its database."""
        takes = self.database_ms * self.spread(0.5, 1.5)
        self.loop.call_later(takes / 1000.0, reply, b"rows " + name.encode())

    def more(self) -> dict[str, float]:
        """Figures beside those of the ledger."""
        return {}

    # The run

    async def run(self, progress: Callable[["Loopback"], None] | None = None) -> "Loopback":
        self.clock.start()
        self.main = asyncio.current_task()
        if threading.current_thread() is threading.main_thread():
            for number in ENDING:
                self.loop.add_signal_handler(number, self.fail, KeyboardInterrupt())
        self.clients = Clients(self.world, self.seed, self.connections, self.ledger)
        self.connections.clients = self.clients
        try:
            await self.start()
            await self.load(progress)
        finally:
            self.ending = True
            self.cpu_ms += sum(node.cpu_ms() for node in self.nodes)
            self.memory_mb = max(node.memory_mb() for node in self.nodes)
            await self.stop()
        self.ledger.close(self.now())
        for node in self.nodes:
            if node.work.cores.fallen:
                self.ledger.fell(self.now(), node.number, "its cores were crowded for too long")
        return self

    def fail(self, why: BaseException) -> None:
        """Ends the run, once: what it has started is stopped, whatever else comes meanwhile."""
        if self.failure is None and self.main is not None and not self.ending:
            self.failure = why
            self.main.cancel()

    async def start(self) -> None:
        for node in self.nodes:
            await self.start_server(node)
        async with asyncio.timeout(UP_S):
            for node in self.nodes:
                await node.ready.wait()
                node.address = await self.listening(node)
            if self.plane is not None:
                self.plane.set_addresses()
                await self.start_routers(self.plane)

    async def start_server(self, node: Node) -> None:
        """With a pool, a database and a registry of its own."""
        pool = partial(
            PoolPeer, partial(self.pools.linked, node), partial(self.pools.command, node)
        )
        settings = {
            "name": f"n{node.number}",
            "listen": f"{HERE}:0",
            "pool": await self.listen(pool),
            "db": await self.listen(partial(DatabasePeer, self.called)),
            "registry": await self.listen(partial(RegistryPeer, lambda *_: None)),
            "seed": f"{self.seed + node.number:x}",
            "stop_ms": self.world.stop_ms,
            "limits": {"cores": 1.0, "memory_mb": self.world.memory_mb, "sockets": 1024},
            "settings": self.world.settings(),
        }
        path = self.folder / f"n{node.number}.json"
        path.write_text(json.dumps(settings))
        node.log = self.folder / f"n{node.number}.log"
        launch = self.launch_of(node)
        node.command = ([launch.module], launch.environment(path))
        self.spawn(node, *node.command)

    async def start_routers(self, plane: ControlPlane) -> None:
        for router in self.routers:
            router.log = self.folder / f"r{router.number}.log"
            module = ["pumicenotch.route", str(plane.router_file(router))]
            self.spawn(router, module, dict(os.environ))
        for router in self.routers:
            router.address = await self.listening(router)

    def launch_of(self, node: Node) -> Launch:
        """What this server is started with: a file of its own where the arm names one, or the world has
        cells.
        """
        launch = self.launch
        if self.plane is not None:
            return Launch(launch.module, str(self.plane.node_file(node, launch.config)))
        if launch.config:
            node.config = str(self.folder / f"n{node.number}-pools{Path(launch.config).suffix}")
            Path(node.config).write_text(Path(launch.config).read_text())
            return Launch(launch.module, node.config)
        return launch

    def spawn(self, node: Node, module: list[str], environment: dict[str, str]) -> None:
        node.spawn(module, environment)

    async def listen(self, make: Callable[[], asyncio.Protocol]) -> str:
        server = await self.loop.create_server(make, HERE, 0)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def listening(self, node: Node) -> tuple[str, int]:
        """The address on which it says that it listens."""
        return await node.listening()

    async def load(self, progress: Callable[["Loopback"], None] | None) -> None:
        self.cpu_ms = -sum(node.cpu_ms() for node in self.nodes)  # the start is not the tasks' cost
        self.clock.start(FIRST_MS)
        for node in self.nodes:
            node.work.cores.at = self.now()
        for fault in self.world.fault:
            self.clock.at(fault.at_s * 1000.0, partial(self.fault, fault))
        told = 0.0
        for task in self.tasks:
            while (wait := task.at - self.now()) > 0.3 and not self.stopped:
                await asyncio.sleep(min(wait, 200.0) / 1000.0)
                if progress is not None and self.now() - told >= 1000.0:
                    told = self.now()
                    progress(self)
            if self.stopped:
                return
            self.late.append(self.now() - task.at)
            self.clients.wanted(self.now(), task)
        end = self.world.length_s * 1000.0 + AFTER_S * 1000.0
        while (self.clients.open or self.now() < self.world.length_s * 1000.0) and self.now() < end:
            await asyncio.sleep(0.05)
            if self.stopped:
                return

    async def stop(self) -> None:
        """Ends the servers that were started here, by their ids; whatever is left a second after its notice
        is killed.
        """
        processes = [*self.routers, *self.nodes]  # routers first: they answer what nodes still run
        for node in processes:
            if not node.running:
                self.judge_end(node)
                continue
            if node in self.nodes and self.routers:
                await self.all_ended(self.routers, self.end_by())
            assert node.process is not None
            node.process.send_signal(signal.SIGCONT)
            node.process.send_signal(signal.SIGTERM)
            self.ledger.leave(self.now(), node.number)
        end_by = self.end_by()
        for node in processes:
            await self.all_ended([node], end_by)
            if node.process is not None and node.running:
                self.ledger.breaks(
                    "drain", self.now(), f"server {node.number} had not ended in its notice"
                )
                node.process.kill()
                node.process.wait()

    def judge_end(self, node: Node) -> None:
        """Of one that has ended before it was told to."""
        status = node.process.returncode if node.process is not None else 0
        if status and not node.killed:
            self.ledger.fell(self.now(), node.number, f"ended by itself with status {status}")

    def end_by(self) -> float:
        return time.monotonic() + self.world.stop_ms / 1000.0 + END_S

    async def all_ended(self, nodes: list[Node], end_by: float) -> None:
        while any(node.running for node in nodes) and time.monotonic() < end_by:
            await asyncio.sleep(POLL_S)

    # Faults

    def fault(self, fault: world_.Fault, now: float) -> None:
        if fault.kind == "kill_router":
            self.routers[fault.server].kill()
        elif fault.kind == "move" and self.plane is not None:
            task = self.loop.create_task(self.plane.move(fault.tenant, fault.cell))
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)
        else:
            self.server_fault(self.nodes[fault.server], fault, now)

    def server_fault(self, node: Node, fault: world_.Fault, now: float) -> None:
        assert node.process is not None
        later = partial(self.loop.call_later, fault.for_s)
        self.pools.advance(node)
        match fault.kind:
            case "slow_cores" | "hang_pool":
                self.pools.set_speed(node, fault.factor if fault.kind == "slow_cores" else 0.0)
                later(self.pools.set_speed, node, 1.0)
            case "cut_pool":
                if node.pool is not None:
                    node.pool.cut()
            case "stall":
                node.process.send_signal(signal.SIGSTOP)
                later(node.process.send_signal, signal.SIGCONT)
            case "slow_database":
                self.database_ms = self.world.database_ms * fault.factor
                later(setattr, self, "database_ms", self.world.database_ms)
            case "drain":
                self.ledger.leave(now, fault.server)
                node.left = True
                node.process.send_signal(signal.SIGTERM)
            case "kill":
                node.kill()
            case "reload":
                if node.config:
                    text = Path(fault.pools).read_text() if fault.pools else "# no pools\n"
                    Path(node.config).write_text(text)
                node.process.send_signal(signal.SIGHUP)
        self.pools.schedule(node)


def run(
    world: World,
    seed: int,
    launch: Launch,
    folder: Path | None = None,
    progress: Callable[[Loopback], None] | None = None,
    carrier: Callable[[World, int, Launch, Path], Loopback] = Loopback,
) -> Loopback:
    """One run from its start to its end; servers' logs stay in the folder, if one is named."""
    import uvloop

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        made = carrier(world, seed, launch, folder)
        before = {number: signal.getsignal(number) for number in ENDING}
        try:
            return uvloop.run(made.run(progress))
        except asyncio.CancelledError:
            if made.failure is None:
                raise
            raise made.failure from None
        finally:
            if threading.current_thread() is threading.main_thread():
                for (
                    number,
                    handler,
                ) in before.items():  # the closed loop leaves handlers that do nothing
                    signal.signal(number, handler)
