"""What happens to a node or to a voter's source: the inputs of `step`."""

from typing import NamedTuple

from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol.messages import Message
from pumicenotch.sender import Sender as Sender


class Peer(NamedTuple):
    """An instance, as this one's membership knows it. Voters are no peers: they are configured.

    `process_id` is of its process, drawn at its start.
    """

    name: str
    zone: str
    region: str
    address: str
    process_id: str
    alive: bool = True


class Started(NamedTuple):
    """The process starts, or starts to use the distribution."""


class Ticked(NamedTuple):
    """The time of a `WakeAt` has come."""


class Received(NamedTuple):
    """A message has come."""

    sender: Sender
    message: Message


class PeerChanged(NamedTuple):
    """Another instance has joined, left or changed."""

    peer: Peer


class SubscriptionChanged(NamedTuple):
    """This instance needs other scopes from now on."""

    subscription: Subscription


class Published(NamedTuple):
    """The voter's book is at another version: by an entry of the log, or by a loaded snapshot."""

    version: int


class LeaderChanged(NamedTuple):
    """Another voter leads, as far as this voter knows.

    `in_touch` says whether it hears the leader or, being the leader itself, a majority.
    """

    address: str
    is_leader: bool
    in_touch: bool


NodeEvent = Started | Ticked | Received | PeerChanged | SubscriptionChanged
VoterEvent = Started | Ticked | Received | Published | LeaderChanged
