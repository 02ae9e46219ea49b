"""Stand-ins for gateways, worker pool and registry, and the processes of a case.

They follow the protocol pages: MessagePack-RPC to the servers, JSON lines from the worker pool,
HTTP/1.1 to the registry. All of it runs on loopback addresses and the real clock.
"""

# ruff: noqa: C901, D101, D102, D103

import asyncio
import contextlib
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parents[2]
BIN = ROOT / ".venv" / "bin"
HERE = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 112.0  # of a whole case
HELD, BROKEN, NOT_RUN = 0, 1, 2
pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: a line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self(text)
        print(text, flush=True)


_given_ports: set[int] = set()


def first_ephemeral_port() -> int:
    """Returns the lowest port that the system gives to outgoing connections."""
    try:
        return int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    except (OSError, ValueError):
        return 32768


def free_address() -> str:
    """Returns a loopback address whose port is free now and was not returned before.

    The port is below those of outgoing connections, where there are enough, so that none of them
    takes it before its server listens, or while its server restarts.
    """
    end = first_ephemeral_port()
    while True:
        port = random.randrange(10_000, end) if end > 12_000 else 0
        with socket.socket() as sock:
            try:
                sock.bind((HERE, port))
            except OSError:
                continue
            port = sock.getsockname()[1]
        if port not in _given_ports:
            _given_ports.add(port)
            return f"{HERE}:{port}"


def split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def now_ms() -> float:
    return time.time() * 1000.0


# Processes


