"""Linearizable reads by a round of heartbeats (thesis, 6.4).

A lease would save the round, but it trusts clocks to run alike, and a process not to be stopped
between its look at the clock and its answer.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from pumicenotch.consensus.messages import ClusterMembership, VoterId


class PendingRead(NamedTuple):
    """A read that waits for a majority's answers to a heartbeat round."""

    key: Any
    read_index: int  # the commit index when it was asked for
    heartbeat_round: int


def is_confirmed(
    read: PendingRead,
    membership: ClusterMembership,
    leader_id: VoterId,
    acknowledged_round: Mapping[VoterId, int],
) -> bool:
    """Whether a majority has answered a heartbeat that was sent after the read was asked for."""
    acknowledged = {
        member
        for member, heartbeat_round in acknowledged_round.items()
        if heartbeat_round >= read.heartbeat_round
    }
    return membership.has_majority(acknowledged | {leader_id})
