"""Which node a router sends to, from what it has seen."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pumicenotch.cells.views import EJECTED_MS, FLOOR, PATIENCE, Views

NODES = [("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 1.0)]


def views() -> Views:
    return Views(random.Random(1).random)


def first(seen: Views, now: float = 0.0) -> str:
    return seen.choose(now, NODES)[0].node


def test_tasks_go_where_fewest_are_open_by_weight() -> None:
    seen = views()
    held: Counter[str] = Counter()
    for _ in range(90):
        node = seen.choose(0.0, [("small", 1.0), ("large", 2.0)])[0].node
        seen.sent(node)
        held[node] += 1
    assert 25 <= held["small"] <= 35


def test_advice_is_kept_to_and_forgotten_with_its_age() -> None:
    seen = views()
    for node, load in (("a", 0.05), ("b", 1.0), ("c", 1.0), ("d", 1.0)):
        seen.answered(0.0, node, 10.0, load, 0.0, True)
    assert seen.choose(1.0, NODES)[-1].node == "a"
    late = Counter(first(seen, 60_000.0) for _ in range(400))
    assert late["a"] > 60, "what it said a minute ago counts no more"
    seen.answered(60_000.0, "b", 10.0, None, 500.0, False)
    assert "b" not in [choice.node for choice in seen.choose(60_400.0, NODES)]
    assert "b" in [choice.node for choice in seen.choose(60_600.0, NODES)]


def test_a_node_that_answers_late_gets_less() -> None:
    seen = views()
    for _ in range(20):
        for node, took in (("a", 400.0), ("b", 20.0), ("c", 20.0), ("d", 20.0)):
            seen.sent(node)
            seen.answered(0.0, node, took, None, 0.0, True)
    assert seen.choose(1.0, NODES)[-1].node == "a"


def test_a_dead_node_is_ejected_probed_by_one_task_at_a_time_and_comes_back() -> None:
    seen = views()
    for _ in range(PATIENCE):
        seen.sent("a")
        seen.missed(0.0, "a")
    assert "a" not in [choice.node for choice in seen.choose(1.0, NODES)]
    after = EJECTED_MS + 1.0
    probe = seen.choose(after, NODES)[0]
    assert probe == ("a", True)
    seen.sent("a", probe=True)
    assert "a" not in [choice.node for choice in seen.choose(after, NODES)], "one probe at a time"
    seen.missed(after, "a")
    assert "a" not in [choice.node for choice in seen.choose(after + 1.5 * EJECTED_MS, NODES)], (
        "twice as long"
    )
    again = after + 2.0 * EJECTED_MS + 1.0
    assert seen.choose(again, NODES, probes=False)[0].node != "a", (
        "no task that must not be lost on it"
    )
    assert seen.choose(again, NODES)[0] == ("a", True)
    seen.sent("a", probe=True)
    seen.answered(again, "a", 10.0, 1.0, 0.0, True)
    choices = seen.choose(again, NODES)
    assert ("a", False) in choices and not any(choice.probe for choice in choices)


def test_when_all_look_dead_half_are_tried_all_the_same() -> None:
    seen = views()
    for node, _ in NODES:
        for _ in range(PATIENCE):
            seen.sent(node)
            seen.missed(0.0, node)
    assert len(seen.choose(1.0, NODES)) == int(FLOOR * len(NODES))


def test_nodes_that_drain_get_nothing_and_nodes_without_end_cost_bounded_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Views, "MOST", 100)
    seen = views()
    seen.drains("a", True)
    assert "a" not in [choice.node for choice in seen.choose(0.0, NODES)]
    for at in range(3 * Views.MOST):
        seen.answered(float(at), f"n{at}", 1.0, 1.0, 0.0, True)
    assert len(seen.views) <= Views.MOST
    seen.sent("n-open")
    seen.keep(["x"])
    assert set(seen.views) == {"n-open"}


things = st.tuples(
    st.sampled_from(["sent", "answered", "missed", "gone", "choose"]), st.sampled_from("abcd")
)


@given(st.lists(st.tuples(things, st.floats(0.0, 3000.0)), max_size=150))
def test_whatever_is_seen_at_least_the_floor_can_be_chosen(
    stream: list[tuple[tuple[str, str], float]],
) -> None:
    seen, now = views(), 0.0
    for (name, node), past in stream:
        now += past
        if name == "sent":
            seen.sent(node)
        elif name == "answered":
            seen.answered(now, node, past, past / 3000.0, 0.0, True)
        elif name == "missed":
            seen.missed(now, node)
        elif name == "gone":
            seen.given_up(node)
        else:
            choices = seen.choose(now, NODES)
            assert len({choice.node for choice in choices}) == len(choices)
            assert sum(choice.probe for choice in choices) <= 1
        assert all(view.open >= 0 for view in seen.views.values())
        assert len(seen.ejected(now, [name for name, _ in NODES])) <= 2
