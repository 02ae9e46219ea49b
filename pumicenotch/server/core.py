"""The server's reducer: `step` handles one event, changes the state and returns effects.

`Server` owns the admission controller and makes no admission decisions itself. `ControllerActions`
carries out the controller's decisions; `Lifecycle` handles the timer, draining and exit.
"""

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from pumicenotch.control import AdmissionController
from pumicenotch.interface import IncomingRequest, Outcome, Pools
from pumicenotch.server import database_client, events, registry_reporter, worker_pool_client
from pumicenotch.server.backend_side import BackendLimits, BackendSide
from pumicenotch.server.cell_admission import CellAdmission
from pumicenotch.server.controller_actions import ControllerActions
from pumicenotch.server.effects import ChangeAddress, Log, Write
from pumicenotch.server.lifecycle import Lifecycle
from pumicenotch.server.messages import HealthReply
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_decoder import InvalidRequestError, RequestDecoder
from pumicenotch.server.settings import ServerSettings

if TYPE_CHECKING:  # a server without cells does not import the package
    from pumicenotch.cells.fence import Fence

MakePools = Callable[[float], Pools]  # called with the time from which the pools are in force

# Share of the memory limit for cached results, which bounds the cache well below the limit.
CACHE_MEMORY_FRACTION = 0.125
# Retry delay sent with a rejection by cell. A router reads its cell map several times meanwhile.
CELL_RETRY_AFTER_MS = 200.0
# Descriptors for the pool, the registry, the listener, and connections being opened or closed.
RESERVED_DESCRIPTORS = 32
MIN_GATEWAY_CONNECTIONS = 8
# Share of the descriptors for database connections. Gateways open up to half.
DATABASE_DESCRIPTOR_FRACTION = 0.25
BYTES_PER_MB = 1024 * 1024


def backend_limits(settings: ServerSettings) -> BackendLimits:
    """Returns the limits on connections and cached results for the given settings.

    With more connections than half of the descriptors, gateways are asked to close idle ones. A
    quarter of the descriptors is for database connections.
    """
    descriptors = settings.max_descriptors
    max_calls = max(1, int(DATABASE_DESCRIPTOR_FRACTION * descriptors))
    available = descriptors - max_calls - RESERVED_DESCRIPTORS
    cache_mb = CACHE_MEMORY_FRACTION * settings.memory_mb
    return BackendLimits(
        max_connections=max(MIN_GATEWAY_CONNECTIONS, available),
        max_idle_connections=descriptors // 2,
        max_calls=max_calls,
        max_result_bytes=int(cache_mb * BYTES_PER_MB),
    )


