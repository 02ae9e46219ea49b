"""Linearizable reads confirmed by a round of heartbeats (thesis, 6.4).

A leader lease would avoid the round, but it relies on clocks that run at the same rate and on a
process that is not paused between reading the clock and sending the response.
"""

from collections.abc import Mapping
from typing import Any, NamedTuple

from pumicenotch.consensus.messages import ClusterMembership, VoterId


class PendingRead(NamedTuple):
    """A read that waits for a majority to respond to a heartbeat round."""

    key: Any
    read_index: int  # the commit index when the read was requested
    heartbeat_round: int


def is_confirmed(
    read: PendingRead,
    membership: ClusterMembership,
    leader_id: VoterId,
    acknowledged_round: Mapping[VoterId, int],
) -> bool:
    """Returns whether a majority has responded to a heartbeat sent after the read was requested."""
    acknowledged = {
        member
        for member, heartbeat_round in acknowledged_round.items()
        if heartbeat_round >= read.heartbeat_round
    }
    return membership.has_majority(acknowledged | {leader_id})
