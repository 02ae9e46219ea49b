"""Cells: placement, maps, fences, walks, moves; and the move protocol under the model checker, over this
very code.
"""

import random
from collections import Counter
from collections.abc import Iterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.cells import moves
from pumicenotch.cells.fence import Fence, Role, Verdict
from pumicenotch.cells.map import (
    Cell,
    CellMap,
    Former,
    InvalidCellMapError,
    Tenant,
    check,
    dump,
    load,
    newer,
)
from pumicenotch.cells.place import Node, bounded, least_moves, owner, ranked, shard
from pumicenotch.cells.walk import End, Said, Send, Walk, walk
from pumicenotch.interface import Idempotency
from pumicenotch.lab.explore import Explorer, Found
from pumicenotch.lab.moving import Moving

W = 1000.0


def nodes(*names: str) -> tuple[Node, ...]:
    return tuple(Node(name) for name in names)


def cells(**tenants: str) -> CellMap:
    made = {"a": Cell("a", nodes("A1", "A2", "A3")), "b": Cell("b", nodes("B1", "B2", "B3"))}
    return CellMap(1, made, {name: Tenant(cell) for name, cell in tenants.items()}, W, 500.0)


# Placement


@given(st.integers(2, 30), st.integers(0, 10_000))
def test_a_node_that_goes_moves_only_what_it_held(count: int, salt: int) -> None:
    before = [Node(f"n{at}") for at in range(count)]
    after = before[:-1]
    for key in (f"{salt}-{at}" for at in range(60)):
        was, now = owner(key, before), owner(key, after)
        assert was == now or was == before[-1]


def test_weights_are_kept_to() -> None:
    some = [Node("small", weight=1.0), Node("large", weight=3.0)]
    held = Counter(owner(f"k{at}", some).name for at in range(8000))
    assert 0.72 < held["large"] / 8000 < 0.78


def test_shards_of_two_tenants_overlap_by_chance_only() -> None:
    some = nodes(*(f"n{at}" for at in range(12)))
    shards = [frozenset(node.name for node in shard(f"t{at}", some, 4)) for at in range(200)]
    same = sum(one == other for at, one in enumerate(shards) for other in shards[:at])
    assert same / (200 * 199 / 2) < 0.01  # 1 in 495 by chance
    assert shard("t", some, 0) == some and shard("t", some, 99) == some
    assert ranked("t", some)[:4] == list(shard("t", some, 4))


@settings(max_examples=40)
@given(
    st.lists(st.floats(0.1, 5.0), min_size=1, max_size=80), st.integers(1, 8), st.floats(0.05, 1.0)
)
def test_no_cell_is_loaded_beyond_its_bound_where_that_can_be(
    weights: list[float], count: int, slack: float
) -> None:
    asked = {f"t{at}": weight for at, weight in enumerate(weights)}
    found = bounded(asked, [Node(f"c{at}") for at in range(count)], slack)
    assert set(found) == set(asked)
    load: Counter[str] = Counter()
    for name, cell in found.items():
        load[cell] += asked[name]  # type: ignore[assignment]
    assert max(load.values()) <= (1.0 + slack) * sum(weights) / count + max(weights) + 1e-6


def test_a_resize_of_cells_moves_near_the_theoretical_least() -> None:
    asked = {f"t{at}": 1.0 for at in range(2000)}
    before = bounded(asked, [Node(f"c{at}") for at in range(8)], 0.2)
    after = bounded(asked, [Node(f"c{at}") for at in range(9)], 0.2)
    moved = sum(before[name] != after[name] for name in asked)
    assert moved <= 1.35 * least_moves(2000, 8, 9)


def test_pins_hold_and_wrong_ones_are_refused() -> None:
    some = [Node("x"), Node("y")]
    assert bounded({"t": 1.0, "u": 1.0}, some, 0.5, {"t": "y"})["t"] == "y"
    with pytest.raises(ValueError, match="pinned to z"):
        bounded({"t": 1.0}, some, 0.5, {"t": "z"})
    with pytest.raises(ValueError, match="above 0"):
        bounded({"t": 1.0}, some, 0.0)


