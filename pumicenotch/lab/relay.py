"""A relay through which every directed pair of processes talks: cut one way or both, late, lossy by
connection, requests that come twice, half-open, slow. Each process is known to the others by an address of
the relay's; who dials is known by its hello. Faults are frames that do not come, never code in the
product.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, NamedTuple

import msgpack

READ_MOST = 64 * 1024
LATE_MOST = 1000  # frames on their way on one connection: beyond, its sender is held up


class Way(NamedTuple):
    """What happens to what one process says to another."""

    cut: bool = False  # nothing comes, and no end is seen: what is dialled meanwhile is half-open
    delay_ms: float = 0.0
    loss: float = 0.0  # chance for each frame that its connection breaks there
    copies: float = 0.0  # chance that a request comes twice
    bytes_per_s: float = float("inf")
    alter: Callable[[Any], Any] | None = None  # what a frame is turned into on its way


OPEN = Way()


class Relay:
    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.ways: dict[tuple[str, str], Way] = {}
        self.servers: list[asyncio.Server] = []
        self.carried = self.dropped = self.copied = self.broken = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self, name: str, listen: str, ip: str, port: int) -> None:
        """Whoever dials IP:PORT talks to that process at the address where it really listens."""
        self.servers.append(
            await asyncio.start_server(partial(self.dialled, name, listen), ip, port)
        )

    async def close(self) -> None:
        for server in self.servers:
            server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    # Faults

    def set(self, some: Iterable[str], others: Iterable[str], way: Way, both: bool = True) -> None:
        """From each of some to each of the others, and back if both."""
        for one in some:
            for other in others:
                if one != other:
                    self.ways[one, other] = way
                    if both:
                        self.ways[other, one] = way

    def heal(self) -> None:
        self.ways.clear()

    # Connections

    async def dialled(
        self, name: str, listen: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        host, _, port = listen.rpartition(":")
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        caller = [""]
        ways = [
            asyncio.create_task(self.carry(reader, back, caller, name, True)),
            asyncio.create_task(self.carry(there, writer, caller, name, False)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in ways:
                each.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            for end in (writer, back):
                end.transport.abort()

    async def carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        caller: list[str],
        name: str,
        on: bool,
    ) -> None:
        """Frame by frame, until either end closes or the way breaks it."""
        unpacker = msgpack.Unpacker(max_buffer_size=16 * 1024 * 1024, strict_map_key=False)
        packer = msgpack.Packer(autoreset=True)
        late: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(LATE_MOST)
        pouring = asyncio.create_task(self.pour(late, writer))
        self.tasks.add(pouring)
        pouring.add_done_callback(self.tasks.discard)
        try:
            await self.frames(reader, unpacker, packer, late, caller, name, on)
        finally:
            pouring.cancel()

    async def frames(
        self,
        reader: asyncio.StreamReader,
        unpacker: Any,
        packer: Any,
        late: asyncio.Queue[tuple[float, bytes]],
        caller: list[str],
        name: str,
        on: bool,
    ) -> None:
        due, now = 0.0, asyncio.get_running_loop().time
        while data := await reader.read(READ_MOST):
            unpacker.feed(data)
            for frame in unpacker:
                if on and not caller[0]:
                    caller[0] = self.hello(frame)
                way = self.ways.get((caller[0], name) if on else (name, caller[0]), OPEN)
                if way.cut:
                    self.dropped += 1
                    continue
                if way.loss and self.chance.random() < way.loss:
                    self.broken += 1
                    return
                told = packer.pack(way.alter(frame) if way.alter else frame)
                wait = (
                    way.delay_ms / 1000.0 * self.chance.uniform(0.5, 1.5)
                    + len(told) / way.bytes_per_s
                )
                due = max(due, now() + wait)  # in order, as on one connection
                twice = frame[0] == 0 and way.copies and self.chance.random() < way.copies
                self.copied += bool(twice)
                self.carried += 1
                await late.put((due, told + told if twice else told))

    @staticmethod
    async def pour(late: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter) -> None:
        now = asyncio.get_running_loop().time
        while True:
            due, told = await late.get()
            if (wait := due - now()) > 0.0:
                await asyncio.sleep(wait)
            writer.write(told)
            await writer.drain()

    @staticmethod
    def hello(frame: Any) -> str:
        """The name of who dials; an operator's command has none, and meets no fault."""
        match frame:
            case [2, "hello", [_, str(name), _, _]]:
                return name
        return ""
