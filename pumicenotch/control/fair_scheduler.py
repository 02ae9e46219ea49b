"""Chooses the next request: HWCS, the paper's Hammerstein-Wiener controller of slot shares."""

from bisect import insort
from math import log
from typing import ClassVar

from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.slot_shares import SlotShares
from pumicenotch.control.tenant_queues import TenantQueues
from pumicenotch.interface import Pools

# Parameters of the paper's output compensator.
OUTPUT_GAIN = 7.48
OUTPUT_OFFSET = -0.08
# Keeps the logarithm of a ratio finite.
MIN_RATIO = 1e-6
# The set point for the ratio of response times in a pair with one demoted tenant.
DEMOTION_RATIO = 3.0


def compensate_output(ratio: float) -> float:
    """Returns a value of the ratio of two response times that is linear in the control output."""
    return OUTPUT_GAIN * log(max(ratio, MIN_RATIO)) + OUTPUT_OFFSET


class FairScheduler:
    """Owns a queue and a share of the slots for each tenant.

    Each tenant has a reserved floor. The remaining slots are split by one PI controller for each
    pair of tenants with consecutive indexes, which keeps the ratio of their response times at its
    set point. A sample processes only active tenants: an idle tenant keeps its control output, and
    its queue is not long.

    Attributes:
        queues: the queues of the tenants.
        shares: the slots of the tenants.
        pools: the current class pools.
        waiting: for each pool, the sorted indexes of the tenants that have requests queued.
        response_ms: the response times of the current sample, by tenant.
    """

    PROPORTIONAL_GAIN = 0.47
    INTEGRAL_GAIN = 0.16
    # The set point of a pair, by `demoted` of its second tenant minus `demoted` of the first.
    SET_POINTS: ClassVar[dict[int, float]] = {
        0: compensate_output(1.0),
        1: compensate_output(DEMOTION_RATIO),
        -1: compensate_output(DEMOTION_RATIO**-1),
    }
    # A queue counts as long above this fraction of its maximum length: the paper's 20 of 30.
    LONG_QUEUE_FRACTION = 0.66
    # Consecutive samples with a long queue after which a tenant is demoted.
    OVERLOAD_WINDOW = 4
    # The maximum length of a queue, however fast it drains.
    MAX_QUEUE_LENGTH = 30.0
    # The lower bound of the maximum length of a queue.
    MIN_MAX_QUEUE_LENGTH = 2.0
    # The maximum time in a queue, as a fraction of the latency objective. The rest is for the run
    # and its dependency calls.
    MAX_QUEUE_TIME_FRACTION = 0.7

    def __init__(self, settings: ControllerSettings, total_slots: int) -> None:
        self.queues = TenantQueues(settings.tenants, settings.servers)
        self.shares = SlotShares(max(1, len(settings.tenants)), total_slots)
        self.waiting: dict[int, list[int]] = {}
        self.response_ms: dict[int, list[float]] = {}
        # Tenants that have a long queue or are demoted.
        self._monitored: set[int] = set()

    def on_sample(self, total_slots: int, mean_slot_ms: float, objective_ms: float) -> None:
        """Runs the control loop on the response times of the sample that ended.

        Args:
            total_slots: the number of slots to split.
            mean_slot_ms: how long a run holds its slot on average.
            objective_ms: the mean latency objective.
        """
        if total_slots != self.shares.total_slots:
            self.shares.rebuild(total_slots)
        self._update_demotions(mean_slot_ms, objective_ms)
        means = {
            tenant_index: sum(times) / len(times)
            for tenant_index, times in self.response_ms.items()
        }
        self.response_ms.clear()
        for tenant_index, mean_ms in means.items():
            if tenant_index - 1 in means:
                self._update_control_output(tenant_index, mean_ms / means[tenant_index - 1])

    def _update_control_output(self, tenant_index: int, ratio: float) -> None:
        """Takes one step of the PI controller, in its velocity form.

        Args:
            tenant_index: the second tenant of the pair.
            ratio: its mean response time, divided by that of the tenant before it.
        """
        queue = self.queues[tenant_index]
        previous_queue = self.queues[tenant_index - 1]
        set_point = self.SET_POINTS[queue.demoted - previous_queue.demoted]
        error = compensate_output(ratio) - set_point
        output = (
            queue.control_output
            + (self.PROPORTIONAL_GAIN + self.INTEGRAL_GAIN) * error
            - self.PROPORTIONAL_GAIN * queue.control_error
        )
        max_output = SlotShares.MAX_CONTROL_OUTPUT
        queue.control_output = max(-max_output, min(max_output, output))
        queue.control_error = error
        self.shares.set_control_output(tenant_index, queue.control_output)

    def _update_demotions(self, mean_slot_ms: float, objective_ms: float) -> None:
        """Demotes tenants whose queue stays long; promotes them once it has stayed short."""
        waiting = self.waiting_tenants()
        waiting_slots = sum(map(self.shares.__getitem__, waiting))
        for tenant_index in self._monitored.union(waiting):
            queue = self.queues[tenant_index]
            queued = len(queue)
            slots = 0.0
            if queued:
                slots = self.shares.total_slots * self.shares[tenant_index] / waiting_slots
            max_length = self.max_queue_length(slots, mean_slot_ms, objective_ms)
            if queued > self.LONG_QUEUE_FRACTION * max_length:
                queue.samples_long += 1
                queue.samples_short = 0
            else:
                queue.samples_long = 0
                queue.samples_short += 1
            queue.demoted = queue.samples_long >= self.OVERLOAD_WINDOW or (
                queue.demoted and queue.samples_short < self.OVERLOAD_WINDOW
            )
            if queue.samples_long or queue.demoted:
                self._monitored.add(tenant_index)
            else:
                self._monitored.discard(tenant_index)

    def waiting_tenants(self) -> list[int]:
        """Returns the tenants that have requests queued in any pool, by index."""
        return sorted({tenant for tenants in self.waiting.values() for tenant in tenants})

    def slots_of(self, tenant_index: int, pool: int, pool_slots: float) -> float:
        """Returns the slots of a pool for a tenant.

        The slots of tenants that have nothing queued in the pool are divided among the others.
        """
        tenants = self.waiting.get(pool, [])
        if tenant_index not in tenants:
            tenants = sorted([*tenants, tenant_index])
        shares = sum(map(self.shares.__getitem__, tenants))
        return float(pool_slots * self.shares[tenant_index] / shares)

    def max_queue_length(self, slots: float, slot_ms: float, objective_ms: float) -> float:
        """Returns how many requests `slots` slots can start within the allowed queueing time."""
        length = slots * self.MAX_QUEUE_TIME_FRACTION * objective_ms / slot_ms
        return max(self.MIN_MAX_QUEUE_LENGTH, min(self.MAX_QUEUE_LENGTH, length))

    def enqueue(self, request: Request) -> None:
        """Queues a request in the order of sort keys."""
        queue = self.queues[request.tenant_index].by_pool.setdefault(request.pool, [])
        insort(queue, request)
        if len(queue) == 1:
            insort(self.waiting.setdefault(request.pool, []), request.tenant_index)

    def remove(self, request: Request) -> None:
        """Removes a request from its queue, if it is queued."""
        pool = request.pool
        by_pool = self.queues[request.tenant_index].by_pool
        if request not in by_pool.get(pool, ()):
            return
        by_pool[pool].remove(request)
        if by_pool[pool]:
            return
        del by_pool[pool]
        self.waiting[pool].remove(request.tenant_index)
        if not self.waiting[pool]:
            del self.waiting[pool]

    def next_request(self, now: float) -> Request | None:
        """Returns the request that starts next, or None if no pool may start one.

        The pools choose the pool. Within the pool, the tenant with the fewest running requests in
        relation to its share starts the first request of its queue.
        """
        pool = self.pools.next_pool(now, self.waiting)
        if pool is None:
            return None
        tenant_index = min(
            self.waiting[pool],
            key=lambda tenant: (self.queues[tenant].running + 1) / self.shares[tenant],
        )
        return self.queues[tenant_index].by_pool[pool][0]

    def use_pools(self, pools: Pools) -> None:
        """Replaces the pools and queues all requests again.

        The caller has already set the new `pool` of each queued request.
        """
        queues = [self.queues[tenant].by_pool for tenant in self.waiting_tenants()]
        queued = [
            request for by_pool in queues for pool in sorted(by_pool) for request in by_pool[pool]
        ]
        self.pools = pools
        self.waiting = {}
        for by_pool in queues:
            by_pool.clear()
        for request in queued:
            self.enqueue(request)
