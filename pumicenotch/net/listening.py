"""Opens listening sockets."""

import socket
from ipaddress import ip_address
from typing import cast

import anyio
from anyio.abc import SocketListener

BACKLOG = 1024  # All gateways may connect at the same time after a server start.


async def open_listener(address: tuple[str, int]) -> SocketListener:
    """Opens a listener on a host and port, which may be 0.

    A numeric address is bound directly: to resolve it, the event loop would start threads and wait
    for one of them without a limit, which on a crowded machine delays the start.

    Raises:
        OSError: The address cannot be resolved or bound.
    """
    host, port = address
    family = _family_of(host)
    if family is not None:
        return await SocketListener.from_socket(_bind(family, host, port))
    listeners = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
    return cast(SocketListener, listeners.listeners[0])


def _family_of(host: str) -> socket.AddressFamily | None:
    """Returns the family of a numeric address; None for a name and for an address with a scope."""
    try:
        version = ip_address(host).version
    except ValueError:
        return None
    if version == 4:
        return socket.AF_INET
    return None if "%" in host else socket.AF_INET6


def _bind(family: socket.AddressFamily, host: str, port: int) -> socket.socket:
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind((host, port))
        sock.listen(BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock
