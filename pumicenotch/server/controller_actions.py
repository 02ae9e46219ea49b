"""Carries out the decisions of the admission controller."""

from typing import TYPE_CHECKING, NamedTuple

from pumicenotch.interface import Outcome
from pumicenotch.server.database_client import Call
from pumicenotch.server.effects import Log
from pumicenotch.server.messages import ResumeRun, SkipDependency, StartRun, SuspendRun
from pumicenotch.server.pending_request import PendingRequest

if TYPE_CHECKING:
    from pumicenotch.server.core import Server


class ResultExpiry(NamedTuple):
    """The timer of a cached result: its first attempt, and the recheck interval while it runs."""

    original_id: int
    retry_ms: float


class ControllerActions:
    """Implements `interface.Actions` for one server.

    Called by the controller while it handles an event. Changes the server's state and adds effects.

    Args:
        server: The server to act on.
    """

    def __init__(self, server: "Server") -> None:
        self.server = server

    def start(self, request_id: int) -> None:
        """Starts a request's run, or resumes it where it was suspended."""
        server = self.server
        request = server.requests.by_id[request_id]
        server.counters.add("runs")
        if request.suspended:
            request.suspended = False
            server.worker_pool.send(request, ResumeRun(request.name))
            return
        request.started = True
        server.results.on_started(request)
        command = StartRun(request.name, request.class_name, request.body)
        server.worker_pool.send(request, command)

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        """Rejects a request that has not run."""
        request = self.server.requests.by_id[request_id]
        self.server.reject_request(request, retry_after_ms, do_not_retry)
        self.server.requests.remove(request)

    def fail(self, request_id: int) -> None:
        """Fails a request; a started run continues, but its dependency call is abandoned."""
        request = self.server.requests.by_id[request_id]
        self.server.fail_request(request)
        if request.started:
            self.server.database.abandon(request)
        else:
            self.server.requests.remove(request)

    def cancel_run(self, request_id: int) -> None:
        """Suspends a run that nobody waits for; `start` may resume it."""
        request = self.server.requests.by_id[request_id]
        request.suspended = True
        self.server.worker_pool.send(request, SuspendRun(request.name))

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        """Makes the dependency call that the request's run waits for."""
        server = self.server
        request = server.requests.by_id[request_id]
        if not server.settings.has_database:
            server.deferred.append(lambda: server.finish_call(request, Outcome.UNREACHABLE))
            return
        server.counters.add("calls")
        if server.request_counters is not None:
            server.request_counters.on_call_started(server.now, request)
        call = server.database.start(server.now, request, timeout_ms)
        server.timers.schedule(server.now + timeout_ms, self._time_out_call, call)

    def skip_dependency(self, request_id: int) -> None:
        """Resumes the request's run without its dependency call."""
        request = self.server.requests.by_id[request_id]
        self.server.counters.add("calls_left_out")
        command = SkipDependency(request.name, request.last_notice_serial)
        self.server.worker_pool.send(request, command)

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        """Keeps the request's idempotency key and result for `ttl_ms`, or longer while it runs."""
        server = self.server
        request = server.requests.by_id[request_id]
        if request.idempotency_key:
            # The window counts from the gateway's stamp, as do those of its retries.
            expires_at = server.now + ttl_ms + request.clock_ahead_ms
            server.results.add(request, expires_at)
            expiry = ResultExpiry(request.request_id, request.request_class.timeout_ms)
            self._schedule_expiry(expires_at + expiry.retry_ms, expiry)

    def drop_key(self, request_id: int) -> None:
        """Removes the key of a request that has not run; retries that wait for its result fail."""
        for retry in self.server.results.drop(request_id):
            self._replay(retry, Outcome.ERROR, b"")

    def replay_result(self, request_id: int) -> None:
        """Answers a retry with the outcome of its first attempt, at once or when that finishes."""
        request = self.server.requests.by_id[request_id]
        entry = self.server.results.replay(request)
        if entry is None:
            self._replay(request, Outcome.ERROR, b"")
        elif entry.outcome is not None:
            self._replay(request, entry.outcome, entry.result)

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Sets the answer to health checks."""
        self.server.healthy = healthy

    def report_load(self, value: float) -> None:
        """Sets the load hint that is sent with every answer."""
        self.server.load_hint = value

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Sets the idle time after which gateways are asked to close a connection."""
        self.server.connections.idle_timeout_ms = timeout_ms

    def schedule_tick(self, after_ms: float) -> None:
        """Schedules the controller's next tick."""
        self.server.lifecycle.schedule_tick(after_ms)

    def log(self, text: str) -> None:
        """Logs a line."""
        self.server.effects.append(Log(text))

    def _replay(self, request: PendingRequest, outcome: Outcome, result: bytes) -> None:
        self.server.replay_result(request, outcome, result)

    def _time_out_call(self, now: float, call: Call) -> None:
        database = self.server.database
        if database.is_current(call):
            written = database.abandon(call.request)
            outcome = Outcome.TIMEOUT if written else Outcome.UNREACHABLE
            self.server.finish_call(call.request, outcome)

    def _expire(self, now: float, expiry: ResultExpiry) -> None:
        if not self.server.results.expire(expiry.original_id):
            self._schedule_expiry(now + expiry.retry_ms, expiry)

    def _schedule_expiry(self, expires_at: float, expiry: ResultExpiry) -> None:
        timer = self.server.timers.schedule(expires_at, self._expire, expiry)
        self.server.results.by_original_id[expiry.original_id].expiry_timer = timer
