"""Tells of a connection what its reader does not see: bytes it was not given, and a reset."""

import select
import socket
import struct
from contextlib import suppress

# Offset and end of tcpi_bytes_received in the kernel's struct tcp_info, since Linux 4.1.
BYTES_RECEIVED_OFFSET = 128
BYTES_RECEIVED_END = 136
# The first byte of tcp_info, tcpi_state, and its value for a connection that has been reset.
STATE_BYTES = 1
TCP_CLOSE = 7


def has_unread_input(sock: socket.socket) -> bool:
    """Returns whether the socket has unreceived bytes or an unreceived end of the stream.

    Bytes that the event loop has received and not passed on yet are not seen.
    """
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def is_reset(sock: socket.socket) -> bool:
    """Returns whether the peer has reset the connection, also while received bytes are unread.

    A connection that both sides have shut down counts as reset: its input is of no more use either.
    """
    with suppress(OSError, AttributeError):
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, STATE_BYTES)[0]
        return bool(state == TCP_CLOSE)
    return False


def received_byte_count(sock: socket.socket) -> int | None:
    """Returns how many bytes have arrived on the socket; the end of the stream counts as one.

    None if the system does not tell, or if the socket is closed.
    """
    with suppress(OSError, AttributeError, struct.error):
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BYTES_RECEIVED_END)
        return int(struct.unpack_from("=Q", information, BYTES_RECEIVED_OFFSET)[0])
    return None
