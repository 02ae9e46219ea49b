"""An instance's part in the distribution: its replica, and a source for others where it is a relay."""

import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import Any

from pumicenotch.distribution.effects import Effect
from pumicenotch.distribution.errors import DistributionError
from pumicenotch.distribution.events import NodeEvent, Peer
from pumicenotch.distribution.settings import DEFAULTS, Settings
from pumicenotch.distribution.subscription import Subscription
from pumicenotch.distribution.tables import TABLES, Table


class Node:
    """`step` is the one way in. `me` is this instance, `voters` their addresses."""

    def __init__(
        self,
        me: Peer,
        voters: Sequence[str],
        subscription: Subscription,
        chance: random.Random,
        *,
        settings: Settings = DEFAULTS,
        tables: Mapping[str, Table] = TABLES,
    ) -> None:
        self.me = me
        self.voters = tuple(voters)
        self.counts: Counter[str] = Counter()

    def step(self, now_ms: float, event: NodeEvent) -> list[Effect]:
        raise NotImplementedError

    @property
    def error(self) -> DistributionError | None:
        """What keeps this copy behind, if anything does."""
        raise NotImplementedError

    def age_ms(self, now_ms: float) -> float:
        """How long ago this copy was known to be current; infinite before it ever was."""
        raise NotImplementedError

    def status(self, now_ms: float) -> dict[str, Any]:
        """For operators: version, age, sources, role, error with remedy."""
        raise NotImplementedError
