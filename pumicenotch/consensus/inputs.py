"""What happens to a voter: everything that `Voter.step` takes."""

from typing import Any, NamedTuple

from pumicenotch.consensus.messages import ClusterMembership, Message, VoterId


class Tick(NamedTuple):
    """Time has passed; due or not is for the voter to see."""


class MessageReceived(NamedTuple):
    """A message of another voter."""

    sender: VoterId
    message: Message


class Persisted(NamedTuple):
    """The write of that serial, and all before it, are durable."""

    serial: int


class Propose(NamedTuple):
    """Append the command to the log; without effect where this voter does not lead."""

    command: Any


class RequestRead(NamedTuple):
    """Confirm that this voter still leads: answered by `ReadReady` or `ReadFailed` with the key."""

    key: Any


class ChangeMembership(NamedTuple):
    """Append a change of at most one voter; without effect where it cannot be made now."""

    membership: ClusterMembership


class TransferLeadership(NamedTuple):
    """Hand leadership over to the target, or to the most advanced voter where it is empty."""

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
