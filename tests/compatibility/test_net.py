"""The bytes that a server exchanges with gateways, worker pool, database and registry stay as they were.

The files under golden/net were made by the code before its names were changed. `exchange.txt` is one
conversation: a line is a time in ms, the connection, what happens, and the bytes as a Python literal. The test
replays what the server reads and compares all that it writes. `messages.txt` has each message that the
server can write, with its fields in order. `registry.txt` has one report and its answer.
"""

import ast
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import ByteStream

from pumicenotch import start
from pumicenotch.net import database, gateways, pool
from pumicenotch.net.clock import Clock
from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Outbox
from pumicenotch.net.registry import ENCODERS as REGISTRY_ENCODERS
from pumicenotch.net.registry import Registry
from pumicenotch.server import events, messages
from pumicenotch.server.core import Server
from pumicenotch.server.settings import ServerSettings
from tests.net.parties import SETTINGS

GOLDEN = Path(__file__).parent / "golden" / "net"
ENCODERS = {"gateway": gateways.ENCODERS, "pool": pool.ENCODERS, "db": database.ENCODERS}
MESSAGES: dict[str, type] = {
    "served": messages.RequestServed,
    "failed": messages.RequestFailed,
    "rejected": messages.RequestRejected,
    "alive": messages.HealthReply,
    "draining": messages.DrainNotice,
    "bind": messages.BindPool,
    "spawn": messages.StartRun,
    "suspend": messages.SuspendRun,
    "proceed": messages.ResumeRun,
    "supply": messages.SupplyReply,
    "pass": messages.SkipDependency,
    "poll": messages.PollPool,
    "call": messages.DependencyCall,
}
EVENTS: dict[str, type] = {
    "start": events.Started,
    "time": events.TimerFired,
    "leave": events.ShutdownRequested,
}
START_MS = 1e6
UNIX_MS = 1764700000000.0
UNREAD = 1 << 20


class FixedClock(Clock):
    """Stands where the exchange says, and never wakes by itself."""

    at_ms = 0.0

    def now(self) -> float:
        return START_MS + self.at_ms

    def unix(self) -> float:
        return UNIX_MS + self.at_ms


def make_server() -> Server:
    pairs = start.flatten(SETTINGS)
    return Server(
        ServerSettings(
            controller=start.controller_settings(pairs),
            class_indexes=start.index_by_name(pairs, "classes"),
            tenant_indexes=start.index_by_name(pairs, "tenants"),
            seed=1,
            shutdown_ms=3000.0,
            has_database=True,
            memory_mb=192.0,
            max_descriptors=64,
        )
    )


class Exchange:
    """A server with the real readers and encoders, and no sockets."""

    def __init__(self) -> None:
        self.clock = FixedClock()
        self.hub = Hub(make_server(), self.clock)
        self.outboxes: dict[str, Outbox] = {}
        self.readers: dict[str, Any] = {}
        self.dialled: list[str] = []
        for party in ("pool", "db"):
            self.hub.dialers[party] = lambda link, after_ms: self.dialled.append(link)
        self.hub.closers["listener"] = lambda: None
        self.hub.add("registry", Outbox(REGISTRY_ENCODERS, UNREAD))

    def connect(self, link: str) -> None:
        party, _, number = link.partition("-")
        self.outboxes[link] = outbox = Outbox(ENCODERS[party], UNREAD)
        if party == "gateway":
            self.readers[link] = gateways.GatewayReader(self.hub, int(number))
            self.hub.add(int(number), outbox)
            self.hub.deliver(events.ConnectionOpened(int(number)))
        else:
            reader: Any = pool.PoolReader if party == "pool" else database.DatabaseReader
            self.readers[link] = reader(self.hub.deliver, link)
            self.hub.add(link, outbox)
            self.hub.deliver(events.ConnectionUp(link))

    def play(self, at_ms: float, link: str, event: str, data: bytes) -> list[tuple[str, bytes]]:
        """Takes one event, and returns what was written on each connection because of it."""
        self.clock.at_ms = at_ms
        match event:
            case "reads":
                self.readers[link].feed(data)
            case "connects":
                self.connect(link)
            case _:
                self.hub.deliver(EVENTS[event]())
        while self.dialled:
            self.connect(self.dialled.pop(0))
        written = []
        for name, outbox in self.outboxes.items():
            if outbox.parts:
                written.append((name, b"".join(outbox.parts)))
                outbox.parts.clear()
        return written


def test_an_exchange_with_every_party_has_the_bytes_that_it_had() -> None:
    lines = [line.split(" ", 3) for line in (GOLDEN / "exchange.txt").read_text().splitlines()]

    async def play() -> list[list[str]]:
        exchange = Exchange()
        found = []
        for at_ms, link, event, data in lines:
            if event == "writes":
                continue
            found.append([at_ms, link, event, data])
            written = exchange.play(float(at_ms), link, event, ast.literal_eval(data))
            found += [[at_ms, name, "writes", repr(parts)] for name, parts in written]
        assert exchange.hub.core.counters.counts["faults"] == 0
        return found

    assert anyio.run(play) == lines


@pytest.mark.parametrize("line", (GOLDEN / "messages.txt").read_text().splitlines())
def test_each_message_that_is_written_has_the_bytes_that_it_had(line: str) -> None:
    party, kind, fields, data = ast.literal_eval(line)
    assert ENCODERS[party][MESSAGES[kind]](MESSAGES[kind](*fields)) == data


def test_a_report_to_the_registry_has_the_bytes_that_it_had() -> None:
    request, response = map(ast.literal_eval, (GOLDEN / "registry.txt").read_text().splitlines())

    class Answering(ByteStream):
        sent = b""

        async def send(self, item: bytes) -> None:
            self.sent += item

        async def receive(self, max_bytes: int = 65536) -> bytes:
            return bytes(response)

        async def send_eof(self) -> None: ...

        async def aclose(self) -> None: ...

    async def play() -> bytes:
        stream = Answering()
        registry = Registry(Hub(make_server(), FixedClock()), ("127.0.0.1", 8500), "n 3/a")
        registry.stream = stream
        assert await registry.report(b"draining") is None
        return stream.sent

    assert anyio.run(play) == request
