"""A voter's part in the distribution, between its hub and a `VoterSource`: it serves relays from the book of
publications, and tells operators who is current.
"""

import random
from typing import Any, cast

from pumicenotch.distribution import effects, events
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.instance_settings import InstanceSettings
from pumicenotch.distribution.publications.book import Publications
from pumicenotch.distribution.source.source import log_of
from pumicenotch.distribution.source.voter_source import VoterSource
from pumicenotch.fleet.replicated.subject import ReplicatedSubject
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.membership.messages import Update
from pumicenotch.net.configuration import STATUS, Carrier, NotLeaderError, self_of
from pumicenotch.net.peers import PeerHub


def make_subjects_of(settings: InstanceSettings) -> tuple[ReplicatedSubject, ...]:
    """What a voter's state holds beside the fleet's own subjects, empty."""
    return (Publications(tables=settings.tables(), log=log_of(settings.settings)),)


class VoterCarrier(Carrier):
    """Of a voter."""

    def __init__(
        self, hub: PeerHub, node: VoterNode, settings: InstanceSettings, seed: int
    ) -> None:
        """The book of publications is among the node's."""
        super().__init__(hub)
        self.node = node
        self.source = VoterSource(
            self_of(node.me), self.publications, random.Random(seed), settings=settings.settings
        )
        self.version = self.publications.version
        self.leadership = node.leadership()

    @property
    def publications(self) -> Publications:
        """Of the agreed state as it is now: a snapshot puts another in its place."""
        return cast(Publications, self.node.state.subjects[Publications.name])

    def step(self, now_ms: float, event: events.VoterEvent) -> list[effects.Effect]:
        return self.source.step(now_ms, event)

    def run(self) -> None:
        super().run()
        self.put(events.LeaderChanged(*self.leadership))

    def after_put(self) -> None:
        if (leadership := self.node.leadership()) != self.leadership:
            self.leadership = leadership
            self.put(events.LeaderChanged(*leadership))
        publications = self.publications
        if publications is not self.source.publications or publications.version != self.version:
            self.source.publications, self.version = publications, publications.version
            self.put(events.Published(self.version))

    def member_changed(self, update: Update) -> None:
        """A voter serves whoever subscribes."""

    def answer(self, verb: str, args: Any) -> dict[str, Any]:
        """Only the leader knows who is current."""
        if verb == STATUS and not self.node.leads:
            raise NotLeaderError(self.node.leadership().address)
        return super().answer(verb, args)

    def holds(self, table: str, scope: str) -> bool:
        return True

    @property
    def view(self) -> View:
        return self.publications.view

    def age_ms(self) -> float:
        return self.source.age_ms(self.timer.now())

    def status(self) -> dict[str, Any]:
        members = self.node.state.members.values()
        names = [each.name for each in members if each.incarnation and not each.voter]
        return self.source.status(self.timer.now(), names)
