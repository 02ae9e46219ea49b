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
    """How a voter comes to lead, and how it gives its vote."""

    def start_pre_vote(self) -> None:
        """Asks whether a majority would vote for it.

        Until then its term stays, so that a voter that was cut off disturbs nobody when it is back,
        however often its connection comes and goes.
        """
        self.role = Role.PRE_CANDIDATE
        self.request_votes(self.term + 1, pre_vote=True)

    def start_election(self, leadership_transfer: bool) -> None:
        """Begins a new term, votes for itself and asks all others to do so."""
        self.role = Role.CANDIDATE
        self.term += 1
        self.voted_for = self.voter_id
        self.persistence.term_or_vote_changed()
        self.request_votes(self.term, leadership_transfer=leadership_transfer)

    def request_votes(
        self, term: int, pre_vote: bool = False, leadership_transfer: bool = False
    ) -> None:
        """Asks every other voter; its own vote may be a majority already."""
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
        """Goes on with a majority's votes: from the pre-vote to the election, then to leading."""
        if not self.log.membership.has_majority(self.votes_received):
            return
        if self.role is Role.PRE_CANDIDATE:
            self.start_election(leadership_transfer=False)
        elif self.role is Role.CANDIDATE:
            self.become_leader()

    def become_leader(self) -> None:
        """Leads the term: appends its first entry and sends heartbeats at once."""
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
        """Grants the vote, or refuses it and keeps its term where it hears a leader."""
        if not request.leadership_transfer and self.leader_is_alive():
            # The sender may have missed heartbeats, or be out of the membership (thesis, 4.2.3).
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
        """Whether the candidate's log is at least as up to date as this voter's (thesis, 3.6.1)."""
        candidate = (request.last_log_term, request.last_log_index)
        return candidate >= (self.log.last_term, self.log.last_index)

    def may_grant_vote(self, sender: VoterId, request: RequestVote) -> bool:
        """Whether this voter's vote of that term is free, or the candidate's already."""
        if request.pre_vote:
            return request.term > self.term
        is_free = self.voted_for in ("", sender)
        return request.term == self.term and is_free and self.role is Role.FOLLOWER

    def on_vote_response(self, sender: VoterId, response: VoteResponse) -> None:
        """Counts a vote that was granted in the election or pre-vote that is going on."""
        if response.pre_vote:
            is_current = self.role is Role.PRE_CANDIDATE and response.term == self.term + 1
        else:
            is_current = self.role is Role.CANDIDATE and response.term == self.term
        if response.vote_granted and is_current:
            self.votes_received.add(sender)
            self.count_votes()

    def transfer_leadership(self, target: VoterId) -> None:
        """Hands leadership to the target, or to the most advanced voter where it is empty.

        Nothing is proposed meanwhile, for one election timeout at the most.
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
        """The leader of this term hands over: an election begins at once."""
        if request.term == self.term and self.voter_id in self.log.membership.voters:
            self.start_election(leadership_transfer=True)
