"""The worker pools of a run on loopback: they answer their servers' commands and run tasks on emulated
cores.
"""

from typing import Any

from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.peers import PoolPeer
from pumicenotch.lab.run_clock import RunClock
from pumicenotch.lab.server_process import Node
from pumicenotch.lab.world import World

BOUND_MS = 60_000  # for which a pool lets itself be bound


class EmulatedPools:
    """Those of all servers."""

    def __init__(self, world: World, ledger: Ledger, clock: RunClock) -> None:
        self.world, self.ledger, self.clock = world, ledger, clock

    def linked(self, node: Node, pool: PoolPeer) -> None:
        node.pool = pool

    def command(self, node: Node, msg: str, told: dict[str, Any]) -> None:
        now, pool = self.clock.now(), node.pool
        self.advance(node)
        match msg:
            case "bind" if pool is not None:
                pool.tell("bound", how="running", duration=BOUND_MS)
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
        self.schedule(node)

    def advance(self, node: Node) -> None:
        """Plays its cores up to now; what ended is told to the server."""
        for notice in node.work.advance(self.clock.now()):
            if node.pool is not None:
                node.pool.notice(*notice)

    def schedule(self, node: Node) -> None:
        """Sets the timer for the next end on its cores."""
        if node.timer is not None:
            node.timer.cancel()
            node.timer = None
        when = node.work.cores.next(self.clock.now())
        if when < float("inf"):
            node.timer = self.clock.at(when, lambda _: self.ring(node))

    def ring(self, node: Node) -> None:
        self.advance(node)
        self.schedule(node)

    def set_speed(self, node: Node, factor: float) -> None:
        """Of its cores, from now on; 1 is the usual."""
        self.advance(node)
        node.work.cores.factor = factor
        self.schedule(node)
