"""The world of the distribution's model: voters, relays and a replica, the messages between them, and what
must hold of them. Everything that is decided is decided by `distribution/`.
"""

import random
from collections import Counter
from typing import Any, NamedTuple

from pumicenotch.distribution import effects, events
from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.changelog import ChangeLog
from pumicenotch.distribution.data.records import Change
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import Field, Table, canonical
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.publications.uploads import changes_digest
from pumicenotch.distribution.settings import Settings
from pumicenotch.distribution.source.voter_source import VoterSource

Contents = dict[str, str]  # values by key
TABLE = "t"
TABLES = {TABLE: Table(TABLE, (Field("n", (int,)),))}
SUBSCRIPTION = Subscription({TABLE: None})
VOTERS = ("a", "b")
REPLICA = "r"
RELAYS = ("x", "y")  # these names make them the relays of a zone of three
ZONE = "zone"
SETTINGS = Settings(
    relays=len(RELAYS),
    max_push_bytes=40,
    page_bytes=40,
    page_scopes=2,
    slice_changes=2,
    max_fetches=1,
    max_attempts=1,
    min_announce_ms=100.0,
    announce_ms=1e6,
    acknowledge_ms=1e6,
    min_acknowledge_ms=1e6,
    aggregate_ms=1e6,
    audit_ms=1e9,
    narrow_ms=1e9,
    source_silent_ms=1e6,
    child_silent_ms=1e9,
    transfer_idle_ms=1e9,
    min_leave_ms=1e8,
    max_leave_ms=1e8,
)
SETTLE_STEPS = 400  # within which a world that nothing disturbs is to be current


class Steady(random.Random):
    """No chance at all: the checker tries every order itself."""

    def random(self) -> float:
        return 0.5

    def getrandbits(self, k: int) -> int:
        return 1

    def __reduce__(self) -> Any:
        return Steady, ()


class Bounds(NamedTuple):
    """How often each may happen at the most."""

    publications: int = 2
    timers: int = 2
    losses: int = 0
    copies: int = 0
    spoilt: int = 0
    cuts: int = 0
    restarts: int = 0


class Letter(NamedTuple):
    sender: str
    to: str
    message: m.Message


