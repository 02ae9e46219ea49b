"""A TCP connection that holds no more received bytes than its reader takes at once.

The streams of anyio read on while their reader works, so a peer at full speed decides how many
bytes wait in the process. Here the kernel holds what the reader has not asked for, and the peer
waits.
"""

import asyncio
import socket
from typing import Self, cast

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream

# All connections read into this buffer: a read and the copy of its bytes are one step of the loop.
MAX_READ_BYTES = 64 * 1024
_read_buffer = memoryview(bytearray(MAX_READ_BYTES))


class _BoundedProtocol(asyncio.BufferedProtocol):
    """Holds up to `max_bytes` received bytes, and stops reading there.

    Args:
        max_bytes: The most bytes that are held.
    """

    transport: asyncio.Transport

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.received = bytearray()
        self.is_paused = False
        self.has_ended = False  # The peer has shut down its write side, or the connection is lost.
        self.error: Exception | None = None
        self.readable = asyncio.Event()  # Set while there are bytes, and at the end.
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass of it
        self.transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _read_buffer[: self.max_bytes - len(self.received)]

    def buffer_updated(self, nbytes: int) -> None:
        self.received += _read_buffer[:nbytes]
        if len(self.received) >= self.max_bytes:
            self.is_paused = True
            self.transport.pause_reading()
        self.readable.set()

    def eof_received(self) -> bool:
        self.has_ended = True
        self.readable.set()
        return True  # The write side stays open.

    def connection_lost(self, exc: Exception | None) -> None:
        self.error = exc
        self.has_ended = True
        self.readable.set()
        self.writable.set()

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()


class BoundedStream(ByteStream):
    """A connected TCP socket, made by `accept` or `connect`, with a limit on unread bytes."""

    def __init__(self, protocol: _BoundedProtocol) -> None:
        self._protocol = protocol
        self._transport = protocol.transport
        self._closed = False

    @classmethod
    async def accept(cls, sock: socket.socket, max_bytes: int) -> Self:
        """Takes over an accepted socket.

        Args:
            sock: The socket, which does not block.
            max_bytes: The most received bytes that are held.

        Raises:
            OSError: The peer has reset the connection.
        """
        loop = asyncio.get_running_loop()
        _, protocol = await loop.connect_accepted_socket(lambda: _BoundedProtocol(max_bytes), sock)
        return cls(protocol)

    @classmethod
    async def connect(cls, host: str, port: int, max_bytes: int) -> Self:
        """Connects to an address; at most `max_bytes` received bytes are held.

        Raises:
            OSError: The connection is refused, or the address is invalid.
        """
        loop = asyncio.get_running_loop()
        _, protocol = await loop.create_connection(lambda: _BoundedProtocol(max_bytes), host, port)
        return cls(protocol)

    async def receive(self, max_bytes: int = MAX_READ_BYTES) -> bytes:
        """Waits for received bytes and returns up to `max_bytes` of them.

        Other tasks run before it returns, also while the peer sends at full speed.

        Raises:
            anyio.EndOfStream: The peer has shut down its write side.
            anyio.BrokenResourceError: The connection is lost.
            anyio.ClosedResourceError: The stream is closed.
        """
        protocol = self._protocol
        if protocol.received or protocol.has_ended:
            await anyio.lowlevel.checkpoint()
        else:
            self._resume_reading()
            await protocol.readable.wait()
        if not protocol.received:
            self._raise_if_lost()
            raise anyio.EndOfStream
        data = bytes(protocol.received[:max_bytes])
        del protocol.received[:max_bytes]
        if not protocol.received and not protocol.has_ended:
            protocol.readable.clear()
        return data

    async def send(self, item: bytes) -> None:
        """Writes all bytes; returns once the kernel has taken them.

        Raises:
            anyio.BrokenResourceError: The connection is lost.
            anyio.ClosedResourceError: The stream is closed.
        """
        protocol = self._protocol
        await protocol.writable.wait()
        self._raise_if_lost()
        if self._transport.is_closing():
            raise anyio.BrokenResourceError
        self._transport.write(item)
        if protocol.writable.is_set():
            await anyio.lowlevel.cancel_shielded_checkpoint()
        else:
            await protocol.writable.wait()
            self._raise_if_lost()

    async def send_eof(self) -> None:
        """Shuts down the write side."""
        self._transport.write_eof()

    async def aclose(self) -> None:
        """Closes the connection; what the kernel has not taken is dropped."""
        self._closed = True
        self._transport.abort()
        await anyio.lowlevel.checkpoint()

    def _resume_reading(self) -> None:
        if self._protocol.is_paused and not self._transport.is_closing():
            self._protocol.is_paused = False
            self._transport.resume_reading()

    def _raise_if_lost(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError
        if self._protocol.error is not None:
            raise anyio.BrokenResourceError from self._protocol.error
