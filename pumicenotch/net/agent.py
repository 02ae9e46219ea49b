"""The agent beside a server, wired to its fleet, its disk and its server's process (`python -m
pumicenotch.net.agent FILE`). It dials voters and listens nowhere.
"""

import contextlib
import os
import secrets
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, cast

import anyio
from anyio import to_thread
from anyio.abc import TaskGroup
from loguru import logger

from pumicenotch.config import agent as config
from pumicenotch.config import versions
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.member import effects
from pumicenotch.membership.messages import MemberIdentity
from pumicenotch.net import logs
from pumicenotch.net.peers import PeerHub, ResettableTimer

LOOK_S = 0.05  # between looks at its server's process: a fraction of what a start takes
FRAME_MOST = 128 * 1024
LINKS_MOST = 32
KEPT = 4  # versions on the disk beyond those that are in use


def ticks(pid: int) -> str:
    """When that process began; "" if there is none or it has ended. Of two of one number only one has it."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    return "" if fields[0] in "ZX" else fields[19]


class AgentHub(PeerHub):
    """Carries an agent: what it asks goes to voters, what it does to the disk and the process."""

    def __init__(
        self,
        told: config.AgentFile,
        core: Agent,
        disk: config.Disk,
        clock: ResettableTimer,
        group: TaskGroup,
    ) -> None:
        core.me = MemberIdentity("", "", core.incarnation, 0, "", "")  # type: ignore[attr-defined]
        super().__init__(cast(Any, core), clock, group, lambda why: None, FRAME_MOST, LINKS_MOST)
        self.told, self.agent, self.disk = told, core, disk
        self.home = Path(told.home)
        self.process: subprocess.Popen[bytes] | None = None

    def carry_out(self, effect: Any) -> None:
        match effect:
            case effects.FetchVersion(version):
                self.group.start_soon(self.hold, version)
            case effects.ActivateVersion(slot, version):
                self.group.start_soon(self.swap, slot, version)
            case effects.StartServer():
                self.start()
            case effects.StopServer(force):
                self.signal(signal.SIGKILL if force else signal.SIGTERM)
            case effects.ReloadServer():
                self.signal(signal.SIGHUP)
            case effects.RestartAgent():
                self.anew()
            case effects.ConfirmVersions(slots):
                good = {slot: version for slot, version in self.disk.runs.items() if slot in slots}
                self.save(good={**self.disk.good, **good}, tries=0, trouble="")
                self.tidy()
            case effects.Log(text):
                logger.info("agent: {}", text)
            case _:
                super().carry_out(effect)

    # The disk

    def save(self, **changes: Any) -> str:
        """Why not, if so."""
        made = self.disk._replace(**changes)
        try:
            config.write(self.told, made)
        except OSError as error:
            return f"{error.filename or self.home}: {error.strerror}"
        self.disk = made
        return ""

    async def hold(self, version: str) -> None:
        """Beside the loop: to copy and to hash take a while."""
        why = ""
        try:
            await to_thread.run_sync(
                versions.fetch, version, Path(self.told.source), self.home / "versions"
            )
        except versions.InvalidVersionError as error:
            why = str(error)
        self.put("held", version, why)

    async def swap(self, slot: str, version: str) -> None:
        """The content is checked once more: this is the last moment at which a spoilt one does no harm."""
        try:
            found = await to_thread.run_sync(versions.content, self.home / "versions" / version)
            tries = {"tries": 0} if slot == "agent" else {}
            runs = {**self.disk.runs, slot: version}
            why = self.save(runs=runs, **tries) if found == version else f"its content is {found}"
        except versions.InvalidVersionError as error:
            why = str(error)
        self.put("swapped", slot, why)

    def tidy(self) -> None:
        """Old versions that nothing names make room."""
        named = {*self.disk.runs.values(), *self.disk.good.values(), *self.agent.wanted_versions}
        folder = self.home / "versions"
        old = sorted(
            (path.stat().st_mtime, path) for path in folder.iterdir() if path.name not in named
        )
        for _, path in old[: max(0, len(old) - KEPT)]:
            versions.remove(path)
            with contextlib.suppress(ValueError):
                self.agent.stored.remove(path.name)

    # Its server

    def fill(self, text: str) -> str:
        return text.format(
            home=self.home,
            **{slot: self.home / "versions" / version for slot, version in self.disk.runs.items()},
        )

    def start(self) -> None:
        command = [self.fill(part) for part in self.told.command]
        pairs = dict(self.fill(pair).split("=", 1) for pair in self.told.environment)
        try:
            with (self.home / "server.log").open("ab") as log:
                self.process = subprocess.Popen(
                    command,
                    env={**os.environ, **pairs},
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                    start_new_session=True,
                )
        except OSError as error:
            logger.error("agent: {}: {}", command[0], error)
            self.group.start_soon(self.ended, 127)
            return
        self.save(pid=self.process.pid, began=ticks(self.process.pid))

    async def ended(self, status: int | None) -> None:
        self.save(pid=0, began="")
        self.put("ended", status)

    def signal(self, number: int) -> None:
        if self.disk.pid and ticks(self.disk.pid) == self.disk.began:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.disk.pid, number)

    async def look_on(self) -> None:
        """A server that an agent before this one has started is no child of it: its status is not told."""
        while True:
            await anyio.sleep(LOOK_S)
            if self.process is not None and self.process.poll() is not None:
                status, self.process = self.process.returncode, None
                await self.ended(status)
            elif self.process is None and self.disk.pid and ticks(self.disk.pid) != self.disk.began:
                await self.ended(None)

    def anew(self) -> None:
        """The same process goes on as another version; its server stays its child."""
        logger.info("agent: goes on as version {}", self.disk.runs["agent"])
        environment = {**os.environ, "PYTHONPATH": self.fill("{agent}")}
        os.execve(
            sys.executable,
            [sys.executable, "-m", "pumicenotch.net.agent", sys.argv[1]],
            environment,
        )


async def run(told: config.AgentFile, disk: config.Disk) -> None:
    timer = ResettableTimer()
    there = bool(disk.pid) and ticks(disk.pid) == disk.began
    setup = AgentSetup(
        fleet=told.fleet,
        node=told.member,
        incarnation=secrets.token_hex(6),
        voters=tuple(told.voters),
        versions=disk.runs,
        stored=tuple(versions.held(Path(told.home) / "versions")),
        has_server=there,
        start_timeout_ms=told.start_ms,
        drain_timeout_ms=told.drain_ms,
        now_ms=timer.now(),
        seed=told.seed,
        problem=disk.trouble,
    )
    core = Agent(setup)
    async with anyio.create_task_group() as group:
        hub = AgentHub(told, core, disk, timer, group)
        group.start_soon(hub.look_on)
        hub.put("start")
        group.start_soon(timer.run, lambda: hub.put("time"))
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for _ in received:
                break  # its server goes on: the next agent takes it over
        group.cancel_scope.cancel()


def first(told: config.AgentFile, disk: config.Disk) -> None:
    """What stands in the slots must be there before anything starts. Raises InvalidVersionError."""
    for version in dict.fromkeys(disk.runs.values()):
        versions.fetch(version, Path(told.source), Path(told.home) / "versions")


def main() -> None:
    logs.to_stderr()
    began = time.monotonic()
    try:
        told = config.agent_of(sys.argv[1])
        disk = config.disk_of(told)
        first(told, disk)
    except (InvalidFileError, versions.InvalidVersionError) as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    logger.info("agent: its versions are whole ({:.1f} s)", time.monotonic() - began)
    try:
        anyio.run(run, told, disk)
    except OSError as error:
        sys.exit(f"pumicenotch agent: {error}")


if __name__ == "__main__":
    main()