# The map


def test_a_map_comes_back_as_it_was_and_every_torn_or_changed_one_is_refused() -> None:
    made = moves.resize(
        moves.move(cells(t="a", u="b"), ["t"], "b", 5.0), "b", nodes("B1", "B4"), 6.0
    )
    line = dump(made)
    assert load(line) == made
    for cut in range(0, len(line), 7):
        with pytest.raises(InvalidCellMapError):
            load(line[:cut])
    for at in range(0, len(line), 5):
        for put in "0x":
            changed = line[:at] + put + line[at + 1 :]
            if changed != line:
                with pytest.raises(InvalidCellMapError):
                    load(changed)


@pytest.mark.parametrize(
    ("changes", "told"),
    [
        ({"epoch": 0}, "epoch 0"),
        ({"window_ms": 0.0}, "window_ms"),
        ({"cells": {"a": Cell("a", ())}}, "cell a: no nodes"),
        ({"cells": {"a": Cell("a", nodes("x", "x"))}}, "stands twice"),
        ({"cells": {"a": Cell("a", (Node("x", weight=0.0),))}}, "weight"),
        ({"cells": {"a": Cell("a", nodes("x"), (), 7)}}, "since 7"),
        ({"tenants": {"t": Tenant("nowhere")}}, "no cell 'nowhere'; cells: a, b"),
        ({"tenants": {"t": Tenant("a", -1)}}, "span -1"),
        ({"tenants": {"t": Tenant("a", 0, (), 9)}}, "since 9"),
        ({"fallback": "nowhere"}, "fallback"),
    ],
)
def test_maps_that_cannot_be_carried_are_refused(changes: dict[str, Any], told: str) -> None:
    with pytest.raises(InvalidCellMapError, match=told):
        check(cells(t="a")._replace(**changes))


def test_epochs_only_rise_and_one_epoch_has_one_content() -> None:
    one = cells(t="a")
    two = moves.move(one, ["t"], "b", 0.0)
    assert newer(None, one) and newer(one, two) and not newer(two, one) and not newer(two, two)
    with pytest.raises(InvalidCellMapError, match="two contents"):
        newer(two, moves.move(one, ["t"], "b", 0.0, span=1))


def test_a_move_leaves_the_stamps_of_others() -> None:
    one = cells(t="a", u="a")
    two = moves.move(one, ["t"], "b", 0.0)
    assert (two.stamp("t"), two.stamp("u")) == (2, 1)
    assert moves.changed(one, two) == ("t",)
    three = moves.resize(two, "a", nodes("A1", "A2"), 0.0)
    assert (three.stamp("t"), three.stamp("u")) == (2, 3)


# Where a fingerprint belongs


def test_in_a_move_the_old_home_is_asked_for_a_window_and_a_lease() -> None:
    one = cells(t="a")
    two = moves.move(one, ["t"], "b", 100.0)
    for token in (f"k{at}" for at in range(30)):
        was = one.homes("t", token, 0.0)
        now = two.homes("t", token, 1599.0)
        settled = moves.settle(two, 200.0)
        assert settled.homes("t", token, 1699.0) == now and settled.stamp("t") == two.stamp("t")
        after = settled.homes("t", token, 1701.0)
        assert was is not None and now is not None and after is not None
        assert now.ask == (was.home,) and now.home.name[0] == "B"
        assert after.ask == () and after.home == now.home


def test_in_a_resize_only_fingerprints_that_change_their_home_are_asked_about() -> None:
    one = cells(t="a")
    two = moves.resize(one, "a", nodes("A1", "A2", "A3", "A4"), 0.0)
    asked = 0
    for token in (f"k{at}" for at in range(400)):
        was, now = one.homes("t", token, 0.0), two.homes("t", token, 1.0)
        assert was is not None and now is not None
        assert now.ask == ((was.home,) if was.home != now.home else ())
        asked += bool(now.ask)
    assert 60 < asked < 140  # a quarter


