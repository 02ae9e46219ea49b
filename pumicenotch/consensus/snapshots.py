"""Log compaction, and snapshots for members that lack compacted entries (thesis, 5.1 to 5.3)."""

from pumicenotch.consensus.effects import RestoreSnapshot
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import (
    InstallSnapshot,
    InstallSnapshotResponse,
    VoterId,
)
from pumicenotch.consensus.replication import LogReplication


class SnapshotInstallation(LogReplication):
    """Compacts the log, installs snapshots as follower and transfers them as leader."""

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replaces the entries up to a committed index by a snapshot of the state they produced."""
        if self.log.snapshot_index < index <= self.commit_index:
            self.log.compact(index, snapshot)
            self.snapshot_offset = {}

    def on_install_snapshot(self, sender: VoterId, chunk: InstallSnapshot) -> None:
        """Receives a chunk, and installs the snapshot when the last chunk has arrived."""
        last_included_index = chunk.last_included_index
        if last_included_index <= self.commit_index:
            self.respond(sender, True, last_included_index, chunk.heartbeat_round)
            return
        if self.log.term_at(last_included_index) == chunk.last_included_term:
            # The log is kept: the leader may have counted later entries as stored here.
            self.commit_up_to(last_included_index)
            self.respond(sender, True, last_included_index, chunk.heartbeat_round)
            return
        if self.snapshot_receiver.receive(sender, chunk):
            self.install_snapshot(chunk)
        next_offset = len(self.snapshot_receiver.data)
        response = InstallSnapshotResponse(
            self.term, last_included_index, next_offset, chunk.heartbeat_round
        )
        self.send(sender, response)

    def install_snapshot(self, last_chunk: InstallSnapshot) -> None:
        """Replaces the log and the applied state by the received snapshot."""
        last_included_index = last_chunk.last_included_index
        data = self.snapshot_receiver.data
        self.log = Log(
            last_chunk.membership, last_included_index, last_chunk.last_included_term, data
        )
        self.commit_index = last_included_index
        self.persistence.snapshot_installed(last_included_index)
        self.effects.append(RestoreSnapshot(last_included_index, data))

    def on_install_snapshot_response(
        self, sender: VoterId, response: InstallSnapshotResponse
    ) -> None:
        """Sends the next chunk, or the following entries once the member has the snapshot."""
        if not self.is_response_of_member(sender, response.term):
            return
        self.record_response(sender, response.heartbeat_round)
        if response.last_included_index != self.log.snapshot_index:
            # The response is for an older snapshot. The next heartbeat sends the newer one.
            return
        self.snapshot_offset[sender] = response.next_offset
        if response.next_offset >= len(self.log.snapshot):
            self.record_match(sender, response.last_included_index)
            self.send_entries(sender)
        else:
            self.send_snapshot_chunk(sender)
