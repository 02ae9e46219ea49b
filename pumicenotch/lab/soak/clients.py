"""The soak's clients: they use their connections until the server ends them, and then dial again.

A drain notice changes nothing for them: they are the callers that have not heard of it.
"""

import asyncio
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Any, cast

import msgpack

from pumicenotch.lab.soak.judge import FAILED, REJECTED, SERVED, SentRequest, SoakJudge
from pumicenotch.lab.soak.schedule import ClientKind, ClientPlan, Schedule

REDIAL_MS = (10.0, 60.0)  # after a connection that ended or was refused
PIECES = (2, 6)  # of a slow writer's frame
PIECE_PAUSE_MS = (0.5, 6.0)
RESET_AFTER_MS = (100.0, 600.0)
MAX_BODY_BYTES = 300
REQUEST = 0
RESPONSE = 1
RESPONSE_LENGTH = 4
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: a close resets the connection

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack


class ClientConnection(asyncio.Protocol):
    """One connection: the requests open on it, and how it ends.

    Args:
        client: Who uses it.
    """

    def __init__(self, client: "Client") -> None:
        self.client = client
        self.unpacker = msgpack.Unpacker(raw=False)
        self.open: dict[int, SentRequest] = {}
        self.last_message_id = 0
        self.transport: asyncio.Transport | None = None
        self.has_ended = False
        self.is_reset = False  # by this side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the connection into use."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Reads answers; notifications change nothing."""
        self.unpacker.feed(data)
        for frame in self.unpacker:
            if frame[0] == RESPONSE and len(frame) == RESPONSE_LENGTH:
                self._read_answer(*frame[1:])

    def _read_answer(self, message_id: int, error: Any, result: Any) -> None:
        request = self.open.pop(message_id, None)
        if request is None:
            self.client.answered_unknown(message_id)
        elif error is None:
            self.client.answered(self, request, SERVED, result[0])
        else:
            self.client.answered(self, request, REJECTED if error[0] == "TryLater" else FAILED, b"")

    def eof_received(self) -> bool:
        """The server writes no more: nothing more is sent here."""
        self._end("end of stream")
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self._end(repr(error) if error is not None else "closed")

    def _end(self, how: str) -> None:
        if not self.has_ended:
            self.has_ended = True
            self.client.ended(self, how)

    def is_writable(self) -> bool:
        """Returns whether a request can be written."""
        return not self.has_ended and self.transport is not None and not self.transport.is_closing()

    def write(self, data: bytes) -> None:
        """Writes bytes of a frame."""
        assert self.transport is not None
        self.transport.write(data)

    def reset(self) -> None:
        """Resets the connection: what is open on it is no duty of the server's any more."""
        assert self.transport is not None
        self.is_reset = True
        sock = cast(socket.socket, self.transport.get_extra_info("socket"))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()


class SoakWorld:
    """What all clients of a run share.

    Args:
        schedule: The run.
        judge: Who hears of all that crosses the wire.
        address: Of the server.
    """

    def __init__(self, schedule: Schedule, judge: SoakJudge, address: tuple[str, int]) -> None:
        self.schedule = schedule
        self.judge = judge
        self.address = address
        self.ended = False  # no client goes on
        self.spare_keys: list[tuple[str, bytes]] = []  # keyed requests to be sent a second time

    def now_ms(self) -> float:
        """Returns the monotonic time in ms."""
        return time.monotonic() * 1000.0


