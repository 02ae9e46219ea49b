"""Guards against a request that runs twice, or on the wrong node, while its tenant moves between cells.

Tests placement, maps, fences, routes and moves one by one, and then checks the move protocol with a model
checker that runs this code through all interleavings within bounds.
"""

from collections import Counter
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.cells import moves
from pumicenotch.cells.fence import Fence, Role, Verdict
from pumicenotch.cells.map import (
    MAX_READ_DELAY_MS,
    Cell,
    CellMap,
    FormerNodes,
    InvalidCellMapError,
    Tenant,
    dump,
    is_newer,
    load,
    validate,
)
from pumicenotch.cells.place import Node, assign_tenants, min_moves, owner, ranked, shard
from pumicenotch.cells.walk import Route, RouteResult, Send, SendResult, plan_route
from pumicenotch.interface import MAX_CLOCK_AHEAD_MS, Idempotency

WINDOW_MS = 1000.0


def make_nodes(*names: str) -> tuple[Node, ...]:
    return tuple(Node(name) for name in names)


def make_map(**tenants: str) -> CellMap:
    cells = {
        "a": Cell("a", make_nodes("A1", "A2", "A3")),
        "b": Cell("b", make_nodes("B1", "B2", "B3")),
    }
    return CellMap(
        1, cells, {name: Tenant(cell) for name, cell in tenants.items()}, WINDOW_MS, 500.0
    )


# Placement


@given(st.integers(2, 30), st.integers(0, 10_000))
def test_removing_a_node_moves_only_its_own_keys(count: int, salt: int) -> None:
    before = [Node(f"n{at}") for at in range(count)]
    after = before[:-1]
    for key in (f"{salt}-{at}" for at in range(60)):
        old, new = owner(key, before), owner(key, after)
        assert old == new or old == before[-1]


def test_keys_are_distributed_by_weight() -> None:
    nodes = [Node("small", weight=1.0), Node("large", weight=3.0)]
    keys = Counter(owner(f"k{at}", nodes).name for at in range(8000))
    assert 0.72 < keys["large"] / 8000 < 0.78


def test_two_tenants_rarely_share_all_nodes() -> None:
    nodes = make_nodes(*(f"n{at}" for at in range(12)))
    shards = [frozenset(node.name for node in shard(f"t{at}", nodes, 4)) for at in range(200)]
    equal_pairs = sum(one == other for at, one in enumerate(shards) for other in shards[:at])
    assert equal_pairs / (200 * 199 / 2) < 0.01  # expected for random shards: 1 in 495
    assert shard("t", nodes, 0) == nodes and shard("t", nodes, 99) == nodes
    assert ranked("t", nodes)[:4] == list(shard("t", nodes, 4))


@settings(max_examples=40)
@given(
    st.lists(st.floats(0.1, 5.0), min_size=1, max_size=80), st.integers(1, 8), st.floats(0.05, 1.0)
)
def test_no_cell_exceeds_its_bound_by_more_than_one_tenant(
    weights: list[float], count: int, slack: float
) -> None:
    tenants = {f"t{at}": weight for at, weight in enumerate(weights)}
    assigned = assign_tenants(tenants, [Node(f"c{at}") for at in range(count)], slack)
    assert set(assigned) == set(tenants)
    loads: Counter[str] = Counter()
    for name, cell in assigned.items():
        loads[cell] += tenants[name]  # type: ignore[assignment]
    assert max(loads.values()) <= (1.0 + slack) * sum(weights) / count + max(weights) + 1e-6


def test_adding_a_cell_moves_few_more_tenants_than_the_minimum() -> None:
    tenants = {f"t{at}": 1.0 for at in range(2000)}
    before = assign_tenants(tenants, [Node(f"c{at}") for at in range(8)], 0.2)
    after = assign_tenants(tenants, [Node(f"c{at}") for at in range(9)], 0.2)
    moved = sum(before[name] != after[name] for name in tenants)
    assert moved <= 1.35 * min_moves(2000, 8, 9)


