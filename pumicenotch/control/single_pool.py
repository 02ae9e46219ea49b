"""The implementation of `Pools` for a server without class pools."""

from collections.abc import Collection

from pumicenotch.control.slot_shares import SlotShares
from pumicenotch.interface import IncomingRequest, SlotOffer, SlotQuery, WaitAllowance

FULL_WAIT = WaitAllowance(1.0, False)


class SinglePool:
    """One pool that contains all classes and all slots."""

    count = 1

    def __init__(self, shares: SlotShares) -> None:
        self._shares = shares

    def pool_of(self, class_index: int) -> int:
        """Returns 0, the only pool."""
        return 0

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """Allows every request the usual wait, and treats none as a retry."""
        return FULL_WAIT

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Offers all slots of the server."""
        return SlotOffer(0, self._shares.total_slots, query.mean_slot_ms, query.has_capacity)

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        """Returns 0 if the pool has a request queued, else None."""
        return 0 if waiting_pools else None

    def _ignore(self, *_: object) -> None:
        """Ignores a notification: a single pool keeps no state."""

    retry_admitted = _ignore
    request_rejected = _ignore
    slot_taken = _ignore
    slot_released = _ignore
    request_finished = _ignore
    tick = _ignore
