"""Guards against a request that runs on a node of the wrong cell, or twice during a tenant's move.

Routers and direct callers with cell maps of any age send requests to one node.
"""

from typing import Any

import pytest

from pumicenotch.cells import moves
from pumicenotch.cells.fence import Fence
from pumicenotch.cells.map import Cell, CellMap, Tenant
from pumicenotch.cells.place import Node
from pumicenotch.control import ControllerSettings
from pumicenotch.interface import MAX_CLOCK_AHEAD_MS, Idempotency, Outcome, RequestClass
from pumicenotch.net.gateways import encode_rejected
from pumicenotch.server import events
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Write
from pumicenotch.server.messages import RequestFailed, RequestRejected, RequestServed, StartRun
from pumicenotch.server.settings import ServerSettings

WINDOW_MS = 9000.0
CLASS_INDEXES = {"read": 0, "put": 1}
START_MS = 1e6


def maps_before_and_after_move() -> tuple[CellMap, CellMap]:
    cells = {"a": Cell("a", (Node("A"),)), "b": Cell("b", (Node("B"),))}
    before_move = CellMap(1, cells, {"acme": Tenant("a"), "other": Tenant("b")}, WINDOW_MS)
    return before_move, moves.move(before_move, ["acme"], "b", START_MS)


class NodeHarness:
    """A core with a bound pool, on node A and up for two idempotency windows by default."""

    def __init__(
        self, cells: CellMap | None, node: str = "A", uptime_ms: float = 2 * WINDOW_MS
    ) -> None:
        request_classes = [
            RequestClass(4000.0, 0.0, 8000.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0),
            RequestClass(4000.0, 0.0, 8000.0, Idempotency.KEYED, WINDOW_MS, 1.0, 0.0, 0.0),
        ]
        fence = Fence(START_MS - uptime_ms, WINDOW_MS, cells) if cells is not None else None
        controller = ControllerSettings(
            request_classes=request_classes, tenants=[], gauges=[], cores=4, crash_load_factor=8.0
        )
        settings = ServerSettings(
            controller=controller,
            class_indexes=CLASS_INDEXES,
            tenant_indexes={},
            seed=1,
            shutdown_ms=3000.0,
            has_database=False,
            memory_mb=192.0,
            max_descriptors=64,
        )
        self.core = Server(settings, fence=fence, node=node)
        self.written: list[tuple[Any, Any]] = []
        self.now, self.last_message_id = START_MS, 0
        for event in (
            events.Started(),
            events.ConnectionUp("pool"),
            events.PoolBound(False, 1e5),
            events.GaugesReported("1", ()),
            events.ConnectionOpened(1),
        ):
            self.step(event)

    def step(self, event: object) -> None:
        for effect in self.core.step(self.now, event):
            if isinstance(effect, Write):
                self.written.append((effect.connection, effect.message))

    def send(self, rid: int, class_name: str, tenant: str = "acme", **extra_fields: str) -> str:
        """Sends a request; returns `run`, `waits`, or the cell reason of its rejection."""
        self.written.clear()
        self.last_message_id += 1
        fields = {
            "rid": f"{rid:016x}",
            "t0": str(int(self.now)),
            "peer": "1",
            "acct": tenant,
            "mem": "2",
            "prio": "0.5",
        }
        if class_name == "put":
            fields["token"] = extra_fields.pop("token", 32 * "a")
        self.step(
            events.RequestReceived(
                1, self.last_message_id, 0.0, class_name, fields | extra_fields, b"body"
            )
        )
        for connection, message in self.written:
            if connection == 1 and isinstance(message, RequestRejected):
                return message.cell_reason
            if connection == "pool" and isinstance(message, StartRun):
                return "run"
        return "waits"


def test_epochs_are_ignored_without_a_cell_map() -> None:
    node = NodeHarness(None)
    assert node.send(1, "put", epoch="7", ask="1") == "run"
    assert node.send(2, "read", "whoever", epoch="junk") == "run"


def test_request_of_another_cell_is_rejected_unless_its_epoch_is_newer() -> None:
    before_move, _ = maps_before_and_after_move()
    node = NodeHarness(before_move)
    assert node.send(1, "read", "other") == "old"
    assert node.send(2, "read", "other", epoch="1") == "old"
    assert node.send(3, "read", "other", epoch="2") == "run"
    assert node.send(4, "put", "other", token=32 * "b") == "old"
    assert node.send(5, "read") == "run" and node.send(6, "put") == "run"


def test_previous_owner_answers_clear_and_rejects_older_epochs_afterwards() -> None:
    before_move, _ = maps_before_and_after_move()
    node = NodeHarness(before_move)
    assert node.send(1, "put", epoch="2", ask="1") == "clear"
    assert node.send(2, "put", epoch="1") == "old", "an epoch from before the move"
    assert node.send(3, "put", token=32 * "b") == "run", (
        "a caller without an epoch gets the node's newest"
    )
    assert node.core.counters.counts["cells_clear"] == 1


def test_previous_owner_answers_a_known_key_from_its_result() -> None:
    before_move, after_move = maps_before_and_after_move()
    node = NodeHarness(before_move)
    assert node.send(1, "put", epoch="1") == "run"
    assert node.send(2, "put", epoch="2", ask="1") == "waits"
    node.step(events.CellMapReplaced(after_move, "epoch 2"))
    assert node.send(3, "put", epoch="1") == "waits", "a known key is answered under any epoch"
    node.step(events.RunFinished(1, f"{1:016x}", Outcome.OK, b"done"))
    answers = {
        message.message_id: message.result
        for _, message in node.written
        if isinstance(message, RequestServed)
    }
    assert answers == {1: b"done", 2: b"done", 3: b"done"}
    assert node.send(4, "put", token=32 * "b", epoch="1") == "old", (
        "an unknown key does not run under an old epoch"
    )


