# ruff: noqa: D102, D103
"""A bad client: hundreds of requests at once, and each the same again as soon as it is turned away.

Its ids are unknown to the worker pool. It sends at full speed and reads what comes back to it.

Arguments: port, connections, requests at once on each, seconds.
"""

import os
import select
import socket
import sys
import time
from collections import Counter

import msgpack


class Connection:
    """One connection and the requests on it, each with its own key and body."""

    def __init__(self, port: int, at_once: int) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.unpacker = msgpack.Unpacker()
        self.number = 0
        self.open: dict[int, tuple[str, bytes]] = {}
        self.send([(os.urandom(16).hex(), os.urandom(24)) for _ in range(at_once)])

    def send(self, requests: list[tuple[str, bytes]]) -> None:
        data = b""
        for token, body in requests:
            self.number += 1
            self.open[self.number] = (token, body)
            fields = {
                "rid": os.urandom(8).hex(),
                "t0": str(int(time.time() * 1000)),
                "peer": "77",
                "acct": "osu-design",
                "est": "90.00",
                "mem": "24.5",
                "prio": "0.5000",
                "token": token,
            }
            data += msgpack.packb([0, self.number, "final-submit", [fields, body]])
        self.socket.sendall(data)

    def read(self, answers: Counter[str]) -> None:
        data = self.socket.recv(65536)
        if not data:
            raise ConnectionError("closed")
        self.unpacker.feed(data)
        again = []
        for frame in self.unpacker:
            if frame[0] == 1:
                answers["served" if frame[2] is None else frame[2][0]] += 1
                again.append(self.open.pop(frame[1]))
        if again:
            self.send(again)


def main() -> None:
    port, connections, at_once, seconds = map(int, sys.argv[1:5])
    answers: Counter[str] = Counter()
    until = time.time() + seconds
    found: list[Connection] = []
    while time.time() < until:
        while len(found) < connections:
            try:
                found.append(Connection(port, at_once))
            except OSError:
                answers["not connected"] += 1
                time.sleep(0.05)
                if time.time() > until:
                    break
        sockets = {each.socket: each for each in found}
        for ready in select.select(list(sockets), [], [], 0.5)[0]:
            try:
                sockets[ready].read(answers)
            except OSError:
                answers["closed"] += 1
                ready.close()
                found.remove(sockets[ready])
    print(dict(answers))


main()
