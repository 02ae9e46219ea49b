"""A network of voters, relays and other instances in simulated time.

Messages may be delayed, reordered, lost and duplicated, links cut and processes restarted. Each
view that comes into force is compared with the published contents of its version.
"""

import heapq
import random
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

import msgpack

from pumicenotch.distribution import effects as fx
from pumicenotch.distribution import events as ev
from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import TABLES, Table, canonical
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.protocol.codec import decode, encode
from pumicenotch.distribution.publications.book import Outcome, Publications
from pumicenotch.distribution.publications.uploads import entries_of
from pumicenotch.distribution.settings import DEFAULTS, Settings
from pumicenotch.distribution.source.voter_source import VoterSource

Reducer = Node | VoterSource
Contents = dict[tuple[str, str], str]


class Weather(NamedTuple):
    """The delays and faults of messages; `loss` and `doubled` are probabilities per message."""

    delay_ms: tuple[float, float] = (0.5, 2.0)
    loss: float = 0.0
    doubled: float = 0.0


NO_FAULTS = Weather()


def publish(publications: Publications, changes: Sequence[Change], request: str = "") -> Outcome:
    """Publishes changes by the log entries that a publisher sends, and returns the last outcome."""
    request = request or f"r{publications.version + 1}"
    outcome = Outcome(False, "nothing to publish")
    for verb, *encoded in entries_of(request, publications.version, "tests", "a test", 1, changes):
        args = tuple(
            reader(field) for reader, field in zip(publications.verbs[verb], encoded, strict=True)
        )
        publications.admit(verb, args)
        outcome = publications.apply(1, verb, args)
        assert outcome.ok, outcome
    return outcome


def tenant(scope: str, name: str, weight: float) -> Change:
    return Change("tenants", f"{scope}/{name}", canonical({"weight": weight}))


