"""Admits a request to its queue if its estimated wait and run fit before its deadline."""

from bisect import bisect_left

from pumicenotch.control.concurrency_limit import ConcurrencyLimit
from pumicenotch.control.fair_scheduler import FairScheduler
from pumicenotch.control.request import Request
from pumicenotch.control.run_estimates import RunEstimates
from pumicenotch.interface import Pools, SlotQuery


class QueueAdmission:
    """Queues a request unless its wait and run would take too much of the time to its deadline.

    The `MAX_..._FRACTION` constants bound the estimated sum of wait and run, as a fraction of the
    time to the deadline. The estimates are rough.
    """

    MAX_WAIT_FRACTION = 0.9
    # The bound for requests without an estimate of their work. Most runs are shorter than the mean.
    MAX_WAIT_FRACTION_WITHOUT_ESTIMATE = 1.05
    MAX_WAIT_FRACTION_OVER_QUOTA = 0.25
    # The bound for requests that need not wait.
    MAX_RUN_FRACTION = 1.3
    # Slack multiplier of a request over quota, which is queued like one of low priority.
    OVER_QUOTA_SLACK_FACTOR = 4.0

    def __init__(
        self, scheduler: FairScheduler, estimates: RunEstimates, limit: ConcurrencyLimit
    ) -> None:
        self._scheduler = scheduler
        self._estimates = estimates
        self._limit = limit

    def try_enqueue(self, request: Request, now: float, pools: Pools) -> float | None:
        """Queues a request if its wait and run fit before its deadline and the queue is not full.

        Returns:
            None if the request was queued, else the estimated wait in ms, which is 0 if a slot was
            free but the run would take too long.
        """
        scheduler = self._scheduler
        estimates = self._estimates
        tenant_index = request.tenant_index
        queue = scheduler.queues[tenant_index]
        run_ms = estimates.run_ms(request, now)
        over_quota = queue.is_over_quota(now, not request.is_retry)
        query = SlotQuery(
            request.pool,
            request.is_retry,
            over_quota,
            scheduler.waiting,
            estimates.mean_slot_ms(now),
            self._limit.has_capacity(now),
        )
        request.pool, pool_slots, slot_ms, is_free = pools.reserve_slot(now, query)
        slots = scheduler.slots_of(tenant_index, request.pool, pool_slots)
        queued = queue.by_pool.get(request.pool, ())
        request.sort_key = self._sort_key(request, run_ms, over_quota)
        wait_ms = 0.0
        max_fraction = self.MAX_RUN_FRACTION
        if not is_free:
            wait_ms = (1 + bisect_left(queued, request)) * slot_ms / slots
        if wait_ms:
            max_fraction = request.wait_fraction * self._max_wait_fraction(request, over_quota)
        max_length = scheduler.max_queue_length(slots, slot_ms, estimates.objective_ms)
        max_ms = max_fraction * (request.deadline - now)
        if len(queued) >= max_length or wait_ms + run_ms > max_ms:
            return wait_ms
        scheduler.enqueue(request)
        if request.is_retry and not is_free:
            pools.retry_admitted(tenant_index, request.caller_id)
        return None

    def _sort_key(self, request: Request, run_ms: float, over_quota: bool) -> float:
        """Returns the latest start that meets the objective, moved towards arrival by priority."""
        slack_ms: float = max(0.0, request.deadline - request.arrived_at - run_ms)
        slack_ms /= request.request_class.priority_weight**0.5
        if over_quota:
            slack_ms *= self.OVER_QUOTA_SLACK_FACTOR
        return request.arrived_at + slack_ms

    def _max_wait_fraction(self, request: Request, over_quota: bool) -> float:
        if over_quota:
            return self.MAX_WAIT_FRACTION_OVER_QUOTA
        if request.estimated_work:
            return self.MAX_WAIT_FRACTION
        return self.MAX_WAIT_FRACTION_WITHOUT_ESTIMATE
