"""A voter's part in the distribution, between its hub and a `VoterSource`.

It serves relays from the publications that are agreed, and tells operators who is current.
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
from pumicenotch.net.configuration import STATUS_VERB, DistributionService, NotLeaderError, self_of
from pumicenotch.net.peers import PeerHub


def make_subjects_of(settings: InstanceSettings) -> tuple[ReplicatedSubject, ...]:
    """What a voter's state holds beside the fleet's own subjects, empty."""
    return (Publications(tables=settings.tables(), log=new_change_log(settings.settings)),)


class VoterDistributionService(DistributionService):
    """The distribution's part in a voter.

    Args:
        hub: Carries its messages.
        node: The voter's node, whose state holds the publications.
        settings: The tables, and the bounds.
        seed: Of the reducer's random choices.
    """

    def __init__(
        self, hub: PeerHub, node: VoterNode, settings: InstanceSettings, seed: int
    ) -> None:
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
        """Has the reducer take an event."""
        return self.source.step(now_ms, event)

    def run(self) -> None:
        """Starts, and tells the reducer who leads."""
        super().run()
        self.put(events.LeaderChanged(*self.leadership))

    def after_put(self) -> None:
        """Tells the reducer of another leader, and of what was published."""
        if (leadership := self.node.leadership()) != self.leadership:
            self.leadership = leadership
            self.put(events.LeaderChanged(*leadership))
        publications = self.publications
        if publications is not self.source.publications or publications.version != self.version:
            self.source.publications = publications
            self.version = publications.version
            self.put(events.Published(self.version))

    def member_changed(self, update: Update) -> None:
        """Does nothing: a voter serves whoever subscribes."""

    def answer(self, verb: str, args: Any) -> dict[str, Any]:
        """Returns the result of a request; only the leader knows who is current."""
        if verb == STATUS_VERB and not self.node.leads:
            raise NotLeaderError(self.node.leadership().address)
        return super().answer(verb, args)

    def has_scope(self, table: str, scope: str) -> bool:
        """Returns True: a voter has all that is published."""
        return True

    @property
    def view(self) -> View:
        """What is published."""
        return self.publications.view

    def age_ms(self) -> float:
        """Returns how long ago the view was known to be current."""
        return self.source.age_ms(self.timer.now())

    def status(self) -> dict[str, Any]:
        """Returns what operators are told."""
        members = self.node.state.members.values()
        names = [member.name for member in members if member.process_id and not member.voter]
        return self.source.status(self.timer.now(), names)