class World:
    """Voters and a replica that has them as its sources; or, `relayed`, one voter, two relays and a replica
    that has the relays.
    """

    def __init__(
        self, script: tuple[tuple[Change, ...], ...], bounds: Bounds, log_most: int, relayed: bool
    ) -> None:
        self.script, self.left = script, bounds
        self.now = 0.0
        self.wire: list[Letter] = []  # in order for each pair
        self.late: list[Letter] = []  # copies, which come whenever they like
        self.cut = ""  # a source that nothing comes from
        self.wakes: dict[str, float] = {}
        self.published: list[Contents] = [{}]
        self.last: dict[str, int] = {}  # versions that have been in force
        self.voters: dict[str, VoterSource] = {}
        self.nodes: dict[str, Node] = {}
        for name in VOTERS[:1] if relayed else VOTERS:
            book = Publications(tables=TABLES, log=ChangeLog(max_entries=log_most))
            self.voters[name] = VoterSource(peer(name), book, Steady(), settings=SETTINGS)
            self.step(name, events.LeaderChanged("", False, True))
        self.sources = RELAYS if relayed else VOTERS  # of the replica
        for name in (*RELAYS, REPLICA) if relayed else (REPLICA,):
            self.start(name)

    def start(self, name: str) -> None:
        """A node begins, with nothing."""
        node = Node(
            peer(name), tuple(self.voters), SUBSCRIPTION, new_context(Steady(), SETTINGS, TABLES)
        )
        self.nodes[name], self.last[name] = node, 0
        self.wire = [letter for letter in self.wire if name not in (letter.sender, letter.to)]
        self.step(name, events.Started())
        for other in self.nodes:
            if other != name:
                self.step(name, events.PeerChanged(peer(other)))
                self.step(other, events.PeerChanged(peer(name)))

    # What may happen

    def step(self, name: str, event: Any) -> None:
        reducer: Any = self.nodes.get(name) or self.voters[name]
        for effect in reducer.step(self.now, event):
            match effect:
                case effects.SendTo(address, message) if self.cut not in (name, address):
                    self.wire.append(Letter(name, address, message))
                case effects.WakeAt(at):
                    self.wakes[name] = at
        self.wire.sort(key=lambda letter: letter[:2])  # between two pairs there is no order
        reducer.counts = Counter()

    def deliver(self, letter: Letter) -> None:
        if self.cut not in (letter.sender, letter.to):
            sender = events.Sender(letter.sender, "1", letter.sender)
            self.step(letter.to, events.Received(sender, letter.message))

    def timer(self) -> None:
        """The next timer of all goes off."""
        name = min(self.wakes, key=lambda each: (self.wakes[each], each))
        self.now = max(self.now, self.wakes[name])
        self.step(name, events.Ticked())

    def works(self) -> list[str]:
        """Nodes that have something to go on with."""
        return [name for name in self.nodes if self.wakes[name] <= self.now]

    def work(self, name: str) -> None:
        self.step(name, events.Ticked())

    def learn(self, name: str) -> None:
        """A voter applies the next publication."""
        book = self.voters[name].publications
        changes = self.script[book.version]
        if len(self.published) == book.version + 1:
            contents = dict(self.published[-1])
            for change in changes:
                contents.pop(change.key, None)
                if change.value is not None:
                    contents[change.key] = change.value
            self.published.append(contents)
        version = book.version
        told = (f"p{version}", "", 0, changes_digest(changes), version, "lab", "model", 0, changes)
        outcome = book.apply(version + 1, "publish", told)
        assert outcome.ok, outcome
        self.step(name, events.Published(book.version))

    # What must hold

    def wrong(self) -> str:
        for name, node in self.nodes.items():
            if problem := self.wrong_at(name, node.view):
                return f"{problem}, at {name}"
        return ""

    def wrong_at(self, name: str, view: View) -> str:
        last, self.last[name] = self.last[name], view.version
        if view.version < last:
            return f"backward: version {view.version} after {last}"
        if view.version >= len(self.published) or contents_of(view) != self.published[view.version]:
            return f"mixed: version {view.version} has {contents_of(view)}"
        return ""

    def settled(self) -> str:
        """Undisturbed from now on, all become current; else something is lost."""
        self.cut = ""
        self.late.clear()
        for name, voter in self.voters.items():
            while voter.publications.version < self.newest:
                self.learn(name)
        for _ in range(SETTLE_STEPS):
            if self.wire:
                self.deliver(self.wire.pop(0))
            else:
                self.timer()
            if bad := self.wrong():
                return bad
            if not self.wire and all(
                node.view.version == self.newest for node in self.nodes.values()
            ):
                return ""
        versions = {name: node.view.version for name, node in self.nodes.items()}
        return f"lost: versions {versions} stay, {self.newest} was published"

    @property
    def newest(self) -> int:
        return len(self.published) - 1


def peer(name: str) -> events.Peer:
    return events.Peer(name, ZONE, "region", name, "1")


def contents_of(view: View) -> Contents:
    return {
        f"{scope}/{name}": value
        for table, scope in view.scope_ids()
        for name, value in view.scope(table, scope).items()
    }


def put(key: str, number: int) -> Change:
    return Change(TABLE, key, canonical({"n": number}))


def drop(key: str) -> Change:
    return Change(TABLE, key, None)


def spoilt(message: m.Message) -> m.Message | None:
    """The message with another value in its first record; None if it has none."""
    if isinstance(message, m.Delta) and message.changes and message.changes[0].value is not None:
        first = message.changes[0]._replace(value=canonical({"n": 666}))
        return message._replace(changes=(first, *message.changes[1:]))
    if isinstance(message, m.Records) and message.parts and message.parts[0].records:
        part = message.parts[0]
        records = ((part.records[0][0], canonical({"n": 666})), *part.records[1:])
        return message._replace(parts=(part._replace(records=records), *message.parts[1:]))
    return None


# After the first one come changes of two scopes at once, which take two pages; the deletion of a scope; and
# the change of another scope alone.
SCRIPT = (
    (put("p/x", 1), put("q/x", 1), put("s/x", 1)),
    (put("p/x", 2), put("p/y", 2), put("q/x", 2), put("q/y", 2)),
    (drop("s/x"), put("p/x", 3)),
    (put("w/x", 4),),
)
