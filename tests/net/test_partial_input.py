"""Tests of readers and writers with input and output split at every byte offset."""

import json
import socket
from typing import Any

import anyio
import msgpack
import pytest
from anyio.abc import ByteStream

from pumicenotch.net import database, gateways, pool
from pumicenotch.net.clock import Clock
from pumicenotch.net.outbox import Outbox
from pumicenotch.net.unread_input import has_unread_input
from pumicenotch.server.messages import RequestServed
from tests.request_ids import rid

FIELDS = {"rid": rid("aa"), "t0": "1", "peer": "1", "acct": "acme", "mem": "2.5", "prio": "0.25"}
REQUEST = msgpack.packb([0, 1, "read", [FIELDS, b"body"]])
GATEWAY = REQUEST + msgpack.packb([2, "cancelRequest", [1]]) + msgpack.packb([0, 2, "alive", [{}]])
POOL = b"".join(
    json.dumps({"call": rid("aa"), **message}).encode() + b"\n"
    for message in (
        {"msg": "blocked", "serial": 1, "blob": "cQ=="},
        {"msg": "finished", "serial": 2, "how": "fine", "duration": 5, "blob": "eA=="},
        {"msg": "chatter", "serial": 3, "how": "x"},
    )
)
DATABASE = b"%b ROWS 4\r\n\r\n\r\n\r\n%b FULL\r\n%b ROWS 0\r\n\r\n" % (3 * (rid("aa").encode(),))


class RecordingHub:
    """Stands in for the hub and records the delivered events."""

    def __init__(self) -> None:
        self.events: list[object] = []
        self.clock = Clock()
        self.clock.unix_offset = lambda: 0.0  # type: ignore[method-assign]

    def deliver(self, event: object) -> None:
        self.events.append(event)


def readers() -> list[tuple[bytes, Any]]:
    return [
        (GATEWAY, lambda hub: gateways.GatewayReader(hub, 1)),
        (POOL, lambda hub: pool.PoolReader(hub.deliver, "pool")),
        (DATABASE, lambda hub: database.DatabaseReader(hub.deliver, "db-1")),
    ]


@pytest.mark.parametrize("reader_index", [0, 1, 2], ids=["gateway", "pool", "database"])
def test_reader_delivers_the_same_events_wherever_its_bytes_are_split(reader_index: int) -> None:
    data, reader = readers()[reader_index]
    expected = RecordingHub()
    reader(expected).feed(data)
    assert len(expected.events) == 3
    for offset in range(len(data) + 1):
        split = RecordingHub()
        decoder = reader(split)
        decoder.feed(data[:offset])
        before = len(split.events)
        assert split.events == expected.events[:before]
        decoder.feed(data[offset:])
        assert split.events == expected.events, offset
    one_by_one = RecordingHub()
    decoder = reader(one_by_one)
    for byte in data:
        decoder.feed(bytes([byte]))
    assert one_by_one.events == expected.events


@pytest.mark.parametrize("reader_index", [0, 1, 2], ids=["gateway", "pool", "database"])
def test_truncated_bytes_deliver_only_complete_messages(reader_index: int) -> None:
    """The events of each prefix of the input are a prefix of the events of the whole input."""
    data, reader = readers()[reader_index]
    expected = RecordingHub()
    reader(expected).feed(data)
    counts = []
    for offset in range(len(data) + 1):
        split = RecordingHub()
        reader(split).feed(data[:offset])
        assert split.events == expected.events[: len(split.events)]
        counts.append(len(split.events))
    assert counts == sorted(counts) and counts[-1] == 3


def test_writer_cut_at_any_byte_sends_a_prefix() -> None:
    """The connection breaks after a number of bytes: the peer has a prefix, and the writer ends."""

    class BreakingStream(ByteStream):
        def __init__(self, byte_limit: int) -> None:
            self.byte_limit, self.received, self.closed = byte_limit, b"", False

        async def send(self, item: bytes) -> None:
            self.received += item[: self.byte_limit - len(self.received)]
            if len(self.received) == self.byte_limit:
                raise anyio.BrokenResourceError

        async def receive(self, max_bytes: int = 1) -> bytes:
            raise anyio.EndOfStream

        async def send_eof(self) -> None: ...

        async def aclose(self) -> None:
            self.closed = True

    async def write(byte_limit: int) -> bytes:
        written, stream = Outbox(gateways.ENCODERS, 100_000), BreakingStream(byte_limit)
        for message in (1, 2, 3):
            written.put(RequestServed(message, 0.5, b"result"))
        written.close()
        with anyio.fail_after(20.0):
            await written.write_to(stream)
        assert written.ended.is_set() and stream.closed
        return stream.received

    expected = b"".join(
        gateways.encode_served(RequestServed(message, 0.5, b"result")) for message in (1, 2, 3)
    )
    for byte_limit in range(1, len(expected) + 1):
        assert anyio.run(write, byte_limit) == expected[:byte_limit]


def test_stall_between_two_clocks_makes_a_request_look_older(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both clocks jump by one second after the n-th reading of either clock."""
    for reads_before_jump in range(1, 6):
        reads = 0

        def read_clock(base: float, reads_before_jump: int = reads_before_jump) -> float:
            nonlocal reads
            reads += 1
            return base + (1.0 if reads > reads_before_jump else 0.0)

        monkeypatch.setattr("time.monotonic", lambda: read_clock(100.0))
        monkeypatch.setattr("time.time", lambda: read_clock(5000.0))
        clock = Clock()
        offset_ms = clock.unix_offset()
        now = clock.now()
        assert (
            now + offset_ms
            >= (5000.0 + (1.0 if reads > reads_before_jump else 0.0)) * 1000.0 - 1e-6
        )
        reads = 0


def test_input_that_waits_in_the_kernel_is_unread() -> None:
    local, remote = socket.socketpair()
    assert not has_unread_input(local)
    remote.send(b"x")
    assert has_unread_input(local)
    local.recv(1)
    assert not has_unread_input(local)
    remote.close()
    assert has_unread_input(local)  # The end of the stream counts as unread.
    local.close()
    assert not has_unread_input(local)
