"""The schedule of full state exchanges, which repair what gossip has missed (push-pull)."""

import random
from collections.abc import Iterable, Iterator, Sequence

from pumicenotch.membership.member_table import MemberTable
from pumicenotch.membership.messages import MAX_UPDATES_PER_MESSAGE, FullState, Update

# The longest interval between two exchanges, in protocol periods. The first intervals are shorter.
MAX_EXCHANGE_PERIODS = 15
# The first exchanges go to seeds, so that processes started together find each other.
SEED_EXCHANGES = 4


class FullStateExchange:
    """Schedules this member's full state exchanges and chooses their peers. Times are in ms.

    Args:
        now_ms: The current time; the first exchange starts at once.
        period_ms: The protocol period.
        seeds: The addresses of members to join by, without this member's own.

    Attributes:
        next_exchange_at_ms: When the next exchange starts.
        exchange_count: The number of exchanges since this member last knew of no live member.
    """

    def __init__(self, now_ms: float, period_ms: float, seeds: Sequence[str]) -> None:
        self.next_exchange_at_ms = now_ms
        self.exchange_count = 0
        self._period_ms = period_ms
        self._seeds = seeds

    def is_scheduled(self, now_ms: float) -> bool:
        """Returns whether the next exchange must start."""
        return now_ms >= self.next_exchange_at_ms

    def choose_peer(self, now_ms: float, table: MemberTable, rng: random.Random) -> str | None:
        """Returns the address of the peer for an exchange now, and schedules the next exchange.

        The first exchanges go to seeds, so that no two separate groups form. Later exchanges go in
        turn to a live member, a dead member (so that the two sides of a healed partition find each
        other) and a seed. Returns None if no address is known.
        """
        # The first intervals are short: a new member knows few members, and few know it.
        periods = min(MAX_EXCHANGE_PERIODS, 2.0**self.exchange_count)
        self.next_exchange_at_ms = now_ms + periods * self._period_ms
        self.exchange_count += 1
        alive = table.addresses_of(sorted(table.alive()))
        dead = table.addresses_of(sorted(table.dead()))
        candidate_groups = (alive, dead, self._seeds)
        preferred = (
            self._seeds
            if self.exchange_count <= SEED_EXCHANGES
            else candidate_groups[self.exchange_count % len(candidate_groups)]
        )
        candidates = preferred or self._seeds or alive
        if not alive:
            self.next_exchange_at_ms = now_ms + self._period_ms
            self.exchange_count = 0
        return rng.choice(candidates) if candidates else None


def paginate(updates: Iterable[Update], reply_wanted: bool) -> Iterator[FullState]:
    """Splits updates into messages; only the last message may request a reply."""
    all_updates = tuple(updates)
    for start in range(0, len(all_updates), MAX_UPDATES_PER_MESSAGE):
        end = start + MAX_UPDATES_PER_MESSAGE
        yield FullState(all_updates[start:end], reply_wanted and end >= len(all_updates))
