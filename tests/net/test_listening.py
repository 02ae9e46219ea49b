"""Listening sockets: bound without a resolver's threads, and with the same options as before."""

import socket
from pathlib import Path

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketListener

from pumicenotch.net.listening import open_listener
from tests.net.parties import Program


def raw_socket(listener: SocketListener) -> socket.socket:
    return listener.extra(SocketAttribute.raw_socket)


def test_a_start_on_a_numeric_address_waits_for_no_thread(tmp_path: Path) -> None:
    """Guards against a start that stands still until a resolver's thread gets a core."""
    with Program(tmp_path) as program:
        threads = list(Path(f"/proc/{program.process.pid}/task").iterdir())
        assert len(threads) == 1


@pytest.mark.parametrize(
    ("host", "bound"), [("127.0.0.1", "127.0.0.1"), ("::1", "::1"), ("localhost", None)]
)
def test_numeric_addresses_and_names_are_bound(host: str, bound: str | None) -> None:
    async def open_and_connect() -> None:
        async with await open_listener((host, 0)) as listener:
            sock = raw_socket(listener)
            assert not sock.getblocking()
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR)
            assert sock.getsockname()[0] == bound or bound is None
            with socket.create_connection(sock.getsockname()[:2], timeout=10.0):
                pass

    try:
        anyio.run(open_and_connect, backend_options={"use_uvloop": True})
    except OSError as error:
        # A machine may have no IPv6.
        assert host == "::1", error


def descriptor_count() -> int:
    return len(list(Path("/proc/self/fd").iterdir()))


def test_an_address_in_use_is_an_error_and_leaves_no_socket() -> None:
    async def open_twice() -> None:
        async with await open_listener(("127.0.0.1", 0)) as listener:
            address = raw_socket(listener).getsockname()
            before = descriptor_count()
            with pytest.raises(OSError, match="in use"):
                await open_listener(address)
            assert descriptor_count() == before

    anyio.run(open_twice, backend_options={"use_uvloop": True})
