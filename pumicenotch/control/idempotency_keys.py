"""Retains idempotency keys from before a request can run, so that none takes effect twice."""

from pumicenotch.control.request import Request
from pumicenotch.control.timers import Timer, TimerQueue
from pumicenotch.interface import Actions


class IdempotencyKeys:
    """Owns the retained keys, each for the whole window in which retries may arrive.

    Attributes:
        key_memory_kb: the memory of one key, its result included.
        retained: the timers that end the retention, by the ids of the requests.
    """

    # A key outlasts the last possible retry by more than one batch of events.
    EXPIRY_MARGIN_MS = 20.0

    def __init__(self, timers: TimerQueue, actions: Actions, key_memory_kb: float) -> None:
        self.timers = timers
        self.actions = actions
        self.key_memory_kb = key_memory_kb
        self.retained: dict[int, Timer] = {}

    def retain(self, request: Request, now: float) -> None:
        """Retains the key of a request until its idempotency window ends."""
        window_ends_at = request.arrived_at + request.request_class.idempotency_window_ms
        expires_at = max(window_ends_at, now) + self.EXPIRY_MARGIN_MS
        self.forget(request.request_id)
        timer = self.timers.schedule(expires_at, self._expire, request.request_id)
        self.retained[request.request_id] = timer
        self.actions.retain_key(request.request_id, expires_at - now)

    def drop(self, request: Request) -> None:
        """Drops the key of a request that ended without having run."""
        if self.forget(request.request_id):
            self.actions.drop_key(request.request_id)

    def forget(self, request_id: int) -> bool:
        """Ends the retention of a key; returns whether the key was retained."""
        timer = self.retained.pop(request_id, None)
        if timer is not None:
            timer.cancel()
        return timer is not None

    def _expire(self, _: float, request_id: int) -> None:
        self.retained.pop(request_id, None)

    @property
    def memory_kb(self) -> float:
        """The memory of all retained keys."""
        return self.key_memory_kb * len(self.retained)
