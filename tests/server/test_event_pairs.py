"""The core is given pairs of events in both orders, at the times where they cross: drawn by hypothesis,
judged by what holds whatever the order.
"""

from collections import Counter
from collections.abc import Sequence
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.control import ControllerSettings
from pumicenotch.interface import DependencyKind, Idempotency, Outcome, RequestClass
from pumicenotch.server import events
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Close, Exit, FinishReading, Wake, Write
from pumicenotch.server.events import ConnectionFailure, FailureReach
from pumicenotch.server.messages import (
    DependencyCall,
    PollPool,
    RequestFailed,
    RequestRejected,
    RequestServed,
    SkipDependency,
    StartRun,
    SupplyReply,
)
from pumicenotch.server.settings import ServerSettings
from tests.request_ids import rid

STAGES = {"read": Idempotency.IDEMPOTENT, "put": Idempotency.KEYED, "pay": Idempotency.NONE}
CUT = ConnectionFailure(FailureReach.BROKEN, "cut")
PLAIN_EVENTS = {"leave": events.ShutdownRequested(), "scarce": events.DescriptorsExhausted()}
END_EVENTS = {"reset": events.ConnectionReset, "eof": events.ConnectionEnded}
WINDOW_MS = 400.0  # shorter than some runs here
EVENTS = (
    "task read",
    "task put",
    "task pay",
    "again",
    "cancel",
    "reset",
    "eof",
    "finish",
    "block",
    "reply",
    "cut",
    "leave",
    "relink",
    "stop",
    "moved",
    "scarce",
    "open",
    "read_out",
    "silent_pool",
)
# What was before: in each of these states something is on its way that a pair of events can cross.
STATES: dict[str, tuple[str | float, ...]] = {
    "running": ("task put", "task read"),
    "ran": ("task put", "finish"),
    "ran, the window all but over": ("task put", "finish", 395.0),
    "ran, the window just over": ("task put", "finish", 430.0),
    "at a call": ("task put", "block", "task read", "block"),
    "repeated": ("task put", "again", "again"),
    "full": (*("task pay",) * 12, "task put", "again"),
    "crowded": ("crowd", "task put"),
    "crowded, one to be closed": ("crowd", "open"),
    "leaving": ("task put", "task read", "leave"),
    "past the grace": ("task put", "leave", 210.0),
    "at the stop": ("task put", "leave", 660.0),
    "over": ("task put", "finish", "leave", "stop", 1.0),
}


