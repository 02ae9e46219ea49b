"""A model of the distribution for the checker: publications, a change of sources, compacted logs, a replica
that begins anew, with messages that are late, lost, doubled or spoilt. Everything that is decided is decided
by `distribution/`.

A state is the pickled world. Time goes on only by steps of its own, so any message may be late by any
timer."""

import pickle
import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

from pumicenotch.distribution import effects, events
from pumicenotch.distribution import messages as m
from pumicenotch.distribution.changelog import ChangeLog
from pumicenotch.distribution.node import Node
from pumicenotch.distribution.publications import Publications
from pumicenotch.distribution.records import Change
from pumicenotch.distribution.settings import Settings
from pumicenotch.distribution.subscription import Subscription
from pumicenotch.distribution.tables import Field, Table, canonical
from pumicenotch.distribution.uploads import changes_digest
from pumicenotch.distribution.view import View
from pumicenotch.distribution.voter_source import VoterSource
from pumicenotch.lab.explore import Explorer, Found

Contents = dict[str, str]  # values by key
TABLE = "t"
TABLES = {TABLE: Table(TABLE, (Field("n", (int,)),))}
SUBSCRIPTION = Subscription({TABLE: None})
VOTERS = ("a", "b")
REPLICA = "r"
SETTINGS = Settings(
    push_bytes_most=40, page_bytes=40, page_scopes=2, slice_changes=2, fetches_most=1, tries_most=1,
    announce_least_ms=100.0, announce_ms=1e6, acknowledge_ms=1e6, acknowledge_least_ms=1e6, aggregate_ms=1e6,
    audit_ms=1e9, narrow_ms=1e9, source_silent_ms=1e6, child_silent_ms=1e9, transfer_idle_ms=1e9,
    leave_least_ms=1e8, leave_most_ms=1e8,
)  # fmt: skip
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


class State(NamedTuple):
    world: bytes
    bad: str = ""


class Letter(NamedTuple):
    sender: str
    to: str
    message: m.Message


class World:
    """Two voters and a replica that has both as its sources."""

    def __init__(self, script: tuple[tuple[Change, ...], ...], bounds: Bounds, log_most: int) -> None:
        self.script, self.left = script, bounds
        self.now = 0.0
        self.wire: list[Letter] = []  # in order for each pair
        self.late: list[Letter] = []  # copies, which come whenever they like
        self.cut = ""  # a voter that nothing comes from
        self.wakes: dict[str, float] = {}
        self.published: list[Contents] = [{}]
        self.last = 0  # version that the replica has had in force
        self.voters: dict[str, VoterSource] = {}
        for name in VOTERS:
            book = Publications(tables=TABLES, log=ChangeLog(entries_most=log_most))
            me = events.Peer(name, "z", "r", name, "")
            self.voters[name] = VoterSource(me, book, Steady(), settings=SETTINGS)
            self.step(name, events.LeaderChanged("", False, True))
        self.replica = self.new_replica()
        self.step(REPLICA, events.Started())

    @staticmethod
    def new_replica() -> Node:
        me = events.Peer(REPLICA, "z", "r", REPLICA, "1")
        return Node(me, VOTERS, SUBSCRIPTION, Steady(), settings=SETTINGS, tables=TABLES)

    # What may happen

    def step(self, name: str, event: Any) -> None:
        reducer: Any = self.replica if name == REPLICA else self.voters[name]
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

    def work(self) -> None:
        """The replica goes on with what it has begun."""
        self.step(REPLICA, events.Ticked())

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
        assert outcome.good, outcome
        self.step(name, events.Published(book.version))

    def restart(self) -> None:
        """The replica begins anew, with nothing."""
        self.replica, self.last = self.new_replica(), 0
        self.wire = [letter for letter in self.wire if REPLICA not in (letter.sender, letter.to)]
        self.step(REPLICA, events.Started())

    # What must hold

    def wrong(self) -> str:
        view, last = self.replica.view, self.last
        self.last = view.version
        if view.version < last:
            return f"backward: version {view.version} after {last}"
        if view.version >= len(self.published) or contents_of(view) != self.published[view.version]:
            return f"mixed: version {view.version} has {contents_of(view)}"
        return ""

    def settled(self) -> str:
        """Undisturbed from now on, the replica becomes current; else it has lost something."""
        self.cut = ""
        self.late.clear()
        for name in VOTERS:
            while self.voters[name].publications.version < len(self.published) - 1:
                self.learn(name)
        for _ in range(SETTLE_STEPS):
            if self.wire:
                self.deliver(self.wire.pop(0))
            else:
                self.timer()
            if bad := self.wrong():
                return bad
            if self.replica.view.version == len(self.published) - 1 and not self.wire:
                return ""
        return f"lost: the replica stays at version {self.replica.view.version} of {len(self.published) - 1}"


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


