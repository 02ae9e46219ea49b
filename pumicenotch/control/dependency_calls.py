"""Calls to the dependency: paced, and bounded by this server's quota of it."""

import random
from bisect import insort

from pumicenotch.control.request import Request
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.control.timers import TICK_INTERVAL_MS, TimerQueue
from pumicenotch.interface import Actions, DependencyKind, Idempotency, Outcome, RequestState

# Outcomes which prove that a call did not take effect.
WITHOUT_EFFECT = (Outcome.REJECTED, Outcome.UNREACHABLE, Outcome.NOT_STARTED)


class DependencyCalls:
    """The calls of all runs: those that are open, and those that wait to be sent.

    They are sent at the rate at which the quota's calls come back, which their recent time tells.

    Attributes:
        max_open: how many calls may be open, those that linger included; may be below 1.
        open: the requests whose calls are open.
        lingering: how many calls timed out here and still occupy the dependency.
        recent_ms: the recent time of a call; 0 until one has come back.
        blocked_until: when the next call may start, where `max_open` is below 1.
    """

    USED_QUOTA_FRACTION = 0.9  # calls linger after a timeout, and clocks differ a little
    NEXT_TIER_CALLS_PER_CORE = 16.0  # never open at once: there the pace alone bounds the calls
    TIMEOUT_FACTOR = 5.0  # times the recent time: hardly any call that comes back takes longer
    MIN_TIMEOUT_FRACTION = 0.25  # of the time left
    MAX_WINDOW_FRACTION = 0.5  # of the quota's window that one call may use up, below one call
    MAX_ATTEMPTS = 3  # failing for the third time, the dependency is not merely overloaded
    BURST_FRACTION = 0.25  # of the quota that may be sent at once
    SMOOTHING = 0.1  # of the recent time, for each call
    MIN_QUOTA = 0.01  # below which the wait for a quota is not told apart

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
        self.recent_ms = 0.0
        self.blocked_until = 0.0 if quota else float("inf")
        self._waiting: list[Request] = []
        self._tokens = 1.0
        self._refilled_at = 0.0

    def enqueue(self, now: float, request: Request) -> None:
        """Let a run wait for its turn to call, unless it needs its call no more."""
        if request.state is RequestState.AWAITING_DEPENDENCY and not request.is_answered:
            insort(self._waiting, request)

    def withdraw(self, request: Request) -> bool:
        """Let a run wait no longer; False if it did not wait for its turn."""
        if request not in self._waiting:
            return False
        self._waiting.remove(request)
        return True

    def is_waiting(self, request: Request) -> bool:
        """Return whether a run waits for its turn to call."""
        return request in self._waiting

    def next_ready(self, now: float) -> Request | None:
        """Return the next run that may call now, and let it wait no longer."""
        gained = 1.0
        if self.recent_ms:
            gained = (now - self._refilled_at) * self.max_open / self.recent_ms
        max_tokens = max(1.0, self.BURST_FRACTION * self.max_open)
        self._tokens = min(max_tokens, self._tokens + gained)
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
        """Make the call of a run whose turn it is."""
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
            # In time for a retry, or for a run without its call: the dependency may hang.
            attempt_ms = max(
                self.TIMEOUT_FACTOR * self.recent_ms,
                self.MIN_TIMEOUT_FRACTION * (request.deadline - now),
            )
            timeout_ms = min(timeout_ms, attempt_ms)
        if self.max_open < 1.0:
            window_ms = self.MAX_WINDOW_FRACTION * self.max_open * self._window_ms
            timeout_ms = min(timeout_ms, window_ms - self._linger_ms)
        return timeout_ms

    def finish(self, request: Request, now: float, outcome: Outcome) -> None:
        """Close a run's call, if it has one open."""
        if request.request_id not in self.open:
            return
        self.open.remove(request.request_id)
        took_ms = now - request.dependency_called_at
        linger_ms = 0.0
        if outcome in (Outcome.TIMEOUT, Outcome.CANCELLED):
            linger_ms = self._linger_ms
        if linger_ms:
            self._linger(now, 1)
            self._timers.schedule(now + linger_ms, self._linger, -1)
        if self.max_open < 1.0:
            busy_ms = took_ms + linger_ms
            self.blocked_until = request.dependency_called_at + busy_ms / self.max_open
        # Calls that were given up or cut off took as long as we waited, which says nothing.
        if outcome in (Outcome.OK, Outcome.ERROR):
            if self.recent_ms:
                self.recent_ms += self.SMOOTHING * (took_ms - self.recent_ms)
            else:
                self.recent_ms = took_ms

    def _linger(self, now: float, calls: int) -> None:
        self.lingering += calls

    def expected_wait_ms(self, now: float) -> float:
        """Return how long a call that is wanted now waits for its turn.

        Beyond the calls that may be open, each one ahead takes the recent time of a call.
        """
        open_calls = len(self._waiting) + len(self.open) + self.lingering
        ahead = open_calls + 1 - max(1.0, self.max_open)
        blocked_ms = max(0.0, self.blocked_until - now)
        return blocked_ms + max(0.0, ahead) * self.recent_ms / max(self.max_open, self.MIN_QUOTA)

    def may_retry(self, request: Request, now: float, outcome: Outcome) -> bool:
        """Return whether a call may be made again after that outcome, and there is time for it."""
        request_class = request.request_class
        if outcome not in WITHOUT_EFFECT:
            if request_class.idempotency is not Idempotency.IDEMPOTENT:
                return False
            # A reset connection says nothing of the dependency; anything else does.
            if request_class.degraded_weight > 0.0 and outcome is not Outcome.RESET:
                return False
            if request.dependency_attempts >= self.MAX_ATTEMPTS:
                return False
        return now + max(TICK_INTERVAL_MS, 2.0 * self.recent_ms) < request.deadline

    def retry_later(self, request: Request, now: float) -> None:
        """Let a run wait for its turn again after a backoff with jitter."""
        jitter = self._random_uniform(0.5, 1.5)
        backoff_ms = jitter * max(TICK_INTERVAL_MS, 0.5 * self.recent_ms)
        self._timers.schedule(now + backoff_ms, self.enqueue, request)

    def is_too_late(self, request: Request, now: float) -> bool:
        """Return whether a call that starts now would hardly come back within the objective."""
        return request.deadline - now < 2.0 * self.recent_ms
