"""What a leader has under way for those that asked."""

from typing import Any, NamedTuple

NO_CONNECTION = -1  # the leader's own proposal, or its client is gone


class PendingProposal(NamedTuple):
    """A proposed entry whose client waits for agreement; kept by log index."""

    term: int
    connection_id: int
    message_id: int
    expires_at_ms: float


class PendingRead(NamedTuple):
    """A read that waits until it is known that this process still leads."""

    connection_id: int
    message_id: int
    verb: str
    args: tuple[Any, ...]
