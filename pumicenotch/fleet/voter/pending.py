"""Requests that a leader has not answered yet."""

from typing import Any, NamedTuple

# Connection id of the leader's own proposals, and of proposals whose client has disconnected.
NO_CONNECTION = -1


class PendingProposal(NamedTuple):
    """A proposed entry whose client waits until it is applied; stored by log index."""

    term: int
    connection_id: int
    message_id: int
    expires_at_ms: float


class PendingRead(NamedTuple):
    """A read that waits for confirmation that this process still leads."""

    connection_id: int
    message_id: int
    verb: str
    args: tuple[Any, ...]
