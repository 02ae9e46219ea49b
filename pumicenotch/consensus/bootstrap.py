"""Bootstrap: how the voters of a new cluster agree on its first membership.

A process has an empty log when it starts and is a new incarnation of its name. While no cluster
exists, the process whose name sorts first is the founder. It creates the cluster once every
configured process has answered that it knows of no cluster and has promised itself to the
founder's incarnation. A process accepts a first membership only from the incarnation to which it
is promised, so two clusters cannot be created. Once any process knows of a cluster, none is created
again: a process that starts later asks to join, and the leader replaces its former incarnation (see
`membership_changes.next_membership`).
"""

from collections.abc import Iterable
from typing import NamedTuple

from pumicenotch.consensus.messages import (
    BootstrapMessage,
    Bootstrapped,
    ClusterMembership,
    Discover,
    Initialized,
    MessageDecodeError,
    Uninitialized,
    VoterId,
    voter_name,
)


class SendToName(NamedTuple):
    """A message addressed to a name, because the recipient's incarnation is not known yet."""

    recipient_name: str
    message: BootstrapMessage


class Bootstrap:
    """The state of a voter's process before it has a log.

    Args:
        voter_id: This process.
        names: The names of all configured voters, this one included.

    Attributes:
        promised_founder: The founder's incarnation whose first membership this process accepts; ""
            if there is none.
        promises_by_name: At the founder, the processes that are promised to it.
        cluster_exists: Whether another process has answered that it knows of a cluster.
        has_log: Whether this process takes part in a cluster, founded or joined.
        membership: The first membership of the cluster, if this process helped to found it.
    """

    DISCOVERY_INTERVAL_MS = 250.0  # several round trips between voters

    def __init__(self, voter_id: VoterId, names: Iterable[str]) -> None:
        self.voter_id = voter_id
        self.names = sorted(names)
        self.promised_founder: VoterId = ""
        self.promises_by_name: dict[str, VoterId] = {}
        self.cluster_exists = False
        self.has_log = False
        self.membership: ClusterMembership | None = None
        self.next_discovery_ms = 0.0

    @property
    def is_founder(self) -> bool:
        """Whether this process's name sorts first."""
        return voter_name(self.voter_id) == self.names[0]

    def on_tick(self, now_ms: float) -> list[SendToName]:
        """Returns the messages of a discovery round, or none before the next round is scheduled.

        Once the cluster is founded, the first membership is sent in place of the discovery.
        """
        if now_ms < self.next_discovery_ms:
            return []
        self.next_discovery_ms = now_ms + self.DISCOVERY_INTERVAL_MS
        others = [name for name in self.names if name != voter_name(self.voter_id)]
        if self.is_founder and not self.cluster_exists and self.membership is None:
            self.promised_founder = self.voter_id
            if len(self.promises_by_name) == len(others):
                voters = sorted([self.voter_id, *self.promises_by_name.values()])
                self.membership = ClusterMembership(tuple(voters))
                self.next_discovery_ms = 0.0
                return self.on_tick(now_ms)
        message = Discover(self.voter_id) if self.membership is None else self.bootstrapped()
        return [SendToName(name, message) for name in others]

    def bootstrapped(self) -> Bootstrapped:
        """Returns the message that announces the founder and the first membership."""
        assert self.membership is not None
        return Bootstrapped(self.promised_founder, self.membership)

    def receive(self, sender: VoterId, message: BootstrapMessage) -> list[SendToName]:
        """Handles a message of another process and returns the responses.

        Raises:
            MessageDecodeError: The message names a process other than its sender.
        """
        if not isinstance(message, Bootstrapped) and message.sender != sender:
            raise MessageDecodeError("bootstrap", f"{message!r:.80} was sent by {sender}")
        match message:
            case Discover():
                return [
                    SendToName(voter_name(sender), response)
                    for response in self.on_discover(sender)
                ]
            case Uninitialized(_, promised_founder):
                if promised_founder == self.voter_id and voter_name(sender) in self.names:
                    self.on_promise(sender)
            case Initialized():
                self.cluster_exists = True
            case Bootstrapped():
                self.on_bootstrapped(message)
        return []

    def on_discover(self, sender: VoterId) -> list[BootstrapMessage]:
        """Returns what this process knows of a cluster, and promises itself to a founder.

        A founder that restarts loses any cluster that it had begun to found. The promise moves to
        its new incarnation, so a late first membership of the former one is rejected.
        """
        if self.membership is not None:
            return [Initialized(self.voter_id), self.bootstrapped()]
        if self.has_log:
            return [Initialized(self.voter_id)]
        if voter_name(sender) == self.names[0]:
            self.promised_founder = sender
        return [Uninitialized(self.voter_id, self.promised_founder)]

    def on_promise(self, sender: VoterId) -> None:
        """Records, at the founder, that an uninitialized process has promised itself to it."""
        if self.is_founder:
            self.promises_by_name[voter_name(sender)] = sender

    def on_bootstrapped(self, message: Bootstrapped) -> None:
        """Accepts the first membership if it comes from the founder promised by this process."""
        is_uninitialized = self.membership is None and not self.has_log
        is_promised = message.founder == self.promised_founder
        if is_uninitialized and is_promised and self.voter_id in message.membership.voters:
            self.membership = message.membership
