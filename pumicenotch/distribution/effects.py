"""What a node or a voter's source asks of its carrier."""

from typing import NamedTuple

from pumicenotch.distribution.protocol.messages import Message


class SendTo(NamedTuple):
    """Told once, without an answer; lost with its connection."""

    address: str
    message: Message


class Log(NamedTuple):
    text: str


class WakeAt(NamedTuple):
    """Put `Ticked` at that time; a later one replaces it. A time that has passed means: as soon as other work
    has had its turn.
    """

    at_ms: float


class InForce(NamedTuple):
    """This instance's view is at that version now."""

    version: int


Effect = SendTo | Log | WakeAt | InForce
