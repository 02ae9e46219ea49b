"""Guards against requests that are lost, answered twice or run twice when two events cross.

Each pair of events is played in both orders, in states where something is in transit. Checks what
must hold in either order; hypothesis draws further events that precede the pair.
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

CLASSES = {"read": Idempotency.IDEMPOTENT, "put": Idempotency.KEYED, "pay": Idempotency.NONE}
BROKEN_CONNECTION = ConnectionFailure(FailureReach.BROKEN, "cut")
PROCESS_EVENTS = {"leave": events.ShutdownRequested(), "scarce": events.DescriptorsExhausted()}
CONNECTION_END_EVENTS = {"reset": events.ConnectionReset, "eof": events.ConnectionEnded}
WINDOW_MS = 400.0  # shorter than some runs in these tests
EVENT_NAMES = (
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
# Steps that lead to each state: names of events, and durations in ms. In each state something is in
# transit that a pair of events can cross.
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


class CoreHarness:
    """One core with simulated gateways, worker pool and database; records runs by idempotency key."""

    def __init__(self) -> None:
        def request_class(idempotency: Idempotency) -> RequestClass:
            window_ms = WINDOW_MS if idempotency is Idempotency.KEYED else 0.0
            return RequestClass(300.0, 0.0, 600.0, idempotency, window_ms, 1.0, 0.0, 0.0)

        settings = ControllerSettings(
            request_classes=[request_class(idempotency) for idempotency in CLASSES.values()],
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
                class_indexes=dict(zip(CLASSES, range(3), strict=True)),
                tenant_indexes={},
                seed=1,
                shutdown_ms=800.0,
                has_database=True,
                memory_mb=64.0,
                max_descriptors=64,
            )
        )
        self.now, self.timer_at = 1e6, 1e6
        self.last_serial = self.request_count = self.poll_count = 0
        self.last_message_ids: Counter[int] = Counter()
        self.sent_requests: dict[tuple[int, int], tuple[str, str, float]] = {}  # name, key, arrival
        self.answer_counts: Counter[tuple[int, int]] = Counter()
        self.answer_types: dict[tuple[int, int], type] = {}
        self.closed_connections: set[int] = set()  # closed by either side
        self.cancelled_requests: set[tuple[int, int]] = set()  # by a cancel or a reset
        self.keys_by_name: dict[str, str] = {}
        # The runs of each idempotency key, as the arrival times of their requests.
        self.arrivals_by_key: dict[str, list[float]] = {}
        self.running: dict[str, str] = {}  # in the pool: class by request name
        self.blocked: set[str] = set()
        self.started_names: set[str] = set()
        self.calls_by_connection: dict[str, str] = {}  # connections with a call: request name
        self.unfinished_reads: list[int] = []
        self.last_opened_id = 3
        self.polls_unanswered = self.exited = False
        self.step(events.Started())
        self.step(events.ConnectionUp("pool"))
        self.step(events.PoolBound(False, 1e6))
        for connection_id in (1, 2, 3):
            self.step(events.ConnectionOpened(connection_id))

    def step(self, event: object) -> None:
        follow_ups: list[object] = []
        for effect in self.core.step(self.now, event):
            match effect:
                case Wake(delay_ms):
                    self.timer_at = self.now + delay_ms
                case Write("pool", PollPool(cookie)) if not self.polls_unanswered:
                    follow_ups.append(events.GaugesReported(cookie, ()))
                case Write("pool", StartRun(name, class_name, _)):
                    self.on_run_started(name, class_name)
                case Write("pool", SupplyReply(name) | SkipDependency(name)):
                    self.blocked.discard(name)
                case Write(
                    int(connection_id),
                    RequestServed() | RequestRejected() | RequestFailed() as answer,
                ):
                    assert connection_id not in self.closed_connections, (
                        "answer on a closed connection"
                    )
                    self.answer_counts[connection_id, answer.message_id] += 1
                    self.answer_types[connection_id, answer.message_id] = type(answer)
                case Write(str(connection_name), DependencyCall(name)):
                    self.calls_by_connection[connection_name] = name
                case FinishReading(connection_id):
                    self.unfinished_reads.append(connection_id)
                case Close(int(connection_id)):
                    self.closed_connections.add(connection_id)
                case Exit():
                    self.exited = True
        database_connections = self.core.database.connections
        dialled = [name for name in list(database_connections) if not database_connections[name].up]
        for connection_name in dialled:
            follow_ups.append(events.ConnectionUp(connection_name))
        for follow_up in follow_ups:
            if (
                not isinstance(follow_up, events.ConnectionUp)
                or follow_up.connection in database_connections
            ):
                self.step(follow_up)

    def on_run_started(self, name: str, class_name: str) -> None:
        if name in self.running:
            return  # the pool ignores a repeated start command
        assert not self.exited, "run started after the exit"
        self.running[name] = class_name
        self.started_names.add(name)
        idempotency_key = self.keys_by_name.get(name, "")
        if idempotency_key:
            arrived_at = next(
                at for sent_name, _, at in self.sent_requests.values() if sent_name == name
            )
            runs = self.arrivals_by_key.setdefault(idempotency_key, [])
            assert not any(arrived_at - earlier <= WINDOW_MS for earlier in runs), (
                "key run twice within its window"
            )
            runs.append(arrived_at)

    def send_request(self, class_name: str, idempotency_key: str = "") -> None:
        open_connections = [
            connection_id
            for connection_id in (1, 2, 3)
            if connection_id not in self.closed_connections
        ]
        if not open_connections:
            return
        connection_id = open_connections[self.request_count % len(open_connections)]
        self.request_count += 1
        self.last_message_ids[connection_id] += 1
        name = rid(f"t{self.request_count}")
        fields = {"rid": name, "t0": str(int(self.now)), "peer": "1", "prio": "0.5", "mem": "1"}
        if class_name == "put":
            idempotency_key = fields["token"] = idempotency_key or f"{self.request_count:032x}"
            self.keys_by_name[name] = idempotency_key
        self.sent_requests[connection_id, self.last_message_ids[connection_id]] = (
            name,
            idempotency_key,
            self.now,
        )
        self.step(
            events.RequestReceived(
                connection_id,
                self.last_message_ids[connection_id],
                0.0,
                class_name,
                fields,
                b"body",
            )
        )

    def next_serial(self) -> int:
        self.last_serial += 1
        return self.last_serial

    def apply(self, event: str) -> None:
        open_requests = [
            key
            for key in self.sent_requests
            if not self.answer_counts[key] and key[0] not in self.closed_connections
        ]
        match event.split():
            case ["task", class_name]:
                self.send_request(class_name)
            case ["again"] if self.keys_by_name:
                self.send_request("put", list(self.keys_by_name.values())[-1])
            case ["cancel"] if open_requests:
                self.cancelled_requests.add(open_requests[0])
                self.step(events.RequestCancelled(*open_requests[0]))
            case ["reset" | "eof" as end_name] if open_connections := [
                connection_id
                for connection_id in (1, 2, 3)
                if connection_id not in self.closed_connections
            ]:
                if end_name == "reset":
                    self.closed_connections.add(open_connections[0])
                    self.cancelled_requests |= {
                        key for key in self.sent_requests if key[0] == open_connections[0]
                    }
                self.step(CONNECTION_END_EVENTS[end_name](open_connections[0]))
            case ["finish"] if self.running:
                name = next(iter(self.running))
                del self.running[name]
                self.blocked.discard(name)
                self.step(events.RunFinished(self.next_serial(), name, Outcome.OK, b"result"))
            case ["block"] if unblocked := [
                name for name in self.running if name not in self.blocked
            ]:
                self.blocked.add(unblocked[0])
                self.step(events.RunBlocked(self.next_serial(), unblocked[0], b"q"))
            case ["reply"] if self.calls_by_connection:
                connection_name, name = self.calls_by_connection.popitem()
                self.step(events.DependencyReplied(connection_name, name, Outcome.OK, b"rows"))
            case ["cut"] if self.calls_by_connection:
                connection_name, _ = self.calls_by_connection.popitem()
                self.step(events.ConnectionDown(connection_name, BROKEN_CONNECTION))
            case ["relink"]:
                self.step(events.ConnectionDown("pool", BROKEN_CONNECTION))
                self.step(events.ConnectionUp("pool"))
                self.step(events.PoolBound(False, 1e6))
            case ["leave" | "scarce" as name]:
                self.step(PROCESS_EVENTS[name])
            case ["stop"]:
                self.now += 900.0  # a stall: no timer fires meanwhile
            case ["moved"]:
                self.step(events.AddressesChanged({"db": ("127.0.0.9", 1)}, "nothing"))
            case ["read_out"] if self.unfinished_reads:
                self.step(events.ReadingFinished(self.unfinished_reads.pop(0)))
            case ["open"] if not self.exited:
                self.last_opened_id += 1
                self.step(events.ConnectionOpened(self.last_opened_id))
                self.step(events.HealthCheckReceived(self.last_opened_id, 1))
            case ["crowd"]:
                while len(self.core.connections.by_id) < self.core.connections.current_limit:
                    self.apply("open")
            case ["silent_pool"]:
                self.polls_unanswered = not self.polls_unanswered

    def advance(self, duration_ms: float) -> None:
        end_at = self.now + duration_ms
        while self.timer_at <= end_at:
            self.now = max(self.now, self.timer_at)
            self.timer_at = self.now + 1000.0
            self.step(events.TimerFired())
        self.now = end_at


def run_pair(setup: Sequence[str | float], pair: tuple[str, str], gap_ms: float) -> None:
    harness = CoreHarness()
    for setup_step in setup:
        if isinstance(setup_step, float):
            harness.advance(setup_step)
        else:
            harness.apply(setup_step)
    harness.apply(pair[0])
    harness.advance(gap_ms)
    harness.apply(pair[1])
    harness.polls_unanswered = False
    harness.advance(2500.0)
    while harness.unfinished_reads:
        harness.apply("read_out")
    context = (setup, pair, gap_ms, harness.core.counters.text())
    for key, (name, idempotency_key, _) in harness.sent_requests.items():
        allowed_counts = (0, 1) if key in harness.cancelled_requests else (1,)
        assert harness.answer_counts[key] in allowed_counts, (
            key,
            harness.answer_counts[key],
            context,
        )
        if harness.answer_types.get(key) is RequestRejected and not idempotency_key:
            assert name not in harness.started_names, ("rejected although it ran", context)
    assert harness.core.counters.counts["faults"] == 0, context
    assert harness.core.requests.count_unanswered() == 0, context


@pytest.mark.parametrize("state", STATES)
def test_each_pair_of_events_answers_each_request_once(state: str) -> None:
    for pair in product(EVENT_NAMES, EVENT_NAMES):
        run_pair(STATES[state], pair, 0.0)


@settings(max_examples=300, deadline=None)
@given(
    state=st.sampled_from(sorted(STATES)),
    more_steps=st.lists(
        st.sampled_from(EVENT_NAMES) | st.sampled_from([1.0, 25.0, 199.0, 390.0]), max_size=5
    ),
    pair=st.tuples(st.sampled_from(EVENT_NAMES), st.sampled_from(EVENT_NAMES)),
    gap_ms=st.sampled_from([0.0, 1.0, 30.0]),
)
def test_random_events_before_a_pair_answer_each_request_once(
    state: str, more_steps: list[str | float], pair: tuple[str, str], gap_ms: float
) -> None:
    for ordered_pair in (pair, pair[::-1]):
        run_pair([*STATES[state], *more_steps], ordered_pair, gap_ms)
