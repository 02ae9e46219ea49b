"""Accepts gateways' connections, and carries each with a reader and a writer of its own."""

import socket
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

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
from pumicenotch.net.outbox import Encoders, Outbox
from pumicenotch.server.events import (
    ConnectionEnded,
    ConnectionOpened,
    ConnectionReset,
    ProblemFound,
    ProtocolViolated,
    ReadingFinished,
)

BACKLOG = 1024  # every gateway may connect at once after a start
# Without a new connection before the listener is closed: dials on one network take less.
LAST_ACCEPT_S = 0.02
# What one gateway may leave unread is its part of what all may, from eight full answers for one
# that stands still to the 32 that a connection may have open. The kernel holds as much again before
# any of it counts.
MIN_UNREAD_BYTES = 32 * 1024
MAX_UNREAD_BYTES = 192 * 1024
ACCEPT_RETRY_S = 0.05  # after a failed accept: out of descriptors, some come back soon
# Connections taken before all else gets a turn: a full backlog keeps no request waiting for long.
ACCEPTS_AT_ONCE = 16
# Shut down on our side while the peers do not end theirs: descriptors that the core counts no more.
# Beyond so many, half of what it leaves free for such, the oldest is closed: all that it was owed
# is written.
MAX_LINGERING = 16
# Instead of that for some time after descriptors ran out.
MAX_LINGERING_EXHAUSTED = 2
EXHAUSTED_S = 5.0
# For the peers' own ends once the last answers are written, before the process ends: one round
# trip.
PEER_END_S = 0.02
FINISH_INTERVAL_S = 0.002  # between checks whether all is written
LAST_ACCEPT_ATTEMPTS = 4  # where descriptors are short

MakeReader = Callable[[Any, int], Reader]  # from the hub and the connection's id


