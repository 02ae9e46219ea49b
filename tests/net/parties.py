"""Stand-ins for the parties that the program talks to: blocking sockets on loopback, waits with a bound."""

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

POLL_PATIENCE_S = 1.0  # of a server, until it replaces a link on which no poll is answered
LISTENERS: dict[Any, socket.socket] = {}  # of parties, by their addresses
WAIT_S = 20.0  # far above what anything here takes: reached only where something is wrong
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
    """One accepted or dialled connection."""

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

    def ended(self) -> bool:
        """Waits for the other side to close."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return True

    def closed_cleanly(self) -> bool:
        """Waits for the other side to end its writing; a reset is none."""
        try:
            return self.sock.recv(1) == b""
        except ConnectionResetError:
            return False


class Party:
    """A listening address that accepts when it is told to."""

    def __init__(self, address: str = "127.0.0.1:0") -> None:
        host, _, port = address.rpartition(":")
        self.sock = socket.create_server((host, int(port)))
        self.sock.settimeout(WAIT_S)
        self.address = "{}:{}".format(*self.sock.getsockname())
        LISTENERS[self.sock.getsockname()] = self.sock

    def accept(self) -> Peer:
        return Peer(self.sock.accept()[0])


class Pool(Peer):
    """One link of a pool. A server replaces it where no poll is answered for a second: a stand-in that stood
    still for so long itself takes the new link, as a pool does. The end of any other link fails the test.
    """

    serial = 0

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock)
        self.address = sock.getsockname()
        self.attended_at = time.monotonic()
        self.excused_until = 0.0  # it has stood still: its server replaces the link
        self.notices: list[dict[str, Any]] = []  # of this link, for the next one
        self.spawned: list[str] = []
        self.running_already: set[str] = (
            set()
        )  # as a new link came: asked for again, nothing happens

    def line(self) -> bytes:
        self.note_attendance()
        try:
            line = super().line()
        except ConnectionResetError:
            line = b""
        self.attended_at = time.monotonic()
        return line

    def send(self, data: bytes) -> None:
        self.note_attendance()
        try:
            super().send(data)
        except (BrokenPipeError, ConnectionResetError):
            if not self.is_excused():
                raise

    def note_attendance(self) -> None:
        now = time.monotonic()
        if now - self.attended_at > POLL_PATIENCE_S:
            self.excused_until = now + 2 * POLL_PATIENCE_S
        self.attended_at = now

    def is_excused(self) -> bool:
        """It stood still for longer than a server waits for an answered poll, and just now."""
        return time.monotonic() < self.excused_until

    def take_new_link(self) -> None:
        """Accepts the link that replaces this one, is bound anew and sends the missed notices again."""
        with socket.socket(fileno=os.dup(LISTENERS[self.address].fileno())) as listener:
            listener.settimeout(WAIT_S)
            sock, _ = listener.accept()
        self.close()
        Peer.__init__(self, sock)
        self.excused_until = 0.0
        self.attended_at = time.monotonic()
        self.running_already = set(self.spawned)
        last = self.command("bind")["serial"]
        self.say("bound", how="running", duration=50000)
        for notice in self.notices:
            if notice["serial"] > last:
                self.say(**notice)

    def command(self, *wanted: str) -> dict[str, Any]:
        """The next command of those; every poll on the way is answered."""
        while True:
            if not (line := self.line()):
                if not self.is_excused():
                    break
                self.take_new_link()
                continue
            said: dict[str, Any] = json.loads(line)
            if said["msg"] == "poll":
                self.say("polled", cookie=said["cookie"], stats=[0.1, 0.0])
            if said["msg"] == "spawn":
                if said["call"] in self.running_already:
                    continue
                self.spawned.append(said["call"])
            if said["msg"] in wanted:
                if "call" in said:
                    said["call"] = short(said["call"])
                return said
        raise AssertionError("the pool's link ended")

    def say(self, msg: str, **fields: Any) -> None:
        self.send(json.dumps({"msg": msg, **fields}).encode() + b"\n")

    def notice(self, msg: str, **fields: Any) -> None:
        Pool.serial += 1
        if "call" in fields:
            fields["call"] = rid(fields["call"])
        self.notices.append({"msg": msg, "serial": Pool.serial, **fields})
        self.say(msg, serial=Pool.serial, **fields)

    def finish(self, call: str, result: bytes) -> None:
        self.notice("finished", call=call, how="fine", duration=5, blob=b64encode(result).decode())


class Gateway(Peer):
    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(socket.create_connection((host, int(port)), timeout=WAIT_S))
        self.unpacker = msgpack.Unpacker(raw=False)

    def task(self, message: int, name: str, body: bytes, stage: str = "read", **more: str) -> None:
        fields = {
            "rid": rid(name),
            "t0": str(int(time.time() * 1000)),
            "peer": "1",
            "acct": "acme",
            "mem": "2.5",
            "prio": "0.25",
        }
        self.send(msgpack.packb([0, message, stage, [fields | more, body]]))

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
    """The program in a process of its own, with a stand-in for each of the others."""

    def __init__(self, path: Path, listen: str = "127.0.0.1:0", **changes: Any) -> None:
        self.pool, self.db, self.registry = Party(), Party(), Party()
        told = {
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
        self.told, self.config = {**told, **changes}, path / "config.json"
        self.config.write_text(json.dumps(self.told))
        command = [sys.executable, "-m", "pumicenotch"]
        environment = {**os.environ, "LB_CONFIG": str(self.config)}
        self.process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, env=environment)
        self.log: list[str] = []
        Pool.serial = 0

    def __enter__(self) -> "Program":
        self.address = self.logged(r"listening on (\S+)")
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.communicate()
        for party in (self.pool, self.db, self.registry):
            party.sock.close()

    def logged(self, pattern: str) -> str:
        """Reads the log to the first line that fits, and returns what the pattern catches."""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.log.append(line)
            if match := re.search(pattern, line):
                return match[1]
        raise AssertionError(f"no {pattern} in {self.log}")

    def bind(self, **replayed: bytes) -> Pool:
        """A new link to the pool, on which the runs of those tasks turn out to have ended."""
        pool = Pool(self.pool.accept().sock)
        self.bound_with = pool.command("bind")["serial"]
        pool.say("bound", how="running", duration=50000)
        for call, result in replayed.items():
            pool.finish(call, result)
        pool.command("poll")
        return pool

    def reload(self, text: str | None = None, **changes: Any) -> str:
        """Puts that in the configuration file, has it read, and returns what the log says of it."""
        self.config.write_text(json.dumps({**self.told, **changes}) if text is None else text)
        self.process.send_signal(signal.SIGHUP)
        return self.logged("(reload.*)")

    @contextmanager
    def held(self) -> Iterator[None]:
        """The process stands still meanwhile: what is put in place is all there in one turn of its loop."""
        self.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.process.pid, os.WSTOPPED)
        try:
            yield
        finally:
            self.process.send_signal(signal.SIGCONT)

    def end(self) -> tuple[int, str]:
        """Asks it to end, and returns its exit status and its last counters."""
        self.process.send_signal(signal.SIGTERM)
        counters = self.logged("counters: (.*)")
        return self.process.wait(WAIT_S), counters


def blob(command: dict[str, Any]) -> bytes:
    return b64decode(command["blob"])
