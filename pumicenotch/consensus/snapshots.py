"""Log compaction and snapshots for members that lack what was compacted (thesis, 5.1 to 5.3)."""

from pumicenotch.consensus.effects import RestoreSnapshot
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import (
    InstallSnapshot,
    InstallSnapshotResponse,
    VoterId,
)
from pumicenotch.consensus.replication import LogReplication


class SnapshotInstallation(LogReplication):
    """Making snapshots, and bringing a follower up by one."""

    def compact(self, index: int, snapshot: bytes) -> None:
        """Removes the entries up to that index, of which the snapshot holds the outcome."""
        if self.log.snapshot_index < index <= self.commit_index:
            self.log.compact(index, snapshot)
            self.snapshot_offset = {}

    def on_install_snapshot(self, sender: VoterId, chunk: InstallSnapshot) -> None:
        """Takes a chunk, and the whole snapshot in the place of the log with the last one."""
        last_included_index = chunk.last_included_index
        if last_included_index <= self.commit_index:
            self.respond(sender, True, last_included_index, chunk.heartbeat_round)
            return
        if self.log.term_at(last_included_index) == chunk.last_included_term:
            # The leader may have counted the entries beyond it already, so they stay.
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
        """Replaces the log and the state by the snapshot that was received."""
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
        """Sends the next chunk, or the entries after the snapshot once it is complete."""
        if not self.is_response_of_member(sender, response.term):
            return
        self.record_response(sender, response.heartbeat_round)
        if response.last_included_index != self.log.snapshot_index:
            return  # of an older snapshot: the next heartbeat begins with the newer
        self.snapshot_offset[sender] = response.next_offset
        if response.next_offset >= len(self.log.snapshot):
            self.record_match(sender, response.last_included_index)
            self.send_entries(sender)
        else:
            self.send_snapshot_chunk(sender)
