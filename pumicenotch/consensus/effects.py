"""The effects that `Voter.step` returns. The process that runs the voter executes them in order."""

from typing import Any, NamedTuple

from pumicenotch.consensus.messages import Entry, Message, VoterId


class Send(NamedTuple):
    """Sends a message. The network may lose, delay or duplicate it."""

    recipient: VoterId
    message: Message


class Persist(NamedTuple):
    """Writes the term, the vote and the entries durably.

    The process reports completion with the `Persisted` input of the same serial. Until then the
    voter withholds every message that depends on the write.
    """

    serial: int
    term: int
    voted_for: VoterId
    first_index: int  # stored entries from this index on are replaced by `entries`
    entries: tuple[Entry, ...]


class ApplyEntry(NamedTuple):
    """Applies a committed entry; issued once per entry, in log order, at voters and learners."""

    log_index: int
    entry: Entry


class RestoreSnapshot(NamedTuple):
    """Replaces the applied state by a snapshot that covers every entry up to `log_index`."""

    log_index: int
    data: bytes


class ReadReady(NamedTuple):
    """Completes a read: a state that has applied `read_index` is linearizable for this read."""

    key: Any
    read_index: int


class ReadFailed(NamedTuple):
    """Rejects a read because this voter is not the leader or has lost the leadership."""

    key: Any


class LeaderChanged(NamedTuple):
    """Reports the leader that this voter knows of; `leader_id` is "" while there is none."""

    leader_id: VoterId
    term: int


class WakeAt(NamedTuple):
    """Requests a `Tick` input at `time_ms`."""

    time_ms: float


Effect = (
    Send | Persist | ApplyEntry | RestoreSnapshot | ReadReady | ReadFailed | LeaderChanged | WakeAt
)
