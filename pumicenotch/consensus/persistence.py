"""Tracks which of a voter's changes are durable and defers the messages that depend on them."""

from collections.abc import Iterable
from typing import NamedTuple

from pumicenotch.consensus.effects import Persist, Send
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import VoterId


class UnfinishedWrite(NamedTuple):
    """A write that was requested and is not durable yet."""

    serial: int
    first_index: int
    last_index: int


class DeferredMessage(NamedTuple):
    """A message that may be sent once the write of this serial is durable."""

    serial: int
    send: Send


class Persistence:
    """Combines changes into writes and defers messages until the writes before them are durable.

    Attributes:
        serial: The serial of the last write.
        persisted_serial: The serial of the last durable write.
        persisted_index: The log index up to which all entries are durable.
        unfinished_writes: The writes that are not durable yet, in order.
        deferred_messages: The messages that wait for a write.
        is_changed: Whether anything has changed since the last write.
        first_changed_index: The lowest index changed since the last write; 0 if no entry was.
    """

    def __init__(self) -> None:
        self.serial = 0
        self.persisted_serial = 0
        self.persisted_index = 0
        self.unfinished_writes: list[UnfinishedWrite] = []
        self.deferred_messages: list[DeferredMessage] = []
        self.is_changed = False
        self.first_changed_index = 0

    @property
    def is_complete(self) -> bool:
        """Whether every write is durable."""
        return self.serial == self.persisted_serial

    def term_or_vote_changed(self) -> None:
        """Records that the term or the vote must be written."""
        self.is_changed = True

    def entries_changed(self, first_index: int) -> None:
        """Records that the entries from an index on must be written."""
        self.is_changed = True
        self.first_changed_index = min(self.first_changed_index or first_index, first_index)
        self.persisted_index = min(self.persisted_index, first_index - 1)

    def snapshot_installed(self, last_included_index: int) -> None:
        """Records that a snapshot has replaced the log and the entries of unfinished writes."""
        self.is_changed = True
        self.persisted_index = last_included_index
        self.unfinished_writes = []

    def take_write(self, term: int, voted_for: VoterId, log: Log) -> Persist | None:
        """Returns the write of all changes since the last write, or None if there are none."""
        if not self.is_changed:
            return None
        self.serial += 1
        first_index = self.first_changed_index or log.last_index + 1
        self.unfinished_writes.append(UnfinishedWrite(self.serial, first_index, log.last_index))
        self.is_changed = False
        self.first_changed_index = 0
        return Persist(self.serial, term, voted_for, first_index, log.entries_from(first_index))

    def defer(self, sends: Iterable[Send]) -> None:
        """Holds messages back until the last write is durable."""
        self.deferred_messages += [DeferredMessage(self.serial, send) for send in sends]

    def finish_write(self, serial: int) -> list[Send]:
        """Marks all writes up to a serial as durable; returns the messages that may be sent now."""
        self.persisted_serial = max(self.persisted_serial, serial)
        while self.unfinished_writes and self.unfinished_writes[0].serial <= serial:
            self.persisted_index = self.unfinished_writes.pop(0).last_index
        # An entry replaced by a later write is durable only once the later write is.
        for write in self.unfinished_writes:
            self.persisted_index = min(self.persisted_index, write.first_index - 1)
        sendable = [
            deferred.send for deferred in self.deferred_messages if deferred.serial <= serial
        ]
        self.deferred_messages = [
            deferred for deferred in self.deferred_messages if deferred.serial > serial
        ]
        return sendable
