"""The inputs of `SwimMembership.step` and the effects that it asks of its carrier."""

from typing import NamedTuple

from pumicenotch.membership.messages import MemberIdentity, MemberPhase, Message, Update


class Tick(NamedTuple):
    """The time of a `WakeAt` has come."""


class MessageReceived(NamedTuple):
    """A message from the member that listens at `address`."""

    address: str
    message: Message


class SetPhase(NamedTuple):
    """This member enters another phase, and announces it."""

    phase: MemberPhase


Event = Tick | MessageReceived | SetPhase


class Send(NamedTuple):
    """Send a message. The receiver is an address, since a seed's name is not known at first."""

    address: str
    message: Message


class MemberUpdated(NamedTuple):
    """What is known of a member has changed."""

    update: Update


class NameConflict(NamedTuple):
    """A later process uses this member's name."""

    namesake: MemberIdentity


class WakeAt(NamedTuple):
    """Put in a `Tick` at that time; the latest one replaces those before."""

    at_ms: float


Effect = Send | MemberUpdated | NameConflict | WakeAt
