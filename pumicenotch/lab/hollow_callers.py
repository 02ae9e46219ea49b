"""Hollow callers: connections to the real servers that send no requests, and ask now and then whether the
server is alive, as those of callers do that have nothing to send.
"""

import asyncio
from collections.abc import Callable
from typing import Any, cast

import msgpack

ASK_S = 1.0  # between questions on one connection: a server closes one that is silent for longer than 1.5 s
DIAL_S = 0.01  # between dials, so that no backlog overflows
REDIAL_S = 1.0  # after a refused dial or a closed connection


class HollowCaller(asyncio.Protocol):
    """One connection."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.unpacker = msgpack.Unpacker(raw=False)
        self.pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
        self.asked = self.answered = 0
        self.told_to_go = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for frame in self.unpacker:
            match frame:
                case [1, _, None, _]:
                    self.answered += 1
                case [2, "draining", _]:
                    self.told_to_go = True
                    if self.transport is not None:
                        self.transport.close()

    def ask(self) -> None:
        if self.transport is not None:
            self.asked += 1
            self.transport.write(self.pack([0, self.asked, "alive", []]))


class HollowCallers:
    """So many over all servers in turn, each dialled again when its connection has ended."""

    def __init__(self, many: int, addresses: Callable[[], list[tuple[str, int]]]) -> None:
        self.many, self.addresses = many, addresses
        self.callers: list[HollowCaller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.refused = self.ended = self.told_to_go = self.answered = 0
        self.least_open: int | None = None  # once all were dialled

    def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.tasks = [loop.create_task(self.hold(number)) for number in range(self.many)]
        self.tasks.append(loop.create_task(self.count()))

    async def hold(self, number: int) -> None:
        """Keeps one caller connected."""
        await asyncio.sleep(number * DIAL_S)
        while True:
            addresses = self.addresses()
            host, port = addresses[number % len(addresses)]
            try:
                _, caller = await asyncio.get_running_loop().create_connection(
                    HollowCaller, host, port
                )
            except OSError:
                self.refused += 1
                await asyncio.sleep(REDIAL_S)
                continue
            self.callers.append(caller)
            while caller.transport is not None:
                caller.ask()
                await asyncio.sleep(ASK_S)
            self.callers.remove(caller)
            self.ended += 1
            self.told_to_go += caller.told_to_go
            self.answered += caller.answered
            await asyncio.sleep(REDIAL_S)

    async def count(self) -> None:
        await asyncio.sleep(self.many * DIAL_S + REDIAL_S)
        while True:
            self.least_open = min(
                self.open(), self.least_open if self.least_open is not None else self.many
            )
            await asyncio.sleep(0.5)

    def open(self) -> int:
        return sum(caller.transport is not None for caller in self.callers)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            if caller.transport is not None:
                caller.transport.abort()

    def figures(self) -> dict[str, float]:
        answered = self.answered + sum(caller.answered for caller in self.callers)
        return {
            "hollow_callers": float(self.many),
            "hollow_callers_least_open": float(self.least_open or 0),
            "hollow_callers_answered": float(answered),
            "hollow_callers_ended": float(self.ended),
            "hollow_callers_told_to_go": float(self.told_to_go),
            "hollow_callers_refused": float(self.refused),
        }
