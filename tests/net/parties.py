"""Stand-ins for gateways, worker pool, database and registry, and a runner for the program.

The stand-ins use blocking sockets on loopback; every wait has a timeout.
"""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
from base64 import b64decode, b64encode
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import msgpack

from tests.request_ids import rid, short

# A server replaces a pool connection on which no poll is answered for this time.
POLL_TIMEOUT_S = 1.0
LISTENERS: dict[Any, socket.socket] = {}  # Listening sockets of the parties, by address.
# Timeout of all waits, well above the duration of any step; reached only on a failure.
WAIT_S = 20.0
SETTINGS = {
    "classes": [
        {"name": "read", "target": 4_000_000, "deadline": 8_000_000, "effect": "repeatable"},
        {"name": "put", "deadline": 8_000_000, "effect": "by_key", "memory-span": 9_000_000},
    ],
    "family-info": {
        "cores": 8,
        "memory-kb": 90000.0,
        "meters": ["core_use", "on_cores"],
        "signal": "bias",
        "below": "next_hop",
        "cold": False,
    },
    "rules": {"fall-multiple": 8.0},
    "servers": 2,
    "tenants": [{"name": "acme", "share": 1.0}],
    "not-known": [None, {"x": [1, 2]}],
}


class Peer:
    """One accepted or dialed connection."""

    def __init__(self, sock: socket.socket) -> None:
        sock.settimeout(WAIT_S)
        self.sock, self.file = sock, sock.makefile("rb")

    def send(self, data: bytes) -> None:
        self.sock.sendall(data)

    def line(self) -> bytes:
        return self.file.readline()

    def close(self) -> None:
        self.file.close()
        self.sock.close()

    def is_closed_by_peer(self) -> bool:
        """Waits for the other side to close the connection, by a shutdown or a reset."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True

    def is_shut_down_by_peer(self) -> bool:
        """Waits for the other side to end the connection; returns False if it is reset."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return False


