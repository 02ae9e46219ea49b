"""The admission controller of one server: handles each event of a request's life.

A request passes the answer deadlines, the idempotency keys, the concurrency and memory limits and
its tenant's queue. Each of these stages passes the request on, queues it or answers it.
docs/design.md has the diagram.
"""

import random

from pumicenotch.control.answer_deadlines import AnswerDeadlines
from pumicenotch.control.concurrency_limit import ConcurrencyLimit
from pumicenotch.control.core_occupancy import CoreOccupancy
from pumicenotch.control.dependency_calls import DependencyCalls
from pumicenotch.control.fair_scheduler import FairScheduler
from pumicenotch.control.gauges import Gauges
from pumicenotch.control.idempotency_keys import IdempotencyKeys
from pumicenotch.control.load_reporter import LoadReporter
from pumicenotch.control.priority_shedder import PriorityShedder
from pumicenotch.control.queue_admission import QueueAdmission
from pumicenotch.control.request import Request
from pumicenotch.control.run_estimates import RunEstimates
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.single_pool import SinglePool
from pumicenotch.control.timers import SAMPLE_INTERVAL_MS, TICK_INTERVAL_MS, TimerQueue
from pumicenotch.interface import (
    Actions,
    CancelMode,
    Idempotency,
    IncomingRequest,
    Outcome,
    Pools,
    RequestState,
)