class Client:
    """One client.

    Args:
        world: What all clients share.
        plan: What this one does.
        number: Its number, as a gateway.
    """

    def __init__(self, world: SoakWorld, plan: ClientPlan, number: int) -> None:
        self.world = world
        self.plan = plan
        self.number = number
        self.rng = random.Random(plan.seed)
        self.connection: ClientConnection | None = None
        self.connection_ended = asyncio.Event()
        self.writing = asyncio.Lock()
        self.sends: set[asyncio.Future[None]] = set()  # under way; the loop alone would drop them

    async def run(self) -> None:
        """Connects, sends, and connects again, until the run ends."""
        await asyncio.sleep(self.plan.opens_at_ms / 1000.0)
        loop = asyncio.get_running_loop()
        while not self.world.ended:
            self.connection_ended.clear()
            try:
                _, connection = await loop.create_connection(
                    lambda: ClientConnection(self), *self.world.address
                )
            except OSError:
                self.world.judge.counts["refused"] += 1
            else:
                self.connection = connection
                await self._use(connection)
            await asyncio.sleep(self.rng.uniform(*REDIAL_MS) / 1000.0)

    async def _use(self, connection: ClientConnection) -> None:
        if self.plan.kind is ClientKind.RESTING:
            frame = pack([REQUEST, 1, "alive", [{}]])
            connection.write(frame + frame[: len(frame) // 2])
            connection.open[1] = SentRequest("", "", b"", self.world.now_ms())
            await self.connection_ended.wait()
            return
        senders = [asyncio.ensure_future(self._send(connection)) for _ in range(self.plan.depth)]
        if self.plan.kind is ClientKind.RESETTING:
            delay_s = self.rng.uniform(*RESET_AFTER_MS) / 1000.0
            asyncio.get_running_loop().call_later(delay_s, self._reset, connection)
        await self.connection_ended.wait()
        await asyncio.gather(*senders)

    def _reset(self, connection: ClientConnection) -> None:
        if connection.is_writable():
            connection.reset()

    async def _send(self, connection: ClientConnection) -> None:
        """Sends one request; the next one follows its answer."""
        key, body = self._draw_request()
        request = SentRequest(f"{self.rng.getrandbits(64):016x}", key, body, 0.0)
        async with self.writing:
            if not connection.is_writable():
                return
            connection.last_message_id += 1
            message_id = connection.last_message_id
            frame = self._frame(message_id, request)
            if self.plan.kind is ClientKind.SLOW_WRITER:
                frame = await self._write_slowly(connection, frame)
                if not connection.is_writable():
                    return
            request.sent_at_ms = self.world.now_ms()
            connection.open[message_id] = request
            self.world.judge.sent(request)
            connection.write(frame)

    async def _write_slowly(self, connection: ClientConnection, frame: bytes) -> bytes:
        """Writes all pieces of a frame but the last one, which it returns."""
        pieces = self.rng.randint(*PIECES)
        size = len(frame) // pieces + 1
        while len(frame) > size and connection.is_writable():
            connection.write(frame[:size])
            frame = frame[size:]
            await asyncio.sleep(self.rng.uniform(*PIECE_PAUSE_MS) / 1000.0)
        return frame

    def _draw_request(self) -> tuple[str, bytes]:
        schedule = self.world.schedule
        if self.rng.random() >= schedule.keyed_fraction:
            return "", self.rng.randbytes(self.rng.randrange(MAX_BODY_BYTES))
        spare = self.world.spare_keys
        if spare and self.rng.random() < schedule.retry_fraction:
            return spare.pop(0)
        drawn = (
            f"{self.rng.getrandbits(128):032x}",
            self.rng.randbytes(self.rng.randrange(MAX_BODY_BYTES)),
        )
        if self.rng.random() < schedule.retry_fraction:
            spare.append(drawn)
        return drawn

    def _frame(self, message_id: int, request: SentRequest) -> bytes:
        fields = {
            "rid": request.request_id,
            "t0": str(int(time.time() * 1000.0)),
            "peer": str(self.number),
            "acct": "acme",
            "mem": "2.5",
            "prio": "0.5",
        }
        if request.key:
            fields["token"] = request.key
        class_name = "put" if request.key else "read"
        return pack([REQUEST, message_id, class_name, [fields, request.body]])

    # What its connection tells

    def answered(
        self, connection: ClientConnection, request: SentRequest, answer: str, result: Any
    ) -> None:
        """Takes an answer, and sends the next request after a pause."""
        if not request.request_id:
            return  # a health check's
        self.world.judge.answered(self.world.now_ms(), request, answer, result)
        loop = asyncio.get_running_loop()
        pause_s = self.rng.uniform(0.5, 1.5) * self.plan.pause_ms / 1000.0
        loop.call_later(pause_s, self._send_next, connection)

    def _send_next(self, connection: ClientConnection) -> None:
        if connection.is_writable() and not self.world.ended:
            task = asyncio.ensure_future(self._send(connection))
            self.sends.add(task)
            task.add_done_callback(self.sends.discard)

    def answered_unknown(self, message_id: int) -> None:
        """Takes an answer to a message that is not open."""
        self.world.judge.answered_unknown(self.world.now_ms(), message_id)

    def ended(self, connection: ClientConnection, how: str) -> None:
        """Takes the end of a connection."""
        if not connection.is_reset and not self.world.ended:
            requests = [each for each in connection.open.values() if each.request_id]
            self.world.judge.connection_ended(self.world.now_ms(), requests, how)
        connection.open.clear()
        self.connection_ended.set()
