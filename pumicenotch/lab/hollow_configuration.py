"""The configuration at a hollow instance: by the product's own service, or whole each time."""

import random
from typing import TYPE_CHECKING, Any

from pumicenotch.distribution.context import new_context
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.events import Started, Ticked
from pumicenotch.distribution.instance_settings import InstanceSettings, ScopesOfTable
from pumicenotch.distribution.node import Node
from pumicenotch.lab.configuration_observer import Watched
from pumicenotch.lab.hollow_messages import Spec
from pumicenotch.lab.published import Dataset
from pumicenotch.lab.world import Configuration
from pumicenotch.membership.messages import Update
from pumicenotch.net.configuration import InstanceDistributionService, peer_from_identity

if TYPE_CHECKING:
    from pumicenotch.lab.hollow_instance import HollowHub

LOOK_MS = 200.0  # between looks for a newer version, of an instance that takes each whole


class HollowConfiguration(InstanceDistributionService):
    """The real service; the timer's steps are measured as the hub's are."""

    def __init__(self, watched: Watched, hub: "HollowHub", *rest: Any) -> None:
        super().__init__(hub, *rest)
        self.watched, self.meter = watched, hub.meter

    def put(self, event: Any) -> None:
        if isinstance(event, Ticked):
            with self.meter.step("configuration"):
                super().put(event)
        else:
            super().put(event)

    @property
    def is_relay(self) -> bool:
        return self.node.relay


class WholeConfiguration(HollowConfiguration):
    """As with files: each publication is fetched whole, from the voters, by the same frames. It serves the
    last whole one until the next is there.
    """

    def __init__(
        self,
        watched: Watched,
        hub: "HollowHub",
        settings: InstanceSettings,
        voters: tuple[str, ...],
        seed: int,
    ) -> None:
        super().__init__(watched, hub, settings, voters, seed)
        self.settings, self.addresses, self.chance = settings, voters, random.Random(seed)
        self.served, self.fetching = View(), True
        self.look_at = 0.0

    def member_changed(self, update: Update) -> None:
        """It knows of no relay: the voters are its only sources."""

    def put(self, event: Any) -> None:
        super().put(event)
        now, found = self.timer.now(), self.node.view
        if self.fetching and found.version:
            self.served, self.fetching = found, False
        if not self.fetching and now >= self.look_at:
            self.look_at = now + LOOK_MS
            if self.node.status(now)["newest"] > self.served.version:
                self.fetch()

    def fetch(self) -> None:
        """All anew, by a reducer that holds nothing yet."""
        self.fetching = True
        self.node = Node(
            peer_from_identity(self.hub.node.me),
            self.addresses,
            self.settings.subscribed(),
            new_context(self.chance, self.settings.settings, self.settings.tables()),
            relay_eligible=False,
        )
        super().put(Started())

    @property
    def view(self) -> View:
        return self.served


def configured(spec: Spec, number: int, generation: int, hub: "HollowHub") -> HollowConfiguration:
    """What an instance needs of the configuration, and what gets it."""
    assert spec.configuration is not None
    dataset = Dataset(Configuration(**spec.configuration), spec.zones)
    seed = spec.seed * 1_000_003 + number * 101 + generation
    wanted = dataset.everything() if spec.whole else dataset.subscription(number)
    # Of all scopes none is named: a subscription names some hundred at the most.
    scopes = tuple(
        ScopesOfTable(table, None if spec.whole else tuple(some)) for table, some in wanted.items()
    )
    watched = Watched(number, generation, wanted)
    made = WholeConfiguration if spec.whole else HollowConfiguration
    return made(
        watched, hub, InstanceSettings(scopes, relay=not spec.whole), tuple(spec.voters), seed
    )
