"""Guards against a request that runs twice while its tenant moves between cells, in any order of events.

A model checker runs the code of `cells/` through all interleavings of requests, messages, maps, crashes and
pauses within bounds.
"""

import random
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.cells import moves
from pumicenotch.cells.fence import Fence, Role, Verdict
from pumicenotch.cells.map import Cell, CellMap, Tenant
from pumicenotch.cells.place import Node
from pumicenotch.cells.walk import Route, SendResult, plan_route
from pumicenotch.lab.explore import Explorer, Found
from pumicenotch.lab.moving import Letter, Moving, State

WINDOW_MS = 1000.0


@pytest.fixture(scope="module", autouse=True)
def one_clock() -> Iterator[None]:
    """Removes the allowance for clocks that differ: the model has one clock, and short windows."""
    with pytest.MonkeyPatch.context() as patch:
        for module in ("map", "fence"):
            patch.setattr(f"pumicenotch.cells.{module}.MAX_CLOCK_AHEAD_MS", 0.0)
        yield


def aborted_move_maps(lease_ms: float = 500.0) -> list[CellMap]:
    """Returns a map, the map of a move, and the map that aborts the move."""
    cells = {"a": Cell("a", (Node("A"),)), "b": Cell("b", (Node("B"),))}
    first_map = CellMap(1, cells, {"t": Tenant("a")}, WINDOW_MS, lease_ms)
    second_map = moves.move(first_map, ["t"], "b", 0.0)
    return [first_map, second_map, moves.abort(first_map, second_map, 0.0)]


def settled_move_maps(settled_at: float, lease_ms: float = 500.0) -> list[CellMap]:
    """Returns a map, the map of a move, and the map that settles the move."""
    first_map, second_map, _ = aborted_move_maps(lease_ms)
    return [first_map, second_map, moves.settle(second_map, settled_at)]


def explore(model: Moving, max_states: int = 400_000) -> Found:
    return Explorer(model.after, model.wrong, max_states).run(model.first())


@pytest.mark.parametrize(
    "bounds",
    [{"crashes": 1, "losses": 1}, {"crashes": 0, "losses": 0, "restarts": 1}],
    ids=["crash and lost connection", "router restart"],
)
def test_no_interleaving_of_a_move_runs_a_request_twice(bounds: dict[str, Any]) -> None:
    found = explore(Moving(aborted_move_maps()[:2], [0.0, 0.0], **bounds))
    assert not found.violation, found.text()
    assert found.whole and found.states > 3000


TIMED_BOUNDS: dict[str, Any] = {
    "crashes": 0,
    "losses": 0,
    "until": 2500.0,
    "step": 500.0,
    "settles": frozenset({3}),
}


def test_no_interleaving_runs_a_request_twice_while_a_move_settles_and_after() -> None:
    long_steps = {**TIMED_BOUNDS, "until": 2000.0, "step": 1000.0}
    found = explore(
        Moving(settled_move_maps(1000.0, lease_ms=0.0), [0.0, 0.0, 1000.0], **long_steps)
    )
    assert not found.violation, found.text()
    assert found.whole


# A pause of a router by which it reads requests late, at a time when the former home stops counting.
LATE_BOUNDS: dict[str, Any] = {
    "routers": 1,
    "crashes": 0,
    "losses": 0,
    "until": 1500.0,
    "step": 500.0,
    "settles": frozenset({3}),
    "read_delay": 500.0,
    "limit": 1000.0,
}


class RoutesByTimeOfReading(Moving):
    """Seeded bug: the router asks the former homes of the time at which it reads a request."""

    @staticmethod
    def walks(cells: CellMap, confirmed_at: float, now: float, _: float, *rest: Any) -> Any:
        return plan_route(cells, confirmed_at, now, now, *rest)


def test_no_interleaving_runs_a_request_twice_that_is_read_late_after_a_move() -> None:
    maps = settled_move_maps(0.0, lease_ms=0.0)
    found = explore(Moving(maps, [0.0, 0.0, 0.0], **LATE_BOUNDS))
    assert not found.violation, found.text()
    assert found.whole and found.states > 60_000


def test_the_model_finds_a_router_that_judges_by_the_time_of_reading() -> None:
    # Guards the model itself: before it read requests late, it could not show that they run twice.
    maps = settled_move_maps(0.0, lease_ms=0.0)
    found = explore(RoutesByTimeOfReading(maps, [0.0, 0.0, 0.0], **LATE_BOUNDS))
    assert found.violation.startswith("ran twice, on A and B"), found.text()


# A former home that has crashed, and reads the question about a request late.
CRASH_BOUNDS: dict[str, Any] = {
    "routers": 1,
    "crashes": 1,
    "losses": 0,
    "until": 1000.0,
    "step": 500.0,
    "limit": 1000.0,
}


class JudgesStartupByTimeOfReading(Moving):
    """Seeded bug: a restarted node vouches for a key one window after its start, by its own clock."""

    def fence_check(self, fence: Fence, state: State, letter: Letter, known: bool) -> Verdict:
        return fence.check(state.now, "t", letter.epoch, letter.role, known)


def test_no_interleaving_runs_a_request_twice_about_which_a_restarted_node_is_asked_late() -> None:
    # Guards against a node that vouches for a key from before its start, as it read the question late.
    found = explore(Moving(aborted_move_maps(lease_ms=0.0)[:2], [0.0, 0.0], **CRASH_BOUNDS))
    assert not found.violation, found.text()
    assert found.whole and found.states > 10_000


