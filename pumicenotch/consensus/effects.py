"""What a voter asks of the process that runs it, in the order in which it is to be done."""

from typing import Any, NamedTuple

from pumicenotch.consensus.messages import Entry, Message, VoterId


class Send(NamedTuple):
    """Send the message; it may be lost, delayed or delivered twice."""

    recipient: VoterId
    message: Message


class Persist(NamedTuple):
    """Write this durably, then give `Persisted` with the serial.

    Nothing that rests on it is sent before.
    """

    serial: int
    term: int
    voted_for: VoterId
    first_index: int  # entries from this index on are replaced by these
    entries: tuple[Entry, ...]


class ApplyEntry(NamedTuple):
    """The entry is committed: it comes once, in order of the log, at every voter and learner."""

    log_index: int
    entry: Entry


class RestoreSnapshot(NamedTuple):
    """The state as of that index, in the place of every ApplyEntry up to it."""

    log_index: int
    data: bytes


class ReadReady(NamedTuple):
    """A state with the log applied up to the read index is no older than the requested read."""

    key: Any
    read_index: int


class ReadFailed(NamedTuple):
    """This voter cannot answer the read: it does not lead, or has lost its leadership since."""

    key: Any


class LeaderChanged(NamedTuple):
    """Who leads as far as this voter knows; "": nobody."""

    leader_id: VoterId
    term: int


class WakeAt(NamedTuple):
    """Give `Tick` at that time."""

    time_ms: float


Effect = (
    Send | Persist | ApplyEntry | RestoreSnapshot | ReadReady | ReadFailed | LeaderChanged | WakeAt
)
