"""Class pools as a reducer: which class's requests may start, and how long a new one may wait.

A controller notifies it of what happens, with the time, and asks three questions: how long a
request may wait (`request_received`), in which pool and for how many slots (`reserve_slot`), and
which pool's request starts next (`next_pool`). Which tenant's request starts is for HWCS to say.
The number of slots is the controller's; pools allocate them. No clock and no chance.
"""

from collections.abc import Collection, Mapping, Sequence

from pumicenotch.interface import (
    IncomingRequest,
    RequestClass,
    SlotOffer,
    SlotQuery,
    WaitAllowance,
)
from pumicenotch.pools.allocation import allocate
from pumicenotch.pools.duplicates import DuplicateDetector
from pumicenotch.pools.plan import PoolPlan, PoolsPlan, assign_classes
from pumicenotch.pools.pool_state import PoolState
from pumicenotch.pools.read_backlog import NEGLIGIBLE_WAIT_MS, ReadBacklog
from pumicenotch.pools.retry_budget import RetryBudgets

OVER_QUOTA = "beyond"  # the name in counters of the pool of what is over its tenant's quota
# Of its weight: a server only guesses what is over a tenant's quota in the whole deployment.
OVER_QUOTA_WEIGHT_FRACTION = 0.05
# A lent slot must come back within a second: the mean time to the next end is at most this.
MAX_RETURN_MS = 600.0
# Between two allocations: less than half of the span of demand.
ALLOCATION_PERIOD_MS = 300.0
ALLOCATION_TIMER_SLACK_MS = 1.0
# Slots are allocated at once where their number has changed by more than these ratios.
MIN_TOTAL_RATIO = 0.8
MAX_TOTAL_RATIO = 1.25
# The mean time of a run, until any is known.
INITIAL_SLOT_MS = 100.0
MIN_OFFERED_SLOTS = 0.25
# A need counts as this in a pool's weight where it is lower.
MIN_WEIGHTED_NEED = 0.1
MIN_FIXED_LIMIT = 1.0


