"""The gateways' protocol: MessagePack-RPC over TCP, each connection with a reader and a writer of its own."""

import socket
from collections.abc import Callable
from itertools import count
from typing import Any

import anyio
import msgpack
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from pumicenotch.net.hub import Hub
from pumicenotch.net.link import LOST, Frame, Outbox, carry, discard, read, scarce
from pumicenotch.net.link import Reader as LinkReader

FRAME_MOST = 8 * 1024  # far above any frame: a body has 2 KiB, the fields some hundred bytes
READ_MOST = (
    8 * 1024
)  # bytes taken at once: some tasks, so that one at full speed keeps no other waiting long
BACKLOG = 1024  # every gateway may connect at once after a start
LAST_S = (
    0.02  # without a new connection before the listener is closed: dials on one network take less
)
# One gateway's is its part of as much, from eight full answers for one that stands still to the 32 that a
# connection may have open. The kernel holds as much again before any of it counts.
UNREAD_LEAST, UNREAD_MOST = 32 * 1024, 192 * 1024
EMPTY_S = 0.05  # pause after a failed accept: out of descriptors, some come back soon
ACCEPTS = (
    16  # connections taken before all else gets a turn: a full backlog keeps no task waiting long
)
# Shut down on our side while the peers do not end theirs: descriptors that the core counts no more. Beyond so
# many, half of what it leaves free for such, the oldest is closed: all that it was owed is written.
LINGERING = 16
SCARCE_LINGERING, SCARCE_S = 2, 5.0  # in place of it, so long after descriptors ran out
# For the peers' own ends once the last answers are written, before the process ends: a way there and back.
ENDS_S = 0.02
FINISH_S = 0.002  # between looks whether all of that is so
SMALL_HINT = 0.01  # below it four decimals would leave less than two digits
LEAST_HINT = 1e-9  # above 0, as the nine decimals of a small one can tell it
LAST_TRIES = 4  # to accept the last ones, where descriptors are short


