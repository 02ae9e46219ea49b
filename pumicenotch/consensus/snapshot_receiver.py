"""A snapshot on its way to a follower, put together from its chunks."""

from typing import NamedTuple

from pumicenotch.consensus.messages import InstallSnapshot, VoterId


class SnapshotSource(NamedTuple):
    """Which snapshot the chunks are of."""

    leader_id: VoterId
    term: int
    last_included_index: int


class SnapshotReceiver:
    """The chunks received so far. A chunk of another snapshot begins it anew."""

    def __init__(self) -> None:
        self.source: SnapshotSource | None = None
        self.data = b""

    def receive(self, sender: VoterId, chunk: InstallSnapshot) -> bool:
        """Takes the chunk if it is the next one; whether the snapshot is complete with it."""
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