class Server(BackendSide):
    """Connects the admission controller with gateways, worker pool, database and registry.

    Owns all state of one server process. `net.hub.Hub` calls `step` for each event and carries out
    the effects that are returned.

    Args:
        settings: The start values.
        make_pools: Creates the class pools; None if no class pools are configured.
        controller_type: The class of the admission controller.
        fence: The node's record of cell map epochs; None without cells.
        node: The name of this node in the cell map.
    """

    def __init__(
        self,
        settings: ServerSettings,
        *,
        make_pools: MakePools | None = None,
        controller_type: type[AdmissionController] = AdmissionController,
        fence: "Fence | None" = None,
        node: str = "",
    ) -> None:
        super().__init__(backend_limits(settings), random.Random(settings.seed).uniform)
        self.settings = settings
        self.make_pools = make_pools
        self.controller_type = controller_type
        self.actions = ControllerActions(self)
        self.decoder = RequestDecoder(
            settings.controller.request_classes,
            settings.class_indexes,
            settings.tenant_indexes,
            self.requests,
        )
        self.decoder.reads_map_epoch = fence is not None
        self.cells = CellAdmission(fence, node) if fence is not None else None
        self.lifecycle = Lifecycle(self, settings.shutdown_ms, settings.controller.drain_grace_ms)
        self.healthy = False

    # Process events

    def on_started(self, _: events.Started) -> None:
        """Dials the worker pool and starts the timer."""
        self.lifecycle.start()

    def on_timer(self, _: events.TimerFired) -> None:
        """Runs expired timers and polls the worker pool."""
        self.lifecycle.on_timer()

    def on_shutdown_requested(self, event: events.ShutdownRequested) -> None:
        """Starts draining, counted from the time of the request to shut down."""
        self.lifecycle.start_draining(self.now - event.waited_ms)

    def on_busy_time_measured(self, event: events.BusyTimeMeasured) -> None:
        """Plans a drain by the share of a core that the process gets."""
        self.lifecycle.on_busy_time_measured(event.busy)

    def on_listener_closed(self, _: events.ListenerClosed) -> None:
        """Lets connections close, whose gateways cannot connect again."""
        self.lifecycle.on_listener_closed()

    def on_counters_requested(self, _: events.CountersRequested) -> None:
        """Logs all counters."""
        self.lifecycle.log_counters()

    def on_addresses_changed(self, event: events.AddressesChanged) -> None:
        """Connects to the new addresses; runs and the serials of pool notices are kept."""
        self.counters.add("reloads")
        addresses = event.addresses
        self.effects.append(
            Log(f"reload: moved {sorted(addresses)}; not applied: {event.not_applied}")
        )
        self.effects += [ChangeAddress(party, address) for party, address in addresses.items()]
        if worker_pool_client.CONNECTION in addresses:
            self.worker_pool.backoff.reset()
            self.worker_pool.replace_connection(self.now)
        if database_client.PARTY in addresses:
            self.database.on_address_changed(self.now)
        if registry_reporter.CONNECTION in addresses:
            self.reporter.on_address_changed(self.now, self.lifecycle.draining)

    def on_pools_replaced(self, event: events.PoolsReplaced) -> None:
        """Moves all requests to the new class pools; retry budgets and estimates start anew."""
        self.counters.add("repools")
        self.effects.append(Log(f"reload: {event.text}"))
        self.make_pools = event.make_pools
        if self.controller is not None:
            self.controller.use_pools(self.now, self._new_pools())

    def on_cell_map_replaced(self, event: events.CellMapReplaced) -> None:
        """Replaces the cell map by a newer one."""
        self.counters.add("remaps")
        self.effects.append(Log(f"reload: {event.text}"))
        if self.cells is not None:
            self.cells.fence.replace_map(event.cells)

    # Gateway events

    def on_connection_opened(self, event: events.ConnectionOpened) -> None:
        """Adds a gateway connection.

        While the server drains, a new connection is used until the listener closes. A drain notice
        sent at once would make its gateway open another connection for each request, and a
        handshake costs as much CPU time as several requests.
        """
        self.counters.add("connections")
        self.connections.opened(
            self.now, event.connection_id, notify=self.lifecycle.listener_closed
        )
        self.connections.close_if_done(event.connection_id)

    def on_request(self, event: events.RequestReceived) -> None:
        """Decodes a request, and rejects it or passes it to the controller."""
        if not self.accept_message(event):
            return
        unix_ms = self.now + event.clock_offset_ms
        try:
            request = self.decoder.decode(event, unix_ms)
            waited_ms = unix_ms - request.arrived_at_ms
            original_id = None
            if request.idempotency_key:
                original_id = self.results.find_original(request, self.now - waited_ms)
        except InvalidRequestError as error:
            self.answer_invalid(event, error)
            return
        self.connections.add_request(request)
        self.requests.add(request)
        if self.request_counters is not None:
            self.request_counters.on_received(self.now, request, waited_ms)
        if self.cells is not None and self._reject_by_cell(request, original_id):
            return
        if self.lifecycle.exited:
            self._answer_after_exit(request, original_id)
        elif self.controller is None or (self.lifecycle.rejects_requests and original_id is None):
            # The pool is not bound yet or connections are closing already. No attempt has run.
            self.actions.reject(request.request_id, False, 0.0)
        else:
            self._admit(self.controller, request, waited_ms, original_id)

    def _admit(
        self,
        controller: AdmissionController,
        request: PendingRequest,
        waited_ms: float,
        original_id: int | None,
    ) -> None:
        incoming = IncomingRequest(
            request_id=request.request_id,
            class_index=request.class_index,
            tenant_index=request.tenant_index,
            waited_ms=waited_ms,
            expires_at=None,
            estimated_work=request.estimated_work,
            memory_kb=request.memory_kb,
            original_id=original_id,
            caller_id=request.caller_id,
            is_marked_retry=request.is_retry,
            content_digest=request.fingerprint() if self.make_pools is not None else 0,
            is_replay_only=request.is_ownership_query,
        )
        controller.on_request(self.now, incoming)

    def _reject_by_cell(self, request: PendingRequest, original_id: int | None) -> bool:
        assert self.cells is not None
        reason = self.cells.rejection_reason(request, original_id is not None)
        if not reason:
            return False
        self.counters.add(f"cells_{reason}")
        self.reject_request(request, CELL_RETRY_AFTER_MS, False, reason)
        self.requests.remove(request)
        return True

    def _answer_after_exit(self, request: PendingRequest, original_id: int | None) -> None:
        """Answers a request that arrives after `Lifecycle.exit`, when no run can start.

        A retry of a request that has run is answered from the cached result, not rejected.
        """
        entry = self.results.replay(request) if original_id is not None else None
        if entry is None:
            self.actions.reject(request.request_id, False, 0.0)
        elif entry.outcome is Outcome.OK:
            self.serve_request(request, entry.result)
            self.requests.remove(request)
        else:
            self.actions.fail(request.request_id)

    def release(self, request: PendingRequest) -> None:
        """Releases a request that was cancelled, or lost to a reset or a protocol violation.

        A request that has not started is removed, and a run continues to its end. With an
        idempotency key the run also keeps its dependency call, because a retry is answered from its
        result. Without a key the call is abandoned.
        """
        if not request.started:
            self.requests.remove(request)
        elif not request.idempotency_key:
            self.database.abandon(request)
        if self.controller is not None:
            self.controller.on_cancel(self.now, request.request_id)

    def on_health_check(self, event: events.HealthCheckReceived) -> None:
        """Replies to a health check; the server is unhealthy until the pool is bound."""
        self.counters.add("checks")
        if event.connection_id in self.connections.by_id:
            self.connections.received(self.now, event.connection_id, event.message_id)
            healthy = self.healthy and self.controller is not None
            reply = HealthReply(event.message_id, self.load_hint, healthy)
            self.effects.append(Write(event.connection_id, reply))

    def on_pool_bound(self, event: events.PoolBound) -> None:
        """Creates the controller when the pool is bound for the first time, then polls the pool."""
        if self.controller is None:
            self.controller = self._new_controller(event)
            self.lifecycle.start_controller_drain(self.controller)
        self.worker_pool.on_bound(self.now)

    def _new_controller(self, event: events.PoolBound) -> AdmissionController:
        # Cached results use this process's memory. `memory_kb` of the settings is for runs: if
        # cached results counted there, requests would be rejected although memory is free.
        settings = self.settings.controller._replace(starts_cold=event.starting, key_memory_kb=0.0)
        started_at = self.now - event.uptime_ms
        return self.controller_type(
            self.actions, started_at, settings, self.settings.seed, self._new_pools()
        )

    def _new_pools(self) -> Pools | None:
        return self.make_pools(self.now) if self.make_pools is not None else None


