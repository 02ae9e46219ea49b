"""A voter's part in the distribution: it serves relays from the book, and tells the leader who is current."""

import random
from collections import Counter
from collections.abc import Iterable
from typing import Any

from pumicenotch.distribution.effects import Effect
from pumicenotch.distribution.events import Peer, VoterEvent
from pumicenotch.distribution.publications import Publications
from pumicenotch.distribution.settings import DEFAULTS, Settings


class VoterSource:
    """`step` is the one way in. It reads `publications` and never changes them."""

    def __init__(
        self, me: Peer, publications: Publications, chance: random.Random, *, settings: Settings = DEFAULTS
    ) -> None:
        self.me = me
        self.publications = publications
        self.counts: Counter[str] = Counter()

    def step(self, now_ms: float, event: VoterEvent) -> list[Effect]:
        raise NotImplementedError

    def status(self, now_ms: float, members: Iterable[str] = ()) -> dict[str, Any]:
        """For operators, at the leader: how many have the newest version in force, and who has not."""
        raise NotImplementedError
