"""Estimates how long runs take, from finished runs and from the estimates of callers."""

from pumicenotch.control.concurrency_limit import ConcurrencyLimit
from pumicenotch.control.dependency_calls import DependencyCalls
from pumicenotch.control.request import Request
from pumicenotch.interface import RequestClass, RequestState


class RunMeans:
    """The moving means of the run time and the estimated work of a request class."""

    # The weight of one run in the means.
    SMOOTHING = 0.05

    __slots__ = ("estimated_work", "run_ms")

    def __init__(self, run_ms: float, estimated_work: float) -> None:
        self.run_ms = run_ms
        self.estimated_work = estimated_work

    def add(self, run_ms: float, estimated_work: float) -> None:
        """Adds a finished run to the means."""
        self.run_ms += self.SMOOTHING * (run_ms - self.run_ms)
        self.estimated_work += self.SMOOTHING * (estimated_work - self.estimated_work)


class RunEstimates:
    """Owns the moving means of run times, by class, and of the time that a run holds a slot.

    Attributes:
        objective_ms: the mean latency objective of all classes.
        last_finished_at: when a run last ended, or when a run last started on empty cores.
    """

    # The weight of one run in the mean slot time.
    SMOOTHING = 0.05
    # The slot time assumed at first, as a fraction of the objective: eight runs in sequence fit.
    INITIAL_SLOT_FRACTION = 0.125
    # Lower bound of the slot time during a stall: this fraction of the time since the last run
    # ended, for each run on the cores.
    STALL_FRACTION = 0.25
    # The fractions of a run's time that are independent of, and proportional to, its work.
    FIXED_FRACTION = 0.3
    VARIABLE_FRACTION = 0.7

    def __init__(
        self,
        now: float,
        classes: list[RequestClass],
        limit: ConcurrencyLimit,
        calls: DependencyCalls,
    ) -> None:
        objectives = (request_class.latency_objective_ms for request_class in classes)
        self.objective_ms = sum(objectives) / max(1, len(classes))
        self.last_finished_at = now
        self._limit = limit
        self._calls = calls
        self._calling_classes: set[int] = set()
        self._by_class: dict[int, RunMeans] = {}
        self._observed_slot_ms = 0.0

    def mean_slot_ms(self, now: float) -> float:
        """Returns how long a run holds its slot on average; grows while no run ends."""
        observed_ms = self._observed_slot_ms or max(
            1.0, self.INITIAL_SLOT_FRACTION * self.objective_ms
        )
        stalled_ms = now - self.last_finished_at
        return max(observed_ms, self.STALL_FRACTION * stalled_ms * self._limit.on_cores)

    def run_ms(self, request: Request, now: float) -> float:
        """Returns how long a run of the request takes.

        For a queued request of a class that calls the dependency, the estimate includes the wait to
        send the call.
        """
        wait_ms = 0.0
        if request.state is RequestState.QUEUED and request.class_index in self._calling_classes:
            wait_ms = self._calls.expected_wait_ms(now)
        class_means = self._by_class.get(request.class_index)
        if class_means is None:
            return wait_ms + max(self.mean_slot_ms(now), request.estimated_work or 0.0)
        if not request.estimated_work or not class_means.estimated_work:
            return wait_ms + class_means.run_ms
        relative_work = self.VARIABLE_FRACTION * request.estimated_work / class_means.estimated_work
        return wait_ms + class_means.run_ms * (self.FIXED_FRACTION + relative_work)

    def on_dependency_needed(self, request: Request) -> None:
        """Records that requests of this class call the dependency."""
        self._calling_classes.add(request.class_index)

    def on_run_finished(self, request: Request, now: float) -> float:
        """Adds a finished run to the means, and returns how long it held its slot."""
        run_ms = now - request.started_at
        slot_ms = now - request.started_at - request.off_cores_ms
        work = request.estimated_work or 0.0
        if self._observed_slot_ms:
            self._observed_slot_ms += self.SMOOTHING * (slot_ms - self._observed_slot_ms)
        else:
            self._observed_slot_ms = slot_ms
        class_means = self._by_class.get(request.class_index)
        if class_means is None:
            class_means = RunMeans(self.mean_slot_ms(now), work)
            self._by_class[request.class_index] = class_means
        class_means.add(run_ms, work)
        self.last_finished_at = now
        return slot_ms
