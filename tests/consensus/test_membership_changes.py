"""Guards against changing two voters at once, and against replacing a voter that is alive."""

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


def test_new_incarnation_replaces_a_voter_in_changes_of_at_most_one_voter() -> None:
    cluster = Cluster(9, 5)
    leader = cluster.await_leader()
    for number in range(10):
        cluster.step_voter(leader, Propose(number))
    cluster.run(500.0)
    voter = cluster.voters[leader]
    voter.compact(voter.commit_index, cluster.snapshot(voter.commit_index))
    former = next(voter_id for voter_id in cluster.voters if voter_id != leader)
    cluster.stopped.add(former)
    joining = former.replace("/1", "/2")
    cluster.voters[joining] = Voter(
        joining, cluster.now_ms, ClusterMembership(), cluster.random.uniform
    )
    previous_voters = set(cluster.membership.voters)
    for _ in range(100):
        proposed = next_membership(
            voter,
            {joining.partition("/")[0]: joining},
            lambda voter_id: voter_id not in cluster.stopped,
        )
        if proposed is not None:
            assert len(previous_voters ^ set(proposed.voters)) <= 1
            previous_voters = set(proposed.voters)
            cluster.step_voter(leader, ChangeMembership(proposed))
        cluster.run(100.0)
    assert set(voter.log.membership.voters) == set(cluster.membership.voters) - {former} | {joining}
    assert cluster.applied[joining] == cluster.applied[leader]


def test_name_of_a_live_voter_is_not_taken_over() -> None:
    cluster = Cluster(10, 3)
    voter = cluster.voters[cluster.await_leader()]
    other = next(voter_id for voter_id in cluster.voters if voter_id != voter.voter_id)
    assert next_membership(voter, {other[0]: f"{other[0]}/2"}, lambda voter_id: True) is None
    assert next_membership(voter, {other[0]: f"{other[0]}/2"}, lambda voter_id: False) is not None