class AdmissionController:
    """Decides admission, scheduling, retries and load reports for one server.

    A carrier calls the `on_...` methods, `start_draining` and `use_pools` with the current time in
    ms, which must not decrease between calls. Actions go to the carrier within the same call. The
    controller owns the state of all unfinished requests; its parts share one timer queue.
    """

    # A run starts only if this fraction of its estimated time fits before its deadline.
    MIN_START_FRACTION = 0.8
    # The mean fraction of a run's estimated time that follows its dependency call.
    REMAINING_RUN_FRACTION = 0.5
    # A run that may have lost the reply to its call has this multiple of its estimated time to show
    # that it continues.
    UNCERTAIN_RUN_FACTOR = 2.0
    # Callers are asked not to retry above this backoff, which corresponds to one rejection in
    # twenty. Fewer rejections occur at random.
    MAX_BACKOFF_TO_RETRY = 0.1

    def __init__(
        self,
        actions: Actions,
        now: float,
        settings: ControllerSettings,
        seed: int,
        pools: Pools | None = None,
    ) -> None:
        rng = random.Random(seed)
        speed = settings.initial_speed if settings.starts_cold else 1.0
        self.actions = actions
        self.settings = settings
        self.can_cancel_runs = settings.cancel_mode is not CancelMode.NONE
        self.max_retry_after_ms = 0.0
        if settings.retry_after_supported:
            self.max_retry_after_ms = settings.max_retry_after_ms
        self.gauges = Gauges(settings.gauges)
        self.timers = TimerQueue()
        self.deadlines = AnswerDeadlines(
            self.timers, settings.drain_grace_ms, self._on_answer_deadline
        )
        self.keys = IdempotencyKeys(self.timers, actions, settings.key_memory_kb)
        self.limit = ConcurrencyLimit(now, settings, speed)
        self.scheduler = FairScheduler(settings, self.limit.slots(now))
        self.calls = DependencyCalls(self.timers, actions, rng, settings)
        self.estimates = RunEstimates(now, settings.request_classes, self.limit, self.calls)
        self.admission = QueueAdmission(self.scheduler, self.estimates, self.limit)
        self.pools: Pools = SinglePool(self.scheduler.shares)
        self.occupancy = CoreOccupancy(self.limit, self.estimates, self.pools)
        self.use_pools(now, pools)
        self.shedder = PriorityShedder(rng.random, settings.request_classes)
        self.reporter = LoadReporter(actions, settings, speed)
        self.sampled_at = now
        actions.schedule_tick(TICK_INTERVAL_MS)

    # Events from the carrier

    def on_request(self, now: float, incoming: IncomingRequest) -> None:
        """Admits, queues, replays or rejects a request that was read.

        A request of an unknown tenant counts for tenant 0. A retry by idempotency key is answered
        with the result of its original.
        """
        if incoming.tenant_index >= self.scheduler.shares.tenant_count:
            incoming = incoming._replace(tenant_index=0)
        request_class = self.settings.request_classes[incoming.class_index]
        request = Request(now, incoming, request_class)
        waited_ms = now - request.arrived_at
        time_to_deadline_ms = max(1.0, request.deadline - request.arrived_at)
        self.reporter.received += 1
        self.shedder.on_request(waited_ms / time_to_deadline_ms, request_class.priority_weight)
        self.limit.used_memory_kb += request.memory_kb
        self.deadlines.add(request)
        request.pool = self.pools.pool_of(request.class_index)
        original_id = incoming.original_id
        if original_id and request_class.idempotency is Idempotency.KEYED:
            self._await_original(request, original_id, now)
        else:
            allowance = self.pools.request_received(now, request.pool, incoming)
            request.wait_fraction = allowance.fraction
            request.is_retry = allowance.is_retry
            self._admit(request, now)
        self.start_runs(now)

    def on_run_finished(self, now: float, request_id: int, outcome: Outcome) -> None:
        """Finishes a request whose run or replay ended, and starts queued requests.

        The result of the run is its answer. Unknown request ids are ignored.
        """
        request = self.deadlines.requests.get(request_id)
        if request is None:
            return
        self.calls.finish(request, now, Outcome.CANCELLED)
        if request.state is RequestState.RUNNING and outcome in (Outcome.OK, Outcome.ERROR):
            self._record_run(request, now)
        request.is_answered = True
        self._finish(request, now)
        self._use_free_capacity(now)

    def on_run_unknown(self, request_id: int) -> None:
        """Forgets the key of a request whose run never started, as the pool does not know it."""
        self.keys.forget(request_id)

    def on_dependency_needed(self, now: float, request_id: int) -> None:
        """Takes a run off the cores and queues its dependency call.

        A class with a degraded result skips a call that is still queued when the rest of the run
        would no longer fit before the deadline.
        """
        request = self.deadlines.requests.get(request_id)
        if request is None or request.state is not RequestState.RUNNING:
            return
        self.estimates.on_dependency_needed(request)
        request.reply_uncertain_at = None
        self.occupancy.suspend_for_call(request, now)
        request.dependency_attempts = 0
        self.calls.enqueue(now, request)
        if request.request_class.degraded_weight > 0.0:
            remaining_ms = self.REMAINING_RUN_FRACTION * self.estimates.run_ms(request, now)
            skip_at = request.deadline - remaining_ms
            timer = self.timers.schedule(skip_at, self._skip_waiting_call, request)
            request.timers.append(timer)
        self._use_free_capacity(now)

    def on_dependency_finished(self, now: float, request_id: int, outcome: Outcome) -> None:
        """Resumes, retries or fails a run whose dependency call ended.

        After a failed call the run retries the call if that is allowed, else continues without the
        call if its class has a degraded result, else fails.
        """
        request = self.deadlines.requests.get(request_id)
        if request is None or request.state is not RequestState.AWAITING_DEPENDENCY:
            return
        self.calls.finish(request, now, outcome)
        if outcome is Outcome.OK:
            self.occupancy.resume_after_call(request, now)
        elif not request.is_answered:
            if self.calls.may_retry(request, now, outcome):
                self.calls.retry_later(request, now)
            elif request.request_class.degraded_weight > 0.0:
                self._skip_dependency(request, now)
            else:
                self.fail(request, now)
        self._use_free_capacity(now)

    def on_reply_uncertain(self, now: float, request_id: int) -> None:
        """Handles a run that may have lost the reply to its dependency call.

        The reply must not be sent twice: a run that has received it would take the second copy for
        the reply to its next call. A class with a degraded result skips the call, which has no
        effect on a run that has continued. Any other run fails if it shows no sign of continuing;
        a run that waits for a call ends when its request is answered.
        """
        request = self.deadlines.requests.get(request_id)
        if request is None or request.is_answered or request.state is not RequestState.RUNNING:
            return
        if request.request_class.degraded_weight > 0.0:
            self.actions.skip_dependency(request_id)
            return
        request.reply_uncertain_at = now
        run_ms = self.UNCERTAIN_RUN_FACTOR * self.estimates.run_ms(request, now)
        timer = self.timers.schedule(now + run_ms, self._fail_if_reply_uncertain, request)
        request.timers.append(timer)

    def _fail_if_reply_uncertain(self, now: float, request: Request) -> None:
        if request.reply_uncertain_at is not None and not request.is_answered:
            self.fail(request, now)

    def on_cancel(self, now: float, request_id: int) -> None:
        """Releases a request whose caller no longer waits for an answer."""
        request = self.deadlines.requests.get(request_id)
        if request is not None and not request.is_answered:
            self._release(request, now)
            self._use_free_capacity(now)

    def start_draining(self, now: float, stops_at: float) -> None:
        """Starts to drain: reports the server as unhealthy and answers all requests in time.

        Args:
            now: the current time, ms.
            stops_at: when the process stops, ms.
        """
        self.deadlines.start_draining(now, stops_at)
        self.reporter.start_draining()
        self.actions.log(
            f"leaving in {stops_at - now:.0f} ms with {len(self.deadlines.requests)} tasks in hand"
        )

    def on_tick(self, now: float, gauge_values: tuple[float, ...]) -> None:
        """Runs expired timers and, once per sample, the control loops.

        Args:
            now: the current time, ms.
            gauge_values: the values of the settings' gauges, in their order.
        """
        self.actions.schedule_tick(TICK_INTERVAL_MS)
        self.timers.run_expired(now)
        self.gauges.update(gauge_values)
        self.limit.on_tick(now, bool(self.scheduler.waiting), self.gauges)
        self.pools.tick(now, self.limit.slots(now))
        if now - self.sampled_at >= SAMPLE_INTERVAL_MS:
            self.sampled_at = now
            self._on_sample(now)
        self._use_free_capacity(now)

    def use_pools(self, now: float, pools: Pools | None) -> None:
        """Replaces the class pools; None puts all classes into a single pool.

        Requests that are queued or run move to their pools in the new plan.
        """
        self.pools = pools or SinglePool(self.scheduler.shares)
        self.occupancy.pools = self.pools
        for request in self.deadlines.requests.values():
            request.pool = self.pools.pool_of(request.class_index)
            if request.state is RequestState.RUNNING:
                self.pools.slot_taken(now, request.pool, True)
        self.scheduler.use_pools(self.pools)

    # Admission

    def _await_original(self, request: Request, original_id: int, now: float) -> None:
        """Answers a retry by idempotency key from its original.

        The retry waits while the original is queued and memory suffices; else it is replayed now.
        """
        original = self.deadlines.requests.get(original_id)
        if original is not None and original.original is not None:
            original = original.original
        if (
            original is not None
            and original.state is RequestState.QUEUED
            and self.limit.fits_memory(self.keys.memory_kb)
        ):
            request.state = RequestState.AWAITING_ORIGINAL
            request.original = original
            original.waiting_retries.append(request)
        else:
            self._replay(request, now)

    def _replay(self, request: Request, now: float) -> None:
        """Answers a retry with the result of its original, or fails it if memory is short.

        The memory of a run is reserved now, because it may be needed as soon as the result exists.
        """
        if self.limit.reserve_run_memory(request, self.keys.memory_kb):
            request.state = RequestState.REPLAYING
            self.actions.replay_result(request.request_id)
        else:
            self.fail(request, now)

    def _admit(self, request: Request, now: float) -> None:
        """Admits a request that is not a replay, if its idempotency key fits into memory."""
        is_keyed = request.request_class.idempotency is Idempotency.KEYED
        key_memory_kb = self.keys.key_memory_kb if is_keyed else 0.0
        fits = self.limit.fits_memory(self.keys.memory_kb + key_memory_kb)
        if not fits or request.arrived_at > self.deadlines.last_arrival_at:
            self.reject(request, now)
        elif self.shedder.sheds(request.request_class.priority_weight):
            self.reporter.shed += 1
            self.reject(request, now, self.max_retry_after_ms)
        else:
            if is_keyed:
                self.keys.retain(request, now)
            self.enqueue(request, now)

    def enqueue(self, request: Request, now: float) -> None:
        """Queues a request, or rejects it if its wait and run would take too long."""
        wait_ms = self.admission.try_enqueue(request, now, self.pools)
        if wait_ms is None:
            timer = self.timers.schedule(request.deadline, self.on_objective_missed, request)
            request.timers.append(timer)
        else:
            self._reject_for_load(request, wait_ms, now)

    def _reject_for_load(self, request: Request, wait_ms: float, now: float) -> None:
        self.pools.request_rejected(now, request.pool, request.content_digest)
        unread_ms = now - request.arrived_at
        max_unread_ms = PriorityShedder.MAX_UNREAD_FRACTION * (
            request.deadline - request.arrived_at
        )
        if wait_ms > 0.0 or unread_ms > max_unread_ms:
            self.reporter.shed += 1
        self.reject(request, now, wait_ms)

    # Runs

    def start_runs(self, now: float) -> None:
        """Starts queued requests while there is capacity, and rejects those that are too late."""
        while self.scheduler.waiting and self.limit.has_capacity(now):
            request = self.scheduler.next_request(now)
            if request is None:
                return
            must_end_by = min(request.deadline, self.deadlines.stops_at)
            run_ms = self.estimates.run_ms(request, now)
            if now + self.MIN_START_FRACTION * run_ms > must_end_by:
                self.reject(request, now)
            elif self.limit.reserve_run_memory(request, self.keys.memory_kb):
                self.start_run(request, now)
            else:
                return

    def start_run(self, request: Request, now: float) -> None:
        """Starts a request whose memory is reserved, and replays its result to waiting retries."""
        self.scheduler.remove(request)
        self.scheduler.queues[request.tenant_index].running += 1
        self.occupancy.start(request, now)
        self.actions.start(request.request_id)
        retries = request.waiting_retries
        request.waiting_retries = []
        for retry in retries:
            retry.original = None
            self._replay(retry, now)

    def _record_run(self, request: Request, now: float) -> None:
        """Records the duration and lateness of a run that was not cancelled."""
        slot_ms = self.estimates.on_run_finished(request, now)
        self.limit.responses += 1
        self.limit.late_responses += now > request.deadline
        self.pools.request_finished(now, request.pool, slot_ms)
        response_ms = now - request.arrived_at
        self.scheduler.response_ms.setdefault(request.tenant_index, []).append(response_ms)

    def _use_free_capacity(self, now: float) -> None:
        """Sends the dependency calls that are ready, then starts runs."""
        while (request := self.calls.next_ready(now)) is not None:
            is_optional = request.request_class.degraded_weight > 0.0
            if is_optional and self.calls.is_too_late(request, now):
                self._skip_dependency(request, now)
            else:
                self.calls.send(request, now)
        self.start_runs(now)

    def _on_sample(self, now: float) -> None:
        objective_ms = self.estimates.objective_ms
        self.limit.on_sample()
        self.shedder.on_sample(self.reporter.received)
        slots = self.limit.slots(now)
        slot_ms = self.estimates.mean_slot_ms(now)
        self.scheduler.on_sample(slots, slot_ms, objective_ms)
        self.reporter.on_sample(
            self.limit.speed(now),
            self.gauges.open_connections,
            slots + self.scheduler.max_queue_length(slots, slot_ms, objective_ms),
            self.shedder.unread_fraction,
        )

    # Dependency calls

    def _skip_dependency(self, request: Request, now: float) -> None:
        self.actions.skip_dependency(request.request_id)
        self.occupancy.resume_after_call(request, now)

    def _skip_waiting_call(self, now: float, request: Request) -> None:
        """Skips a call that is still queued; a timer calls this when the deadline is close."""
        if self.calls.withdraw(request):
            self._skip_dependency(request, now)

    # Answers

    def _on_answer_deadline(self, now: float, request: Request) -> None:
        """Answers a request at the last possible time, whatever its state."""
        if request.is_answered:
            return
        if request.state is RequestState.QUEUED:
            self.reject(request, now)
        else:
            self.fail(request, now)

    def on_objective_missed(self, now: float, request: Request) -> None:
        """Answers a request that missed its objective, if a late answer has no value.

        A run that cannot be cancelled continues, and its result is sent.
        """
        if request.request_class.late_weight > 0.0:
            return
        is_waiting = request.state is RequestState.QUEUED or self.calls.is_waiting(request)
        if is_waiting or self._can_cancel(request):
            self._on_answer_deadline(now, request)

    def _can_cancel(self, request: Request) -> bool:
        return (
            self.can_cancel_runs
            and request.state is RequestState.RUNNING
            and request.request_class.idempotency is Idempotency.IDEMPOTENT
        )

    def reject(self, request: Request, now: float, retry_after_ms: float = 0.0) -> None:
        """Answers a request that has not run with a rejection.

        While the backoff is high, callers are asked not to retry, because other servers are
        probably overloaded too. The request not to retry is omitted while the server drains or
        warms up, and for high-priority requests.

        Args:
            request: the request.
            now: the current time, ms.
            retry_after_ms: the estimated wait, as a hint for the caller's next attempt.
        """
        weight = request.request_class.priority_weight
        do_not_retry = False
        if self.reporter.is_draining:
            retry_after_ms = self.max_retry_after_ms
        else:
            retry_after_ms = min(retry_after_ms, self.max_retry_after_ms)
            do_not_retry = (
                weight < self.shedder.high_priority
                and self.reporter.backoff > self.MAX_BACKOFF_TO_RETRY
                and self.limit.speed(now) >= 1.0
            )
        self.actions.reject(request.request_id, do_not_retry, retry_after_ms)
        self.shedder.on_unserved(weight)
        self._release(request, now)

    def fail(self, request: Request, now: float) -> None:
        """Answers a request as failed."""
        self.actions.fail(request.request_id)
        self.shedder.on_unserved(request.request_class.priority_weight)
        self._release(request, now)

    def _release(self, request: Request, now: float) -> None:
        """Marks a request as answered, and ends it unless it runs.

        A queued dependency call is withdrawn, and a run is cancelled if possible. Otherwise the
        request finishes when its run ends.
        """
        request.is_answered = True
        if request.state in (
            RequestState.QUEUED,
            RequestState.AWAITING_ORIGINAL,
            RequestState.REPLAYING,
        ):
            self._finish(request, now)
        elif not self.calls.withdraw(request) and self._can_cancel(request):
            self.actions.cancel_run(request.request_id)

    def _finish(self, request: Request, now: float) -> None:
        """Frees all resources of a request, and lets a waiting retry take its place."""
        state = request.state
        request.state = RequestState.FINISHED
        if state is RequestState.QUEUED:
            self.scheduler.remove(request)
            if request.request_class.idempotency is Idempotency.KEYED:
                self.keys.drop(request)
        elif state is RequestState.AWAITING_ORIGINAL and request.original is not None:
            request.original.waiting_retries.remove(request)
        elif state in (RequestState.RUNNING, RequestState.AWAITING_DEPENDENCY):
            self.scheduler.queues[request.tenant_index].running -= 1
            self.occupancy.finish(request, state, now)
        self.limit.release_memory(request, state)
        self.deadlines.remove(request)
        if request.waiting_retries:
            self._replace_original(request, now)

    def _replace_original(self, original: Request, now: float) -> None:
        """Admits a waiting retry in place of its original, which ended without having run.

        The retries are rejected if none of them may run.
        """
        promoted = original.promote_retry()
        if promoted is not None:
            self._admit(promoted, now)
            return
        for retry in list(original.waiting_retries):
            self.reject(retry, now)
