"""When and with whom all that is known is exchanged: it heals what gossip has missed."""

import random
from collections.abc import Iterable, Iterator, Sequence

from pumicenotch.membership.member_table import MemberTable
from pumicenotch.membership.messages import MAX_UPDATES_PER_MESSAGE, FullState, Update

# Between two exchanges, in protocol periods. The first ones follow sooner.
MAX_EXCHANGE_PERIODS = 15
# After the first exchange so many go to seeds: processes started together meet there.
SEED_EXCHANGES = 4


class FullStateExchange:
    """The schedule of this member's full state exchanges. Times are in ms."""

    def __init__(self, now: float, period_ms: float, seeds: Sequence[str]) -> None:
        self.next_at = now
        self.count = 0
        self._period_ms = period_ms
        self._seeds = seeds

    def is_scheduled(self, now: float) -> bool:
        """Whether the next exchange is to begin."""
        return now >= self.next_at

    def choose_peer(self, now: float, table: MemberTable, rng: random.Random) -> str | None:
        """Return the address for an exchange that begins now, and schedule the next.

        At first it is a seed, so that no two groups form; then in turn a live member, a dead one
        (so that the two sides of a healed partition find each other) and a seed.
        """
        # Sooner at first: a new member knows few, and few know it.
        periods = min(MAX_EXCHANGE_PERIODS, 2.0**self.count)
        self.next_at = now + periods * self._period_ms
        self.count += 1
        alive = table.addresses_of(sorted(table.alive()))
        dead = table.addresses_of(sorted(table.dead()))
        turns = (alive, dead, self._seeds)
        preferred = self._seeds if self.count <= SEED_EXCHANGES else turns[self.count % len(turns)]
        candidates = preferred or self._seeds or alive
        if not alive:
            self.next_at = now + self._period_ms
            self.count = 0
        return rng.choice(candidates) if candidates else None


def pages(updates: Iterable[Update], reply_wanted: bool) -> Iterator[FullState]:
    """Divide updates into messages; a reply is wanted to the last of them alone."""
    known = tuple(updates)
    for start in range(0, len(known), MAX_UPDATES_PER_MESSAGE):
        end = start + MAX_UPDATES_PER_MESSAGE
        yield FullState(known[start:end], reply_wanted and end >= len(known))
