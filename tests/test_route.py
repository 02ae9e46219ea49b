"""The router's reducer, by scripted nodes: one answer a task whatever nodes do, nothing sent twice that may
have run.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.cells import moves
from pumicenotch.cells.map import Cell, CellMap, Tenant
from pumicenotch.cells.place import Node
from pumicenotch.interface import Idempotency, RequestClass
from pumicenotch.route.decide import ForwardedCancel, ForwardedRequest, NodeAnswered, Router
from pumicenotch.server import events
from pumicenotch.server.effects import Close, Dial, Exit, FinishReading, Write
from pumicenotch.server.events import ConnectionFailure, FailureReach
from pumicenotch.server.messages import DrainNotice, RequestFailed, RequestRejected, RequestServed

UNIX = 1.7e12
REFUSED = ConnectionFailure(FailureReach.REFUSED, "as the test says")
BROKEN = ConnectionFailure(FailureReach.BROKEN, "as the test says")


def cells() -> CellMap:
    made = {"a": Cell("a", (Node("A1"), Node("A2"))), "b": Cell("b", (Node("B1"),))}
    return CellMap(1, made, {"acme": Tenant("a"), "other": Tenant("b")}, 9000.0)


class Played:
    """A router with one caller on connection 1; nodes answer as the test says."""

    def __init__(self, made: CellMap | None = None) -> None:
        stages = [
            RequestClass(4000.0, 0.0, 8000.0, effect, 9000.0, 1.0, 0.0, 0.0)
            for effect in (Idempotency.IDEMPOTENT, Idempotency.KEYED, Idempotency.NONE)
        ]
        self.core = Router(
            cells=made or cells(),
            confirmed=UNIX,
            stages=stages,
            seed=1,
            numbers={"read": 0, "put": 1, "pay": 2},
            stop_ms=3000.0,
            sockets=256,
        )
        self.now, self.message = 0.0, 0
        self.out: list[Any] = []
        self.step(events.Started())
        self.step(events.ConnectionOpened(1))

    def step(self, event: object) -> None:
        self.out += self.core.step(self.now, event)

    def at(self, now: float) -> None:
        while self.now < now:
            self.now = min(now, self.now + 25.0)
            self.step(events.TimerFired())

    def send(self, stage: str = "read", tenant: str = "acme", **more: str) -> int:
        self.message += 1
        fields = {
            "rid": f"{self.message:016x}",
            "t0": str(int(UNIX + self.now)),
            "peer": "1",
            "acct": tenant,
            "mem": "2",
            "prio": "0.5",
        }
        if stage == "put":
            fields["token"] = 32 * "a"
        self.step(events.RequestReceived(1, self.message, UNIX, stage, fields | more, b"body"))
        return self.message

    def dials(self) -> list[str]:
        return [each.connection for each in self.out if isinstance(each, Dial)]

    def tasks(self) -> list[tuple[str, int, dict[str, str]]]:
        """What was written to nodes: link, message, fields."""
        return [
            (str(each.connection), each.message.message_id, each.message.fields)
            for each in self.out
            if isinstance(each, Write) and isinstance(each.message, ForwardedRequest)
        ]

    def answers(self, message: int) -> list[Any]:
        own: list[Any] = [
            each.message for each in self.out if isinstance(each, Write) and each.connection == 1
        ]
        return [
            told for told in own if not isinstance(told, DrainNotice) and told.message_id == message
        ]

    def kinds(self, message: int) -> list[type]:
        return [type(answer) for answer in self.answers(message)]

    def link_last(self) -> str:
        link = self.dials()[-1]
        self.step(events.ConnectionUp(link))
        return link


def test_a_task_goes_to_a_node_of_its_cell_and_its_answer_back() -> None:
    play = Played()
    message = play.send()
    link = play.link_last()
    assert link.endswith(("A1", "A2"))
    (written,) = play.tasks()
    assert written[2]["epoch"] == "1" and "ask" not in written[2]
    play.step(NodeAnswered(link, 1, "served", b"done", {"hint": "0.5"}))
    assert play.answers(message) == [RequestServed(message, None, b"done")]
    assert not play.core.trips and not play.core.requests.by_id


def test_a_restartable_task_tries_the_other_node_and_no_more() -> None:
    play = Played()
    message = play.send()
    first = play.link_last()
    play.step(events.ConnectionDown(first, BROKEN))
    second = play.link_last()
    assert first.rpartition("-")[2] != second.rpartition("-")[2]
    play.step(NodeAnswered(second, 1, "rejected", b"", {"backoff": "900"}))
    assert play.answers(message) == [RequestRejected(message, None, 900.0, False)]


@pytest.mark.parametrize(
    ("stage", "fault", "kind"),
    [
        ("pay", BROKEN, RequestFailed),
        ("put", BROKEN, RequestFailed),
        ("put", REFUSED, RequestRejected),
    ],
)
def test_what_may_have_run_goes_nowhere_else(
    stage: str, fault: ConnectionFailure, kind: type
) -> None:
    play = Played()
    message = play.send(stage)
    link = play.dials()[-1]
    if fault is BROKEN:
        play.step(events.ConnectionUp(link))
    play.step(events.ConnectionDown(link, fault))
    assert play.kinds(message) == [kind]
    assert len(play.dials()) == 1


def test_in_a_move_the_former_home_is_asked_and_only_its_clear_lets_it_run() -> None:
    play = Played(moves.move(cells(), ["acme"], "b", 0.0))
    message = play.send("put")
    asked = play.link_last()
    assert play.tasks()[-1][2]["ask"] == "1" and play.tasks()[-1][2]["epoch"] == "2"
    play.step(NodeAnswered(asked, 1, "rejected", b"", {"cell": "clear", "backoff": "200"}))
    home = play.link_last()
    assert home.endswith("B1") and "ask" not in play.tasks()[-1][2]
    play.step(NodeAnswered(home, 1, "served", b"done", {}))
    assert play.kinds(message) == [RequestServed]
    for cell, kind in (("no-word", RequestFailed), ("old", RequestRejected)):
        message = play.send("put")
        play.step(NodeAnswered(asked, play.tasks()[-1][1], "rejected", b"", {"cell": cell}))
        assert play.kinds(message) == [kind]


def test_a_node_that_never_answers_costs_the_task_its_time_limit_and_no_more() -> None:
    play = Played()
    message = play.send()
    play.link_last()
    play.at(7900.0)
    assert not play.answers(message)
    play.at(7990.0)
    assert play.kinds(message) == [RequestFailed]
    assert any(
        isinstance(each, Write) and isinstance(each.message, ForwardedCancel) for each in play.out
    )


def test_a_caller_that_cancels_or_resets_is_owed_nothing_and_the_node_is_told() -> None:
    play = Played()
    message, other = play.send(tenant="other"), play.send(tenant="other")
    link = play.link_last()
    play.step(events.RequestCancelled(1, message))
    assert [
        each for each in play.out if isinstance(each, Write) and each.message == ForwardedCancel(1)
    ]
    play.step(events.ConnectionReset(1))
    play.step(NodeAnswered(link, 2, "served", b"done", {}))
    assert not play.answers(message) and not play.answers(other)
    assert play.core.counters.counts["answered_gone"] == 2 and not play.core.trips


def test_a_drain_answers_all_and_ends() -> None:
    play = Played()
    message = play.send()
    link = play.link_last()
    play.step(events.ShutdownRequested())
    play.at(1000.0)
    play.step(NodeAnswered(link, 1, "served", b"done", {}))
    late = play.send()
    play.at(3000.0)
    assert play.kinds(message) == [RequestServed]
    assert len(play.answers(late)) == 1
    assert any(isinstance(each, Exit) for each in play.out)


def test_wrong_fields_and_unknown_tenants_are_answered_at_once() -> None:
    play = Played()
    assert play.kinds(play.send("nosuch")) == [RequestFailed]
    assert play.kinds(play.send(mem="x")) == [RequestFailed]
    assert play.kinds(play.send(tenant="nobody")) == [RequestRejected]
    assert not play.dials()


def test_connections_to_a_node_are_bounded_and_idle_ones_closed() -> None:
    play = Played()
    for at in range(2, 40):
        play.step(events.ConnectionOpened(at))
    for conn in range(2, 40):
        for number in range(30):
            play.message += 1
            rid, t0 = f"{play.message:016x}", str(int(UNIX))
            fields = {"rid": rid, "t0": t0, "peer": "1", "acct": "other", "mem": "2", "prio": "0.5"}
            play.step(events.RequestReceived(conn, number + 1, UNIX, "read", fields, b""))
    assert len(play.dials()) == Router.WAYS
    assert (
        play.core.counters.counts["answered_rejected"] == 38 * 30 - Router.WAYS * Router.MOST_OPEN
    )
    for link in play.dials():
        play.step(events.ConnectionUp(link))
    for link, message, _ in play.tasks():
        play.step(NodeAnswered(link, message, "served", b"", {}))
    play.at(6000.0)
    assert (
        sum(
            isinstance(each, Close) and str(each.connection).startswith("node") for each in play.out
        )
        == Router.WAYS
    )
    assert not play.core.ways and not play.core.of_node


happenings = st.sampled_from(
    ["read", "put", "pay", "link", "served", "rejected", "clear", "old", "lost", "cancel", "wait"]
)


@settings(max_examples=80, deadline=None)
@given(st.lists(happenings, max_size=60), st.booleans())
def test_whatever_happens_every_task_has_one_answer(stream: list[str], moved: bool) -> None:
    play = Played(moves.move(cells(), ["acme"], "b", 0.0) if moved else None)
    gone: set[int] = set()
    for what in stream:
        ways = list(play.core.ways)
        up = [link for link in ways if play.core.ways[link].open]
        if what in ("read", "put", "pay") and 1 in play.core.connections.by_id:
            if len(play.core.connections.by_id[1].open_requests) < 30:
                play.send(what)
        elif what == "link" and ways:
            play.step(events.ConnectionUp(ways[0]))
        elif what == "lost" and ways:
            play.step(
                events.ConnectionDown(ways[-1], BROKEN if play.core.ways[ways[-1]].up else REFUSED)
            )
        elif what == "cancel" and play.core.trips:
            trip = next(iter(play.core.trips.values()))
            gone.add(trip.held.message_id)
            play.step(events.RequestCancelled(1, trip.held.message_id))
        elif what == "wait":
            play.at(play.now + 400.0)
        elif up and what in ("served", "rejected", "clear", "old"):
            number = next(iter(play.core.ways[up[0]].open))
            kind = "served" if what == "served" else "rejected"
            fields = {"cell": what} if what in ("clear", "old") else {}
            play.step(NodeAnswered(up[0], number, kind, b"x", fields))
    play.step(events.ShutdownRequested())
    play.at(play.now + 9000.0)
    for message in range(1, play.message + 1):
        assert len(play.answers(message)) == (0 if message in gone else 1), message
    assert not play.core.trips and not play.core.requests.by_id
    sent = [(fields["rid"], link.rpartition("-")[2]) for link, _, fields in play.tasks()]
    assert len(set(sent)) == len(sent), "no node gets one try twice"


def test_callers_that_never_stop_do_not_hold_up_the_end() -> None:
    """Guards against a router that is killed while its callers go on sending until the stop."""
    play = Played()
    message = play.send()
    link = play.link_last()
    play.step(events.ConnectionOpened(2))
    play.step(events.HealthCheckReceived(2, 1))
    play.step(events.ShutdownRequested())
    play.at(1400.0)
    play.step(events.HealthCheckReceived(2, 2))
    play.at(2640.0)
    assert FinishReading(2) not in play.out
    play.at(2700.0)
    assert FinishReading(2) in play.out and FinishReading(1) not in play.out
    play.step(events.ReadingFinished(2))
    assert Close(2) in play.out
    late = play.send()
    assert play.kinds(late) == [RequestRejected] and len(play.tasks()) == 1
    play.step(NodeAnswered(link, 1, "served", b"done", {}))
    assert play.kinds(message) == [RequestServed] and FinishReading(1) in play.out
    play.step(events.ReadingFinished(1))
    play.at(2760.0)
    assert any(isinstance(each, Exit) for each in play.out)
