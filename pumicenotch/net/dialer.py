"""Dials connections to other processes, such as the worker pool, the database and peers.

Reports to the hub when a connection is established or lost.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup

from pumicenotch.net.bounded_stream import BoundedStream
from pumicenotch.net.connection import (
    LOST_ERRORS,
    MAX_READ_BYTES,
    Reader,
    is_resource_exhausted,
    read_messages,
    run_connection,
)
from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Encoders, Outbox
from pumicenotch.server.events import (
    ConnectionDown,
    ConnectionFailure,
    ConnectionUp,
    FailureReach,
    ProblemFound,
)

Deliver = Callable[[object], None]
# A connection attempt on one machine or within one network that takes longer does not succeed.
DIAL_TIMEOUT_S = 1.0


class DialedProtocol(NamedTuple):
    """The encoders, the reader factory and the write limit for connections to one party."""

    encoders: Encoders
    # Arguments: the receiver of the reader's events and the connection's name.
    make_reader: Callable[[Deliver, str], Reader]
    max_unread_bytes: int  # Bytes that the party may leave unread.


class Dialer:
    """Dials one party and runs the established connections.

    A replaced connection delivers no more events. The party sends its notices again on the next
    connection, and calls on the replaced connection have ended with it.

    Args:
        hub: Receives the events of the connections.
        group: Runs the connections.
        address: Host and port of the party.
        protocol: The protocol of the party.
    """

    def __init__(
        self,
        hub: Hub[Any],
        group: TaskGroup,
        address: tuple[str, int],
        protocol: DialedProtocol,
    ) -> None:
        self.hub = hub
        self.group = group
        self.address = address
        self.protocol = protocol

    def change_address(self, address: tuple[str, int]) -> None:
        """Sets the address for subsequent dials; established connections stay open."""
        self.address = address

    def dial(self, name: str, delay_ms: float) -> None:
        """Starts dialing a connection after a delay.

        The hub receives `ConnectionUp` or `ConnectionDown` with the connection's name.
        """
        scope = anyio.CancelScope()
        self.hub.closers[name] = scope.cancel  # Cancels a dial in progress.
        self.group.start_soon(self._run, name, delay_ms, scope)

    async def _run(self, name: str, delay_ms: float, scope: anyio.CancelScope) -> None:
        failure = ConnectionFailure(FailureReach.REFUSED, "dial timed out")
        stream: ByteStream | None = None
        with scope:
            await anyio.sleep(delay_ms / 1000.0)
            try:
                with anyio.move_on_after(DIAL_TIMEOUT_S):
                    stream = await BoundedStream.connect(*self.address, MAX_READ_BYTES)
            except Exception as error:  # noqa: BLE001 - an invalid address raises other types than OSError
                failure = ConnectionFailure(FailureReach.REFUSED, str(error.__cause__ or error))
                if is_resource_exhausted(error):
                    self.hub.on_descriptors_exhausted()
        if scope.cancel_called:
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            return
        del self.hub.closers[name]
        if stream is None:
            self.hub.deliver(ConnectionDown(name, failure))
        else:
            await self._run_established(name, stream)

    async def _run_established(self, name: str, stream: ByteStream) -> None:
        outbox = Outbox(self.protocol.encoders, self.protocol.max_unread_bytes)

        def deliver(event: object) -> None:
            if self.hub.outboxes.get(name) is outbox:
                self.hub.deliver(event)

        async def handle_input() -> None:
            self.hub.add(name, outbox)
            self.hub.deliver(ConnectionUp(name))
            await read_messages(stream, self.protocol.make_reader(deliver, name), outbox)

        error = await run_connection(self.group, stream, outbox, handle_input)
        if error is not None and not isinstance(error, LOST_ERRORS):
            self.hub.deliver(ProblemFound("links_unreadable", f"{name}: {error!r}"))
        if self.hub.remove(name, outbox):
            text = str(error or "") or "closed by the peer"
            failure = ConnectionFailure(FailureReach.BROKEN, text)
            self.hub.deliver(ConnectionDown(name, failure))
