"""Tracks which runs occupy the cores and which wait for a dependency call."""

from pumicenotch.control.concurrency_limit import ConcurrencyLimit
from pumicenotch.control.request import Request
from pumicenotch.control.run_estimates import RunEstimates
from pumicenotch.interface import Pools, RequestState


class CoreOccupancy:
    """Moves runs onto and off the cores, and updates the concurrency limit and the pools.

    Attributes:
        pools: the current class pools.
    """

    def __init__(self, limit: ConcurrencyLimit, estimates: RunEstimates, pools: Pools) -> None:
        self._limit = limit
        self._estimates = estimates
        self.pools = pools

    def start(self, request: Request, now: float) -> None:
        """Puts a request onto the cores for its run."""
        self._occupy_slot(request, now, is_start=True)
        request.state = RequestState.RUNNING
        request.started_at = now

    def suspend_for_call(self, request: Request, now: float) -> None:
        """Takes a run off the cores while its dependency call is queued or open."""
        request.state = RequestState.AWAITING_DEPENDENCY
        request.off_cores_ms -= now
        self._limit.awaiting_dependency += 1
        self._limit.on_cores -= 1
        self.pools.slot_released(now, request.pool)

    def resume_after_call(self, request: Request, now: float) -> None:
        """Puts a run back onto the cores after its dependency call."""
        request.state = RequestState.RUNNING
        request.off_cores_ms += now
        self._limit.awaiting_dependency -= 1
        self._occupy_slot(request, now, is_start=False)

    def finish(self, request: Request, state: RequestState, now: float) -> None:
        """Removes a run whose last state before it finished was `state`."""
        if state is RequestState.RUNNING:
            self._limit.on_cores -= 1
            self.pools.slot_released(now, request.pool)
        elif state is RequestState.AWAITING_DEPENDENCY:
            self._limit.awaiting_dependency -= 1

    def _occupy_slot(self, request: Request, now: float, is_start: bool) -> None:
        if not self._limit.on_cores:
            # The cores were idle until now, so the time since the last run is not a stall.
            self._estimates.last_finished_at = now
        self._limit.on_cores += 1
        self.pools.slot_taken(now, request.pool, is_start)
