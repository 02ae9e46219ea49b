# ruff: noqa: D102, D103 - methods are named for what the protocol names
"""Stand-ins for the parties of a server, as the page PROTOCOL describes them, on asyncio.

`Platform` has the worker pool, the database, the registry and the record of what was sent, answered
and run. `Gateway` is one gateway connection. `Server` starts the project's own programs with the
commands of the deploy file. All addresses are loopback addresses, all ports are free ones.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path
from typing import Any

import msgpack

ROOT = Path(__file__).resolve().parents[2]
HERE = "127.0.0.1"
PAGE = os.sysconf("SC_PAGE_SIZE")
TENANTS = ("osu-design", "tema-visual", "ridge-studio")
Classes = dict[str, tuple[int, int, str, int, float]]
# Classes of accra-east: due time and time limit in ms, effect, window of repeats in ms, worth.
CLASSES: Classes = {
    "preview": (2500, 6300, "repeatable", 5000, 1.0),
    "bake": (3400, 8400, "repeatable", 5000, 1.0),
    "final-submit": (5000, 13000, "by_key", 37794, 3.0),
}


def unix_ms() -> int:
    return int(time.time() * 1000)


def settings(
    cores: int = 6,
    classes: Classes = CLASSES,
    tenants: tuple[str, ...] = TENANTS,
    **family: Any,
) -> dict[str, Any]:
    """The settings object of a small deployment, by default one like accra-east (page WIRE)."""
    return {
        "classes": [
            {
                "name": name,
                "target": due * 1000,
                "deadline": limit * 1000,
                "effect": effect,
                "memory-span": window * 1000,
                "worth": worth,
                "late-value": 0.0,
            }
            for name, (due, limit, effect, window, worth) in classes.items()
        ],
        "family-info": {
            "cores": cores,
            "memory-kb": 90342.0,
            "run-factor": 8.0,
            "cold": False,
            "meters": ["core_use", "on_cores", "heap_share", "links"],
            "signal": "bias",
            "halt": "pause",
            "below": "next_hop",
            "callers": 4,
            "idle": 30_000_000,
            "stays-for": 200_000,
            "dep-window": 5_000_000,
            "entry-kb": 97.89,
            "class-skip-worth": [0.5, 0.0, 0.0],
            **family,
        },
        "rules": {
            "fall": 2_000_000,
            "fall-multiple": 8.0,
            "cold-share": 0.21,
            "warm-after": 16_000_000,
            "stop-sending-within": 2_000_000,
            "grace-to-answer": 80_000,
        },
        "caps": {"max-retry-after": 1_000_000, "retry-after": True},
        "servers": 4,
        "tenants": [
            {"name": name, "share": 1.0 / len(tenants), "allowance-per-s": None} for name in tenants
        ],
    }


class Record:
    """Writes what was sent, answered and run to record.txt, a line each with ms since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def line(self, text: str) -> None:
        self.file.write(f"{(time.monotonic() - self.began) * 1000:9.1f} {text}\n")
        self.file.flush()


class Run:
    """A run in the worker pool."""

    def __init__(self, name: str, class_name: str, body: bytes) -> None:
        self.name, self.class_name, self.body = name, class_name, body
        self.paused = False
        self.waits: asyncio.Future[bytes | None] | None = None
        self.call_serial = 0


