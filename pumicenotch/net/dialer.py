"""Connections that this side dials, and the events when one is made or lost."""

from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio.abc import ByteStream, TaskGroup

from pumicenotch.net.connection import (
    LOST_ERRORS,
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
DIAL_TIMEOUT_S = 1.0  # on one machine or one network, a dial that takes longer does not succeed


class DialedProtocol(NamedTuple):
    """How messages to a party are written and its own are read."""

    encoders: Encoders
    make_reader: Callable[
        [Deliver, str], Reader
    ]  # from where its events go, and the connection's name
    max_unread_bytes: int  # that the party may leave unread


class Dialer:
    """Dials one party.

    A connection that was replaced delivers nothing more: what it still reads comes again on the
    next one, or has ended with it.

    Args:
        hub: Where events go.
        group: Runs the connections.
        address: Host and port of the party.
        protocol: What is spoken with it.
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
        """Dials another address from now on."""
        self.address = address

    def dial(self, name: str, delay_ms: float) -> None:
        """Starts a connection of that name; the answer is `ConnectionUp` or `ConnectionDown`."""
        scope = anyio.CancelScope()
        self.hub.closers[name] = scope.cancel  # of this dial, until it is a connection
        self.group.start_soon(self._run, name, delay_ms, scope)

    async def _run(self, name: str, delay_ms: float, scope: anyio.CancelScope) -> None:
        failure = ConnectionFailure(FailureReach.REFUSED, "dial timed out")
        stream: ByteStream | None = None
        with scope:
            await anyio.sleep(delay_ms / 1000.0)
            try:
                with anyio.move_on_after(DIAL_TIMEOUT_S):
                    stream = await anyio.connect_tcp(*self.address)
            except Exception as error:  # noqa: BLE001 - a wrong address is no OSError
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
            await self._carry(name, stream)

    async def _carry(self, name: str, stream: ByteStream) -> None:
        outbox = Outbox(self.protocol.encoders, self.protocol.max_unread_bytes)

        def deliver(event: object) -> None:
            if self.hub.outboxes.get(name) is outbox:
                self.hub.deliver(event)

        async def talk() -> None:
            self.hub.add(name, outbox)
            self.hub.deliver(ConnectionUp(name))
            await read_messages(stream, self.protocol.make_reader(deliver, name), outbox)

        error = await run_connection(self.group, stream, outbox, talk)
        if error is not None and not isinstance(error, LOST_ERRORS):
            self.hub.deliver(ProblemFound("links_unreadable", f"{name}: {error!r}"))
        if self.hub.remove(name, outbox):
            text = str(error or "") or "closed by the peer"
            failure = ConnectionFailure(FailureReach.BROKEN, text)
            self.hub.deliver(ConnectionDown(name, failure))