def test_moves_that_follow_each_other_leave_every_former_home_asked() -> None:
    one = cells(t="a")._replace(cells={**cells().cells, "c": Cell("c", nodes("C1"))})
    three = moves.move(moves.move(one, ["t"], "b", 0.0), ["t"], "c", 10.0)
    homes = three.homes("t", "k", 20.0)
    assert homes is not None and homes.home.name == "C1"
    assert [node.name[0] for node in homes.ask] == ["A", "B"]
    back = moves.move(three, ["t"], "a", 30.0).homes("t", "k", 40.0)
    assert back is not None and back.home.name[0] == "A"
    assert [node.name[0] for node in back.ask] == ["B", "C"], (
        "a home is not asked as its own former"
    )


def test_a_tenant_that_no_map_knows_is_rejected_or_goes_to_the_fallback() -> None:
    assert walk(cells(), 0.0, 0.0, "t", Idempotency.IDEMPOTENT, "", ["A1"]) == End(
        "rejected", "tenant_unknown", 200.0
    )
    begun = walk(cells()._replace(fallback="b"), 0.0, 0.0, "t", Idempotency.KEYED, "k", [])
    assert isinstance(begun, Walk) and begun.home[0] == "B"


# The node's side


def test_a_node_that_was_asked_never_runs_it_under_that_epoch_or_an_older_one() -> None:
    fence = Fence(-W, W)
    assert fence.judge(0.0, "t", 3, Role.HOME, False) is Verdict.RUN
    assert fence.judge(1.0, "t", 4, Role.ASK, False) is Verdict.CLEAR
    assert fence.judge(2.0, "t", 3, Role.HOME, False) is Verdict.OLD_MAP
    assert fence.judge(2.0, "t", 3, Role.ASK, False) is Verdict.OLD_MAP
    assert fence.judge(2.0, "t", 3, Role.HOME, True) is Verdict.SERVE, (
        "what it knows it answers for"
    )
    assert fence.judge(2.0, "other", 3, Role.HOME, False) is Verdict.RUN
    assert fence.judge(3.0, "t", 5, Role.HOME, False) is Verdict.RUN


def test_a_node_has_no_word_to_give_for_a_window_after_its_start() -> None:
    fence = Fence(100.0, W)
    assert fence.judge(1099.0, "t", 2, Role.ASK, False) is Verdict.NO_WORD
    assert fence.judge(1100.0, "t", 2, Role.ASK, False) is Verdict.CLEAR


def test_a_node_that_starts_anew_knows_the_epoch_of_its_file() -> None:
    fence = Fence(0.0, W, moves.move(cells(t="a"), ["t"], "b", 0.0))
    assert fence.judge(0.0, "t", 1, Role.HOME, False) is Verdict.OLD_MAP
    assert fence.judge(0.0, "t", 2, Role.HOME, False) is Verdict.RUN


def test_tenants_without_end_cost_bounded_memory_and_loosen_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Fence, "MOST", 50)
    fence = Fence(-W, W)
    for at in range(500):
        fence.judge(0.0, f"t{at}", at + 2, Role.ASK, False)
    assert len(fence.epochs) <= 50
    for at in range(500):
        assert fence.judge(0.0, f"t{at}", at + 1, Role.HOME, False) is Verdict.OLD_MAP


# The router's side

ASKED = [
    Said.CLEAR,
    Said.OLD_MAP,
    Said.NO_WORD,
    Said.REFUSED,
    Said.BROKEN,
    Said.REJECTED,
    Said.SERVED,
    Said.FAILED,
]


