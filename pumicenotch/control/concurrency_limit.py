"""How many requests run at once, within the memory and the load that the server survives."""

from pumicenotch.control.gauges import Gauges
from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.timers import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS
from pumicenotch.interface import RequestState


class ConcurrencyLimit:
    """An adaptive limit: it grows while cores idle, and shrinks while answers are late.

    Attributes:
        limit: how many runs may be on the cores, before the server's own bounds.
        used_memory_kb: of all requests that are not finished, without idempotency keys.
        mean_runnable: the runs that have a core or wait for one, over about half a sample.
        on_cores: the runs that are not in a call.
        awaiting_dependency: the runs that are.
        responses: the runs that ended in this sample.
        late_responses: those of them that missed their objective.
    """

    GROWTH_FRACTION = 0.25  # of the limit, a tick
    LATE_SHRINK_FACTOR = 0.5  # a sample
    MAX_LATE_FRACTION = 0.1  # of a sample's responses
    MAX_RUNNABLE_PER_CORE = 1.25  # beyond, more runs only stretch those there are
    OVERLOAD_SHRINK_FACTOR = 0.9  # a sample
    BUSY_UTILIZATION = 0.95  # cores that idle less are busy but for chance
    MAX_MEMORY_FRACTION = 0.94  # the rest is for requests of one batch and for rounding
    MAX_CRASH_LOAD_FRACTION = 0.8  # the rest is for reading and health checks

    def __init__(self, now: float, settings: ControllerSettings, initial_speed: float) -> None:
        self.cores = settings.cores
        self.memory_kb = settings.memory_kb
        self.run_memory_factor = settings.run_memory_factor
        self.crash_load_factor = settings.crash_load_factor
        self.warm_up_ms = max(settings.warm_up_ms, 1.0)
        self.initial_speed = initial_speed
        self.started_at = now
        self.limit = float(settings.cores)
        self.used_memory_kb = 0.0
        self.mean_runnable = 0.0
        self.on_cores = 0
        self.awaiting_dependency = 0
        self.responses = 0
        self.late_responses = 0

    def speed(self, now: float) -> float:
        """Return the fraction of its full speed that the server has at least."""
        if self.initial_speed >= 1.0:
            return 1.0
        return min(
            1.0,
            self.initial_speed
            + (1.0 - self.initial_speed) * (now - self.started_at) / self.warm_up_ms,
        )

    def max_runs(self, now: float) -> float:
        """Return how many runs, calls included, the server survives with a margin."""
        return max(
            1.0,
            self.MAX_CRASH_LOAD_FRACTION
            * self.cores
            * (1.0 + (self.crash_load_factor - 1.0) * self.speed(now)),
        )

    def slots(self, now: float) -> int:
        """Return how many runs may be on the cores."""
        return max(1, int(min(self.limit, self.max_runs(now))))

    def has_capacity(self, now: float) -> bool:
        """Return whether one more run may start.

        Runs in calls come back on their own, so they count against what the server survives,
        though not against the limit.
        """
        max_runs = self.max_runs(now)
        slots = max(1, int(min(self.limit, max_runs)))
        return self.on_cores < slots and self.on_cores + self.awaiting_dependency + 1 <= max_runs

    def fits_memory(self, extra_kb: float) -> bool:
        """Return whether there is memory for so much more."""
        return self.used_memory_kb + extra_kb <= self.MAX_MEMORY_FRACTION * self.memory_kb

    def reserve_run_memory(self, request: Request, keys_kb: float) -> bool:
        """Reserve what the request needs to run beyond what it holds, if that fits."""
        extra_kb = request.memory_kb * (self.run_memory_factor - 1.0)
        fits = self.fits_memory(extra_kb + keys_kb)
        self.used_memory_kb += extra_kb if fits else 0.0
        return fits

    def release_memory(self, request: Request, state: RequestState) -> None:
        """Release what a request held that ended in that state."""
        is_unreserved = state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        factor = 1.0 if is_unreserved else self.run_memory_factor
        self.used_memory_kb -= request.memory_kb * factor

    def on_tick(self, now: float, has_queued: bool, gauges: Gauges) -> None:
        """Grow where all slots are taken, requests are queued and yet cores idle."""
        smoothing = TICK_INTERVAL_MS / SAMPLE_INTERVAL_MS * 2.0
        self.mean_runnable += smoothing * (gauges.runnable - self.mean_runnable)
        has_idle_cores = (
            gauges.runnable < self.cores and gauges.core_utilization < self.BUSY_UTILIZATION
        )
        if has_queued and has_idle_cores and self.on_cores >= self.slots(now):
            self.limit += max(1.0, self.GROWTH_FRACTION * self.limit)

    def on_sample(self) -> None:
        """Shrink where many answers were late, and slowly where runs crowd the cores."""
        factor = 1.0
        if self.late_responses > self.MAX_LATE_FRACTION * self.responses:
            factor = self.LATE_SHRINK_FACTOR
        elif self.mean_runnable > self.MAX_RUNNABLE_PER_CORE * self.cores:
            factor = self.OVERLOAD_SHRINK_FACTOR
        self.responses = 0
        self.late_responses = 0
        self.limit = max(float(self.cores), factor * self.limit)
