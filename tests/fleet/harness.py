"""Several real processes, the relay's faults between them, and a script that waits for events. The ledger
judges by what gateways and pools saw; who is out is seen from outside.
"""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Literal, TypeVar

import uvloop

from pumicenotch.config.fleet import BudgetBlock
from pumicenotch.lab.fleetrun import FleetRun
from pumicenotch.lab.releaserun import ReleaseRun
from pumicenotch.lab.server_process import Launch
from pumicenotch.lab.world import Gateways, Stage, World

WAIT_S = 120.0  # far above what any of it takes: reached only where something is wrong
LAST_S = 12.0  # for the last answers: beyond every time limit

ZONES = BudgetBlock(name="zones", each="zone", most_out=1)
ALL = BudgetBlock(name="all", each="fleet", most_out=1)


def world(
    servers: int = 4,
    voters: Literal[1, 3, 5, 7] = 3,
    zones: int = 2,
    budgets: tuple[BudgetBlock, ...] = (ZONES,),
    work_ms: float = 30.0,
    calls: int = 0,
    **more: Any,
) -> World:
    return World(
        stage=(
            Stage(
                name="read", share=0.6, work_ms=work_ms, calls=calls, due_ms=5000, limit_ms=10_000
            ),
            Stage(
                name="put",
                share=0.4,
                work_ms=work_ms,
                due_ms=5000,
                limit_ms=10_000,
                effect="fingerprinted",
                window_ms=3000,
            ),
        ),
        gateways=(Gateways(count=2, tries=8, pause_ms=50),),
        servers=servers,
        voters=voters,
        zones=zones,
        budget=budgets,
        cores=1,
        load=0.2,
        length_s=600,
        warm_s=0,
        stop_ms=1500,
        **more,
    )


class Scripted(FleetRun):
    """A run that goes on as long as its script does."""

    script: "Script"

    async def load(self, progress: Any) -> None:
        """Tasks come as long as the script goes on."""
        loading = asyncio.create_task(super().load(progress))
        try:
            await self.until(lambda: self.ledger.ends)
            await self.script(self)
        finally:
            self.stopped = True
            await loading
        until = time.monotonic() + LAST_S
        while self.clients.open and time.monotonic() < until:
            await asyncio.sleep(0.05)

    async def until(self, met: Callable[[], Any], within_s: float = WAIT_S) -> None:
        until = time.monotonic() + within_s
        while not met():
            if time.monotonic() > until:
                raise TimeoutError(
                    f"not within {within_s:g} s: out {sorted(self.out)}, drained {self.drained}"
                )
            await asyncio.sleep(0.02)

    async def back(self, *names: str) -> dict[str, Any]:
        """Those have drained and all are in service, by what is agreed and by what is seen."""
        await self.until(lambda: {int(name[1:]) for name in names} <= self.drained and not self.out)
        status: dict[str, Any] = await self.crew.agreed(
            lambda status: not status["out"] and not status["waiting"], WAIT_S
        )
        return status

    async def permits(self, *names: str) -> dict[str, Any]:
        """Exactly those hold one."""
        status: dict[str, Any] = await self.crew.agreed(
            lambda status: {row["name"] for row in status["rows"] if row["permit"]} == set(names),
            WAIT_S,
        )
        return status

    async def replace(self, name: str) -> None:
        """A voter is killed, and its next life has a seat."""
        before = (await self.crew.ask("status"))["seats"]
        self.crew.signal(name, signal.SIGKILL)
        self.crew.boot(name)
        await self.crew.agreed(
            lambda status: (
                len(status["seats"]) == len(before)
                and [
                    seat
                    for seat in status["seats"]
                    if seat.startswith(f"{name}/") and seat not in before
                ]
            )
        )

    def node(self, name: str, number: int) -> None:
        process = self.nodes[int(name[1:])].process
        assert process is not None
        process.send_signal(number)

    def kill(self, name: str) -> None:
        """It stays away: nobody starts it again before `again`."""
        node = self.nodes[int(name[1:])]
        self.against.add(node.number)
        node.killed = node.left = True
        node.ready = asyncio.Event()  # as if it were being started
        self.node(name, signal.SIGKILL)

    def plead(self, name: str) -> None:
        """Its platform has it leave, and nobody starts it again before `restart`."""
        node = self.nodes[int(name[1:])]
        self.against.add(node.number)
        node.left = True
        node.ready = asyncio.Event()
        self.ledger.leave(self.now(), node.number)
        self.node(name, signal.SIGTERM)

    async def restart(self, name: str) -> None:
        node = self.nodes[int(name[1:])]
        await self.until(lambda: node.process is not None and node.process.poll() is not None)
        await self.again(node)

    def zone_of(self, zone: str) -> tuple[list[str], list[str]]:
        """Who is in it, and all others."""
        inside = [name for name, each in self.crew.zone.items() if each == zone]
        return inside, [name for name in self.crew.zone if name not in inside]

    async def operator(self, *words: str, at: str = "", group: str = "fleet") -> tuple[int, str]:
        """`pumicenotch fleet ...` as an operator types it: exit status and standard output."""
        places = [at] if at else [self.crew.real(name) for name in self.crew.voters]
        command = [sys.executable, "-m", "pumicenotch.cli", group, *words, "--fleet", "lab"]
        command += [part for place in places for part in ("--at", place)]
        process = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=dict(os.environ),
        )
        out, _ = await process.communicate()
        return process.returncode or 0, out.decode()


class Played(Scripted):
    """Servers that the platform starts."""


class Releasing(Scripted, ReleaseRun):
    """Servers that agents start."""

    async def release(self, *words: str) -> tuple[int, str]:
        return await self.operator(*words, group="release")


Script = Callable[[Any], Awaitable[None]]
Made = TypeVar("Made", bound=Scripted)


def play(script: Script, folder: Path, told: World, seed: int = 1) -> Played:
    return played(Played, script, folder, told, seed)


def played(kind: type[Made], script: Script, folder: Path, told: World, seed: int = 1) -> Made:
    """The whole of it; what the ledger found is part of the verdict."""
    made = kind(told, seed, Launch(), folder)
    made.script = script
    uvloop.run(made.run())
    assert not made.ledger.broken, made.ledger.broken[:5]
    assert made.most_over == 0, f"{made.most_over} over a budget"
    assert made.ledger.ends, "no task was sent"
    return made
