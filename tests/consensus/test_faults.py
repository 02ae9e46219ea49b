"""Elections, reads and leadership transfer in long runs with faults."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.consensus.effects import (
    ReadFailed,
    ReadReady,
)
from pumicenotch.consensus.inputs import (
    Propose,
    RequestRead,
    TransferLeadership,
)
from pumicenotch.consensus.state import Role
from tests.consensus.cluster import Cluster


@settings(max_examples=30, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    voter_count=st.sampled_from([3, 5]),
    loss=st.sampled_from([0.0, 0.1, 0.3]),
)
def test_committed_entries_agree_through_random_faults(
    seed: int, voter_count: int, loss: float
) -> None:
    cluster = Cluster(seed, voter_count, loss)
    rng, voter_ids = cluster.random, list(cluster.voters)
    for number in range(40):
        one, other = rng.sample(voter_ids, 2)
        match rng.randrange(9):
            case 0:
                cluster.down.add(one)
            case 1 | 2:
                if cluster.down:
                    cluster.restart(sorted(cluster.down)[0])
            case 3:
                cluster.cut.add((one, other))  # one way
            case 4:
                cluster.cut.clear()
            case 5 if (leader := cluster.leader()) and cluster.voters[leader].commit_index:
                voter = cluster.voters[leader]
                voter.compact(voter.commit_index, cluster.snapshot(voter.commit_index))
            case 6 if leader := cluster.leader():
                cluster.put(leader, TransferLeadership(""))
            case 7 if leader := cluster.leader():
                cluster.put(leader, RequestRead(number))
            case _:
                for voter_id in voter_ids:
                    if cluster.voters[voter_id].role is Role.LEADER:
                        cluster.put(voter_id, Propose(f"{number} by {voter_id}"))
        cluster.run(rng.uniform(10.0, 600.0))
    cluster.cut.clear()
    for voter_id in sorted(cluster.down):
        cluster.restart(voter_id)
    for _ in range(10):  # a leader may be about to hand over, or lose its place
        cluster.put(cluster.await_leader(60_000.0), Propose("last"))
        cluster.run(3000.0)
    assert any(entry.data == "last" for entry in cluster.committed.values())
    assert len(set(cluster.applied.values())) == 1 or loss > 0.0
    cluster.loss = 0.0
    cluster.run(10_000.0)
    assert len(set(cluster.applied.values())) == 1


def test_flapping_connection_changes_no_leader() -> None:
    cluster = Cluster(4, 5)
    leader = cluster.await_leader()
    other = next(voter_id for voter_id in cluster.voters if voter_id != leader)
    for _ in range(
        20
    ):  # the link of one voter to all comes and goes, longer than an election takes
        cluster.cut |= {(other, voter_id) for voter_id in cluster.voters} | {
            (voter_id, other) for voter_id in cluster.voters
        }
        cluster.run(2500.0)
        cluster.cut.clear()
        cluster.run(700.0)
    assert cluster.leader() == leader and cluster.leader_changes == 1


@pytest.mark.parametrize("way", ["deaf", "mute"])
def test_leader_cut_off_one_way_steps_down(way: str) -> None:
    cluster = Cluster(5, 5)
    leader = cluster.await_leader()
    others = [voter_id for voter_id in cluster.voters if voter_id != leader]
    cluster.cut = {
        (leader, voter_id) if way == "mute" else (voter_id, leader) for voter_id in others
    }
    cluster.run(8000.0)
    assert cluster.voters[leader].role is not Role.LEADER
    assert cluster.leader() in others


def test_stopped_leader_that_wakes_reads_nothing_stale() -> None:
    cluster = Cluster(6, 3)
    leader = cluster.await_leader()
    cluster.down.add(leader)  # as SIGSTOP: it keeps everything
    cluster.run(10_000.0)
    second = cluster.leader()
    assert second and second != leader
    cluster.put(second, Propose("news"))
    cluster.run(1000.0)
    cluster.down.clear()
    cluster.put(leader, RequestRead("stale?"))  # before it hears of anything
    cluster.put(leader, Propose("lost"))
    cluster.run(3000.0)
    assert [type(result) for result in cluster.read_results] == [ReadFailed]
    assert "lost" not in [entry.data for entry in cluster.committed.values()]


def test_read_sees_what_was_committed_before() -> None:
    cluster = Cluster(7, 5)
    leader = cluster.await_leader()
    cluster.put(leader, Propose("x"))
    cluster.run(500.0)
    agreed = max(cluster.committed)
    cluster.put(leader, RequestRead(1))
    cluster.run(500.0)
    assert cluster.read_results == [ReadReady(1, agreed)]


def test_leadership_transfer_is_faster_than_an_election() -> None:
    cluster = Cluster(8, 5)
    leader = cluster.await_leader()
    cluster.put(leader, TransferLeadership(""))
    cluster.run(200.0)  # a fifth of the shortest silence that would bring an election
    assert cluster.leader() not in ("", leader)
