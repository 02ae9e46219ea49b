"""Membership changes, one voter at a time (thesis, 4.1 to 4.3, with the correction of 2015)."""

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
    """Appends membership changes at the leader, and decides when a change is allowed."""

    def can_change_membership(self) -> bool:
        """Returns whether no change is uncommitted and an entry of this term is committed.

        Without a committed entry of this term, changes made by two leaders could be committed by
        majorities that have no voter in common (the correction of 2015).
        """
        is_committed = self.log.membership_index <= self.commit_index
        return is_committed and self.log.term_at(self.commit_index) == self.term

    def change_membership(self, membership: ClusterMembership) -> None:
        """Appends a membership change; ignored unless this leader may change the membership now."""
        if self.role is not Role.LEADER or self.transfer_target or not self.can_change_membership():
            return
        if not is_single_change(self.log.membership, membership):
            return
        self.append_to_log(Entry(self.term, EntryKind.MEMBERSHIP, membership))
        self.replicate()

    def is_caught_up(self, member: VoterId) -> bool:
        """Returns whether a learner has every committed entry and as a voter delays no commit."""
        return self.match_index.get(member, 0) >= self.commit_index > 0


def is_single_change(current: ClusterMembership, proposed: ClusterMembership) -> bool:
    """Returns whether the proposal is valid and adds or removes at most one voter.

    A valid membership has at least one voter and lists no member twice.
    """
    changed_voters = set(proposed.voters) ^ set(current.voters)
    has_duplicates = len(set(proposed.members)) < len(proposed.members)
    return bool(proposed.voters) and len(changed_voters) <= 1 and not has_duplicates


def next_membership(
    voter: MembershipChanges,
    joining: Mapping[str, VoterId],
    is_alive: Callable[[VoterId], bool],
) -> ClusterMembership | None:
    """Returns the next membership that the leader proposes to admit processes that ask to join.

    A process is admitted in steps: its former incarnations are removed, it becomes a learner, and
    it becomes a voter once it has caught up.

    Args:
        voter: The leader.
        joining: The processes that ask to join, by name.
        is_alive: Whether a process has responded recently. The name of a live process cannot be
            taken over.

    Returns:
        The changed membership, or None if no change is needed or possible now.
    """
    membership = voter.log.membership
    if voter.role is not Role.LEADER or not voter.can_change_membership():
        return None
    for name, joining_id in sorted(joining.items()):
        former_members = [
            member
            for member in membership.members
            if voter_name(member) == name and member != joining_id
        ]
        if any(member == voter.voter_id or is_alive(member) for member in former_members):
            continue
        if former_members:
            return _without_members(membership, former_members)
        if joining_id in membership.voters:
            continue
        if joining_id not in membership.learners:
            return membership._replace(learners=tuple(sorted((*membership.learners, joining_id))))
        if voter.is_caught_up(joining_id):
            return _with_voter(membership, joining_id)
    return None


def _without_members(membership: ClusterMembership, removed: list[VoterId]) -> ClusterMembership:
    return ClusterMembership(
        tuple(voter for voter in membership.voters if voter not in removed),
        tuple(learner for learner in membership.learners if learner not in removed),
    )


def _with_voter(membership: ClusterMembership, added: VoterId) -> ClusterMembership:
    learners = tuple(learner for learner in membership.learners if learner != added)
    return ClusterMembership(tuple(sorted((*membership.voters, added))), learners)