def unread_bytes_per_gateway(total_bytes: int, max_gateways: int) -> int:
    """Returns what one gateway may leave unread, of so much for so many of them."""
    return max(MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, total_bytes // max_gateways))


class AcceptedProtocol(NamedTuple):
    """How messages to those that connect are written, and their own are read."""

    encoders: Encoders
    make_reader: MakeReader


GATEWAY_PROTOCOL = AcceptedProtocol(ENCODERS, GatewayReader)


class GatewayListener:
    """Carries whoever connects to this process: gateways, or those that speak another protocol.

    Args:
        hub: Where events go.
        max_unread_bytes: That one peer may leave unread.
        protocol: What is spoken with them.
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
        self.closing = anyio.CancelScope()  # cancelled to stop accepting
        self.outboxes: set[Outbox] = set()
        self.lingering: dict[Outbox, None] = {}  # shut down on our side, oldest first
        self.carried_count = 0  # accepted and not ended
        self.exhausted_until = 0.0
        self.accepting = True
        self.all_ended = anyio.Event()  # nothing is accepted any more, and all that was has ended
        hub.descriptor_releasers.append(self.release_descriptors)

    async def accept(self, listener: SocketListener, group: TaskGroup) -> None:
        """Accepts connections and carries them in the group until `closing` is cancelled.

        The listener is closed some time later: at once, those that have connected but are not
        accepted yet would be cut with what they sent.
        """
        raw = listener.extra(SocketAttribute.raw_socket)
        with self.closing:
            await self._accept_forever(raw, group)
        with anyio.move_on_after(LAST_ACCEPT_S):
            await self._accept_forever(raw, group)
        for _ in range(LAST_ACCEPT_ATTEMPTS):
            if self._accept_waiting(raw, group, 2 * BACKLOG):
                break
            await anyio.sleep(ACCEPT_RETRY_S)
        raw.close()  # in the same step as the last accept: nothing comes in between
        await listener.aclose()
        self.accepting = False
        self._check_all_ended()

    async def finish(self, timeout_s: float) -> None:
        """Waits until all answers are written, then for the peers' own ends.

        Called after the core's exit; all of it takes no longer than the timeout.
        """
        with anyio.move_on_after(timeout_s):
            while not self._all_written():  # noqa: ASYNC110 - at the exit alone
                await anyio.sleep(FINISH_INTERVAL_S)
            with anyio.move_on_after(PEER_END_S):
                await self.all_ended.wait()

    def release_descriptors(self) -> None:
        """Closes all connections that only wait for the peer's end."""
        self.exhausted_until = anyio.current_time() + EXHAUSTED_S
        for outbox in self.lingering:
            outbox.scope.cancel()

    async def _accept_forever(self, raw: socket.socket, group: TaskGroup) -> None:
        """Accepts until cancelled; a connection that was accepted is always carried."""
        while True:
            await anyio.wait_readable(raw)
            accepted_all = self._accept_waiting(raw, group, ACCEPTS_AT_ONCE)
            await anyio.sleep(0.0 if accepted_all else ACCEPT_RETRY_S)

    def _accept_waiting(self, raw: socket.socket, group: TaskGroup, max_accepts: int) -> bool:
        """Returns whether no accept failed for want of something on this side."""
        for _ in range(max_accepts):
            try:
                sock, _ = raw.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue  # reset by its own side before it was accepted
            except OSError as error:
                self.hub.deliver(ProblemFound("accepts_failed", f"accept: {error}"))
                if is_resource_exhausted(error):
                    self.hub.on_descriptors_exhausted()
                return False
            self.carried_count += 1
            group.start_soon(self._serve, sock, group)
        return True

    async def _serve(self, sock: socket.socket, group: TaskGroup) -> None:
        try:
            sock.setblocking(False)
            try:
                stream = await SocketStream.from_socket(sock)
            except (OSError, ValueError) as error:  # reset before it was carried
                sock.close()
                self.hub.deliver(ProblemFound("accepts_reset", f"accept: {error}"))
                return
            await self._carry(sock, stream, group)
        finally:
            self.carried_count -= 1
            self._check_all_ended()

    async def _carry(self, sock: socket.socket, stream: SocketStream, group: TaskGroup) -> None:
        connection_id = next(self.next_ids)
        outbox = Outbox(
            self.protocol.encoders,
            self.max_unread_bytes,
            sock,
            lambda: self.hub.deliver(ReadingFinished(connection_id)),
            self._linger,
        )

        async def talk() -> None:
            self.hub.add(connection_id, outbox)
            self.hub.deliver(ConnectionOpened(connection_id))
            await self._read(stream, connection_id, outbox)
            await outbox.ended.wait()  # the answers still owed are written until the core closes it
            await discard(stream)

        self.outboxes.add(outbox)
        try:
            error = await run_connection(group, stream, outbox, talk)
            if error is not None and not isinstance(error, LOST_ERRORS):
                text = f"connection {connection_id}: {error!r}"
                self.hub.deliver(ProblemFound("connections_failed", text))
        finally:
            self.outboxes.discard(outbox)
            self.lingering.pop(outbox, None)
            self.hub.remove(connection_id, outbox)
            self.hub.deliver(ConnectionReset(connection_id))

    async def _read(self, stream: SocketStream, connection_id: int, outbox: Outbox) -> None:
        """Reads until the peer ends its writing, or sends what is no message."""
        try:
            reader = self.protocol.make_reader(self.hub, connection_id)
            await read_messages(stream, reader, outbox, MAX_READ_BYTES)
        except ValueError as error:
            self.hub.deliver(ProtocolViolated(connection_id, "connections_misframed", str(error)))
        outbox.checking_input = False
        self.hub.deliver(ConnectionEnded(connection_id))

    def _linger(self, outbox: Outbox) -> None:
        """Waits until the peer ends its side too, or the close times out."""
        self.lingering[outbox] = None
        exhausted = anyio.current_time() <= self.exhausted_until
        max_lingering = MAX_LINGERING_EXHAUSTED if exhausted else MAX_LINGERING
        if len(self.lingering) > max_lingering:
            next(iter(self.lingering)).scope.cancel()

    def _all_written(self) -> bool:
        if self.accepting or len(self.outboxes) < self.carried_count:
            return False
        return all(outbox.ended.is_set() for outbox in self.outboxes)

    def _check_all_ended(self) -> None:
        if not self.accepting and not self.carried_count:
            self.all_ended.set()
