"""A world whose servers are a fleet: voters beside them, a relay between all, a platform that starts again
what has ended. Who is out is judged from outside: by the word that a server gives its gateways, by its
process's end, and by its being bound and listening again.
"""

import asyncio
import contextlib
import json
import signal
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any

from pumicenotch.lab import world as world_
from pumicenotch.lab.crew import Crew
from pumicenotch.lab.guard import SEED_S, Machine, Watch
from pumicenotch.lab.hollow_callers import HollowCallers
from pumicenotch.lab.hollow_messages import Place
from pumicenotch.lab.hollow_run import HollowRun
from pumicenotch.lab.loopback import UP_S, Loopback
from pumicenotch.lab.measure import added
from pumicenotch.lab.peers import GatewayPeer
from pumicenotch.lab.relay import OPEN, Way
from pumicenotch.lab.server_process import Launch, Node

HOLLOW_FORMED_S = 100.0  # the same with hollow instances, many of them
HOLLOW_FAULTS = ("lose", "cut_region", "replace", "kill_relays")
LOOK_S = 0.02  # between looks at who is out: a tenth of the shortest time that a server is
FORMED_S = 40.0  # for voters to found the fleet and all servers to be in it


class Watched(GatewayPeer):
    """A connection that sends nothing: the word of a drain comes on it first."""

    def __init__(self) -> None:
        super().__init__(lambda *_: None, lambda _: None)


