"""One run of the soak: a real server on loopback, from its start to its end or its kill."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Mapping
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any, NamedTuple

from pumicenotch.lab.soak.clients import Client, SoakWorld
from pumicenotch.lab.soak.judge import SoakJudge, Violation
from pumicenotch.lab.soak.parties import HERE, LatePort, SoakPool, make_registry_peer
from pumicenotch.lab.soak.schedule import Outage, Schedule
from pumicenotch.lab.soak.starvation import limited_to_core_share

START_TIMEOUT_S = 20.0  # for a server to listen and bind its pool: a second on a quiet machine
POLL_S = 0.01  # between looks at the log
TURN_S = 0.002  # between two turns by which the runner's own stalls are seen
AFTER_KILL_S = 0.3  # for the last connections to end
MEMORY_MB = 192
MAX_DESCRIPTORS = 1024
OWN_DESCRIPTORS = 64  # of the server beside its connections
REQUEST_TIMEOUT_US = 8_000_000
KEY_WINDOW_US = 9_000_000
US_PER_MS = 1000.0
KB_PER_MB = 1024.0
LOG_TAIL_LENGTH = 600


class SoakStartError(RuntimeError):
    """The server did not come into service."""


class SoakResult(NamedTuple):
    """What a run showed."""

    schedule: Schedule
    violations: tuple[Violation, ...]
    rules: Mapping[str, int]
    counts: Mapping[str, int]
    exit_status: int
    end_ms: float  # after the notice
    memory_mb: float
    longest_stall_ms: float  # of the runner itself
    log: Path  # of the server; gone where the run had no folder of its own


def server_settings(schedule: Schedule) -> dict[str, Any]:
    """Returns what the platform would tell the server of this run."""
    return {
        "classes": [
            {
                "name": "read",
                "target": REQUEST_TIMEOUT_US // 2,
                "deadline": REQUEST_TIMEOUT_US,
                "effect": "repeatable",
            },
            {
                "name": "put",
                "target": REQUEST_TIMEOUT_US // 2,
                "deadline": REQUEST_TIMEOUT_US,
                "effect": "by_key",
                "memory-span": KEY_WINDOW_US,
            },
        ],
        "family-info": {
            "cores": schedule.cores,
            "memory-kb": 90000.0,
            "meters": ["core_use", "on_cores"],
            "signal": "bias",
            "below": "next_hop",
            "cold": False,
        },
        "rules": {
            "fall-multiple": 8.0,
            "stop-sending-within": round(schedule.grace_ms * US_PER_MS),
        },
        "servers": 1,
        "tenants": [{"name": "acme", "share": 1.0}],
    }


class SoakRun:
    """Carries one schedule.

    Args:
        schedule: The run.
        folder: For the server's file and log.
        environment: Of the server, beside this process's own.
    """

    def __init__(
        self, schedule: Schedule, folder: Path, environment: Mapping[str, str] | None = None
    ) -> None:
        self.schedule = schedule
        self.folder = folder
        self.environment = dict(environment or {})
        self.judge = SoakJudge(schedule.grace_ms)
        self.world = SoakWorld(schedule, self.judge, (HERE, 0))
        self.pool = SoakPool(self.world)
        self.pool_ports = [LatePort(), LatePort()]  # reloads move between them
        self.registry_ports = [LatePort(), LatePort()]
        self.port_index = 0
        self.config = folder / "config.json"
        self.log = folder / "server.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.ended = asyncio.Event()
        self.ended_at_ms = 0.0
        self.memory_mb = 0.0
        self.listeners: list[asyncio.Server] = []
        self.opening: asyncio.Future[None] | None = None  # of the registry

    async def run(self) -> SoakResult:
        """Returns what the run showed; no process is left behind.

        Raises:
            SoakStartError: The server did not come into service.
        """
        tasks: list[asyncio.Task[None]] = []
        try:
            await self._start()
            started_at_ms = self.world.now_ms()
            tasks.append(asyncio.create_task(self._watch_turns()))
            clients = [
                Client(self.world, plan, number)
                for number, plan in enumerate(self.schedule.clients, 1)
            ]
            tasks += [asyncio.create_task(client.run()) for client in clients]
            await self._play(started_at_ms)
        finally:
            self.world.ended = True
            self._kill()
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for listener in self.listeners:
                listener.close()
        return self._result()

    async def _start(self) -> None:
        for port in self.pool_ports:
            self.listeners.append(await port.listen(self.pool.make_peer))
        self._after(self.schedule.registry_outage, self._open_registry)
        self.config.write_text(json.dumps(self._start_values()))
        self._start_process()
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                self.world.address = await self._listening()
                await self.pool.bound.wait()
        except TimeoutError:
            raise SoakStartError(self._describe_log("is not in service")) from None

    def _start_process(self) -> None:
        environment = {**os.environ, **self.environment, "LB_CONFIG": str(self.config)}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "pumicenotch"], stderr=log, env=environment
            )
        descriptor = os.pidfd_open(self.process.pid)
        asyncio.get_running_loop().add_reader(descriptor, self._on_process_ended, descriptor)

    def _after(self, outage: Outage | None, callback: Callable[[], None]) -> None:
        delay_ms = outage.for_ms if outage is not None else 0.0
        asyncio.get_running_loop().call_later(delay_ms / 1000.0, callback)

    def _open_registry(self) -> None:
        self.opening = asyncio.ensure_future(self._listen_as_registry())

    async def _listen_as_registry(self) -> None:
        for port in self.registry_ports:
            self.listeners.append(await port.listen(make_registry_peer))

    def _start_values(self) -> dict[str, Any]:
        return {
            "name": "n1",
            "listen": f"{HERE}:0",
            "pool": self.pool_ports[self.port_index].address,
            "registry": self.registry_ports[self.port_index].address,
            "seed": f"{self.schedule.seed:016x}",
            "stop_ms": round(self.schedule.stop_ms),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": MAX_DESCRIPTORS},
            "settings": server_settings(self.schedule),
        }

    async def _listening(self) -> tuple[str, int]:
        while "listening on " not in (text := self.log.read_text(errors="replace")):
            if self.ended.is_set():
                raise SoakStartError(self._describe_log("ended"))
            await asyncio.sleep(POLL_S)
        host, _, port = text.partition("listening on ")[2].split()[0].rpartition(":")
        return host, int(port)

    def _describe_log(self, what: str) -> str:
        tail = self.log.read_text(errors="replace")[-LOG_TAIL_LENGTH:]
        return f"seed {self.schedule.seed}: the server {what}; the end of {self.log}:\n{tail}"

    async def _watch_turns(self) -> None:
        while True:
            self.judge.stalls.on_turn(self.world.now_ms())
            await asyncio.sleep(TURN_S)

    # The schedule

    async def _play(self, started_at_ms: float) -> None:
        schedule = self.schedule
        loop = asyncio.get_running_loop()
        for at_ms in schedule.reloads_at_ms:
            loop.call_later(at_ms / 1000.0, self._reload)
        if schedule.pool_stall is not None:
            stall = schedule.pool_stall
            loop.call_later(stall.at_ms / 1000.0, self.pool.stall, stall.for_ms)
        await self._sleep_until(started_at_ms + schedule.notice_at_ms)
        if self.ended.is_set():
            return
        self._measure()
        with ExitStack() as stack:
            if schedule.core_share < 1.0 and self.process is not None:
                limit = limited_to_core_share(self.process.pid, schedule.core_share)
                stack.enter_context(limit)
            await self._drain()
        await asyncio.sleep(AFTER_KILL_S)

    async def _drain(self) -> None:
        """Sends the notice and what follows it, up to the server's end or its kill."""
        schedule = self.schedule
        notice_at_ms = self.world.now_ms()
        self.judge.notice_at_ms = notice_at_ms
        self._signal("SIGTERM")
        for each in schedule.signals:
            asyncio.get_running_loop().call_later(each.after_ms / 1000.0, self._signal, each.name)
        kill_at_ms = notice_at_ms + schedule.stop_ms
        with suppress(TimeoutError):
            async with asyncio.timeout((kill_at_ms - self.world.now_ms()) / 1000.0):
                await self.ended.wait()
        self._kill()
        await self.ended.wait()

    async def _sleep_until(self, at_ms: float) -> None:
        """Sleeps until then, or until the server has ended."""
        with suppress(TimeoutError):
            async with asyncio.timeout((at_ms - self.world.now_ms()) / 1000.0):
                await self.ended.wait()

    def _reload(self) -> None:
        self.port_index = 1 - self.port_index
        self.config.write_text(json.dumps(self._start_values()))
        self._signal("SIGHUP")

    def _signal(self, name: str) -> None:
        if self.process is not None and not self.ended.is_set():
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.Signals[name])

    def _kill(self) -> None:
        if self.process is not None and not self.ended.is_set():
            self.process.kill()

    def _on_process_ended(self, descriptor: int) -> None:
        self.ended_at_ms = self.world.now_ms()
        asyncio.get_running_loop().remove_reader(descriptor)
        os.close(descriptor)
        assert self.process is not None
        status = self.process.wait()
        self.judge.process_ended(self.ended_at_ms, status)
        self.ended.set()

    # What it shows

    def _measure(self) -> None:
        """Looks at what the server holds before its notice."""
        assert self.process is not None
        now_ms = self.world.now_ms()
        with suppress(OSError):
            descriptors = len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))
            bound = 2 * len(self.schedule.clients) + OWN_DESCRIPTORS
            self.judge.resources_left(now_ms, "descriptors", descriptors, bound)
            self.memory_mb = _peak_memory_mb(self.process.pid)
            self.judge.resources_left(now_ms, "MB of memory", self.memory_mb, MEMORY_MB)

    def _result(self) -> SoakResult:
        assert self.process is not None
        longest_ms = max((end - start for start, end in self.judge.stalls.stalls), default=0.0)
        return SoakResult(
            schedule=self.schedule,
            violations=tuple(self.judge.violations),
            rules=self.judge.rules(),
            counts=dict(self.judge.counts),
            exit_status=self.process.returncode,
            end_ms=self.ended_at_ms - self.judge.notice_at_ms,
            memory_mb=self.memory_mb,
            longest_stall_ms=longest_ms,
            log=self.log,
        )


def _peak_memory_mb(process_id: int) -> float:
    text = Path(f"/proc/{process_id}/status").read_text()
    return int(text.partition("VmHWM:")[2].split()[0]) / KB_PER_MB


def run_schedule(
    schedule: Schedule, folder: Path | None = None, environment: Mapping[str, str] | None = None
) -> SoakResult:
    """Plays one schedule; the server's log stays in the folder, if one is named.

    Raises:
        SoakStartError: The server did not come into service.
    """
    import uvloop

    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
        return uvloop.run(SoakRun(schedule, folder, environment).run())
    with tempfile.TemporaryDirectory() as temporary:
        return uvloop.run(SoakRun(schedule, Path(temporary), environment).run())
