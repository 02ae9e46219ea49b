"""Connects a voter's `VoterSource` with its peer hub.

A voter serves the agreed publications to relays and reports to operators which members are current.
"""

import random
from typing import Any, cast

from pumicenotch.distribution import effects, events
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.source.source import new_change_log
from pumicenotch.distribution.source.voter_source import VoterSource
from pumicenotch.fleet.replicated.subject import ReplicatedSubject
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.membership.messages import Update
from pumicenotch.net.configuration import (
    STATUS_VERB,
    DistributionService,
    NotLeaderError,
    peer_from_identity,
)
from pumicenotch.net.peers import PeerHub


def make_distribution_subjects(settings: InstanceSettings) -> tuple[ReplicatedSubject, ...]:
    """Returns the initial replicated subjects of the distribution for a voter's state."""
    return (Publications(tables=settings.tables(), log=new_change_log(settings.settings)),)


class VoterDistributionService(DistributionService):
    """The configuration distribution in a voter, which serves the publications to relays.

    Args:
        hub: Sends and receives the messages.
        node: The voter's node, whose state contains the publications.
        settings: The tables and limits of the distribution.
        seed: Seed of the reducer's random choices.
    """

    def __init__(
        self, hub: PeerHub, node: VoterNode, settings: InstanceSettings, seed: int
    ) -> None:
        super().__init__(hub)
        self.node = node
        self.source = VoterSource(
            peer_from_identity(node.me),
            self.publications,
            random.Random(seed),
            settings=settings.settings,
        )
        self.version = self.publications.version
        self.leadership = node.leadership()

    @property
    def publications(self) -> Publications:
        """The publications in the current agreed state; a snapshot replaces the object."""
        return cast(Publications, self.node.state.subjects[Publications.name])

    def step(self, now_ms: float, event: events.VoterEvent) -> list[effects.Effect]:
        """Passes an event to the reducer and returns its effects."""
        return self.source.step(now_ms, event)

    def run(self) -> None:
        """Starts the service and passes the current leadership to the reducer."""
        super().run()
        self.put(events.LeaderChanged(*self.leadership))

    def after_put(self) -> None:
        """Passes a changed leadership and new publications to the reducer."""
        if (leadership := self.node.leadership()) != self.leadership:
            self.leadership = leadership
            self.put(events.LeaderChanged(*leadership))
        publications = self.publications
        if publications is not self.source.publications or publications.version != self.version:
            self.source.publications = publications
            self.version = publications.version
            self.put(events.Published(self.version))

    def member_changed(self, update: Update) -> None:
        """Does nothing; a voter serves any subscriber."""

    def answer(self, verb: str, args: Any) -> dict[str, Any]:
        """Returns the result of a request.

        Raises:
            NotLeaderError: A status request to a follower, which does not know who is current.
            PumicenotchError: The request cannot be answered.
        """
        if verb == STATUS_VERB and not self.node.leads:
            raise NotLeaderError(self.node.leadership().address)
        return super().answer(verb, args)

    def has_scope(self, table: str, scope: str) -> bool:
        """Returns True; a voter holds all publications."""
        return True

    @property
    def view(self) -> View:
        """The published configuration."""
        return self.publications.view

    def age_ms(self) -> float:
        """Returns the time in ms since the view was last known to be current."""
        return self.source.age_ms(self.timer.now())

    def status(self) -> dict[str, Any]:
        """Returns the status that operators request."""
        members = self.node.state.members.values()
        names = [member.name for member in members if member.process_id and not member.voter]
        return self.source.status(self.timer.now(), names)
