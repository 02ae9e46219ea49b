"""Guards against routers that overload slow or busy nodes, or that never try a recovered node again."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pumicenotch.cells.views import (
    EJECTION_MS,
    MAX_FAILURES,
    MIN_AVAILABLE_SHARE,
    NodeSelector,
)

NODES = [("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 1.0)]


def make_selector() -> NodeSelector:
    return NodeSelector(random.Random(1).random)


def preferred_node(selector: NodeSelector, now: float = 0.0) -> str:
    return selector.choose(now, NODES)[0].node


def test_requests_go_to_the_node_with_the_fewest_open_ones_by_weight() -> None:
    selector = make_selector()
    requests: Counter[str] = Counter()
    for _ in range(90):
        node = selector.choose(0.0, [("small", 1.0), ("large", 2.0)])[0].node
        selector.on_sent(node)
        requests[node] += 1
    assert 25 <= requests["small"] <= 35


def test_load_and_backoff_of_a_node_are_honoured_until_they_are_outdated() -> None:
    selector = make_selector()
    for node, load_weight in (("a", 0.05), ("b", 1.0), ("c", 1.0), ("d", 1.0)):
        selector.on_answered(0.0, node, 10.0, load_weight, 0.0, True)
    assert selector.choose(1.0, NODES)[-1].node == "a"
    preferred = Counter(preferred_node(selector, 60_000.0) for _ in range(400))
    assert preferred["a"] > 60, "a load of a minute ago no longer counts"
    selector.on_answered(60_000.0, "b", 10.0, None, 500.0, False)
    assert "b" not in [choice.node for choice in selector.choose(60_400.0, NODES)]
    assert "b" in [choice.node for choice in selector.choose(60_600.0, NODES)]


def test_a_slow_node_is_the_last_choice() -> None:
    selector = make_selector()
    for _ in range(20):
        for node, latency_ms in (("a", 400.0), ("b", 20.0), ("c", 20.0), ("d", 20.0)):
            selector.on_sent(node)
            selector.on_answered(0.0, node, latency_ms, None, 0.0, True)
    assert selector.choose(1.0, NODES)[-1].node == "a"


def test_a_dead_node_is_ejected_and_probed_by_one_request_at_a_time_until_it_answers() -> None:
    selector = make_selector()
    for _ in range(MAX_FAILURES):
        selector.on_sent("a")
        selector.on_failed(0.0, "a")
    assert "a" not in [choice.node for choice in selector.choose(1.0, NODES)]
    first_return = EJECTION_MS + 1.0
    probe = selector.choose(first_return, NODES)[0]
    assert probe == ("a", True)
    selector.on_sent("a", probe=True)
    assert "a" not in [choice.node for choice in selector.choose(first_return, NODES)], (
        "only one probe at a time"
    )
    selector.on_failed(first_return, "a")
    assert "a" not in [
        choice.node for choice in selector.choose(first_return + 1.5 * EJECTION_MS, NODES)
    ], "the second ejection takes twice as long"
    second_return = first_return + 2.0 * EJECTION_MS + 1.0
    assert selector.choose(second_return, NODES, may_probe=False)[0].node != "a", (
        "a request that must not be lost does not probe"
    )
    assert selector.choose(second_return, NODES)[0] == ("a", True)
    selector.on_sent("a", probe=True)
    selector.on_answered(second_return, "a", 10.0, 1.0, 0.0, True)
    choices = selector.choose(second_return, NODES)
    assert ("a", False) in choices and not any(choice.probe for choice in choices)


def test_when_all_nodes_seem_dead_half_of_them_remain_available() -> None:
    selector = make_selector()
    for node, _ in NODES:
        for _ in range(MAX_FAILURES):
            selector.on_sent(node)
            selector.on_failed(0.0, node)
    assert len(selector.choose(1.0, NODES)) == int(MIN_AVAILABLE_SHARE * len(NODES))


def test_draining_nodes_get_no_requests_and_many_nodes_cost_bounded_memory(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(NodeSelector, "MAX_NODES", 100)
    selector = make_selector()
    selector.set_draining("a", True)
    assert "a" not in [choice.node for choice in selector.choose(0.0, NODES)]
    for at in range(3 * NodeSelector.MAX_NODES):
        selector.on_answered(float(at), f"n{at}", 1.0, 1.0, 0.0, True)
    assert len(selector.states) <= NodeSelector.MAX_NODES
    selector.on_sent("n-open")
    selector.retain(["x"])
    assert set(selector.states) == {"n-open"}


observations = st.tuples(
    st.sampled_from(["sent", "answered", "failed", "abandoned", "choose"]),
    st.sampled_from("abcd"),
)


@given(st.lists(st.tuples(observations, st.floats(0.0, 3000.0)), max_size=150))
def test_after_any_observations_at_most_half_of_the_nodes_are_ejected(
    stream: list[tuple[tuple[str, str], float]],
) -> None:
    selector, now = make_selector(), 0.0
    for (kind, node), elapsed_ms in stream:
        now += elapsed_ms
        if kind == "sent":
            selector.on_sent(node)
        elif kind == "answered":
            selector.on_answered(now, node, elapsed_ms, elapsed_ms / 3000.0, 0.0, True)
        elif kind == "failed":
            selector.on_failed(now, node)
        elif kind == "abandoned":
            selector.on_abandoned(node)
        else:
            choices = selector.choose(now, NODES)
            assert len({choice.node for choice in choices}) == len(choices)
            assert sum(choice.probe for choice in choices) <= 1
        assert all(state.open >= 0 for state in selector.states.values())
        assert len(selector.ejected(now, [name for name, _ in NODES])) <= 2
