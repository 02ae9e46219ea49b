"""The write queue of one connection, with a limit on bytes that the peer leaves unread."""

import socket
from collections.abc import Callable, Mapping
from contextlib import suppress
from typing import Any

import anyio
from anyio.abc import ByteStream
from loguru import logger

from pumicenotch.net.unread_input import has_unread_input, received_byte_count

# Time after a close to write the remaining data and for the peer to close its side.
CLOSE_TIMEOUT_S = 2.0
# Interval between checks for undelivered input. The check uses a timer instead of a turn of the
# event loop: timer callbacks run after the callbacks of earlier reads, so that received bytes are
# either with the reader or still in the kernel.
CHECK_INTERVAL_S = 0.001

Encoders = Mapping[type, Callable[[Any], bytes]]  # By message type.


class Outbox:
    """Encodes messages and writes them in order.

    The caller closes the connection of a peer that exceeds the limit on unread bytes.

    An accepted connection ends with a lingering close: the write side is shut down first, and the
    stream is closed once the peer has shut down its own write side. Closing a socket with unread
    input resets the connection, and responses that the peer has not yet received would be lost.

    Args:
        encoders: The encoder of each message type.
        max_unread_bytes: Bytes that the peer may leave unread.
        accepted_socket: The socket of an accepted connection; None for a dialed one.
        on_input_read: Called once after each `check_input`, when all input is delivered.
        on_shut_down: Called in a lingering close once the write side is shut down.
    """

    def __init__(
        self,
        encoders: Encoders,
        max_unread_bytes: int,
        accepted_socket: socket.socket | None = None,
        on_input_read: Callable[[], None] = lambda: None,
        on_shut_down: Callable[["Outbox"], None] = lambda _: None,
    ) -> None:
        self.encoders = encoders
        self.max_unread_bytes = max_unread_bytes
        self.accepted_socket = accepted_socket
        self.on_input_read = on_input_read
        self.on_shut_down = on_shut_down
        self.parts: list[bytes] = []
        self.unwritten_bytes = 0
        self.taken_bytes = 0  # The part of the unwritten bytes that the writer has taken.
        self.ready = anyio.Event()
        self.scope = anyio.CancelScope()
        self.closing = False
        self.checking_input = False
        self.feeding = False  # Whether received bytes are still being passed to the reader.
        self.fed_bytes = 0  # Bytes that the reader has been given.
        self.sending = False  # Whether the stream still has data to write.
        self.is_shut_down = False  # Whether the write side is shut down.
        self.ended = anyio.Event()  # Set when writing has ended.

    def put(self, message: object) -> bool:
        """Queues a message; returns False if the unread bytes exceed the limit.

        Messages for a cancelled connection are dropped.
        """
        if self.scope.cancel_called:
            return True
        data = self.encoders[type(message)](message)
        self.parts.append(data)
        self.unwritten_bytes += len(data)
        self.ready.set()
        return self.unwritten_bytes <= self.max_unread_bytes

    def check_input(self) -> None:
        """Requests a call of `on_input_read` once all received bytes are with the reader."""
        self.checking_input = True
        self.ready.set()

    def finish_reading_if_done(self) -> None:
        """Completes `check_input` without waiting for the event loop, if that is possible.

        The data is written, the input checked and the write side shut down within one step of the
        program. On a crowded core, a turn of the event loop takes so long that a peer that sends
        continuously always has new input in the next turn.
        """
        if not self.checking_input or self.feeding or self.sending or self.accepted_socket is None:
            return
        if self.parts and not self._write_at_once(self.accepted_socket):
            return
        if received_byte_count(self.accepted_socket) != self.fed_bytes:
            return
        self.checking_input = False
        self.on_input_read()
        if self.closing and not self.parts:
            self._shut_down(self.accepted_socket)

    def _write_at_once(self, sock: socket.socket) -> bool:
        """Writes queued data as far as the kernel takes it; returns whether it took all of it."""
        data = b"".join(self.parts)
        try:
            written_bytes = sock.send(data)
        except OSError:  # The kernel takes no more, or the connection is lost.
            return False
        self.unwritten_bytes -= written_bytes
        self.parts[:] = [data[written_bytes:]] if written_bytes < len(data) else []
        return not self.parts

    def close(self) -> None:
        """Closes the connection once all data is written, or after `CLOSE_TIMEOUT_S`."""
        self.closing = True
        self.ready.set()
        self.scope.deadline = min(self.scope.deadline, anyio.current_time() + CLOSE_TIMEOUT_S)

    async def take(self) -> bytes:
        """Waits for messages or a close and returns all queued data.

        Data returned by the previous call counts as written.
        """
        self.unwritten_bytes -= self.taken_bytes
        await self.ready.wait()
        self.ready = anyio.Event()
        data = b"".join(self.parts)
        self.parts.clear()
        self.taken_bytes = len(data)
        return data

    async def write_to(self, stream: ByteStream) -> None:
        """Writes until the outbox is closed and fully written, or the connection is lost.

        On a dialed connection, closing the stream ends the reader task. Cancelling the task instead
        would cost as much as all other work of a short connection.
        """
        try:
            while self.parts or not self.closing:
                if self.checking_input and not self.parts:
                    await self._check_input_once()
                elif data := await self.take():
                    self.sending = True
                    await stream.send(data)
                    self.sending = False
                    self.finish_reading_if_done()
            self.unwritten_bytes = 0
            self.taken_bytes = 0
            await self._end_writing(stream)
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await anyio.aclose_forcefully(stream)  # Closed or reset by the peer.
        except Exception as error:  # noqa: BLE001 - a faulty writer ends only its own connection
            logger.error("connection closed: writing failed: {!r}", error)
            await anyio.aclose_forcefully(stream)
        finally:
            self.ended.set()

    async def _end_writing(self, stream: ByteStream) -> None:
        if self.accepted_socket is None:
            await stream.aclose()
            return
        self._shut_down(self.accepted_socket)

    def _shut_down(self, sock: socket.socket) -> None:
        # The stream would shut the socket down in a later turn of the event loop. Input arriving in
        # between would be treated as read.
        if self.is_shut_down:
            return
        self.is_shut_down = True
        with suppress(OSError):  # Reset by the peer, or already closed.
            sock.shutdown(socket.SHUT_WR)
        self.on_shut_down(self)

    async def _check_input_once(self) -> None:
        """Calls `on_input_read` if all received bytes are with the reader and all data is written.

        No await separates the check, the call and the shutdown of the write side, so that no input
        arrives in between.
        """
        await anyio.sleep(CHECK_INTERVAL_S)
        if not self.checking_input or self.feeding or self.parts:
            return
        if self.accepted_socket is None or not has_unread_input(self.accepted_socket):
            self.checking_input = False
            self.on_input_read()
