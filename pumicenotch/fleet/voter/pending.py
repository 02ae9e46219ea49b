"""What a leader has on its way for those that asked."""

from typing import Any, NamedTuple

NOBODY = -1  # in the place of a connection: the leader's own proposal, or its asker is gone


class Pending(NamedTuple):
    """A proposal, by its index."""

    term: int
    conn: int
    message: int
    until: float


class PendingRead(NamedTuple):
    """A question that waits until it is known that this process leads still."""

    conn: int
    message: int
    verb: str
    args: tuple[Any, ...]
