"""What stands in where no class pools are configured."""

from collections.abc import Collection

from pumicenotch.control.slot_shares import SlotShares
from pumicenotch.interface import IncomingRequest, SlotOffer, SlotQuery, WaitAllowance

FULL_WAIT = WaitAllowance(1.0, False)


class SinglePool:
    """One pool of all classes, which has every slot."""

    count = 1

    def __init__(self, shares: SlotShares) -> None:
        self._shares = shares

    def pool_of(self, class_index: int) -> int:
        """Return the one pool."""
        return 0

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """Allow every request the usual wait; none is taken for a retry."""
        return FULL_WAIT

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Offer every slot."""
        return SlotOffer(0, self._shares.total_slots, query.mean_slot_ms, query.has_capacity)

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        """Return the one pool if it has a request queued."""
        return 0 if waiting_pools else None

    def _ignore(self, *_: object) -> None:
        """Nothing depends on this notice."""

    retry_admitted = _ignore
    request_rejected = _ignore
    slot_taken = _ignore
    slot_released = _ignore
    request_finished = _ignore
    tick = _ignore
