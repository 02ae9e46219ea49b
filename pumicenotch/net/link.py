"""What every connection has: one reader, one outbox with one writer, a stream whose close ends both."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream, TaskGroup
from loguru import logger

LOST = (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError)  # a connection ended by the other side
READ_MOST = 64 * 1024  # bytes taken at once from a peer of our own
CLOSE_S = 2.0  # for what is still to be written once a connection is closed: as long as a gateway has for it

Frame = Callable[..., bytes]


class Reader(Protocol):
    def feed(self, data: bytes) -> None:
        """Takes what came; ValueError tells what could not be read."""


class Outbox:
    """What is still to be written to one connection. A peer that leaves more than `most` unread is cut."""

    def __init__(self, frames: dict[str, Frame], most: int) -> None:
        self.frames, self.most = frames, most
        self.parts: list[bytes] = []
        self.size = self.taken = 0  # bytes not yet written, and those of them that the writer has
        self.ready = anyio.Event()
        self.scope = anyio.CancelScope()
        self.closing = False
        self.ended = anyio.Event()  # the writing

    def put(self, message: tuple[Any, ...]) -> bool:
        """Whether there was room. Once it was cut for want of it, nothing more is taken."""
        if self.scope.cancel_called:
            return True
        data = self.frames[message[0]](*message[1:])
        self.parts.append(data)
        self.size += len(data)
        self.ready.set()
        return self.size <= self.most

    def close(self) -> None:
        self.closing = True
        self.ready.set()
        self.scope.deadline = min(self.scope.deadline, anyio.current_time() + CLOSE_S)

    async def take(self) -> bytes:
        """All that was put, once there is any or it is closed; what was taken before counts as written."""
        self.size -= self.taken
        await self.ready.wait()
        self.ready = anyio.Event()
        data = b"".join(self.parts)
        self.parts.clear()
        self.taken = len(data)
        return data

    async def write_to(self, stream: ByteStream) -> None:
        """Until it is closed and everything is written, or the connection is lost. Closing the stream ends
        the reading: to cancel it would cost as much as all else that a short connection needs."""
        try:
            while self.parts or not self.closing:
                if data := await self.take():
                    await stream.send(data)
            await stream.aclose()
        except Exception as error:
            if not isinstance(error, LOST):
                logger.error("writing failed: {!r}", error)
            await anyio.aclose_forcefully(stream)
        finally:
            self.ended.set()


async def carry(
    group: TaskGroup, stream: ByteStream, outbox: Outbox, talk: Callable[[], Awaitable[None]]
) -> Exception | None:
    """Writes what the outbox gets while `talk` reads; either ends both. Returns what it failed with."""
    group.start_soon(outbox.write_to, stream)
    try:
        with outbox.scope:
            await talk()
    except Exception as error:
        return error
    finally:
        outbox.closing = True
        outbox.ready.set()
        await anyio.aclose_forcefully(stream)
    return None


async def read(stream: ByteStream, reader: Reader, most: int = READ_MOST) -> None:
    """Until the other side ends its writing."""
    with suppress(anyio.EndOfStream):
        while True:
            reader.feed(await stream.receive(most))