def test_pins_are_respected_and_invalid_arguments_are_refused() -> None:
    cells = [Node("x"), Node("y")]
    assert assign_tenants({"t": 1.0, "u": 1.0}, cells, 0.5, {"t": "y"})["t"] == "y"
    with pytest.raises(ValueError, match="pinned to z"):
        assign_tenants({"t": 1.0}, cells, 0.5, {"t": "z"})
    with pytest.raises(ValueError, match="above 0"):
        assign_tenants({"t": 1.0}, cells, 0.0)


# The map


def test_a_dumped_map_loads_unchanged_and_every_truncated_or_edited_one_is_refused() -> None:
    cells = moves.resize(
        moves.move(make_map(t="a", u="b"), ["t"], "b", 5.0), "b", make_nodes("B1", "B4"), 6.0
    )
    line = dump(cells)
    assert load(line) == cells
    for cut in range(0, len(line), 7):
        with pytest.raises(InvalidCellMapError):
            load(line[:cut])
    for at in range(0, len(line), 5):
        for character in "0x":
            edited = line[:at] + character + line[at + 1 :]
            if edited != line:
                with pytest.raises(InvalidCellMapError):
                    load(edited)


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"epoch": 0}, "epoch 0"),
        ({"window_ms": 0.0}, "window_ms"),
        ({"cells": {"a": Cell("a", ())}}, "cell a: no nodes"),
        ({"cells": {"a": Cell("a", make_nodes("x", "x"))}}, "listed twice"),
        ({"cells": {"a": Cell("a", (Node("x", weight=0.0),))}}, "weight"),
        ({"cells": {"a": Cell("a", make_nodes("x"), (), 7)}}, "since 7"),
        ({"tenants": {"t": Tenant("nowhere")}}, "no cell 'nowhere'; cells: a, b"),
        ({"tenants": {"t": Tenant("a", -1)}}, "span -1"),
        ({"tenants": {"t": Tenant("a", 0, (), 9)}}, "since 9"),
        ({"fallback": "nowhere"}, "fallback"),
    ],
)
def test_invalid_maps_are_refused(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(InvalidCellMapError, match=message):
        validate(make_map(t="a")._replace(**changes))


def test_only_higher_epochs_replace_a_map_and_one_epoch_has_one_content() -> None:
    first_map = make_map(t="a")
    second_map = moves.move(first_map, ["t"], "b", 0.0)
    assert (
        is_newer(None, first_map)
        and is_newer(first_map, second_map)
        and not is_newer(second_map, first_map)
        and not is_newer(second_map, second_map)
    )
    with pytest.raises(InvalidCellMapError, match="two contents"):
        is_newer(second_map, moves.move(first_map, ["t"], "b", 0.0, span=1))


def test_a_move_does_not_change_the_epochs_of_other_tenants() -> None:
    first_map = make_map(t="a", u="a")
    second_map = moves.move(first_map, ["t"], "b", 0.0)
    assert (second_map.tenant_epoch("t"), second_map.tenant_epoch("u")) == (2, 1)
    assert moves.changed_tenants(first_map, second_map) == ("t",)
    third_map = moves.resize(second_map, "a", make_nodes("A1", "A2"), 0.0)
    assert (third_map.tenant_epoch("t"), third_map.tenant_epoch("u")) == (2, 3)


# Homes of idempotency keys


def test_the_former_home_is_asked_about_what_comes_until_one_window_and_one_lease_after_settling() -> (
    None
):
    # The stamps of both attempts may be ahead of the clock of whoever settled the map.
    expires_at = 200.0 + 1500.0 + MAX_CLOCK_AHEAD_MS
    first_map = make_map(t="a")
    second_map = moves.move(first_map, ["t"], "b", 100.0)
    for key in (f"k{at}" for at in range(30)):
        before = first_map.homes("t", key, 0.0)
        moving = second_map.homes("t", key, 1599.0)
        settled = moves.settle(second_map, 200.0)
        assert settled.homes("t", key, expires_at - 1.0) == moving
        assert settled.tenant_epoch("t") == second_map.tenant_epoch("t")
        after = settled.homes("t", key, expires_at)
        assert before is not None and moving is not None and after is not None
        assert moving.former_homes == (before.home,) and moving.home.name[0] == "B"
        assert after.former_homes == () and after.home == moving.home


def test_a_resize_asks_only_about_keys_whose_home_changes() -> None:
    first_map = make_map(t="a")
    second_map = moves.resize(first_map, "a", make_nodes("A1", "A2", "A3", "A4"), 0.0)
    asked = 0
    for key in (f"k{at}" for at in range(400)):
        before, after = first_map.homes("t", key, 0.0), second_map.homes("t", key, 1.0)
        assert before is not None and after is not None
        assert after.former_homes == ((before.home,) if before.home != after.home else ())
        asked += bool(after.former_homes)
    assert 60 < asked < 140  # about a quarter of the keys


def test_after_several_moves_every_former_home_is_asked() -> None:
    first_map = make_map(t="a")._replace(
        cells={**make_map().cells, "c": Cell("c", make_nodes("C1"))}
    )
    third_map = moves.move(moves.move(first_map, ["t"], "b", 0.0), ["t"], "c", 10.0)
    homes = third_map.homes("t", "k", 20.0)
    assert homes is not None and homes.home.name == "C1"
    assert [node.name[0] for node in homes.former_homes] == ["A", "B"]
    moved_back = moves.move(third_map, ["t"], "a", 30.0).homes("t", "k", 40.0)
    assert moved_back is not None and moved_back.home.name[0] == "A"
    assert [node.name[0] for node in moved_back.former_homes] == ["B", "C"], (
        "the home itself is not asked as a former home"
    )


def test_an_unknown_tenant_is_rejected_or_goes_to_the_fallback() -> None:
    assert plan_route(
        make_map(), 0.0, 0.0, 0.0, "t", Idempotency.IDEMPOTENT, "", ["A1"]
    ) == RouteResult("rejected", "tenant_unknown", 200.0)
    route = plan_route(
        make_map()._replace(fallback="b"), 0.0, 0.0, 0.0, "t", Idempotency.KEYED, "k", []
    )
    assert isinstance(route, Route) and route.home[0] == "B"


# Fences of nodes


def test_a_node_that_gave_a_key_up_never_runs_it_under_that_epoch_or_an_older_one() -> None:
    fence = Fence(-WINDOW_MS - MAX_CLOCK_AHEAD_MS, WINDOW_MS)
    assert fence.check(0.0, "t", 3, Role.HOME, False) is Verdict.RUN
    assert fence.check(1.0, "t", 4, Role.ASK, False) is Verdict.CLEAR
    assert fence.check(2.0, "t", 3, Role.HOME, False) is Verdict.OLD_MAP
    assert fence.check(2.0, "t", 3, Role.ASK, False) is Verdict.OLD_MAP
    assert fence.check(2.0, "t", 3, Role.HOME, True) is Verdict.SERVE, (
        "a known key is always served"
    )
    assert fence.check(2.0, "other", 3, Role.HOME, False) is Verdict.RUN
    assert fence.check(3.0, "t", 5, Role.HOME, False) is Verdict.RUN


def test_a_node_does_not_give_keys_up_for_one_window_after_its_start() -> None:
    fence = Fence(100.0, WINDOW_MS)
    vouches_from = 1100.0 + MAX_CLOCK_AHEAD_MS  # stamps of runs before the start may be ahead
    assert fence.check(vouches_from - 1.0, "t", 2, Role.ASK, False) is Verdict.NO_WORD
    assert fence.check(vouches_from, "t", 2, Role.ASK, False) is Verdict.CLEAR


def test_a_restarted_node_knows_the_epoch_of_its_map_file() -> None:
    fence = Fence(0.0, WINDOW_MS, moves.move(make_map(t="a"), ["t"], "b", 0.0))
    assert fence.check(0.0, "t", 1, Role.HOME, False) is Verdict.OLD_MAP
    assert fence.check(0.0, "t", 2, Role.HOME, False) is Verdict.RUN


def test_many_tenants_cost_bounded_memory_and_admit_no_older_epoch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Fence, "MAX_TENANTS", 50)
    fence = Fence(-WINDOW_MS, WINDOW_MS)
    for at in range(500):
        fence.check(0.0, f"t{at}", at + 2, Role.ASK, False)
    assert len(fence.epochs) <= 50
    for at in range(500):
        assert fence.check(0.0, f"t{at}", at + 1, Role.HOME, False) is Verdict.OLD_MAP