class World:
    """One core and the peers that it has, as far as the test plays them. Runs are counted by fingerprint."""

    def __init__(self) -> None:
        def stage(effect: Idempotency) -> RequestClass:
            window_ms = WINDOW_MS if effect is Idempotency.KEYED else 0.0
            return RequestClass(300.0, 0.0, 600.0, effect, window_ms, 1.0, 0.0, 0.0)

        settings = ControllerSettings(
            request_classes=[stage(each) for each in STAGES.values()],
            tenants=[],
            gauges=[],
            cores=2,
            crash_load_factor=8.0,
            dependency_kind=DependencyKind.NEXT_TIER,
            drain_grace_ms=200.0,
        )
        self.core = Server(
            ServerSettings(
                controller=settings,
                class_indexes=dict(zip(STAGES, range(3), strict=True)),
                tenant_indexes={},
                seed=1,
                shutdown_ms=800.0,
                has_database=True,
                memory_mb=64.0,
                max_descriptors=64,
            )
        )
        self.now, self.ring = 1e6, 1e6
        self.serial = self.tasks = self.polls = 0
        self.message: Counter[int] = Counter()
        self.sent: dict[tuple[int, int], tuple[str, str, float]] = {}  # rid, token, when it came
        self.answers: Counter[tuple[int, int]] = Counter()
        self.kinds: dict[tuple[int, int], type] = {}
        self.gone: set[int] = set()  # connections that are over for one side
        self.excused: set[tuple[int, int]] = set()
        self.token: dict[str, str] = {}
        self.ran: dict[str, list[float]] = {}  # a fingerprint's runs, by when their tasks came
        self.running: dict[str, str] = {}  # rid: stage, the pool's
        self.blocked: set[str] = set()
        self.spawns: set[str] = set()
        self.links: dict[str, str] = {}  # of calls: the rid
        self.to_read_out: list[int] = []
        self.opened = 3
        self.mute = self.over = False
        self.step(events.Started())
        self.step(events.ConnectionUp("pool"))
        self.step(events.PoolBound(False, 1e6))
        for conn in (1, 2, 3):
            self.step(events.ConnectionOpened(conn))

    def step(self, event: object) -> None:
        later: list[object] = []
        for effect in self.core.step(self.now, event):
            match effect:
                case Wake(after_ms):
                    self.ring = self.now + after_ms
                case Write("pool", PollPool(cookie)) if not self.mute:
                    later.append(events.GaugesReported(cookie, ()))
                case Write("pool", StartRun(name, stage, _)):
                    self.spawned(name, stage)
                case Write("pool", SupplyReply(name) | SkipDependency(name)):
                    self.blocked.discard(name)
                case Write(
                    int(conn), RequestServed() | RequestRejected() | RequestFailed() as answer
                ):
                    assert conn not in self.gone, "an answer after our close"
                    self.answers[conn, answer.message_id] += 1
                    self.kinds[conn, answer.message_id] = type(answer)
                case Write(str(link), DependencyCall(name)):
                    self.links[link] = name
                case FinishReading(conn):
                    self.to_read_out.append(conn)
                case Close(int(conn)):
                    self.gone.add(conn)
                case Exit():
                    self.over = True
        calls = self.core.database.connections
        dials = [each for each in list(calls) if not calls[each].up]
        for link in dials:
            later.append(events.ConnectionUp(link))
        for each in later:
            if not isinstance(each, events.ConnectionUp) or each.connection in calls:
                self.step(each)

    def spawned(self, name: str, stage: str) -> None:
        if name in self.running:
            return  # it runs already: nothing happens
        assert not self.over, "run after the last word"
        self.running[name] = stage
        self.spawns.add(name)
        token = self.token.get(name, "")
        if token:
            came = next(when for each, _, when in self.sent.values() if each == name)
            runs = self.ran.setdefault(token, [])
            assert not any(came - before <= WINDOW_MS for before in runs), (
                "run twice within the window"
            )
            runs.append(came)

    def task(self, stage: str, token: str = "") -> None:
        open_ = [conn for conn in (1, 2, 3) if conn not in self.gone]
        if not open_:
            return
        conn = open_[self.tasks % len(open_)]
        self.tasks += 1
        self.message[conn] += 1
        name = rid(f"t{self.tasks}")
        fields = {"rid": name, "t0": str(int(self.now)), "peer": "1", "prio": "0.5", "mem": "1"}
        if stage == "put":
            token = fields["token"] = token or f"{self.tasks:032x}"
            self.token[name] = token
        self.sent[conn, self.message[conn]] = (name, token, self.now)
        self.step(events.RequestReceived(conn, self.message[conn], 0.0, stage, fields, b"body"))

    def next_serial(self) -> int:
        self.serial += 1
        return self.serial

    def do(self, event: str) -> None:
        open_ = [key for key in self.sent if not self.answers[key] and key[0] not in self.gone]
        match event.split():
            case ["task", stage]:
                self.task(stage)
            case ["again"] if self.token:
                self.task("put", list(self.token.values())[-1])
            case ["cancel"] if open_:
                self.excused.add(open_[0])
                self.step(events.RequestCancelled(*open_[0]))
            case ["reset" | "eof" as how] if left := [
                conn for conn in (1, 2, 3) if conn not in self.gone
            ]:
                if how == "reset":
                    self.gone.add(left[0])
                    self.excused |= {key for key in self.sent if key[0] == left[0]}
                self.step(END_EVENTS[how](left[0]))
            case ["finish"] if self.running:
                name = next(iter(self.running))
                del self.running[name]
                self.blocked.discard(name)
                self.step(events.RunFinished(self.next_serial(), name, Outcome.OK, b"result"))
            case ["block"] if free := [name for name in self.running if name not in self.blocked]:
                self.blocked.add(free[0])
                self.step(events.RunBlocked(self.next_serial(), free[0], b"q"))
            case ["reply"] if self.links:
                link, name = self.links.popitem()
                self.step(events.DependencyReplied(link, name, Outcome.OK, b"rows"))
            case ["cut"] if self.links:
                link, _ = self.links.popitem()
                self.step(events.ConnectionDown(link, CUT))
            case ["relink"]:
                self.step(events.ConnectionDown("pool", CUT))
                self.step(events.ConnectionUp("pool"))
                self.step(events.PoolBound(False, 1e6))
            case ["leave" | "scarce" as name]:
                self.step(PLAIN_EVENTS[name])
            case ["stop"]:
                self.now += 900.0  # a stall with no timer on the way
            case ["moved"]:
                self.step(events.AddressesChanged({"db": ("127.0.0.9", 1)}, "nothing"))
            case ["read_out"] if self.to_read_out:
                self.step(events.ReadingFinished(self.to_read_out.pop(0)))
            case ["open"] if not self.over:
                self.opened += 1
                self.step(events.ConnectionOpened(self.opened))
                self.step(events.HealthCheckReceived(self.opened, 1))
            case ["crowd"]:
                while len(self.core.connections.by_id) < self.core.connections.current_limit:
                    self.do("open")
            case ["silent_pool"]:
                self.mute = not self.mute

    def run(self, ms: float) -> None:
        until = self.now + ms
        while self.ring <= until:
            self.now = max(self.now, self.ring)
            self.ring = self.now + 1000.0
            self.step(events.TimerFired())
        self.now = until


def play(before: Sequence[str | float], pair: tuple[str, str], gap: float) -> None:
    world = World()
    for each in before:
        if isinstance(each, float):
            world.run(each)
        else:
            world.do(each)
    world.do(pair[0])
    world.run(gap)
    world.do(pair[1])
    world.mute = False
    world.run(2500.0)
    while world.to_read_out:
        world.do("read_out")
    told = (before, pair, gap, world.core.counters.text())
    for key, (name, token, _) in world.sent.items():
        wanted = (0, 1) if key in world.excused else (1,)
        assert world.answers[key] in wanted, (key, world.answers[key], told)
        if world.kinds.get(key) is RequestRejected and not token:
            assert name not in world.spawns, ("rejected though it ran", told)
    assert world.core.counters.counts["faults"] == 0, told
    assert world.core.requests.count_unanswered() == 0, told


@pytest.mark.parametrize("state", STATES)
def test_each_pair_of_events_in_both_orders_answers_once(state: str) -> None:
    for pair in product(EVENTS, EVENTS):
        play(STATES[state], pair, 0.0)


@settings(max_examples=300, deadline=None)
@given(
    state=st.sampled_from(sorted(STATES)),
    more=st.lists(st.sampled_from(EVENTS) | st.sampled_from([1.0, 25.0, 199.0, 390.0]), max_size=5),
    pair=st.tuples(st.sampled_from(EVENTS), st.sampled_from(EVENTS)),
    gap=st.sampled_from([0.0, 1.0, 30.0]),
)
def test_drawn_histories_before_a_pair_answer_once(
    state: str, more: list[str | float], pair: tuple[str, str], gap: float
) -> None:
    for each in (pair, pair[::-1]):
        play([*STATES[state], *more], each, gap)
