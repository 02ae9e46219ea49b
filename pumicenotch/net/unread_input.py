"""Tells whether a connection has received bytes that its reader has not been given."""

import select
import socket
import struct
from contextlib import suppress

# Offset and end of tcpi_bytes_received in the kernel's struct tcp_info, since Linux 4.1.
BYTES_RECEIVED_OFFSET = 128
BYTES_RECEIVED_END = 136


def has_unread_input(sock: socket.socket) -> bool:
    """Returns whether the socket has unreceived bytes or an unreceived end of the stream.

    Bytes that the event loop has received and not passed on yet are not seen.
    """
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def received_byte_count(sock: socket.socket) -> int | None:
    """Returns how many bytes have arrived on the socket; the end of the stream counts as one.

    None if the system does not tell, or if the socket is closed.
    """
    with suppress(OSError, AttributeError, struct.error):
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED_END)
        return int(struct.unpack_from("=Q", information, BYTES_RECEIVED_OFFSET)[0])
    return None