@given(st.lists(st.sampled_from(list(Said)), min_size=6, max_size=6), st.booleans())
def test_a_walk_has_one_end_and_goes_home_only_after_every_clear(
    answers: list[Said], keyed: bool
) -> None:
    two = moves.move(cells(t="a"), ["t"], "b", 0.0)
    effect = Idempotency.KEYED if keyed else Idempotency.IDEMPOTENT
    begun = walk(two, 0.0, 1.0, "t", effect, "k", ["B1", "B2"])
    assert isinstance(begun, Walk)
    step, sent, cleared = begun.start(), [], 0
    for said in answers:
        if isinstance(step, End):
            break
        sent.append(step)
        if keyed and step.role is Role.HOME:
            assert cleared == 1
        cleared += step.role is Role.ASK and said is Said.CLEAR
        step = begun.said(said)
    assert isinstance(step, End) and begun.over
    assert len({each.node for each in sent}) == len(sent), "no node twice"
    if step.kind == "rejected":
        assert answers[len(sent) - 1] is not Said.BROKEN


def test_a_former_home_that_is_silent_is_never_passed_over() -> None:
    for said in (Said.REFUSED, Said.BROKEN, Said.NO_WORD):
        begun = walk(
            moves.move(cells(t="a"), ["t"], "b", 0.0), 0.0, 1.0, "t", Idempotency.KEYED, "k", []
        )
        assert isinstance(begun, Walk) and isinstance(begun.start(), Send)
        assert begun.said(said) == End("failed", "former_home_silent")


def test_side_effecting_work_in_doubt_goes_nowhere_else() -> None:
    begun = Walk(Idempotency.NONE, 1, None, ["A1", "A2"])
    assert begun.start() == Send("A1", Role.HOME, 1)
    assert begun.said(Said.BROKEN) == End("failed", "connection_broken")
    begun = Walk(Idempotency.NONE, 1, None, ["A1", "A2"])
    begun.start()
    assert begun.said(Said.REFUSED) == Send("A2", Role.HOME, 1)


def test_a_router_whose_map_nobody_confirms_runs_nothing_that_must_not_run_twice() -> None:
    one = cells(t="a")
    assert walk(one, 0.0, 501.0, "t", Idempotency.KEYED, "k", []) == End(
        "rejected", "map_unconfirmed", 200.0
    )
    assert isinstance(walk(one, 0.0, 501.0, "t", Idempotency.IDEMPOTENT, "", ["A1"]), Walk)
    assert isinstance(walk(one, 0.0, 499.0, "t", Idempotency.KEYED, "k", []), Walk)


# Moves


def test_routers_are_told_only_once_every_node_concerned_has_the_map() -> None:
    one = cells(t="a")
    two = moves.move(one, ["t"], "b", 0.0)
    told = {name: 1 for name in ("A1", "A2", "A3", "B1", "B2", "B3")}
    assert moves.progress(one, two, told, {"r": 1}, 1.0).stage is moves.Stage.DRAFTED
    told |= {"A1": 2, "A2": 2, "B1": 2, "B2": 2, "B3": 2}
    assert moves.progress(one, two, told, {"r": 1}, 1.0) == (moves.Stage.TELLING_NODES, ("A3",))
    assert not moves.may_tell_routers(one, two, told)
    assert moves.may_tell_routers(one, two, told, force=["A3"])
    told["A3"] = 2
    assert moves.progress(one, two, told, {"r": 1}, 1.0) == (moves.Stage.TELLING_ROUTERS, ("r",))
    assert moves.progress(one, two, told, {"r": 2}, 9000.0).stage is moves.Stage.OPEN
    three = moves.settle(two, 100.0)
    told = dict.fromkeys(told, 3)
    assert moves.progress(one, three, told, {"r": 3}, 1599.0).stage is moves.Stage.SETTLING
    assert moves.progress(one, three, told, {"r": 3}, 1600.0).stage is moves.Stage.DONE


