"""Log replication (thesis, 3.5 and 3.6): a leader's entries to followers, and the commit index."""

from pumicenotch.consensus.effects import ApplyEntry, ReadReady
from pumicenotch.consensus.messages import (
    AppendEntries,
    AppendResponse,
    Entry,
    InstallSnapshot,
    TimeoutNow,
    VoterId,
)
from pumicenotch.consensus.reads import is_confirmed
from pumicenotch.consensus.state import Role, VoterState


class LogReplication(VoterState):
    """What leaders and followers do with the log."""

    # As the leader

    def append_to_log(self, entry: Entry) -> None:
        """Appends an entry of this leader; `replicate` or the next heartbeat sends it."""
        self.log.append(entry)
        self.persistence.entries_changed(self.log.last_index)
        for member in self.log.membership.members:
            self.next_index.setdefault(member, self.log.last_index)
            self.responded_at_ms.setdefault(member, self.now_ms)

    def replicate(self) -> None:
        """Sends each other member the entries that it lacks."""
        for member in self.other_members():
            self.send_entries(member)

    def send_heartbeats(self) -> None:
        """Begins a round of heartbeats, which carry entries where there are any to send."""
        self.heartbeat_round += 1
        self.deadline_ms = self.now_ms + self.HEARTBEAT_INTERVAL_MS
        for member in self.other_members():
            self.send_entries(member, is_heartbeat=True)
        self.confirm_reads()

    def send_entries(self, member: VoterId, is_heartbeat: bool = False) -> None:
        """Sends the entries that the member lacks, or a chunk of the snapshot that holds them.

        They are taken as received until the member says otherwise: a lost message shows when it
        refuses the next heartbeat.
        """
        prev_log_index = self.next_index[member] - 1
        if prev_log_index < self.log.snapshot_index:
            if is_heartbeat:
                self.send_snapshot_chunk(member)
            return
        entries = self.log.entries_from(prev_log_index + 1, self.MAX_ENTRIES_PER_MESSAGE)
        if entries or is_heartbeat:
            message = AppendEntries(
                term=self.term,
                prev_log_index=prev_log_index,
                prev_log_term=self.log.term_at(prev_log_index),
                entries=entries,
                leader_commit=self.commit_index,
                heartbeat_round=self.heartbeat_round,
            )
            self.send(member, message)
            self.next_index[member] = prev_log_index + len(entries) + 1

    def send_snapshot_chunk(self, member: VoterId) -> None:
        """Sends the next chunk of the snapshot that the member has not confirmed."""
        offset = self.snapshot_offset.get(member, 0)
        data = self.log.snapshot[offset : offset + self.MAX_SNAPSHOT_CHUNK_BYTES]
        chunk = InstallSnapshot(
            term=self.term,
            last_included_index=self.log.snapshot_index,
            last_included_term=self.log.snapshot_term,
            membership=self.log.snapshot_membership,
            offset=offset,
            data=data,
            done=offset + len(data) >= len(self.log.snapshot),
            heartbeat_round=self.heartbeat_round,
        )
        self.send(member, chunk)

    def on_append_response(self, sender: VoterId, response: AppendResponse) -> None:
        """Moves the member's indexes, commits what a majority has, and sends what is missing."""
        if not self.is_response_of_member(sender, response.term):
            return
        self.record_response(sender, response.heartbeat_round)
        if response.success:
            self.record_match(sender, response.log_index)
            self.advance_commit_index()
        else:
            retry_after = min(self.next_index[sender] - 1, response.log_index)
            self.next_index[sender] = max(self.match_index.get(sender, 0), retry_after) + 1
        if self.next_index[sender] <= self.log.last_index:
            self.send_entries(sender)
        if sender == self.transfer_target and self.has_entire_log(sender):
            self.send(sender, TimeoutNow(self.term))

    def is_response_of_member(self, sender: VoterId, term: int) -> bool:
        """Whether a response in that term is to this leader, and its sender a member."""
        return self.role is Role.LEADER and term == self.term and sender in self.next_index

    def record_response(self, sender: VoterId, heartbeat_round: int) -> None:
        """Notes that the member is alive, and which round of heartbeats it has answered."""
        self.responded_at_ms[sender] = self.now_ms
        latest_round = self.acknowledged_round.get(sender, 0)
        self.acknowledged_round[sender] = max(latest_round, heartbeat_round)
        self.confirm_reads()

    def record_match(self, member: VoterId, log_index: int) -> None:
        """The member's log matches this leader's up to that index."""
        self.match_index[member] = max(self.match_index.get(member, 0), log_index)
        self.next_index[member] = max(self.next_index[member], log_index + 1)

    def has_entire_log(self, member: VoterId) -> bool:
        """Whether the member has every entry of this leader."""
        return self.match_index.get(member, 0) == self.log.last_index

    def members_with_entry(self, index: int) -> set[VoterId]:
        """Those that have the entry durably."""
        members = {member for member, match in self.match_index.items() if match >= index}
        if self.persistence.persisted_index >= index:
            members.add(self.voter_id)
        return members

    def advance_commit_index(self) -> None:
        """Commits what a majority has.

        Only an entry of the leader's own term is committed by counting, and those before it with it
        (thesis, 3.6.2).
        """
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.term_at(index) != self.term:
                return
            if self.log.membership.has_majority(self.members_with_entry(index)):
                self.commit_up_to(index)
                return

    def confirm_reads(self) -> None:
        """Answers the reads whose round of heartbeats a majority has answered."""
        if not self.pending_reads or self.role is not Role.LEADER:
            return
        waiting = []
        for read in self.pending_reads:
            membership = self.log.membership
            if is_confirmed(read, membership, self.voter_id, self.acknowledged_round):
                self.effects.append(ReadReady(read.key, read.read_index))
            else:
                waiting.append(read)
        self.pending_reads = waiting

    # As a follower

    def on_leader_contact(self, leader_id: VoterId) -> None:
        """A message of this term's leader has come."""
        self.become_follower(self.term, leader_id)
        self.last_leader_contact_ms = self.now_ms
        self.reset_election_timer()

    def on_append_entries(self, sender: VoterId, request: AppendEntries) -> None:
        """Takes the leader's entries where they fit to this log, and refuses them where not."""
        if request.prev_log_index < self.log.snapshot_index:
            skipped = self.log.snapshot_index - request.prev_log_index
            if skipped > len(request.entries):  # in the snapshot: committed, hence the same
                last_index = request.prev_log_index + len(request.entries)
                self.respond(sender, True, last_index, request.heartbeat_round)
                return
            request = request._replace(
                prev_log_index=self.log.snapshot_index,
                prev_log_term=self.log.snapshot_term,
                entries=request.entries[skipped:],
            )
        if self.log.term_at(request.prev_log_index) != request.prev_log_term:
            retry_after = self.conflict_index(request.prev_log_index)
            self.respond(sender, False, retry_after, request.heartbeat_round)
            return
        self.take_entries(request)
        last_index = request.prev_log_index + len(request.entries)
        self.respond(sender, True, last_index, request.heartbeat_round)
        self.commit_up_to(min(request.leader_commit, last_index))

    def respond(
        self, leader_id: VoterId, success: bool, log_index: int, heartbeat_round: int
    ) -> None:
        """Answers a leader's entries or snapshot."""
        self.send(leader_id, AppendResponse(self.term, success, log_index, heartbeat_round))

    def take_entries(self, request: AppendEntries) -> None:
        """Appends the entries that are missing, in the place of those that conflict with them."""
        for index, entry in enumerate(request.entries, request.prev_log_index + 1):
            if self.log.term_at(index) == entry.term:
                continue
            if index <= self.log.last_index:
                self.log.truncate_from(index)
            self.log.append(entry)
            self.persistence.entries_changed(index)

    def conflict_index(self, prev_log_index: int) -> int:
        """The index before the whole term that conflicts: one refusal a term, not one an entry."""
        index = min(prev_log_index, self.log.last_index + 1)
        conflicting_term = self.log.term_at(index)
        while index > self.log.snapshot_index and self.log.term_at(index) == conflicting_term:
            index -= 1
        return max(index, self.commit_index)

    # As either

    def commit_up_to(self, index: int) -> None:
        """Has the entries up to that index applied; a leader that they remove steps down."""
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry_at(self.commit_index)
            self.effects.append(ApplyEntry(self.commit_index, entry))
        is_removed = (
            self.log.membership_index <= self.commit_index
            and self.voter_id not in self.log.membership.voters
        )
        if self.role is Role.LEADER and is_removed:
            self.send_heartbeats()  # with the commit index: the last that followers hear from here
            self.become_follower(self.term, "")
