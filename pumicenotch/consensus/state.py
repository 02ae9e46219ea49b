"""The state of a voter, and the operations that all parts of the algorithm share."""

from collections.abc import Callable
from enum import StrEnum

from pumicenotch.consensus.effects import Effect, LeaderChanged, ReadFailed, Send
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import ClusterMembership, Message, VoterId
from pumicenotch.consensus.persistence import Persistence
from pumicenotch.consensus.reads import PendingRead
from pumicenotch.consensus.snapshot_receiver import SnapshotReceiver


class Role(StrEnum):
    """The role of a voter in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoterState:
    """The state of one voter, its role and its timers.

    All times are milliseconds of a monotonic clock.

    Args:
        voter_id: This voter.
        now_ms: The current time.
        membership: The first membership; empty if this process is to join a cluster.
        random_uniform: Returns a random number between two bounds, for election timeouts.

    Attributes:
        last_leader_contact_ms: When this voter last received a message from the term's leader.
        deadline_ms: When the next election starts or, at a leader, the next heartbeat round.
        next_index: At a leader, the index of the next entry to send, by member.
        match_index: At a leader, the last index known to match its own log, by member.
        responded_at_ms: At a leader, when each member last responded.
        acknowledged_round: At a leader, the latest heartbeat round acknowledged by each member.
        snapshot_offset: At a leader, the bytes received by each member of the current snapshot.
        transfer_target: At a leader, the voter that the leadership is being transferred to, or "".
    """

    HEARTBEAT_INTERVAL_MS = 100.0  # several round trips between regions
    # The minimum; each timeout is drawn between one and two times this value. A follower must miss
    # ten heartbeats to start an election, so occasional losses start none.
    ELECTION_TIMEOUT_MS = 1000.0
    MAX_ENTRIES_PER_MESSAGE = 16  # entries are up to 64 KB each, and a message must fit in a frame
    MAX_SNAPSHOT_CHUNK_BYTES = 16 * 1024

    def __init__(
        self,
        voter_id: VoterId,
        now_ms: float,
        membership: ClusterMembership,
        random_uniform: Callable[[float, float], float],
    ) -> None:
        self.voter_id = voter_id
        self.now_ms = now_ms
        self.random_uniform = random_uniform
        self.effects: list[Effect] = []
        self.term = 0
        self.voted_for: VoterId = ""
        self.log = Log(membership)
        self.persistence = Persistence()
        self.commit_index = 0
        self.role = Role.FOLLOWER
        self.leader_id: VoterId = ""
        self.last_leader_contact_ms = float("-inf")
        self.deadline_ms = 0.0
        self.votes_received: set[VoterId] = set()
        self.snapshot_receiver = SnapshotReceiver()
        # Leader state by member
        self.next_index: dict[VoterId, int] = {}
        self.match_index: dict[VoterId, int] = {}
        self.responded_at_ms: dict[VoterId, float] = {}
        self.acknowledged_round: dict[VoterId, int] = {}
        self.snapshot_offset: dict[VoterId, int] = {}
        # Leader state
        self.heartbeat_round = 0
        self.pending_reads: list[PendingRead] = []
        self.transfer_target: VoterId = ""
        self.transfer_deadline_ms = 0.0
        self.reset_election_timer()

    # Roles

    def become_follower(self, term: int, leader_id: VoterId) -> None:
        """Becomes a follower in the later of both terms; `leader_id` is "" if it is not known."""
        if term > self.term:
            self.term = term
            self.voted_for = ""
            self.persistence.term_or_vote_changed()
        if self.role is not Role.FOLLOWER:
            self.effects += [ReadFailed(read.key) for read in self.pending_reads]
            self.pending_reads = []
            self.transfer_target = ""
            self.role = Role.FOLLOWER
            self.reset_election_timer()
        self.set_leader(leader_id)

    def set_leader(self, leader_id: VoterId) -> None:
        """Sets the known leader, and reports it if it has changed."""
        if leader_id != self.leader_id:
            self.leader_id = leader_id
            self.effects.append(LeaderChanged(leader_id, self.term))

    def leader_is_alive(self) -> bool:
        """Returns whether this voter leads or had contact with a leader in an election timeout."""
        if self.role is Role.LEADER:
            return True
        return self.now_ms - self.last_leader_contact_ms < self.ELECTION_TIMEOUT_MS

    def has_active_quorum(self) -> bool:
        """Returns whether this leader passes check-quorum (thesis, 6.2).

        Check-quorum requires responses of a majority within the last election timeout.
        """
        since_ms = self.now_ms - self.ELECTION_TIMEOUT_MS
        active = {
            member
            for member, responded_at_ms in self.responded_at_ms.items()
            if responded_at_ms >= since_ms
        }
        return self.log.membership.has_majority(active | {self.voter_id})

    def reset_election_timer(self) -> None:
        """Schedules the next election after a random timeout."""
        min_timeout_ms = self.ELECTION_TIMEOUT_MS
        self.deadline_ms = self.now_ms + self.random_uniform(min_timeout_ms, 2.0 * min_timeout_ms)

    # Sending

    def send(self, recipient: VoterId, message: Message) -> None:
        """Sends a message once all earlier changes are durable."""
        self.effects.append(Send(recipient, message))

    def send_to_voters(self, message: Message) -> None:
        """Sends a message to every other voter."""
        for voter in self.log.membership.voters:
            if voter != self.voter_id:
                self.send(voter, message)

    def other_members(self) -> list[VoterId]:
        """Returns the members except this voter: voters, then learners."""
        return [member for member in self.log.membership.members if member != self.voter_id]
