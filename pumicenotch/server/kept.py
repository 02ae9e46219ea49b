"""Kept entries: by them a repeat of a fingerprinted task is known, and served from the first try's result."""

from pumicenotch.interface import Outcome
from pumicenotch.server.tasks import Held, InvalidRequestError


class Entry:
    def __init__(self, held: Held, until: float) -> None:
        self.token, self.mark, self.owner, self.until = held.token, held.mark, held.id, until
        self.ran = False
        self.result = b""
        self.outcome: Outcome | None = (
            None  # None while its run is not over; OK while its result is kept
        )
        self.waiting: list[Held] = []

    @property
    def runs(self) -> bool:
        return self.ran and self.outcome is None


class Kept:
    """Results beyond `most` bytes are let go from the oldest on, and their repeats answered as failed."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.entries: dict[str, Entry] = {}
        self.by_owner: dict[int, Entry] = {}
        self.bytes = self.dropped = 0

    def same(self, held: Held, arrived: float) -> int | None:
        """The task that one arrived then repeats. Entries outlive their time by a time limit, since a repeat
        may be read long after it reached the machine, as after a freeze. All tries of a task carry the same
        body: another under its token is no try of it, and its result is none of the sender's.
        """
        entry = self.entries.get(held.token)
        if entry is None or not (entry.runs or arrived <= entry.until):
            return None
        if entry.mark != held.mark:
            raise InvalidRequestError("another body under that token")
        return entry.owner

    def keep(self, held: Held, until: float) -> None:
        if held.token in self.entries:
            self.remove(self.entries[held.token])
        self.entries[held.token] = self.by_owner[held.id] = Entry(held, until)

    def remove(self, entry: Entry) -> None:
        del self.entries[entry.token], self.by_owner[entry.owner]
        self.bytes -= len(entry.result)

    def forget(self, owner: int, proven: bool = False) -> list[Held]:
        """Lets an entry go whose task has not run (as is proven for one that was started), and returns the
        repeats that waited for it.
        """
        entry = self.by_owner.get(owner)
        if entry is None or (entry.ran and not proven):
            return []
        self.remove(entry)
        return entry.waiting

    def expire(self, owner: int) -> bool:
        """Whether the entry is gone: one whose run goes on stays."""
        entry = self.by_owner.get(owner)
        if entry is None:
            return True
        if not entry.runs:
            self.remove(entry)
        return not entry.runs

    def run(self, held: Held) -> None:
        if held.id in self.by_owner:
            self.by_owner[held.id].ran = True

    def reuse(self, held: Held) -> Entry | None:
        """The entry that the task is served from; while its run goes on the task waits there."""
        entry = self.entries.get(held.token) if held.token else None
        if entry is not None and entry.outcome is None:
            entry.waiting.append(held)
        return entry

    def ended(self, held: Held, outcome: Outcome, result: bytes) -> list[Held]:
        """Keeps the result of a run, and returns the repeats that wait for it."""
        entry = self.by_owner.get(held.id)
        if entry is None:
            return []
        entry.outcome = outcome
        if outcome is Outcome.OK:
            entry.result = result
            self.bytes += len(result)
            self.shrink()
        waiting, entry.waiting = entry.waiting, []
        return waiting

    def shrink(self) -> None:
        for entry in self.entries.values():
            if self.bytes <= self.most:
                return
            if entry.outcome is Outcome.OK:
                self.bytes -= len(entry.result)
                entry.result, entry.outcome = b"", Outcome.ERROR
                self.dropped += 1
