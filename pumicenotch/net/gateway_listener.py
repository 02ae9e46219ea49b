"""Accepts connections from gateways and runs a reader task and a writer task for each of them.

The route server and the peer hub use the same listener with protocols of their own. Limits on
unread bytes and on lingering connections keep slow or silent peers from exhausting memory and
descriptors.
"""

import socket
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketAttribute, SocketListener, TaskGroup

from pumicenotch.net.bounded_stream import BoundedStream
from pumicenotch.net.connection import (
    LOST_ERRORS,
    Reader,
    discard,
    is_resource_exhausted,
    read_messages,
    run_connection,
)
from pumicenotch.net.gateways import ENCODERS, MAX_READ_BYTES, GatewayReader
from pumicenotch.net.hub import Hub
from pumicenotch.net.listening import BACKLOG
from pumicenotch.net.outbox import Encoders, Outbox
from pumicenotch.server.events import (
    ConnectionEnded,
    ConnectionOpened,
    ConnectionReset,
    ListenerClosed,
    ProblemFound,
    ProtocolViolated,
    ReadingFinished,
)

# How long connections are still accepted after a close request. Connection attempts within one
# network complete sooner.
FINAL_ACCEPT_WINDOW_S = 0.02
# Bounds of one gateway's share of the unread bytes allowed for all gateways: from eight full
# responses for a stalled gateway up to the 32 responses that one connection may have outstanding.
# The kernel's socket buffers hold about the same amount before any byte counts as unread here.
MIN_UNREAD_BYTES = 32 * 1024
MAX_UNREAD_BYTES = 192 * 1024
# Delay after a failed accept. When descriptors are exhausted, some are usually released soon.
ACCEPT_RETRY_S = 0.05
# Connections accepted per turn of the event loop, so that a full backlog does not delay requests on
# established connections.
MAX_ACCEPTS_PER_TURN = 16
# Maximum number of lingering connections, whose write side is shut down here while the peer has not
# closed its own side. The core no longer counts their descriptors and leaves twice this number free
# for them. Beyond the limit the oldest one is closed; all its responses are already written.
MAX_LINGERING = 16
# Maximum number of lingering connections for EXHAUSTED_PERIOD_S after descriptors were exhausted.
MAX_LINGERING_EXHAUSTED = 2
EXHAUSTED_PERIOD_S = 5.0
# How long the exit waits for peers to close their side after the last responses are written. One
# round trip fits into this time.
PEER_CLOSE_TIMEOUT_S = 0.02
WRITE_CHECK_INTERVAL_S = 0.002  # Interval between checks for unwritten responses during the exit.
FINAL_ACCEPT_ATTEMPTS = 4  # Accept attempts before the listener closes when descriptors run short.

MakeReader = Callable[[Any, int], Reader]  # Arguments: the hub and the connection id.


