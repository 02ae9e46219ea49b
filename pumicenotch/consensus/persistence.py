"""Which of a voter's term, vote and entries are durable, and what waits until they are."""

from collections.abc import Iterable
from typing import NamedTuple

from pumicenotch.consensus.effects import Persist, Send
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import VoterId


class UnfinishedWrite(NamedTuple):
    """A write that was asked for and is not durable yet."""

    serial: int
    first_index: int
    last_index: int


class DeferredMessage(NamedTuple):
    """A message that may leave once the write of that serial is durable."""

    serial: int
    send: Send


class Persistence:
    """Turns changes into writes, and defers messages until the writes before them are durable."""

    def __init__(self) -> None:
        self.serial = 0  # of the last write
        self.persisted_serial = 0
        self.persisted_index = 0  # entries up to it are durable
        self.unfinished_writes: list[UnfinishedWrite] = []
        self.deferred_messages: list[DeferredMessage] = []
        self.is_changed = False  # since the last write
        self.first_changed_index = 0  # 0: no entry was changed

    @property
    def is_complete(self) -> bool:
        """Whether every write is durable."""
        return self.serial == self.persisted_serial

    def term_or_vote_changed(self) -> None:
        """The term or the vote is to be written."""
        self.is_changed = True

    def entries_changed(self, first_index: int) -> None:
        """Entries from that index on are to be written."""
        self.is_changed = True
        self.first_changed_index = min(self.first_changed_index or first_index, first_index)
        self.persisted_index = min(self.persisted_index, first_index - 1)

    def snapshot_installed(self, last_included_index: int) -> None:
        """The log was replaced by a snapshot."""
        self.is_changed = True
        self.persisted_index = last_included_index
        self.unfinished_writes = []

    def take_write(self, term: int, voted_for: VoterId, log: Log) -> Persist | None:
        """The write of all that has changed since the last; None where nothing has."""
        if not self.is_changed:
            return None
        self.serial += 1
        first_index = self.first_changed_index or log.last_index + 1
        self.unfinished_writes.append(UnfinishedWrite(self.serial, first_index, log.last_index))
        self.is_changed = False
        self.first_changed_index = 0
        return Persist(self.serial, term, voted_for, first_index, log.entries_from(first_index))

    def defer(self, sends: Iterable[Send]) -> None:
        """Keeps the messages until the last write is durable."""
        self.deferred_messages += [DeferredMessage(self.serial, send) for send in sends]

    def finish_write(self, serial: int) -> list[Send]:
        """All writes up to the serial are durable; returns the messages that may leave now."""
        self.persisted_serial = max(self.persisted_serial, serial)
        while self.unfinished_writes and self.unfinished_writes[0].serial <= serial:
            self.persisted_index = self.unfinished_writes.pop(0).last_index
        # An entry that was replaced since its write is durable only once the replacement is.
        for write in self.unfinished_writes:
            self.persisted_index = min(self.persisted_index, write.first_index - 1)
        released = [
            deferred.send for deferred in self.deferred_messages if deferred.serial <= serial
        ]
        self.deferred_messages = [
            deferred for deferred in self.deferred_messages if deferred.serial > serial
        ]
        return released
