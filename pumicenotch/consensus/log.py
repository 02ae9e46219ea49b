"""One voter's log: a snapshot and the entries after it. Log indexes start at 1."""

from pumicenotch.consensus.messages import ClusterMembership, Entry, EntryKind


class Log:
    """A snapshot, the entries after it, and the membership in force.

    The membership is that of the newest entry that changes it, committed or not (thesis, 4.1).

    Args:
        membership: The membership as of the snapshot, or the first membership.
        snapshot_index: The index of the last entry that the snapshot covers; 0 if there is none.
        snapshot_term: The term of that entry.
        snapshot: The applied state as of that entry.
    """

    def __init__(
        self,
        membership: ClusterMembership,
        snapshot_index: int = 0,
        snapshot_term: int = 0,
        snapshot: bytes = b"",
    ) -> None:
        self.snapshot_membership = membership
        self.snapshot_index = snapshot_index
        self.snapshot_term = snapshot_term
        self.snapshot = snapshot
        self.entries: list[Entry] = []
        self.membership = membership
        self.membership_index = snapshot_index

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    def term_at(self, index: int) -> int:
        """Returns the term of an entry; -1 if the entry is compacted or after the last one."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if not self.snapshot_index < index <= self.last_index:
            return -1
        return self.entries[index - self.snapshot_index - 1].term

    def entry_at(self, index: int) -> Entry:
        """Returns the entry at an index, which must be after the snapshot."""
        return self.entries[index - self.snapshot_index - 1]

    def entries_from(self, index: int, max_entries: int | None = None) -> tuple[Entry, ...]:
        """Returns the entries from an index on, at most `max_entries` if it is given."""
        start = index - self.snapshot_index - 1
        end = None if max_entries is None else start + max_entries
        return tuple(self.entries[start:end])

    def append(self, entry: Entry) -> None:
        """Appends an entry; an entry that changes the membership takes effect at once."""
        self.entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self.membership = entry.data
            self.membership_index = self.last_index

    def truncate_from(self, index: int) -> None:
        """Removes the entries from an index on, and reverts a membership change among them."""
        del self.entries[index - self.snapshot_index - 1 :]
        if self.membership_index >= index:
            self.find_membership()

    def find_membership(self) -> None:
        """Sets the membership from the newest entry that changes it, or else from the snapshot."""
        self.membership = self.snapshot_membership
        self.membership_index = self.snapshot_index
        for index in range(self.last_index, self.snapshot_index, -1):
            if self.entry_at(index).kind is EntryKind.MEMBERSHIP:
                self.membership = self.entry_at(index).data
                self.membership_index = index
                return

    def compact(self, index: int, snapshot: bytes) -> None:
        """Replaces the entries up to an index by a snapshot that covers them."""
        compacted = self.entries[: index - self.snapshot_index]
        for entry in compacted:
            if entry.kind is EntryKind.MEMBERSHIP:
                self.snapshot_membership = entry.data
        self.snapshot_term = self.term_at(index)
        self.entries = self.entries[len(compacted) :]
        self.snapshot_index = index
        self.snapshot = snapshot
        self.find_membership()
