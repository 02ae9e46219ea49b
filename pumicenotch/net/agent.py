"""The process of an agent, which installs versions and starts the server on its node.

Run by `python -m pumicenotch.net.agent FILE`. The agent takes orders from the voters, to which it
dials connections; it opens no listener. Its disk state survives restarts of the agent.
"""

import contextlib
import os
import secrets
import signal
import subprocess
import sys
import time
from collections.abc import Collection
from pathlib import Path
from typing import Any, cast

import anyio
from anyio import to_thread
from anyio.abc import TaskGroup
from loguru import logger

from pumicenotch.config import agent as config
from pumicenotch.config import versions
from pumicenotch.config.files import MayReplace, NotReplacedError, always
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.fleet.agent.agent import Agent, AgentSetup
from pumicenotch.fleet.member import effects
from pumicenotch.membership.messages import MemberIdentity
from pumicenotch.net import logs
from pumicenotch.net.peers import PeerHub
from pumicenotch.net.resettable_timer import ResettableTimer
from pumicenotch.net.server_process import (
    is_running,
    process_start_ticks,
    send_signal,
    start_process,
)

# Interval between checks of the server's process, a fraction of a server's start time.
CHECK_INTERVAL_S = 0.05
MAX_FRAME_BYTES = 128 * 1024
MAX_CONNECTIONS = 32
MAX_UNUSED_VERSIONS = 4  # Versions kept on the disk in addition to those in use.
VERSIONS_FOLDER = "versions"
AGENT_SLOT = "agent"
EXIT_INVALID_FILE = 2
CANNOT_START_STATUS = 127  # The exit status of a shell for a command that cannot be run.