class FleetRun(Loopback):
    def __init__(
        self,
        world: world_.World,
        seed: int,
        launch: Launch,
        folder: Path,
        drains: str = "agreed",
        hollow: bool = True,
        until_s: float | None = None,
        limit_s: float = SEED_S,
        configuration: str = "none",
    ) -> None:
        """`hollow` says whether the world's hollow instances are there, `limit_s` how long the run may last
        with them. A run that ends sooner, at `until_s`, has the same arrivals up to then.
        """
        super().__init__(world, seed, launch, folder)
        if until_s is not None and until_s < world.length_s:
            faults = tuple(fault for fault in world.fault if fault.at_s < until_s)
            self.world = world = world.model_copy(update={"length_s": until_s, "fault": faults})
            self.ledger.world = world
            self.tasks = [task for task in self.tasks if task.at < until_s * 1000.0]
        self.drains = drains
        budgets = "\n".join(map(block, world.budget))
        if configuration != "none":
            budgets += "\ndistribution {}\n"
        direct = world.hollow is not None
        self.crew = Crew(folder, seed, world.voters, world.zones, budgets, world.regions, direct)
        self.hollow: HollowRun | None = None
        callers = world.hollow.callers if world.hollow is not None else 0
        self.callers = HollowCallers(callers, lambda: [node.address for node in self.nodes])
        if direct and hollow:
            watch = Watch(Machine.here(), limit_s)
            self.hollow = HollowRun(
                world, seed, folder, self.crew, watch, self.spawn_task, configuration
            )
            self.hollow.others_pids = self.pids
            self.hollow.fail = self.fail
        self.zone = {node.number: f"z{node.number % world.zones}" for node in self.nodes}
        self.watched: dict[int, Watched] = {}
        self.out: dict[int, float] = {}  # voluntarily, since when
        self.against: set[int] = set()  # killed by the experiment
        self.most_out, self.most_over = 0, 0
        self.lives: Counter[int] = Counter()
        self.returning: set[int] = set()  # being started again; back once bound
        self.drained: set[int] = set()
        self.asked_at = self.done_at = 0.0
        self.watching: list[asyncio.Task[None]] = []

    # Start

    async def start(self) -> None:
        await self.crew.start()
        for node in self.nodes:
            await self.crew.add(f"n{node.number}", self.zone[node.number])
        many, within_s = len(self.nodes) + self.world.voters, FORMED_S
        if self.hollow is not None:
            self.watching.append(asyncio.create_task(self.hollow.watching()))
            many, within_s = many + len(self.hollow.fleet.places), HOLLOW_FORMED_S
            await self.hollow.start(self.real_places(), HOLLOW_FORMED_S)
        await super().start()
        await self.crew.agreed(
            lambda status: status["members"] == many and not status["out"], within_s
        )
        for node in self.nodes:
            await self.watch(node)
        self.watching.append(asyncio.create_task(self.look_on()))

    async def load(self, progress: Any) -> None:
        if self.hollow is not None:
            self.hollow.begin()
        self.callers.start()
        await super().load(progress)
        if self.hollow is not None:
            await self.hollow.finish()

    def real_places(self) -> list[Place]:
        return [
            Place(name, self.crew.shown(name), zone, self.crew.region(zone))
            for name, zone in self.crew.zone.items()
        ]

    def pids(self) -> list[int]:
        """Of voters and servers that were started here."""
        processes = [voter.process for voter in self.crew.voters.values()]
        processes += [node.process for node in self.nodes]
        return [each.pid for each in processes if each is not None and each.poll() is None]

    def launch_of(self, node: Node) -> Launch:
        launch = super().launch_of(node)
        text = Path(launch.config).read_text() if launch.config else ""
        path = self.folder / f"n{node.number}.hcl"
        path.write_text(text + self.crew.member(f"n{node.number}", self.zone[node.number]))
        return Launch(launch.module, str(path))

    async def watch(self, node: Node) -> None:
        with contextlib.suppress(OSError):
            _, self.watched[node.number] = await self.loop.create_connection(Watched, *node.address)

    # Who is out

    async def look_on(self) -> None:
        while True:
            for node in self.nodes:
                self.look_at(node)
            await asyncio.sleep(LOOK_S)

    def look_at(self, node: Node) -> None:
        watched, process = self.watched.get(node.number), node.process
        ended = process is not None and process.poll() is not None
        told = any(conn.draining for conns in node.conns.values() for conn in conns)
        drains = told or (watched is not None and watched.draining)
        if not drains and not ended and watched is not None and watched.transport is None:
            self.watched.pop(
                node.number
            )  # an idle connection that the server has closed: another looks on
            self.spawn_task(self.watch(node))
            return
        if (drains or ended) and node.number not in self.out and node.number not in self.against:
            self.out[node.number] = self.now()
            self.drained.add(node.number)
            if not node.left:
                self.ledger.leave(self.now(), node.number)
                node.left = True
            self.count()
        if ended and not self.stopped and node.ready.is_set():
            node.ready = asyncio.Event()
            self.spawn_task(self.again(node))

    def spawn_task(self, job: Any) -> None:
        task = self.loop.create_task(job)
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    def count(self) -> None:
        """Over a budget are those of one group that are out beyond what it allows."""
        out = [
            number
            for number in self.out
            if number not in self.returning or not self.nodes[number].ready.is_set()
        ]
        self.most_out = max(self.most_out, len(out))
        for budget in self.world.budget:
            if budget.most_out is None or budget.each not in ("zone", "fleet"):
                continue
            groups = Counter(self.zone[number] if budget.each == "zone" else "" for number in out)
            self.most_over = max(
                self.most_over, *(many - budget.most_out for many in groups.values()), 0
            )

    async def again(self, node: Node) -> None:
        """The platform starts a server anew that has ended."""
        assert node.process is not None
        if node.process.returncode and node.number not in self.against:
            self.ledger.fell(
                self.now(), node.number, f"ended by itself with status {node.process.returncode}"
            )
        self.lives[node.number] += 1
        self.returning.add(node.number)
        node.log = self.folder / f"n{node.number}-{self.lives[node.number]}.log"
        node.work.notices.clear()
        node.conns.clear()
        self.spawn(node, *node.command)
        async with asyncio.timeout(UP_S):
            await node.ready.wait()
            node.address = await self.listening(node)
        await self.returned(node)
        if len(self.drained) == len(self.nodes) and not self.out and not self.done_at:
            self.done_at = self.now()

    async def returned(self, node: Node) -> None:
        """It is bound and listens: in service again."""
        await self.watch(node)
        node.left = node.killed = False
        self.ledger.leaving.pop(node.number, None)
        self.out.pop(node.number, None)
        self.returning.discard(node.number)
        self.against.discard(node.number)

    # Faults

    def fault(self, fault: world_.Fault, now: float) -> None:
        if fault.kind in HOLLOW_FAULTS or (
            fault.kind == "cut_zone" and self.world.hollow is not None
        ):
            if self.hollow is not None:
                self.hollow.fault(fault)
            return
        match fault.kind:
            case "drain_all":
                self.asked_at = now
                if self.drains == "agreed":
                    self.spawn_task(self.crew.drain(*(f"n{node.number}" for node in self.nodes)))
                elif self.drains == "alone":
                    for node in self.nodes:
                        if node.process is not None and node.process.poll() is None:
                            node.process.send_signal(signal.SIGTERM)
            case "kill_leader":
                self.spawn_task(self.kill_leader(fault.for_s))
            case "cut_zone":
                self.between((fault.zone,), (), Way(cut=True), True, fault.for_s)
            case "link":
                most = fault.bytes_per_s or float("inf")
                way = Way(fault.cut, fault.delay_ms, fault.loss, fault.copies, most)
                self.between(fault.between, fault.others, way, not fault.one_way, fault.for_s)
            case "kill":
                self.against.add(fault.server)
                super().fault(fault, now)
            case _:
                super().fault(fault, now)

    def between(
        self, some: tuple[str, ...], others: tuple[str, ...], way: Way, both: bool, for_s: float
    ) -> None:
        """Names or zones; the ways are open again after so long."""
        zone = self.crew.zone
        these = [name for name in zone if name in some or zone[name] in some]
        those = [name for name in zone if name in others or zone[name] in others]
        those = those or [name for name in zone if name not in these]
        self.crew.relay.set(these, those, way, both)
        self.loop.call_later(for_s, partial(self.crew.relay.set, these, those, OPEN, both))

    async def kill_leader(self, for_s: float) -> None:
        name = await self.crew.leader()
        self.crew.signal(name, signal.SIGKILL)
        await asyncio.sleep(for_s)
        self.crew.boot(name)

    # End

    def more(self) -> dict[str, float]:
        took = (self.done_at - self.asked_at) / 1000.0 if self.done_at else -1.0
        found = {
            "most_out": float(self.most_out),
            "most_over_budget": float(self.most_over),
            "drained": float(len(self.drained)),
            "drain_all_s": round(took, 2),
        }
        if self.world.hollow is not None:
            first_s = min((fault.at_s for fault in self.world.fault), default=self.world.length_s)
            found |= added(self.world, self.ledger, first_s) | self.callers.figures()
        if self.hollow is not None:
            found |= self.hollow.more()
        return found

    async def stop(self) -> None:
        self.stopped = True
        await self.callers.stop()
        for task in (*self.watching, *self.dials):
            task.cancel()
        await asyncio.gather(*self.watching, *self.dials, return_exceptions=True)
        try:
            if self.hollow is not None:  # first: with so many beside them servers end late
                await self.hollow.stop()
        finally:
            try:
                await super().stop()
            finally:
                await self.crew.stop()


def block(budget: Any) -> str:
    """The budget as it stands in a voter's file."""
    told = budget.model_dump(exclude={"name"}, exclude_none=True, exclude_defaults=True)
    lines = "".join(f"  {key} = {json.dumps(value)}\n" for key, value in told.items())
    return f'budget "{budget.name}" {{\n{lines}}}'
