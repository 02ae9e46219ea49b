"""Carries a world in simulated time: the real core and decisions, one heap of events, no sockets. Seeded and
repeatable; the wire costs a fixed time, and the server's own CPU time nothing.
"""

import heapq
import time
from collections.abc import Callable
from itertools import count
from typing import Any

from pumicenotch import start
from pumicenotch.config.file import plan_of
from pumicenotch.control import AdmissionController
from pumicenotch.interface import Outcome
from pumicenotch.lab import world as world_
from pumicenotch.lab.attempt import Attempt
from pumicenotch.lab.clients import Clients, fields
from pumicenotch.lab.cores import Cores, Work
from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.world import World, arrivals
from pumicenotch.net.pool import RUN_OUTCOMES
from pumicenotch.pools import ClassPools, PoolsPlan
from pumicenotch.server import events, messages
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Close, Dial, Exit, FinishReading, Wake, Write
from pumicenotch.server.settings import ServerSettings

WIRE_MS = 0.3  # one way between any two parties
MOST_OPEN = 32  # tasks on one connection

MakePools = Callable[[list[Any], dict[str, int]], Callable[[float], ClassPools]]


def pools_of(plan: PoolsPlan | None) -> MakePools | None:
    """What makes a server's pools by that plan."""
    if plan is None:
        return None
    return lambda stages, numbers: lambda now: ClassPools(now, plan, stages, numbers)


class Node:
    """One server with its worker pool."""

    def __init__(self, core: Server, work: Work) -> None:
        self.core, self.work = core, work
        self.woken = self.working = (
            0  # numbers of the latest wake-up, and of the pool's latest look
        )
        # gateway -> its connections, what is open
        self.conns: dict[int, list[tuple[int, dict[int, Attempt]]]] = {}
        self.by_conn: dict[int, dict[int, Attempt]] = {}
        self.linked = True
        self.over = False
        self.frozen_until = 0.0
        self.cpu_ms = 0.0
        self.steps = 0


