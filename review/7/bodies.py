# ruff: noqa: D103
"""Bad clients that send 60 MB bodies at full speed, each on a connection of its own.

Each sends one request whose body has 60 MB, reads what comes back to it, and comes again with a new
connection once this one is closed or all is sent.

Arguments: port, clients, seconds.
"""

import os
import socket
import sys
import threading
import time
from collections import Counter

import msgpack

BODY_BYTES = 60_000_000
PIECE = b"x" * 262_144
told: Counter[str] = Counter()


def head() -> bytes:
    """Returns a request up to its body: a bin of 60 MB follows."""
    fields = {
        "rid": os.urandom(8).hex(),
        "t0": str(int(time.time() * 1000)),
        "peer": "77",
        "acct": "osu-design",
        "mem": "24.5",
        "prio": "0.5000",
    }
    start = msgpack.packb([0, 1, "preview"])[1:]
    size = b"\xc6" + BODY_BYTES.to_bytes(4, "big")
    return b"\x94" + start + b"\x92" + msgpack.packb(fields) + size


def send_body(port: int, until: float) -> str:
    with socket.create_connection(("127.0.0.1", port), timeout=3.0) as sock:
        sock.settimeout(6.0)
        sent = 0
        try:
            sock.sendall(head())
            while sent < BODY_BYTES and time.time() < until:
                sent += sock.send(PIECE[: BODY_BYTES - sent])
            return "refused" if sock.recv(65536) else "closed"
        except TimeoutError:
            return "no answer"
        except OSError:
            return "reset"


def client(port: int, until: float) -> None:
    while time.time() < until:
        try:
            told[send_body(port, until)] += 1
        except OSError:
            told["not connected"] += 1
            time.sleep(0.05)


def main() -> None:
    port, clients, seconds = map(int, sys.argv[1:4])
    until = time.time() + seconds
    threads = [threading.Thread(target=client, args=(port, until)) for _ in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(dict(told))


main()
