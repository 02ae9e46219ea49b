"""Guards against a cluster that is founded without all voters, or founded twice."""

from collections import deque
from typing import Any

from pumicenotch.consensus.bootstrap import Bootstrap
from pumicenotch.consensus.messages import (
    Bootstrapped,
    ClusterMembership,
    decode_bootstrap_message,
    encode_message,
)
from tests.consensus.cluster import THREE_VOTERS


def discover(bootstraps: dict[str, Bootstrap], rounds: int, lost: type[Any] | None = None) -> None:
    """Runs rounds of discovery among processes by name; messages of type `lost` are lost."""
    for round_number in range(rounds):
        pending = deque(
            (bootstrap.voter_id, send)
            for bootstrap in bootstraps.values()
            for send in bootstrap.on_tick(round_number * Bootstrap.DISCOVERY_INTERVAL_MS)
        )
        while pending:
            sender, (name, message) = pending.popleft()
            if name in bootstraps and type(message) is not lost:
                recipient = bootstraps[name]
                received = decode_bootstrap_message(encode_message(message))
                pending += [
                    (recipient.voter_id, send) for send in recipient.receive(sender, received)
                ]


def test_cluster_is_bootstrapped_once_all_voters_have_answered_and_know_of_no_cluster() -> None:
    names = ["a", "b", "c"]
    processes = {name: Bootstrap(f"{name}/1", names) for name in "ab"}
    discover(processes, 5)
    assert all(bootstrap.membership is None for bootstrap in processes.values())
    processes["c"] = Bootstrap("c/1", names)
    discover(processes, 9)
    assert {bootstrap.membership for bootstrap in processes.values()} == {THREE_VOTERS}
    # A process that lost its log learns of the cluster and does not bootstrap another.
    processes["b"] = Bootstrap("b/2", names)
    discover(processes, 9)
    assert processes["b"].membership is None and processes["b"].cluster_exists


def test_restarted_founder_cannot_bootstrap_beside_its_former_incarnation() -> None:
    names = ["a", "b", "c"]
    processes = {name: Bootstrap(f"{name}/1", names) for name in names}
    discover(processes, 9, Bootstrapped)
    assert processes["a"].membership == THREE_VOTERS
    processes["a"] = Bootstrap("a/2", names)
    discover(processes, 9)
    second = ClusterMembership(("a/2", "b/1", "c/1"))
    assert {bootstrap.membership for bootstrap in processes.values()} == {second}
    # A delayed message of the former founder is rejected.
    processes["b"].receive("a/1", Bootstrapped("a/1", THREE_VOTERS))
    assert processes["b"].membership == second
