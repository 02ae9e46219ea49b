"""The events that a node or a voter's source handles in `step`."""

from typing import NamedTuple

from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.messages import Message
from pumicenotch.sender import Sender as Sender


class Peer(NamedTuple):
    """An instance in the membership view of this one. Voters come from the configuration instead.

    `process_id` identifies the process of the instance, and is chosen at its start.
    """

    name: str
    zone: str
    region: str
    address: str
    process_id: str
    alive: bool = True


class Started(NamedTuple):
    """The process has started, or has started to use the distribution."""


class Ticked(NamedTuple):
    """The time of the last `WakeAt` has passed."""


class Received(NamedTuple):
    """A message has arrived."""

    sender: Sender
    message: Message


class PeerChanged(NamedTuple):
    """Another instance has joined, left or changed."""

    peer: Peer


class SubscriptionChanged(NamedTuple):
    """The set of scopes that this instance needs has changed."""

    subscription: Subscription


class Published(NamedTuple):
    """The voter's publications are at another version, after a log entry or a loaded snapshot."""

    version: int


class LeaderChanged(NamedTuple):
    """This voter's view of the leader has changed.

    `in_touch` is set while the voter receives messages from the leader or, as the leader, from a
    majority.
    """

    address: str
    is_leader: bool
    in_touch: bool


NodeEvent = Started | Ticked | Received | PeerChanged | SubscriptionChanged
VoterEvent = Started | Ticked | Received | Published | LeaderChanged
