"""A run's hollow part: faults on hollow instances, looks at what the voters have agreed, the guard."""

import asyncio
import contextlib
import json
import secrets
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import numpy as np

from pumicenotch.lab.configuration_run import ConfigurationRun
from pumicenotch.lab.crew import Crew, RequestRefusedError
from pumicenotch.lab.guard import MachineTooSmallError, Watch
from pumicenotch.lab.hollow_fleet import HollowFleet
from pumicenotch.lab.hollow_judge import HollowJudge, Loss
from pumicenotch.lab.hollow_messages import Place, Report
from pumicenotch.lab.usage import MachineUse, VoterUse
from pumicenotch.lab.world import DAY_S, Fault, World

STATUS_S = 0.5  # between looks at what is agreed
AGREE_S = 1.0  # between entries proposed to see how long agreement takes
LOOK_S = 0.5  # between looks of the guard, and at the voters' use
VOTER_WINDOW_S = 5.0  # over which a voter's use is taken

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class HollowRun:
    def __init__(
        self,
        world: World,
        seed: int,
        folder: Path,
        crew: Crew,
        watch: Watch,
        spawn: Spawn,
        configuration: str = "none",
    ) -> None:
        """`configuration` says how instances get what is published, if anything is."""
        assert world.hollow is not None
        self.world, self.crew, self.guard, self.spawn = world, crew, watch, spawn
        self.fleet = HollowFleet(world.hollow, world.zones, world.regions, seed, folder, crew)
        self.judge = HollowJudge(self.fleet.places)
        self.fleet.on_report = self.report
        self.events = (folder / "hollow-events.jsonl").open("w")
        self.judge.note = self.note
        self.configuration: ConfigurationRun | None = None
        if world.configuration is not None and configuration != "none":
            self.configuration = ConfigurationRun(
                world.configuration, world.zones, seed, folder, crew, self.note
            )
            self.fleet.configuration = world.configuration.model_dump()
            self.fleet.whole = configuration == "whole"
            self.fleet.journal = str(self.configuration.journal)
        self.voters = {name: VoterUse() for name in crew.voters}
        self.led: list[tuple[float, str]] = []  # who led, by look
        self.agreed_ms: list[float] = []
        self.began = self.quiet_from = self.quiet_until = self.ended = 0.0
        self.machine = MachineUse()
        self.start_s = 0.0
        self.others_pids: Callable[[], list[int]] = list
        self.fail: Callable[[MachineTooSmallError], None] = lambda error: None
        self.started = time.monotonic()

    # Start

    async def start(self, others: list[Place], within_s: float) -> None:
        if self.configuration is not None:
            await self.configuration.load()
        began = time.monotonic()
        await self.fleet.start(others, within_s)
        self.start_s = time.monotonic() - began
        if self.configuration is not None:
            await self.configuration.current(len(self.fleet.places), within_s)

    def report(self, process: int, report: Report) -> None:
        self.judge.report(process, report)
        if self.configuration is not None:
            self.configuration.report(process, report)

    def begin(self) -> None:
        """The load begins: from now on it is measured, up to the first fault as quiet."""
        self.began = time.monotonic()
        self.quiet_from = self.began + self.world.warm_s
        first = min((fault.at_s for fault in self.world.fault), default=self.world.length_s)
        self.quiet_until = self.began + first
        for job in (self.statuses(), self.agreements()):
            self.spawn(job)
        if self.configuration is not None:
            self.spawn(self.configuration.publish(self.world.length_s))

    async def finish(self) -> None:
        """After the load, with all still there."""
        if self.configuration is not None:
            await self.configuration.verify(self.fleet, len(self.judge.generation))

    def note(self, at: float, what: str, more: dict[str, Any]) -> None:
        """A line of the run's log, by its own time."""
        self.events.write(json.dumps({"s": round(at - self.began, 2), "what": what, **more}) + "\n")

    # Watching

    async def watching(self) -> None:
        """The guard, from the run's first process on."""
        while True:
            pids = [*self.fleet.pids, *self.others_pids()]
            try:
                self.guard.look(pids, time.monotonic() - self.started)
            except MachineTooSmallError as error:
                self.fail(error)
                return
            self.machine.look()
            for name, voter in self.crew.voters.items():
                if voter.process is not None and voter.up:
                    self.voters[name].look(voter.process.pid)
            await asyncio.sleep(LOOK_S)

    async def statuses(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError, RequestRefusedError):
                status = await self.crew.ask("status", within_s=2.0)
                now = time.monotonic()
                self.note(now, "status", {"leader": status["leader"], "out": status["out"]})
                self.led.append((now, status["leader"]))
                self.judge.out(now, status["out"], {row["name"] for row in status["rows"]})
            await asyncio.sleep(STATUS_S)

    async def agreements(self) -> None:
        """Entries that change nothing: nobody of those drains."""
        name = next(iter(self.crew.voters))
        while True:
            began = time.monotonic()
            with contextlib.suppress(TimeoutError, RequestRefusedError):
                await self.crew.ask(
                    "undrain", secrets.token_hex(8), [name], "timed", "lab", within_s=10.0
                )
                self.agreed_ms.append((time.monotonic() - began) * 1000.0)
            await asyncio.sleep(AGREE_S)

    # Faults

    def fault(self, fault: Fault) -> bool:
        """Whether it was one of hollow instances."""
        self.note(time.monotonic(), "fault", fault.model_dump(exclude_defaults=True))
        match fault.kind:
            case "lose":
                numbers = self.fleet.in_zone(fault.zone, fault.many)
                loss = self.judge.lose(
                    fault.label or f"zone_{fault.zone}", numbers, time.monotonic()
                )
                self.fleet.tell("kill", numbers)
                if fault.for_s:
                    self.spawn(self.back(loss, numbers, fault.for_s))
            case "cut_region" | "cut_zone":
                self.spawn(self.cut(fault))
            case "replace":
                self.spawn(self.replace(fault))
            case "kill_relays":
                self.kill_relays(fault)
            case _:
                return False
        return True

    async def back(self, loss: Loss, numbers: list[int], after_s: float) -> None:
        """All at once, knowing nobody."""
        await asyncio.sleep(after_s)
        loss.back_at = time.monotonic()
        self.fleet.tell("start", numbers)

    def kill_relays(self, fault: Fault) -> None:
        """One of each region."""
        if self.configuration is None:
            return
        numbers = self.configuration.relays_by_region(self.fleet, self.judge.meant_to_end)
        loss = self.judge.lose(fault.label or "relays", numbers, time.monotonic())
        self.fleet.tell("kill", numbers)
        self.spawn(self.back(loss, numbers, fault.for_s))

    async def cut(self, fault: Fault) -> None:
        places = self.fleet.places
        numbers = [
            number
            for number, place in enumerate(places)
            if (place.region == fault.region if fault.region else place.zone == fault.zone)
        ]
        loss = self.judge.cut(
            fault.label or fault.kind.removeprefix("cut_"), numbers, time.monotonic()
        )
        if self.configuration is not None:
            self.configuration.judge.cut(numbers, loss.at)
        self.fleet.cut([places[number].name for number in numbers])
        await asyncio.sleep(fault.for_s)
        self.fleet.heal()
        self.note(time.monotonic(), "healed", {"names": len(numbers)})
        loss.back_at = time.monotonic()
        self.judge.healed(loss.back_at)
        if self.configuration is not None:
            self.configuration.judge.healed(loss.back_at)

    async def replace(self, fault: Fault) -> None:
        """One after another at the day's rate, each an orderly end and another life."""
        gap, until = DAY_S / fault.a_day, time.monotonic() + fault.for_s
        number = len(self.fleet.places) - 1
        while time.monotonic() + gap < until:
            await asyncio.sleep(gap)
            number = self.next_well(number)
            self.judge.meant_to_end.add(number)
            self.fleet.tell("replace", [number])

    def next_well(self, number: int) -> int:
        lost = {name for loss in self.judge.losses for name in loss.victims}
        for _ in self.fleet.places:
            number = (number - 1) % len(self.fleet.places)
            if self.fleet.places[number].name not in lost:
                break
        return number

    # End

    async def stop(self) -> None:
        self.ended = time.monotonic()
        await self.fleet.stop()

    def leader_peak(self) -> tuple[float, float]:
        """The most that whoever led has used over a window: part of a core, bytes sent a second."""
        cpu = sent = 0.0
        for at, name in self.led:
            part, _, written = self.voters[name].over(at - VOTER_WINDOW_S, at)
            cpu, sent = max(cpu, part), max(sent, written)
        return cpu, sent

    def mean_use(self, begin: float, end: float) -> dict[str, float]:
        leaders = [name for at, name in self.led if begin <= at < end]
        leader = max(set(leaders), key=leaders.count) if leaders else ""
        found: dict[str, float] = {}
        uses = {name: use.over(begin, end) for name, use in self.voters.items()}
        others = [use for name, use in uses.items() if name != leader]
        for role, some in (("leader", [uses[leader]] if leader else []), ("follower", others)):
            for at, figure in enumerate(("cpu", "received_bytes_per_s", "sent_bytes_per_s")):
                found[f"{role}_{figure}"] = round(
                    float(np.mean([use[at] for use in some] or [0.0])), 4
                )
        return found

    def more(self) -> dict[str, float]:
        cpu, sent = self.leader_peak()
        times = self.agreed_ms or [-1.0]
        found = {
            "hollow_instances": float(len(self.fleet.places)),
            "hollow_processes": float(len(self.fleet.processes)),
            "start_s": round(self.start_s, 2),
            "machine_busy_quiet": round(self.machine.busy(self.quiet_from, self.quiet_until), 3),
            "machine_busy": round(self.machine.busy(self.began, self.ended or time.monotonic()), 3),
            "run_memory_mb": round(self.guard.most_mb, 0),
            "run_processes": float(self.guard.most_processes),
            "run_s": round((self.ended or time.monotonic()) - self.started, 1),
            "agree_p50_ms": round(float(np.percentile(times, 50)), 1),
            "agree_p99_ms": round(float(np.percentile(times, 99)), 1),
            "agree_longest_ms": round(max(times), 1),
            "leader_peak_cpu": round(cpu, 3),
            "leader_peak_sent_bytes_per_s": round(sent, 0),
            "hollow_processes_fallen": float(len(self.fleet.ended_by_themselves)),
        }
        ended = self.ended or time.monotonic()
        found |= self.judge.each("quiet", self.quiet_from, self.quiet_until)
        found |= self.judge.each("control", self.began, ended)
        found |= {
            f"quiet_{name}": value
            for name, value in self.mean_use(self.quiet_from, self.quiet_until).items()
        }
        if self.configuration is not None:
            found |= self.configuration.figures()
        self.events.close()
        return found | self.judge.figures()
