"""What every connection does: one task reads and one writes, and the end of either ends both."""

import errno
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Protocol

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream, TaskGroup

from pumicenotch.net.outbox import Outbox

LOST_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)  # a connection ended by the other side
EXHAUSTED_ERRNOS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
)  # no descriptor, or no memory for one
MAX_READ_BYTES = 64 * 1024  # taken at once from a connection that this side dials
# That one receive can bring, above uvloop's buffer of 256,000: nothing of what has arrived stays in
# anyio's queue, where a close could not see it.
MAX_RECEIVE_BYTES = 1024 * 1024


class Reader(Protocol):
    """Makes events of the bytes of one connection."""

    def feed(self, data: bytes) -> None:
        """Takes what has arrived; raises ValueError for what cannot be read."""


def is_resource_exhausted(error: BaseException | None) -> bool:
    """Returns whether an error, or its cause, is a lack of resources on this side."""
    return error is not None and (
        getattr(error, "errno", None) in EXHAUSTED_ERRNOS or is_resource_exhausted(error.__cause__)
    )


async def run_connection(
    group: TaskGroup, stream: ByteStream, outbox: Outbox, talk: Callable[[], Awaitable[None]]
) -> Exception | None:
    """Writes what the outbox gets while `talk` reads; the end of either ends both, and the stream.

    Returns:
        The error that ended it, if any. Cancelling the outbox's scope ends it without one.
    """
    group.start_soon(outbox.write_to, stream)
    try:
        with outbox.scope:
            await talk()
    except Exception as error:  # noqa: BLE001 - whatever ends it is for the caller to judge
        return error
    finally:
        outbox.closing = True
        outbox.ready.set()
        await anyio.aclose_forcefully(stream)
    return None


async def read_messages(
    stream: ByteStream, reader: Reader, outbox: Outbox, max_bytes: int = MAX_READ_BYTES
) -> None:
    """Feeds the reader until the other side ends its writing.

    The reader gets up to `max_bytes` at once, and all other tasks have a turn after each part.

    Raises:
        ValueError: The reader could not read something.
    """
    with suppress(anyio.EndOfStream):
        while True:
            data = await stream.receive(MAX_RECEIVE_BYTES)
            if len(data) <= max_bytes:
                reader.feed(data)
                continue
            outbox.feeding = True
            for index in range(0, len(data), max_bytes):
                reader.feed(data[index : index + max_bytes])
                await anyio.lowlevel.checkpoint()
            outbox.feeding = False


async def discard(stream: ByteStream) -> None:
    """Drops what still arrives on a connection whose writing has ended, until the peer ends it."""
    with suppress(anyio.EndOfStream):
        while True:
            await stream.receive(MAX_RECEIVE_BYTES)