# Routes of requests

RESULTS = [
    SendResult.CLEAR,
    SendResult.OLD_MAP,
    SendResult.NO_WORD,
    SendResult.REFUSED,
    SendResult.BROKEN,
    SendResult.REJECTED,
    SendResult.SERVED,
    SendResult.FAILED,
]


@given(st.lists(st.sampled_from(list(SendResult)), min_size=6, max_size=6), st.booleans())
def test_a_route_has_one_result_and_reaches_the_home_only_after_every_former_home_is_clear(
    results: list[SendResult], keyed: bool
) -> None:
    second_map = moves.move(make_map(t="a"), ["t"], "b", 0.0)
    idempotency = Idempotency.KEYED if keyed else Idempotency.IDEMPOTENT
    route = plan_route(second_map, 0.0, 1.0, 1.0, "t", idempotency, "k", ["B1", "B2"])
    assert isinstance(route, Route)
    step, sent, cleared = route.start(), [], 0
    for result in results:
        if isinstance(step, RouteResult):
            break
        sent.append(step)
        if keyed and step.role is Role.HOME:
            assert cleared == 1
        cleared += step.role is Role.ASK and result is SendResult.CLEAR
        step = route.on_result(result)
    assert isinstance(step, RouteResult) and route.is_finished
    assert len({each.node for each in sent}) == len(sent), "no node gets the request twice"
    if step.kind == "rejected":
        assert SendResult.BROKEN not in results[: len(sent)], "it may have run on any of the nodes"


