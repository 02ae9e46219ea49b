"""Voters that are replaced by new incarnations, one change at a time."""

from pumicenotch.consensus.inputs import (
    ChangeMembership,
    Propose,
)
from pumicenotch.consensus.membership_changes import next_membership
from pumicenotch.consensus.messages import (
    ClusterMembership,
)
from pumicenotch.consensus.voter import Voter
from tests.consensus.cluster import Cluster


def test_membership_changes_one_voter_at_a_time_until_the_new_incarnation_votes() -> None:
    cluster = Cluster(9, 5)
    leader = cluster.await_leader()
    for number in range(10):
        cluster.put(leader, Propose(number))
    cluster.run(500.0)
    voter = cluster.voters[leader]
    voter.compact(voter.commit_index, cluster.snapshot(voter.commit_index))
    old = next(voter_id for voter_id in cluster.voters if voter_id != leader)
    cluster.down.add(old)
    new = old.replace("/1", "/2")
    cluster.voters[new] = Voter(new, cluster.now_ms, ClusterMembership(), cluster.random.uniform)
    before = set(cluster.membership.voters)
    for _ in range(100):
        made = next_membership(
            voter, {new.partition("/")[0]: new}, lambda voter_id: voter_id not in cluster.down
        )
        if made is not None:
            assert len(before ^ set(made.voters)) <= 1
            before = set(made.voters)
            cluster.put(leader, ChangeMembership(made))
        cluster.run(100.0)
    assert set(voter.log.membership.voters) == set(cluster.membership.voters) - {old} | {new}
    assert cluster.applied[new] == cluster.applied[leader]


def test_name_is_not_taken_over_while_its_process_is_alive() -> None:
    cluster = Cluster(10, 3)
    voter = cluster.voters[cluster.await_leader()]
    other = next(voter_id for voter_id in cluster.voters if voter_id != voter.voter_id)
    assert next_membership(voter, {other[0]: f"{other[0]}/2"}, lambda voter_id: True) is None
    assert next_membership(voter, {other[0]: f"{other[0]}/2"}, lambda voter_id: False) is not None
