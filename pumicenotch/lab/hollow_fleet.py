"""The runner's side of hollow instances: where each is, the processes that hold them, what they report."""

import asyncio
import contextlib
import json
import os
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pumicenotch.lab.crew import FLEET, Crew
from pumicenotch.lab.guard import MachineTooSmallError, RunFailedError, processes_for
from pumicenotch.lab.hollow_messages import Command, Place, Report, Spec
from pumicenotch.lab.world import Hollow, region_of, zone_of

LINE_MOST = 16 * 1024 * 1024  # of a report
END_S = 5.0  # for a process to end by itself
START_A_S = 60.0  # instances started a second, over all processes: each joins through the leader
A_NETWORK = 250  # addresses of one /24 that are used


class HollowProcess:
    """One process, as its runner has it."""

    def __init__(self, number: int, first: int, last: int, folder: Path) -> None:
        self.number, self.first, self.last = number, first, last
        self.spec = folder / f"hollow-{number}.json"
        self.log = folder / f"hollow-{number}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.latest = Report(0.0)

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    def tell(self, command: Command) -> None:
        if (
            self.process is not None
            and self.process.stdin is not None
            and self.process.returncode is None
        ):
            self.process.stdin.write(command.dump())


def layout(hollow: Hollow, zones: int, regions: int) -> list[Place]:
    """Instances by number over the zones in turn, each on an address of loopback of its own."""
    net, port = 128 + os.getpid() % 100, 5000 + os.getpid() // 100 % 1000
    return [
        Place(
            f"h{number:05d}",
            f"127.{net}.{number // A_NETWORK}.{number % A_NETWORK + 1}:{port}",
            zone_of(number, zones),
            region_of(number, zones, regions),
        )
        for number in range(hollow.instances)
    ]


class HollowFleet:
    """All hollow instances of one run. `on_report` gets each report with the number of its process."""

    def __init__(
        self, hollow: Hollow, zones: int, regions: int, seed: int, folder: Path, crew: Crew
    ) -> None:
        self.zones = zones
        self.configuration: dict[str, Any] | None = None
        self.whole, self.journal = False, ""
        self.hollow, self.seed, self.folder, self.crew = hollow, seed, folder, crew
        self.places = layout(hollow, zones, regions)
        many = processes_for(hollow.instances)
        cuts = [hollow.instances * at // many for at in range(many + 1)]
        self.processes = [HollowProcess(at, cuts[at], cuts[at + 1], folder) for at in range(many)]
        self.on_report: Callable[[int, Report], None] = lambda process, report: None
        self.stopped = False
        self.ended_by_themselves: list[str] = []

    @property
    def pids(self) -> list[int]:
        return [each.pid for each in self.processes if each.process is not None]

    # Start

    async def start(self, others: list[Place], within_s: float) -> None:
        """Raises RunFailedError. `others` are the real members."""
        directory = self.folder / "directory.json"
        directory.write_text(json.dumps([*self.places, *others]))
        voters = [self.crew.shown(name) for name in self.crew.voters]
        for each in self.processes:
            spec = Spec(
                FLEET,
                self.seed,
                voters,
                each.first,
                each.last,
                str(directory),
                self.hollow.instances,
                self.hollow.knows,
                self.zones,
                self.configuration,
                self.whole,
                self.journal,
            )
            each.spec.write_text(spec.dump())
            await self.spawn(each)
        takes_s = self.hollow.instances / START_A_S
        for each in self.processes:
            each.tell(Command("start", list(range(each.first, each.last)), within_s=takes_s))
        await self.serving(within_s)

    async def spawn(self, each: HollowProcess) -> None:
        with each.log.open("ab") as log:
            each.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "pumicenotch.lab.hollow",
                str(each.spec),
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=LINE_MOST,
            )
        each.reader = asyncio.create_task(self.read(each))

    async def read(self, each: HollowProcess) -> None:
        assert each.process is not None and each.process.stdout is not None
        while line := await each.process.stdout.readline():
            each.latest = Report.load(line)
            self.on_report(each.number, each.latest)
        if not self.stopped:
            status = await each.process.wait()
            self.ended_by_themselves.append(
                f"hollow process {each.number} ended with status {status}"
            )

    async def serving(self, within_s: float) -> None:
        until = time.monotonic() + within_s
        while (
            serving := sum(each.latest.serving for each in self.processes)
        ) < self.hollow.instances:
            if self.ended_by_themselves:
                raise RunFailedError(f"{self.ended_by_themselves[0]}: see {self.folder}")
            if time.monotonic() > until:
                raise MachineTooSmallError(
                    f"time: {serving} of {self.hollow.instances} hollow instances are in service after"
                    f" {within_s:.0f} s: the machine is too slow for so many just now (--set servers=N)"
                )
            await asyncio.sleep(0.1)

    # Faults

    def tell(self, do: str, numbers: list[int], within_s: float = 0.0) -> None:
        """To each process what concerns its instances."""
        for each in self.processes:
            mine = [number for number in numbers if each.first <= number < each.last]
            if mine:
                each.tell(Command(do, mine, within_s=within_s))

    def cut(self, names: list[str]) -> None:
        for each in self.processes:
            each.tell(Command("cut", names=names))

    def heal(self) -> None:
        for each in self.processes:
            each.tell(Command("heal"))

    def verify(self) -> None:
        for each in self.processes:
            each.tell(Command("verify"))

    def in_zone(self, zone: str, most: int = 0) -> list[int]:
        found = [number for number, place in enumerate(self.places) if place.zone == zone]
        return found[:most] if most else found

    # End

    async def stop(self) -> None:
        """Ends the processes that were started here, by their ids."""
        self.stopped = True
        for each in self.processes:
            each.tell(Command("end"))
        until = time.monotonic() + END_S
        for each in self.processes:
            if each.process is None:
                continue
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(each.process.wait(), max(0.05, until - time.monotonic()))
            if each.process.returncode is None:
                each.process.kill()
                await each.process.wait()
            if each.reader is not None:
                each.reader.cancel()
