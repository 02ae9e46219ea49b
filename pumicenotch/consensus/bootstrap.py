"""How the first membership of a cluster comes to be.

A process that starts knows nothing: it is a new incarnation. Where all configured names are there
and every one of them knows of no cluster, the first by name makes one: each has promised itself to
that founder's incarnation, and takes a membership from nobody else. Where any process knows of a
cluster, none is made ever again: a new process asks to join instead, and the leader replaces its
former incarnation (see `membership_changes.next_membership`).
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
    """A message to a name, not to a voter: nobody knows the incarnation behind it yet."""

    recipient_name: str
    message: BootstrapMessage


class Bootstrap:
    """The part of a voter's process that runs before it has a log."""

    DISCOVERY_INTERVAL_MS = 250.0  # some times as long as a round of messages takes

    def __init__(self, voter_id: VoterId, names: Iterable[str]) -> None:
        self.voter_id = voter_id
        self.names = sorted(names)
        self.promised_founder: VoterId = ""
        self.promised_here: dict[str, VoterId] = {}  # by name: uninitialized, promised to this one
        self.cluster_exists = False
        self.has_log = (
            False  # this process takes part, by whatever way: it is uninitialized no more
        )
        self.membership: ClusterMembership | None = None
        self.next_discovery_ms = 0.0

    @property
    def is_founder(self) -> bool:
        """Whether this process is the first by name."""
        return voter_name(self.voter_id) == self.names[0]

    def on_tick(self, now_ms: float) -> list[SendToName]:
        """A round of discovery where one is due; after the bootstrap, its outcome instead."""
        if now_ms < self.next_discovery_ms:
            return []
        self.next_discovery_ms = now_ms + self.DISCOVERY_INTERVAL_MS
        others = [name for name in self.names if name != voter_name(self.voter_id)]
        if self.is_founder and not self.cluster_exists and self.membership is None:
            self.promised_founder = self.voter_id
            if len(self.promised_here) == len(others):
                voters = sorted([self.voter_id, *self.promised_here.values()])
                self.membership = ClusterMembership(tuple(voters))
                self.next_discovery_ms = 0.0
                return self.on_tick(now_ms)
        message = Discover(self.voter_id) if self.membership is None else self.outcome()
        return [SendToName(name, message) for name in others]

    def outcome(self) -> Bootstrapped:
        """The cluster in which this process takes part from its beginning."""
        assert self.membership is not None
        return Bootstrapped(self.promised_founder, self.membership)

    def receive(self, sender: VoterId, message: BootstrapMessage) -> list[SendToName]:
        """Takes a message of another process and returns the answers.

        Raises:
            MessageDecodeError: The message names another process as its sender.
        """
        if not isinstance(message, Bootstrapped) and message.sender != sender:
            raise MessageDecodeError("bootstrap", f"{message!r:.80} comes from {sender}")
        match message:
            case Discover():
                return [
                    SendToName(voter_name(sender), answer) for answer in self.on_discover(sender)
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
        """What this process knows of a cluster."""
        if self.membership is not None:
            return [Initialized(self.voter_id), self.outcome()]
        if self.has_log:
            return [Initialized(self.voter_id)]
        if voter_name(sender) == self.names[0]:
            self.promised_founder = sender  # a founder that has restarted made no cluster before
        return [Uninitialized(self.voter_id, self.promised_founder)]

    def on_promise(self, sender: VoterId) -> None:
        """An uninitialized process has promised itself to this one."""
        if self.is_founder:
            self.promised_here[voter_name(sender)] = sender

    def on_bootstrapped(self, message: Bootstrapped) -> None:
        """Takes the membership from the founder that this process has promised itself to."""
        is_uninitialized = self.membership is None and not self.has_log
        is_promised = message.founder == self.promised_founder
        if is_uninitialized and is_promised and self.voter_id in message.membership.voters:
            self.membership = message.membership
