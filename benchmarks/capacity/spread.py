"""The distribution of configuration in simulated time: five voters' sources, relays of all zones, and the
replicas of one zone, all of them the real code. Other zones have relays alone, each subscribed to what their
servers would need.
"""

import random
from collections.abc import Callable, Iterable
from functools import lru_cache
from itertools import count
from typing import Any, NamedTuple

import msgpack

from benchmarks.capacity import assumptions
from benchmarks.capacity.measured_day import VOTERS, Meter
from benchmarks.capacity.meter import cpu_ns, frozen_heap
from pumicenotch.distribution import effects, events
from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import canonical
from pumicenotch.distribution.events import Peer
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.protocol.codec import decode, encode
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.publications.uploads import entries_of
from pumicenotch.distribution.settings import DEFAULTS
from pumicenotch.distribution.source.voter_source import VoterSource
from pumicenotch.lab.simulated_time import SimulatedTime

RELAYS = DEFAULTS.relays
DELAY_MS = 1.0
SERVED_SERVICES = 2
VOTER, RELAY, REPLICA = "distribution.voter", "distribution.relay", "distribution.replica"


class Load(NamedTuple):
    """What is configured: a scope of routes for a service, of tenants and homes for a cell."""

    routes: int = int(assumptions.ROUTES.value)
    tenants: int = int(assumptions.TENANTS.value)
    services: int = int(assumptions.SERVICES.value)
    cells: int = int(assumptions.SERVERS.value / assumptions.SERVERS_A_CELL.value)

    def changes(self) -> list[list[Change]]:
        """One list for each first publication, within their bounds."""
        routes = [self.route(at, "10.0.0.1:80") for at in range(self.routes)]
        tenants = [self.tenant(at, 1.0) for at in range(self.tenants)]
        homes = [self.home(at) for at in range(self.tenants)]
        return [routes, tenants, homes]

    def route(self, at: int, upstream: str) -> Change:
        value = canonical({"upstream": upstream, "timeout_ms": 3000})
        return Change("routes", f"service-{at % self.services:04d}/route-{at:06d}", value)

    def tenant(self, at: int, weight: float) -> Change:
        value = canonical({"weight": weight, "class": "usual"})
        return Change("tenants", f"cell-{at % self.cells:04d}/tenant-{at:06d}", value)

    def home(self, at: int) -> Change:
        cell = f"cell-{at % self.cells:04d}"
        return Change("homes", f"{cell}/tenant-{at:06d}", canonical({"cell": cell}))

    def subscription(self, servers: Iterable[int]) -> Subscription:
        """What these servers of the fleet need together."""
        cells, services = set[str](), set[str]()
        for at in servers:
            cells.add(f"cell-{at % self.cells:04d}")
            services |= {
                f"service-{(at * SERVED_SERVICES + one) % self.services:04d}" for one in range(2)
            }
        return Subscription({"routes": services, "tenants": cells, "homes": cells})


@lru_cache(maxsize=2)
def book_dump(load: Load) -> bytes:
    book = Publications()
    for changes in load.changes():
        publish(book, changes)
    return book.dump()


def publish(book: Publications, changes: list[Change], meter: Meter | None = None) -> None:
    """By the entries that the voters' log would carry, each a step of a voter."""
    entries = entries_of(f"p{book.version}", book.version, "operator", "capacity", 0, changes)
    for index, (verb, *args) in enumerate(entries, 1):
        readers = book.verbs[verb]
        read = tuple(reader(value) for reader, value in zip(readers, args, strict=True))
        outcome = (
            meter.run(verb, book.apply, index, verb, read)
            if meter
            else book.apply(index, verb, read)
        )
        assert outcome.ok, outcome


class Process:
    def __init__(self, core: Any, me: Peer) -> None:
        self.core, self.me = core, me
        self.wake_at = float("inf")
        self.up = True