def start_ticks(pid: int) -> str:
    """Returns the start time of a running process, which tells it from a later one with its id."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    return "" if fields[0] in "ZX" else fields[19]


class Processes:
    """Starts processes, and ends them and the servers that agents have started, by their ids."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.started: dict[str, subprocess.Popen[bytes]] = {}
        self.others: dict[int, str] = {}  # servers started by agents: start time by id

    def start(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Starts a process outside the repository's folder, with its log in the case's folder."""
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=self.folder,
                env={**os.environ, **(environment or {})},
            )
        self.started[name] = process
        self.record(f"start {name} pid={process.pid}")
        return process

    def log(self, name: str) -> str:
        try:
            return (self.folder / f"{name}.log").read_text(errors="replace")
        except OSError:
            return ""

    def adopt(self, pid: int) -> None:
        if pid and (began := start_ticks(pid)):
            self.others[pid] = began

    def signal_other(self, pid: int, number: int) -> None:
        if self.others.get(pid) and start_ticks(pid) == self.others[pid]:
            with contextlib.suppress(ProcessLookupError):
                os.kill(pid, number)

    def stop_all(self) -> None:
        """Ends whatever is left, agents first, so that they start no server again."""
        for process in self.started.values():
            if process.poll() is None:
                process.kill()
        for process in self.started.values():
            process.wait()
        for path in self.folder.glob("home-*/agent.json"):
            with contextlib.suppress(OSError, ValueError):
                self.adopt(int(json.loads(path.read_text())["pid"]))
        for pid in self.others:
            self.signal_other(pid, signal.SIGKILL)


# Worker pool


class Run:
    def __init__(self, call: str, work_ms: float, body: bytes) -> None:
        self.call, self.left_ms, self.body = call, work_ms, body
        self.paused = False


class WorkerPool:
    """A worker pool: its cores are shared evenly by all runs. It keeps notices for a new link.

    Args:
        work_ms: Returns the work of a run of the class, in ms on one core.
        on_spawn: Called for each new run with its id, class and body.
    """

    STEP_S = 0.005

    def __init__(
        self,
        name: str,
        record: Record,
        work_ms: Callable[[str], float],
        cores: int = 6,
        on_spawn: Callable[[str, str, bytes], None] = lambda *_: None,
    ) -> None:
        self.name, self.record, self.work_ms, self.cores = name, record, work_ms, cores
        self.on_spawn = on_spawn
        self.runs: dict[str, Run] = {}
        self.seen: set[str] = set()
        self.notices: list[dict[str, Any]] = []
        self.serial = 0
        self.writer: asyncio.StreamWriter | None = None
        self.address = ""
        self.up_since = time.monotonic()
        self.served = 0

    async def open(self) -> None:
        server = await asyncio.start_server(self._link, HERE, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])
        self.task = asyncio.create_task(self._work())

    def restart(self) -> None:
        """The pool starts from nothing, as its server does."""
        self.runs.clear()
        self.seen.clear()
        self.notices.clear()
        self.serial = 0
        self.up_since = time.monotonic()
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    def _tell(self, message: dict[str, Any]) -> None:
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(json.dumps(message).encode() + b"\n")

    def _notice(self, message: dict[str, Any]) -> None:
        self.serial += 1
        notice = {"msg": message.pop("msg"), "serial": self.serial, **message}
        self.notices.append(notice)
        self._tell(notice)

    async def _link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                self._command(json.loads(line), writer)
        writer.close()

    def _command(self, command: dict[str, Any], writer: asyncio.StreamWriter) -> None:
        call = command.get("call", "")
        match command["msg"]:
            case "bind":
                if self.writer is not None and self.writer is not writer:
                    self.writer.close()
                if command["serial"] == 0 and self.serial:  # a new process of the server
                    self.runs.clear()
                    self.seen.clear()
                    self.notices.clear()
                    self.serial = 0
                    self.up_since = time.monotonic()
                self.writer = writer
                up_ms = (time.monotonic() - self.up_since) * 1000.0
                self._tell({"msg": "bound", "how": "running", "duration": round(up_ms)})
                for notice in self.notices:
                    if notice["serial"] > command["serial"]:
                        self._tell(notice)
            case "poll":
                busy = min(1.0, len(self.runs) / self.cores)
                stats = [busy, float(len(self.runs)), 0.1, 4.0]
                self._tell({"msg": "polled", "cookie": command["cookie"], "stats": stats})
            case "spawn":
                if call not in self.seen:
                    self.seen.add(call)
                    body = b64decode(command["blob"])
                    self.runs[call] = Run(call, self.work_ms(command["service"]), body)
                    self.record(f"run {self.name} call={call} class={command['service']}")
                    self.on_spawn(call, command["service"], body)
            case "suspend" | "proceed":
                if call in self.runs:
                    self.runs[call].paused = command["msg"] == "suspend"

    async def _work(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(self.STEP_S)
            now = time.monotonic()
            elapsed_ms, last = (now - last) * 1000.0, now
            active = [run for run in self.runs.values() if not run.paused]
            share = min(1.0, self.cores / len(active)) if active else 0.0
            for run in active:
                run.left_ms -= elapsed_ms * share
                if run.left_ms <= 0.0:
                    del self.runs[run.call]
                    self.served += 1
                    self._notice(
                        {
                            "msg": "finished",
                            "call": run.call,
                            "how": "fine",
                            "duration": 1,
                            "blob": b64encode(b"done " + run.call.encode()).decode(),
                        }
                    )


# Registry


class Registry:
    """Lists the servers that have reported within 3 s; gateways see it a second and a half late."""

    LATE_S, LAPSE_S = 1.5, 3.0

    def __init__(self) -> None:
        self.reports: dict[str, list[float]] = {}
        self.address = ""

    async def open(self) -> None:
        server = await asyncio.start_server(self._serve, HERE, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                lines = head.decode().split("\r\n")
                length = next(
                    int(line.split(":")[1])
                    for line in lines
                    if line.lower().startswith("content-length:")
                )
                await reader.readexactly(length)
                name = lines[0].split()[1].rpartition("/")[2]
                times = self.reports.setdefault(name, [])
                times.append(time.monotonic())
                del times[:-64]
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()

    def listed(self, name: str) -> bool:
        seen_at = time.monotonic() - self.LATE_S
        return any(seen_at - self.LAPSE_S <= at <= seen_at for at in self.reports.get(name, ()))


# Gateways


class Request:
    def __init__(self, server: str, stage: str, fields: dict[str, str], body: bytes) -> None:
        self.server, self.stage, self.fields, self.body = server, stage, fields, body
        self.written_at = 0.0
        self.outcome = ""  # served, rejected, failed, lost or refused (never written)
        self.result = b""
        self.reply: dict[str, str] = {}
        self.done = asyncio.Event()

    @property
    def rid(self) -> str:
        return self.fields["rid"]

    def end(self, outcome: str) -> None:
        if not self.outcome:
            self.outcome = outcome
            self.done.set()


class Connection:
    """One connection of a gateway to a server."""

    def __init__(self, gateway: "Gateway", server: str) -> None:
        self.gateway, self.server = gateway, server
        self.open: dict[int, Request] = {}
        self.number = 0
        self.draining = self.ended = False

    async def dial(self, address: str) -> None:
        self.reader, self.writer = await asyncio.open_connection(*split(address))
        self.task = asyncio.create_task(self._read())

    def send(self, request: Request) -> None:
        self.number += 1
        self.open[self.number] = request
        request.written_at = time.monotonic()
        self.writer.write(pack([0, self.number, request.stage, [request.fields, request.body]]))

    def send_together(self, requests: list[Request]) -> None:
        """Sends requests in a single write."""
        frames = b""
        for request in requests:
            self.number += 1
            self.open[self.number] = request
            request.written_at = time.monotonic()
            frames += pack([0, self.number, request.stage, [request.fields, request.body]])
        self.writer.write(frames)

    def cancel(self, request: Request) -> None:
        for number, each in list(self.open.items()):
            if each is request:
                del self.open[number]
                self.writer.write(pack([2, "cancelRequest", [number]]))

    async def _read(self) -> None:
        unpacker = msgpack.Unpacker(raw=False)
        with contextlib.suppress(ConnectionError, OSError):
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for frame in unpacker:
                    self._frame(frame)
        self.ended = True
        self.writer.close()
        for request in list(self.open.values()):
            self.gateway.on_lost(self, request)
        self.open.clear()

    def _frame(self, frame: Any) -> None:
        match frame:
            case [1, number, None, [body, dict(fields)]]:
                self._answer(number, "served", body, fields)
            case [1, number, [str(error), dict(fields)], None]:
                kind = "rejected" if error == "TryLater" else "failed"
                self._answer(number, kind, b"", fields)
            case [2, "draining", _]:
                self.draining = True
        if self.draining and not self.open:
            self.writer.close()
            self.ended = True

    def _answer(self, number: int, kind: str, body: Any, fields: dict[str, str]) -> None:
        request = self.open.pop(number, None)
        if request is None:
            self.gateway.record(f"answer to nothing open: {self.server} number={number}")
            return
        request.result = body if isinstance(body, bytes) else b""
        request.reply = fields
        self.gateway.record(f"answer {request.server} rid={request.rid} {kind} {fields}")
        request.end(kind)


class Gateway:
    """A gateway: one connection to each server, and another one where the first one drains.

    Args:
        addresses: The servers' addresses by name.
        listed: Tells whether a server is listed.
    """

    CROSSING_S = 0.05

    def __init__(
        self,
        number: int,
        record: Record,
        addresses: dict[str, str],
        listed: Callable[[str], bool] = lambda _: True,
        tenant: str = "osu-design",
    ) -> None:
        self.number, self.record, self.addresses, self.listed = number, record, addresses, listed
        self.tenant = tenant
        self.connections: dict[str, Connection] = {}  # the newest one to each server
        self.dialed: list[Connection] = []  # all, as nothing else refers to one that drains
        self.requests: list[Request] = []

    def fields(self, token: str = "", again: bool = False) -> dict[str, str]:
        fields = {
            "rid": secrets.token_hex(8),
            "t0": str(round(now_ms())),
            "peer": str(self.number),
            "acct": self.tenant,
            "est": "300.00",
            "mem": "24.5",
            "prio": "0.5000",
        }
        if token:
            fields["token"] = token
        if again:
            fields["again"] = "1"
        return fields

    async def connection(self, server: str) -> Connection | None:
        """Returns a connection that takes requests; None if the server refuses one."""
        connection = self.connections.get(server)
        if connection is not None and not (connection.ended or connection.draining):
            return connection
        connection = Connection(self, server)
        try:
            await connection.dial(self.addresses[server])
        except OSError:
            return None
        self.connections[server] = connection
        self.dialed.append(connection)
        return connection

    def order(self) -> list[str]:
        """Returns the listed servers in a random order, those last that are known to drain."""
        names = [name for name in self.addresses if self.listed(name)]
        random.shuffle(names)

        def drains(name: str) -> bool:
            connection = self.connections.get(name)
            return connection is not None and connection.draining

        return sorted(names, key=drains)

    async def send(
        self, stage: str, body: bytes, token: str = "", servers: list[str] | None = None
    ) -> Request:
        """Sends a request to the first server that takes a connection; returns it once written."""
        request = Request("", stage, self.fields(token), body)
        for server in servers if servers is not None else self.order():
            connection = await self.connection(server)
            if connection is not None and len(connection.open) < 32:
                request.server = server
                self.record(f"send {server} rid={request.rid} class={stage} token={token}")
                connection.send(request)
                self.requests.append(request)
                return request
        request.end("refused")
        return request

    def on_lost(self, connection: Connection, request: Request) -> None:
        age_s = time.monotonic() - request.written_at
        if age_s <= self.CROSSING_S and not request.reply.get("crossed"):
            request.reply["crossed"] = "1"
            self.record(f"crossed {request.server} rid={request.rid} after {age_s:.3f} s")
            asyncio.get_running_loop().create_task(self._again(request))
            return
        self.record(f"LOST {request.server} rid={request.rid} open for {age_s:.3f} s")
        request.end("lost")

    async def _again(self, request: Request) -> None:
        connection = await self.connection(request.server)
        if connection is None:
            request.end("refused")
        else:
            connection.send(request)


async def is_healthy(address: str, unknown: bool = False) -> bool:
    """Asks a server by a health check on a connection of its own.

    Returns `unknown` if no answer comes within a second.
    """
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*split(address))
            try:
                writer.write(pack([0, 1, "alive", [{}]]))
                unpacker = msgpack.Unpacker(raw=False)
                while data := await reader.read(4096):
                    unpacker.feed(data)
                    for frame in unpacker:
                        if frame[0] == 1:
                            return frame[2] is None and frame[3][0] is True
                return False
            finally:
                writer.close()
    except TimeoutError:
        return unknown
    except OSError:
        return False


# A fleet


def program(*words: str) -> list[str]:
    """Returns the command line of the project's command."""
    return [str(BIN / "pumicenotch"), *words]


SERVER_COMMAND = [str(BIN / "python"), "-m", "pumicenotch"]  # `run` of the deploy file


class Fleet:
    """Three voters, and operators' commands."""

    def __init__(
        self, processes: Processes, record: Record, budgets: str, name: str = "accra"
    ) -> None:
        self.processes, self.record, self.budgets, self.name = processes, record, budgets, name
        self.voters = {each: free_address() for each in ("v1", "v2", "v3")}

    def start(self) -> None:
        listed = "".join(
            f'voter "{name}" {{ address = "{address}" }}\n' for name, address in self.voters.items()
        )
        for name, address in self.voters.items():
            path = self.processes.folder / f"{name}.hcl"
            path.write_text(
                f'fleet = "{self.name}"\nmember = "{name}"\nlisten = "{address}"\nzone = "{name}"\n'
                f"{listed}{self.budgets}\n"
            )
            self.processes.start(name, program("voter", "--config", str(path)))

    def member(self, name: str, zone: str) -> str:
        """Returns the block `fleet` of a server's file."""
        return (
            f'fleet "{self.name}" {{\n  member = "{name}"\n  listen = "{free_address()}"\n'
            f'  zone = "{zone}"\n  voters = {json.dumps(list(self.voters.values()))}\n}}\n'
        )

    async def operator(self, *words: str, within_s: float = 20.0) -> tuple[int, str]:
        """Runs an operator's command, and returns its exit status and output."""
        command = program(*words, "--fleet", self.name)
        for address in self.voters.values():
            command += ["--at", address]
        process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            cwd=self.processes.folder,
        )
        try:
            async with asyncio.timeout(within_s):
                out, _ = await process.communicate()
        except TimeoutError:
            process.kill()
            return 1, "timed out"
        return process.returncode or 0, out.decode().strip()

    async def must(self, *words: str) -> str:
        status, out = await self.operator(*words)
        self.record(f"operator: {' '.join(words)} -> {status}: {out}")
        if status:
            raise CannotRunError(f"{' '.join(words)}: {out}")
        return out

    async def ask(self, verb: str, *args: Any) -> Any:
        """Asks the voters in turn, as the operators' command does; None if nobody answers."""
        for address in self.voters.values():
            try:
                async with asyncio.timeout(2.0):
                    reader, writer = await asyncio.open_connection(*split(address))
                    try:
                        writer.write(
                            pack([2, "hello", [self.name, "", "", ""]]) + pack([0, 1, verb, args])
                        )
                        unpacker = msgpack.Unpacker(raw=False, strict_map_key=False)
                        while data := await reader.read(65536):
                            unpacker.feed(data)
                            for frame in unpacker:
                                if frame[0] == 1 and frame[2] is None:
                                    return frame[3]
                                if frame[0] == 1:
                                    raise ConnectionError(str(frame[2]))
                    finally:
                        writer.close()
            except (OSError, TimeoutError):
                continue
        return None


