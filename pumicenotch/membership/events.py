"""The events that `SwimMembership.step` takes and the effects that it returns."""

from typing import NamedTuple

from pumicenotch.membership.messages import MemberIdentity, MemberPhase, Message, Update


class Tick(NamedTuple):
    """The time requested by the last `WakeAt` has been reached."""


class MessageReceived(NamedTuple):
    """A message was received from the member that listens at `address`."""

    address: str
    message: Message


class SetPhase(NamedTuple):
    """Changes this member's phase and announces the change."""

    phase: MemberPhase


Event = Tick | MessageReceived | SetPhase


class Send(NamedTuple):
    """Sends a message. The recipient is an address because the name of a seed may be unknown."""

    address: str
    message: Message


class MemberUpdated(NamedTuple):
    """The state, phase or identity known of a member has changed."""

    update: Update


class NameConflict(NamedTuple):
    """A process that started later uses this member's name."""

    namesake: MemberIdentity


class WakeAt(NamedTuple):
    """Requests a `Tick` event at `at_ms`; replaces any earlier request."""

    at_ms: float


Effect = Send | MemberUpdated | NameConflict | WakeAt
