"""The voter: dispatches its inputs to the parts of the algorithm.

Safety does not depend on clocks: time decides when a voter starts an election, never which voter
leads or which entries are committed.
"""

from typing import Any

from pumicenotch.consensus.effects import Effect, ReadFailed, Send, WakeAt
from pumicenotch.consensus.elections import LeaderElection
from pumicenotch.consensus.inputs import (
    ChangeMembership,
    Input,
    MessageReceived,
    Persisted,
    Propose,
    RequestRead,
    Tick,
    TransferLeadership,
)
from pumicenotch.consensus.membership_changes import MembershipChanges
from pumicenotch.consensus.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    EntryKind,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    TimeoutNow,
    VoteResponse,
    VoterId,
)
from pumicenotch.consensus.reads import PendingRead
from pumicenotch.consensus.snapshots import SnapshotInstallation
from pumicenotch.consensus.state import Role


class Voter(LeaderElection, SnapshotInstallation, MembershipChanges):
    """A voter or learner. To restart one, restore its persisted term, vote and log."""

    def step(self, now_ms: float, event: Input) -> list[Effect]:
        """Handles one input and returns the effects in order; a time before the last is ignored."""
        self.now_ms = max(self.now_ms, now_ms)
        match event:
            case Tick():
                self.on_tick()
            case MessageReceived(sender, message):
                self.on_message(sender, message)
            case Persisted(serial):
                self.on_persisted(serial)
            case Propose(command):
                self.propose(command)
            case RequestRead(key):
                self.request_read(key)
            case ChangeMembership(membership):
                self.change_membership(membership)
            case TransferLeadership(target):
                self.transfer_leadership(target)
        return self.take_effects()

    def take_effects(self) -> list[Effect]:
        """Returns the effects of the input; messages are deferred until all changes are durable."""
        effects = self.effects
        self.effects = []
        write = self.persistence.take_write(self.term, self.voted_for, self.log)
        if write is not None:
            effects.insert(0, write)
        if not self.persistence.is_complete:
            self.persistence.defer(effect for effect in effects if isinstance(effect, Send))
            effects = [effect for effect in effects if not isinstance(effect, Send)]
        return [*effects, WakeAt(self.deadline_ms)]

    def on_tick(self) -> None:
        """Sends heartbeats or starts a pre-vote once the timer has expired."""
        if self.now_ms < self.deadline_ms:
            return
        if self.role is Role.LEADER:
            self.on_heartbeat_timeout()
        elif self.voter_id in self.log.membership.voters:
            self.start_pre_vote()
        else:
            self.reset_election_timer()

    def on_heartbeat_timeout(self) -> None:
        """Sends heartbeats, or steps down if no majority responds any more (thesis, 6.2)."""
        if not self.has_active_quorum():
            self.become_follower(self.term, "")
            return
        if self.transfer_target and self.now_ms >= self.transfer_deadline_ms:
            # The target did not take over in time: this leader accepts proposals again.
            self.transfer_target = ""
        self.send_heartbeats()

    def on_message(self, sender: VoterId, message: Message) -> None:
        """Handles a message of another voter, after adopting the message's term if it is later.

        A granted pre-vote carries the term of the election that may follow, so it is not adopted.
        """
        if isinstance(message, RequestVote):
            self.on_request_vote(sender, message)
            return
        is_granted_pre_vote = (
            isinstance(message, VoteResponse) and message.pre_vote and message.vote_granted
        )
        if message.term > self.term and not is_granted_pre_vote:
            self.become_follower(message.term, "")
        match message:
            case VoteResponse():
                self.on_vote_response(sender, message)
            case AppendEntries() | InstallSnapshot() if message.term < self.term:
                self.respond(sender, success=False, log_index=0, heartbeat_round=0)
            case AppendEntries():
                self.on_leader_contact(sender)
                self.on_append_entries(sender, message)
            case InstallSnapshot():
                self.on_leader_contact(sender)
                self.on_install_snapshot(sender, message)
            case AppendResponse():
                self.on_append_response(sender, message)
            case InstallSnapshotResponse():
                self.on_install_snapshot_response(sender, message)
            case TimeoutNow():
                self.on_timeout_now(message)

    def on_persisted(self, serial: int) -> None:
        """Sends the messages that waited for a write; a leader's commit index may advance."""
        self.effects += self.persistence.finish_write(serial)
        if self.role is Role.LEADER:
            self.advance_commit_index()

    def propose(self, command: Any) -> None:
        """Appends and replicates a command; ignored unless leading, and during a transfer."""
        if self.role is not Role.LEADER or self.transfer_target:
            return
        self.append_to_log(Entry(self.term, EntryKind.COMMAND, command))
        self.replicate()

    def request_read(self, key: Any) -> None:
        """Starts a heartbeat round; `ReadReady` follows once a majority has responded to it.

        A leader without a committed entry of its own term rejects the read, because its commit
        index may be behind that of an earlier leader. A leader that was replaced gets no majority.
        """
        if self.role is not Role.LEADER or self.log.term_at(self.commit_index) != self.term:
            self.effects.append(ReadFailed(key))
            return
        self.pending_reads.append(PendingRead(key, self.commit_index, self.heartbeat_round + 1))
        self.send_heartbeats()
