"""Readers and writers cut at every byte offset, without sockets where none is needed."""

import json
import socket
from typing import Any

import anyio
import msgpack
import pytest
from anyio.abc import ByteStream

from pumicenotch.net import database, gateways, outbox, pool
from pumicenotch.net.clock import Clock
from pumicenotch.net.outbox import Outbox
from pumicenotch.server.messages import RequestServed
from tests.request_ids import rid

FIELDS = {"rid": rid("aa"), "t0": "1", "peer": "1", "acct": "acme", "mem": "2.5", "prio": "0.25"}
TASK = msgpack.packb([0, 1, "read", [FIELDS, b"body"]])
GATEWAY = TASK + msgpack.packb([2, "cancelRequest", [1]]) + msgpack.packb([0, 2, "alive", [{}]])
POOL = b"".join(
    json.dumps({"call": rid("aa"), **said}).encode() + b"\n"
    for said in (
        {"msg": "blocked", "serial": 1, "blob": "cQ=="},
        {"msg": "finished", "serial": 2, "how": "fine", "duration": 5, "blob": "eA=="},
        {"msg": "chatter", "serial": 3, "how": "x"},
    )
)
DATABASE = b"%b ROWS 4\r\n\r\n\r\n\r\n%b FULL\r\n%b ROWS 0\r\n\r\n" % (3 * (rid("aa").encode(),))


class Noted:
    """Stands for the hub: what is put."""

    def __init__(self) -> None:
        self.made: list[object] = []
        self.clock = Clock()
        self.clock.unix_offset = lambda: 0.0  # type: ignore[method-assign]

    def deliver(self, event: object) -> None:
        self.made.append(event)


def readers() -> list[tuple[bytes, Any]]:
    return [
        (GATEWAY, lambda hub: gateways.GatewayReader(hub, 1)),
        (POOL, lambda hub: pool.PoolReader(hub.deliver, "pool")),
        (DATABASE, lambda hub: database.DatabaseReader(hub.deliver, "db-1")),
    ]


@pytest.mark.parametrize("which", [0, 1, 2], ids=["gateway", "pool", "database"])
def test_reader_delivers_the_same_events_wherever_its_bytes_are_split(which: int) -> None:
    data, reader = readers()[which]
    whole = Noted()
    reader(whole).feed(data)
    assert len(whole.made) == 3
    for at in range(len(data) + 1):
        cut = Noted()
        reading = reader(cut)
        reading.feed(data[:at])
        before = len(cut.made)
        assert cut.made == whole.made[:before]
        reading.feed(data[at:])
        assert cut.made == whole.made, at
    one_by_one = Noted()
    reading = reader(one_by_one)
    for byte in data:
        reading.feed(bytes([byte]))
    assert one_by_one.made == whole.made


@pytest.mark.parametrize("which", [0, 1, 2], ids=["gateway", "pool", "database"])
def test_truncated_bytes_deliver_only_complete_messages(which: int) -> None:
    """Each prefix, then the end: what comes of it is a prefix of what the whole brings."""
    data, reader = readers()[which]
    whole = Noted()
    reader(whole).feed(data)
    counts = []
    for at in range(len(data) + 1):
        cut = Noted()
        reader(cut).feed(data[:at])
        assert cut.made == whole.made[: len(cut.made)]
        counts.append(len(cut.made))
    assert counts == sorted(counts) and counts[-1] == 3


def test_writer_cut_at_any_byte_sends_a_prefix() -> None:
    """The peer is gone after so many bytes: what it has is a prefix of the frames, and the writing ends."""

    class Cut(ByteStream):
        def __init__(self, most: int) -> None:
            self.most, self.taken, self.closed = most, b"", False

        async def send(self, item: bytes) -> None:
            self.taken += item[: self.most - len(self.taken)]
            if len(self.taken) == self.most:
                raise anyio.BrokenResourceError

        async def receive(self, max_bytes: int = 1) -> bytes:
            raise anyio.EndOfStream

        async def send_eof(self) -> None: ...

        async def aclose(self) -> None:
            self.closed = True

    async def play(most: int) -> bytes:
        written, stream = Outbox(gateways.ENCODERS, 100_000), Cut(most)
        for message in (1, 2, 3):
            written.put(RequestServed(message, 0.5, b"result"))
        written.close()
        with anyio.fail_after(20.0):
            await written.write_to(stream)
        assert written.ended.is_set() and stream.closed
        return stream.taken

    whole = b"".join(
        gateways.encode_served(RequestServed(message, 0.5, b"result")) for message in (1, 2, 3)
    )
    for most in range(1, len(whole) + 1):
        assert anyio.run(play, most) == whole[:most]


def test_stall_between_two_clocks_makes_a_request_look_older(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both clocks jump by a second as either is read for the n-th time."""
    for jump in range(1, 6):
        reads = 0

        def reading(base: float, jump: int = jump) -> float:
            nonlocal reads
            reads += 1
            return base + (1.0 if reads > jump else 0.0)

        monkeypatch.setattr("time.monotonic", lambda: reading(100.0))
        monkeypatch.setattr("time.time", lambda: reading(5000.0))
        clock = Clock()
        ahead = clock.unix_offset()
        now = clock.now()
        assert now + ahead >= (5000.0 + (1.0 if reads > jump else 0.0)) * 1000.0 - 1e-6
        reads = 0


def test_input_that_waits_in_the_kernel_is_unread() -> None:
    here, there = socket.socketpair()
    assert not outbox.has_unread_input(here)
    there.send(b"x")
    assert outbox.has_unread_input(here)
    here.recv(1)
    assert not outbox.has_unread_input(here)
    there.close()
    assert outbox.has_unread_input(here)  # its end is news too
    here.close()
    assert not outbox.has_unread_input(here)
