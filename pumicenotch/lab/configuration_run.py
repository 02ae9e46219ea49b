"""A run's configuration: published by one publisher, watched in the processes of hollow instances, judged."""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from pumicenotch.lab.configuration_judge import ConfigurationJudge
from pumicenotch.lab.crew import Crew
from pumicenotch.lab.guard import MachineTooSmallError
from pumicenotch.lab.hollow_fleet import HollowFleet
from pumicenotch.lab.hollow_messages import Report
from pumicenotch.lab.published import Dataset
from pumicenotch.lab.publisher import Publisher
from pumicenotch.lab.world import Configuration

SLOW_S = 3.0  # returns that take longer are logged
VERIFIED_S = 10.0  # for all instances to be looked at once more

Note = Callable[[float, str, dict[str, Any]], None]


class ConfigurationRun:
    def __init__(
        self,
        configuration: Configuration,
        zones: int,
        seed: int,
        folder: Path,
        crew: Crew,
        note: Note,
    ) -> None:
        self.configuration, self.folder = configuration, folder
        self.journal = folder / "published.jsonl"
        self.publisher = Publisher(Dataset(configuration, zones), seed, crew, self.journal)
        self.publisher.note = self.note = note
        self.judge = ConfigurationJudge()
        self.relays: dict[int, list[int]] = {}  # numbers, by process
        self.chance = random.Random(seed)
        self.load_s = self.current_s = 0.0

    def report(self, process: int, report: Report) -> None:
        for number, generation, up, at in report.lives:
            self.judge.lived(number, generation, up, at)
        self.judge.switched(report.switches)
        self.judge.mixed += report.mixed
        self.judge.backward += report.backward
        self.judge.checked += report.checked
        self.judge.verified |= {number: good for number, good in report.verified}
        self.relays[process] = report.relays
        for what, rows in (("mixed", report.mixed), ("backward", report.backward)):
            for row in rows:
                self.note(report.at, what, {"row": row})

    async def load(self) -> None:
        """The whole, before any instance is there."""
        began = time.monotonic()
        await self.publisher.load()
        self.load_s = time.monotonic() - began

    async def current(self, many: int, within_s: float) -> None:
        """All instances serve what was published at first."""
        began = time.monotonic()
        while (serving := self.judge.serving(self.publisher.initial)) < many:
            if time.monotonic() - began > within_s:
                raise MachineTooSmallError(
                    f"time: {serving} of {many} hollow instances serve the configuration after {within_s:.0f}"
                    f" s: the machine is too slow for so many just now (--set servers=N)"
                )
            await asyncio.sleep(0.1)
        self.current_s = time.monotonic() - began

    async def publish(self, length_s: float) -> None:
        await self.publisher.run(length_s - self.configuration.settle_s)

    def relays_by_region(self, fleet: HollowFleet, taken: set[int]) -> list[int]:
        """One of each region that has any."""
        found: dict[str, list[int]] = {}
        for number in sorted(each for some in self.relays.values() for each in some):
            if number not in taken:
                found.setdefault(fleet.places[number].region, []).append(number)
        return [self.chance.choice(numbers) for _, numbers in sorted(found.items())]

    async def verify(self, fleet: HollowFleet, many: int) -> None:
        """At the end: all that each instance serves, against the record."""
        fleet.verify()
        until = time.monotonic() + VERIFIED_S
        while len(self.judge.verified) < many and time.monotonic() < until:
            await asyncio.sleep(0.1)

    def figures(self) -> dict[str, float]:
        self.publisher.writer.close()
        for number, generation, took in self.judge.slow_returns(self.publisher.published, SLOW_S):
            self.note(
                time.monotonic(),
                "slow_return",
                {"number": number, "generation": generation, "took": took},
            )
        return {
            "records": float(self.configuration.tenants + self.configuration.routes),
            "initial_load_s": round(self.load_s, 2),
            "initial_current_s": round(self.current_s, 2),
            **self.judge.figures(self.publisher.published),
        }