@pytest.mark.parametrize("ahead_ms", [0.0, 800.0])
def test_a_retry_that_is_read_late_is_known_although_its_gateways_clock_is_ahead(
    ahead_ms: float,
) -> None:
    # The window counts from the gateway's stamp: a stamp that was ahead must not end it sooner.
    node = NodeHarness(None)
    first_stamp = node.now + ahead_ms
    assert node.send(1, "put", t0=str(int(first_stamp))) == "run"
    node.step(events.RunFinished(1, f"{1:016x}", Outcome.OK, b"done"))
    retry_stamp = first_stamp + WINDOW_MS - 10.0
    node.now = retry_stamp - ahead_ms + 600.0
    assert node.send(2, "put", t0=str(int(retry_stamp)), again="1") == "waits"
    served = [message for _, message in node.written if isinstance(message, RequestServed)]
    assert [message.result for message in served] == [b"done"]


def former_home_with_a_queued_request() -> NodeHarness:
    """Returns a node that four requests keep busy, with a fifth in its queue, after a move."""
    before_move, after_move = maps_before_and_after_move()
    node = NodeHarness(before_move)
    for rid in range(1, 5):
        assert node.send(rid, "put", epoch="1", token=f"{rid:032x}") == "run"
    assert node.send(5, "put", epoch="1") == "waits"
    node.step(events.CellMapReplaced(after_move, "epoch 2"))
    return node


def test_a_retry_that_asks_a_former_home_never_runs_there_in_place_of_its_original() -> None:
    # Its own window would end after the router stops asking the former home: it could run again.
    node = former_home_with_a_queued_request()
    assert node.send(6, "put", epoch="2", ask="1") == "waits"
    assert node.send(7, "put", epoch="2", ask="1") == "waits"
    node.step(events.RequestCancelled(1, 5))
    rejected = [message for _, message in node.written if isinstance(message, RequestRejected)]
    assert [message.message_id for message in rejected] == [6, 7]
    for rid in range(1, 5):
        node.step(events.RunFinished(rid, f"{rid:016x}", Outcome.OK, b"done"))
    assert not [message for _, message in node.written if isinstance(message, StartRun)]
    assert node.send(8, "put", epoch="2", ask="1") == "clear", "it never ran, and never will here"


def test_a_retry_of_the_home_still_takes_the_place_of_its_original() -> None:
    node = former_home_with_a_queued_request()
    assert node.send(6, "put", epoch="2", ask="1") == "waits"
    assert node.send(7, "put", epoch="1") == "waits"
    node.step(events.RequestCancelled(1, 5))
    assert not [message for _, message in node.written if isinstance(message, RequestRejected)]
    node.step(events.RunFinished(1, f"{1:016x}", Outcome.OK, b"done"))
    started = [message for _, message in node.written if isinstance(message, StartRun)]
    assert [message.name for message in started] == [f"{7:016x}"]
    node.step(events.RunFinished(2, f"{7:016x}", Outcome.OK, b"paid"))
    served = [message for _, message in node.written if isinstance(message, RequestServed)]
    assert {message.message_id: message.result for message in served if message.message_id > 5} == {
        6: b"paid",
        7: b"paid",
    }


def test_node_up_for_less_than_the_window_answers_no_word() -> None:
    before_move, after_move = maps_before_and_after_move()
    assert (
        NodeHarness(before_move, uptime_ms=0.5 * WINDOW_MS).send(1, "put", epoch="2", ask="1")
        == "no-word"
    )
    assert NodeHarness(after_move, uptime_ms=0.5 * WINDOW_MS).send(1, "put", epoch="1") == "old", (
        "the node's own map has the move"
    )
    assert (
        NodeHarness(after_move, "B", uptime_ms=0.5 * WINDOW_MS).send(1, "put", epoch="2") == "run"
    )


@pytest.mark.parametrize(("wait_ms", "reason"), [(0.0, "clear"), (900.0, "no-word")])
def test_a_restarted_node_that_reads_a_question_late_does_not_vouch_for_the_key(
    wait_ms: float, reason: str
) -> None:
    # A retry that came within the window of a run before the restart ran again at the new home.
    before_move, _ = maps_before_and_after_move()
    node = NodeHarness(before_move, uptime_ms=WINDOW_MS + MAX_CLOCK_AHEAD_MS)
    node.now += wait_ms - 50.0 if wait_ms else 0.0
    came_at = node.now - wait_ms
    assert node.send(1, "put", epoch="2", ask="1", t0=str(int(came_at))) == reason


@pytest.mark.parametrize(
    "extra_fields", [{"epoch": "-1"}, {"epoch": "x"}, {"epoch": ""}, {"epoch": "1", "ask": "yes"}]
)
def test_malformed_epoch_fields_are_answered_as_failed(extra_fields: dict[str, str]) -> None:
    node = NodeHarness(maps_before_and_after_move()[0])
    node.send(1, "put", **extra_fields)
    assert [type(message) for _, message in node.written] == [RequestFailed]
    assert node.core.counters.counts["malformed"] == 1


def test_cell_reason_is_encoded_only_if_there_is_one() -> None:
    assert b"cell" in encode_rejected(RequestRejected(1, None, 0.0, False, "clear"))
    assert b"cell" not in encode_rejected(RequestRejected(1, None, 0.0, False))
