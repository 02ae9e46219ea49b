"""A network of voters, relays and leaves in simulated time: messages are late, lost, doubled and overtake
each other, links are cut, processes end and begin anew. Whatever comes into force is compared with what was
published.
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
    """What happens to messages."""

    delay_ms: tuple[float, float] = (0.5, 2.0)
    loss: float = 0.0
    doubled: float = 0.0


FAIR = Weather()


def publish(book: Publications, changes: Sequence[Change], request: str = "") -> Outcome:
    """Through the entries, as the voters' log has them."""
    request = request or f"r{book.version + 1}"
    outcome = Outcome(False, "nothing to publish")
    for verb, *told in entries_of(request, book.version, "tests", "a test", 1, changes):
        args = tuple(reader(each) for reader, each in zip(book.verbs[verb], told, strict=True))
        book.admit(verb, args)
        outcome = book.apply(1, verb, args)
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
        subscription: Callable[[int], Subscription] = lambda at: Subscription({"tenants": None}),
        settings: Settings = DEFAULTS,
        weather: Weather = FAIR,
        log: Callable[[], ChangeLog] = ChangeLog,
        tables: Callable[[int], dict[str, Table]] = lambda at: dict(TABLES),
    ) -> None:
        self.chance = random.Random(seed)
        self.weather, self.settings, self.tables = weather, settings, tables
        self.now = 0.0
        self.heap: list[tuple[float, int, str, Any]] = []
        self.serial = 0
        self.reducers: dict[str, Reducer] = {}
        self.lives: dict[str, int] = {}
        self.wakes: dict[str, float] = {}
        self.cut: set[str] = set()  # addresses that nothing reaches or leaves
        self.published: list[Contents] = [{}]  # by version
        self.in_force: dict[str, list[tuple[float, int]]] = {}
        self.books = {f"v{at}": Publications(log=log()) for at in range(voters)}
        self.subscriptions = {f"i{at}": subscription(at) for at in range(instances)}
        self.peers = {
            f"i{at}": ev.Peer(f"i{at}", f"z{at % zones}", "r", f"i{at}", "")
            for at in range(instances)
        }
        self.bytes = 0
        for name, book in self.books.items():
            me = ev.Peer(name, "z", "r", name, "")
            self.start(name, VoterSource(me, book, random.Random(seed), settings=settings))
        for name in self.peers:
            self.start_instance(name)
        self.elect("v0")

    # Processes

    def start(self, name: str, reducer: Reducer) -> None:
        self.reducers[name] = reducer
        self.lives[name] = self.lives.get(name, 0) + 1
        self.step(name, ev.Started())

    def start_instance(self, name: str) -> None:
        me = self.peers[name]._replace(process_id=f"{self.lives.get(name, 0) + 1}")
        tables = self.tables(int(name[1:]))
        node = Node(
            me,
            list(self.books),
            self.subscriptions[name],
            new_context(random.Random(self.chance.random()), self.settings, tables),
        )
        self.in_force.setdefault(name, []).append((self.now, 0))  # a new life begins at 0
        self.start(name, node)
        for other in self.peers.values():
            if other.name != name:
                self.step(name, ev.PeerChanged(other._replace(alive=other.name in self.reducers)))
        self.tell_peers(name, alive=True)

    def stop(self, name: str) -> None:
        del self.reducers[name]
        self.tell_peers(name, alive=False)

    def tell_peers(self, name: str, alive: bool) -> None:
        for other, reducer in list(self.reducers.items()):
            if other != name and isinstance(reducer, Node):
                self.step(other, ev.PeerChanged(self.peers[name]._replace(alive=alive)))

    def elect(self, leader: str) -> None:
        for name in self.books:
            self.step(name, ev.LeaderChanged(leader, name == leader, True))

    def node(self, name: str) -> Node:
        reducer = self.reducers[name]
        assert isinstance(reducer, Node)
        return reducer

    def nodes(self) -> dict[str, Node]:
        return {name: each for name, each in self.reducers.items() if isinstance(each, Node)}

    # What is published

    def publish(self, changes: Sequence[Change]) -> int:
        """At all voters, some of which learn it later."""
        contents = dict(self.published[-1])
        for change in changes:
            if change.value is None:
                contents.pop((change.table, change.key), None)
            else:
                contents[change.table, change.key] = change.value
        self.published.append(contents)
        version = len(self.published) - 1
        for name in self.books:
            self.push(
                self.now + self.chance.uniform(0.0, 20.0), "apply", (name, version, list(changes))
            )
        return version

    def apply(self, name: str, version: int, changes: list[Change]) -> None:
        book = self.books[name]
        if book.version != version - 1:  # the log's order holds
            self.push(self.now + 5.0, "apply", (name, version, changes))
            return
        publish(book, changes)
        self.step(name, ev.Published(version))

    # Time and messages

    def push(self, at: float, kind: str, what: Any) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (at, self.serial, kind, what))

    def step(self, name: str, event: Any) -> None:
        reducer = self.reducers.get(name)
        if reducer is None:
            return
        for effect in reducer.step(self.now, event):
            match effect:
                case fx.SendTo(address, message):
                    self.send(name, address, msgpack.packb(encode(message)))
                case fx.WakeAt(at):
                    self.wake(name, at)
                case fx.InForce(version):
                    self.check(name, version)

    def wake(self, name: str, at: float) -> None:
        due = max(at, self.now + 0.01)
        self.wakes[name] = due
        if due < float("inf"):
            self.push(due, "wake", (name, self.lives[name], due))

    def send(self, sender: str, address: str, told: bytes) -> None:
        if address in self.cut or sender in self.cut or self.chance.random() < self.weather.loss:
            return
        times = 2 if self.chance.random() < self.weather.doubled else 1
        for _ in range(times):
            at = self.now + self.chance.uniform(*self.weather.delay_ms)
            self.push(at, "message", (sender, str(self.lives[sender]), address, told))

    def run(self, until_ms: float) -> None:
        while self.heap and self.heap[0][0] <= until_ms:
            at, _, kind, what = heapq.heappop(self.heap)
            self.now = max(self.now, at)
            if kind == "wake":
                name, life, due = what
                if self.lives[name] == life and self.wakes[name] == due:
                    self.step(name, ev.Ticked())
            elif kind == "apply":
                self.apply(*what)
            elif kind == "call":
                what()
            else:
                sender, life, address, told = what
                if address not in self.cut and address in self.reducers:
                    self.step(
                        address,
                        ev.Received(ev.Sender(sender, life, sender), decode(msgpack.unpackb(told))),
                    )
        self.now = max(self.now, until_ms)

    # What is in force

    def expected(self, version: int, subscription: Subscription) -> Contents:
        return {
            (table, key): value
            for (table, key), value in self.published[version].items()
            if subscription.contains(table, key.partition("/")[0])
        }

    def check(self, name: str, version: int) -> None:
        """Never mixed, never backward."""
        node = self.node(name)
        _, last = self.in_force[name][-1]
        assert version >= last, (name, version, last)
        self.in_force[name].append((self.now, version))
        held = node._replica.copy.coverage
        found, wanted = contents(node.view), self.expected(version, held)
        assert found == wanted, (name, version, set(found.items()) ^ set(wanted.items()))

    def assert_settled(self) -> None:
        """All have the newest version, whole."""
        version = len(self.published) - 1
        for name, node in self.nodes().items():
            assert node.view.version == version, (name, node.status(self.now), version)
            copy = node._replica.copy
            assert not copy._pending and not copy._pending_bytes, name
            found = {
                (table, key): value
                for (table, key), value in contents(node.view).items()
                if self.subscriptions[name].contains(table, key.partition("/")[0])
            }
            assert found == self.expected(version, self.subscriptions[name]), name


def contents(view: View) -> Contents:
    return {
        (table, f"{scope}/{name}"): value
        for table, scope in view.scope_ids()
        for name, value in view.scope(table, scope).items()
    }
