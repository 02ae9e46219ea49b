"""An operator's requests to a fleet: to any of its processes, and from there to whoever leads."""

import socket
import time
from typing import Any

import msgpack

from pumicenotch import start
from pumicenotch.errors import PumicenotchError

ANSWER_S = 4.0  # of one process: longer than a leader waits for a majority
IN_ALL_S = 15.0  # over all processes asked, changes of leaders between them
PAUSE_S = 0.2  # before all are asked again


class RequestRefusedError(PumicenotchError):
    """The fleet's own no, with its reason."""


class ServerUnreachableError(PumicenotchError):
    """Nobody who could say."""


class Connection:
    """To one process of the fleet."""

    def __init__(self, name: str, address: str) -> None:
        self.sock = socket.create_connection(start.parse_address(address), timeout=ANSWER_S)
        self.unpacker = msgpack.Unpacker(max_buffer_size=8 * 1024 * 1024, strict_map_key=False)
        self.number = 0
        self.sock.sendall(msgpack.packb([2, "hello", [name, "", "", ""]]))

    def ask(self, verb: str, *args: Any) -> tuple[Any, Any]:
        """Error and result."""
        self.number += 1
        self.sock.sendall(msgpack.packb([0, self.number, verb, args]))
        until = time.monotonic() + ANSWER_S
        while True:
            for frame in self.unpacker:
                match frame:
                    case [1, self.number, error, result]:
                        return error, result
                    case [2, "refused", [why]]:
                        raise RequestRefusedError(why)
            if time.monotonic() > until:
                raise TimeoutError("no answer")
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError("closed without an answer")
            self.unpacker.feed(data)

    def close(self) -> None:
        self.sock.close()

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Session:
    """Requests one after the other, each to whoever answered the last one while it does."""

    def __init__(self, name: str, addresses: list[str]) -> None:
        self.name, self.addresses = name, addresses
        self.address = ""
        self.connection: Connection | None = None

    def ask(self, verb: str, *args: Any) -> Any:
        """Each process in turn, and whoever is said to lead first. Raises RequestRefusedError and ServerUnreachableError."""
        until, met = time.monotonic() + IN_ALL_S, ""
        todo = [self.address, *self.addresses] if self.address else list(self.addresses)
        while time.monotonic() < until:
            if not todo:
                time.sleep(PAUSE_S)
                todo = list(self.addresses)
            address = todo.pop(0)
            try:
                error, result = self.connected(address).ask(verb, *args)
            except (OSError, ValueError) as fault:
                met = f"{address}: {fault}"
                self.close()
                continue
            if error is None:
                return result
            code, text, more = (*error, None, None, None)[:3]
            if code == "Refused":
                raise RequestRefusedError(text)
            met = f"{address}: {text}"
            if code == "NotLeader" and more:
                todo.insert(0, more)
        raise ServerUnreachableError(
            f"nobody of the fleet could say in {IN_ALL_S:g} s; last: {met}"
        )

    def connected(self, address: str) -> Connection:
        if self.connection is None or address != self.address:
            self.close()
            self.connection = Connection(self.name, address)
            self.address = address
        return self.connection

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection, self.address = None, ""

    def __enter__(self) -> "Session":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


def asked(name: str, addresses: list[str], verb: str, *args: Any) -> Any:
    """One request. Raises RequestRefusedError and ServerUnreachableError."""
    with Session(name, addresses) as session:
        return session.ask(verb, *args)
