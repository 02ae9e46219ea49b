"""Changes of membership, one voter at a time (thesis, 4.1 to 4.3, with the correction of 2015)."""

from collections.abc import Callable, Mapping

from pumicenotch.consensus.messages import (
    ClusterMembership,
    Entry,
    EntryKind,
    VoterId,
    voter_name,
)
from pumicenotch.consensus.replication import LogReplication
from pumicenotch.consensus.state import Role


class MembershipChanges(LogReplication):
    """What a leader may change, and when."""

    def can_change_membership(self) -> bool:
        """Whether no change is uncommitted, and an entry of this term is committed.

        Without the latter, changes by two leaders could have majorities with no voter in common
        (the correction of 2015).
        """
        is_committed = self.log.membership_index <= self.commit_index
        return is_committed and self.log.term_at(self.commit_index) == self.term

    def change_membership(self, membership: ClusterMembership) -> None:
        """Appends the change; without effect where it cannot be made now."""
        if self.role is not Role.LEADER or self.transfer_target or not self.can_change_membership():
            return
        if not is_single_change(self.log.membership, membership):
            return
        self.append_to_log(Entry(self.term, EntryKind.MEMBERSHIP, membership))
        self.replicate()

    def is_caught_up(self, member: VoterId) -> bool:
        """Whether a learner has so much of the log that as a voter it would hold nothing up."""
        return self.match_index.get(member, 0) >= self.commit_index > 0


def is_single_change(current: ClusterMembership, proposed: ClusterMembership) -> bool:
    """Whether at most one voter is added or removed, some stay, and no member is listed twice."""
    changed_voters = set(proposed.voters) ^ set(current.voters)
    has_duplicates = len(set(proposed.members)) < len(proposed.members)
    return bool(proposed.voters) and len(changed_voters) <= 1 and not has_duplicates


def next_membership(
    voter: MembershipChanges,
    joining: Mapping[str, VoterId],
    is_alive: Callable[[VoterId], bool],
) -> ClusterMembership | None:
    """The next change that a leader is to propose, for those that want to be voters.

    Args:
        voter: The leader.
        joining: By name, the processes that want to be voters as they are now.
        is_alive: Whether a process was heard from lately; the name of one that was is taken.

    Returns:
        The membership with the change, or None where nothing is to change, or not yet.
    """
    membership = voter.log.membership
    if voter.role is not Role.LEADER or not voter.can_change_membership():
        return None
    for name, joining_id in sorted(joining.items()):
        former = [
            member
            for member in membership.members
            if voter_name(member) == name and member != joining_id
        ]
        if any(member == voter.voter_id or is_alive(member) for member in former):
            continue
        if former:
            return _without(membership, former)
        if joining_id in membership.voters:
            continue
        if joining_id not in membership.learners:
            return membership._replace(learners=tuple(sorted((*membership.learners, joining_id))))
        if voter.is_caught_up(joining_id):
            return _with_voter(membership, joining_id)
    return None


def _without(membership: ClusterMembership, removed: list[VoterId]) -> ClusterMembership:
    return ClusterMembership(
        tuple(voter for voter in membership.voters if voter not in removed),
        tuple(learner for learner in membership.learners if learner not in removed),
    )


def _with_voter(membership: ClusterMembership, added: VoterId) -> ClusterMembership:
    learners = tuple(learner for learner in membership.learners if learner != added)
    return ClusterMembership(tuple(sorted((*membership.voters, added))), learners)
