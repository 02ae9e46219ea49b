"""The processes of servers and routers that a run starts on loopback, and how they are launched."""

import asyncio
import os
import subprocess
import sys
from pathlib import Path

from pumicenotch.lab.cores import Work
from pumicenotch.lab.peers import GatewayPeer, PoolPeer

HERE = "127.0.0.1"
POLL_S = 0.02  # between looks at a log or at a process


class Launch:
    """How an arm's servers are started."""

    def __init__(self, module: str = "pumicenotch", config: str = "") -> None:
        self.module, self.config = module, config

    def environment(self, settings: Path) -> dict[str, str]:
        """Of a server that reads that file of settings."""
        extra = {"PUMICENOTCH_CONFIG": self.config} if self.config else {}
        return {**os.environ, "LB_CONFIG": str(settings), **extra}


class Node:
    """One server's process, and its worker pool."""

    def __init__(self, number: int, work: Work) -> None:
        self.number, self.work = number, work
        self.process: subprocess.Popen[bytes] | None = None
        self.pool: PoolPeer | None = None
        self.conns: dict[int, list[GatewayPeer]] = {}  # by gateway
        self.address = (HERE, 0)
        self.timer: asyncio.TimerHandle | None = None
        self.ready = asyncio.Event()
        self.killed = self.left = False
        self.config = ""  # the arm's file, copied so that a reload may change it
        self.command: tuple[list[str], dict[str, str]] = ([], {})  # that it was started by
        self.log = Path()

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def ended(self) -> bool:
        """Whether it was started and is no longer there."""
        return self.process is not None and self.process.poll() is not None

    def spawn(self, module: list[str], environment: dict[str, str]) -> None:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *module], stderr=log, env=environment
            )

    def kill(self) -> None:
        """Of the experiment's own accord."""
        assert self.process is not None
        self.killed = self.left = True
        self.process.kill()

    async def listening(self) -> tuple[str, int]:
        """The address on which its log says that it listens."""
        while "listening on " not in (logged := self.log.read_text(errors="replace")):
            if self.ended:
                raise RuntimeError(f"server {self.number} did not start: {logged.strip()[-500:]}")
            await asyncio.sleep(POLL_S)
        host, _, port = logged.partition("listening on ")[2].split()[0].rstrip('",').rpartition(":")
        return host, int(port)

    def cpu_ms(self) -> float:
        """User and system time of the process so far."""
        try:
            assert self.process is not None
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except (OSError, AssertionError):
            return 0.0
        return (int(fields[11]) + int(fields[12])) * 1000.0 / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """The most that the process has held in memory."""
        try:
            assert self.process is not None
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(text.partition("VmHWM:")[2].split()[0]) / 1024.0
        except (OSError, AssertionError, IndexError):
            return 0.0
