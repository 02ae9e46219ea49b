"""Carries a world on loopback in real time: real servers in processes of their own, every other party
here."""

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

from pumicenotch.cells import moves
from pumicenotch.cells.map import Cell, CellMap, Tenant, dump
from pumicenotch.cells.place import Node as PlacedNode
from pumicenotch.cells.place import bounded
from pumicenotch.config.files import put
from pumicenotch.lab import world as world_
from pumicenotch.lab.attempt import Attempt
from pumicenotch.lab.clients import Clients, fields
from pumicenotch.lab.cores import Cores, Work
from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.peers import DatabasePeer, GatewayPeer, PoolPeer, RegistryPeer
from pumicenotch.lab.world import World, arrivals

MOST_OPEN = 32  # tasks on one connection
UP_S = 20.0  # for a server to listen and its pool to be bound: a second on a quiet machine
AFTER_S = 15.0  # beyond the run's length for the last answers: the longest time limit and some
HERE = "127.0.0.1"


class Launch:
    """How an arm's servers are started."""

    def __init__(self, module: str = "pumicenotch", config: str = "") -> None:
        self.module, self.config = module, config

    def environment(self, told: Path) -> dict[str, str]:
        extra = {"PUMICENOTCH_CONFIG": self.config} if self.config else {}
        return {**os.environ, "LB_CONFIG": str(told), **extra}


class Node:
    """One server's process, and its worker pool."""

    def __init__(self, number: int, work: Work) -> None:
        self.number, self.work = number, work
        self.process: subprocess.Popen[bytes] | None = None
        self.pool: PoolPeer | None = None
        self.conns: dict[int, list[GatewayPeer]] = {}  # by gateway
        self.address = (HERE, 0)
        self.timer: asyncio.TimerHandle | None = None
        self.ready = asyncio.Event()
        self.killed = self.left = False
        self.config = ""  # the arm's file, copied so that a reload may change it
        self.command: tuple[list[str], dict[str, str]] = ([], {})  # that it was started by
        self.log = Path()

    def cpu_ms(self) -> float:
        """User and system time of the process so far."""
        try:
            assert self.process is not None
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except (OSError, AssertionError):
            return 0.0
        return (int(fields[11]) + int(fields[12])) * 1000.0 / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """The most that the process has held in memory."""
        try:
            assert self.process is not None
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(text.partition("VmHWM:")[2].split()[0]) / 1024.0
        except (OSError, AssertionError, IndexError):
            return 0.0


class Plane:
    """The control plane of the lab: it makes maps, writes them to nodes and routers, and reads in their logs
    that they are in force."""

    WINDOW_MS = 1000.0  # where no stage is fingerprinted
    ACK_S = 10.0

    def __init__(self, carrier: "Loopback") -> None:
        self.carrier, self.world = carrier, carrier.world
        names = [f"c{at}" for at in range(self.world.cells)]
        nodes: dict[str, list[PlacedNode]] = {name: [] for name in names}
        for node in carrier.nodes:
            nodes[names[node.number % len(names)]].append(PlacedNode(f"n{node.number}", f"{HERE}:1"))
        cells = {name: Cell(name, tuple(some)) for name, some in nodes.items()}
        shares = {each.name: each.share for each in self.world.tenant}
        places = [PlacedNode(name, weight=float(len(some))) for name, some in nodes.items()]
        homes = bounded(shares, places, 0.25)
        tenants = {name: Tenant(home) for name, home in homes.items()}
        window = max(stage.window_ms for stage in self.world.stage) or self.WINDOW_MS
        self.map = CellMap(1, cells, tenants, window)
        self.moving = asyncio.Lock()
        self.moves = 0

    def path(self, name: str) -> Path:
        return self.carrier.folder / f"{name}-map.json"

    def tell(self, name: str) -> None:
        put(self.path(name), dump(self.map))

    def node_file(self, node: Node, pools: str) -> Path:
        self.tell(f"n{node.number}")
        path = self.carrier.folder / f"n{node.number}.hcl"
        text = Path(pools).read_text() if pools else ""
        path.write_text(
            f'{text}\ncells {{\n  node = "n{node.number}"\n  map  = "{self.path(f"n{node.number}")}"\n}}\n'
        )
        return path

    def addressed(self) -> None:
        """Nodes listen where the system let them: known once they have started."""
        at = {f"n{node.number}": "{}:{}".format(*node.address) for node in self.carrier.nodes}
        cells = {
            name: cell._replace(nodes=tuple(node._replace(address=at[node.name]) for node in cell.nodes))
            for name, cell in self.map.cells.items()
        }
        self.map = self.map._replace(cells=cells)

    def router_file(self, router: Node) -> Path:
        self.tell(f"r{router.number}")
        path = self.carrier.folder / f"r{router.number}.hcl"
        path.write_text(
            f'listen   = "{HERE}:0"\nmap      = "{self.path(f"r{router.number}")}"\n'
            f'settings = "{self.carrier.folder / "n0.json"}"\nstop_ms  = {self.world.stop_ms:g}\n'
        )
        return path

    async def move(self, tenant: str, cell: str) -> None:
        """Nodes first, then routers, then the map that settles it. One move waits for another."""
        async with self.moving:
            held = self.map.tenant(tenant)
            if held is not None and held.cell == cell:
                return
            self.map = moves.move(self.map, [tenant], cell, time.time() * 1000.0)
            await self.tell_all()
            self.map = moves.settle(self.map, time.time() * 1000.0)
            await self.tell_all()
            self.moves += 1

    async def tell_all(self) -> None:
        for nodes, letter in ((self.carrier.nodes, "n"), (self.carrier.routers, "r")):
            live = [node for node in nodes if node.process is not None and node.process.poll() is None]
            for node in live:
                self.tell(f"{letter}{node.number}")
                if letter == "n" and node.process is not None:
                    node.process.send_signal(signal.SIGHUP)
            for node in live:
                await self.acknowledged(node)

    async def acknowledged(self, node: Node) -> None:
        until = time.monotonic() + self.ACK_S
        while f"the cell map of epoch {self.map.epoch} is in force" not in node.log.read_text(
            errors="replace"
        ):
            if node.process is None or node.process.poll() is not None:
                return  # it has ended: it comes back by its file, or not at all
            if time.monotonic() > until:
                raise RuntimeError(
                    f"{node.log.stem} has not taken epoch {self.map.epoch} in {self.ACK_S:g} s"
                )
            await asyncio.sleep(0.02)


