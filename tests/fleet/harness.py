"""Runs fleets of real processes, with network faults by a relay, under the control of a script.

The ledger checks what gateways and pools observed. Unavailable servers are detected from outside.
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

WAIT_TIMEOUT_S = 120.0  # far above the duration of any step, so that only a fault exceeds it
LAST_ANSWERS_TIMEOUT_S = 12.0  # above every time limit of a request

ZONES = BudgetBlock(name="zones", each="zone", most_out=1)
ALL = BudgetBlock(name="all", each="fleet", most_out=1)


def world(
    servers: int = 4,
    voters: Literal[1, 3, 5, 7] = 3,
    zones: int = 2,
    budgets: tuple[BudgetBlock, ...] = (ZONES,),
    work_ms: float = 30.0,
    calls: int = 0,
    **settings: Any,
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
        **settings,
    )


class ScriptedRun(FleetRun):
    """A run that lasts as long as its script."""

    script: "Script"

    async def load(self, progress: Any) -> None:
        """Sends tasks as long as the script runs, then waits for the last answers."""
        loading = asyncio.create_task(super().load(progress))
        try:
            await self.until(lambda: self.ledger.ends)
            await self.script(self)
        finally:
            self.stopped = True
            await loading
        deadline_s = time.monotonic() + LAST_ANSWERS_TIMEOUT_S
        while self.clients.open and time.monotonic() < deadline_s:
            await asyncio.sleep(0.05)

    async def until(self, condition: Callable[[], Any], within_s: float = WAIT_TIMEOUT_S) -> None:
        deadline_s = time.monotonic() + within_s
        while not condition():
            if time.monotonic() > deadline_s:
                raise TimeoutError(
                    f"condition not met within {within_s:g} s:"
                    f" unavailable {sorted(self.out)}, drained {self.drained}"
                )
            await asyncio.sleep(0.02)

    async def wait_until_available(self, *names: str) -> dict[str, Any]:
        """Waits until the named nodes have drained and all nodes serve, as agreed and as observed."""
        await self.until(lambda: {int(name[1:]) for name in names} <= self.drained and not self.out)
        status: dict[str, Any] = await self.crew.agreed(
            lambda status: not status["out"] and not status["waiting"], WAIT_TIMEOUT_S
        )
        return status

    async def wait_for_permits(self, *names: str) -> dict[str, Any]:
        """Waits until exactly the named members hold permits."""
        status: dict[str, Any] = await self.crew.agreed(
            lambda status: {row["name"] for row in status["rows"] if row["permit"]} == set(names),
            WAIT_TIMEOUT_S,
        )
        return status

    async def replace_voter(self, name: str) -> None:
        """Kills and restarts a voter, and waits until its new replica has a vote."""
        previous = (await self.crew.ask("status"))["seats"]
        self.crew.signal(name, signal.SIGKILL)
        self.crew.boot(name)
        await self.crew.agreed(
            lambda status: (
                len(status["seats"]) == len(previous)
                and [
                    replica
                    for replica in status["seats"]
                    if replica.startswith(f"{name}/") and replica not in previous
                ]
            )
        )

    def signal_node(self, name: str, number: int) -> None:
        process = self.nodes[int(name[1:])].process
        assert process is not None
        process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a server, which stays down until `restart`."""
        node = self.nodes[int(name[1:])]
        self.against.add(node.number)
        node.killed = node.left = True
        node.ready = asyncio.Event()  # not ready until it is restarted
        self.signal_node(name, signal.SIGKILL)

    def terminate(self, name: str) -> None:
        """Sends SIGTERM to a server, which then stays down until `restart`."""
        node = self.nodes[int(name[1:])]
        self.against.add(node.number)
        node.left = True
        node.ready = asyncio.Event()
        self.ledger.leave(self.now(), node.number)
        self.signal_node(name, signal.SIGTERM)

    async def restart(self, name: str) -> None:
        node = self.nodes[int(name[1:])]
        await self.until(lambda: node.process is not None and node.process.poll() is not None)
        await self.again(node)

    def zone_of(self, zone: str) -> tuple[list[str], list[str]]:
        """Returns the members in the zone, and all others."""
        inside = [name for name, its_zone in self.crew.zone.items() if its_zone == zone]
        return inside, [name for name in self.crew.zone if name not in inside]

    async def operator(self, *words: str, at: str = "", group: str = "fleet") -> tuple[int, str]:
        """Runs `pumicenotch GROUP WORDS`, and returns the exit status and the output."""
        addresses = [at] if at else [self.crew.real(name) for name in self.crew.voters]
        command = [sys.executable, "-m", "pumicenotch.cli", group, *words, "--fleet", "lab"]
        command += [word for address in addresses for word in ("--at", address)]
        process = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=dict(os.environ),
        )
        out, _ = await process.communicate()
        return process.returncode or 0, out.decode()


class ServerRun(ScriptedRun):
    """A run whose servers are started by the platform."""


class Releasing(ScriptedRun, ReleaseRun):
    """A run whose servers are started by agents."""

    async def release(self, *words: str) -> tuple[int, str]:
        return await self.operator(*words, group="release")


Script = Callable[[Any], Awaitable[None]]
Run = TypeVar("Run", bound=ScriptedRun)


def run_script(script: Script, folder: Path, world: World, seed: int = 1) -> ServerRun:
    return run_scenario(ServerRun, script, folder, world, seed)


def run_scenario(
    run_type: type[Run], script: Script, folder: Path, world: World, seed: int = 1
) -> Run:
    """Runs the script, and asserts that the ledger found no fault and no budget was exceeded."""
    run = run_type(world, seed, Launch(), folder)
    run.script = script
    uvloop.run(run.run())
    assert not run.ledger.broken, run.ledger.broken[:5]
    assert run.most_over == 0, f"{run.most_over} servers over a budget"
    assert run.ledger.ends, "no task was sent"
    return run