class Spreading:
    """The model: `script` is published in order, within the bounds. It begins with `begun` publications in
    force, or with a replica that has nothing yet; voters remember `log_most` publications."""

    def __init__(
        self, bounds: Bounds, script: tuple[tuple[Change, ...], ...] = SCRIPT, *, log_most: int = 10,
        begun: int = 1, fresh: bool = False,
    ) -> None:  # fmt: skip
        self.bounds, self.script, self.log_most = bounds, script, log_most
        self.begun, self.fresh = begun, fresh

    def first(self) -> State:
        world = World(self.script, self.bounds, self.log_most)
        for name in VOTERS:
            for _ in range(self.begun):
                world.learn(name)
        if bad := world.settled():
            raise AssertionError(bad)
        if self.fresh:
            world.restart()
        return State(pickle.dumps(world))

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        if not state.world:
            return
        many = 0
        for line, world, act in self.moves(state):
            many += 1
            yield line, self.made(world, act)
        if not many:
            yield "nothing more happens", self.made(pickle.loads(state.world), None)

    def made(self, world: World, act: Any) -> State:
        try:
            if act is None:
                bad = world.settled()
            else:
                act(world)
                bad = world.wrong()
        except AssertionError as error:
            bad = f"an assertion fails: {error}"
        return State(b"" if bad or act is None else pickle.dumps(world), bad)

    def moves(self, state: State) -> Iterator[tuple[str, World, Any]]:
        """Each with a world of its own, and what is done with it."""
        world: World = pickle.loads(state.world)

        def copied(**spent: int) -> World:
            other: World = pickle.loads(state.world)
            other.left = Bounds(*(have - spent.get(name, 0) for name, have in world.left._asdict().items()))
            return other

        left, seen = world.left, set()
        for at, letter in enumerate(world.wire):
            pair = (letter.sender, letter.to)
            if pair in seen:
                continue  # what is on one way comes in order
            seen.add(pair)
            what = f"{letter.to} gets {type(letter.message).__name__} of {letter.sender}"
            yield what, copied(), lambda w, at=at: w.deliver(w.wire.pop(at))
            if left.losses:
                yield f"lost: {what}", copied(losses=1), lambda w, at=at: w.wire.pop(at)
            if left.copies and isinstance(letter.message, m.Delta | m.Scopes | m.Records):
                yield f"{what}, and a copy", copied(copies=1), lambda w, at=at: self.doubled(w, at)
            if left.spoilt and (other := spoilt(letter.message)) is not None:
                bad = letter._replace(message=other)
                yield f"spoilt: {what}", copied(spoilt=1), lambda w, at=at, bad=bad: self.replaced(w, at, bad)
        for at, letter in enumerate(world.late):
            what = f"{letter.to} gets a late {type(letter.message).__name__}"
            yield what, copied(), lambda w, at=at: w.deliver(w.late.pop(at))
        yield from self.turns(world, left, copied)

    @staticmethod
    def turns(world: World, left: Bounds, copied: Any) -> Iterator[tuple[str, World, Any]]:
        if world.wakes[REPLICA] <= world.now:
            yield "the replica works on", copied(), World.work
        elif left.timers:
            yield "a timer goes off", copied(timers=1), World.timer
        for name in VOTERS:
            version = world.voters[name].publications.version
            newest = len(world.published) - 1
            if version < newest:
                yield f"{name} learns version {version + 1}", copied(), lambda w, name=name: w.learn(name)
            elif left.publications and version < len(world.script):
                what = f"{name} learns the new version {version + 1}"
                yield what, copied(publications=1), lambda w, name=name: w.learn(name)
        if left.cuts and not world.cut:
            for name in VOTERS:
                yield f"{name} is cut off", copied(cuts=1), lambda w, name=name: setattr(w, "cut", name)
        if left.restarts:
            yield "the replica restarts", copied(restarts=1), World.restart

    @staticmethod
    def doubled(world: World, at: int) -> None:
        letter = world.wire.pop(at)
        world.late.append(letter)
        world.deliver(letter)

    @staticmethod
    def replaced(world: World, at: int, other: Letter) -> None:
        world.wire.pop(at)
        world.deliver(other)

    @staticmethod
    def wrong(state: State) -> str:
        return state.bad

    def explore(self, most: int) -> Found:
        return Explorer(self.after, self.wrong, most).run(self.first())

    def wander(self, seed: int, walks: int, most_deep: int) -> Found:
        return Explorer(self.after, self.wrong).wander(self.first(), seed, walks, most_deep)