class AgentHub(PeerHub):
    """Passes inputs to an agent and applies its effects to voters, disk and server process.

    Args:
        file: The agent's file.
        core: The agent.
        disk: The disk state that the previous agent process left.
        clock: Supplies the agent's time and timer.
        group: Runs connections, downloads and checks.
    """

    def __init__(
        self,
        file: config.AgentFile,
        core: Agent,
        disk: config.Disk,
        clock: ResettableTimer,
        group: TaskGroup,
    ) -> None:
        core.me = MemberIdentity("", "", core.process_id, 0, "", "")  # type: ignore[attr-defined]
        super().__init__(
            cast(Any, core),
            clock,
            group,
            on_shutdown=lambda reason: None,
            max_frame_bytes=MAX_FRAME_BYTES,
            max_connections=MAX_CONNECTIONS,
        )
        self.file = file
        self.agent = core
        self.disk = disk
        self.home = Path(file.home)
        self.versions = self.home / VERSIONS_FOLDER
        self.process: subprocess.Popen[bytes] | None = None

    def carry_out(self, effect: Any) -> None:
        """Applies one effect of the agent."""
        match effect:
            case effects.FetchVersion(version):
                self.group.start_soon(self.fetch_version, version)
            case effects.CheckVersion(version):
                self.group.start_soon(self.check_version, version)
            case effects.ActivateVersion():
                self.group.start_soon(self.activate_version, effect)
            case effects.StartServer():
                self.start_server()
            case effects.StopServer(force):
                self.signal_server(signal.SIGKILL if force else signal.SIGTERM)
            case effects.ReloadServer():
                self.signal_server(signal.SIGHUP)
            case effects.RestartAgent():
                self.restart_as_installed_version()
            case effects.ConfirmVersions(slots):
                self.record_working_versions(slots)
            case effects.Log(text):
                logger.info("agent: {}", text)
            case _:
                super().carry_out(effect)

    # Disk state and versions

    def save(self, may_replace: MayReplace = always, **changes: Any) -> str:
        """Writes changed fields of the disk state; returns the error text, "" on success.

        Raises:
            NotReplacedError: `may_replace` returned False right before the new state took effect.
        """
        changed = self.disk._replace(**changes)
        try:
            config.write(self.file, changed, may_replace)
        except OSError as error:
            return f"{error.filename or self.home}: {error.strerror}"
        self.disk = changed
        return ""

    async def fetch_version(self, version: str) -> None:
        """Fetches and checks a version, in a thread because copying and hashing take long."""
        problem = ""
        try:
            await to_thread.run_sync(versions.fetch, version, Path(self.file.source), self.versions)
        except versions.InvalidVersionError as error:
            problem = str(error)
        self.put("held", version, problem)

    async def check_version(self, version: str) -> None:
        """Compares a stored version with its hash, in a thread because that takes long."""
        problem = ""
        try:
            content = await to_thread.run_sync(versions.version_of, self.versions / version)
            if content != version:
                problem = f"its content is {content}"
        except versions.InvalidVersionError as error:
            problem = str(error)
        self.put("checked", version, problem)

    async def activate_version(self, effect: effects.ActivateVersion) -> None:
        """Puts a checked version in its slot, unless the permission has expired by then."""
        slot, version, expires_at_ms = effect
        attempts = {"tries": 0} if slot == AGENT_SLOT else {}
        runs = {**self.disk.runs, slot: version}
        try:
            problem = self.save(lambda: self.clock.now() < expires_at_ms, runs=runs, **attempts)
        except NotReplacedError:
            self.put("expired", slot)
            return
        self.put("swapped", slot, problem)

    def record_working_versions(self, slots: Collection[str]) -> None:
        """Records the versions in the slots as working, and removes unused versions."""
        working_versions = {
            slot: version for slot, version in self.disk.runs.items() if slot in slots
        }
        self.save(good={**self.disk.good, **working_versions}, tries=0, trouble="")
        self.remove_unused_versions()

    def remove_unused_versions(self) -> None:
        """Removes the oldest unused versions, keeping `MAX_UNUSED_VERSIONS` of them."""
        used = {*self.disk.runs.values(), *self.disk.good.values(), *self.agent.wanted_versions}
        unused = sorted(
            (path.stat().st_mtime, path)
            for path in self.versions.iterdir()
            if path.name not in used
        )
        for _, path in unused[: max(0, len(unused) - MAX_UNUSED_VERSIONS)]:
            versions.remove(path)
            with contextlib.suppress(ValueError):
                self.agent.stored.remove(path.name)

    # Server process

    def expand_placeholders(self, text: str) -> str:
        """Returns the text with `{home}` and each `{slot}` replaced by their folders."""
        folders = {slot: self.versions / version for slot, version in self.disk.runs.items()}
        return text.format(home=self.home, **folders)

    def start_server(self) -> None:
        """Starts the server with the installed versions."""
        command = [self.expand_placeholders(part) for part in self.file.command]
        environment = dict(
            self.expand_placeholders(pair).split("=", 1) for pair in self.file.environment
        )
        try:
            self.process = start_process(command, environment, self.home / "server.log")
        except OSError as error:
            logger.error("agent: cannot start {}: {}", command[0], error)
            self.group.start_soon(self.on_server_exited, CANNOT_START_STATUS)
            return
        self.save(pid=self.process.pid, began=process_start_ticks(self.process.pid))

    async def on_server_exited(self, exit_status: int | None) -> None:
        """Reports the server's exit to the agent; the status is None if it is unknown."""
        self.save(pid=0, began="")
        self.put("ended", exit_status)

    def signal_server(self, signal_number: int) -> None:
        """Sends a signal to the server if it is running."""
        send_signal(self.disk.pid, self.disk.began, signal_number)

    async def watch_server(self) -> None:
        """Watches for the server's exit, until cancelled.

        A server started by a previous agent process is not a child of this process, so its exit
        status is unknown.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self.process is not None and self.process.poll() is not None:
                exit_status = self.process.returncode
                self.process = None
                await self.on_server_exited(exit_status)
            elif self.process is None and self.has_server_exited():
                await self.on_server_exited(None)

    def has_server_exited(self) -> bool:
        """Returns whether the server recorded on the disk is no longer running."""
        return bool(self.disk.pid) and not is_running(self.disk.pid, self.disk.began)

    def restart_as_installed_version(self) -> None:
        """Replaces this process with the installed agent version; the server stays its child."""
        logger.info("agent: restarting as version {}", self.disk.runs[AGENT_SLOT])
        environment = {**os.environ, "PYTHONPATH": self.expand_placeholders("{agent}")}
        command = [sys.executable, "-m", "pumicenotch.net.agent", sys.argv[1]]
        os.execve(sys.executable, command, environment)


async def run(file: config.AgentFile, disk: config.Disk) -> None:
    """Runs the agent until SIGTERM or SIGINT; the server keeps running for the next agent."""
    timer = ResettableTimer()
    setup = AgentSetup(
        fleet=file.fleet,
        node=file.member,
        process_id=secrets.token_hex(6),
        voters=tuple(file.voters),
        versions=disk.runs,
        stored=tuple(versions.list_versions(Path(file.home) / VERSIONS_FOLDER)),
        has_server=is_running(disk.pid, disk.began),
        start_timeout_ms=file.start_ms,
        drain_timeout_ms=file.drain_ms,
        now_ms=timer.now(),
        seed=file.seed,
        problem=disk.trouble,
    )
    core = Agent(setup)
    async with anyio.create_task_group() as group:
        hub = AgentHub(file, core, disk, timer, group)
        group.start_soon(hub.watch_server)
        hub.put("start")
        group.start_soon(timer.run, lambda: hub.put("time"))
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            async for _ in received:
                break
        group.cancel_scope.cancel()


def fetch_installed_versions(file: config.AgentFile, disk: config.Disk) -> None:
    """Fetches the versions of all slots, which must be on the disk before the server starts.

    Raises:
        InvalidVersionError: A version is missing or corrupt.
    """
    for version in dict.fromkeys(disk.runs.values()):
        versions.fetch(version, Path(file.source), Path(file.home) / VERSIONS_FOLDER)


def main() -> None:
    """Runs the agent that the file named on the command line configures."""
    logs.to_stderr()
    started_at_s = time.monotonic()
    try:
        file = config.agent_of(sys.argv[1])
        disk = config.disk_of(file)
        fetch_installed_versions(file, disk)
    except (InvalidFileError, versions.InvalidVersionError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID_FILE)
    elapsed_s = time.monotonic() - started_at_s
    logger.info("agent: installed versions are complete ({:.1f} s)", elapsed_s)
    try:
        anyio.run(run, file, disk)
    except OSError as error:
        sys.exit(f"pumicenotch agent: {error}")


if __name__ == "__main__":
    main()