class Party:
    """A listening socket whose connections the test accepts one by one."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_server((host, int(port)))
        self.sock.settimeout(WAIT_S)
        self.address = "{}:{}".format(*self.sock.getsockname())
        LISTENERS[self.sock.getsockname()] = self.sock

    def accept(self) -> Peer:
        return Peer(self.sock.accept()[0])


class Pool(Peer):
    """One connection of a worker pool.

    A server replaces the connection if no poll is answered for a second. A stand-in that was itself
    stalled for that long accepts the new connection, as a pool does. Any other end of the connection
    fails the test.
    """

    serial = 0

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock)
        self.address = sock.getsockname()
        self.last_activity_at_s = time.monotonic()
        # After a stall, the server may replace the connection until this time.
        self.replacement_expected_until_s = 0.0
        self.notices: list[dict[str, Any]] = []  # Sent again on a replacing connection.
        self.spawned: list[str] = []
        # Runs started on a previous connection; repeated start commands are ignored.
        self.known_runs: set[str] = set()

    def line(self) -> bytes:
        self.record_activity()
        try:
            line = super().line()
        except ConnectionResetError:
            line = b""
        self.last_activity_at_s = time.monotonic()
        return line

    def send(self, data: bytes) -> None:
        self.record_activity()
        try:
            super().send(data)
        except (BrokenPipeError, ConnectionResetError):
            if not self.is_replacement_expected():
                raise

    def record_activity(self) -> None:
        now = time.monotonic()
        if now - self.last_activity_at_s > POLL_TIMEOUT_S:
            self.replacement_expected_until_s = now + 2 * POLL_TIMEOUT_S
        self.last_activity_at_s = now

    def is_replacement_expected(self) -> bool:
        """Returns whether the stand-in was recently stalled for longer than the poll timeout."""
        return time.monotonic() < self.replacement_expected_until_s

    def accept_replacement(self) -> None:
        """Accepts the connection that replaces this one, binds it and repeats missed notices."""
        with socket.socket(fileno=os.dup(LISTENERS[self.address].fileno())) as listener:
            listener.settimeout(WAIT_S)
            sock, _ = listener.accept()
        self.close()
        Peer.__init__(self, sock)
        self.replacement_expected_until_s = 0.0
        self.last_activity_at_s = time.monotonic()
        self.known_runs = set(self.spawned)
        last_serial = self.command("bind")["serial"]
        self.send_message("bound", how="running", duration=50000)
        for notice in self.notices:
            if notice["serial"] > last_serial:
                self.send_message(**notice)

    def command(self, *kinds: str) -> dict[str, Any]:
        """Returns the next command of the given kinds; polls in between are answered."""
        while True:
            if not (line := self.line()):
                if not self.is_replacement_expected():
                    break
                self.accept_replacement()
                continue
            message: dict[str, Any] = json.loads(line)
            if message["msg"] == "poll":
                self.send_message("polled", cookie=message["cookie"], stats=[0.1, 0.0])
            if message["msg"] == "spawn":
                if message["call"] in self.known_runs:
                    continue
                self.spawned.append(message["call"])
            if message["msg"] in kinds:
                if "call" in message:
                    message["call"] = short(message["call"])
                return message
        raise AssertionError("the pool's link ended")

    def send_message(self, msg: str, **fields: Any) -> None:
        self.send(json.dumps({"msg": msg, **fields}).encode() + b"\n")

    def notice(self, msg: str, **fields: Any) -> None:
        Pool.serial += 1
        if "call" in fields:
            fields["call"] = rid(fields["call"])
        self.notices.append({"msg": msg, "serial": Pool.serial, **fields})
        self.send_message(msg, serial=Pool.serial, **fields)

    def finish(self, call: str, result: bytes) -> None:
        self.notice("finished", call=call, how="fine", duration=5, blob=b64encode(result).decode())


class Gateway(Peer):
    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(socket.create_connection((host, int(port)), timeout=WAIT_S))
        self.unpacker = msgpack.Unpacker(raw=False)

    def task(
        self, message_id: int, name: str, body: bytes, stage: str = "read", **more: str
    ) -> None:
        fields = {
            "rid": rid(name),
            "t0": str(int(time.time() * 1000)),
            "peer": "1",
            "acct": "acme",
            "mem": "2.5",
            "prio": "0.25",
        }
        self.send(msgpack.packb([0, message_id, stage, [fields | more, body]]))

    def answer(self) -> Any:
        while True:
            for frame in self.unpacker:
                return frame
            data = self.sock.recv(65536)
            assert data, "the connection ended"
            self.unpacker.feed(data)


def result(answer: Any) -> bytes:
    assert answer[2] is None, answer
    body: bytes = answer[3][0]
    return body


class Program:
    """The program in a child process, with stand-ins for the worker pool, database and registry."""

    def __init__(self, path: Path, listen: str = "127.0.0.1:0", **changes: Any) -> None:
        self.pool, self.db, self.registry = Party(), Party(), Party()
        default_values = {
            "name": "n3",
            "listen": listen,
            "pool": self.pool.address,
            "db": self.db.address,
            "registry": self.registry.address,
            "seed": "8c1f30d27a5be964",
            "stop_ms": 3000,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 64},
            "settings": SETTINGS,
        }
        self.start_values, self.config_path = {**default_values, **changes}, path / "config.json"
        self.config_path.write_text(json.dumps(self.start_values))
        command = [sys.executable, "-m", "pumicenotch"]
        environment = {**os.environ, "LB_CONFIG": str(self.config_path)}
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, env=environment)
        self.log: list[str] = []
        Pool.serial = 0

    def __enter__(self) -> "Program":
        self.address = self.wait_for_log(r"listening on (\S+)")
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.communicate()
        for party in (self.pool, self.db, self.registry):
            party.sock.close()

    def wait_for_log(self, pattern: str) -> str:
        """Reads the log up to the first line that matches; returns the first group of the match."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            if match := re.search(pattern, line):
                return match[1]
        raise AssertionError(f"no {pattern} in {self.log}")

    def bind(self, **replayed: bytes) -> Pool:
        """Accepts and binds a pool connection, and reports the given runs as finished on it."""
        pool = Pool(self.pool.accept().sock)
        self.bound_serial = pool.command("bind")["serial"]
        pool.send_message("bound", how="running", duration=50000)
        for call, result in replayed.items():
            pool.finish(call, result)
        pool.command("poll")
        return pool

    def reload(self, text: str | None = None, **changes: Any) -> str:
        """Writes the configuration file, requests a reload and returns the next log line on it."""
        self.config_path.write_text(
            json.dumps({**self.start_values, **changes}) if text is None else text
        )
        self.process.send_signal(signal.SIGHUP)
        return self.wait_for_log("(reload.*)")

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Stops the process, so that all events of the block arrive in one turn of its loop."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def end(self) -> tuple[int, str]:
        """Requests the shutdown; returns the exit status and the last counters."""
        self.process.send_signal(signal.SIGTERM)
        counters = self.wait_for_log("counters: (.*)")
        return self.process.wait(WAIT_S), counters


def blob(command: dict[str, Any]) -> bytes:
    return b64decode(command["blob"])