class Network:
    def __init__(
        self,
        seed: int,
        *,
        voters: int = 2,
        zones: int = 1,
        instances: int = 4,
        subscription: Callable[[int], Subscription] = lambda index: Subscription({"tenants": None}),
        settings: Settings = DEFAULTS,
        weather: Weather = NO_FAULTS,
        log: Callable[[], ChangeLog] = ChangeLog,
        tables: Callable[[int], dict[str, Table]] = lambda index: dict(TABLES),
    ) -> None:
        self.rng = random.Random(seed)
        self.weather, self.settings, self.tables = weather, settings, tables
        self.now = 0.0
        self.event_queue: list[tuple[float, int, str, Any]] = []
        self.serial = 0
        self.reducers: dict[str, Reducer] = {}
        self.process_numbers: dict[str, int] = {}
        self.wake_times: dict[str, float] = {}
        # Addresses that no message reaches or leaves.
        self.cut: set[str] = set()
        # Published contents, indexed by version.
        self.published: list[Contents] = [{}]
        self.in_force: dict[str, list[tuple[float, int]]] = {}
        self.publications = {f"v{index}": Publications(log=log()) for index in range(voters)}
        self.subscriptions = {f"i{index}": subscription(index) for index in range(instances)}
        self.peers = {
            f"i{index}": ev.Peer(f"i{index}", f"z{index % zones}", "r", f"i{index}", "")
            for index in range(instances)
        }
        self.bytes = 0
        for name, publications in self.publications.items():
            me = ev.Peer(name, "z", "r", name, "")
            self.start(name, VoterSource(me, publications, random.Random(seed), settings=settings))
        for name in self.peers:
            self.start_instance(name)
        self.elect("v0")

    # Processes

    def start(self, name: str, reducer: Reducer) -> None:
        self.reducers[name] = reducer
        self.process_numbers[name] = self.process_numbers.get(name, 0) + 1
        self.step(name, ev.Started())

    def start_instance(self, name: str) -> None:
        me = self.peers[name]._replace(process_id=f"{self.process_numbers.get(name, 0) + 1}")
        tables = self.tables(int(name[1:]))
        node = Node(
            me,
            list(self.publications),
            self.subscriptions[name],
            new_context(random.Random(self.rng.random()), self.settings, tables),
        )
        # A new process starts with version 0.
        self.in_force.setdefault(name, []).append((self.now, 0))
        self.start(name, node)
        for other in self.peers.values():
            if other.name != name:
                self.step(name, ev.PeerChanged(other._replace(alive=other.name in self.reducers)))
        self.notify_peers(name, alive=True)

    def stop(self, name: str) -> None:
        del self.reducers[name]
        self.notify_peers(name, alive=False)

    def notify_peers(self, name: str, alive: bool) -> None:
        for other, reducer in list(self.reducers.items()):
            if other != name and isinstance(reducer, Node):
                self.step(other, ev.PeerChanged(self.peers[name]._replace(alive=alive)))

    def elect(self, leader: str) -> None:
        for name in self.publications:
            self.step(name, ev.LeaderChanged(leader, name == leader, True))

    def node(self, name: str) -> Node:
        reducer = self.reducers[name]
        assert isinstance(reducer, Node)
        return reducer

    def nodes(self) -> dict[str, Node]:
        return {
            name: reducer for name, reducer in self.reducers.items() if isinstance(reducer, Node)
        }

    # Publications

    def publish(self, changes: Sequence[Change]) -> int:
        """Publishes changes at all voters, each after its own delay, and returns the new version."""
        contents = dict(self.published[-1])
        for change in changes:
            if change.value is None:
                contents.pop((change.table, change.key), None)
            else:
                contents[change.table, change.key] = change.value
        self.published.append(contents)
        version = len(self.published) - 1
        for name in self.publications:
            self.schedule(
                self.now + self.rng.uniform(0.0, 20.0), "apply", (name, version, list(changes))
            )
        return version

    def apply(self, name: str, version: int, changes: list[Change]) -> None:
        publications = self.publications[name]
        # Entries are applied in the order of the log.
        if publications.version != version - 1:
            self.schedule(self.now + 5.0, "apply", (name, version, changes))
            return
        publish(publications, changes)
        self.step(name, ev.Published(version))

    # Simulated time and messages

    def schedule(self, at_ms: float, kind: str, argument: Any) -> None:
        self.serial += 1
        heapq.heappush(self.event_queue, (at_ms, self.serial, kind, argument))

    def step(self, name: str, event: Any) -> None:
        reducer = self.reducers.get(name)
        if reducer is None:
            return
        for effect in reducer.step(self.now, event):
            match effect:
                case fx.SendTo(address, message):
                    self.send(name, address, msgpack.packb(encode(message)))
                case fx.WakeAt(at_ms):
                    self.schedule_wake(name, at_ms)
                case fx.InForce(version):
                    self.verify_view(name, version)

    def schedule_wake(self, name: str, at_ms: float) -> None:
        wake_at = max(at_ms, self.now + 0.01)
        self.wake_times[name] = wake_at
        if wake_at < float("inf"):
            self.schedule(wake_at, "wake", (name, self.process_numbers[name], wake_at))

    def send(self, sender: str, address: str, payload: bytes) -> None:
        if address in self.cut or sender in self.cut or self.rng.random() < self.weather.loss:
            return
        copies = 2 if self.rng.random() < self.weather.doubled else 1
        for _ in range(copies):
            at_ms = self.now + self.rng.uniform(*self.weather.delay_ms)
            self.schedule(
                at_ms, "message", (sender, str(self.process_numbers[sender]), address, payload)
            )

    def run(self, until_ms: float) -> None:
        while self.event_queue and self.event_queue[0][0] <= until_ms:
            at_ms, _, kind, argument = heapq.heappop(self.event_queue)
            self.now = max(self.now, at_ms)
            if kind == "wake":
                name, process_id, wake_at = argument
                if self.process_numbers[name] == process_id and self.wake_times[name] == wake_at:
                    self.step(name, ev.Ticked())
            elif kind == "apply":
                self.apply(*argument)
            elif kind == "call":
                argument()
            else:
                sender, process_id, address, payload = argument
                if address not in self.cut and address in self.reducers:
                    self.step(
                        address,
                        ev.Received(
                            ev.Sender(sender, process_id, sender), decode(msgpack.unpackb(payload))
                        ),
                    )
        self.now = max(self.now, until_ms)

    # Expected contents

    def expected_contents(self, version: int, subscription: Subscription) -> Contents:
        return {
            (table, key): value
            for (table, key), value in self.published[version].items()
            if subscription.contains(table, key.partition("/")[0])
        }

    def verify_view(self, name: str, version: int) -> None:
        """Checks that versions never decrease, and that the view has exactly the expected contents."""
        node = self.node(name)
        _, previous_version = self.in_force[name][-1]
        assert version >= previous_version, (name, version, previous_version)
        self.in_force[name].append((self.now, version))
        coverage = node._replica.copy.coverage
        actual, expected = contents(node.view), self.expected_contents(version, coverage)
        assert actual == expected, (
            name,
            version,
            set(actual.items()) ^ set(expected.items()),
        )

    def assert_settled(self) -> None:
        """Checks that all instances have the newest version with all subscribed records."""
        version = len(self.published) - 1
        for name, node in self.nodes().items():
            assert node.view.version == version, (name, node.status(self.now), version)
            copy = node._replica.copy
            assert not copy._pending and not copy._pending_bytes, name
            actual = {
                (table, key): value
                for (table, key), value in contents(node.view).items()
                if self.subscriptions[name].contains(table, key.partition("/")[0])
            }
            assert actual == self.expected_contents(version, self.subscriptions[name]), name


def contents(view: View) -> Contents:
    return {
        (table, f"{scope}/{name}"): value
        for table, scope in view.scope_ids()
        for name, value in view.scope(table, scope).items()
    }