class ClassPools:
    """Pools by a plan: the `interface.Pools` of a controller. Times are in ms."""

    def __init__(
        self,
        now: float,
        plan: PoolsPlan,
        classes: Sequence[RequestClass],
        class_indices: Mapping[str, int],
    ) -> None:
        """Create pools without requests.

        Args:
            now: the present time.
            plan: the pools.
            classes: all classes of requests, by index.
            class_indices: the indices of those that have a name.

        Raises:
            InvalidPoolsPlanError: the plan contradicts itself.
        """
        self.plan = plan
        self.running = 0
        self._pool_of_class = assign_classes(plan, class_indices)
        unnamed_classes = len(classes) - len(self._pool_of_class)
        self._pool_of_class += [len(plan.pools) - 1] * unnamed_classes
        self._over_quota_pool = len(plan.pools)
        self.count = self._over_quota_pool + 1
        self.pools = self._initial_states(now, classes)
        self.retry_budgets = RetryBudgets(plan.retry_ratio, plan.retry_burst, plan.max_callers)
        self.duplicates = DuplicateDetector(now, plan.duplicate_window_ms)
        self.read_backlog = ReadBacklog(now, plan.reading_reserve)
        self._marked_retries = 0
        self._duplicate_retries = 0
        self.total_slots = 0
        self._allocated_slots = 0
        self._next_allocation_at = now
        self._mean_slot_ms = INITIAL_SLOT_MS
        self._longest_slot_ms = 0.0  # the longest of the pools' means
        self._has_ceilings = any(pool.max_fraction < 1.0 for pool in plan.pools)
        self._has_unlent_slots = any(not pool.lends_idle_slots for pool in plan.pools)
        # Whether a pool may be kept from a slot though the server has one.
        self._restricts_starts = plan.fixed_limits or self._has_ceilings or self._has_unlent_slots
        self._set_limits(now, 1)

    def _initial_states(self, now: float, classes: Sequence[RequestClass]) -> list[PoolState]:
        states = []
        for index, pool in enumerate((*self.plan.pools, PoolPlan(OVER_QUOTA, ()))):
            weights = [
                request_class.priority_weight
                for request_class, own in zip(classes, self._pool_of_class, strict=False)
                if own == index
            ]
            mean_weight = sum(weights) / len(weights) if weights else 1.0
            states.append(PoolState(now, pool, mean_weight))
        return states

    def pool_of(self, class_index: int) -> int:
        """Return the pool of a class of requests."""
        return self._pool_of_class[class_index]

    # Notifications

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """Notify of a request that is no replay, and return how long it may wait."""
        state = self.pools[pool]
        state.received += 1
        state.last_request_at = now
        is_retry = self._is_retry(now, request)
        is_admissible = True
        if is_retry:
            if not self.retry_budgets.allows(request.caller_id, request.tenant_index):
                self.retry_budgets.exceeded += 1
                is_admissible = False
        elif not self.retry_budgets.is_full(request.caller_id, request.tenant_index):
            self.retry_budgets.deposit(request.caller_id, request.tenant_index)
        waited_ms = request.waited_ms
        backlog = self.read_backlog
        has_waited = waited_ms > NEGLIGIBLE_WAIT_MS or backlog.mean_wait_ms > NEGLIGIBLE_WAIT_MS
        if has_waited and not backlog.admits(now, waited_ms, state.is_reserved):
            is_admissible = False
        return WaitAllowance(1.0 if is_admissible else 0.0, is_retry)

    def _is_retry(self, now: float, request: IncomingRequest) -> bool:
        if request.is_marked_retry:
            self._marked_retries += 1
            return True
        duplicates = self.duplicates
        if not duplicates.recent and not duplicates.previous:
            return False
        if not duplicates.is_duplicate(now, request.content_digest):
            return False
        self._duplicate_retries += 1
        return True

    def retry_admitted(self, tenant_index: int, caller_id: int) -> None:
        """Notify of a retry that was queued though no slot was free."""
        self.retry_budgets.withdraw(caller_id, tenant_index)

    def request_rejected(self, now: float, pool: int, content_digest: int) -> None:
        """Notify of a request that was rejected for want of a slot, and may be sent again."""
        self.pools[pool].rejected += 1
        self.duplicates.remember(now, content_digest)

    def slot_taken(self, now: float, pool: int, is_start: bool) -> None:
        """Notify of a run that came onto the cores: at its start, or back from a call."""
        state = self.pools[pool]
        state.take_slot(now)
        state.started += is_start
        self.running += 1

    def slot_released(self, now: float, pool: int) -> None:
        """Notify of a run that left the cores: at its end, or for a call."""
        self.pools[pool].release_slot(now)
        self.running -= 1

    def request_finished(self, now: float, pool: int, slot_ms: float) -> None:
        """Notify of a run that ended, well or not, and of its time on the cores without calls."""
        self.pools[pool].slot_ms.add(slot_ms)

    def tick(self, now: float, total_slots: int) -> None:
        """Notify of the time and of the slots that there are to allocate."""
        self.total_slots = total_slots
        min_allocated = MIN_TOTAL_RATIO * total_slots
        max_allocated = MAX_TOTAL_RATIO * total_slots
        is_current = min_allocated <= self._allocated_slots <= max_allocated
        if now >= self._next_allocation_at or not is_current:
            self._set_limits(now, total_slots)

    # Questions

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Return where such a request would wait.

        Only first attempts count as demand: a caller that retries makes no reserve larger. What is
        over its tenant's quota waits in a pool of its own, so that a tenant that floods neither
        gets a reserve to itself nor the slots that a reserve has filled.
        """
        pool = query.pool
        if query.over_quota and not self.plan.fixed_limits:
            pool = self._over_quota_pool
            self.pools[pool].last_request_at = now
        state = self.pools[pool]
        if not query.is_retry:
            state.arrivals.new_arrivals += 1
        is_free = query.has_capacity and (not self._restricts_starts or self._may_start(now, pool))
        return SlotOffer(
            pool,
            self._slots_of(pool, query.waiting_pools),
            state.known_slot_ms(query.mean_slot_ms),
            is_free,
        )

    def _slots_of(self, pool: int, waiting_pools: Collection[int]) -> float:
        """Return a pool's slots while those pools have requests queued.

        They are its own, and of those that other pools leave idle a fraction.
        """
        state = self.pools[pool]
        if self.plan.fixed_limits:
            return max(MIN_OFFERED_SLOTS, state.limit)
        claimed = state.limit
        idle = self.total_slots - claimed - self.running + state.running
        for waiting_pool in waiting_pools:
            if waiting_pool != pool:
                other = self.pools[waiting_pool]
                claimed += other.fair_slots
                idle += other.running - other.fair_slots
        slots = state.limit * (1.0 + idle / claimed) if idle > 0.0 else state.limit
        return max(MIN_OFFERED_SLOTS, slots)

    def next_pool(self, now: float, waiting_pools: Collection[int]) -> int | None:
        """Return the pool whose request starts next, of those that have one queued.

        It is the one furthest below its limit; None if none of them may start one.
        """
        candidates = waiting_pools
        if self._restricts_starts or self._returns_late():
            candidates = [pool for pool in waiting_pools if self._may_start(now, pool)]
            if not candidates:
                return None
        if len(candidates) == 1:
            (only_pool,) = candidates
            return only_pool
        best_pool = None
        best_fraction = float("inf")
        for pool in candidates:
            state = self.pools[pool]
            # How far into its limit one more run would bring it, its credit counted in.
            fraction = (state.running + 1.0 - state.credit(now)) / state.limit
            fraction -= state.running < state.reserved_slots
            if fraction < best_fraction:
                best_pool = pool
                best_fraction = fraction
        return best_pool

    # Whether a request may start

    def _returns_late(self) -> bool:
        """Whether one more run might hold a lent slot for too long."""
        return (self.running + 1) * MAX_RETURN_MS < self._longest_slot_ms

    def _may_start(self, now: float, pool: int) -> bool:
        """Whether a request of the pool may start where the server has a slot."""
        state = self.pools[pool]
        running = state.running + 1
        if self.plan.fixed_limits:
            return running <= max(1, round(state.limit))
        if self._has_ceilings and running > 1:
            ceiling = state.plan.max_fraction * self.total_slots
            if running > ceiling + 0.5:
                return False
        if running <= state.reserved_slots or self.total_slots <= 1:
            return True
        if self._has_unlent_slots and running > state.fair_slots:
            needed = self.running + 1 + self._unlent_slots(pool)
            if needed > self.total_slots:
                return False
        if self.running + 2 <= self.total_slots or not self._returns_late():
            return True
        return not self._keeps_last_slot(now, pool)

    def _unlent_slots(self, pool: int) -> int:
        """Return the idle slots of other pools that lend none."""
        return sum(
            max(0, int(state.limit) - state.running)
            for index, state in enumerate(self.pools)
            if index != pool and not state.plan.lends_idle_slots
        )

    def _keeps_last_slot(self, now: float, pool: int) -> bool:
        """Whether the last slot stays idle for a reserve that may want it.

        It does while runs would end too seldom for the slot to come back in time, and only while
        the reserve's classes are sent at all.
        """
        is_wanted = any(
            index != pool
            and state.is_reserved
            and state.running + 1 <= state.reserved_slots
            and state.is_active(now)
            for index, state in enumerate(self.pools)
        )
        if not is_wanted:
            return False
        default_ms = 2.0 * MAX_RETURN_MS  # for a pool of which no run has ended
        ends_per_ms = sum(
            state.running / (state.slot_ms.value or default_ms) for state in self.pools
        )
        ends_per_ms += 1.0 / (self.pools[pool].slot_ms.value or default_ms)
        return ends_per_ms * MAX_RETURN_MS < 1.0

    # Limits

    def _set_limits(self, now: float, total_slots: int) -> None:
        self.total_slots = total_slots
        self._allocated_slots = total_slots
        self._next_allocation_at = now + ALLOCATION_PERIOD_MS - ALLOCATION_TIMER_SLACK_MS
        for state in self.pools:
            state.settle(now)
        if self.plan.fixed_limits:
            for state, limit in zip(self.pools, self._fixed_limits(total_slots), strict=True):
                state.set_fixed_limit(limit)
        else:
            self._allocate(now, total_slots)

    def _fixed_limits(self, total_slots: int) -> list[float]:
        """Return the reserves, and of the rest fractions by weight."""
        unreserved = 1.0 - sum(pool.reserve for pool in self.plan.pools)
        total_weight = sum(pool.weight or 1.0 for pool in self.plan.pools)
        fractions = [
            pool.reserve + unreserved * (pool.weight or 1.0) / total_weight
            for pool in self.plan.pools
        ]
        return [*(max(MIN_FIXED_LIMIT, total_slots * each) for each in fractions), MIN_FIXED_LIMIT]

    def _allocate(self, now: float, total_slots: int) -> None:
        """Set every limit from what is observed: arrivals times the time that a slot is held.

        Arrivals come in clumps, and the first after a pause must not wait until a mean tells of it:
        so a reserve may be filled whatever its need. Others run in what a reserve does not ask for.
        """
        weights = []
        known_slot_ms = 0.0
        known_pools = 0
        for state in self.pools:
            slot_ms = state.update_need(now, self._mean_slot_ms)
            known_slot_ms += state.slot_ms.value
            known_pools += state.slot_ms.value > 0.0
            state.reserved_slots = state.plan.reserve * total_slots
            need = state.need if state.need > MIN_WEIGHTED_NEED else MIN_WEIGHTED_NEED
            weights.append((state.plan.weight or state.priority_weight / slot_ms) * need)
        weights[self._over_quota_pool] *= OVER_QUOTA_WEIGHT_FRACTION
        if known_pools:
            self._mean_slot_ms = known_slot_ms / known_pools
        self._longest_slot_ms = max(state.slot_ms.value for state in self.pools)
        needs = [state.need for state in self.pools]
        reserves = [state.reserved_slots for state in self.pools]
        ceilings = None
        if self._has_ceilings:
            ceilings = [state.plan.max_fraction * total_slots for state in self.pools]
        allocated = allocate(total_slots, needs, reserves, weights, ceilings)
        for state, fair_slots in zip(self.pools, allocated, strict=True):
            state.set_limits(fair_slots)

    # Status

    def counts(self) -> dict[str, float]:
        """Return the counters of a status line by name; limits and needs are in slots."""
        counts: dict[str, float] = {}
        for state in self.pools:
            prefix = f"pool_{state.plan.name}"
            counts[f"{prefix}_limit"] = round(state.limit, 2)
            counts[f"{prefix}_need"] = round(state.need, 2)
            counts[f"{prefix}_busy"] = state.running
            counts[f"{prefix}_read"] = state.received
            counts[f"{prefix}_turned_away"] = state.rejected
            counts[f"{prefix}_started"] = state.started
        counts["repeats_marked"] = self._marked_retries
        counts["repeats_alike"] = self._duplicate_retries
        counts["repeats_over_budget"] = self.retry_budgets.exceeded
        counts["budgets_forgotten"] = self.retry_budgets.dropped_keys
        counts["reading_turned_away"] = self.read_backlog.rejected
        counts["likeness_cut_short"] = self.duplicates.shortened_windows
        return counts
