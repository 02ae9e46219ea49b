"""Guards against requests that a router answers twice or never, or sends again after they may have run.

Scripted nodes answer, fail and stay silent in every order.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.cells import moves
from pumicenotch.cells.map import Cell, CellMap, Tenant
from pumicenotch.cells.place import Node
from pumicenotch.interface import Idempotency, RequestClass
from pumicenotch.route.decide import (
    LISTENER,
    ForwardedCancel,
    ForwardedRequest,
    NodeAnswered,
    Router,
)
from pumicenotch.server import events
from pumicenotch.server.core_share import BusyTime
from pumicenotch.server.effects import (
    Close,
    Dial,
    Exit,
    FinishReading,
    MeasureBusyTime,
    Write,
)
from pumicenotch.server.events import ConnectionFailure, FailureReach
from pumicenotch.server.messages import DrainNotice, RequestFailed, RequestRejected, RequestServed

UNIX_MS = 1.7e12
REFUSED = ConnectionFailure(FailureReach.REFUSED, "simulated")
BROKEN = ConnectionFailure(FailureReach.BROKEN, "simulated")


def make_map() -> CellMap:
    cells = {"a": Cell("a", (Node("A1"), Node("A2"))), "b": Cell("b", (Node("B1"),))}
    return CellMap(1, cells, {"acme": Tenant("a"), "other": Tenant("b")}, 9000.0)


class RouterHarness:
    """A router with one caller on connection 1, and nodes that the test scripts."""

    def __init__(self, cells: CellMap | None = None) -> None:
        request_classes = [
            RequestClass(4000.0, 0.0, 8000.0, idempotency, 9000.0, 1.0, 0.0, 0.0)
            for idempotency in (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NONE)
        ]
        self.core = Router(
            cells=cells or make_map(),
            confirmed_at=UNIX_MS,
            request_classes=request_classes,
            seed=1,
            class_indexes={"read": 0, "put": 1, "pay": 2},
            shutdown_ms=3000.0,
            max_sockets=256,
        )
        self.now, self.last_message_id = 0.0, 0
        self.effects: list[Any] = []
        self.step(events.Started())
        self.step(events.ConnectionOpened(1))

    def step(self, event: object) -> None:
        self.effects += self.core.step(self.now, event)

    def advance_to(self, now: float) -> None:
        while self.now < now:
            self.now = min(now, self.now + 25.0)
            self.step(events.TimerFired())

    def send(self, class_name: str = "read", tenant: str = "acme", **extra_fields: str) -> int:
        """Sends a request and returns its message ID."""
        self.last_message_id += 1
        fields = {
            "rid": f"{self.last_message_id:016x}",
            "t0": str(int(UNIX_MS + self.now)),
            "peer": "1",
            "acct": tenant,
            "mem": "2",
            "prio": "0.5",
        }
        if class_name == "put":
            fields["token"] = 32 * "a"
        self.step(
            events.RequestReceived(
                1, self.last_message_id, UNIX_MS, class_name, fields | extra_fields, b"body"
            )
        )
        return self.last_message_id

    def dialed_connections(self) -> list[str]:
        return [each.connection for each in self.effects if isinstance(each, Dial)]

    def forwarded(self) -> list[tuple[str, int, dict[str, str]]]:
        """Returns the connection, message ID and fields of each forwarded request."""
        return [
            (str(each.connection), each.message.message_id, each.message.fields)
            for each in self.effects
            if isinstance(each, Write) and isinstance(each.message, ForwardedRequest)
        ]

    def answers(self, message_id: int) -> list[Any]:
        messages: list[Any] = [
            each.message
            for each in self.effects
            if isinstance(each, Write) and each.connection == 1
        ]
        return [
            message
            for message in messages
            if not isinstance(message, DrainNotice) and message.message_id == message_id
        ]

    def answer_types(self, message_id: int) -> list[type]:
        return [type(answer) for answer in self.answers(message_id)]

    def establish_last(self) -> str:
        """Establishes the connection that was dialed last, and returns its name."""
        name = self.dialed_connections()[-1]
        self.step(events.ConnectionUp(name))
        return name


def test_a_request_goes_to_a_node_of_its_cell_and_is_answered() -> None:
    harness = RouterHarness()
    message_id = harness.send()
    connection = harness.establish_last()
    assert connection.endswith(("A1", "A2"))
    (request,) = harness.forwarded()
    assert request[2]["epoch"] == "1" and "ask" not in request[2]
    harness.step(NodeAnswered(connection, 1, "served", b"done", {"hint": "0.5"}))
    assert harness.answers(message_id) == [RequestServed(message_id, None, b"done")]
    assert not harness.core.routed_requests and not harness.core.requests.by_id


@pytest.mark.parametrize("failure", [REFUSED, BROKEN])
def test_an_idempotent_request_tries_each_node_once(failure: ConnectionFailure) -> None:
    # A rejection says that the request never ran, which nobody knows after a broken connection.
    harness = RouterHarness()
    message_id = harness.send()
    if failure is BROKEN:
        first_connection = harness.establish_last()
    else:
        first_connection = harness.dialed_connections()[-1]
    harness.step(events.ConnectionDown(first_connection, failure))
    second_connection = harness.establish_last()
    assert first_connection.rpartition("-")[2] != second_connection.rpartition("-")[2]
    harness.step(NodeAnswered(second_connection, 1, "rejected", b"", {"backoff": "900"}))
    rejected = RequestRejected(message_id, None, 900.0, False)
    answer = RequestFailed(message_id, None) if failure is BROKEN else rejected
    assert harness.answers(message_id) == [answer]


@pytest.mark.parametrize(
    ("class_name", "failure", "answer_type"),
    [
        ("pay", BROKEN, RequestFailed),
        ("put", BROKEN, RequestFailed),
        ("put", REFUSED, RequestRejected),
    ],
)
def test_a_request_that_may_have_run_is_not_retried(
    class_name: str, failure: ConnectionFailure, answer_type: type
) -> None:
    harness = RouterHarness()
    message_id = harness.send(class_name)
    connection = harness.dialed_connections()[-1]
    if failure is BROKEN:
        harness.step(events.ConnectionUp(connection))
    harness.step(events.ConnectionDown(connection, failure))
    assert harness.answer_types(message_id) == [answer_type]
    assert len(harness.dialed_connections()) == 1


def test_during_a_move_a_request_runs_only_after_the_former_home_answers_clear() -> None:
    harness = RouterHarness(moves.move(make_map(), ["acme"], "b", 0.0))
    message_id = harness.send("put")
    former_home = harness.establish_last()
    assert harness.forwarded()[-1][2]["ask"] == "1" and harness.forwarded()[-1][2]["epoch"] == "2"
    harness.step(NodeAnswered(former_home, 1, "rejected", b"", {"cell": "clear", "backoff": "200"}))
    home = harness.establish_last()
    assert home.endswith("B1") and "ask" not in harness.forwarded()[-1][2]
    harness.step(NodeAnswered(home, 1, "served", b"done", {}))
    assert harness.answer_types(message_id) == [RequestServed]
    for reason, answer_type in (("no-word", RequestFailed), ("old", RequestRejected)):
        message_id = harness.send("put")
        harness.step(
            NodeAnswered(former_home, harness.forwarded()[-1][1], "rejected", b"", {"cell": reason})
        )
        assert harness.answer_types(message_id) == [answer_type]


def settled_router(settled_at: float) -> RouterHarness:
    """Returns a router whose tenant has moved from cell a to cell b, at the time of settling."""
    moved = moves.move(make_map(), ["acme"], "b", UNIX_MS)
    harness = RouterHarness(moves.settle(moved, UNIX_MS + settled_at))
    harness.now = settled_at
    return harness


@pytest.mark.parametrize("paused_ms", [0.0, 60.0, 440.0, 5000.0])
def test_a_retry_that_is_read_late_is_sent_to_the_former_home_of_the_time_when_it_came(
    paused_ms: float,
) -> None:
    # A router that paused ran retries a second time, at the new home: it judged by the time of reading.
    harness = settled_router(0.0)
    came_at = 9000.0 - 20.0  # one idempotency window after the map was settled, less 20 ms
    harness.now = came_at + paused_ms
    harness.send("put", t0=str(int(UNIX_MS + came_at)), again="1")
    harness.establish_last()
    connection, _, fields = harness.forwarded()[-1]
    assert fields.get("ask") == "1" and connection.endswith(("A1", "A2"))


def test_a_request_to_a_silent_node_fails_at_its_time_limit() -> None:
    harness = RouterHarness()
    message_id = harness.send()
    harness.establish_last()
    harness.advance_to(7900.0)
    assert not harness.answers(message_id)
    harness.advance_to(7990.0)
    assert harness.answer_types(message_id) == [RequestFailed]
    assert any(
        isinstance(each, Write) and isinstance(each.message, ForwardedCancel)
        for each in harness.effects
    )


def test_a_cancelled_or_reset_request_is_cancelled_on_the_node_and_not_answered() -> None:
    harness = RouterHarness()
    message_id, other = harness.send(tenant="other"), harness.send(tenant="other")
    connection = harness.establish_last()
    harness.step(events.RequestCancelled(1, message_id))
    assert [
        each
        for each in harness.effects
        if isinstance(each, Write) and each.message == ForwardedCancel(1)
    ]
    harness.step(events.ConnectionReset(1))
    harness.step(NodeAnswered(connection, 2, "served", b"done", {}))
    assert not harness.answers(message_id) and not harness.answers(other)
    assert harness.core.counters.counts["answered_gone"] == 2 and not harness.core.routed_requests


def test_a_draining_router_answers_all_requests_and_exits() -> None:
    harness = RouterHarness()
    message_id = harness.send()
    connection = harness.establish_last()
    harness.step(events.ShutdownRequested())
    harness.advance_to(1000.0)
    harness.step(NodeAnswered(connection, 1, "served", b"done", {}))
    late = harness.send()
    harness.advance_to(3000.0)
    assert harness.answer_types(message_id) == [RequestServed]
    assert len(harness.answers(late)) == 1
    assert any(isinstance(each, Exit) for each in harness.effects)


def test_invalid_requests_and_unknown_tenants_are_answered_without_a_node() -> None:
    harness = RouterHarness()
    assert harness.answer_types(harness.send("nosuch")) == [RequestFailed]
    assert harness.answer_types(harness.send(mem="x")) == [RequestFailed]
    assert harness.answer_types(harness.send(tenant="nobody")) == [RequestRejected]
    assert not harness.dialed_connections()


def test_connections_to_a_node_are_bounded_and_idle_ones_closed() -> None:
    harness = RouterHarness()
    for opened_id in range(2, 40):
        harness.step(events.ConnectionOpened(opened_id))
    for connection_id in range(2, 40):
        for number in range(30):
            harness.last_message_id += 1
            rid, t0 = f"{harness.last_message_id:016x}", str(int(UNIX_MS))
            fields = {"rid": rid, "t0": t0, "peer": "1", "acct": "other", "mem": "2", "prio": "0.5"}
            harness.step(
                events.RequestReceived(connection_id, number + 1, UNIX_MS, "read", fields, b"")
            )
    assert len(harness.dialed_connections()) == Router.MAX_CONNECTIONS_PER_NODE
    assert (
        harness.core.counters.counts["answered_rejected"]
        == 38 * 30 - Router.MAX_CONNECTIONS_PER_NODE * Router.MAX_OPEN_REQUESTS
    )
    for connection in harness.dialed_connections():
        harness.step(events.ConnectionUp(connection))
    for connection, message_id, _ in harness.forwarded():
        harness.step(NodeAnswered(connection, message_id, "served", b"", {}))
    harness.advance_to(6000.0)
    assert (
        sum(
            isinstance(each, Close) and str(each.connection).startswith("node")
            for each in harness.effects
        )
        == Router.MAX_CONNECTIONS_PER_NODE
    )
    assert not harness.core.node_connections and not harness.core.names_by_node


event_names = st.sampled_from(
    ["read", "put", "pay", "up", "served", "rejected", "clear", "old", "lost", "cancel", "wait"]
)


@settings(max_examples=80, deadline=None)
@given(st.lists(event_names, max_size=60), st.booleans())
def test_every_request_has_one_answer_after_any_events(names: list[str], moved: bool) -> None:
    harness = RouterHarness(moves.move(make_map(), ["acme"], "b", 0.0) if moved else None)
    cancelled: set[int] = set()
    for name in names:
        connections = list(harness.core.node_connections)
        busy = [
            connection
            for connection in connections
            if harness.core.node_connections[connection].open
        ]
        if name in ("read", "put", "pay") and 1 in harness.core.connections.by_id:
            if len(harness.core.connections.by_id[1].open_requests) < 30:
                harness.send(name)
        elif name == "up" and connections:
            harness.step(events.ConnectionUp(connections[0]))
        elif name == "lost" and connections:
            harness.step(
                events.ConnectionDown(
                    connections[-1],
                    BROKEN if harness.core.node_connections[connections[-1]].up else REFUSED,
                )
            )
        elif name == "cancel" and harness.core.routed_requests:
            routed = next(iter(harness.core.routed_requests.values()))
            cancelled.add(routed.request.message_id)
            harness.step(events.RequestCancelled(1, routed.request.message_id))
        elif name == "wait":
            harness.advance_to(harness.now + 400.0)
        elif busy and name in ("served", "rejected", "clear", "old"):
            number = next(iter(harness.core.node_connections[busy[0]].open))
            kind = "served" if name == "served" else "rejected"
            fields = {"cell": name} if name in ("clear", "old") else {}
            harness.step(NodeAnswered(busy[0], number, kind, b"x", fields))
    harness.step(events.ShutdownRequested())
    harness.advance_to(harness.now + 9000.0)
    for message_id in range(1, harness.last_message_id + 1):
        assert len(harness.answers(message_id)) == (0 if message_id in cancelled else 1), message_id
    assert not harness.core.routed_requests and not harness.core.requests.by_id
    sent = [
        (fields["rid"], connection.rpartition("-")[2])
        for connection, _, fields in harness.forwarded()
    ]
    assert len(set(sent)) == len(sent), "no node gets one attempt twice"


def test_callers_that_keep_sending_do_not_delay_the_shutdown() -> None:
    """Guards against a router that is killed because its callers send until the shutdown."""
    harness = RouterHarness()
    message_id = harness.send()
    connection = harness.establish_last()
    harness.step(events.ConnectionOpened(2))
    harness.step(events.HealthCheckReceived(2, 1))
    harness.step(events.ShutdownRequested())
    harness.advance_to(1400.0)
    harness.step(events.HealthCheckReceived(2, 2))
    harness.advance_to(2640.0)
    assert FinishReading(2) not in harness.effects
    harness.advance_to(2700.0)
    assert FinishReading(2) in harness.effects and FinishReading(1) not in harness.effects
    harness.step(events.ReadingFinished(2))
    assert Close(2) in harness.effects
    late = harness.send()
    assert harness.answer_types(late) == [RequestRejected] and len(harness.forwarded()) == 1
    harness.step(NodeAnswered(connection, 1, "served", b"done", {}))
    assert (
        harness.answer_types(message_id) == [RequestServed] and FinishReading(1) in harness.effects
    )
    harness.step(events.ReadingFinished(1))
    harness.advance_to(2760.0)
    assert any(isinstance(each, Exit) for each in harness.effects)


def test_a_router_on_a_crowded_core_closes_earlier() -> None:
    """Guards against a router that is killed because closing takes longer on a share of a core."""
    harness = RouterHarness()
    for connection_id in range(2, 82):
        harness.step(events.ConnectionOpened(connection_id))
        harness.step(events.HealthCheckReceived(connection_id, 1))
    harness.step(events.ShutdownRequested())
    assert MeasureBusyTime() in harness.effects
    for _ in range(16):
        harness.step(events.BusyTimeMeasured(BusyTime(elapsed_ms=60.0, processor_ms=15.0)))
    harness.advance_to(1000.0)
    for connection_id in range(2, 82):  # They continue to send.
        harness.step(events.HealthCheckReceived(connection_id, 2))
    harness.advance_to(2050.0)
    assert Close(LISTENER) not in harness.effects
    harness.advance_to(2180.0)
    assert Close(LISTENER) in harness.effects
    harness.step(events.ListenerClosed())
    assert FinishReading(2) not in harness.effects
    harness.advance_to(2380.0)
    assert all(FinishReading(connection_id) in harness.effects for connection_id in range(2, 82))
