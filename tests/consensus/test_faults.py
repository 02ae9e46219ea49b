"""Guards against diverging logs, stale reads and needless elections in runs with faults.

The faults are lost, delayed and duplicated messages, blocked links, paused voters and restarts.
"""

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
        selected, other = rng.sample(voter_ids, 2)
        match rng.randrange(9):
            case 0:
                cluster.stopped.add(selected)
            case 1 | 2:
                if cluster.stopped:
                    cluster.restart(sorted(cluster.stopped)[0])
            case 3:
                cluster.blocked_links.add((selected, other))  # in one direction
            case 4:
                cluster.blocked_links.clear()
            case 5 if (leader := cluster.leader()) and cluster.voters[leader].commit_index:
                voter = cluster.voters[leader]
                voter.compact(voter.commit_index, cluster.snapshot(voter.commit_index))
            case 6 if leader := cluster.leader():
                cluster.step_voter(leader, TransferLeadership(""))
            case 7 if leader := cluster.leader():
                cluster.step_voter(leader, RequestRead(number))
            case _:
                for voter_id in voter_ids:
                    if cluster.voters[voter_id].role is Role.LEADER:
                        cluster.step_voter(voter_id, Propose(f"{number} by {voter_id}"))
        cluster.run(rng.uniform(10.0, 600.0))
    cluster.blocked_links.clear()
    for voter_id in sorted(cluster.stopped):
        cluster.restart(voter_id)
    for _ in range(10):  # a proposal is lost if the leader is transferring or loses the leadership
        cluster.step_voter(cluster.await_leader(60_000.0), Propose("last"))
        cluster.run(3000.0)
    assert any(entry.data == "last" for entry in cluster.committed.values())
    assert len(set(cluster.applied.values())) == 1 or loss > 0.0
    cluster.loss = 0.0
    cluster.run(10_000.0)
    assert len(set(cluster.applied.values())) == 1


def test_flapping_connection_does_not_change_the_leader() -> None:
    cluster = Cluster(4, 5)
    leader = cluster.await_leader()
    other = next(voter_id for voter_id in cluster.voters if voter_id != leader)
    # Each interruption of one voter's links lasts longer than an election timeout.
    for _ in range(20):
        cluster.blocked_links |= {(other, voter_id) for voter_id in cluster.voters} | {
            (voter_id, other) for voter_id in cluster.voters
        }
        cluster.run(2500.0)
        cluster.blocked_links.clear()
        cluster.run(700.0)
    assert cluster.leader() == leader and cluster.leader_changes == 1


@pytest.mark.parametrize("fault", ["deaf", "mute"])
def test_leader_partitioned_in_one_direction_steps_down(fault: str) -> None:
    cluster = Cluster(5, 5)
    leader = cluster.await_leader()
    others = [voter_id for voter_id in cluster.voters if voter_id != leader]
    cluster.blocked_links = {
        (leader, voter_id) if fault == "mute" else (voter_id, leader) for voter_id in others
    }
    cluster.run(8000.0)
    assert cluster.voters[leader].role is not Role.LEADER
    assert cluster.leader() in others


def test_resumed_former_leader_completes_no_stale_read() -> None:
    cluster = Cluster(6, 3)
    leader = cluster.await_leader()
    cluster.stopped.add(leader)  # like SIGSTOP: the process keeps its state
    cluster.run(10_000.0)
    new_leader = cluster.leader()
    assert new_leader and new_leader != leader
    cluster.step_voter(new_leader, Propose("news"))
    cluster.run(1000.0)
    cluster.stopped.clear()
    # The former leader has not received a message of the new leader yet.
    cluster.step_voter(leader, RequestRead("stale?"))
    cluster.step_voter(leader, Propose("lost"))
    cluster.run(3000.0)
    assert [type(result) for result in cluster.read_results] == [ReadFailed]
    assert "lost" not in [entry.data for entry in cluster.committed.values()]


def test_read_index_includes_entries_committed_before_the_read() -> None:
    cluster = Cluster(7, 5)
    leader = cluster.await_leader()
    cluster.step_voter(leader, Propose("x"))
    cluster.run(500.0)
    last_committed = max(cluster.committed)
    cluster.step_voter(leader, RequestRead(1))
    cluster.run(500.0)
    assert cluster.read_results == [ReadReady(1, last_committed)]


def test_leadership_transfer_is_faster_than_an_election() -> None:
    cluster = Cluster(8, 5)
    leader = cluster.await_leader()
    cluster.step_voter(leader, TransferLeadership(""))
    cluster.run(200.0)  # a fifth of the shortest election timeout
    assert cluster.leader() not in ("", leader)
