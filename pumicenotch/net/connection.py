"""Functions shared by all connections, accepted and dialed.

Each connection has a reader task and a writer task. When either ends, both end.
"""

import errno
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream, TaskGroup

from pumicenotch.net.outbox import Outbox
from pumicenotch.net.unread_input import is_reset

# Errors of a connection that the peer closed or reset.
LOST_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)
# No descriptor is available, or no memory for one.
EXHAUSTED_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)
MAX_READ_BYTES = 64 * 1024  # Bytes passed to the reader of a dialed connection at once.


class Reader(Protocol):
    """Decodes the bytes of one connection into events."""

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes, up to one turn's share.

        Returns:
            Whether `feed(b"")` may decode more in a later turn of the event loop.

        Raises:
            ValueError: The bytes violate the protocol.
        """


def is_resource_exhausted(error: BaseException | None) -> bool:
    """Returns whether an error or its cause is a shortage of descriptors or memory here."""
    return error is not None and (
        getattr(error, "errno", None) in EXHAUSTED_ERRNOS or is_resource_exhausted(error.__cause__)
    )


async def run_connection(
    group: TaskGroup,
    stream: ByteStream,
    outbox: Outbox,
    handle_input: Callable[[], Awaitable[None]],
) -> Exception | None:
    """Writes the outbox's messages while `handle_input` reads, until either of them ends.

    The stream is closed afterwards.

    Returns:
        The error that ended the connection, or None. Cancelling the outbox's scope ends the
        connection without an error.
    """
    group.start_soon(outbox.write_to, stream)
    try:
        with outbox.scope:
            await handle_input()
    except Exception as error:  # noqa: BLE001 - the caller handles every error
        return error
    finally:
        outbox.closing = True
        outbox.ready.set()
        await anyio.aclose_forcefully(stream)
    return None


async def read_messages(
    stream: ByteStream, reader: Reader, outbox: Outbox, max_bytes: int = MAX_READ_BYTES
) -> None:
    """Feeds the reader until the peer shuts down its write side.

    The reader gets at most `max_bytes` at once, and other tasks run in between.

    Raises:
        ValueError: The received bytes violate the protocol.
        anyio.BrokenResourceError: The connection is lost. What an accepted connection received
            before its reset is dropped, because nobody waits for an answer.
    """
    with suppress(anyio.EndOfStream):
        while True:
            data = await stream.receive(max_bytes)
            await _feed_in_turns(reader, data, outbox)
            outbox.fed_bytes += len(data)
            outbox.finish_reading_if_done()


async def _feed_in_turns(reader: Reader, data: bytes, outbox: Outbox) -> None:
    outbox.feeding = True
    is_unfinished = True
    while is_unfinished:
        if outbox.accepted_socket is not None and is_reset(outbox.accepted_socket):
            raise anyio.BrokenResourceError
        is_unfinished = reader.feed(data)
        data = b""
        if is_unfinished:
            await anyio.lowlevel.checkpoint()
    outbox.feeding = False


async def discard(stream: ByteStream) -> None:
    """Discards received bytes until the peer shuts down its write side.

    Called once the write side of the connection is shut down here.
    """
    with suppress(anyio.EndOfStream):
        while True:
            await stream.receive()