Server.handlers = {
    events.Started: Server.on_started,
    events.TimerFired: Server.on_timer,
    events.ShutdownRequested: Server.on_shutdown_requested,
    events.BusyTimeMeasured: Server.on_busy_time_measured,
    events.ListenerClosed: Server.on_listener_closed,
    events.CountersRequested: Server.on_counters_requested,
    events.ProblemFound: Server.on_problem,
    events.DescriptorsExhausted: Server.on_descriptors_exhausted,
    events.AddressesChanged: Server.on_addresses_changed,
    events.PoolsReplaced: Server.on_pools_replaced,
    events.CellMapReplaced: Server.on_cell_map_replaced,
    events.ReportFinished: Server.on_report_finished,
    events.ConnectionUp: Server.on_connection_up,
    events.ConnectionDown: Server.on_connection_down,
    events.ConnectionOpened: Server.on_connection_opened,
    events.ConnectionEnded: Server.on_connection_ended,
    events.ConnectionReset: Server.on_connection_reset,
    events.ProtocolViolated: Server.violate_protocol,
    events.ReadingFinished: Server.on_reading_finished,
    events.RequestReceived: Server.on_request,
    events.RequestCancelled: Server.on_cancel,
    events.HealthCheckReceived: Server.on_health_check,
    events.PoolBound: Server.on_pool_bound,
    events.GaugesReported: Server.on_gauges_reported,
    events.RunBlocked: Server.on_run_blocked,
    events.RunFinished: Server.on_run_finished,
    events.NoticeSkipped: Server.on_notice_skipped,
    events.CommandUnknown: Server.on_command_unknown,
    events.DependencyReplied: Server.on_dependency_reply,
}
