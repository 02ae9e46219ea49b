"""One voter: its inputs, and which part of the algorithm takes each.

It is safe whatever clocks do: time only says when to try for a leader, never who leads or what is
committed.
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
    """A voter or learner; one that has restarted may be given its term, vote and log."""

    def step(self, now_ms: float, event: Input) -> list[Effect]:
        """Takes one input; returns what is to be done, in order. Time never goes back."""
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
        """What the input has brought about; sends wait until all changes before are durable."""
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
        """Sends heartbeats or begins an election, when either is due."""
        if self.now_ms < self.deadline_ms:
            return
        if self.role is Role.LEADER:
            self.on_heartbeat_timeout()
        elif self.voter_id in self.log.membership.voters:
            self.start_pre_vote()
        else:
            self.reset_election_timer()

    def on_heartbeat_timeout(self) -> None:
        """Sends heartbeats, or steps down where a majority answers no more."""
        if not self.has_active_quorum():
            self.become_follower(self.term, "")
            return
        if self.transfer_target and self.now_ms >= self.transfer_deadline_ms:
            self.transfer_target = ""  # it did not take over: go on
        self.send_heartbeats()

    def on_message(self, sender: VoterId, message: Message) -> None:
        """Takes a message of another voter, and its term if that is later."""
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
        """Releases what waited for the write, and commits what a majority has with it."""
        self.effects += self.persistence.finish_write(serial)
        if self.role is Role.LEADER:
            self.advance_commit_index()

    def propose(self, command: Any) -> None:
        """Appends the command and sends it; without effect where this voter cannot propose."""
        if self.role is not Role.LEADER or self.transfer_target:
            return
        self.append_to_log(Entry(self.term, EntryKind.COMMAND, command))
        self.replicate()

    def request_read(self, key: Any) -> None:
        """Begins a round of heartbeats; `ReadReady` follows once a majority has answered it.

        It never follows where another leader may have committed more.
        """
        if self.role is not Role.LEADER or self.log.term_at(self.commit_index) != self.term:
            self.effects.append(ReadFailed(key))
            return
        self.pending_reads.append(PendingRead(key, self.commit_index, self.heartbeat_round + 1))
        self.send_heartbeats()
