"""Publishes an experiment's configuration to the voters: the whole at first, then changes at a day's rate,
with bursts between them.
"""

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.publications.uploads import entries_of
from pumicenotch.lab.crew import Crew
from pumicenotch.lab.guard import RunFailedError
from pumicenotch.lab.published import Dataset, Writer
from pumicenotch.lab.world import DAY_S

BY, WHY = "lab", "an experiment"
READY_S = 30.0  # for all voters to understand publications
AGREE_S = 30.0  # for an entry, with an election in between


class Published(NamedTuple):
    version: int
    asked_at: float
    agreed_at: float


class Publisher:
    """The only one, so that it knows each version before it is agreed."""

    def __init__(self, dataset: Dataset, seed: int, crew: Crew, journal: Path) -> None:
        self.dataset, self.crew = dataset, crew
        self.chance = random.Random(seed)
        self.writer = Writer(journal)
        self.version = self.serial = 0
        self.published: list[Published] = []
        self.initial = 0  # the last version of the whole
        self.note: Callable[[float, str, dict[str, Any]], None] = lambda at, what, more: None

    async def load(self) -> None:
        """The whole, once the fleet understands publications."""
        await self.understood()
        for changes in self.dataset.initial():
            await self.publish(changes)
        self.initial = self.version
        self.published.clear()

    async def understood(self) -> None:
        until = time.monotonic() + READY_S
        while int((await self.crew.ask("status"))["level"]) < Publications.level:
            if time.monotonic() > until:
                raise RunFailedError(f"the voters understand no publications after {READY_S:g} s")
            await asyncio.sleep(0.2)

    async def publish(self, changes: list[Change]) -> None:
        """Its parts, then the publication, which is written to the record before it is asked for."""
        when = int(time.time() * 1000)
        *parts, last = entries_of(secrets.token_hex(8), self.version, BY, WHY, when, changes)
        for verb, *fields in parts:
            await self.crew.ask(verb, *fields, within_s=AGREE_S)
        self.writer.write(self.version + 1, changes)
        asked_at = time.monotonic()
        await self.crew.ask(*last, within_s=AGREE_S)
        self.version += 1
        self.published.append(Published(self.version, asked_at, time.monotonic()))

    async def run(self, seconds: float) -> None:
        """Changes for so long: one after another at the day's rate, and bursts at their times."""
        configuration, began = self.dataset.configuration, time.monotonic()
        gap, until = DAY_S / configuration.a_day, began + seconds
        next_at, burst_at = began + gap, began + configuration.burst_every_s
        while (due := min(next_at, burst_at)) < until:
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            if burst_at <= next_at:
                burst_at += configuration.burst_every_s
                await self.burst(configuration.burst, until)
            else:
                next_at += gap * self.chance.uniform(0.5, 1.5)
                await self.publish_next()

    async def burst(self, many: int, until: float) -> None:
        """So many, each asked for as soon as the one before it is agreed."""
        for _ in range(many):
            if time.monotonic() >= until:
                return
            await self.publish_next()
        self.note(time.monotonic(), "burst", {"to": self.version})

    async def publish_next(self) -> None:
        self.serial += 1
        await self.publish(self.dataset.change(self.chance, self.serial))
