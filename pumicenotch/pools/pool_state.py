"""The state of one pool: its observed demand, its limits and the slots that it uses."""

from pumicenotch.pools.estimators import ArrivalRate, ClippedMean
from pumicenotch.pools.plan import PoolPlan

# The time over which demand is averaged: short enough to follow a shift of classes within a second,
# long enough to smooth random variation.
DEMAND_SPAN_MS = 700.0
# A pool counts as inactive this long after its last request.
ACTIVE_MS = 5000.0
# A pool that uses one slot less than its limit for this long gains a credit of one slot.
CREDIT_SPAN_MS = 400.0
# Bound of the credit's absolute value, in slots. Older deficits are not made up for.
MAX_CREDIT = 1.5
# The number of finished runs from which on the mean slot time is used.
MIN_SLOT_SAMPLES = 3


class PoolState:
    """The state of one pool. All times are in ms; limits and needs are in slots.

    Attributes:
        plan: the configuration of the pool.
        is_reserved: whether the pool has a reserve.
        priority_weight: the mean priority weight of the pool's classes.
        arrivals: the rate of first attempts within their tenants' quotas.
        slot_ms: the mean time that a run holds a slot.
        limit: the slots that the pool may use before other waiting pools.
        fair_slots: the slots that the pool may use on average.
        need: the slots that the pool's demand would occupy.
        reserved_slots: the slots that the pool fills before all others.
        usable_slots: the minimum of `fair_slots` and `need`.
        running: the number of slots in use.
        received: the number of requests received.
        rejected: the number of requests rejected.
        started: the number of runs started.
        last_request_at: when the last request arrived.
    """

    def __init__(self, now: float, plan: PoolPlan, priority_weight: float) -> None:
        self.plan = plan
        self.is_reserved = plan.reserve > 0.0
        self.priority_weight = priority_weight
        self.arrivals = ArrivalRate(now, DEMAND_SPAN_MS)
        self.slot_ms = ClippedMean()
        self.limit = 0.0
        self.fair_slots = 0.0
        self.need = 0.0
        self.reserved_slots = 0.0
        self.usable_slots = 0.0
        self.running = 0
        self.received = 0
        self.rejected = 0
        self.started = 0
        self.last_request_at = float("-inf")
        self._credit = 0.0  # at `_credit_updated_at`
        self._credit_updated_at = now
        self._used_slot_ms = 0.0  # slot time in use between `_credit_updated_at` and `_counted_at`
        self._counted_at = now

    def is_active(self, now: float) -> bool:
        """Returns whether the pool has received a request recently."""
        return now - self.last_request_at < ACTIVE_MS

    def known_slot_ms(self, default_ms: float) -> float:
        """Returns how long a run holds a slot, or the default until enough have finished."""
        return self.slot_ms.value if self.slot_ms.samples >= MIN_SLOT_SAMPLES else default_ms

    def take_slot(self, now: float) -> None:
        """Counts a run that occupies a slot."""
        self._used_slot_ms += self.running * (now - self._counted_at)
        self._counted_at = now
        self.running += 1

    def release_slot(self, now: float) -> None:
        """Counts a run that left its slot."""
        self._used_slot_ms += self.running * (now - self._counted_at)
        self._counted_at = now
        self.running -= 1

    def credit(self, now: float) -> float:
        """Returns how many slots the pool recently used too few; negative if it used too many.

        Requests occupy whole slots, so with few slots a pool cannot meet a fractional limit at any
        moment. The credit makes it meet the limit on average over time.
        """
        used_slot_ms = self._used_slot_ms + self.running * (now - self._counted_at)
        allowed_slot_ms = self.usable_slots * (now - self._credit_updated_at)
        return self._credit + (allowed_slot_ms - used_slot_ms) / CREDIT_SPAN_MS

    def update_credit(self, now: float) -> None:
        """Updates the credit to the current time, before the limits change."""
        self._credit = max(-MAX_CREDIT, min(MAX_CREDIT, self.credit(now)))
        self._credit_updated_at = now
        self._counted_at = now
        self._used_slot_ms = 0.0

    def update_need(self, now: float, default_slot_ms: float) -> float:
        """Updates the need from the observed demand, and returns the mean slot time.

        Args:
            now: the current time, ms.
            default_slot_ms: the slot time to assume until a run has ended.
        """
        slot_ms = self.slot_ms.value or default_slot_ms
        arrivals = self.arrivals
        has_demand = arrivals.new_arrivals or arrivals.decayed_arrivals
        self.need = arrivals.fold(now) * slot_ms if has_demand else 0.0
        return slot_ms

    def set_limits(self, fair_slots: float) -> None:
        """Sets the limits from the allocated slots; the limit is at least the reserve."""
        self.fair_slots = fair_slots
        self.limit = fair_slots if fair_slots > self.reserved_slots else self.reserved_slots
        self.usable_slots = fair_slots if fair_slots < self.need else self.need

    def set_fixed_limit(self, slots: float) -> None:
        """Sets a limit that does not follow demand."""
        self.limit = slots
        self.fair_slots = slots
        self.need = slots
        self.usable_slots = slots
