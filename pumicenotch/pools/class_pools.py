"""Class pools: decides which request class may start a run, and how long a new request may wait.

A controller notifies `ClassPools` of each event, with the time, and makes three queries: how long a
request may wait (`request_received`), in which pool and for how many slots it waits
(`reserve_slot`), and which pool's request starts next (`next_pool`). Within a pool, the fair
scheduler chooses the tenant. The controller sets the number of slots; the pools allocate them.
Decisions are deterministic: this module reads no clock and draws no random numbers.
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

# The name, in counters, of the pool of requests over their tenants' quotas.
OVER_QUOTA = "beyond"
# Factor of that pool's weight. It is above 0 because a server can only estimate whether a tenant is
# over its quota in the whole deployment.
OVER_QUOTA_WEIGHT_FRACTION = 0.05
# The longest mean time until the next run ends, at which a lent slot returns within a second.
MAX_RETURN_MS = 600.0
# The time between allocations: less than half of the span over which demand is measured.
ALLOCATION_PERIOD_MS = 300.0
# Tolerance for a tick that comes slightly before the end of the period.
ALLOCATION_TIMER_SLACK_MS = 1.0
# Slots are reallocated at once if the total changed beyond these ratios.
MIN_TOTAL_RATIO = 0.8
MAX_TOTAL_RATIO = 1.25
# The mean slot time until a run has ended.
INITIAL_SLOT_MS = 100.0
# Lower bound of the number of slots in an offer, which is a divisor of wait times.
MIN_OFFERED_SLOTS = 0.25
# Lower bound of the need, in slots, that enters a pool's weight.
MIN_WEIGHTED_NEED = 0.1
# The lowest limit of a pool in a plan with fixed limits, in slots.
MIN_FIXED_LIMIT = 1.0


class ClassPools:
    """Implements `interface.Pools` for a plan of class pools. Times are in ms.

    The pools of the plan have the indexes 0 and up. One more pool, the last, is for requests that
    are over their tenants' quotas.

    Attributes:
        plan: the configured pools.
        running: the number of slots in use, over all pools.
        count: the number of pools, including the one for requests over quota.
        pools: the states of the pools, by index.
        retry_budgets: the budgets that bound retries while slots are short.
        duplicates: the detector of unmarked retries.
        read_backlog: the admission control that acts while reading is behind.
        total_slots: the number of slots to allocate.
    """

    def __init__(
        self,
        now: float,
        plan: PoolsPlan,
        classes: Sequence[RequestClass],
        class_indices: Mapping[str, int],
    ) -> None:
        """Creates pools without requests.

        Args:
            now: the current time, ms.
            plan: the configured pools.
            classes: all request classes, by index.
            class_indices: the indexes of the named classes, by name.

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
        self._longest_slot_ms = 0.0  # maximum of the pools' mean slot times
        self._has_ceilings = any(pool.max_fraction < 1.0 for pool in plan.pools)
        self._has_unlent_slots = any(not pool.lends_idle_slots for pool in plan.pools)
        # Whether a pool may be denied a slot although the server has a free one.
        self._restricts_starts = plan.fixed_limits or self._has_ceilings or self._has_unlent_slots
        self._set_limits(now, 1)

    def _initial_states(self, now: float, classes: Sequence[RequestClass]) -> list[PoolState]:
        states = []
        for index, pool in enumerate((*self.plan.pools, PoolPlan(OVER_QUOTA, ()))):
            weights = [
                request_class.priority_weight
                for request_class, pool_index in zip(classes, self._pool_of_class, strict=False)
                if pool_index == index
            ]
            mean_weight = sum(weights) / len(weights) if weights else 1.0
            states.append(PoolState(now, pool, mean_weight))
        return states

    def pool_of(self, class_index: int) -> int:
        """Returns the pool of a class of requests."""
        return self._pool_of_class[class_index]

    # Notifications

    def request_received(self, now: float, pool: int, request: IncomingRequest) -> WaitAllowance:
        """Records a request that is not a replay, and returns how long it may wait.

        The allowance is 0 for a retry over its budgets, and for a request that is shed because
        reading is behind; either is then admitted only to a free slot.
        """
        state = self.pools[pool]
        state.received += 1
        state.last_request_at = now
        is_retry = self._is_retry(now, request)
        is_admissible = True
        if is_retry:
            if not self.retry_budgets.allows(request.caller_id, request.tenant_index):
                self.retry_budgets.over_budget_retries += 1
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
        """Withdraws a token for a retry that was queued although no slot was free."""
        self.retry_budgets.withdraw(caller_id, tenant_index)

    def request_rejected(self, now: float, pool: int, content_digest: int) -> None:
        """Records a request that was rejected for lack of a slot, and may be sent again."""
        self.pools[pool].rejected += 1
        self.duplicates.remember(now, content_digest)

    def slot_taken(self, now: float, pool: int, is_start: bool) -> None:
        """Records that a run occupies a slot, at its start or after a dependency call."""
        state = self.pools[pool]
        state.take_slot(now)
        state.started += is_start
        self.running += 1

    def slot_released(self, now: float, pool: int) -> None:
        """Records that a run left its slot, at its end or for a dependency call."""
        self.pools[pool].release_slot(now)
        self.running -= 1

    def request_finished(self, now: float, pool: int, slot_ms: float) -> None:
        """Records how long a run held a slot, without its calls, whether it succeeded or not."""
        self.pools[pool].slot_ms.add(slot_ms)

    def tick(self, now: float, total_slots: int) -> None:
        """Reallocates the slots periodically, or at once if their number changed by much."""
        self.total_slots = total_slots
        min_allocated = MIN_TOTAL_RATIO * total_slots
        max_allocated = MAX_TOTAL_RATIO * total_slots
        is_current = min_allocated <= self._allocated_slots <= max_allocated
        if now >= self._next_allocation_at or not is_current:
            self._set_limits(now, total_slots)

    # Queries

    def reserve_slot(self, now: float, query: SlotQuery) -> SlotOffer:
        """Returns the pool in which a request would wait, and the pool's slots.

        Only first attempts count as demand, so that retries do not raise the allocation of their
        pool. A request over its tenant's quota waits in a separate pool, so that a flooding tenant
        can neither occupy a whole reserve nor the slots that a reserve has filled.
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
        """Returns the slots of a pool: its limit and a part of the slots that others leave idle.

        Args:
            pool: the pool.
            waiting_pools: the pools that have requests queued; their slots do not count as idle.
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
        """Returns the waiting pool that is furthest below its limit, or None if none may start."""
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
            # The fraction of the pool's limit that would be in use with one more run, minus the
            # pool's credit. A pool below its reserve is preferred.
            fraction = (state.running + 1.0 - state.credit(now)) / state.limit
            fraction -= state.running < state.reserved_slots
            if fraction < best_fraction:
                best_pool = pool
                best_fraction = fraction
        return best_pool

    # Start conditions

    def _returns_late(self) -> bool:
        """Returns whether one more run might hold a lent slot for too long."""
        return (self.running + 1) * MAX_RETURN_MS < self._longest_slot_ms

    def _may_start(self, now: float, pool: int) -> bool:
        """Returns whether a request of the pool may start when the server has a free slot."""
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
        """Returns the number of idle slots of other pools that do not lend them."""
        return sum(
            max(0, int(state.limit) - state.running)
            for index, state in enumerate(self.pools)
            if index != pool and not state.plan.lends_idle_slots
        )

    def _keeps_last_slot(self, now: float, pool: int) -> bool:
        """Returns whether the last free slot stays idle for a pool with a reserve.

        The slot is kept while runs end too rarely for it to return within `MAX_RETURN_MS`, and only
        if a pool with an unfilled reserve has received requests recently.
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
        # The slot time of a pool in which no run has ended.
        default_ms = 2.0 * MAX_RETURN_MS
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
            state.update_credit(now)
        if self.plan.fixed_limits:
            for state, limit in zip(self.pools, self._fixed_limits(total_slots), strict=True):
                state.set_fixed_limit(limit)
        else:
            self._allocate(now, total_slots)

    def _fixed_limits(self, total_slots: int) -> list[float]:
        """Returns fixed limits: each pool's reserve, and the rest divided by weight."""
        unreserved = 1.0 - sum(pool.reserve for pool in self.plan.pools)
        total_weight = sum(pool.weight or 1.0 for pool in self.plan.pools)
        fractions = [
            pool.reserve + unreserved * (pool.weight or 1.0) / total_weight
            for pool in self.plan.pools
        ]
        return [
            *(max(MIN_FIXED_LIMIT, total_slots * pool_fraction) for pool_fraction in fractions),
            MIN_FIXED_LIMIT,
        ]

    def _allocate(self, now: float, total_slots: int) -> None:
        """Sets every limit from the observed demand: arrivals times the mean slot time.

        Arrivals are bursty, and the first after a pause must not wait until a moving mean shows the
        demand. A pool may therefore fill its reserve whatever its measured need is. Other pools use
        the part of a reserve that has no requests.
        """
        weights = []
        known_slot_ms = 0.0
        pools_with_runs = 0
        for state in self.pools:
            slot_ms = state.update_need(now, self._mean_slot_ms)
            known_slot_ms += state.slot_ms.value
            pools_with_runs += state.slot_ms.value > 0.0
            state.reserved_slots = state.plan.reserve * total_slots
            need = state.need if state.need > MIN_WEIGHTED_NEED else MIN_WEIGHTED_NEED
            weights.append((state.plan.weight or state.priority_weight / slot_ms) * need)
        weights[self._over_quota_pool] *= OVER_QUOTA_WEIGHT_FRACTION
        if pools_with_runs:
            self._mean_slot_ms = known_slot_ms / pools_with_runs
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
        """Returns the counters for a status line, by name; limits and needs are in slots."""
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
        counts["repeats_over_budget"] = self.retry_budgets.over_budget_retries
        counts["budgets_forgotten"] = self.retry_budgets.dropped_keys
        counts["reading_turned_away"] = self.read_backlog.rejected
        counts["likeness_cut_short"] = self.duplicates.shortened_windows
        return counts
