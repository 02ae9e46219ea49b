"""A fleet that distributes its configuration: real processes, a publisher, and a recorder that reads at each
server what it serves.
"""

import asyncio
import json
import secrets
import signal
from collections.abc import Awaitable, Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from pumicenotch.cli.session import RequestRefusedError, Session
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.tables import canonical
from pumicenotch.distribution.publications.book import LEVEL
from pumicenotch.distribution.publications.uploads import entries_of
from pumicenotch.lab.crew import FLEET
from pumicenotch.lab.server_process import Launch, Node
from pumicenotch.lab.world import World
from tests.fleet.harness import ScriptedRun, run_scenario
from tests.histories.configuration import Key, Published, Recorder, Value, faults

TABLES = ("routes", "tenants", "homes", "policies")
SUBSCRIBE_ALL = "".join(
    f'    subscribe "{table}" {{\n      all = true\n    }}\n' for table in TABLES
)
Block = Callable[[str], str]  # what stands in the block `distribution` of a server of that name
Script = Callable[["Configured"], Awaitable[None]]

# In two tables and scopes, so that a mixed version shows.
WATCHED: tuple[Key, ...] = (
    ("routes", "s1/a"),
    ("policies", "s1/p"),
    ("homes", "c1/t1"),
    ("tenants", "c1/t1"),
)


def generation(number: int) -> dict[Key, Value]:
    """All watched records, changed together."""
    routes, policies, homes, tenants = WATCHED
    return {
        routes: {"upstream": f"u{number}"},
        policies: {"rate": number},
        homes: {"cell": f"c{number}"},
        tenants: {"weight": number},
    }


