"""The worker pool and the registry of a soak, which stand still or are away as the schedule says."""

import asyncio
import random
import socket
from base64 import b64encode
from collections.abc import Callable
from typing import Any

from pumicenotch.lab.peers import PoolPeer, RegistryPeer
from pumicenotch.lab.soak.clients import SoakWorld
from pumicenotch.lab.soak.judge import run_result

HERE = "127.0.0.1"
BOUND_MS = 60_000  # for which the pool says that it runs
LONG_RUN_MS = 4000.0  # beyond the kill

Command = tuple[str, dict[str, Any]]


class SoakPool:
    """Runs requests by a timer each, and keeps all notices for the next connection.

    Args:
        world: What the run shares.
    """

    def __init__(self, world: SoakWorld) -> None:
        self.world = world
        self.rng = random.Random(world.schedule.seed ^ 0x9001)
        self.peer: PoolPeer | None = None
        self.notices: list[dict[str, Any]] = []
        self.told_count = 0  # of the notices, those before it stood still
        self.waiting: list[Command] = []  # while it stands still
        self.is_stalled = False
        self.bound = asyncio.Event()
        self.running_count = 0

    def make_peer(self) -> PoolPeer:
        """Returns the protocol of one connection; a new one replaces the one before."""
        peer: PoolPeer

        def on_command(name: str, fields: dict[str, Any]) -> None:
            if peer is self.peer:
                self.on_command(name, fields)

        peer = PoolPeer(self._connected, on_command)
        return peer

    def _connected(self, peer: PoolPeer) -> None:
        self.peer = peer
        self.waiting.clear()  # commands of a connection that is gone
        self.world.judge.counts["pool_connections"] += 1

    def on_command(self, name: str, fields: dict[str, Any]) -> None:
        """Carries out a command, now or once it stands still no more."""
        if self.is_stalled:
            self.waiting.append((name, fields))
            return
        match name:
            case "bind":
                self._tell("bound", how="running", duration=BOUND_MS)
                for notice in self.notices[fields["serial"] :]:
                    self._tell("finished", **notice)
                self.bound.set()
            case "poll":
                self._tell("polled", cookie=fields["cookie"], stats=[0.1, self.running_count])
            case "spawn":
                self._start_run(fields["call"])

    def stall(self, for_ms: float) -> None:
        """Stands still from now on: nothing is read, carried out or told."""
        self.is_stalled = True
        asyncio.get_running_loop().call_later(for_ms / 1000.0, self._resume)

    def _resume(self) -> None:
        self.is_stalled = False
        waiting, self.waiting = self.waiting, []
        for name, fields in waiting:
            self.on_command(name, fields)
        if self.peer is not None:
            for notice in self.notices[self.told_count :]:
                self._tell("finished", **notice)
        self.told_count = len(self.notices)

    def _start_run(self, request_id: str) -> None:
        request = self.world.judge.run_started(self.world.now_ms(), request_id)
        if request is None:
            return
        schedule = self.world.schedule
        is_long = self.rng.random() < schedule.long_run_fraction
        run_ms = LONG_RUN_MS if is_long else self.rng.uniform(*schedule.run_ms)
        self.running_count += 1
        loop = asyncio.get_running_loop()
        loop.call_later(run_ms / 1000.0, self._finish_run, request_id, request.body, run_ms)

    def _finish_run(self, request_id: str, body: bytes, run_ms: float) -> None:
        self.running_count -= 1
        notice = {
            "serial": len(self.notices) + 1,
            "call": request_id,
            "how": "fine",
            "duration": round(run_ms),
            "blob": b64encode(run_result(body)).decode(),
        }
        self.notices.append(notice)
        if not self.is_stalled:
            self._tell("finished", **notice)
            self.told_count = len(self.notices)

    def _tell(self, name: str, **fields: Any) -> None:
        if self.peer is not None:
            self.peer.tell(name, **fields)


class LatePort:
    """An address whose connections are refused until it listens."""

    def __init__(self) -> None:
        self.sock = socket.socket()
        self.sock.setblocking(False)
        self.sock.bind((HERE, 0))
        self.address = "{}:{}".format(*self.sock.getsockname())

    async def listen(self, make: Callable[[], asyncio.Protocol]) -> asyncio.Server:
        """Accepts connections from now on."""
        return await asyncio.get_running_loop().create_server(make, sock=self.sock)


def make_registry_peer() -> RegistryPeer:
    """Returns the protocol of one connection to a registry that takes every report."""
    return RegistryPeer(lambda *_: None)
