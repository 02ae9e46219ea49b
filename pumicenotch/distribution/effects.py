"""What a node or a voter's source asks of its carrier."""

from typing import NamedTuple

from pumicenotch.distribution.protocol.messages import Message


class SendTo(NamedTuple):
    """Send a message once; it is lost with its connection."""

    address: str
    message: Message


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


class WakeAt(NamedTuple):
    """Put in `Ticked` at that time; a later one replaces it.

    A time that has passed means: as soon as other work has had its turn.
    """

    at_ms: float


class InForce(NamedTuple):
    """This instance's view is at that version now."""

    version: int


Effect = SendTo | Log | WakeAt | InForce