class Configured(ScriptedRun):
    """Servers with the block `distribution`; `voter_block` and `server_block` add to it."""

    voter_block = ""
    subscriptions = SUBSCRIBE_ALL

    def __init__(self, world: World, seed: int, launch: Launch, folder: Path) -> None:
        super().__init__(world, seed, launch, folder)
        self.crew.budgets += f"\ndistribution {{\n  relays = 2\n{self.voter_block}}}\n"
        self.published = Published()
        self.recorder = Recorder(FLEET, WATCHED)

    def server_block(self, name: str) -> str:
        return ""

    def launch_of(self, node: Node) -> Launch:
        """The member's block with the block `distribution` in it."""
        launch = super().launch_of(node)
        path = Path(launch.config)
        own = self.server_block(f"n{node.number}")
        block = f"  distribution {{\n    relays = 2\n{self.subscriptions}{own}  }}\n"
        text = path.read_text().rstrip()
        path.write_text(f"{text.removesuffix('}')}{block}}}\n")
        return launch

    async def start(self) -> None:
        await super().start()
        await self.crew.agreed(lambda status: status["level"] >= LEVEL)  # all voters have said so
        for name in self.servers:
            self.recorder.watch(name, self.crew.real(name))

    async def stop(self) -> None:
        await self.recorder.stop()
        await super().stop()

    @property
    def servers(self) -> list[str]:
        return [f"n{node.number}" for node in self.nodes]

    async def pause(self, name: str) -> None:
        """Stops its process for longer than requests may take: gateways stay away first, as they would from
        one that fails its health checks, and what it has is answered.
        """
        number = int(name[1:])
        self.keep_away(number, float("inf"))
        await self.until(lambda: all(sent.server != number for sent in self.ledger.open.values()))
        self.signal_node(name, signal.SIGSTOP)

    def unpause(self, name: str) -> None:
        self.signal_node(name, signal.SIGCONT)
        self.keep_away(int(name[1:]), 0.0)

    def keep_away(self, number: int, until: float) -> None:
        for gateway in self.clients.gateways:
            gateway.heeds = True
            gateway.away[number] = until

    # Publishing

    def session(self) -> Session:
        return Session(FLEET, [self.crew.real(name) for name in self.crew.voters])

    async def version(self) -> int:
        """The current one."""
        return int((await self.crew.ask("configuration"))["version"])

    async def publish(self, changes: Mapping[Key, Value], previous: int | None = None) -> int:
        """Its version. Raises RequestRefusedError."""
        if previous is None:
            previous = await self.version()
        return await self.publish_entries(changes, entries(changes, previous))

    async def publish_entries(
        self, changes: Mapping[Key, Value], told: Iterable[tuple[Any, ...]]
    ) -> int:
        version = await asyncio.to_thread(self.ask_all, list(told))
        self.published.add(version, changes)
        return version

    def ask_all(self, told: list[tuple[Any, ...]]) -> int:
        result: dict[str, Any] = {}
        with self.session() as session:
            for entry in told:
                result = session.ask(*entry)
        return int(result["value"])

    async def publish_generations(self, first: int, last: int) -> int:
        """One version each, on one connection, each after the other."""

        def send() -> list[int]:
            with self.session() as session:
                previous = int(session.ask("configuration")["version"])
                versions = []
                for number in range(first, last + 1):
                    for entry in entries(generation(number), previous):
                        previous = int(session.ask(*entry)["value"])
                    versions.append(previous)
                return versions

        versions = await asyncio.to_thread(send)
        for number, version in zip(range(first, last + 1), versions, strict=True):
            self.published.add(version, generation(number))
        return versions[-1]

    async def publish_by_command(self, changes: Mapping[Key, Value]) -> int:
        """By `pumicenotch fleet publish`, as an operator does."""
        path = self.folder / "changes.jsonl"
        # The recorder's turns are not to wait for it, or its gaps would be those of the test.
        await asyncio.to_thread(write_changes, path, changes)
        code, out = await self.operator("publish", str(path), "--reason", "a test", "--json")
        assert code == 0, out
        version = int(json.loads(out)["version"])
        self.published.add(version, changes)
        return version

    # What is served

    async def served(
        self, version: int, names: Iterable[str] | None = None, within_s: float = 60.0
    ) -> None:
        """Until each of them has served that version."""
        wanted = list(self.servers if names is None else names)
        try:
            await self.until(lambda: self.recorder.all_at(version, wanted), within_s)
        except TimeoutError:
            status = [await self.told(name) for name in wanted]
            raise TimeoutError(
                f"version {version} is not served within {within_s:g} s: {self.recorder.newest} "
                f"{self.recorder.errors} {status}"
            ) from None

    async def status_until(
        self, met: Callable[[dict[str, Any]], bool], within_s: float = 60.0
    ) -> None:
        """Until what the voters know of all meets it."""
        async with asyncio.timeout(within_s):
            while not met(await self.crew.ask("configuration")):
                await asyncio.sleep(0.1)

    async def all_accounted_for(self) -> None:
        """Until the voters know of every server that it has the newest version."""
        await self.status_until(
            lambda status: status["in_force"] == len(self.servers) and not status["missing"]
        )

    async def straggler(self, name: str, code: str) -> None:
        """Until the voters count that one as behind, with that error."""
        await self.status_until(
            lambda status: any(
                (each["name"], each["code"]) == (name, code) for each in status["behind"]
            )
        )

    async def told(self, name: str) -> dict[str, Any]:
        """What a server says of itself, to choose whom a fault hits and to see that it did."""
        try:
            error, result = await self.crew.once(name, "configuration")
        except (OSError, TimeoutError) as fault:
            return {"unreached": repr(fault)}
        return result if error is None else {"error": error}

    async def counter_of(self, name: str, of: str) -> int:
        """Of one of a server's counters."""
        return int((await self.told(name))["counts"].get(of, 0))

    async def looked_up(self, name: str, key: Key) -> Any:
        error, result = await self.crew.once(name, "lookup", *key)
        assert error is None, error
        return result


def write_changes(path: Path, changes: Mapping[Key, Value]) -> None:
    """Writes a file of changes as the command reads it."""
    lines = (
        json.dumps({"table": table, "key": key, "value": value})
        for (table, key), value in changes.items()
    )
    path.write_text("\n".join(lines))


def entries(changes: Mapping[Key, Value], previous: int) -> list[tuple[Any, ...]]:
    told = [
        Change(table, key, None if value is None else canonical(value))
        for (table, key), value in changes.items()
    ]
    return entries_of(secrets.token_hex(8), previous, "test", "a test", 0, told)


def play(
    script: Script, folder: Path, told: World, kind: type[Configured] = Configured
) -> Configured:
    """The whole of it; what was served is part of the verdict."""
    made = run_scenario(kind, script, folder, told)
    found = faults(made.recorder.reads, made.published)
    assert not found, found[:5]
    assert made.recorder.reads, "nothing was read"
    return made


__all__ = ["WATCHED", "Configured", "RequestRefusedError", "entries", "generation", "play"]
