"""Handles events of the server's backends: the worker pool, the database and the registry."""

from collections.abc import Callable
from typing import NamedTuple

from pumicenotch.control import AdmissionController, TimerQueue
from pumicenotch.interface import Outcome
from pumicenotch.server import database_client, events, worker_pool_client
from pumicenotch.server.backoff import Backoff
from pumicenotch.server.database_client import DatabaseClient
from pumicenotch.server.gateway_side import GatewaySide
from pumicenotch.server.messages import SupplyReply
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.registry_reporter import RegistryReporter
from pumicenotch.server.result_cache import ResultCache
from pumicenotch.server.worker_pool_client import WorkerPoolClient

RUN_COUNTERS: dict[Outcome | None, str] = {
    Outcome.OK: "runs_fine",
    Outcome.ERROR: "runs_fault",
    Outcome.CANCELLED: "runs_broken_off",
    Outcome.NOT_STARTED: "runs_late",
    None: "runs_other",
}


# Counter names that dashboards use. Any other outcome is counted as `calls_` and its own name.
CALL_COUNTERS: dict[Outcome, str] = {
    Outcome.REJECTED: "calls_full",
    Outcome.UNREACHABLE: "calls_unreached",
    Outcome.NOT_STARTED: "calls_moot",
}


class BackendLimits(NamedTuple):
    """Limits on connections and on the memory for cached results."""

    max_connections: int  # gateway connections
    max_idle_connections: int  # gateway connections before idle ones are asked to close
    max_calls: int  # database connections, one for each call
    max_result_bytes: int


