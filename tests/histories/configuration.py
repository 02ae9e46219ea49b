"""What instances served of a versioned configuration: a recorder outside of them, and a checker that knows
only what was published and what was read. Neither asks an instance for its status.
"""

import asyncio
import contextlib
import time
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import msgpack

Key = tuple[str, str]  # table, key
Value = Any  # a record's fields, None where there is no record

POLL_S = 0.01  # between lookups at one instance
REDIAL_S = 0.1  # while an instance is down


class Read(NamedTuple):
    """One answer to a lookup."""

    instance: str
    life: str  # of the process that answered
    key: Key
    version: int
    value: Value
    age_ms: float | None  # None: it was never known to be current


class Published:
    """The state at each version, as the publisher knows it."""

    def __init__(self) -> None:
        self.versions: dict[Key, list[int]] = defaultdict(list)
        self.values: dict[Key, list[Value]] = defaultdict(list)
        self.last = 0

    def add(self, version: int, changes: Mapping[Key, Value]) -> None:
        """Versions may be added in any order."""
        for key, value in changes.items():
            at = bisect_right(self.versions[key], version)
            self.versions[key].insert(at, version)
            self.values[key].insert(at, value)
        self.last = max(self.last, version)

    def value(self, key: Key, version: int) -> Value:
        at = bisect_right(self.versions[key], version)
        return self.values[key][at - 1] if at else None


def faults(reads: Iterable[Read], published: Published) -> list[str]:
    """Values that no publication gave at their version (a mixed or lost change), and versions that went
    back within one process's life.
    """
    found: list[str] = []
    newest: dict[tuple[str, str], int] = {}
    for read in reads:
        process = (read.instance, read.life)
        if read.version < newest.get(process, 0):
            found.append(f"backward: {read} after version {newest[process]}")
        newest[process] = max(newest.get(process, 0), read.version)
        if read.version > published.last:
            found.append(f"unpublished: {read}, the last version is {published.last}")
        elif read.value != (expected := published.value(read.key, read.version)):
            found.append(f"mixed: {read}, published was {expected}")
    return found


class Recorder:
    """Looks the same few keys up at every instance, round and round, each over a connection of its own."""

    def __init__(self, fleet: str, keys: Iterable[Key]) -> None:
        self.fleet, self.keys = fleet, tuple(keys)
        self.reads: list[Read] = []
        self.newest: dict[str, Read] = {}  # by instance
        self.errors: dict[str, Any] = {}  # the last refusal, by instance
        self.longest_gap_s: dict[
            str, float
        ] = {}  # between two answers on one connection, by instance
        self.tasks: list[asyncio.Task[None]] = []

    def watch(self, instance: str, address: str) -> None:
        self.tasks.append(asyncio.create_task(self.poll(instance, address)))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def poll(self, instance: str, address: str) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self.read_on(instance, address)
            await asyncio.sleep(REDIAL_S)

    async def read_on(self, instance: str, address: str) -> None:
        """Until the connection ends."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        answers = Answers(reader)
        try:
            writer.write(msgpack.packb([2, "hello", [self.fleet, "", "", ""]]))
            number = 0
            while True:
                key = self.keys[number % len(self.keys)]
                number += 1
                writer.write(msgpack.packb([0, number, "lookup", key]))
                asked_at = time.monotonic()
                error, result = await answers.next(number)
                gap = time.monotonic() - asked_at
                self.longest_gap_s[instance] = max(self.longest_gap_s.get(instance, 0.0), gap)
                if error is None:
                    self.note(instance, key, result)
                else:
                    self.errors[instance] = error
                await asyncio.sleep(POLL_S)
        finally:
            writer.transport.abort()

    def note(self, instance: str, key: Key, result: Mapping[str, Any]) -> None:
        read = Read(
            instance, result["life"], key, result["version"], result["value"], result["age_ms"]
        )
        self.reads.append(read)
        self.newest[instance] = read

    def age_ms(self, instance: str) -> float:
        """As it told with its last answer; infinite where it never knew."""
        age: float | None = self.newest[instance].age_ms
        return float("inf") if age is None else age

    def all_at(self, version: int, instances: Iterable[str]) -> bool:
        """Whether each of them has served that version or a later one."""
        return all(
            each in self.newest and self.newest[each].version >= version for each in instances
        )


class Answers:
    """Of one connection."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.unpacker = msgpack.Unpacker(max_buffer_size=8 * 1024 * 1024, strict_map_key=False)

    async def next(self, number: int) -> tuple[Any, Any]:
        """Error and result of that request."""
        while True:
            for frame in self.unpacker:
                if frame[0] == 1 and frame[1] == number:
                    return frame[2], frame[3]
            data = await self.reader.read(65536)
            if not data:
                raise ConnectionResetError("closed without an answer")
            self.unpacker.feed(data)
