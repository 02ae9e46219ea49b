"""No keyed request takes effect twice: its key is retained from before it can run."""

from pumicenotch.control.request import Request
from pumicenotch.control.timers import TimerQueue
from pumicenotch.interface import Actions


class IdempotencyKeys:
    """The retained keys, each for the whole window in which retries may come."""

    EXPIRY_MARGIN_MS = 20.0  # outlasts the last retry by more than one batch of events

    def __init__(self, timers: TimerQueue, actions: Actions, key_memory_kb: float) -> None:
        self.timers = timers
        self.actions = actions
        self.key_memory_kb = key_memory_kb
        self.retained: set[int] = set()

    def retain(self, request: Request, now: float) -> None:
        """Keep the key of a request until its window is over."""
        window_ends_at = request.arrived_at + request.request_class.idempotency_window_ms
        expires_at = max(window_ends_at, now) + self.EXPIRY_MARGIN_MS
        self.retained.add(request.request_id)
        self.timers.schedule(expires_at, self._expire, request.request_id)
        self.actions.retain_key(request.request_id, expires_at - now)

    def drop(self, request: Request, now: float) -> None:
        """Forget the key of a request that ended without having run."""
        if request.request_id in self.retained:
            self._expire(now, request.request_id)
            self.actions.drop_key(request.request_id)

    def _expire(self, now: float, request_id: int) -> None:
        self.retained.discard(request_id)

    @property
    def memory_kb(self) -> float:
        """What all retained keys occupy."""
        return self.key_memory_kb * len(self.retained)