class Simulation:
    """`pools` makes the pools of a server from its stages and their numbers; none leaves classes as one."""

    def __init__(
        self,
        world: World,
        seed: int,
        pools: MakePools | None = None,
        decides: type[AdmissionController] = AdmissionController,
    ) -> None:
        self.world, self.now, self.order = world, 0.0, count()
        self.events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.ledger = Ledger(world)
        self.clients = Clients(world, seed, self, self.ledger)
        self.numbers = count(1)
        self.messages = count(1)
        self.database_ms = world.database_ms
        self.log: list[tuple[float, int, str]] = []
        pairs = start.flatten(world.settings())
        self.stages = start.index_by_name(pairs, "classes")
        self.nodes = []
        for at in range(world.servers):
            controller = start.controller_settings(pairs)
            made = pools(controller.request_classes, self.stages) if pools is not None else None
            settings = ServerSettings(
                controller=controller,
                class_indexes=self.stages,
                tenant_indexes=start.index_by_name(pairs, "tenants"),
                seed=seed + at,
                shutdown_ms=world.stop_ms,
                has_database=True,
                memory_mb=world.memory_mb,
                max_descriptors=1024,
            )
            core = Server(settings, make_pools=made, controller_type=decides)
            node = Node(core, Work(Cores(world.cores, world.speed, world.thrash, world.thrash_at)))
            self.nodes.append(node)
            self.put(node, events.Started())
        self.tasks = arrivals(world, seed)
        for task in self.tasks:
            self.at(task.at, self.clients.wanted, task)
        for fault in world.fault:
            self.at(fault.at_s * 1000.0, self.fault, fault)

    def at(self, when: float, do: Callable[..., object], *details: Any) -> None:
        heapq.heappush(self.events, (max(when, self.now), next(self.order), do, details))

    def run(self, beyond_s: float = 15.0) -> "Simulation":
        until = (self.world.length_s + beyond_s) * 1000.0
        while self.events and self.events[0][0] <= until:
            self.now, _, do, details = heapq.heappop(self.events)
            do(self.now, *details)
            if self.now > self.world.length_s * 1000.0 and not self.clients.open:
                break
        self.ledger.close(self.now)
        for at, node in enumerate(self.nodes):
            if node.work.cores.fallen:
                self.ledger.fell(self.now, at, "its cores were crowded for too long")
        return self

    # The clients' wire

    def send(self, now: float, attempt: Attempt) -> None:
        node = self.nodes[attempt.server]
        self.at(max(now + WIRE_MS, node.frozen_until), self.arrive, node, attempt)

    def arrive(self, now: float, node: Node, sent: Attempt) -> None:
        if node.over:
            self.at(now + WIRE_MS, self.clients.answered, sent, "lost")
            return
        mine = node.conns.setdefault(sent.task.gateway, [])
        conn = next((number for number, open_ in mine if len(open_) < MOST_OPEN), 0)
        if not conn:
            conn = next(self.numbers)
            node.by_conn[conn] = {}
            mine.append((conn, node.by_conn[conn]))
            self.put(node, events.ConnectionOpened(conn))
        message = next(self.messages)
        node.by_conn[conn][message] = sent
        stage = self.world.stage[sent.task.stage].name
        told = fields(self.world, sent, sent.sent + WIRE_MS)
        request = events.RequestReceived(conn, message, 0.0, stage, told, sent.task.body)
        self.put(node, request)

    def cancel(self, now: float, attempt: Attempt) -> None:
        node = self.nodes[attempt.server]
        for conn, open_ in node.by_conn.items():
            for message, sent in list(open_.items()):
                if sent is attempt:
                    self.later(WIRE_MS, node, events.RequestCancelled(conn, message))
                    return

    # The servers

    def later(self, after_ms: float, node: Node, event: object) -> None:
        self.at(self.now + after_ms, lambda _: self.put(node, event))

    def put(self, node: Node, event: object) -> None:
        if node.over:
            return
        if self.now < node.frozen_until:
            self.later(node.frozen_until - self.now, node, event)
            return
        began = time.perf_counter()
        effects = node.core.step(self.now, event)
        node.cpu_ms += (time.perf_counter() - began) * 1000.0
        node.steps += 1
        for effect in effects:
            self.carry(node, effect)

    def carry(self, node: Node, effect: Any) -> None:
        match effect:
            case Write(int(conn), message):
                self.answer(node, conn, message)
            case Write("pool", message):
                self.at(self.now + WIRE_MS, self.command, node, message)
            case Write("registry", _):
                self.later(WIRE_MS, node, events.ReportFinished(None))
            case Write(str(link), messages.DependencyCall(name, _, _)):
                reply = events.DependencyReplied(link, name, Outcome.OK, b"rows")
                self.later(self.database_ms + 2.0 * WIRE_MS, node, reply)
            case Dial(link, after_ms):
                self.later(after_ms + WIRE_MS, node, events.ConnectionUp(link))
            case Wake(after_ms):
                node.woken += 1
                self.at(self.now + after_ms, self.ring, node, node.woken)
            case FinishReading(conn):
                self.later(0.0, node, events.ReadingFinished(conn))
            case Close(int(conn)):
                self.closed(node, conn)
            case Exit():
                node.over = True
                for open_ in node.by_conn.values():
                    for sent in open_.values():
                        self.at(self.now, self.clients.answered, sent, "lost")
            case _:
                if hasattr(effect, "text"):
                    self.log.append((self.now, self.nodes.index(node), effect.text))

    def closed(self, node: Node, conn: int) -> None:
        """The server has ended that connection: its gateway opens another for what comes next."""
        for sent in node.by_conn.pop(conn, {}).values():
            self.at(self.now, self.clients.answered, sent, "lost")
        for connections in node.conns.values():
            connections[:] = [each for each in connections if each[0] != conn]

    def ring(self, now: float, node: Node, mark: int) -> None:
        if node.woken == mark:
            self.put(node, events.TimerFired())

    def answer(self, node: Node, conn: int, message: object) -> None:
        more: dict[str, Any] = {}
        match message:
            case messages.RequestServed():
                kind, more = "served", {"body": message.result}
            case messages.RequestRejected():
                kind = "rejected"
                more = {"stay_away_ms": message.retry_after_ms, "last": message.do_not_retry}
            case messages.RequestFailed():
                kind = "failed"
            case _:
                return
        sent = node.by_conn[conn].pop(message.message_id, None)
        if sent is None:
            return
        self.at(self.now + WIRE_MS, lambda now: self.clients.answered(now, sent, kind, **more))

    # The worker pools

    def command(self, now: float, node: Node, message: object) -> None:
        if not node.linked:
            return
        self.work(now, node)
        match message:
            case messages.BindPool(serial):
                self.tell(node, events.PoolBound(False, 60000.0))
                for notice in [each for each in node.work.notices if each[0] > serial]:
                    self.notice(node, notice)
            case messages.PollPool(cookie):
                gauges = node.work.cores.gauges(sum(map(len, node.conns.values())))
                self.tell(node, events.GaugesReported(cookie, gauges))
            case messages.StartRun(name, _, _):
                task = self.ledger.spawn(now, self.nodes.index(node), name)
                if task is not None:
                    node.work.spawn(now, name, task, self.world.stage[task.stage])
            case messages.SupplyReply(name, _) | messages.SkipDependency(name, _):
                node.work.supply(now, name)
            case messages.SuspendRun(name) | messages.ResumeRun(name):
                node.work.pause(name, isinstance(message, messages.SuspendRun))
        self.look(node)

    def tell(self, node: Node, event: object) -> None:
        if node.linked:
            self.later(WIRE_MS, node, event)

    def notice(self, node: Node, notice: tuple[int, str, str, dict[str, Any]]) -> None:
        serial, msg, name, more = notice
        if msg == "blocked":
            self.tell(node, events.RunBlocked(serial, name, more["body"]))
        else:
            outcome = RUN_OUTCOMES.get(more["how"])
            self.tell(node, events.RunFinished(serial, name, outcome, more["body"]))

    def work(self, now: float, node: Node) -> None:
        for notice in node.work.advance(now):
            self.notice(node, notice)

    def look(self, node: Node) -> None:
        node.working += 1
        when = node.work.cores.next(self.now)
        if when < float("inf"):
            self.at(when, self.worked, node, node.working)

    def worked(self, now: float, node: Node, mark: int) -> None:
        if node.working == mark:
            self.work(now, node)
            self.look(node)

    # Faults

    def fault(self, now: float, fault: world_.Fault) -> None:
        node, until = self.nodes[fault.server], now + fault.for_s * 1000.0
        self.work(now, node)
        match fault.kind:
            case "slow_cores" | "hang_pool":
                node.work.cores.factor = fault.factor if fault.kind == "slow_cores" else 0.0
                self.at(until, self.mend, node)
            case "cut_pool":
                failure = events.ConnectionFailure(
                    events.FailureReach.BROKEN, "cut by the experiment"
                )
                self.put(node, events.ConnectionDown("pool", failure))
            case "stall":
                node.frozen_until = until
            case "slow_database":
                self.database_ms = self.world.database_ms * fault.factor
                self.at(until, self.hasten)
            case "drain":
                self.ledger.leave(now, fault.server)
                self.put(node, events.ShutdownRequested())
            case "reload":
                made = pools_of(plan_of(fault.pools) if fault.pools else None)
                stages = node.core.settings.controller.request_classes
                make_pools = made(stages, self.stages) if made else None
                self.put(node, events.PoolsReplaced(make_pools, f"pools {fault.pools}"))
        self.look(node)

    def hasten(self, now: float) -> None:
        self.database_ms = self.world.database_ms

    def mend(self, now: float, node: Node) -> None:
        self.work(now, node)
        node.work.cores.factor = 1.0
        self.look(node)