def test_a_former_home_without_an_answer_is_never_skipped() -> None:
    for result in (SendResult.REFUSED, SendResult.BROKEN, SendResult.NO_WORD):
        route = plan_route(
            moves.move(make_map(t="a"), ["t"], "b", 0.0),
            0.0,
            1.0,
            1.0,
            "t",
            Idempotency.KEYED,
            "k",
            [],
        )
        assert isinstance(route, Route) and isinstance(route.start(), Send)
        assert route.on_result(result) == RouteResult("failed", "former_home_silent")


@pytest.mark.parametrize(
    "result", [SendResult.REJECTED, SendResult.OLD_MAP, SendResult.REFUSED, SendResult.BROKEN]
)
def test_a_rejection_after_a_broken_connection_does_not_claim_that_the_request_never_ran(
    result: SendResult,
) -> None:
    # TryLater says that this try never ran, and nobody knows that of a node that went silent.
    for nodes in (["A1", "A2"], ["A1", "A2", "A3"]):
        route = Route(Idempotency.IDEMPOTENT, 1, None, nodes)
        route.start()
        step = route.on_result(SendResult.BROKEN)
        while isinstance(step, Send):
            step = route.on_result(result)
        assert step.kind == "failed", "whichever node it was sent to after the broken connection"
    route = Route(Idempotency.IDEMPOTENT, 1, None, ["A1", "A2"])
    route.start()
    route.on_result(SendResult.BROKEN)
    assert route.on_result(SendResult.SERVED) == RouteResult("served", "served")


def test_a_side_effecting_request_that_may_have_run_is_not_retried() -> None:
    route = Route(Idempotency.NONE, 1, None, ["A1", "A2"])
    assert route.start() == Send("A1", Role.HOME, 1)
    assert route.on_result(SendResult.BROKEN) == RouteResult("failed", "connection_broken")
    route = Route(Idempotency.NONE, 1, None, ["A1", "A2"])
    route.start()
    assert route.on_result(SendResult.REFUSED) == Send("A2", Role.HOME, 1)


