"""Leader election (thesis, 3.4) with pre-votes (9.6) and leadership transfer (3.10)."""

from pumicenotch.consensus.messages import (
    Entry,
    EntryKind,
    RequestVote,
    TimeoutNow,
    VoteResponse,
    VoterId,
)
from pumicenotch.consensus.replication import LogReplication
from pumicenotch.consensus.state import Role


class LeaderElection(LogReplication):
    """Starts elections and pre-votes, grants votes and transfers the leadership."""

    def start_pre_vote(self) -> None:
        """Asks whether a majority would grant this voter its vote.

        The term is not incremented before a majority agrees, so a voter that was partitioned cannot
        depose the leader when it reconnects, even if its connection flaps.
        """
        self.role = Role.PRE_CANDIDATE
        self.request_votes(self.term + 1, pre_vote=True)

    def start_election(self, leadership_transfer: bool) -> None:
        """Starts a new term, votes for this voter and requests the votes of all others."""
        self.role = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.voter_id
        self.persistence.term_or_vote_changed()
        self.request_votes(self.term, leadership_transfer=leadership_transfer)

    def request_votes(
        self, term: int, pre_vote: bool = False, leadership_transfer: bool = False
    ) -> None:
        """Requests the other voters' votes; in a cluster of one, its own vote is a majority."""
        self.votes_received = {self.voter_id}
        self.set_leader("")
        self.reset_election_timer()
        last_log_index = self.log.last_index
        last_log_term = self.log.last_term
        self.send_to_voters(
            RequestVote(term, last_log_index, last_log_term, pre_vote, leadership_transfer)
        )
        self.count_votes()

    def count_votes(self) -> None:
        """With a majority of votes, proceeds from the pre-vote to the election or to leadership."""
        if not self.log.membership.has_majority(self.votes_received):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election(leadership_transfer=False)
        elif self.role is Role.CANDIDATE:
            self.become_leader()

    def become_leader(self) -> None:
        """Becomes the leader of the term, appends its first entry and sends heartbeats at once."""
        members = self.log.membership.members
        self.role = Role.LEADER
        self.transfer_target = ""
        self.pending_reads = []
        self.next_index = dict.fromkeys(members, self.log.last_index + 1)
        self.match_index = {}
        self.acknowledged_round = {}
        self.snapshot_offset = {}
        self.responded_at_ms = dict.fromkeys(members, self.now_ms)
        self.set_leader(self.voter_id)
        self.append_to_log(Entry(self.term, EntryKind.NO_OP, None))
        self.send_heartbeats()

    def on_request_vote(self, sender: VoterId, request: RequestVote) -> None:
        """Grants or refuses a vote; ignores the request's term while a leader is alive."""
        if not request.leadership_transfer and self.leader_is_alive():
            # The candidate may have missed heartbeats or have been removed from the membership
            # (thesis, 4.2.3).
            if request.pre_vote:
                self.send(sender, VoteResponse(self.term, False, True))
            return
        if not request.pre_vote and request.term > self.term:
            self.become_follower(request.term, "")
        vote_granted = self.is_up_to_date(request) and self.may_grant_vote(sender, request)
        if vote_granted and not request.pre_vote:
            self.voted_for = sender
            self.persistence.term_or_vote_changed()
            self.reset_election_timer()
        term = request.term if vote_granted else self.term
        self.send(sender, VoteResponse(term, vote_granted, request.pre_vote))

    def is_up_to_date(self, request: RequestVote) -> bool:
        """Returns whether the candidate's log is not behind this voter's log (thesis, 3.6.1)."""
        candidate = (request.last_log_term, request.last_log_index)
        return candidate >= (self.log.last_term, self.log.last_index)

    def may_grant_vote(self, sender: VoterId, request: RequestVote) -> bool:
        """Returns whether this voter's vote in the term is unused or was given to the sender.

        A pre-vote is granted for any later term.
        """
        if request.pre_vote:
            return request.term > self.term
        is_vote_available = self.voted_for in ("", sender)
        return request.term == self.term and is_vote_available and self.role is Role.FOLLOWER

    def on_vote_response(self, sender: VoterId, response: VoteResponse) -> None:
        """Counts a vote granted in the current election or pre-vote."""
        if response.pre_vote:
            is_current = self.role is Role.PRE_CANDIDATE and response.term == self.term + 1
        else:
            is_current = self.role is Role.CANDIDATE and response.term == self.term
        if response.vote_granted and is_current:
            self.votes_received.add(sender)
            self.count_votes()

    def transfer_leadership(self, target: VoterId) -> None:
        """Transfers the leadership to the target, or if it is "" to the most up-to-date voter.

        Proposals are ignored until the transfer completes, for at most one election timeout.
        """
        candidates = [voter for voter in self.log.membership.voters if voter != self.voter_id]
        if self.role is not Role.LEADER or not candidates or (target and target not in candidates):
            return
        self.transfer_target = target or max(
            candidates, key=lambda voter: (self.match_index.get(voter, 0), voter)
        )
        self.transfer_deadline_ms = self.now_ms + self.ELECTION_TIMEOUT_MS
        if self.has_entire_log(self.transfer_target):
            self.send(self.transfer_target, TimeoutNow(self.term))
        else:
            self.send_entries(self.transfer_target, is_heartbeat=True)

    def on_timeout_now(self, request: TimeoutNow) -> None:
        """Starts an election at once, as requested by the leader of this term."""
        if request.term == self.term and self.voter_id in self.log.membership.voters:
            self.start_election(leadership_transfer=True)
