"""What is still to be written to one connection."""

import select
import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import ByteStream
from loguru import logger

CLOSE_TIMEOUT_S = (
    2.0  # to write what is left once a connection is closed, and for the peer to end it
)
# Between checks whether all that has arrived is delivered. By a timer, not by a turn of the loop: a
# timer's callbacks run after those of the reads before it, so that bytes are either with the reader
# or with the kernel.
CHECK_INTERVAL_S = 0.001

Encoders = Mapping[type, Callable[[Any], bytes]]  # by the type of the message


def has_unread_input(sock: socket.socket) -> bool:
    """Returns whether bytes, or the peer's end, wait to be received."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


class Outbox:
    """Encodes messages and writes them in order; a peer that leaves too much unread is cut.

    With its accepted socket it ends by a lingering close: our writing is shut down first, and the
    stream is closed once the peer has ended its own. A close over bytes that are not read would
    reset the connection, and answers that the peer has not taken yet would be lost.

    Args:
        encoders: How each type of message is written.
        max_unread_bytes: That the peer may leave unread.
        accepted: The socket, of a connection that a peer has dialled.
        on_input_read: Called once after each `check_input`, when all input is delivered.
        on_shut_down: Called once our writing is shut down, with a lingering close.
    """

    def __init__(
        self,
        encoders: Encoders,
        max_unread_bytes: int,
        accepted: socket.socket | None = None,
        on_input_read: Callable[[], None] = lambda: None,
        on_shut_down: Callable[["Outbox"], None] = lambda _: None,
    ) -> None:
        self.encoders = encoders
        self.max_unread_bytes = max_unread_bytes
        self.accepted = accepted
        self.on_input_read = on_input_read
        self.on_shut_down = on_shut_down
        self.parts: list[bytes] = []
        self.unwritten_bytes = 0
        self.taken_bytes = 0  # of those, what the writer has
        self.ready = anyio.Event()
        self.scope = anyio.CancelScope()
        self.closing = False
        self.checking_input = False
        self.feeding = False  # what was received is not all with the reader yet
        self.ended = anyio.Event()  # the writing

    def put(self, message: object) -> bool:
        """Takes a message, and returns whether there was room; after a cut takes nothing more."""
        if self.scope.cancel_called:
            return True
        data = self.encoders[type(message)](message)
        self.parts.append(data)
        self.unwritten_bytes += len(data)
        self.ready.set()
        return self.unwritten_bytes <= self.max_unread_bytes

    def check_input(self) -> None:
        """Has `on_input_read` called once everything that has arrived is with the reader."""
        self.checking_input = True
        self.ready.set()

    def close(self) -> None:
        """Ends the connection once all is written, or after some time."""
        self.closing = True
        self.ready.set()
        self.scope.deadline = min(self.scope.deadline, anyio.current_time() + CLOSE_TIMEOUT_S)

    async def take(self) -> bytes:
        """Waits for messages or the close, and returns all; those taken before count as written."""
        self.unwritten_bytes -= self.taken_bytes
        await self.ready.wait()
        self.ready = anyio.Event()
        data = b"".join(self.parts)
        self.parts.clear()
        self.taken_bytes = len(data)
        return data

    async def write_to(self, stream: ByteStream) -> None:
        """Writes until it is closed and everything is written, or the connection is lost.

        Without a lingering close, closing the stream ends the reading: to cancel it would cost as
        much as all else that a short connection needs.
        """
        try:
            while self.parts or not self.closing:
                if self.checking_input and not self.parts:
                    await self._check_input_once()
                elif data := await self.take():
                    await stream.send(data)
            self.unwritten_bytes = 0
            self.taken_bytes = 0
            await self._end_writing(stream)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await anyio.aclose_forcefully(stream)  # ended by the other side
        except Exception as error:  # noqa: BLE001 - a faulty writer ends its connection alone
            logger.error("writing failed: {!r}", error)
            await anyio.aclose_forcefully(stream)
        finally:
            self.ended.set()

    async def _end_writing(self, stream: ByteStream) -> None:
        if self.accepted is None:
            await stream.aclose()
            return
        # Not by the stream, which would do so in a later turn of its loop: what came in between
        # would have been taken for read.
        with suppress(OSError):  # reset by the peer, or closed
            self.accepted.shutdown(socket.SHUT_WR)
        self.on_shut_down(self)

    async def _check_input_once(self) -> None:
        """Calls back in the same step as the check, so that nothing arrives unseen in between."""
        await anyio.sleep(CHECK_INTERVAL_S)
        if not self.checking_input or self.feeding:
            return
        if self.accepted is None or not has_unread_input(self.accepted):
            self.checking_input = False
            self.on_input_read()
