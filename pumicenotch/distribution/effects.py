"""The effects that a node or a voter's source returns from `step`, for its owner to carry out."""

from typing import NamedTuple

from pumicenotch.distribution.protocol.messages import Message


class SendTo(NamedTuple):
    """Sends a message once. The message is lost if its connection fails."""

    address: str
    message: Message


class Log(NamedTuple):
    """Writes a line to the log."""

    text: str


class WakeAt(NamedTuple):
    """Requests a `Ticked` event at a time in milliseconds. A later WakeAt replaces an earlier one.

    If the time has passed, `Ticked` follows as soon as other events have been handled.
    """

    at_ms: float


class InForce(NamedTuple):
    """Announces that a version has come into force at this instance."""

    version: int


Effect = SendTo | Log | WakeAt | InForce