def test_a_router_with_an_unconfirmed_map_routes_only_idempotent_requests() -> None:
    first_map = make_map(t="a")
    assert plan_route(first_map, 0.0, 501.0, 501.0, "t", Idempotency.KEYED, "k", []) == RouteResult(
        "rejected", "map_unconfirmed", 200.0
    )
    assert isinstance(
        plan_route(first_map, 0.0, 501.0, 501.0, "t", Idempotency.IDEMPOTENT, "", ["A1"]), Route
    )
    assert isinstance(
        plan_route(first_map, 0.0, 499.0, 499.0, "t", Idempotency.KEYED, "k", []), Route
    )


# Moves


def test_routers_get_a_map_only_after_every_affected_node_has_it() -> None:
    first_map = make_map(t="a")
    second_map = moves.move(first_map, ["t"], "b", 0.0)
    acknowledged = {name: 1 for name in ("A1", "A2", "A3", "B1", "B2", "B3")}
    assert (
        moves.progress(first_map, second_map, acknowledged, {"r": 1}, 1.0).stage
        is moves.Stage.DRAFTED
    )
    acknowledged |= {"A1": 2, "A2": 2, "B1": 2, "B2": 2, "B3": 2}
    assert moves.progress(first_map, second_map, acknowledged, {"r": 1}, 1.0) == (
        moves.Stage.TELLING_NODES,
        ("A3",),
    )
    assert not moves.may_publish_to_routers(first_map, second_map, acknowledged)
    assert moves.may_publish_to_routers(first_map, second_map, acknowledged, force=["A3"])
    acknowledged["A3"] = 2
    assert moves.progress(first_map, second_map, acknowledged, {"r": 1}, 1.0) == (
        moves.Stage.TELLING_ROUTERS,
        ("r",),
    )
    assert (
        moves.progress(first_map, second_map, acknowledged, {"r": 2}, 9000.0).stage
        is moves.Stage.OPEN
    )
    third_map = moves.settle(second_map, 100.0)
    acknowledged = dict.fromkeys(acknowledged, 3)
    # What came in the last moment may be read as late as the longest delay, and is asked about then.
    done_at = 100.0 + 1500.0 + MAX_CLOCK_AHEAD_MS + MAX_READ_DELAY_MS
    assert (
        moves.progress(first_map, third_map, acknowledged, {"r": 3}, done_at - 1.0).stage
        is moves.Stage.SETTLING
    )
    assert (
        moves.progress(first_map, third_map, acknowledged, {"r": 3}, done_at).stage
        is moves.Stage.DONE
    )


def test_a_change_waits_for_the_nodes_of_earlier_changes_that_are_not_settled() -> None:
    # Routers got a newer map although nodes of the change before it had never heard of that one.
    cells = {name: Cell(name, make_nodes(name.upper())) for name in "abcd"}
    first_map = CellMap(1, cells, {"t": Tenant("a"), "u": Tenant("c")}, WINDOW_MS)
    second_map = moves.move(first_map, ["t"], "b", 0.0)
    third_map = moves.move(second_map, ["u"], "d", 1.0)
    acknowledged = {"A": 1, "B": 1, "C": 3, "D": 3}
    routers = {"r": 1}
    progress = moves.progress(second_map, third_map, acknowledged, routers, 2.0)
    assert progress == (moves.Stage.TELLING_NODES, ("A", "B"))
    assert not moves.may_publish_to_routers(second_map, third_map, acknowledged)
    acknowledged |= {"A": 3, "B": 3}
    progress = moves.progress(second_map, third_map, acknowledged, routers, 2.0)
    assert progress.stage is moves.Stage.TELLING_ROUTERS
    assert moves.may_publish_to_routers(second_map, third_map, acknowledged)
    resized = moves.resize(second_map, "c", make_nodes("C", "C2"), 1.0)
    assert not moves.may_publish_to_routers(second_map, resized, {"C": 3, "C2": 3})
    settled = moves.settle(third_map, 3.0)
    fourth_map = moves.move(settled, ["u"], "c", 4.0)
    assert moves.may_publish_to_routers(settled, fourth_map, {"C": 5, "D": 5}), "t is settled"


