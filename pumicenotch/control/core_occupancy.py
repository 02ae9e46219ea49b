"""Which runs are on the cores, and which are off them in calls."""

from pumicenotch.control.concurrency_limit import ConcurrencyLimit
from pumicenotch.control.request import Request
from pumicenotch.control.run_estimates import RunEstimates
from pumicenotch.interface import Pools, RequestState


class CoreOccupancy:
    """Moves runs on and off the cores, and notifies the limit and the pools.

    Attributes:
        pools: the class pools in force.
    """

    def __init__(self, limit: ConcurrencyLimit, estimates: RunEstimates, pools: Pools) -> None:
        self._limit = limit
        self._estimates = estimates
        self.pools = pools

    def start(self, request: Request, now: float) -> None:
        """Put a request onto the cores for its run."""
        self._enter(request, now, is_start=True)
        request.state = RequestState.RUNNING
        request.started_at = now

    def suspend_for_call(self, request: Request, now: float) -> None:
        """Take a run off the cores while its call is open."""
        request.state = RequestState.AWAITING_DEPENDENCY
        request.off_cores_ms -= now
        self._limit.awaiting_dependency += 1
        self._limit.on_cores -= 1
        self.pools.slot_released(now, request.pool)

    def resume_after_call(self, request: Request, now: float) -> None:
        """Put a run back onto the cores after its call."""
        request.state = RequestState.RUNNING
        request.off_cores_ms += now
        self._limit.awaiting_dependency -= 1
        self._enter(request, now, is_start=False)

    def finish(self, request: Request, state: RequestState, now: float) -> None:
        """Take away a request that ended in that state."""
        if state is RequestState.RUNNING:
            self._limit.on_cores -= 1
            self.pools.slot_released(now, request.pool)
        elif state is RequestState.AWAITING_DEPENDENCY:
            self._limit.awaiting_dependency -= 1

    def _enter(self, request: Request, now: float, is_start: bool) -> None:
        if not self._limit.on_cores:
            self._estimates.last_finished_at = now  # the time before was idle, not a stall
        self._limit.on_cores += 1
        self.pools.slot_taken(now, request.pool, is_start)