def unread(whole: int, callers: int) -> int:
    """What one gateway may leave unread, of so much for so many of them."""
    return max(UNREAD_LEAST, min(UNREAD_MOST, whole // callers))


def fields(hint: float | None, **more: str) -> dict[str, str]:
    return more if hint is None else {"hint": decimal(hint), **more}


def decimal(hint: float) -> str:
    """Never written as nothing unless it is: of a credit that very many callers share, each has little, and
    told 0 none of them would send.
    """
    return f"{hint:.4f}" if hint == 0.0 or hint >= SMALL_HINT else f"{max(hint, LEAST_HINT):.9f}"


def rejected(
    message: int, hint: float | None, stay_away_ms: float, last: bool, cell: str = ""
) -> bytes:
    more = {"backoff": str(round(stay_away_ms))} if stay_away_ms >= 0.5 else {}
    if last:
        more["final"] = "1"
    if cell:  # for routers: why it has not run
        more["cell"] = cell
    return pack([1, message, ["TryLater", fields(hint, **more)], None])


pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
FRAMES: dict[str, Callable[..., bytes]] = {
    "served": lambda message, hint, result: pack([1, message, None, [result, fields(hint)]]),
    "failed": lambda message, hint: pack([1, message, ["Failed", fields(hint)], None]),
    "rejected": rejected,
    "alive": lambda message, hint, good: pack([1, message, None, [good, fields(hint)]]),
    "draining": lambda: pack([2, "draining", []]),
}


class Reader:
    """Frames become inputs; what is no MessagePack-RPC raises ValueError with what it was."""

    def __init__(self, hub: Hub, conn: int) -> None:
        self.put, self.ahead, self.conn = hub.put, hub.clock.ahead, conn
        self.rest = (
            b""  # of a frame that has not come whole: between reads a connection holds nothing else
        )

    def feed(self, data: bytes) -> None:
        data, at = self.rest + data, 0
        unpacker = msgpack.Unpacker(
            read_size=READ_MOST + FRAME_MOST,
            max_buffer_size=READ_MOST + FRAME_MOST,
            max_str_len=FRAME_MOST,
            max_bin_len=FRAME_MOST,
            max_array_len=64,
            max_map_len=64,
            max_ext_len=0,
            unicode_errors="surrogateescape",
        )
        try:
            unpacker.feed(data)
            for frame in unpacker:
                at = unpacker.tell()
                self.frame(frame)
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise ValueError(f"{type(error).__name__} {error}"[:200]) from None
        self.rest = data[at:]
        if len(self.rest) > FRAME_MOST:
            raise ValueError(f"a frame of over {FRAME_MOST} bytes")

    def frame(self, frame: Any) -> None:
        match frame:
            case [0, bool(), *_] | [2, "cancelRequest", [bool()]]:
                raise ValueError("no message of MessagePack-RPC")
            case [0, int(message), "alive", [*_]]:
                self.put("alive", self.conn, message)
            case [0, int(message), str(stage), [dict(told), body]]:
                self.put("task", self.conn, message, self.ahead(), stage, told, body)
            case [0, int(message), str(stage), [*_]]:
                self.put("task", self.conn, message, self.ahead(), stage, {}, None)
            case [2, "cancelRequest", [int(message)]]:
                self.put("cancel", self.conn, message)
            case [2, str(), [*_]]:
                self.put("met", "notifications_skipped")
            case _:
                raise ValueError("no message of MessagePack-RPC")


class Gateways:
    """Whoever dials this side: gateways, unless other frames and another reader are told."""

    def __init__(
        self,
        hub: Hub,
        unread: int,
        frames: dict[str, Frame] = FRAMES,
        reader: Callable[[Hub, int], LinkReader] = Reader,
    ) -> None:
        self.hub, self.unread, self.frames, self.reader = hub, unread, frames, reader
        self.numbers = count(1)
        self.closing = anyio.CancelScope()
        self.outboxes: set[Outbox] = set()
        self.lingering: dict[Outbox, None] = {}  # shut down on our side, oldest first
        self.carried = 0  # accepted and not ended
        self.scarce_until = 0.0
        hub.relief.append(self.relieve)
        self.accepting = True
        self.none = anyio.Event()  # nothing is accepted any more, and all that was has ended

    async def accept(self, listener: SocketListener, group: TaskGroup) -> None:
        raw = listener.extra(SocketAttribute.raw_socket)
        with self.closing:
            await self.accept_each(raw, group)
        # Closed at once, those that have connected but are not accepted yet would be cut with what they sent.
        with anyio.move_on_after(LAST_S):
            await self.accept_each(raw, group)
        for _ in range(LAST_TRIES):
            if self.take(raw, group, 2 * BACKLOG):
                break
            await anyio.sleep(EMPTY_S)
        raw.close()  # in the same step as the last accept: nothing comes in between
        await listener.aclose()
        self.accepting = False
        self.look_if_none()

    async def accept_each(self, raw: socket.socket, group: TaskGroup) -> None:
        """In steps that no cancelling parts: a connection that was accepted is always carried."""
        while True:
            await anyio.wait_readable(raw)
            await anyio.sleep(0.0 if self.take(raw, group, ACCEPTS) else EMPTY_S)

    def take(self, raw: socket.socket, group: TaskGroup, most: int) -> bool:
        """Accepts those that wait, up to so many; whether none failed for want of something here."""
        for _ in range(most):
            try:
                sock, _ = raw.accept()
            except BlockingIOError:
                break
            except ConnectionAbortedError:
                continue  # reset by its own side before it was accepted
            except OSError as error:
                self.hub.put("met", "accepts_failed", f"accept: {error}")
                if scarce(error):
                    self.hub.scarce()
                return False
            self.carried += 1
            group.start_soon(self.serve, sock, group)
        return True

    async def serve(self, sock: socket.socket, group: TaskGroup) -> None:
        try:
            sock.setblocking(False)
            try:
                stream = await SocketStream.from_socket(sock)
            except (OSError, ValueError) as error:  # reset before it was carried
                sock.close()
                self.hub.put("met", "accepts_reset", f"accept: {error}")
                return
            await self.converse(sock, stream, group)
        finally:
            self.carried -= 1
            self.look_if_none()

    def look_if_none(self) -> None:
        if not self.accepting and not self.carried:
            self.none.set()

    async def converse(self, sock: socket.socket, stream: SocketStream, group: TaskGroup) -> None:
        conn = next(self.numbers)
        outbox = Outbox(
            self.frames, self.unread, sock, lambda: self.hub.put("read_out", conn), self.linger
        )

        async def talk() -> None:
            self.hub.add(conn, outbox)
            self.hub.put("opened", conn)
            await self.read(stream, conn, outbox)
            await outbox.ended.wait()  # the answers still owed are written until the core closes it
            await discard(stream)

        self.outboxes.add(outbox)
        try:
            error = await carry(group, stream, outbox, talk)
            if error is not None and not isinstance(error, LOST):
                self.hub.put("met", "connections_failed", f"connection {conn}: {error!r}")
        finally:
            self.outboxes.discard(outbox)
            self.lingering.pop(outbox, None)
            self.hub.remove(conn, outbox)
            self.hub.put("reset", conn)

    async def read(self, stream: SocketStream, conn: int, outbox: Outbox) -> None:
        """To the end of what the gateway writes, or to what is no message."""
        try:
            await read(stream, self.reader(self.hub, conn), outbox, READ_MOST)
        except ValueError as error:
            self.hub.put("condemn", conn, "connections_misframed", str(error))
        outbox.looking = False
        self.hub.put("eof", conn)

    def linger(self, outbox: Outbox) -> None:
        """Until the gateway ends its side too, or CLOSE_S after the core closed ours."""
        self.lingering[outbox] = None
        most = LINGERING if anyio.current_time() > self.scarce_until else SCARCE_LINGERING
        if len(self.lingering) > most:
            next(iter(self.lingering)).scope.cancel()

    def relieve(self) -> None:
        self.scarce_until = anyio.current_time() + SCARCE_S
        for outbox in self.lingering:
            outbox.scope.cancel()

    async def finish(self, most_s: float) -> None:
        """After the core's last word: until each connection has what it is owed and our end, then for the
        peers' own ends, all within that time.
        """
        with anyio.move_on_after(most_s):
            while self.accepting or len(self.outboxes) < self.carried or self.owing():
                await anyio.sleep(FINISH_S)
            with anyio.move_on_after(ENDS_S):
                await self.none.wait()

    def owing(self) -> bool:
        return not all(outbox.ended.is_set() for outbox in self.outboxes)