class Loopback:
    def __init__(self, world: World, seed: int, launch: Launch, folder: Path) -> None:
        self.world, self.seed, self.launch, self.folder = world, seed, launch, folder
        self.ledger = Ledger(world)
        self.tasks = arrivals(world, seed)
        self.nodes = [Node(at, Work(Cores(world.cores, world.speed, world.thrash, world.thrash_at)))
                      for at in range(world.servers)]  # fmt: skip
        self.late: list[float] = []  # of sends behind their intended time, ms
        self.routers: list[Node] = [Node(at, Work(Cores(1, 1.0, 0.0, 1.0))) for at in range(world.routers)]
        self.fronts = self.routers or self.nodes  # what gateways send to
        self.plane = Plane(self) if world.routers else None
        self.database_ms = world.database_ms
        self.spread = random.Random(seed ^ 0xDB).uniform
        self.cpu_ms = self.memory_mb = 0.0  # of all servers; at most of any
        self.stopped = False
        self.began = 0.0
        self.failure: BaseException | None = None  # why the run has ended before its time
        self.ending = False  # it stops what it has started
        self.main: asyncio.Task[Any] | None = None  # that runs it

    # The clients' wire. Times in ms from the run's begin.

    def now(self) -> float:
        return self.loop.time() * 1000.0 - self.began

    def at(self, when: float, do: Callable[[float], None]) -> None:
        self.loop.call_at((when + self.began) / 1000.0, lambda: do(self.now()))

    def send(self, now: float, attempt: Attempt) -> None:
        node = self.fronts[attempt.server]
        mine = node.conns.setdefault(attempt.task.gateway, [])
        for conn in mine:
            if conn.transport is not None and not conn.draining and len(conn.open) < MOST_OPEN:
                self.write(conn, attempt)
                return
        if node.left and node.process is not None and node.process.poll() is not None:
            self.loop.call_soon(self.clients.answered, now, attempt, "refused")
            return
        task = self.loop.create_task(self.dial(node, attempt))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def dial(self, node: Node, attempt: Attempt) -> None:
        try:
            make = partial(GatewayPeer, self.answer, partial(self.lost, node))
            _, conn = await self.loop.create_connection(make, *node.address)
        except OSError:
            self.clients.answered(self.now(), attempt, "refused")
            return
        node.conns.setdefault(attempt.task.gateway, []).append(conn)
        self.write(conn, attempt)

    def write(self, conn: GatewayPeer, sent: Attempt) -> None:
        if sent.settled:
            return
        stage = self.world.stage[sent.task.stage].name
        told = fields(self.world, sent, time.time() * 1000.0)
        sent.wire = (conn, conn.task(sent, stage, told, sent.task.body))

    def answer(self, conn: GatewayPeer, message: int, kind: str, body: bytes, fields: dict[str, str]) -> None:
        sent = conn.open.pop(message, None)
        if sent is None:
            self.ledger.breaks("doubled", self.now(), f"message {message} was answered and is not open")
            return
        stay_away, last = float(fields.get("backoff", 0.0)), fields.get("final") == "1"
        self.clients.answered(self.now(), sent, kind, body, stay_away, last)
        conn.close_if_over()

    def lost(self, node: Node, conn: GatewayPeer) -> None:
        with contextlib.suppress(ValueError, StopIteration):
            next(each for each in node.conns.values() if conn in each).remove(conn)
        for sent in conn.open.values():
            if node.killed:
                self.ledger.open.pop(sent.rid, None)  # what a killed server held is no longer its duty
            self.clients.answered(self.now(), sent, "lost")
        conn.open.clear()

    def cancel(self, now: float, attempt: Attempt) -> None:
        if attempt.wire is not None:
            conn, message = attempt.wire
            if conn.open.get(message) is attempt:
                # Its answer may be on the way still: it is read, and counts for nothing.
                conn.cancel(message)

    # The parties

    def linked(self, node: Node, pool: PoolPeer) -> None:
        node.pool = pool

    def command(self, node: Node, msg: str, told: dict[str, Any]) -> None:
        now, pool = self.now(), node.pool
        self.work(node)
        match msg:
            case "bind" if pool is not None:
                pool.tell("bound", how="running", duration=60000)
                for notice in [each for each in node.work.notices if each[0] > told["serial"]]:
                    pool.notice(*notice)
                node.ready.set()
            case "poll" if pool is not None:
                links = sum(map(len, node.conns.values()))
                pool.tell("polled", cookie=told["cookie"], stats=node.work.cores.gauges(links))
            case "spawn":
                task = self.ledger.spawn(now, node.number, told["call"])
                if task is not None:
                    node.work.spawn(now, told["call"], task, self.world.stage[task.stage])
            case "supply" | "pass":
                node.work.supply(now, told["call"])
            case "suspend" | "proceed":
                node.work.pause(told["call"], msg == "suspend")
        self.look(node)

    def work(self, node: Node) -> None:
        for notice in node.work.advance(self.now()):
            if node.pool is not None:
                node.pool.notice(*notice)

    def look(self, node: Node) -> None:
        if node.timer is not None:
            node.timer.cancel()
            node.timer = None
        when = node.work.cores.next(self.now())
        if when < float("inf"):
            node.timer = self.loop.call_at((when + self.began) / 1000.0, self.worked, node)

    def worked(self, node: Node) -> None:
        self.work(node)
        self.look(node)

    def called(self, name: str, reply: Callable[[bytes], None]) -> None:
        takes = self.database_ms * self.spread(0.5, 1.5)
        self.loop.call_later(takes / 1000.0, reply, b"rows " + name.encode())

    # The run

    async def run(self, progress: Callable[["Loopback"], None] | None = None) -> "Loopback":
        self.loop = asyncio.get_running_loop()
        self.main = asyncio.current_task()
        if threading.current_thread() is threading.main_thread():
            for number in (signal.SIGINT, signal.SIGTERM):
                self.loop.add_signal_handler(number, self.fail, KeyboardInterrupt())
        self.began = self.loop.time() * 1000.0
        self.clients = Clients(self.world, self.seed, self, self.ledger)
        self.dials: set[asyncio.Task[None]] = set()
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
            make = partial(PoolPeer, partial(self.linked, node), partial(self.command, node))
            pool = await self.listen(make)
            database = await self.listen(partial(DatabasePeer, self.called))
            registry = await self.listen(partial(RegistryPeer, lambda *_: None))
            told = {
                "name": f"n{node.number}",
                "listen": f"{HERE}:0",
                "pool": pool,
                "db": database,
                "registry": registry,
                "seed": f"{self.seed + node.number:x}",
                "stop_ms": self.world.stop_ms,
                "limits": {"cores": 1.0, "memory_mb": self.world.memory_mb, "sockets": 1024},
                "settings": self.world.settings(),
            }
            path = self.folder / f"n{node.number}.json"
            path.write_text(json.dumps(told))
            node.log = self.folder / f"n{node.number}.log"
            launch = self.launch_of(node)
            node.command = ([launch.module], launch.environment(path))
            self.spawn(node, *node.command)
        async with asyncio.timeout(UP_S):
            for node in self.nodes:
                await node.ready.wait()
                node.address = await self.listening(node)
            if self.plane is not None:
                self.plane.addressed()
                for router in self.routers:
                    router.log = self.folder / f"r{router.number}.log"
                    self.spawn(
                        router, ["pumicenotch.route", str(self.plane.router_file(router))], dict(os.environ)
                    )
                for router in self.routers:
                    router.address = await self.listening(router)

    def launch_of(self, node: Node) -> Launch:
        """What this server is started with: a file of its own where the arm names one, or the world has
        cells."""
        launch = self.launch
        if self.plane is not None:
            return Launch(launch.module, str(self.plane.node_file(node, launch.config)))
        if launch.config:
            node.config = str(self.folder / f"n{node.number}-pools{Path(launch.config).suffix}")
            Path(node.config).write_text(Path(launch.config).read_text())
            return Launch(launch.module, node.config)
        return launch

    def spawn(self, node: Node, module: list[str], environment: dict[str, str]) -> None:
        with node.log.open("ab") as log:
            node.process = subprocess.Popen([sys.executable, "-m", *module], stderr=log, env=environment)

    async def listen(self, make: Callable[[], asyncio.Protocol]) -> str:
        server = await self.loop.create_server(make, HERE, 0)
        return "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def listening(self, node: Node) -> tuple[str, int]:
        """Where it says that it listens."""
        path = node.log
        while "listening on " not in (said := path.read_text(errors="replace")):
            if node.process is not None and node.process.poll() is not None:
                raise RuntimeError(f"server {node.number} did not start: {said.strip()[-500:]}")
            await asyncio.sleep(0.02)
        host, _, port = said.partition("listening on ")[2].split()[0].rstrip('",').rpartition(":")
        return host, int(port)

    async def load(self, progress: Callable[["Loopback"], None] | None) -> None:
        before = sum(node.cpu_ms() for node in self.nodes)
        self.cpu_ms = -before  # the start is not the tasks' cost
        self.began = self.loop.time() * 1000.0 + 50.0
        for node in self.nodes:
            node.work.cores.at = self.now()
        for fault in self.world.fault:
            self.at(fault.at_s * 1000.0, partial(self.fault, fault))
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
        """Ends the servers that were started here, by their ids; whatever is left after a second is
        killed."""
        ends = [*self.routers, *self.nodes]  # routers first: they answer what nodes still run
        for node in ends:
            if node.process is None or node.process.poll() is not None:
                status = node.process.returncode if node.process is not None else 0
                if status and not node.killed:
                    self.ledger.fell(self.now(), node.number, f"ended by itself with status {status}")
                continue
            if node in self.nodes and self.routers:
                await self.ended(self.routers)
            node.process.send_signal(signal.SIGCONT)
            node.process.send_signal(signal.SIGTERM)
            self.ledger.leave(self.now(), node.number)
        until = time.monotonic() + self.world.stop_ms / 1000.0 + 1.0
        for node in ends:
            while node.process is not None and node.process.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.02)
            if node.process is not None and node.process.poll() is None:
                self.ledger.breaks("drain", self.now(), f"server {node.number} had not ended in its notice")
                node.process.kill()
                node.process.wait()

    async def ended(self, nodes: list[Node]) -> None:
        until = time.monotonic() + self.world.stop_ms / 1000.0 + 1.0
        while any(each.process is not None and each.process.poll() is None for each in nodes):
            if time.monotonic() > until:
                return
            await asyncio.sleep(0.02)

    def fault(self, fault: world_.Fault, now: float) -> None:
        if fault.kind == "kill_router":
            router = self.routers[fault.server]
            router.killed = router.left = True
            assert router.process is not None
            router.process.kill()
            return
        if fault.kind == "move" and self.plane is not None:
            task = self.loop.create_task(self.plane.move(fault.tenant, fault.cell))
            self.dials.add(task)
            task.add_done_callback(self.dials.discard)
            return
        node = self.nodes[fault.server]
        assert node.process is not None
        later = partial(self.loop.call_later, fault.for_s)
        self.work(node)
        match fault.kind:
            case "slow_cores" | "hang_pool":
                node.work.cores.factor = fault.factor if fault.kind == "slow_cores" else 0.0
                later(self.mend, node)
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
                node.killed = node.left = True
                node.process.kill()
            case "reload":
                if node.config:
                    text = Path(fault.pools).read_text() if fault.pools else "# no pools\n"
                    Path(node.config).write_text(text)
                node.process.send_signal(signal.SIGHUP)
        self.look(node)

    def more(self) -> dict[str, float]:
        """Figures beside those of the ledger."""
        return {}

    def mend(self, node: Node) -> None:
        self.work(node)
        node.work.cores.factor = 1.0
        self.look(node)


def run(world: World, seed: int, launch: Launch, folder: Path | None = None,
        progress: Callable[[Loopback], None] | None = None,
        carrier: Callable[[World, int, Launch, Path], Loopback] = Loopback) -> Loopback:  # fmt: skip
    """One run from its start to its end; servers' logs stay in the folder, if one is named."""
    import uvloop

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        folder.mkdir(parents=True, exist_ok=True)
        made = carrier(world, seed, launch, folder)
        try:
            return uvloop.run(made.run(progress))
        except asyncio.CancelledError:
            if made.failure is None:
                raise
            raise made.failure from None
