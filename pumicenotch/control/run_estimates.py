"""How long runs take, by what has been observed and what callers estimate."""

from pumicenotch.control.concurrency_limit import ConcurrencyLimit
from pumicenotch.control.dependency_calls import DependencyCalls
from pumicenotch.control.request import Request
from pumicenotch.interface import RequestClass, RequestState


class RunMeans:
    """The moving means of a class of requests."""

    SMOOTHING = 0.05  # for each run

    __slots__ = ("estimated_work", "run_ms")

    def __init__(self, run_ms: float, estimated_work: float) -> None:
        self.run_ms = run_ms
        self.estimated_work = estimated_work

    def add(self, run_ms: float, estimated_work: float) -> None:
        """Learn from a run."""
        self.run_ms += self.SMOOTHING * (run_ms - self.run_ms)
        self.estimated_work += self.SMOOTHING * (estimated_work - self.estimated_work)


class RunEstimates:
    """Moving means of run times, by class, and of the time that a run holds a slot.

    Attributes:
        objective_ms: the mean latency objective of all classes.
        last_finished_at: when a run ended last, or when the cores were last empty.
    """

    SMOOTHING = 0.05  # for each run
    INITIAL_SLOT_FRACTION = 0.125  # of the objective: eight runs in a row fit
    STALL_FRACTION = 0.25  # of the time since a run ended, for each run on the cores
    FIXED_FRACTION = 0.3  # of a run that does not depend on its estimated work
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
        self._slot_ms = 0.0

    def mean_slot_ms(self, now: float) -> float:
        """Return how long a run holds its slot; it grows by itself while no run ends."""
        observed_ms = self._slot_ms or max(1.0, self.INITIAL_SLOT_FRACTION * self.objective_ms)
        stalled_ms = now - self.last_finished_at
        return max(observed_ms, self.STALL_FRACTION * stalled_ms * self._limit.on_cores)

    def run_ms(self, request: Request, now: float) -> float:
        """Return how long a run takes, with its wait for the dependency if it has not started."""
        wait_ms = 0.0
        if request.state is RequestState.QUEUED and request.class_index in self._calling_classes:
            wait_ms = self._calls.expected_wait_ms(now)
        means = self._by_class.get(request.class_index)
        if means is None:
            return wait_ms + max(self.mean_slot_ms(now), request.estimated_work or 0.0)
        if not request.estimated_work or not means.estimated_work:
            return wait_ms + means.run_ms
        relative_work = self.VARIABLE_FRACTION * request.estimated_work / means.estimated_work
        return wait_ms + means.run_ms * (self.FIXED_FRACTION + relative_work)

    def on_dependency_needed(self, request: Request) -> None:
        """Count on calls of requests of this class from now on."""
        self._calling_classes.add(request.class_index)

    def on_run_finished(self, request: Request, now: float) -> float:
        """Learn from a run, and return how long it held its slot."""
        run_ms = now - request.started_at
        slot_ms = now - request.started_at - request.off_cores_ms
        work = request.estimated_work or 0.0
        if self._slot_ms:
            self._slot_ms += self.SMOOTHING * (slot_ms - self._slot_ms)
        else:
            self._slot_ms = slot_ms
        means = self._by_class.get(request.class_index)
        if means is None:
            means = RunMeans(self.mean_slot_ms(now), work)
            self._by_class[request.class_index] = means
        means.add(run_ms, work)
        self.last_finished_at = now
        return slot_ms