def test_the_model_finds_a_restarted_node_that_judges_by_the_time_of_reading() -> None:
    model = JudgesStartupByTimeOfReading(
        aborted_move_maps(lease_ms=0.0)[:2], [0.0, 0.0], **CRASH_BOUNDS
    )
    found = explore(model)
    assert found.violation.startswith("ran twice, on A and B"), found.text()


def test_a_window_counted_from_the_creation_of_a_map_is_too_short() -> None:
    """Guards against an expiry counted from the move's map, which nodes may get much later.

    The first version of moves failed this way.
    """
    maps = settled_move_maps(0.0, lease_ms=0.0)
    found = explore(Moving(maps, [0.0, 0.0, 0.0], **{**TIMED_BOUNDS, "settles": frozenset()}))
    assert found.violation.startswith("ran twice, on A and B"), found.text()


def test_no_interleaving_of_an_aborted_move_runs_a_request_twice() -> None:
    found = explore(Moving(aborted_move_maps(), [0.0] * 3, crashes=0, losses=0))
    assert not found.violation, found.text()
    assert found.whole


class FenceWithoutEpochs(Fence):
    """Seeded bug: a node that has given a key up does not record the epoch."""

    def record_epoch(self, tenant: str, epoch: int) -> None: ...


class FenceWithoutStartupWindow(Fence):
    """Seeded bug: a node gives up keys that it may have run before its start."""

    def check(self, arrived_at: float, tenant: str, epoch: int, role: Role, known: bool) -> Verdict:
        verdict = super().check(arrived_at, tenant, epoch, role, known)
        return Verdict.CLEAR if verdict is Verdict.NO_WORD else verdict


class RouteSkippingFormerHomes(Route):
    """Seeded bug: a former home that cannot be reached is skipped."""

    def on_result(self, result: SendResult, may_retry: bool = True) -> Any:
        skips = self.asked_home and result in (SendResult.REFUSED, SendResult.BROKEN)
        return self.next_step() if skips else super().on_result(result, may_retry)


@pytest.mark.parametrize(
    ("changes", "bounds"),
    [
        ({"fence": FenceWithoutEpochs}, {"careful": False, "crashes": 0, "losses": 0}),
        ({"fence": FenceWithoutStartupWindow}, {"crashes": 1, "losses": 0}),
        ({"walk_type": RouteSkippingFormerHomes}, {"crashes": 0, "losses": 1}),
        ({}, {"careful": False, "crashes": 1, "losses": 0}),
    ],
    ids=[
        "epoch not recorded",
        "no startup window",
        "former home skipped",
        "routers get the map before nodes",
    ],
)
def test_the_model_checker_finds_seeded_bugs(
    changes: dict[str, Any], bounds: dict[str, Any]
) -> None:
    model = Moving(aborted_move_maps()[:2], [0.0, 0.0], **bounds)
    for name, value in changes.items():
        setattr(model, name, value)
    found = explore(model)
    assert found.violation.startswith("ran twice, on A and B"), found.text()
    assert found.trace and all(found.trace) and f"{len(found.trace)}. " in found.text()


def test_without_crashes_epochs_suffice_even_if_routers_get_a_map_first() -> None:
    found = explore(Moving(aborted_move_maps()[:2], [0.0, 0.0], careful=False, crashes=0, losses=1))
    assert not found.violation, found.text()


def test_only_the_lease_stops_a_forced_node_that_is_still_running() -> None:
    """Guards against a second run by a node that was forced while running and never gets the map.

    A router that does not get the map either continues to send requests to the node.
    """
    cut_off: dict[str, Any] = {
        **TIMED_BOUNDS,
        "until": 4000.0,
        "forced": ("A",),
        "cut": frozenset({(1, "A")}),
        "unheard": frozenset({0}),
    }
    found = explore(Moving(settled_move_maps(0.0), [0.0, 0.0, 0.0], **cut_off))
    assert not found.violation and found.whole, found.text()
    without_lease = explore(
        Moving(settled_move_maps(0.0, lease_ms=0.0), [0.0, 0.0, 0.0], **cut_off)
    )
    assert without_lease.violation.startswith("ran twice, on A and B"), (
        "without a lease the operator must stop forced nodes, see docs/cells.md"
    )


def random_steps(model: Moving, generator: random.Random, max_steps: int) -> Iterator[str]:
    """Yields the steps of one random run, which may exceed the bounds of exhaustive exploration."""
    state = model.first()
    for _ in range(max_steps):
        following = list(model.after(state))
        if not following:
            return
        line, state = generator.choice(following)
        yield line
        assert not model.wrong(state), model.wrong(state)


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(2, 4))
def test_long_random_runs_run_nothing_twice(generator: random.Random, tries: int) -> None:
    first_map, second_map, _ = aborted_move_maps()
    maps = [
        first_map,
        second_map,
        moves.settle(second_map, 500.0),
        moves.move(moves.settle(second_map, 500.0), ["t"], "a", 750.0),
    ]
    bounds: dict[str, Any] = {
        "routers": 3,
        "tries": tries,
        "crashes": 3,
        "losses": 3,
        "restarts": 2,
    }
    times = [0.0, 0.0, 500.0, 750.0]
    model = Moving(maps, times, settles=frozenset({3}), until=3000.0, step=250.0, **bounds)
    assert all(random_steps(model, generator, 150))
