"""The inputs of `Voter.step`."""

from typing import Any, NamedTuple

from pumicenotch.consensus.messages import ClusterMembership, Message, VoterId


class Tick(NamedTuple):
    """Time has advanced; the voter checks its own timers."""


class MessageReceived(NamedTuple):
    """A message from another voter has been received."""

    sender: VoterId
    message: Message


class Persisted(NamedTuple):
    """The `Persist` effect of this serial and all earlier ones are durable."""

    serial: int


class Propose(NamedTuple):
    """Appends a command to the log; ignored unless this voter is the leader."""

    command: Any


class RequestRead(NamedTuple):
    """Requests a linearizable read; `ReadReady` or `ReadFailed` with the same key answers it."""

    key: Any


class ChangeMembership(NamedTuple):
    """Appends a change of at most one voter; ignored while no change can be made."""

    membership: ClusterMembership


class TransferLeadership(NamedTuple):
    """Transfers the leadership to `target`, or if it is "" to the most up-to-date voter."""

    target: VoterId


Input = (
    Tick
    | MessageReceived
    | Persisted
    | Propose
    | RequestRead
    | ChangeMembership
    | TransferLeadership
)
