"""What a connection may hold of bytes that nobody has asked for, and how its stream ends."""

import os
import socket
import struct
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import msgpack
import pytest

from pumicenotch.net.bounded_stream import BoundedStream
from tests.net.parties import Program

MAX_BYTES = 8192
BODY_BYTES = 60_000_000
MEMORY_LIMIT_MB = 96  # The middle of the 32 to 192 MB that a server may have.
PLAY_S = 2.0
RESET = struct.pack("ii", 1, 0)  # Linger for no time: a close resets the connection.


def run_with_peer(test: Callable[[BoundedStream, socket.socket], Awaitable[None]]) -> None:
    """Runs a test on an accepted connection and its peer's socket, on the event loop of servers."""

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            peer = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
        accepted.setblocking(False)
        stream = await BoundedStream.accept(accepted, MAX_BYTES)
        with peer, anyio.fail_after(10.0):
            await test(stream, peer)
        await anyio.aclose_forcefully(stream)

    anyio.run(run, backend_options={"use_uvloop": True})


def send_until_closed(sock: socket.socket) -> None:
    try:
        while True:
            sock.send(bytes(262_144))
    except OSError:
        pass


def test_a_stream_holds_no_more_than_its_limit_while_its_reader_works() -> None:
    async def test(stream: BoundedStream, peer: socket.socket) -> None:
        sender = threading.Thread(target=send_until_closed, args=(peer,))
        sender.start()
        for _ in range(50):
            assert 0 < len(await stream.receive(MAX_BYTES)) <= MAX_BYTES
            await anyio.sleep(0.002)
            assert len(stream._protocol.received) <= MAX_BYTES
        await stream.aclose()
        await anyio.to_thread.run_sync(sender.join)

    run_with_peer(test)


def test_a_half_closed_connection_is_read_to_its_end_and_still_written() -> None:
    async def test(stream: BoundedStream, peer: socket.socket) -> None:
        data = os.urandom(10 * MAX_BYTES)
        peer.sendall(data)
        peer.shutdown(socket.SHUT_WR)
        received = b""
        while len(received) < len(data):
            received += await stream.receive(MAX_BYTES)
        assert received == data
        with pytest.raises(anyio.EndOfStream):
            await stream.receive(MAX_BYTES)
        await stream.send(b"answer")
        assert peer.recv(100) == b"answer"

    run_with_peer(test)


def test_a_reset_connection_raises_for_reader_and_writer() -> None:
    async def test(stream: BoundedStream, peer: socket.socket) -> None:
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        peer.close()
        with pytest.raises(anyio.BrokenResourceError):
            await stream.receive(MAX_BYTES)
        with pytest.raises(anyio.BrokenResourceError):
            await stream.send(b"answer")
        await stream.aclose()
        with pytest.raises(anyio.ClosedResourceError):
            await stream.receive(MAX_BYTES)

    run_with_peer(test)


def test_a_write_waits_until_the_kernel_has_taken_all() -> None:
    async def test(stream: BoundedStream, peer: socket.socket) -> None:
        with anyio.move_on_after(0.2) as scope:
            await stream.send(bytes(50_000_000))
        assert scope.cancelled_caught

    run_with_peer(test)


def test_a_refused_connection_raises_an_os_error() -> None:
    async def connect() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
        with pytest.raises(OSError):
            await BoundedStream.connect(host, port, MAX_BYTES)

    anyio.run(connect, backend_options={"use_uvloop": True})


def send_large_body(address: str, until_s: float) -> None:
    """Sends requests with bodies of 60 MB at full speed, each on a connection of its own."""
    host, _, port = address.rpartition(":")
    head = b"\x94" + msgpack.packb([0, 1, "read"])[1:] + b"\x92" + msgpack.packb({"peer": "7"})
    head += b"\xc6" + BODY_BYTES.to_bytes(4, "big")
    while time.monotonic() < until_s:
        with socket.create_connection((host, int(port)), timeout=5.0) as sock:
            try:
                sock.sendall(head)
                sent_bytes = 0
                while sent_bytes < BODY_BYTES and time.monotonic() < until_s:
                    sent_bytes += sock.send(bytes(min(262_144, BODY_BYTES - sent_bytes)))
            except OSError:
                pass


def resident_mb(process_id: int) -> float:
    pages = int(Path(f"/proc/{process_id}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / (1024 * 1024)


# Guards against bytes that are read without a bound while nobody takes them (review case 7).
def test_clients_with_very_large_bodies_leave_the_memory_alone(tmp_path: Path) -> None:
    with Program(tmp_path) as program:
        program.bind()
        until_s = time.monotonic() + PLAY_S
        threads = [
            threading.Thread(target=send_large_body, args=(program.address, until_s))
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        highest_mb = 0.0
        while any(thread.is_alive() for thread in threads):
            highest_mb = max(highest_mb, resident_mb(program.process.pid))
            time.sleep(0.005)
        assert highest_mb <= MEMORY_LIMIT_MB
        assert program.process.poll() is None
