"""Ensures that each request is answered before its caller gives up and before the process stops."""

from collections.abc import Callable

from pumicenotch.control.request import Request
from pumicenotch.control.timers import TICK_INTERVAL_MS, TimerQueue


class AnswerDeadlines:
    """Owns all unfinished requests and a timer for the last possible answer to each.

    Attributes:
        requests: the unfinished requests, by request id.
        last_arrival_at: arrivals after this time are rejected; infinite until a drain starts.
        stops_at: when the process stops; infinite until a drain starts.
    """

    # Timers run on ticks. One tick interval and 10 ms leave time to answer when a tick is late.
    SAFETY_MARGIN_MS = TICK_INTERVAL_MS + 10.0

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
        """Adds a request that was read, and schedules its last possible answer."""
        self.requests[request.request_id] = request
        answer_by = min(request.expires_at, self.stops_at) - self.SAFETY_MARGIN_MS
        request.timers.append(self.timers.schedule(answer_by, self.on_expiry, request))

    def remove(self, request: Request) -> None:
        """Removes a request that is over, with all timers that end with it."""
        del self.requests[request.request_id]
        for timer in request.timers:
            timer.cancel()
        request.timers.clear()

    def start_draining(self, now: float, stops_at: float) -> None:
        """Moves the last possible answer of every request to before `stops_at`.

        Callers may keep sending for `drain_grace_ms`; later arrivals are rejected.
        """
        self.last_arrival_at = now + self.drain_grace_ms
        self.stops_at = stops_at
        answer_by = stops_at - self.SAFETY_MARGIN_MS
        for request in self.requests.values():
            request.timers.append(self.timers.schedule(answer_by, self.on_expiry, request))