def test_an_evacuated_cell_holds_nobody_and_the_others_keep_to_their_bound() -> None:
    one = cells(**{f"t{at}": "ab"[at % 2] for at in range(40)})
    one = one._replace(cells={**one.cells, "c": Cell("c", nodes("C1", "C2", "C3"))})
    two = check(moves.evacuate(one, "a", 0.0, {}))
    assert two.epoch == 2
    held = Counter(each.cell for each in two.tenants.values())
    assert held["a"] == 0 and max(held.values()) <= 1.25 * 20 + 1
    moved = [name for name in one.tenants if one.tenants[name].cell != two.tenants[name].cell]
    assert all(one.tenants[name].cell == "a" for name in moved)
    assert all(two.tenants[name].former for name in moved)
    with pytest.raises(InvalidCellMapError, match="only one"):
        moves.evacuate(one._replace(cells={"a": one.cells["a"]}), "a", 0.0, {})


def test_a_move_that_is_taken_back_is_a_move_onward() -> None:
    one = cells(t="a", u="b")
    two = moves.move(one, ["t"], "b", 0.0)
    three = check(moves.abort(one, two, 10.0))
    assert (
        three.epoch == 3
        and three.tenants["t"].cell == "a"
        and three.tenants["u"] == one.tenants["u"]
    )
    homes = three.homes("t", "k", 20.0)
    assert homes is not None and [node.name[0] for node in homes.ask] == ["B"]
    with pytest.raises(InvalidCellMapError, match="lives in a already"):
        moves.move(one, ["t"], "a", 0.0)
    with pytest.raises(InvalidCellMapError, match="no cell"):
        moves.move(one, ["t"], "zz", 0.0)
    with pytest.raises(InvalidCellMapError, match="nothing to take back"):
        moves.abort(one, one, 0.0)


def test_former_places_are_dropped_once_they_count_no_more() -> None:
    held = cells(t="a")
    for at in range(20):
        held = moves.settle(moves.move(held, ["t"], "ba"[at % 2], at * 2000.0), at * 2000.0)
    assert len(held.tenants["t"].former) == 1
    assert isinstance(held.tenants["t"].former[0], Former)


# The move protocol, explored whole within bounds


def two_cells(lease: float = 500.0) -> list[CellMap]:
    """A map, a move, and the move taken back."""
    made = {"a": Cell("a", nodes("A")), "b": Cell("b", nodes("B"))}
    one = CellMap(1, made, {"t": Tenant("a")}, W, lease)
    two = moves.move(one, ["t"], "b", 0.0)
    return [one, two, moves.abort(one, two, 0.0)]


def settled(at: float, lease: float = 500.0) -> list[CellMap]:
    """A map, a move, and the map that settles it, made at that time."""
    one, two, _ = two_cells(lease)
    return [one, two, moves.settle(two, at)]


def explored(model: Moving, most: int = 400_000) -> Found:
    return Explorer(model.after, model.wrong, most).run(model.first())


@pytest.mark.parametrize(
    "bounds",
    [{"crashes": 1, "losses": 1}, {"crashes": 0, "losses": 0, "restarts": 1}],
    ids=["a crash and a lost connection", "a router that restarts"],
)
def test_no_interleaving_of_a_move_runs_a_task_twice(bounds: dict[str, Any]) -> None:
    found = explored(Moving(two_cells()[:2], [0.0, 0.0], **bounds))
    assert not found.violation, found.text()
    assert found.whole and found.states > 3000


TIME: dict[str, Any] = {
    "crashes": 0,
    "losses": 0,
    "until": 2500.0,
    "step": 500.0,
    "settles": frozenset({3}),
}


def test_no_interleaving_runs_a_task_twice_while_a_move_settles_and_after() -> None:
    long_steps = {**TIME, "until": 2000.0, "step": 1000.0}
    found = explored(Moving(settled(1000.0, lease=0.0), [0.0, 0.0, 1000.0], **long_steps))
    assert not found.violation, found.text()
    assert found.whole


def test_a_window_that_counts_from_the_making_of_a_map_is_too_short() -> None:
    """How the first form of moves failed: nodes may hear of a map long after it was made."""
    maps = settled(0.0, lease=0.0)
    found = explored(Moving(maps, [0.0, 0.0, 0.0], **{**TIME, "settles": frozenset()}))
    assert found.violation.startswith("ran twice, on A and B"), found.text()


