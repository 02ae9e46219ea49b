"""Limits how many requests run at once, by free cores, late answers, memory and crash load."""

from pumicenotch.control.gauges import Gauges
from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.timers import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS
from pumicenotch.interface import RequestState


class ConcurrencyLimit:
    """An adaptive concurrency limit, and the memory account of all unfinished requests.

    The limit grows while requests are queued and cores are idle, and shrinks while answers are
    late. It is bounded by the number of runs that would crash the server.

    Attributes:
        limit: the adaptive limit of runs on the cores, before the bound by `max_runs`.
        used_memory_kb: the memory of all unfinished requests, without idempotency keys.
        mean_runnable: the moving mean, over about half a sample, of the runs that have a core or
            wait for one.
        on_cores: the number of runs that are not in a dependency call.
        awaiting_dependency: the number of runs that are in a dependency call.
        responses: the number of runs that ended in the current sample.
        late_responses: the number of `responses` that missed their latency objective.
    """

    # Growth per tick, as a fraction of the limit.
    GROWTH_FRACTION = 0.25
    # Factor per sample while more than `MAX_LATE_FRACTION` of its responses are late.
    LATE_SHRINK_FACTOR = 0.5
    MAX_LATE_FRACTION = 0.1
    # With more runnable runs per core, each further run only slows down the others.
    MAX_RUNNABLE_PER_CORE = 1.25
    # Factor per sample while `MAX_RUNNABLE_PER_CORE` is exceeded.
    OVERLOAD_SHRINK_FACTOR = 0.9
    # Cores with a higher utilization count as busy: short idle gaps are random.
    BUSY_UTILIZATION = 0.95
    # The fraction of the memory that may be reserved. The rest is for requests of one batch and
    # for rounding.
    MAX_MEMORY_FRACTION = 0.94
    # The fraction of the crash load that runs may reach. The rest is for reading and health checks.
    MAX_CRASH_LOAD_FRACTION = 0.8

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
        """Returns a lower bound of the server's speed, as a fraction of its full speed.

        The speed rises linearly from `initial_speed` to 1 over `warm_up_ms`.
        """
        if self.initial_speed >= 1.0:
            return 1.0
        return min(
            1.0,
            self.initial_speed
            + (1.0 - self.initial_speed) * (now - self.started_at) / self.warm_up_ms,
        )

    def max_runs(self, now: float) -> float:
        """Returns how many runs the server survives with a margin, those in calls included."""
        return max(
            1.0,
            self.MAX_CRASH_LOAD_FRACTION
            * self.cores
            * (1.0 + (self.crash_load_factor - 1.0) * self.speed(now)),
        )

    def slots(self, now: float) -> int:
        """Returns the number of slots: how many runs may be on the cores, at least 1."""
        return max(1, int(min(self.limit, self.max_runs(now))))

    def has_capacity(self, now: float) -> bool:
        """Returns whether one more run may start.

        Runs in dependency calls return to the cores when their calls end, whatever the limit is.
        They therefore count against `max_runs`, but not against the limit.
        """
        max_runs = self.max_runs(now)
        slots = max(1, int(min(self.limit, max_runs)))
        return self.on_cores < slots and self.on_cores + self.awaiting_dependency + 1 <= max_runs

    def fits_memory(self, extra_kb: float) -> bool:
        """Returns whether `extra_kb` more fit into the memory budget."""
        return self.used_memory_kb + extra_kb <= self.MAX_MEMORY_FRACTION * self.memory_kb

    def reserve_run_memory(self, request: Request, keys_kb: float) -> bool:
        """Reserves the memory that the request needs to run beyond its own size.

        Args:
            request: the request, whose own size is already counted.
            keys_kb: the memory of all retained idempotency keys.

        Returns:
            Whether the memory fits; nothing is reserved otherwise.
        """
        extra_kb = request.memory_kb * (self.run_memory_factor - 1.0)
        fits = self.fits_memory(extra_kb + keys_kb)
        self.used_memory_kb += extra_kb if fits else 0.0
        return fits

    def release_memory(self, request: Request, state: RequestState) -> None:
        """Releases the memory of a request whose last state before it finished was `state`."""
        is_unreserved = state in (RequestState.QUEUED, RequestState.AWAITING_ORIGINAL)
        factor = 1.0 if is_unreserved else self.run_memory_factor
        self.used_memory_kb -= request.memory_kb * factor

    def on_tick(self, now: float, has_queued: bool, gauges: Gauges) -> None:
        """Raises the limit if requests are queued, all slots are taken and cores are idle."""
        smoothing = TICK_INTERVAL_MS / SAMPLE_INTERVAL_MS * 2.0
        self.mean_runnable += smoothing * (gauges.runnable - self.mean_runnable)
        has_idle_cores = (
            gauges.runnable < self.cores and gauges.core_utilization < self.BUSY_UTILIZATION
        )
        if has_queued and has_idle_cores and self.on_cores >= self.slots(now):
            self.limit += max(1.0, self.GROWTH_FRACTION * self.limit)

    def on_sample(self) -> None:
        """Lowers the limit if many of the sample's answers were late or the cores are overloaded.

        The limit never falls below the number of cores.
        """
        factor = 1.0
        if self.late_responses > self.MAX_LATE_FRACTION * self.responses:
            factor = self.LATE_SHRINK_FACTOR
        elif self.mean_runnable > self.MAX_RUNNABLE_PER_CORE * self.cores:
            factor = self.OVERLOAD_SHRINK_FACTOR
        self.responses = 0
        self.late_responses = 0
        self.limit = max(float(self.cores), factor * self.limit)
