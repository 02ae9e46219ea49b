"""One answer for each request: before its caller gives up, and before the process stops."""

from collections.abc import Callable

from pumicenotch.control.request import Request
from pumicenotch.control.timers import TICK_INTERVAL_MS, TimerQueue


class AnswerDeadlines:
    """All requests that are not finished, each with a timer for its last possible answer."""

    SAFETY_MARGIN_MS = TICK_INTERVAL_MS + 10.0  # leaves time even where a tick comes late

    def __init__(
        self,
        timers: TimerQueue,
        drain_grace_ms: float,
        on_expiry: Callable[[float, Request], None],
    ) -> None:
        self.timers = timers
        self.drain_grace_ms = drain_grace_ms
        self.on_expiry = on_expiry
        self.requests: dict[int, Request] = {}
        self.last_arrival_at = float("inf")
        self.stops_at = float("inf")

    def add(self, request: Request) -> None:
        """Take a request that was read."""
        self.requests[request.request_id] = request
        answer_by = min(request.expires_at, self.stops_at) - self.SAFETY_MARGIN_MS
        self.timers.schedule(answer_by, self.on_expiry, request)

    def start_draining(self, now: float, stops_at: float) -> None:
        """Answer everything before the process stops."""
        self.last_arrival_at = now + self.drain_grace_ms
        self.stops_at = stops_at
        for request in self.requests.values():
            self.timers.schedule(stops_at - self.SAFETY_MARGIN_MS, self.on_expiry, request)
