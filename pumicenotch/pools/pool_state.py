"""What is observed of one pool, and what follows from it."""

from pumicenotch.pools.estimators import ArrivalRate, ClippedMean
from pumicenotch.pools.plan import PoolPlan

# Demand is a mean over this time: a shift of classes shows within a second, chance less so.
DEMAND_SPAN_MS = 700.0
# After its last request a pool counts as one that nobody sends to.
ACTIVE_MS = 5000.0
# A slot below the limit for so long counts as one missed.
CREDIT_SPAN_MS = 400.0
# In slots, either way: what was missed long ago is not made up for.
MAX_CREDIT = 1.5
# Finished runs from which on their mean time is known.
MIN_SLOT_SAMPLES = 3


class PoolState:
    """One pool. Times are in ms, `now` among them; limits and needs are in slots.

    Attributes:
        plan: what the configuration says of it.
        priority_weight: the mean weight of its classes.
        arrivals: first attempts within their tenants' quotas.
        slot_ms: how long a run holds a slot.
        limit: what it may use before others that wait.
        fair_slots: what it comes to on average.
        need: what its demand would hold.
        reserved_slots: what it fills before all others.
        usable_slots: the lesser of `fair_slots` and `need`.
        running: the slots that it uses now.
        received, rejected, started: counts of requests.
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
        self._credit = 0.0  # up to the last settlement
        self._settled_at = now
        self._used_slot_ms = 0.0  # since the last settlement, up to `_counted_at`
        self._counted_at = now

    def is_active(self, now: float) -> bool:
        """Whether its classes are being sent."""
        return now - self.last_request_at < ACTIVE_MS

    def known_slot_ms(self, default_ms: float) -> float:
        """Return how long a run holds a slot, or the default until enough have finished."""
        return self.slot_ms.value if self.slot_ms.samples >= MIN_SLOT_SAMPLES else default_ms

    def take_slot(self, now: float) -> None:
        """Count one more running request."""
        self._used_slot_ms += self.running * (now - self._counted_at)
        self._counted_at = now
        self.running += 1

    def release_slot(self, now: float) -> None:
        """Count one running request less."""
        self._used_slot_ms += self.running * (now - self._counted_at)
        self._counted_at = now
        self.running -= 1

    def credit(self, now: float) -> float:
        """Return the slots that it has missed lately, below 0 those that it had too many.

        Whole requests in few slots cannot keep to a fractional limit at any moment; over time they
        do by this.
        """
        used_slot_ms = self._used_slot_ms + self.running * (now - self._counted_at)
        due_slot_ms = self.usable_slots * (now - self._settled_at)
        return self._credit + (due_slot_ms - used_slot_ms) / CREDIT_SPAN_MS

    def settle(self, now: float) -> None:
        """Bring its credit up to now, before its limits change."""
        self._credit = max(-MAX_CREDIT, min(MAX_CREDIT, self.credit(now)))
        self._settled_at = now
        self._counted_at = now
        self._used_slot_ms = 0.0

    def update_need(self, now: float, default_slot_ms: float) -> float:
        """Bring its need up to now, and return how long a run holds a slot."""
        slot_ms = self.slot_ms.value or default_slot_ms
        arrivals = self.arrivals
        has_demand = arrivals.new_arrivals or arrivals.decayed_arrivals
        self.need = arrivals.fold(now) * slot_ms if has_demand else 0.0
        return slot_ms

    def set_limits(self, fair_slots: float) -> None:
        """Take what the allocation gives; a reserve may always be filled."""
        self.fair_slots = fair_slots
        self.limit = fair_slots if fair_slots > self.reserved_slots else self.reserved_slots
        self.usable_slots = fair_slots if fair_slots < self.need else self.need

    def set_fixed_limit(self, slots: float) -> None:
        """Take a limit that does not follow demand."""
        self.limit = slots
        self.fair_slots = slots
        self.need = slots
        self.usable_slots = slots