class Platform:
    """The worker pool, database and registry of one server; knows every request that was sent."""

    def __init__(self, record: Record, label: str = "n1") -> None:
        self.record, self.label = record, label
        self.known: dict[str, tuple[str, bytes]] = {}  # requests of gateways, by id
        self.over: set[str] = set()  # answered or given up
        self.runs: dict[str, Run] = {}
        self.ended: set[str] = set()
        self.started: list[tuple[float, str]] = []  # unix ms, id
        self.notices: list[dict[str, Any]] = []
        self.link: asyncio.StreamWriter | None = None
        self.links: set[asyncio.StreamWriter] = set()
        # Work and calls of a run, scaled down so that a short case sees many runs.
        self.work_ms = {"preview": 60.0, "bake": 120.0, "final-submit": 90.0}
        self.calls_below = {"preview": 1, "bake": 0, "final-submit": 1}
        self.db_ms = 15.0
        self.began = time.monotonic()
        self.registry_reports = 0
        self.servers: list[asyncio.base_events.Server] = []
        self.tasks: set[asyncio.Task[Any]] = set()

    async def open(self) -> dict[str, str]:
        """Opens the listeners; returns the addresses for the configuration."""
        addresses = {}
        for party, serve in (
            ("pool", self.serve_pool),
            ("db", self.serve_db),
            ("registry", self.serve_registry),
        ):
            listener = await asyncio.start_server(serve, HERE, 0)
            self.servers.append(listener)
            addresses[party] = "{}:{}".format(*listener.sockets[0].getsockname()[:2])
        return addresses

    def spawn_task(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Worker pool

    async def serve_pool(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                command = json.loads(line)
                if command["msg"] == "bind":
                    if self.link is not None and self.link is not writer:
                        self.link.close()
                    self.link = writer
                    uptime = round((time.monotonic() - self.began) * 1000)
                    self.write({"msg": "bound", "how": "running", "duration": uptime})
                    for notice in self.notices[command["serial"] :]:
                        self.write(notice)
                elif self.link is writer:
                    self.command(command)
        if self.link is writer:
            self.link = None
        writer.close()

    def write(self, message: dict[str, Any]) -> None:
        if self.link is not None and not self.link.is_closing():
            self.link.write(json.dumps(message).encode() + b"\n")

    def notice(self, **fields: Any) -> int:
        serial = len(self.notices) + 1
        self.notices.append({"serial": serial, **fields})
        self.write(self.notices[-1])
        return serial

    def command(self, command: dict[str, Any]) -> None:
        kind, name = command["msg"], command.get("call", "")
        if kind == "poll":
            busy = sum(run.waits is None for run in self.runs.values())
            use = min(1.0, busy / 6)
            stats = [use, busy, 0.1, 10]
            self.write({"msg": "polled", "cookie": command["cookie"], "stats": stats})
        elif kind == "spawn":
            body = b64decode(command["blob"])
            if self.known.get(name) != (command["service"], body):
                self.write({"msg": "unknown", "how": "spawn", "call": name})
            elif name in self.runs or name in self.ended:
                return
            elif name in self.over:
                self.ended.add(name)
                self.notice(msg="finished", call=name, how="late", duration=0)
            else:
                self.started.append((time.time() * 1000, name))
                self.record.line(f"{self.label} run {name} {command['service']}")
                self.runs[name] = run = Run(name, command["service"], body)
                self.spawn_task(self.run(run))
        elif name in self.runs:
            self.command_run(self.runs[name], command)
        elif name not in self.known:
            self.write({"msg": "unknown", "how": kind, "call": name})

    def command_run(self, run: Run, command: dict[str, Any]) -> None:
        kind = command["msg"]
        waits = run.waits is not None and not run.waits.done()
        if kind == "supply" and waits and run.waits is not None:
            run.waits.set_result(b64decode(command["blob"]))
        elif kind == "pass" and waits and run.waits is not None:
            if command["serial"] == run.call_serial:
                run.waits.set_result(None)
        elif kind == "suspend" and run.name in self.over:
            self.finish(run, "broken_off")

    async def run(self, run: Run) -> None:
        began = time.monotonic()
        work = self.work_ms[run.class_name] / 1000.0
        await asyncio.sleep(work / 2)
        for _ in range(self.calls_below[run.class_name]):
            if run.name in self.ended:
                return
            if run.name in self.over:
                self.finish(run, "broken_off")
                return
            run.waits = asyncio.get_running_loop().create_future()
            blob = b64encode(b"call " + run.name.encode()).decode()
            run.call_serial = self.notice(msg="blocked", call=run.name, blob=blob)
            await run.waits
            run.waits = None
            if run.name in self.ended:
                return
        await asyncio.sleep(work / 2)
        if run.name in self.ended:
            return
        result = b64encode(b"result of " + run.name.encode()).decode()
        self.finish(run, "fine", blob=result, duration=(time.monotonic() - began) * 1000)

    def request_over(self, name: str) -> None:
        """The request is answered or given up; a run that waits for a call ends there."""
        self.over.add(name)
        run = self.runs.get(name)
        if run is not None and run.waits is not None and not run.waits.done():
            self.finish(run, "broken_off")
            run.waits.set_result(None)

    def finish(self, run: Run, how: str, duration: float = 0.0, **fields: Any) -> None:
        if run.name in self.ended:
            return
        self.ended.add(run.name)
        self.runs.pop(run.name, None)
        self.record.line(f"{self.label} ended {run.name} {how}")
        self.notice(msg="finished", call=run.name, how=how, duration=round(duration), **fields)

    # Database and registry

    async def serve_db(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                kind, name, *rest = line.decode().split()
                if kind != "Q":
                    continue
                await reader.readexactly(int(rest[1]) + 2)
                await asyncio.sleep(self.db_ms / 1000.0)
                body = b"rows " + name.encode()
                writer.write(b"%b ROWS %d\r\n%b\r\n" % (name.encode(), len(body), body))
        writer.close()

    async def serve_registry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while head := await reader.readuntil(b"\r\n\r\n"):
                fields = dict(
                    line.split(": ", 1)
                    for line in head.decode().lower().split("\r\n")[1:]
                    if ": " in line
                )
                await reader.readexactly(int(fields["content-length"]))
                self.registry_reports += 1
                writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        writer.close()


class Request:
    """One try that a gateway sent."""

    def __init__(self, rid: str, class_name: str, body: bytes, fields: dict[str, str]) -> None:
        self.rid, self.class_name, self.body, self.fields = rid, class_name, body, fields
        self.sent_at = time.time() * 1000
        self.answer: asyncio.Future[tuple[str, Any]] = asyncio.get_running_loop().create_future()
        self.answered_at = 0.0
        self.answers = 0


def new_request(
    class_name: str,
    peer: int = 1,
    token: str = "",
    body: bytes = b"",
    tenant: str = TENANTS[0],
    again: bool = False,
) -> Request:
    fields = {
        "rid": os.urandom(8).hex(),
        "t0": str(unix_ms()),
        "peer": str(peer),
        "acct": tenant,
        "est": "90.00",
        "mem": "24.5",
        "prio": "0.5000",
    }
    if token:
        fields["token"] = token
    if again:
        fields["again"] = "1"
    return Request(fields["rid"], class_name, body or os.urandom(24), fields)


class Gateway:
    """One connection of a gateway. Knows the platform whose pool is to know its requests."""

    def __init__(self, platforms: list[Platform], record: Record, label: str = "g") -> None:
        self.platforms, self.record, self.label = platforms, record, label
        self.next_id = 0
        self.open: dict[int, Request] = {}
        self.draining = False
        self.closed = False

    async def connect(self, address: tuple[str, int]) -> "Gateway":
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.task = asyncio.ensure_future(self.read())
        return self

    def send(self, request: Request) -> Request:
        self.next_id += 1
        self.open[self.next_id] = request
        for platform in self.platforms:
            platform.known[request.rid] = (request.class_name, request.body)
        self.record.line(f"{self.label} sent {request.rid} {request.class_name}")
        request.sent_at = time.time() * 1000
        self.writer.write(
            msgpack.packb([0, self.next_id, request.class_name, [request.fields, request.body]])
        )
        return request

    def cancel(self, request: Request) -> None:
        for number, each in list(self.open.items()):
            if each is request:
                self.writer.write(msgpack.packb([2, "cancelRequest", [number]]))
                self.settle(number, "gone", None)

    def settle(self, number: int, kind: str, detail: Any) -> None:
        request = self.open.pop(number, None)
        if request is None:
            self.record.line(f"{self.label} answer to {number}, which is not open: {kind}")
            return
        request.answers += 1
        request.answered_at = time.time() * 1000
        for platform in self.platforms:
            platform.request_over(request.rid)
        took = request.answered_at - request.sent_at
        self.record.line(f"{self.label} answer {request.rid} {kind} after {took:.0f} ms {detail}")
        if not request.answer.done():
            request.answer.set_result((kind, detail))

    async def read(self) -> None:
        unpacker = msgpack.Unpacker()
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for frame in unpacker:
                    self.frame(frame)
        self.closed = True
        for number in list(self.open):
            self.settle(number, "lost", None)

    def frame(self, frame: Any) -> None:
        if frame[0] == 2:
            self.draining = self.draining or frame[1] == "draining"
            return
        _, number, error, result = frame
        if error is None and isinstance(result[0], bytes):
            self.settle(number, "served", result[0])
        elif error is None:
            request = self.open.pop(number)
            request.answer.set_result(("healthy" if result[0] else "unhealthy", None))
        else:
            self.settle(number, "refused" if error[0] == "TryLater" else "failed", error[1])

    async def alive(self) -> bool:
        self.next_id += 1
        request = Request("", "alive", b"", {})
        self.open[self.next_id] = request
        self.writer.write(msgpack.packb([0, self.next_id, "alive", [{}]]))
        return (await asyncio.wait_for(request.answer, 2.0))[0] == "healthy"

    async def close(self) -> None:
        self.writer.close()
        with contextlib.suppress(Exception):
            await asyncio.wait_for(self.task, 2.0)


class Process:
    """One of the project's own programs."""

    def __init__(self, command: str, environment: dict[str, str], log: Path) -> None:
        self.log = log
        with log.open("ab") as out:
            self.popen = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )

    @property
    def running(self) -> bool:
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        if self.running:
            self.popen.send_signal(number)

    async def ended(self, timeout_s: float) -> bool:
        until = time.monotonic() + timeout_s
        while self.running and time.monotonic() < until:  # noqa: ASYNC110 - a process has no event
            await asyncio.sleep(0.005)
        return not self.running

    def memory_mb(self) -> float:
        """The resident memory, as the platform counts it."""
        try:
            pages = int(Path(f"/proc/{self.popen.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * PAGE / 1048576

    def end(self) -> None:
        if self.running:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
        self.popen.wait()


def free_port() -> int:
    import socket

    with socket.socket() as sock:
        sock.bind((HERE, 0))
        return int(sock.getsockname()[1])


class Case:
    """What a case's script needs: the record, a temporary folder, and an end of all processes."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[Process] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        self.run_command: str = deploy["run"]

    def start_process(self, command: str, environment: dict[str, str], name: str) -> Process:
        process = Process(command, environment, self.folder / f"{name}.log")
        self.processes.append(process)
        return process

    def configure(self, name: str, addresses: dict[str, str], **values: Any) -> tuple[Path, int]:
        port = values.pop("port", 0) or free_port()
        document = {
            "name": name,
            "listen": f"{HERE}:{port}",
            **addresses,
            "seed": os.urandom(8).hex(),
            "stop_ms": 3200,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(),
            **values,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return path, port

    def start_server(self, path: Path, name: str, **environment: str) -> Process:
        """Starts one server with the command `run` of the deploy file."""
        return self.start_process(
            self.run_command, {"LB_NAME": name, "LB_CONFIG": str(path), **environment}, name
        )

    async def ready(self, port: int, timeout_s: float = 30.0) -> None:
        """Waits until a health check is answered as good, as the platform does."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.TimeoutError, TimeoutError):
                gateway = await Gateway([], self.record, "check").connect((HERE, port))
                try:
                    if await gateway.alive():
                        return
                finally:
                    await gateway.close()
            await asyncio.sleep(0.1)
        raise CannotRunError("the server was not ready in time")

    def close(self) -> None:
        for process in self.processes:
            process.end()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not run."""


def main(folder: str, play: Any) -> None:
    """Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    case = Case(Path(folder))
    status = 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        faults = asyncio.run(asyncio.wait_for(play(case), 115.0))
        sys.unraisablehook = lambda _: None  # streams that are collected after the loop's end
        for fault in faults:
            case.record.line(f"BROKEN {fault}")
            print(f"broken: {fault}")
        if not faults:
            print("the rule held")
        status = 1 if faults else 0
    except CannotRunError as error:
        print(f"the case couldn't run: {error}")
    except TimeoutError:
        print("the case couldn't run: it took too long")
    finally:
        if status == 2 or os.environ.get("KEEP"):
            for process in case.processes:
                with contextlib.suppress(OSError):
                    print(process.log.read_text()[-3000:])
        case.close()
    sys.exit(status)