def test_no_interleaving_of_a_move_taken_back_half_way_runs_a_task_twice() -> None:
    found = explored(Moving(two_cells(), [0.0] * 3, crashes=0, losses=0))
    assert not found.violation, found.text()
    assert found.whole


class ForgetsItsOath(Fence):
    """Seeded: an asked node says that it is clear and goes on as before."""

    def note(self, tenant: str, epoch: int) -> None: ...


class VouchesAtOnce(Fence):
    """Seeded: a node vouches for times before its start."""

    def judge(self, now: float, tenant: str, epoch: int, role: Role, known: bool) -> Verdict:
        verdict = super().judge(now, tenant, epoch, role, known)
        return Verdict.CLEAR if verdict is Verdict.NO_WORD else verdict


class GoesOnBlind(Walk):
    """Seeded: a former home that cannot be reached is passed over."""

    def said(self, said: Said, may_try_on: bool = True) -> Any:
        blind = self.asked and said in (Said.REFUSED, Said.BROKEN)
        return self.onward() if blind else super().said(said, may_try_on)


@pytest.mark.parametrize(
    ("changes", "bounds"),
    [
        ({"fence": ForgetsItsOath}, {"careful": False, "crashes": 0, "losses": 0}),
        ({"fence": VouchesAtOnce}, {"crashes": 1, "losses": 0}),
        ({"walk_type": GoesOnBlind}, {"crashes": 0, "losses": 1}),
        ({}, {"careful": False, "crashes": 1, "losses": 0}),
    ],
    ids=["forgets its oath", "vouches at once", "goes on blind", "routers told before nodes"],
)
def test_the_checker_finds_bugs_that_were_put_there(
    changes: dict[str, Any], bounds: dict[str, Any]
) -> None:
    model = Moving(two_cells()[:2], [0.0, 0.0], **bounds)
    for name, value in changes.items():
        setattr(model, name, value)
    found = explored(model)
    assert found.violation.startswith("ran twice, on A and B"), found.text()
    assert found.trace and all(found.trace) and f"{len(found.trace)}. " in found.text()


def test_stamps_alone_hold_while_no_node_crashes() -> None:
    found = explored(Moving(two_cells()[:2], [0.0, 0.0], careful=False, crashes=0, losses=1))
    assert not found.violation, found.text()


def test_an_old_node_that_is_cut_off_but_alive_is_bounded_by_the_lease_alone() -> None:
    """It is forced: it never hears of the move, and a router that does not either goes on sending to it."""
    cut_off: dict[str, Any] = {
        **TIME,
        "until": 4000.0,
        "forced": ("A",),
        "cut": frozenset({(1, "A")}),
        "unheard": frozenset({0}),
    }
    found = explored(Moving(settled(0.0), [0.0, 0.0, 0.0], **cut_off))
    assert not found.violation and found.whole, found.text()
    without = explored(Moving(settled(0.0, lease=0.0), [0.0, 0.0, 0.0], **cut_off))
    assert without.violation.startswith("ran twice, on A and B"), (
        "docs/cells.md: what the operator promises then"
    )


def steps(model: Moving, chance: random.Random, most: int) -> Iterator[str]:
    """One long random run, beyond the bounds of what is explored whole."""
    state = model.first()
    for _ in range(most):
        following = list(model.after(state))
        if not following:
            return
        line, state = chance.choice(following)
        yield line
        assert not model.wrong(state), model.wrong(state)


@settings(max_examples=60, deadline=None)
@given(st.randoms(use_true_random=False), st.integers(2, 4))
def test_long_random_runs_beyond_those_bounds_run_nothing_twice(
    chance: random.Random, tries: int
) -> None:
    one, two, _ = two_cells()
    maps = [
        one,
        two,
        moves.settle(two, 500.0),
        moves.move(moves.settle(two, 500.0), ["t"], "a", 750.0),
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
    assert all(steps(model, chance, 150))