async def until(
    condition: Callable[[], Awaitable[Any]], within_s: float, what: str, every_s: float = 0.1
) -> Any:
    """Waits until the condition holds, and returns its value."""
    deadline = time.monotonic() + within_s
    while time.monotonic() < deadline:
        if value := await condition():
            return value
        await asyncio.sleep(every_s)
    raise CannotRunError(f"not within {within_s:g} s: {what}")


def note_error(record: Record, context: dict[str, Any]) -> None:
    """Records an error of a stand-in's task, but not that the end of the case cancels it."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        record(f"error in a stand-in: {context}")


Case = Callable[[Path, Record, Processes], Awaitable[int]]


def main(case: Case, folder: Path) -> None:
    """Runs a case in a temporary folder and exits with its status."""
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")

    async def limited(work: Path, processes: Processes) -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        loop.set_exception_handler(lambda _, context: note_error(record, context))
        async with asyncio.timeout(LIMIT_S):
            return await case(work, record, processes)

    with tempfile.TemporaryDirectory() as name:
        processes = Processes(Path(name), record)
        status = NOT_RUN
        try:
            status = asyncio.run(limited(Path(name), processes))
        except (CannotRunError, TimeoutError, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {type(error).__name__} {error}")
        finally:
            processes.stop_all()
            if kept := os.environ.get("KEEP_LOGS"):
                for path in Path(name).rglob("*.log"):
                    target = Path(kept) / path.relative_to(name)
                    target.parent.mkdir(parents=True, exist_ok=True)
                    target.write_bytes(path.read_bytes())
    names = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}
    record.say(f"the rule: {names[status]}")
    sys.exit(status)
