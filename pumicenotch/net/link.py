"""What every connection has: one reader, one outbox with one writer, a stream whose close ends both."""

import errno
import select
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream, TaskGroup
from loguru import logger

LOST = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)  # a connection ended by the other side
SCARCE = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # no descriptor, or no memory for one
READ_MOST = 64 * 1024  # bytes taken at once from a peer of our own
# Bytes that one receive can bring, above uvloop's buffer of 256,000: nothing of what has come stays in
# anyio's queue, where a close could not see it.
RECEIVE_MOST = 1024 * 1024
CLOSE_S = 2.0  # for what is still to be written once a connection is closed, and for the peer to end it too
# Between looks whether all that has come is read. By a timer, not by a turn of the loop: a timer's callbacks
# run after those of the reads before it, so that bytes are either with the reader or with the kernel.
LOOK_S = 0.001

Frame = Callable[..., bytes]


class Reader(Protocol):
    def feed(self, data: bytes) -> None:
        """Takes what came; ValueError tells what could not be read."""


def scarce(error: BaseException | None) -> bool:
    """Whether it failed for want of something on this side, as a dial tells by its cause."""
    return error is not None and (
        getattr(error, "errno", None) in SCARCE or scarce(error.__cause__)
    )


class Outbox:
    """What is still to be written to one connection. A peer that leaves more than `most` unread is cut.

    One that has its accepted socket ends by a lingering close: our writing is shut down first, and the stream
    is closed once the peer has ended its own. A close over bytes not read would reset the connection, and
    answers that the peer has not taken yet would be gone with it.
    """

    def __init__(
        self,
        frames: dict[str, Frame],
        most: int,
        accepted: socket.socket | None = None,
        read_out: Callable[[], None] = lambda: None,
        shut: Callable[["Outbox"], None] = lambda _: None,
    ) -> None:
        """`read_out` is called once after each `look`, `shut` once our writing is shut down."""
        self.frames, self.most, self.accepted = frames, most, accepted
        self.read_out, self.shut = read_out, shut
        self.parts: list[bytes] = []
        self.size = self.taken = 0  # bytes not yet written, and those of them that the writer has
        self.ready = anyio.Event()
        self.scope = anyio.CancelScope()
        self.closing = self.looking = False
        self.feeding = False  # what was received is not all with the reader yet
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

    def look(self) -> None:
        """Has `read_out` called once all that has come is with the reader."""
        self.looking = True
        self.ready.set()

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
        """Until it is closed and everything is written, or the connection is lost. Without a lingering close,
        closing the stream ends the reading: to cancel it would cost as much as all else that a short
        connection needs.
        """
        try:
            while self.parts or not self.closing:
                if self.looking and not self.parts:
                    await self.look_once()
                elif data := await self.take():
                    await stream.send(data)
            self.size = self.taken = 0
            if self.accepted is None:
                await stream.aclose()
            else:
                # Not by the stream, which would do so in a later turn of its loop: what came in between
                # would have been taken for read.
                with suppress(OSError):  # reset by the peer, or closed
                    self.accepted.shutdown(socket.SHUT_WR)
                self.shut(self)
        except Exception as error:
            if not isinstance(error, LOST):
                logger.error("writing failed: {!r}", error)
            await anyio.aclose_forcefully(stream)
        finally:
            self.ended.set()

    async def look_once(self) -> None:
        """Whoever is told decides in the same step whether to close: nothing comes in between unseen."""
        await anyio.sleep(LOOK_S)
        if self.looking and not self.feeding and not (self.accepted and unread(self.accepted)):
            self.looking = False
            self.read_out()


def unread(sock: socket.socket) -> bool:
    """Whether bytes, or the peer's end, wait to be received."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


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


async def read(stream: ByteStream, reader: Reader, outbox: Outbox, most: int = READ_MOST) -> None:
    """Until the other side ends its writing. The reader gets up to `most` bytes at once, and all others a
    turn after each.
    """
    with suppress(anyio.EndOfStream):
        while True:
            data = await stream.receive(RECEIVE_MOST)
            if len(data) <= most:
                reader.feed(data)
                continue
            outbox.feeding = True
            for at in range(0, len(data), most):
                reader.feed(data[at : at + most])
                await anyio.sleep(0)
            outbox.feeding = False


async def discard(stream: ByteStream) -> None:
    """What still comes on a connection whose writing has ended, to the peer's own end."""
    with suppress(anyio.EndOfStream):
        while True:
            await stream.receive(RECEIVE_MOST)
