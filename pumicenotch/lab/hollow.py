"""A process that holds many hollow instances of a fleet (`python -m pumicenotch.lab.hollow SPEC.json`).

Commands come by standard input, reports go to standard output; at the end of its input it ends, so that none
outlives its runner.
"""

import asyncio
import gc
import json
import os
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup
from loguru import logger

from pumicenotch.lab.configuration_observer import Observer
from pumicenotch.lab.hollow_instance import Instance, Partition, packed, usage
from pumicenotch.lab.hollow_messages import Command, Place, Report, Spec
from pumicenotch.lab.hollow_meter import Meter

REPORT_S = 0.5
OBSERVE_S = 0.05  # between looks at what is served: the least that a delay is told by
PROCESSES_START_S = 1.5  # between the first process of hollow instances and the last
# Whole collections of garbage look through what all instances hold, which no process with one instance pays
# for, and stop them all meanwhile: the young alone are collected.
GARBAGE_THRESHOLDS = (2000, 20, 1_000_000)
LINE_MOST = 4 * 1024 * 1024  # of a command: names of a whole region


class HollowProcess:
    def __init__(self, spec: Spec, group: TaskGroup) -> None:
        self.spec, self.group = spec, group
        self.directory = [Place(*each) for each in json.loads(Path(spec.directory).read_text())]
        self.meter = Meter(spec.voters)
        self.partition = Partition(self.directory)
        self.known = packed(spec, self.directory)
        self.instances: dict[int, Instance] = {}
        self.generation: Counter[int] = Counter()
        self.lives: list[list[Any]] = []  # changes since the last report
        self.verified: list[list[Any]] = []
        self.observer = Observer(Path(spec.journal)) if spec.configuration is not None else None
        self.counts: Counter[str] = Counter()  # of instances that have ended

    # Commands

    async def commands(self) -> None:
        reader = asyncio.StreamReader(LINE_MOST)
        loop = asyncio.get_running_loop()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            command = Command.load(line)
            if command.do == "end":
                break
            self.carry_out(command)
        self.group.cancel_scope.cancel()

    def carry_out(self, command: Command) -> None:
        match command.do:
            case "start":
                gap = command.within_s / max(1, len(command.numbers))
                for at, number in enumerate(command.numbers):
                    self.group.start_soon(self.start, number, at * gap, command.within_s - at * gap)
            case "kill":
                for number in command.numbers:
                    if number in self.instances:
                        self.instances[number].stopped.set()
            case "replace":
                for number in command.numbers:
                    self.group.start_soon(self.replace, number)
            case "cut":
                self.partition.cut(command.names)
            case "heal":
                self.partition.heal()
            case "verify":
                self.verify()
            case _:
                logger.error("hollow: unknown command {!r}", command.do)

    async def start(self, number: int, after_s: float, others_s: float) -> None:
        """After so long; then it takes as long again until the others that are started with it are there."""
        await anyio.sleep(after_s)
        generation = self.generation[number]
        self.generation[number] += 1
        instance = Instance(
            self.spec, self.directory[number], number, generation, self.meter, self.partition
        )
        self.instances[number] = instance
        self.lives.append([number, generation, True, time.monotonic()])
        try:
            known = self.known if generation == 0 else b""
            await instance.run(known, others_s + PROCESSES_START_S)
        except* OSError as error:
            logger.error("hollow: {} cannot run: {}", instance.place.name, error.exceptions[0])
        finally:
            self.lives.append([number, generation, False, time.monotonic()])
            if self.instances.get(number) is instance:
                del self.instances[number]
            if instance.member is not None:
                self.counts.update(instance.member.counters)

    async def replace(self, number: int) -> None:
        """An orderly end, then another life in its place."""
        if number in self.instances:
            await self.instances[number].leave()
            while number in self.instances:
                await anyio.sleep(0.02)
            await self.start(number, 0.0, 0.0)

    # What is served

    async def observe(self, observer: Observer) -> None:
        while True:
            await anyio.sleep(OBSERVE_S)
            for instance in list(self.instances.values()):
                if instance.configuration is not None:
                    observer.look(instance.configuration.watched, instance.configuration.view)
            observer.check()

    def verify(self) -> None:
        for number, instance in self.instances.items():
            if self.observer is not None and instance.configuration is not None:
                good = self.observer.verify(instance.configuration.watched)
                self.verified.append([number, good])

    # Reports

    async def reports(self) -> None:
        while True:
            await anyio.sleep(REPORT_S)
            print(self.report().dump(), flush=True)

    def report(self) -> Report:
        report = Report(at=time.monotonic(), up=len(self.instances))
        self.meter.fill(report)
        counts = self.counts.copy()
        for instance in self.instances.values():
            if instance.member is not None:
                report.serving += instance.member.is_agreed_serving
                counts.update(instance.member.counters)
        report.counts, report.lives, self.lives = dict(counts), self.lives, []
        self.observed(report)
        report.descriptors = len(os.listdir("/proc/self/fd"))
        usage(report)
        return report

    def observed(self, report: Report) -> None:
        report.verified, self.verified = self.verified, []
        if self.observer is None:
            return
        observer = self.observer
        report.switches, report.mixed, report.backward = (
            observer.switches,
            observer.mixed,
            observer.backward,
        )
        report.checked, report.observer_cpu_s = observer.checked, observer.cpu_s
        report.relays = [number for number, instance in self.instances.items() if instance.is_relay]
        observer.begin()


async def serve(spec: Spec) -> None:
    async with anyio.create_task_group() as group:
        process = HollowProcess(spec, group)
        group.start_soon(process.reports)
        group.start_soon(process.commands)
        if process.observer is not None:
            group.start_soon(process.observe, process.observer)


def main() -> None:
    logger.remove()
    logger.add(
        sys.stderr, level="WARNING", format="{time:HH:mm:ss.SSS} {level} {message}", diagnose=False
    )
    signal.signal(
        signal.SIGINT, signal.SIG_IGN
    )  # a terminal's goes to all: the runner ends this process
    gc.set_threshold(*GARBAGE_THRESHOLDS)
    spec = Spec.load(Path(sys.argv[1]).read_text())
    anyio.run(serve, spec, backend_options={"use_uvloop": True})


if __name__ == "__main__":
    main()