class Spread(SimulatedTime):
    """`children` replicas beside the relays of one zone; `zones` in all."""

    def __init__(
        self, seed: int, load: Load, *, children: int, zones: int, cold: bool = False
    ) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.load = load
        self.processes: dict[str, Process] = {}
        self.meters: dict[str, Meter] = {}
        self.in_force: dict[str, float] = {}  # when the newest version was, by replica
        self.published_at = 0.0
        self.book = Publications()
        self.book.load(book_dump(load))
        self.voters = [f"voter-{at}:7100" for at in range(VOTERS)]
        self.servers = count()
        for at, address in enumerate(self.voters):
            self.add_voter(at, address)
        self.relays = [self.add_zone(f"zone-{at:02d}", RELAYS) for at in range(1, zones)]
        self.zone = self.add_zone("zone-00", RELAYS + children)
        if not cold:
            self.until(self.all_current, 120_000.0)
            self.run(5000.0)

    # Setting up

    def add_voter(self, at: int, address: str) -> None:
        me = Peer(f"voter-{at}", f"zone-{at:02d}", "region-0", address, "life")
        core = VoterSource(me, self.book, random.Random(at))
        self.processes[address] = Process(core, me)
        self.put(address, events.Started())
        self.put(address, events.LeaderChanged(self.voters[0], at == 0, True))

    def add_zone(self, zone: str, many: int) -> list[str]:
        """Whoever is of the zone; each knows all others of it."""
        peers = []
        for _ in range(many):
            at = next(self.servers)
            name = f"server-{at:07d}"
            peers.append(Peer(name, zone, "region-0", f"{name}:7200", "life"))
        share = int(assumptions.ZONE.value)
        for peer in peers:
            at = int(peer.name.removeprefix("server-"))
            # A zone that has relays alone: each needs what the servers of the zone would need.
            needs = range(at * share, at * share + share) if many == RELAYS else [at]
            core = Node(
                peer, self.voters, self.load.subscription(needs), new_context(random.Random(at))
            )
            self.processes[peer.address] = Process(core, peer)
        for peer in peers:
            self.put(peer.address, events.Started())
            for other in peers:
                if other is not peer:
                    self.put(peer.address, events.PeerChanged(other))
        return [peer.address for peer in peers]

    def watch(self, *addresses: str) -> None:
        for address in addresses:
            self.meters[address] = Meter()

    # Running

    def until(self, met: Callable[[], bool], within_ms: float) -> float:
        began = self.now
        while not met():
            if self.now - began > within_ms:
                behind = [
                    address for address in self.zone if self.version(address) < self.book.version
                ]
                raise AssertionError(f"not within {within_ms:g} ms: {len(behind)} are behind")
            self.run(20.0)
        return self.now - began

    def version(self, address: str) -> int:
        core: Node = self.processes[address].core
        return core.view.version

    def all_current(self) -> bool:
        replicas = [address for address in self.processes if address not in self.voters]
        return all(
            self.version(address) == self.book.version
            for address in replicas
            if self.processes[address].up
        )

    def put(self, address: str, event: Any) -> None:
        process, meter = self.processes[address], self.meters.get(address)
        if not process.up:
            return
        core = process.core
        kind = (
            type(event.message).__name__
            if isinstance(event, events.Received)
            else type(event).__name__
        )
        done = meter.run(kind, core.step, self.now, event) if meter else core.step(self.now, event)
        for effect in done:
            match effect:
                case effects.SendTo(to, message):
                    self.send(process, to, message)
                case effects.WakeAt(at):
                    self.alarm(address, process, at)
                case effects.InForce(version) if version == self.book.version:
                    self.in_force[address] = self.now

    def alarm(self, address: str, process: Process, at: float) -> None:
        process.wake_at = at
        if at == float("inf"):
            return

        def ring() -> None:
            if process.wake_at == at:
                process.wake_at = float("inf")
                self.put(address, events.Ticked())

        self.at(max(at, self.now), ring)

    def send(self, process: Process, to: str, message: Any) -> None:
        """The codec's time counts for who packs and who unpacks."""
        if to not in self.processes:
            return
        sender, receiver = self.meters.get(process.me.address), self.meters.get(to)
        if sender is not None or receiver is not None:
            message = self.wired(sender, receiver, message)
        late = DELAY_MS * self.random.uniform(0.5, 1.5)
        told = events.Sender(process.me.name, process.me.process_id, process.me.address)
        self.at(self.now + late, lambda: self.put(to, events.Received(told, message)))

    def wired(self, sender: Meter | None, receiver: Meter | None, message: Any) -> Any:
        began = cpu_ns()
        packed = msgpack.packb(encode(message))
        packed_at = cpu_ns()
        made = decode(msgpack.unpackb(packed, use_list=False))
        read_at = cpu_ns()
        kind = type(message).__name__
        if sender is not None:
            sender.note(False, kind, len(packed))
            sender.codec_ns += packed_at - began
        if receiver is not None:
            receiver.note(True, kind, len(packed))
            receiver.codec_ns += read_at - packed_at
            receiver.longest_ns = max(receiver.longest_ns, read_at - packed_at)
        return made

    # What happens

    def publish(self, changes: list[Change]) -> None:
        """Agreed, and known to all voters at once: what the log takes for that is measured elsewhere."""
        self.in_force.clear()
        self.published_at = self.now
        publish(self.book, changes, self.meters.get(self.voters[0]))
        for address in self.voters:
            self.put(address, events.Published(self.book.version))

    def change(self) -> None:
        """One route, one tenant by chance."""
        route, tenant = (
            self.random.randrange(self.load.routes),
            self.random.randrange(self.load.tenants),
        )
        upstream = f"10.0.{self.random.randrange(250)}.1:80"
        self.publish(
            [self.load.route(route, upstream), self.load.tenant(tenant, self.random.random())]
        )

    def kill(self, address: str) -> None:
        """It is gone, and the others of the zone think it dead at once."""
        process = self.processes[address]
        process.up = False
        for other in self.zone:
            if other != address:
                self.put(other, events.PeerChanged(process.me._replace(alive=False)))

    def is_relay(self, address: str) -> bool:
        return bool(self.processes[address].core.relay)

    def busiest_relay(self) -> str:
        relays = [address for address in self.zone if self.is_relay(address)]
        return max(
            relays,
            key=lambda address: (
                len(self.processes[address].core.status(self.now)["sources"])
                + self.processes[address].core.status(self.now)["children"]
            ),
        )

    def a_replica(self) -> str:
        return next((address for address in self.zone if not self.is_relay(address)), self.zone[0])

    def measured(self, span_ms: float, windows: int, *addresses: str) -> list[Meter]:
        self.meters.clear()
        self.watch(*addresses)
        with frozen_heap():
            for _ in range(windows):
                self.run(span_ms / windows)
                for meter in self.meters.values():
                    meter.end_window()
        return [self.meters[address] for address in addresses]
