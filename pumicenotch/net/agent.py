"""The agent beside a server, wired to its fleet, its disk and its server's process.

It is run by `python -m pumicenotch.net.agent FILE`, dials voters and listens nowhere.
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

CHECK_INTERVAL_S = 0.05  # between checks of the server's process: a fraction of what a start takes
MAX_FRAME_BYTES = 128 * 1024
MAX_CONNECTIONS = 32
MAX_UNUSED_VERSIONS = 4  # kept on the disk beside those that are in use
VERSIONS_FOLDER = "versions"
AGENT_SLOT = "agent"
EXIT_INVALID_FILE = 2
CANNOT_START_STATUS = 127  # as a shell tells of a command that cannot be run


class AgentHub(PeerHub):
    """Carries an agent: what it asks goes to voters, what it does to the disk and the process.

    Args:
        file: The agent's file.
        core: The agent.
        disk: What an agent before this one has left.
        clock: Its time and its timer.
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
        """Carries out one effect of the agent."""
        match effect:
            case effects.FetchVersion(version):
                self.group.start_soon(self.fetch_version, version)
            case effects.ActivateVersion(slot, version):
                self.group.start_soon(self.install_version, slot, version)
            case effects.StartServer():
                self.start_server()
            case effects.StopServer(force):
                self.signal_server(signal.SIGKILL if force else signal.SIGTERM)
            case effects.ReloadServer():
                self.signal_server(signal.SIGHUP)
            case effects.RestartAgent():
                self.restart_as_installed_version()
            case effects.ConfirmVersions(slots):
                self.record_good_versions(slots)
            case effects.Log(text):
                logger.info("agent: {}", text)
            case _:
                super().carry_out(effect)

    # The disk

    def save(self, **changes: Any) -> str:
        """Writes what has changed to the disk; returns why it could not, or ""."""
        changed = self.disk._replace(**changes)
        try:
            config.write(self.file, changed)
        except OSError as error:
            return f"{error.filename or self.home}: {error.strerror}"
        self.disk = changed
        return ""

    async def fetch_version(self, version: str) -> None:
        """Fetches and checks a version, in a thread: to copy and to hash take a while."""
        problem = ""
        try:
            await to_thread.run_sync(versions.fetch, version, Path(self.file.source), self.versions)
        except versions.InvalidVersionError as error:
            problem = str(error)
        self.put("held", version, problem)

    async def install_version(self, slot: str, version: str) -> None:
        """Puts a version in its slot.

        The content is checked once more: this is the last moment at which a spoilt one does no
        harm.
        """
        try:
            content = await to_thread.run_sync(versions.version_of, self.versions / version)
        except versions.InvalidVersionError as error:
            self.put("swapped", slot, str(error))
            return
        if content != version:
            self.put("swapped", slot, f"its content is {content}")
            return
        attempts = {"tries": 0} if slot == AGENT_SLOT else {}
        self.put("swapped", slot, self.save(runs={**self.disk.runs, slot: version}, **attempts))

    def record_good_versions(self, slots: Collection[str]) -> None:
        """What stands in those slots works; versions that nothing needs any more are removed."""
        good = {slot: version for slot, version in self.disk.runs.items() if slot in slots}
        self.save(good={**self.disk.good, **good}, tries=0, trouble="")
        self.remove_unused_versions()

    def remove_unused_versions(self) -> None:
        """Removes the oldest versions that nothing names, beyond those that are kept."""
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

    # Its server

    def fill_in(self, text: str) -> str:
        """Returns the text with the folders of `{home}` and of each `{slot}`."""
        folders = {slot: self.versions / version for slot, version in self.disk.runs.items()}
        return text.format(home=self.home, **folders)

    def start_server(self) -> None:
        """Starts the server of what stands in the slots."""
        command = [self.fill_in(part) for part in self.file.command]
        environment = dict(self.fill_in(pair).split("=", 1) for pair in self.file.environment)
        try:
            self.process = start_process(command, environment, self.home / "server.log")
        except OSError as error:
            logger.error("agent: {}: {}", command[0], error)
            self.group.start_soon(self.on_server_ended, CANNOT_START_STATUS)
            return
        self.save(pid=self.process.pid, began=process_start_ticks(self.process.pid))

    async def on_server_ended(self, exit_status: int | None) -> None:
        """Tells the agent; None where the status is not known."""
        self.save(pid=0, began="")
        self.put("ended", exit_status)

    def signal_server(self, signal_number: int) -> None:
        """Sends a signal to the server if it runs."""
        send_signal(self.disk.pid, self.disk.began, signal_number)

    async def watch_server(self) -> None:
        """Notices the server's end, until it is cancelled.

        A server that an agent before this one has started is no child of it: its status is not
        known.
        """
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if self.process is not None and self.process.poll() is not None:
                exit_status = self.process.returncode
                self.process = None
                await self.on_server_ended(exit_status)
            elif self.process is None and self.is_server_gone():
                await self.on_server_ended(None)

    def is_server_gone(self) -> bool:
        """Returns whether a server that was started runs no more."""
        return bool(self.disk.pid) and not is_running(self.disk.pid, self.disk.began)

    def restart_as_installed_version(self) -> None:
        """Goes on in this process as the version that is installed: its server stays its child."""
        logger.info("agent: goes on as version {}", self.disk.runs[AGENT_SLOT])
        environment = {**os.environ, "PYTHONPATH": self.fill_in("{agent}")}
        command = [sys.executable, "-m", "pumicenotch.net.agent", sys.argv[1]]
        os.execve(sys.executable, command, environment)


async def run(file: config.AgentFile, disk: config.Disk) -> None:
    """Runs the agent until it is asked to end; its server goes on, for the next agent."""
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
    """Fetches what stands in the slots: it must be there before anything starts.

    Raises:
        InvalidVersionError: A version cannot be had whole.
    """
    for version in dict.fromkeys(disk.runs.values()):
        versions.fetch(version, Path(file.source), Path(file.home) / VERSIONS_FOLDER)


def main() -> None:
    """Runs the agent of the file that the command line names."""
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
    logger.info("agent: its versions are whole ({:.1f} s)", elapsed_s)
    try:
        anyio.run(run, file, disk)
    except OSError as error:
        sys.exit(f"pumicenotch agent: {error}")


if __name__ == "__main__":
    main()
