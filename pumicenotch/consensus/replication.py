"""Log replication from leader to followers and the commit index (thesis, 3.5 and 3.6)."""

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
    """Replicates entries as leader, stores them as follower, and commits them."""

    # Leader

    def append_to_log(self, entry: Entry) -> None:
        """Appends an entry at the leader; `replicate` or the next heartbeat sends it."""
        self.log.append(entry)
        self.persistence.entries_changed(self.log.last_index)
        for member in self.log.membership.members:
            self.next_index.setdefault(member, self.log.last_index)
            self.responded_at_ms.setdefault(member, self.now_ms)

    def replicate(self) -> None:
        """Sends every other member the entries from its next index on."""
        for member in self.other_members():
            self.send_entries(member)

    def send_heartbeats(self) -> None:
        """Starts a heartbeat round; heartbeats carry the entries that a member lacks."""
        self.heartbeat_round += 1
        self.deadline_ms = self.now_ms + self.HEARTBEAT_INTERVAL_MS
        for member in self.other_members():
            self.send_entries(member, is_heartbeat=True)
        self.confirm_reads()

    def send_entries(self, member: VoterId, is_heartbeat: bool = False) -> None:
        """Sends a member its next entries, or a snapshot chunk if they are compacted.

        The next index advances as if the entries were received. If the message is lost, the member
        rejects the next heartbeat and the next index is reset. Snapshot chunks are sent with
        heartbeats only.
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
        """Sends the first snapshot chunk that the member has not acknowledged."""
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
        """Updates the member's indexes, advances the commit index and sends further entries."""
        if not self.is_response_of_member(sender, response.term):
            return
        self.record_response(sender, response.heartbeat_round)
        if response.success:
            self.record_match(sender, response.log_index)
            self.advance_commit_index()
        else:
            retry_after_index = min(self.next_index[sender] - 1, response.log_index)
            self.next_index[sender] = max(self.match_index.get(sender, 0), retry_after_index) + 1
        if self.next_index[sender] <= self.log.last_index:
            self.send_entries(sender)
        if sender == self.transfer_target and self.has_entire_log(sender):
            self.send(sender, TimeoutNow(self.term))

    def is_response_of_member(self, sender: VoterId, term: int) -> bool:
        """Returns whether this voter leads the response's term and the sender is a member."""
        return self.role is Role.LEADER and term == self.term and sender in self.next_index

    def record_response(self, sender: VoterId, heartbeat_round: int) -> None:
        """Records the time of the response and the latest heartbeat round acknowledged."""
        self.responded_at_ms[sender] = self.now_ms
        latest_round = self.acknowledged_round.get(sender, 0)
        self.acknowledged_round[sender] = max(latest_round, heartbeat_round)
        self.confirm_reads()

    def record_match(self, member: VoterId, log_index: int) -> None:
        """Records that the member's log matches the leader's up to an index."""
        self.match_index[member] = max(self.match_index.get(member, 0), log_index)
        self.next_index[member] = max(self.next_index[member], log_index + 1)

    def has_entire_log(self, member: VoterId) -> bool:
        """Returns whether the member's log matches the leader's up to the last entry."""
        return self.match_index.get(member, 0) == self.log.last_index

    def members_with_entry(self, index: int) -> set[VoterId]:
        """Returns the members that have stored an entry durably."""
        members = {member for member, match in self.match_index.items() if match >= index}
        if self.persistence.persisted_index >= index:
            members.add(self.voter_id)
        return members

    def advance_commit_index(self) -> None:
        """Commits the entries that a majority has stored.

        Only entries of the leader's own term are committed by counting replicas. Earlier entries
        are committed together with them (thesis, 3.6.2).
        """
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.term_at(index) != self.term:
                return
            if self.log.membership.has_majority(self.members_with_entry(index)):
                self.commit_up_to(index)
                return

    def confirm_reads(self) -> None:
        """Completes the reads whose heartbeat round a majority has acknowledged."""
        if not self.pending_reads or self.role is not Role.LEADER:
            return
        unconfirmed = []
        for read in self.pending_reads:
            membership = self.log.membership
            if is_confirmed(read, membership, self.voter_id, self.acknowledged_round):
                self.effects.append(ReadReady(read.key, read.read_index))
            else:
                unconfirmed.append(read)
        self.pending_reads = unconfirmed

    # Follower

    def on_leader_contact(self, leader_id: VoterId) -> None:
        """Handles any message of the term's leader: follows it and resets the election timer."""
        self.become_follower(self.term, leader_id)
        self.last_leader_contact_ms = self.now_ms
        self.reset_election_timer()

    def on_append_entries(self, sender: VoterId, request: AppendEntries) -> None:
        """Stores the leader's entries if they follow a matching entry, else rejects them."""
        if request.prev_log_index < self.log.snapshot_index:
            skipped = self.log.snapshot_index - request.prev_log_index
            if skipped > len(request.entries):
                # The snapshot covers all of these entries: they are committed and thus identical.
                last_index = request.prev_log_index + len(request.entries)
                self.respond(sender, True, last_index, request.heartbeat_round)
                return
            request = request._replace(
                prev_log_index=self.log.snapshot_index,
                prev_log_term=self.log.snapshot_term,
                entries=request.entries[skipped:],
            )
        if self.log.term_at(request.prev_log_index) != request.prev_log_term:
            retry_after_index = self.conflict_index(request.prev_log_index)
            self.respond(sender, False, retry_after_index, request.heartbeat_round)
            return
        self.store_entries(request)
        last_index = request.prev_log_index + len(request.entries)
        self.respond(sender, True, last_index, request.heartbeat_round)
        self.commit_up_to(min(request.leader_commit, last_index))

    def respond(
        self, leader_id: VoterId, success: bool, log_index: int, heartbeat_round: int
    ) -> None:
        """Sends an AppendResponse for the leader's entries or snapshot."""
        self.send(leader_id, AppendResponse(self.term, success, log_index, heartbeat_round))

    def store_entries(self, request: AppendEntries) -> None:
        """Appends missing entries, after truncating the log at the first conflicting entry."""
        for index, entry in enumerate(request.entries, request.prev_log_index + 1):
            if self.log.term_at(index) == entry.term:
                continue
            if index <= self.log.last_index:
                self.log.truncate_from(index)
            self.log.append(entry)
            self.persistence.entries_changed(index)

    def conflict_index(self, prev_log_index: int) -> int:
        """Returns the index before the conflicting term: one rejection per term, not per entry."""
        index = min(prev_log_index, self.log.last_index + 1)
        conflicting_term = self.log.term_at(index)
        while index > self.log.snapshot_index and self.log.term_at(index) == conflicting_term:
            index -= 1
        return max(index, self.commit_index)

    # Leader and follower

    def commit_up_to(self, index: int) -> None:
        """Applies the entries up to an index; steps down if they remove this leader."""
        while self.commit_index < index:
            self.commit_index += 1
            entry = self.log.entry_at(self.commit_index)
            self.effects.append(ApplyEntry(self.commit_index, entry))
        is_removed = (
            self.log.membership_index <= self.commit_index
            and self.voter_id not in self.log.membership.voters
        )
        if self.role is Role.LEADER and is_removed:
            # Followers learn the new commit index from these last heartbeats.
            self.send_heartbeats()
            self.become_follower(self.term, "")
