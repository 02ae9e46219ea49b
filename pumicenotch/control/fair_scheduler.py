"""Whose request starts next: HWCS, the paper's Hammerstein-Wiener controller of slot shares."""

from bisect import insort
from math import log
from typing import ClassVar

from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.slot_shares import SlotShares
from pumicenotch.control.tenant_queues import TenantQueues
from pumicenotch.interface import Pools

OUTPUT_GAIN = 7.48
OUTPUT_OFFSET = -0.08
MIN_RATIO = 1e-6
DEMOTION_RATIO = 3.0  # of response times, where one tenant of a pair is demoted


def compensate_output(ratio: float) -> float:
    """Make the ratio of two tenants' response times linear in the control output."""
    return OUTPUT_GAIN * log(max(ratio, MIN_RATIO)) + OUTPUT_OFFSET


class FairScheduler:
    """A queue and a share of the slots for each tenant.

    Floors are reserved; the rest is split by a PI controller for each pair of neighbours, which
    keeps the ratio of their response times at its set point. A sample goes through the active
    tenants only: an idle one keeps its control output, and its queue is not long.

    Attributes:
        waiting: the tenants that have requests queued, by pool.
        response_ms: the response times of this sample, by tenant.
    """

    PROPORTIONAL_GAIN = 0.47
    INTEGRAL_GAIN = 0.16
    SET_POINTS: ClassVar[dict[int, float]] = {
        0: compensate_output(1.0),
        1: compensate_output(DEMOTION_RATIO),
        -1: compensate_output(DEMOTION_RATIO**-1),
    }  # by how much more demoted a tenant is than the one before it
    LONG_QUEUE_FRACTION = 0.66  # of the longest allowed: the paper's 20 in 30
    OVERLOAD_WINDOW = 4  # samples with a long queue that demote a tenant
    MAX_QUEUE_LENGTH = 30.0  # however fast it empties
    MIN_MAX_QUEUE_LENGTH = 2.0
    MAX_QUEUE_TIME_FRACTION = 0.7  # of the objective: the rest is for the run and its calls

    def __init__(self, settings: ControllerSettings, total_slots: int) -> None:
        self.queues = TenantQueues(settings.tenants, settings.servers)
        self.shares = SlotShares(max(1, len(settings.tenants)), total_slots)
        self.waiting: dict[int, list[int]] = {}
        self.response_ms: dict[int, list[float]] = {}
        self._monitored: set[int] = set()  # tenants whose queue is long, or who are demoted

    def on_sample(self, total_slots: int, mean_slot_ms: float, objective_ms: float) -> None:
        """Close the control loop over the response times of this sample."""
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
                self._control(tenant_index, mean_ms / means[tenant_index - 1])

    def _control(self, tenant_index: int, ratio: float) -> None:
        """Take one step of the PI controller, in its velocity form."""
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
        """Demote tenants whose queue stays long; promote them once it has stayed short."""
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
        """Return the tenants that have requests queued in any pool, by index."""
        return sorted({tenant for tenants in self.waiting.values() for tenant in tenants})

    def slots_of(self, tenant_index: int, pool: int, pool_slots: float) -> float:
        """Return a tenant's slots of a pool, those of tenants with nothing queued divided."""
        tenants = self.waiting.get(pool, [])
        if tenant_index not in tenants:
            tenants = sorted([*tenants, tenant_index])
        shares = sum(map(self.shares.__getitem__, tenants))
        return float(pool_slots * self.shares[tenant_index] / shares)

    def max_queue_length(self, slots: float, slot_ms: float, objective_ms: float) -> float:
        """Return how many requests so many slots start within the time to spend in a queue."""
        length = slots * self.MAX_QUEUE_TIME_FRACTION * objective_ms / slot_ms
        return max(self.MIN_MAX_QUEUE_LENGTH, min(self.MAX_QUEUE_LENGTH, length))

    def enqueue(self, request: Request) -> None:
        """Queue a request at the place of its sort key."""
        queue = self.queues[request.tenant_index].by_pool.setdefault(request.pool, [])
        insort(queue, request)
        if len(queue) == 1:
            insort(self.waiting.setdefault(request.pool, []), request.tenant_index)

    def remove(self, request: Request) -> None:
        """Take a request out of its queue, if it is there."""
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
        """Return the request that starts next: pools choose the class, shares the tenant.

        The tenant that has the least of its share starts, with the first request of its queue.
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
        """Queue by these pools from now on; all queued requests have been given theirs."""
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
