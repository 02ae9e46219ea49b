"""What a voter knows, and the steps that all parts of the algorithm share."""

from collections.abc import Callable
from enum import StrEnum

from pumicenotch.consensus.effects import Effect, LeaderChanged, ReadFailed, Send
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import ClusterMembership, Message, VoterId
from pumicenotch.consensus.persistence import Persistence
from pumicenotch.consensus.reads import PendingRead
from pumicenotch.consensus.snapshot_receiver import SnapshotReceiver


class Role(StrEnum):
    """What a voter does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoterState:
    """The state of one voter, its role and its timers, in milliseconds of a monotonic clock."""

    HEARTBEAT_INTERVAL_MS = 100.0  # some round trips between regions
    # The shortest; each is drawn up to twice as long. Ten lost heartbeats are no accident.
    ELECTION_TIMEOUT_MS = 1000.0
    MAX_ENTRIES_PER_MESSAGE = 16  # of up to 64 KB each, within the bound of a frame
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
        self.deadline_ms = 0.0  # of an election, or a leader's next heartbeat
        self.votes_received: set[VoterId] = set()
        self.snapshot_receiver = SnapshotReceiver()
        # Of a leader, by member.
        self.next_index: dict[VoterId, int] = {}
        self.match_index: dict[VoterId, int] = {}
        self.responded_at_ms: dict[VoterId, float] = {}
        self.acknowledged_round: dict[VoterId, int] = {}
        self.snapshot_offset: dict[VoterId, int] = {}  # bytes received, where one is being sent
        # Of a leader.
        self.heartbeat_round = 0
        self.pending_reads: list[PendingRead] = []
        self.transfer_target: VoterId = ""  # to whom leadership is being transferred
        self.transfer_deadline_ms = 0.0
        self.reset_election_timer()

    # Roles

    def become_follower(self, term: int, leader_id: VoterId) -> None:
        """Follows that leader, or nobody, in that term or its own later one."""
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
        """Reports a change of leader."""
        if leader_id != self.leader_id:
            self.leader_id = leader_id
            self.effects.append(LeaderChanged(leader_id, self.term))

    def leader_is_alive(self) -> bool:
        """Whether this voter leads, or has heard of a leader within an election timeout."""
        if self.role is Role.LEADER:
            return True
        return self.now_ms - self.last_leader_contact_ms < self.ELECTION_TIMEOUT_MS

    def has_active_quorum(self) -> bool:
        """Check-quorum (thesis, 6.2): whether a majority has answered this leader lately."""
        since_ms = self.now_ms - self.ELECTION_TIMEOUT_MS
        active = {
            member
            for member, responded_at_ms in self.responded_at_ms.items()
            if responded_at_ms >= since_ms
        }
        return self.log.membership.has_majority(active | {self.voter_id})

    def reset_election_timer(self) -> None:
        """The next election is due after a random time from now."""
        shortest_ms = self.ELECTION_TIMEOUT_MS
        self.deadline_ms = self.now_ms + self.random_uniform(shortest_ms, 2.0 * shortest_ms)

    # Sending

    def send(self, recipient: VoterId, message: Message) -> None:
        """Sends once everything that was changed before is durable."""
        self.effects.append(Send(recipient, message))

    def send_to_voters(self, message: Message) -> None:
        """Sends to every other voter."""
        for voter in self.log.membership.voters:
            if voter != self.voter_id:
                self.send(voter, message)

    def other_members(self) -> list[VoterId]:
        """All other voters and learners."""
        return [member for member in self.log.membership.members if member != self.voter_id]