def unread_bytes_per_gateway(total_bytes: int, max_gateways: int) -> int:
    """Returns how many bytes one gateway may leave unread when all gateways share `total_bytes`."""
    return max(MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, total_bytes // max_gateways))


class AcceptedProtocol(NamedTuple):
    """The encoders and the reader factory for accepted connections."""

    encoders: Encoders
    make_reader: MakeReader


GATEWAY_PROTOCOL = AcceptedProtocol(ENCODERS, GatewayReader)


class GatewayListener:
    """Owns the accepted connections of one listening socket.

    Args:
        hub: Receives the events of the connections.
        max_unread_bytes: Bytes that one peer may leave unread before its connection is closed.
        protocol: The protocol of the accepted connections; the gateways' protocol by default.
    """

    def __init__(
        self,
        hub: Hub[Any],
        max_unread_bytes: int,
        protocol: AcceptedProtocol = GATEWAY_PROTOCOL,
    ) -> None:
        self.hub = hub
        self.max_unread_bytes = max_unread_bytes
        self.protocol = protocol
        self.next_ids = count(1)
        self.accept_scope = anyio.CancelScope()  # Cancelled to stop accepting connections.
        self.outboxes: set[Outbox] = set()
        self.lingering: dict[Outbox, None] = {}  # Ordered set, oldest first.
        self.connection_count = 0  # Accepted connections that have not ended.
        self.exhausted_until_s = 0.0  # Event loop time.
        self.accepting = True
        self.all_ended = anyio.Event()  # Set once accepting stopped and every connection ended.
        hub.descriptor_releasers.append(self.release_descriptors)

    async def accept(self, listener: SocketListener, group: TaskGroup) -> None:
        """Accepts connections and runs them in the task group until `accept_scope` is cancelled.

        Accepting continues for a short time after the cancellation. Closing the listener at once
        would reset connections that wait in the backlog and lose the requests sent on them.
        """
        raw = listener.extra(SocketAttribute.raw_socket)
        with self.accept_scope:
            await self._accept_forever(raw, group)
        with anyio.move_on_after(FINAL_ACCEPT_WINDOW_S):
            await self._accept_forever(raw, group)
        for _ in range(FINAL_ACCEPT_ATTEMPTS):
            if self._accept_waiting(raw, group, 2 * BACKLOG):
                break
            await anyio.sleep(ACCEPT_RETRY_S)
        raw.close()  # No await since the last accept, so no connection can arrive in between.
        await listener.aclose()
        self.accepting = False
        self.hub.deliver(ListenerClosed())
        self._check_all_ended()

    async def finish(self, timeout_s: float) -> None:
        """Waits until all responses are written, then briefly until the peers close their side.

        Called after the core's exit. Both waits together take at most `timeout_s`.
        """
        with anyio.move_on_after(timeout_s):
            while not self._all_written():  # noqa: ASYNC110 - only during the exit
                await anyio.sleep(WRITE_CHECK_INTERVAL_S)
            with anyio.move_on_after(PEER_CLOSE_TIMEOUT_S):
                await self.all_ended.wait()

    def release_descriptors(self) -> None:
        """Closes all lingering connections; called when descriptors are exhausted."""
        self.exhausted_until_s = anyio.current_time() + EXHAUSTED_PERIOD_S
        for outbox in self.lingering:
            outbox.scope.cancel()

    async def _accept_forever(self, raw: socket.socket, group: TaskGroup) -> None:
        """Accepts until cancelled. No cancellation drops a connection that was accepted."""
        while True:
            await anyio.wait_readable(raw)
            accepted_all = self._accept_waiting(raw, group, MAX_ACCEPTS_PER_TURN)
            await anyio.sleep(0.0 if accepted_all else ACCEPT_RETRY_S)

    def _accept_waiting(self, raw: socket.socket, group: TaskGroup, max_accepts: int) -> bool:
        """Accepts up to `max_accepts` waiting connections; returns False if an accept failed."""
        for _ in range(max_accepts):
            try:
                sock, _ = raw.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue  # The peer reset the connection before it was accepted.
            except OSError as error:
                self.hub.deliver(ProblemFound("accepts_failed", f"accept: {error}"))
                if is_resource_exhausted(error):
                    self.hub.on_descriptors_exhausted()
                return False
            self.connection_count += 1
            group.start_soon(self._serve, sock, group)
        return True

    async def _serve(self, sock: socket.socket, group: TaskGroup) -> None:
        try:
            sock.setblocking(False)
            try:
                stream = await BoundedStream.accept(sock, MAX_READ_BYTES)
            except (OSError, ValueError) as error:  # Reset by the peer after the accept.
                sock.close()
                self.hub.deliver(ProblemFound("accepts_reset", f"accept: {error}"))
                return
            await self._run_accepted(sock, stream, group)
        finally:
            self.connection_count -= 1
            self._check_all_ended()

    async def _run_accepted(
        self, sock: socket.socket, stream: BoundedStream, group: TaskGroup
    ) -> None:
        connection_id = next(self.next_ids)
        outbox = Outbox(
            self.protocol.encoders,
            self.max_unread_bytes,
            sock,
            lambda: self.hub.deliver(ReadingFinished(connection_id)),
            self._linger,
        )

        async def handle_input() -> None:
            self.hub.add(connection_id, outbox)
            self.hub.deliver(ConnectionOpened(connection_id))
            await self._read(stream, connection_id, outbox)
            await outbox.ended.wait()  # Outstanding responses are written until the core closes it.
            await discard(stream)

        self.outboxes.add(outbox)
        try:
            error = await run_connection(group, stream, outbox, handle_input)
            if error is not None and not isinstance(error, LOST_ERRORS):
                text = f"connection {connection_id}: {error!r}"
                self.hub.deliver(ProblemFound("connections_failed", text))
        finally:
            self.outboxes.discard(outbox)
            self.lingering.pop(outbox, None)
            self.hub.remove(connection_id, outbox)
            self.hub.deliver(ConnectionReset(connection_id))

    async def _read(self, stream: BoundedStream, connection_id: int, outbox: Outbox) -> None:
        """Reads until the peer shuts down its write side or sends an invalid message."""
        try:
            reader = self.protocol.make_reader(self.hub, connection_id)
            await read_messages(stream, reader, outbox, MAX_READ_BYTES)
        except ValueError as error:
            self.hub.deliver(ProtocolViolated(connection_id, "connections_misframed", str(error)))
        outbox.checking_input = False
        self.hub.deliver(ConnectionEnded(connection_id))

    def _linger(self, outbox: Outbox) -> None:
        """Registers a lingering connection and closes the oldest one over the limit.

        The registered connection ends when the peer closes its side or the close times out.
        """
        self.lingering[outbox] = None
        exhausted = anyio.current_time() <= self.exhausted_until_s
        max_lingering = MAX_LINGERING_EXHAUSTED if exhausted else MAX_LINGERING
        if len(self.lingering) > max_lingering:
            next(iter(self.lingering)).scope.cancel()

    def _all_written(self) -> bool:
        if self.accepting or len(self.outboxes) < self.connection_count:
            return False
        return all(outbox.is_shut_down or outbox.ended.is_set() for outbox in self.outboxes)

    def _check_all_ended(self) -> None:
        if not self.accepting and not self.connection_count:
            self.all_ended.set()
