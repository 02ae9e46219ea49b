"""The log as one voter has it: a snapshot's end, and the entries after it. Indexes count from 1."""

from pumicenotch.consensus.messages import Entry, Seats


class Log:
    def __init__(self, seats: Seats, base: int = 0, base_term: int = 0, state: bytes = b"") -> None:
        self.seats_at_base, self.base, self.base_term, self.state = seats, base, base_term, state
        self.entries: list[Entry] = []
        self.seats = seats  # as of the newest entry that says, agreed or not (thesis, 4.1)
        self.seats_index = base

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term(self, index: int) -> int:
        """-1 for what is not there: before the snapshot's end, or after the last."""
        if index == self.base:
            return self.base_term
        if not self.base < index <= self.last:
            return -1
        return self.entries[index - self.base - 1].term

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.base - 1]

    def since(self, index: int, most: int) -> tuple[Entry, ...]:
        return tuple(self.entries[index - self.base - 1 : index - self.base - 1 + most])

    def append(self, entry: Entry) -> None:
        self.entries.append(entry)
        if entry.kind == "seats":
            self.seats, self.seats_index = entry.data, self.last

    def cut(self, index: int) -> None:
        """Takes out everything from that index on."""
        del self.entries[index - self.base - 1 :]
        if self.seats_index >= index:
            self.find_seats()

    def find_seats(self) -> None:
        self.seats, self.seats_index = self.seats_at_base, self.base
        for index in range(self.last, self.base, -1):
            if self.entry(index).kind == "seats":
                self.seats, self.seats_index = self.entry(index).data, index
                return

    def compact(self, index: int, state: bytes) -> None:
        """All up to that index is in `state` from now on."""
        kept = self.entries[index - self.base :]
        for entry in self.entries[: index - self.base]:
            if entry.kind == "seats":
                self.seats_at_base = entry.data
        self.base_term, self.base, self.entries, self.state = self.term(index), index, kept, state
        self.find_seats()
