"""How the first membership of a cluster comes to be, and that there is only one."""

from collections import deque
from typing import Any

from pumicenotch.consensus.bootstrap import Bootstrap
from pumicenotch.consensus.messages import (
    Bootstrapped,
    ClusterMembership,
    decode_bootstrap_message,
    encode_message,
)
from tests.consensus.cluster import ABC


def discover(bootstraps: dict[str, Bootstrap], rounds: int, lost: type[Any] | None = None) -> None:
    """Rounds of discovery among `bootstraps`, which are by name; messages of a type may be lost."""
    for number in range(rounds):
        todo = deque(
            (bootstrap.voter_id, send)
            for bootstrap in bootstraps.values()
            for send in bootstrap.on_tick(number * Bootstrap.DISCOVERY_INTERVAL_MS)
        )
        while todo:
            sender, (name, message) = todo.popleft()
            if name in bootstraps and type(message) is not lost:
                recipient = bootstraps[name]
                received = decode_bootstrap_message(encode_message(message))
                todo += [(recipient.voter_id, send) for send in recipient.receive(sender, received)]


def test_cluster_is_bootstrapped_once_all_are_there_and_know_of_none() -> None:
    names = ["a", "b", "c"]
    some = {name: Bootstrap(f"{name}/1", names) for name in "ab"}
    discover(some, 5)
    assert all(bootstrap.membership is None for bootstrap in some.values())
    some["c"] = Bootstrap("c/1", names)
    discover(some, 9)
    assert {bootstrap.membership for bootstrap in some.values()} == {ABC}
    some["b"] = Bootstrap("b/2", names)  # its log is gone: it asks to join, and bootstraps nothing
    discover(some, 9)
    assert some["b"].membership is None and some["b"].cluster_exists


def test_restarted_founder_cannot_bootstrap_beside_its_former_incarnation() -> None:
    names = ["a", "b", "c"]
    some = {name: Bootstrap(f"{name}/1", names) for name in names}
    discover(some, 9, Bootstrapped)  # nobody hears of it
    assert some["a"].membership == ABC
    some["a"] = Bootstrap("a/2", names)
    discover(some, 9)
    second = ClusterMembership(("a/2", "b/1", "c/1"))
    assert {bootstrap.membership for bootstrap in some.values()} == {second}
    some["b"].receive("a/1", Bootstrapped("a/1", ABC))  # late
    assert some["b"].membership == second
