"""Client side of an operator's requests to a fleet.

A request goes to any process of the fleet. A process that is not the leader names the leader, which is
then tried next.
"""

import socket
import time
from typing import Any

import msgpack

from pumicenotch import start
from pumicenotch.errors import PumicenotchError

# Time limit for the answer of one process: longer than a leader waits for a majority.
ANSWER_TIMEOUT_S = 4.0
# Time limit for a request over all processes tried, including changes of the leader in the meantime.
REQUEST_TIMEOUT_S = 15.0
# Pause before all addresses are tried again.
RETRY_INTERVAL_S = 0.2


class RequestRefusedError(PumicenotchError):
    """The fleet refused the request. The text is its reason."""


class ServerUnreachableError(PumicenotchError):
    """No process of the fleet could answer the request within the time limit."""


class Connection:
    """A MessagePack-RPC connection to one process of the fleet. Owns its socket."""

    def __init__(self, name: str, address: str) -> None:
        self.sock = socket.create_connection(start.parse_address(address), timeout=ANSWER_TIMEOUT_S)
        self.unpacker = msgpack.Unpacker(max_buffer_size=8 * 1024 * 1024, strict_map_key=False)
        self.number = 0
        self.sock.sendall(msgpack.packb([2, "hello", [name, "", "", ""]]))

    def ask(self, verb: str, *args: Any) -> tuple[Any, Any]:
        """Sends one request and returns its error (None on success) and its result.

        Raises:
            RequestRefusedError: The process refuses the connection.
            TimeoutError: There was no answer within ANSWER_TIMEOUT_S.
            ConnectionError: The process closed the connection before its answer.
        """
        self.number += 1
        self.sock.sendall(msgpack.packb([0, self.number, verb, args]))
        deadline = time.monotonic() + ANSWER_TIMEOUT_S
        while True:
            for frame in self.unpacker:
                match frame:
                    case [1, self.number, error, result]:
                        return error, result
                    case [2, "refused", [reason]]:
                        raise RequestRefusedError(reason)
            if time.monotonic() > deadline:
                raise TimeoutError("no answer within the time limit")
            data = self.sock.recv(65536)
            if not data:
                raise ConnectionError("connection closed before the answer")
            self.unpacker.feed(data)

    def close(self) -> None:
        self.sock.close()

    def __enter__(self) -> "Connection":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class Session:
    """A sequence of requests to a fleet.

    Each request goes first to the process that answered the previous one, and to other processes once
    that one fails. Owns at most one connection at a time.
    """

    def __init__(self, name: str, addresses: list[str]) -> None:
        self.name, self.addresses = name, addresses
        self.address = ""
        self.connection: Connection | None = None

    def ask(self, verb: str, *args: Any) -> Any:
        """Sends one request to the processes in turn until one answers, and returns the result.

        A process named as the leader by another one is tried next.

        Raises:
            RequestRefusedError: The fleet refused the request.
            ServerUnreachableError: No process could answer within REQUEST_TIMEOUT_S.
        """
        deadline, last_error = time.monotonic() + REQUEST_TIMEOUT_S, ""
        candidates = [self.address, *self.addresses] if self.address else list(self.addresses)
        while time.monotonic() < deadline:
            if not candidates:
                time.sleep(RETRY_INTERVAL_S)
                candidates = list(self.addresses)
            address = candidates.pop(0)
            try:
                error, result = self.connect(address).ask(verb, *args)
            except (OSError, ValueError) as fault:
                last_error = f"{address}: {fault}"
                self.close()
                continue
            if error is None:
                return result
            code, text, leader_address = (*error, None, None, None)[:3]
            if code == "Refused":
                raise RequestRefusedError(text)
            last_error = f"{address}: {text}"
            if code == "NotLeader" and leader_address:
                candidates.insert(0, leader_address)
        raise ServerUnreachableError(
            f"no process of the fleet could answer within {REQUEST_TIMEOUT_S:g} s; last error: {last_error}"
        )

    def connect(self, address: str) -> Connection:
        """Returns the open connection if it leads to this address, otherwise a new one."""
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


def send_request(name: str, addresses: list[str], verb: str, *args: Any) -> Any:
    """Sends one request in a session of its own and returns its result.

    Raises:
        RequestRefusedError: The fleet refused the request.
        ServerUnreachableError: No process could answer within REQUEST_TIMEOUT_S.
    """
    with Session(name, addresses) as session:
        return session.ask(verb, *args)
