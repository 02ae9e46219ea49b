"""Closing an accepted connection: its answers are written first, and no input is dropped unread."""

import socket
from collections.abc import Iterator

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import ByteStream

from pumicenotch.net import gateways
from pumicenotch.net.outbox import Outbox
from pumicenotch.net.unread_input import received_byte_count
from pumicenotch.server.messages import RequestRejected

MAX_UNREAD_BYTES = 100_000
ANSWER = RequestRejected(1, None, 0.0, False, "")
ENCODED_ANSWER = gateways.encode_rejected(ANSWER)


class RecordingStream(ByteStream):
    """Records what is sent."""

    def __init__(self) -> None:
        self.sent = b""

    async def send(self, item: bytes) -> None:
        await anyio.lowlevel.checkpoint()
        self.sent += item

    async def receive(self, max_bytes: int = 1) -> bytes:
        raise anyio.EndOfStream

    async def send_eof(self) -> None: ...

    async def aclose(self) -> None: ...


@pytest.fixture
def connected() -> Iterator[tuple[socket.socket, socket.socket]]:
    """The accepted side of a connection, which does not block, and its peer's side."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        peer = socket.create_connection(listener.getsockname(), timeout=10.0)
        accepted, _ = listener.accept()
    accepted.setblocking(False)
    with accepted, peer:
        yield accepted, peer


def closing_outbox(accepted: socket.socket) -> Outbox:
    """Returns an outbox that closes as soon as its input has been read."""
    outbox = Outbox(
        gateways.ENCODERS, MAX_UNREAD_BYTES, accepted, on_input_read=lambda: outbox.close()
    )
    return outbox


def test_input_is_checked_only_after_the_last_answer_is_written(
    connected: tuple[socket.socket, socket.socket],
) -> None:
    """Guards against dropping requests that come between the check and a late answer's writing."""
    stream = RecordingStream()
    sent_at_check: list[bytes] = []

    async def check() -> None:
        def on_input_read() -> None:
            sent_at_check.append(stream.sent)
            outbox.close()

        outbox = Outbox(
            gateways.ENCODERS, MAX_UNREAD_BYTES, connected[0], on_input_read=on_input_read
        )
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as group:
                outbox.check_input()
                group.start_soon(outbox.write_to, stream)
                await anyio.lowlevel.checkpoint()  # The writer waits before its check.
                outbox.put(ANSWER)

    anyio.run(check)
    assert sent_at_check == [ENCODED_ANSWER]


def test_last_answer_check_and_close_need_no_turn_of_the_event_loop(
    connected: tuple[socket.socket, socket.socket],
) -> None:
    accepted, peer = connected

    async def close() -> None:
        outbox = closing_outbox(accepted)
        outbox.put(ANSWER)
        outbox.check_input()
        outbox.finish_reading_if_done()
        assert outbox.is_shut_down and not outbox.unwritten_bytes

    anyio.run(close)
    received = b""
    while data := peer.recv(4096):
        received += data
    assert received == ENCODED_ANSWER  # Then the end of the stream.


@pytest.mark.parametrize("fed_bytes", [0, 2])
def test_connection_with_input_that_its_reader_has_not_had_stays_open(
    connected: tuple[socket.socket, socket.socket], fed_bytes: int
) -> None:
    accepted, peer = connected
    peer.sendall(b"abc")

    async def close() -> None:
        outbox = closing_outbox(accepted)
        outbox.fed_bytes = fed_bytes
        outbox.put(ANSWER)
        outbox.check_input()
        outbox.finish_reading_if_done()
        assert not outbox.closing and not outbox.is_shut_down
        outbox.fed_bytes = 3
        outbox.finish_reading_if_done()
        assert outbox.is_shut_down

    anyio.run(close)


def test_connection_whose_writer_is_sending_is_not_written_from_elsewhere(
    connected: tuple[socket.socket, socket.socket],
) -> None:
    async def close() -> None:
        outbox = closing_outbox(connected[0])
        outbox.sending = True
        outbox.put(ANSWER)
        outbox.check_input()
        outbox.finish_reading_if_done()
        assert not outbox.is_shut_down and outbox.unwritten_bytes == len(ENCODED_ANSWER)

    anyio.run(close)


def test_peer_that_reads_nothing_keeps_the_rest_of_the_answers_queued(
    connected: tuple[socket.socket, socket.socket],
) -> None:
    async def close() -> None:
        outbox = Outbox({bytes: lambda message: message}, 1 << 30, connected[0])
        outbox.put(b"x" * (16 << 20))
        outbox.check_input()
        outbox.finish_reading_if_done()
        assert not outbox.is_shut_down
        assert 0 < outbox.unwritten_bytes == sum(map(len, outbox.parts)) < 16 << 20

    anyio.run(close)


def test_received_bytes_are_counted_whether_read_or_not(
    connected: tuple[socket.socket, socket.socket],
) -> None:
    accepted, peer = connected
    assert received_byte_count(accepted) == 0
    peer.sendall(b"abc")
    assert received_byte_count(accepted) == 3
    accepted.recv(2)
    assert received_byte_count(accepted) == 3
    peer.shutdown(socket.SHUT_WR)
    assert received_byte_count(accepted) == 4  # The end of the stream counts as one.
    accepted.close()
    assert received_byte_count(accepted) is None
