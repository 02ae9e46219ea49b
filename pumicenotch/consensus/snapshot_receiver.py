"""Assembles a snapshot that a follower receives in chunks."""

from typing import NamedTuple

from pumicenotch.consensus.messages import InstallSnapshot, VoterId


class SnapshotSource(NamedTuple):
    """Identifies the snapshot that a chunk belongs to."""

    leader_id: VoterId
    term: int
    last_included_index: int


class SnapshotReceiver:
    """Collects consecutive chunks; a chunk of another snapshot discards those received before."""

    def __init__(self) -> None:
        self.source: SnapshotSource | None = None
        self.data = b""

    def receive(self, sender: VoterId, chunk: InstallSnapshot) -> bool:
        """Stores the chunk if it is the next one; returns whether it completes the snapshot."""
        source = SnapshotSource(sender, chunk.term, chunk.last_included_index)
        if self.source != source:
            self.source = source
            self.data = b""
        if chunk.offset != len(self.data):
            return False
        self.data += chunk.data
        if chunk.done:
            self.source = None
        return chunk.done