def test_an_evacuated_cell_has_no_tenants_and_the_others_stay_within_their_bounds() -> None:
    first_map = make_map(**{f"t{at}": "ab"[at % 2] for at in range(40)})
    first_map = first_map._replace(
        cells={**first_map.cells, "c": Cell("c", make_nodes("C1", "C2", "C3"))}
    )
    second_map = validate(moves.evacuate(first_map, "a", 0.0, {}))
    assert second_map.epoch == 2
    tenants_by_cell = Counter(each.cell for each in second_map.tenants.values())
    assert tenants_by_cell["a"] == 0 and max(tenants_by_cell.values()) <= 1.25 * 20 + 1
    moved = [
        name
        for name in first_map.tenants
        if first_map.tenants[name].cell != second_map.tenants[name].cell
    ]
    assert all(first_map.tenants[name].cell == "a" for name in moved)
    assert all(second_map.tenants[name].former for name in moved)
    with pytest.raises(InvalidCellMapError, match="only one"):
        moves.evacuate(first_map._replace(cells={"a": first_map.cells["a"]}), "a", 0.0, {})


def test_an_aborted_move_is_a_move_to_the_next_epoch() -> None:
    first_map = make_map(t="a", u="b")
    second_map = moves.move(first_map, ["t"], "b", 0.0)
    third_map = validate(moves.abort(first_map, second_map, 10.0))
    assert (
        third_map.epoch == 3
        and third_map.tenants["t"].cell == "a"
        and third_map.tenants["u"] == first_map.tenants["u"]
    )
    homes = third_map.homes("t", "k", 20.0)
    assert homes is not None and [node.name[0] for node in homes.former_homes] == ["B"]
    with pytest.raises(InvalidCellMapError, match="is already in cell a"):
        moves.move(first_map, ["t"], "a", 0.0)
    with pytest.raises(InvalidCellMapError, match="no cell"):
        moves.move(first_map, ["t"], "zz", 0.0)
    with pytest.raises(InvalidCellMapError, match="nothing to abort"):
        moves.abort(first_map, first_map, 0.0)


def test_former_nodes_are_removed_from_the_map_once_nobody_may_have_to_ask_them() -> None:
    retained_ms = 1500.0 + MAX_CLOCK_AHEAD_MS + MAX_READ_DELAY_MS
    for step_ms, retained in ((retained_ms, 1), (retained_ms - 1.0, 2)):
        cells = make_map(t="a")
        for at in range(20):
            now = at * step_ms
            cells = moves.settle(moves.move(cells, ["t"], "ba"[at % 2], now), now)
        assert len(cells.tenants["t"].former) == retained
        assert isinstance(cells.tenants["t"].former[0], FormerNodes)


def test_a_newer_map_keeps_the_former_homes_of_retries_that_are_not_read_yet() -> None:
    # A router that reads a retry late by a newer map has to find the former home in that map too.
    came_at = 100.0 + 1500.0 - 1.0
    read_at = came_at + MAX_READ_DELAY_MS - 1.0
    settled = moves.settle(moves.move(make_map(t="a", u="b"), ["t"], "b", 0.0), 100.0)
    newer_maps = [
        moves.settle(settled, read_at),
        moves.move(settled, ["u"], "a", read_at),
        moves.resize(settled, "b", make_nodes("B1", "B2"), read_at),
        moves.abort(settled, moves.move(settled, ["t"], "a", read_at), read_at),
    ]
    for cells in newer_maps:
        route = plan_route(cells, read_at, read_at, came_at, "t", Idempotency.KEYED, "k", [])
        assert isinstance(route, Route)
        assert any(name.startswith("A") for name in route.former_homes)
    too_late = came_at + MAX_READ_DELAY_MS
    assert plan_route(
        settled, too_late, too_late, came_at, "t", Idempotency.KEYED, "k", []
    ) == RouteResult("failed", "read_too_late")
