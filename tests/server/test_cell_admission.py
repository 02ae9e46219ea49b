"""The node's side of cells in the core: what reaches a node of another cell, by routers with maps of any
age.
"""

from typing import Any

import pytest

from pumicenotch.cells import moves
from pumicenotch.cells.fence import Fence
from pumicenotch.cells.map import Cell, CellMap, Tenant
from pumicenotch.cells.place import Node
from pumicenotch.control import ControllerSettings
from pumicenotch.interface import Idempotency, Outcome, RequestClass
from pumicenotch.net.gateways import encode_rejected
from pumicenotch.server import events
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Write
from pumicenotch.server.messages import RequestFailed, RequestRejected, RequestServed, StartRun
from pumicenotch.server.settings import ServerSettings

W = 9000.0
STAGES = {"read": 0, "put": 1}
START = 1e6


def maps() -> tuple[CellMap, CellMap]:
    cells = {"a": Cell("a", (Node("A"),)), "b": Cell("b", (Node("B"),))}
    one = CellMap(1, cells, {"acme": Tenant("a"), "other": Tenant("b")}, W)
    return one, moves.move(one, ["acme"], "b", START)


class Played:
    """A core that is bound, of node A unless told, up for longer than a window."""

    def __init__(self, cells: CellMap | None, node: str = "A", up: float = 2 * W) -> None:
        stages = [
            RequestClass(4000.0, 0.0, 8000.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0),
            RequestClass(4000.0, 0.0, 8000.0, Idempotency.KEYED, W, 1.0, 0.0, 0.0),
        ]
        fence = Fence(START - up, W, cells) if cells is not None else None
        controller = ControllerSettings(
            request_classes=stages, tenants=[], gauges=[], cores=4, crash_load_factor=8.0
        )
        settings = ServerSettings(
            controller=controller,
            class_indexes=STAGES,
            tenant_indexes={},
            seed=1,
            shutdown_ms=3000.0,
            has_database=False,
            memory_mb=192.0,
            max_descriptors=64,
        )
        self.core = Server(settings, fence=fence, node=node)
        self.written: list[tuple[Any, Any]] = []
        self.now, self.message = START, 0
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

    def send(self, rid: int, stage: str, tenant: str = "acme", **more: str) -> str:
        """What became of it: `run`, `reused`, or why it was rejected."""
        self.written.clear()
        self.message += 1
        fields = {
            "rid": f"{rid:016x}",
            "t0": str(int(self.now)),
            "peer": "1",
            "acct": tenant,
            "mem": "2",
            "prio": "0.5",
        }
        if stage == "put":
            fields["token"] = more.pop("token", 32 * "a")
        self.step(events.RequestReceived(1, self.message, 0.0, stage, fields | more, b"body"))
        for connection, message in self.written:
            if connection == 1 and isinstance(message, RequestRejected):
                return message.cell_reason
            if connection == "pool" and isinstance(message, StartRun):
                return "run"
        return "waits"


def test_without_a_map_stamps_mean_nothing() -> None:
    node = Played(None)
    assert node.send(1, "put", epoch="7", ask="1") == "run"
    assert node.send(2, "read", "whoever", epoch="junk") == "run"


def test_a_task_of_another_cell_is_rejected_unrun_unless_the_router_knows_more() -> None:
    one, _ = maps()
    node = Played(one)
    assert node.send(1, "read", "other") == "old"
    assert node.send(2, "read", "other", epoch="1") == "old"
    assert node.send(3, "read", "other", epoch="2") == "run"
    assert node.send(4, "put", "other", token=32 * "b") == "old"
    assert node.send(5, "read") == "run" and node.send(6, "put") == "run"


def test_a_former_home_that_is_asked_answers_clear_and_runs_nothing_older_after() -> None:
    one, _ = maps()
    node = Played(one)
    assert node.send(1, "put", epoch="2", ask="1") == "clear"
    assert node.send(2, "put", epoch="1") == "old", "a router that has not heard of the move"
    assert node.send(3, "put", token=32 * "b") == "run", (
        "its own callers have no map: by its newest epoch"
    )
    assert node.core.counters.counts["cells_clear"] == 1


def test_a_former_home_that_knows_the_fingerprint_answers_for_it() -> None:
    one, two = maps()
    node = Played(one)
    assert node.send(1, "put", epoch="1") == "run"
    assert node.send(2, "put", epoch="2", ask="1") == "waits"
    node.step(events.CellMapReplaced(two, "epoch 2"))
    assert node.send(3, "put", epoch="1") == "waits", "known: under any epoch"
    node.step(events.RunFinished(1, f"{1:016x}", Outcome.OK, b"done"))
    answers = {
        message.message_id: message.result
        for _, message in node.written
        if isinstance(message, RequestServed)
    }
    assert answers == {1: b"done", 2: b"done", 3: b"done"}
    assert node.send(4, "put", token=32 * "b", epoch="1") == "old", (
        "what it does not know it runs no more"
    )


def test_a_node_that_has_just_started_has_no_word() -> None:
    one, two = maps()
    assert Played(one, up=0.5 * W).send(1, "put", epoch="2", ask="1") == "no-word"
    assert Played(two, up=0.5 * W).send(1, "put", epoch="1") == "old", "its file knows the move"
    assert Played(two, "B", up=0.5 * W).send(1, "put", epoch="2") == "run"


@pytest.mark.parametrize(
    "more", [{"epoch": "-1"}, {"epoch": "x"}, {"epoch": ""}, {"epoch": "1", "ask": "yes"}]
)
def test_malformed_stamps_are_answered_as_failed(more: dict[str, str]) -> None:
    node = Played(maps()[0])
    node.send(1, "put", **more)
    assert [type(message) for _, message in node.written] == [RequestFailed]
    assert node.core.counters.counts["malformed"] == 1


def test_the_reason_goes_over_the_wire_for_routers() -> None:
    assert b"cell" in encode_rejected(RequestRejected(1, None, 0.0, False, "clear"))
    assert b"cell" not in encode_rejected(RequestRejected(1, None, 0.0, False))
