"""Paces calls to the dependency and bounds them by this server's quota."""

import random
from bisect import insort

from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.timers import TICK_INTERVAL_MS, TimerQueue
from pumicenotch.interface import Actions, DependencyKind, Idempotency, Outcome, RequestState

# Outcomes that prove that a call did not take effect.
OUTCOMES_WITHOUT_EFFECT = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)


class DependencyCalls:
    """Owns the dependency calls of all runs: the open ones and the queue of those to send.

    A token bucket sends calls at the rate at which `max_open` concurrent calls of `mean_call_ms`
    complete.

    Attributes:
        max_open: how many calls may be open, lingering ones included; may be below 1.
        open: the ids of the requests whose calls are open.
        lingering: the number of calls that timed out on this server but still occupy the
            dependency.
        mean_call_ms: the moving mean of the duration of a call; 0 until a call has completed.
        blocked_until: when the next call may start, if `max_open` is below 1.
    """

    # The rest of the quota covers calls that linger after a timeout, and clock differences.
    USED_QUOTA_FRACTION = 0.9
    # Open calls per core to a next tier, which has no quota. The limit is never reached in
    # practice: the rate alone bounds these calls.
    NEXT_TIER_CALLS_PER_CORE = 16.0
    # The timeout as a multiple of `mean_call_ms`; hardly any call that completes takes longer.
    TIMEOUT_FACTOR = 5.0
    # The shortest timeout, as a fraction of the time to the deadline.
    MIN_TIMEOUT_FRACTION = 0.25
    # With a quota below one call, the fraction of the quota's window that one call may use.
    MAX_WINDOW_FRACTION = 0.5
    # Attempts per call. A dependency that fails for the third time is not merely overloaded.
    MAX_ATTEMPTS = 3
    # The fraction of the quota that may be sent in one burst.
    BURST_FRACTION = 0.25
    # The weight of one call in `mean_call_ms`.
    SMOOTHING = 0.1
    # A smaller quota counts as this value in the estimated wait, which stays finite.
    MIN_QUOTA = 0.01

    def __init__(
        self,
        timers: TimerQueue,
        actions: Actions,
        rng: random.Random,
        settings: ControllerSettings,
    ) -> None:
        self._timers = timers
        self._actions = actions
        self._random_uniform = rng.uniform
        self._window_ms = settings.dependency_window_ms
        self._linger_ms = settings.dependency_linger_ms
        quota = self.NEXT_TIER_CALLS_PER_CORE * settings.cores
        if settings.dependency_kind is DependencyKind.SHARED:
            quota = settings.dependency_quota
        self.max_open = self.USED_QUOTA_FRACTION * quota
        self.open: set[int] = set()
        self.lingering = 0
        self.mean_call_ms = 0.0
        self.blocked_until = 0.0 if quota else float("inf")
        self._waiting: list[Request] = []
        self._tokens = 1.0
        self._refilled_at = 0.0

    def enqueue(self, now: float, request: Request) -> None:
        """Queues the call of a run, unless the run no longer needs it."""
        if request.state is RequestState.AWAITING_DEPENDENCY and not request.is_answered:
            insort(self._waiting, request)

    def withdraw(self, request: Request) -> bool:
        """Removes a run's call from the queue; returns False if it was not queued."""
        if request not in self._waiting:
            return False
        self._waiting.remove(request)
        return True

    def is_waiting(self, request: Request) -> bool:
        """Returns whether a run's call is queued."""
        return request in self._waiting

    def next_ready(self, now: float) -> Request | None:
        """Removes and returns the next run that may call now, or None."""
        new_tokens = 1.0
        if self.mean_call_ms:
            new_tokens = (now - self._refilled_at) * self.max_open / self.mean_call_ms
        max_tokens = max(1.0, self.BURST_FRACTION * self.max_open)
        self._tokens = min(max_tokens, self._tokens + new_tokens)
        self._refilled_at = now
        if (
            not self._waiting
            or self._tokens < 1.0
            or now < self.blocked_until
            or len(self.open) + self.lingering + 1 > max(1.0, self.max_open)
        ):
            return None
        return self._waiting.pop(0)

    def send(self, request: Request, now: float) -> None:
        """Sends the call of a run that `next_ready` returned."""
        self._tokens -= 1.0
        request.dependency_attempts += 1
        request.dependency_called_at = now
        self.open.add(request.request_id)
        timeout_ms = max(TICK_INTERVAL_MS, self._timeout_ms(request, now))
        self._actions.call_dependency(request.request_id, timeout_ms)

    def _timeout_ms(self, request: Request, now: float) -> float:
        timeout_ms = request.expires_at - now
        request_class = request.request_class
        if (
            request_class.idempotency is Idempotency.IDEMPOTENT
            or request_class.degraded_weight > 0.0
        ):
            # The dependency may hang. The timeout leaves time for a retry or a degraded result.
            attempt_ms = max(
                self.TIMEOUT_FACTOR * self.mean_call_ms,
                self.MIN_TIMEOUT_FRACTION * (request.deadline - now),
            )
            timeout_ms = min(timeout_ms, attempt_ms)
        if self.max_open < 1.0:
            window_ms = self.MAX_WINDOW_FRACTION * self.max_open * self._window_ms
            timeout_ms = min(timeout_ms, window_ms - self._linger_ms)
        return timeout_ms

    def finish(self, request: Request, now: float, outcome: Outcome) -> None:
        """Closes the open call of a run, if there is one, and learns from its duration."""
        if request.request_id not in self.open:
            return
        self.open.remove(request.request_id)
        call_ms = now - request.dependency_called_at
        linger_ms = 0.0
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            linger_ms = self._linger_ms
        if linger_ms:
            self._linger(now, 1)
            self._timers.schedule(now + linger_ms, self._linger, -1)
        if self.max_open < 1.0:
            busy_ms = call_ms + linger_ms
            self.blocked_until = request.dependency_called_at + busy_ms / self.max_open
        # The duration of a call that timed out or was cancelled is that of the wait for it, and
        # tells nothing about the dependency.
        if outcome in (Outcome.OK, Outcome.ERROR):
            if self.mean_call_ms:
                self.mean_call_ms += self.SMOOTHING * (call_ms - self.mean_call_ms)
            else:
                self.mean_call_ms = call_ms

    def _linger(self, now: float, calls: int) -> None:
        self.lingering += calls

    def expected_wait_ms(self, now: float) -> float:
        """Returns how long a call that is queued now would wait to be sent.

        Each earlier call, beyond those that may be open, adds `mean_call_ms` divided by `max_open`.
        """
        open_calls = len(self._waiting) + len(self.open) + self.lingering
        calls_ahead = open_calls + 1 - max(1.0, self.max_open)
        blocked_ms = max(0.0, self.blocked_until - now)
        return blocked_ms + max(0.0, calls_ahead) * self.mean_call_ms / max(
            self.max_open, self.MIN_QUOTA
        )

    def may_retry(self, request: Request, now: float, outcome: Outcome) -> bool:
        """Returns whether a call may be retried after `outcome` and there is time for the retry."""
        request_class = request.request_class
        if outcome not in OUTCOMES_WITHOUT_EFFECT:
            if request_class.idempotency is not Idempotency.IDEMPOTENT:
                return False
            # A class with a degraded result retries only after a reset connection, which does not
            # indicate a fault of the dependency. Any other failure does.
            if request_class.degraded_weight > 0.0 and outcome is not Outcome.RESET:
                return False
            if request.dependency_attempts >= self.MAX_ATTEMPTS:
                return False
        return now + max(TICK_INTERVAL_MS, 2.0 * self.mean_call_ms) < request.deadline

    def retry_later(self, request: Request, now: float) -> None:
        """Queues the call of a run again after a backoff with jitter."""
        jitter = self._random_uniform(0.5, 1.5)
        backoff_ms = jitter * max(TICK_INTERVAL_MS, 0.5 * self.mean_call_ms)
        request.timers.append(self._timers.schedule(now + backoff_ms, self.enqueue, request))

    def is_too_late(self, request: Request, now: float) -> bool:
        """Returns whether a call that starts now would probably end after the deadline.

        The estimate of the call's duration is twice `mean_call_ms`.
        """
        return request.deadline - now < 2.0 * self.mean_call_ms
