"""The connections of emulated gateways to the servers or routers of a run on loopback."""

import asyncio
import contextlib
import time
from collections.abc import Callable
from functools import partial

from pumicenotch.lab.attempt import Attempt
from pumicenotch.lab.clients import Clients, fields
from pumicenotch.lab.ledger import Ledger
from pumicenotch.lab.peers import GatewayPeer
from pumicenotch.lab.run_clock import RunClock
from pumicenotch.lab.server_process import Node
from pumicenotch.lab.world import World

MOST_OPEN = 32  # tasks on one connection


class GatewayConnections:
    """The clients' wire; set `clients` before the first attempt. `lost` is called with each connection that
    has ended, and is to call `settle_lost`. `dials` holds the tasks that are dialling.
    """

    clients: Clients

    def __init__(
        self,
        world: World,
        ledger: Ledger,
        clock: RunClock,
        fronts: list[Node],
        dials: set[asyncio.Task[None]],
        lost: Callable[[Node, GatewayPeer], None],
    ) -> None:
        self.world, self.ledger, self.clock, self.fronts = world, ledger, clock, fronts
        self.dials, self.lost = dials, lost

    def at(self, when: float, do: Callable[[float], None]) -> None:
        self.clock.at(when, do)

    def send(self, now: float, attempt: Attempt) -> None:
        node = self.fronts[attempt.server]
        for conn in node.conns.setdefault(attempt.task.gateway, []):
            if conn.transport is not None and not conn.draining and len(conn.open) < MOST_OPEN:
                self.write(conn, attempt)
                return
        if node.left and node.ended:
            self.clock.loop.call_soon(self.clients.answered, now, attempt, "refused")
            return
        task = self.clock.loop.create_task(self.dial(node, attempt))
        self.dials.add(task)
        task.add_done_callback(self.dials.discard)

    async def dial(self, node: Node, attempt: Attempt) -> None:
        try:
            make = partial(GatewayPeer, self.answer, partial(self.lost, node))
            _, conn = await self.clock.loop.create_connection(make, *node.address)
        except OSError:
            self.clients.answered(self.clock.now(), attempt, "refused")
            return
        node.conns.setdefault(attempt.task.gateway, []).append(conn)
        self.write(conn, attempt)

    def write(self, conn: GatewayPeer, attempt: Attempt) -> None:
        if attempt.settled:
            return
        stage = self.world.stage[attempt.task.stage].name
        request_fields = fields(self.world, attempt, time.time() * 1000.0)
        attempt.wire = (conn, conn.task(attempt, stage, request_fields, attempt.task.body))

    def answer(
        self, conn: GatewayPeer, message: int, kind: str, body: bytes, answer_fields: dict[str, str]
    ) -> None:
        attempt = conn.open.pop(message, None)
        if attempt is None:
            why = f"message {message} was answered and is not open"
            self.ledger.breaks("doubled", self.clock.now(), why)
            return
        stay_away_ms = float(answer_fields.get("backoff", 0.0))
        last = answer_fields.get("final") == "1"
        self.clients.answered(self.clock.now(), attempt, kind, body, stay_away_ms, last)
        conn.close_if_over()

    def settle_lost(self, node: Node, conn: GatewayPeer) -> None:
        with contextlib.suppress(ValueError, StopIteration):
            next(each for each in node.conns.values() if conn in each).remove(conn)
        for attempt in conn.open.values():
            if node.killed:
                self.ledger.open.pop(
                    attempt.rid, None
                )  # what a killed server held is no longer its duty
            self.clients.answered(self.clock.now(), attempt, "lost")
        conn.open.clear()

    def cancel(self, now: float, attempt: Attempt) -> None:
        if attempt.wire is not None:
            conn, message = attempt.wire
            if conn.open.get(message) is attempt:
                # Its answer may be on the way still: it is read, and counts for nothing.
                conn.cancel(message)