class BackendSide(GatewaySide):
    """Runs requests on the worker pool, makes their dependency calls, and caches their results.

    Owns the clients of worker pool, database and registry, the result cache and the timers.

    Args:
        limits: Limits on connections and cached results.
        random_uniform: Draws a number between its two arguments, for the jitter of retry delays.
    """

    def __init__(
        self, limits: BackendLimits, random_uniform: Callable[[float, float], float]
    ) -> None:
        super().__init__(limits.max_idle_connections, limits.max_connections)
        self.controller: AdmissionController | None = None  # None until the pool is bound
        self.results = ResultCache(limits.max_result_bytes)
        self.worker_pool = WorkerPoolClient(self.effects, Backoff(random_uniform))
        self.database = DatabaseClient(self.effects, Backoff(random_uniform), limits.max_calls)
        self.reporter = RegistryReporter(self.effects, random_uniform)
        self.timers = TimerQueue()
        self.gauges: tuple[float, ...] = ()

    def on_report_finished(self, event: events.ReportFinished) -> None:
        """Counts the result of a report to the registry, and schedules the next report."""
        self.reporter.on_finished(self.now, event.failure)
        if event.failure is None:
            self.counters.add("reports")
        else:
            self.count_problem(
                "reports_failed", f"report to the registry failed: {event.failure.text}"
            )

    def on_connection_up(self, event: events.ConnectionUp) -> None:
        """Handles a dialled connection to the pool or the database that is open now."""
        if event.connection == worker_pool_client.CONNECTION:
            self.counters.add(f"links_{event.connection}")
            self.worker_pool.on_connection_up(self.now)
        else:
            self.counters.add(f"links_{database_client.PARTY}")
            self.database.on_connection_up(self.now, event.connection)

    def on_connection_down(self, event: events.ConnectionDown) -> None:
        """Redials a lost pool connection, or ends the call on a lost database connection."""
        name = event.connection
        reach = event.failure.reach.name.lower()
        text = f"{name}: {event.failure.text}"
        if name == worker_pool_client.CONNECTION:
            self.count_problem(f"links_lost_{name}_{reach}", text)
            self.worker_pool.on_connection_down()
            return
        ended = self.database.on_connection_down(self.now, name)
        counter = f"links_lost_{database_client.PARTY}_{reach}"
        self.count_problem(counter, text if ended is not None else "")
        if ended is not None:
            self.finish_call(ended.request, ended.outcome)

    # Worker pool events

    def on_gauges_reported(self, event: events.GaugesReported) -> None:
        """Ticks the controller with the gauges of the last poll."""
        if self.worker_pool.on_poll_reply(event.cookie):
            self.gauges = event.gauges
            if self.controller is not None:
                self._report_uncertain_replies(self.controller)
                self.controller.on_tick(self.now, event.gauges)

    def _report_uncertain_replies(self, controller: AdmissionController) -> None:
        for request in self.worker_pool.take_uncertain_replies():
            self.counters.add("supplies_uncertain")
            controller.on_reply_uncertain(self.now, request.request_id)

    def on_run_blocked(self, event: events.RunBlocked) -> None:
        """Passes the dependency call that a run needs to the controller."""
        request = self._accept_notice(event.serial, event.name)
        if request is None or self.controller is None:
            self.counters.add("notices_stale")
            return
        request.last_notice_serial = event.serial
        request.dependency_body = event.body
        self.controller.on_dependency_needed(self.now, request.request_id)

    def on_run_finished(self, event: events.RunFinished) -> None:
        """Answers the request of a finished run."""
        request = self._accept_notice(event.serial, event.name)
        if request is None:
            self.counters.add("notices_stale")
            return
        request.last_notice_serial = event.serial
        self.counters.add(RUN_COUNTERS[event.outcome])
        self.finish_run(request, event.outcome or Outcome.ERROR, event.result)

    def _accept_notice(self, serial: int, name: str) -> PendingRequest | None:
        if not self.worker_pool.accept_notice(self.now, serial):
            return None
        return self.requests.by_name.get(name)

    def on_notice_skipped(self, event: events.NoticeSkipped) -> None:
        """Records the serial of a notice that concerns no run."""
        self.worker_pool.accept_notice(self.now, event.serial)

    def on_command_unknown(self, event: events.CommandUnknown) -> None:
        """Finishes a run whose start the pool rejected as unknown.

        Otherwise the run would hold its slot forever, and its idempotency key would block all
        retries.
        """
        self.count_problem(
            "unknown", f"pool rejected command {event.command} for unknown run {event.name}"
        )
        request = self.requests.by_name.get(event.name)
        if request is not None and request.started and event.starts_run:
            self.finish_run(request, Outcome.NOT_STARTED, b"")
            self.results.drop(request.request_id, never_ran=True)
            if self.controller is not None:
                self.controller.on_run_unknown(request.request_id)

    def finish_run(self, request: PendingRequest, outcome: Outcome, result: bytes) -> None:
        """Answers a request whose run has ended, and all retries that wait for its result."""
        self.database.abandon(request)
        # Matches no unacknowledged command, so none for this run is resent on a new connection.
        request.last_notice_serial = -1
        if outcome is Outcome.OK:
            self.serve_request(request, result)
        else:
            self.fail_request(request)
        self.requests.remove(request)
        for retry in self.results.on_finished(request, outcome, result):
            self.replay_result(retry, outcome, result)
        if self.controller is not None:
            self.controller.on_run_finished(self.now, request.request_id, outcome)

    def replay_result(self, request: PendingRequest, outcome: Outcome, result: bytes) -> None:
        """Answers a retry with the outcome of its first attempt, after the current event."""
        if not request.answered:
            self.counters.add("reused")
            self.deferred.append(lambda: self.finish_run(request, outcome, result))

    # Database events

    def on_dependency_reply(self, event: events.DependencyReplied) -> None:
        """Passes a database reply to the run that waits for it."""
        request = self.database.on_reply(self.now, event.connection, event.name)
        if request is None:
            self.counters.add("replies_stale")
            return
        if event.outcome is Outcome.OK:
            self.worker_pool.send(request, SupplyReply(request.name, event.reply))
        self.finish_call(request, event.outcome)

    def finish_call(self, request: PendingRequest, outcome: Outcome) -> None:
        """Counts the outcome of a dependency call and notifies the controller."""
        self.counters.add(CALL_COUNTERS.get(outcome, f"calls_{outcome.name.lower()}"))
        if self.request_counters is not None:
            self.request_counters.on_call_finished(self.now, request, outcome)
        if self.controller is not None:
            self.controller.on_dependency_finished(self.now, request.request_id, outcome)
