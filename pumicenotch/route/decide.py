"""The router's reducer: `step` handles every event and returns effects, as in `server.core`.

Each request has one answer: the result of its route through the tenant's nodes, or a failure at its
time limit. Requests are not queued: a request that no node may take is rejected at once, with the
time after which the caller may retry.
"""

import random
from collections.abc import Mapping
from itertools import count
from typing import Any, NamedTuple

from pumicenotch.cells.fence import REASONS, Role
from pumicenotch.cells.map import CellMap
from pumicenotch.cells.views import NodeSelector
from pumicenotch.cells.walk import (
    RESULT_BY_VERDICT,
    Route,
    RouteResult,
    SendResult,
    Step,
    plan_route,
)
from pumicenotch.control import Timer, TimerQueue
from pumicenotch.interface import Idempotency
from pumicenotch.pools.retry_budget import RetryBudget
from pumicenotch.server import events
from pumicenotch.server.drain_schedule import DrainSchedule, DrainStep
from pumicenotch.server.effects import Close, Dial, Exit, Log, MeasureBusyTime, Wake, Write
from pumicenotch.server.gateway_side import GatewaySide
from pumicenotch.server.messages import HealthReply
from pumicenotch.server.pending_request import PendingRequest
from pumicenotch.server.request_decoder import InvalidRequestError, RequestDecoder

# Prefix of the names of connections to nodes, by which the network layer selects the dialer.
NODE_DIALER = "node"
LISTENER = "listener"
# The result that each rejection reason of a node's cell fence stands for.
RESULT_BY_REASON = {reason: RESULT_BY_VERDICT[verdict] for verdict, reason in REASONS.items()}


class ForwardedRequest(NamedTuple):
    """A request as forwarded to a node."""

    message_id: int
    class_name: str
    fields: dict[str, str]
    body: bytes


class ForwardedCancel(NamedTuple):
    """Tells a node that the answer to a forwarded request is no longer needed."""

    message_id: int


class MapRead(NamedTuple):
    """The cell map file was read.

    Attributes:
        cells: The map; the router's own one if it has not changed.
        confirmed_at: When the map was last confirmed as the newest, in Unix ms.
        text: Describes the change for the log; "" without one.
    """

    cells: CellMap
    confirmed_at: float
    text: str


class NodeDraining(NamedTuple):
    """A node asks for no further requests on a connection."""

    connection: str


class NodeAnswered(NamedTuple):
    """A node answered a forwarded request; `kind` is `served`, `rejected` or `failed`."""

    connection: str
    message_id: int
    kind: str
    body: bytes
    fields: Mapping[str, str]


class NodeConnection:
    """A connection to a node.

    Attributes:
        name: The connection's name in events and effects.
        node: The node's name.
        used_at: When a message was last sent or received.
        up: Whether the connection is established.
        draining: Whether the node has asked for no further requests on the connection.
        last_message_id: The message ID of the last forwarded request.
        open: Forwarded requests without an answer, by message ID.
        waiting: Requests that are sent once the connection is established.
    """

    def __init__(self, name: str, node: str, now: float) -> None:
        self.name, self.node, self.used_at = name, node, now
        self.up = self.draining = False
        self.last_message_id = 0
        self.open: dict[int, RoutedRequest] = {}
        self.waiting: list[RoutedRequest] = []


class RoutedRequest:
    """A caller's request on its route through nodes.

    Attributes:
        request: The caller's request.
        fields: The fields that are forwarded.
        route: The route.
        connection: The connection of the current attempt; None between attempts.
        message_id: The message ID of the current attempt.
        sent_at: When the current attempt began.
        written: Whether the current attempt has been written, so that it may have arrived.
        time_limit: The timer that fails the request, cancelled when it is over.
    """

    def __init__(self, request: PendingRequest, fields: Mapping[str, str], route: Route) -> None:
        self.request, self.fields, self.route = request, dict(fields), route
        self.connection: NodeConnection | None = None
        self.message_id = 0
        self.sent_at = 0.0
        self.written = False
        self.time_limit: Timer | None = None


class Router(GatewaySide):
    """Forwards requests of gateways to the nodes of their tenants.

    Owns the connections to nodes and the routes of all open requests. `net.hub.Hub` calls `step` for
    each event and carries out the effects that are returned.

    Args:
        cells: The cell map.
        confirmed_at: When the map was last confirmed as the newest, in Unix ms.
        request_classes: The request classes.
        class_indexes: The index of each class by its name.
        seed: Seeds the random choice of nodes.
        shutdown_ms: The time from a request to shut down until the process is killed.
        max_sockets: The limit of sockets, half for callers and half for nodes.
    """

    # Requests on one connection, as the gateways' protocol defines.
    MAX_OPEN_REQUESTS = 32
    # Connections to one node. Together they carry as many requests as a node accepts from one caller.
    MAX_CONNECTIONS_PER_NODE = 8
    # An unused connection to a node is closed after this time.
    IDLE_TIMEOUT_MS = 5000.0
    TICK_MS = 25.0
    # A request is answered this long before its time limit, as by the server.
    ANSWER_MARGIN_MS = 35.0
    # Retries that a tenant's first attempt adds to its budget, and the most that it can save up.
    RETRY_RATIO, RETRY_BURST = 0.2, 20.0
    # Descriptors that are not used for connections of callers or nodes.
    SPARE_DESCRIPTORS = 64

    def __init__(
        self,
        *,
        cells: CellMap,
        confirmed_at: float,
        request_classes: list[Any],
        class_indexes: dict[str, int],
        seed: int,
        shutdown_ms: float,
        max_sockets: int,
    ) -> None:
        # The limit of callers' connections, and also that of connections to nodes.
        connection_limit = max_sockets // 2 - self.SPARE_DESCRIPTORS // 2
        super().__init__(max_sockets // 2, max(8, connection_limit))
        self.decoder = RequestDecoder(request_classes, class_indexes, {}, self.requests)
        self.max_node_connections = max(4, connection_limit)
        self.cells, self.confirmed_at = cells, confirmed_at
        self.shutdown_ms = shutdown_ms
        self.drain: DrainSchedule | None = None  # None until the request to shut down
        generator = random.Random(seed)
        self.selector = NodeSelector(generator.random)
        self.budget = RetryBudget(self.RETRY_RATIO, self.RETRY_BURST, 4096)
        self.timers = TimerQueue()
        self.connection_numbers = count(1)
        self.node_connections: dict[str, NodeConnection] = {}
        self.names_by_node: dict[str, list[str]] = {}
        self.routed_requests: dict[int, RoutedRequest] = {}
        self.has_exited = self.listener_closed = False

    # Process events

    def on_started(self, _: events.Started) -> None:
        """Starts the timer."""
        self.effects.append(Wake(self.TICK_MS))

    def on_timer(self, _: events.TimerFired) -> None:
        """Runs expired timers and closes idle connections to nodes."""
        self.timers.run_expired(self.now)
        self.connections.sweep(self.now)
        for name, connection in list(self.node_connections.items()):
            if (
                connection.up
                and not connection.open
                and self.now - connection.used_at > self.IDLE_TIMEOUT_MS
            ):
                self.close_node_connection(name)
        if self.listener_closed and not self.connections.by_id:
            self.exit(self.now)
        self.effects.append(Wake(self.TICK_MS))

    def on_shutdown_requested(self, event: events.ShutdownRequested) -> None:
        """Starts draining, counted from the time of the request to shut down."""
        if self.drain is not None:
            return
        requested_at = self.now - event.waited_ms
        self.drain = DrainSchedule(requested_at, self.shutdown_ms, grace_ms=float("inf"))
        self.connections.notify_all(self.now)
        self.effects += [
            MeasureBusyTime(),
            Log(
                f"leaving in {self.drain.stop_at - self.now:.0f} ms with {len(self.routed_requests)} requests open"
            ),
        ]
        self.check_drain(self.now, None)

    def on_busy_time_measured(self, event: events.BusyTimeMeasured) -> None:
        """Plans the drain by the share of a core that the process gets."""
        if self.drain is not None:
            self.drain.observe(event.busy)
            self.advance_drain(self.drain, self.now)

    def on_listener_closed(self, _: events.ListenerClosed) -> None:
        """Lets connections close: their callers cannot connect again."""
        if self.drain is not None:
            self.drain.refuses_connections = True
            self.advance_drain(self.drain, self.now)

    @property
    def is_draining(self) -> bool:
        """Whether the platform has asked the router to shut down."""
        return self.drain is not None

    def check_drain(self, now: float, _: None) -> None:
        """Advances the drain at intervals, until the exit."""
        if self.drain is not None and not self.has_exited:
            self.advance_drain(self.drain, now)
            next_check_at = self.drain.next_check_at(now, len(self.connections.by_id))
            self.timers.schedule(next_check_at, self.check_drain, None)

    def advance_drain(self, drain: DrainSchedule, now: float) -> None:
        """Carries out the steps of the drain that are due."""
        connection_count = len(self.connections.by_id)
        for step in drain.take_due_steps(now, connection_count):
            match step:
                case DrainStep.CLOSE_LISTENER:
                    self.close_listener(now)
                case DrainStep.CLOSE_CONNECTIONS:
                    # Callers that keep sending would otherwise delay the shutdown.
                    self.connections.finish_all()
                case DrainStep.STOP:
                    self.exit(now)
        if now >= drain.stop_at - self.ANSWER_MARGIN_MS:
            self.fail_all(now)

    def close_listener(self, now: float) -> None:
        """Stops accepting connections, and notifies callers once more."""
        self.listener_closed = True
        self.connections.notify_all(now)
        self.effects.append(Close(LISTENER))

    def fail_all(self, now: float) -> None:
        """Fails all open requests."""
        for routed in list(self.routed_requests.values()):
            self.fail_at_limit(now, routed)

    def exit(self, now: float) -> None:
        """Ends the process after the time that is left for writing answers."""
        if not self.has_exited and self.drain is not None:
            self.has_exited = True
            self.fail_all(now)
            self.effects += [] if self.listener_closed else [Close(LISTENER)]
            self.connections.finish_all()
            self.log_counters()
            self.effects.append(Exit(self.drain.exit_timeout_ms(now)))

    def on_counters_requested(self, _: events.CountersRequested) -> None:
        """Logs the counters."""
        self.log_counters()

    def log_counters(self) -> None:
        """Logs the counters with the number of open requests and the map's epoch."""
        self.effects.append(
            Log(
                f"counters: open={len(self.routed_requests)} epoch={self.cells.epoch} {self.counters.text()}"
            )
        )

    def on_map_read(self, event: MapRead) -> None:
        """Adopts a map or its confirmation. Routes of open requests do not change."""
        cells, confirmed_at, text = event
        self.counters.add("remaps" if cells is not self.cells else "confirms")
        self.cells, self.confirmed_at = cells, max(self.confirmed_at, confirmed_at)
        self.selector.retain(node.name for cell in cells.cells.values() for node in cell.nodes)
        if text:
            self.effects.append(Log(f"reload: {text}"))

    # Events of callers

    def on_connection_opened(self, event: events.ConnectionOpened) -> None:
        """Accepts a caller's connection, and notifies it if the router is draining."""
        self.counters.add("connections")
        self.connections.opened(self.now, event.connection_id, notify=self.is_draining)
        self.connections.close_if_done(event.connection_id)

    def on_health_check(self, event: events.HealthCheckReceived) -> None:
        """Answers a health check: the router is healthy until it drains."""
        if event.connection_id in self.connections.by_id:
            self.connections.received(self.now, event.connection_id, event.message_id)
            reply = HealthReply(event.message_id, None, not self.is_draining)
            self.effects.append(Write(event.connection_id, reply))

    def on_request(self, event: events.RequestReceived) -> None:
        """Plans a request's route and takes its first step."""
        if not self.accept_message(event):
            return
        unix_ms = self.now + event.clock_offset_ms
        fields = event.fields
        try:
            request = self.decoder.decode(event, unix_ms)
        except InvalidRequestError as error:
            self.answer_invalid(event, error)
            return
        self.connections.add_request(request)
        self.requests.add(request)
        if self.has_exited:
            # An earlier attempt may have run on a node, which can no longer be asked.
            self.fail_request(request)
            self.requests.remove(request)
            return
        if self.connections.closes_idle and not (request.idempotency_key or request.is_retry):
            # Too late for a first attempt, which has never run.
            self.reject_request(request, 0.0, False)
            self.requests.remove(request)
            return
        tenant = fields.get("acct", "")
        route = plan_route(
            self.cells,
            self.confirmed_at,
            unix_ms,
            request.arrived_at_ms,
            tenant,
            request.request_class.idempotency,
            request.idempotency_key,
            self.candidates(request, tenant),
        )
        if isinstance(route, RouteResult):
            self.answer(request, route)
            return
        answer_at = (
            self.now
            - (unix_ms - request.arrived_at_ms)
            + request.request_class.timeout_ms
            - self.ANSWER_MARGIN_MS
        )
        routed = self.routed_requests[request.request_id] = RoutedRequest(request, fields, route)
        routed.time_limit = self.timers.schedule(answer_at, self.fail_at_limit, routed)
        if not request.is_retry:
            self.budget.deposit(tenant)
        self.take_step(routed, route.start())

    def candidates(self, request: PendingRequest, tenant: str) -> list[str]:
        """Returns the tenant's nodes by preference; none for a request with an idempotency key.

        Only an idempotent request may probe a node that may be dead.
        """
        if request.idempotency_key:
            return []
        nodes = [(node.name, node.weight) for node in self.cells.nodes(tenant)]
        may_probe = request.request_class.idempotency is Idempotency.IDEMPOTENT
        return [choice.node for choice in self.selector.choose(self.now, nodes, may_probe)]

    def release(self, request: PendingRequest) -> None:
        """Gives up a request whose answer is not needed, and cancels it on its node.

        An answer that still arrives from the node is counted as stale.
        """
        routed = self.remove_routed(request)
        if routed is not None and routed.connection is not None:
            connection = routed.connection
            if connection.open.pop(routed.message_id, None) is not None and connection.up:
                self.effects.append(Write(connection.name, ForwardedCancel(routed.message_id)))
            if routed in connection.waiting:
                connection.waiting.remove(routed)
            self.selector.on_abandoned(connection.node)
            routed.connection = None

    def answer(self, request: PendingRequest, outcome: RouteResult, body: bytes = b"") -> None:
        """Answers a request by the result of its route.

        Args:
            request: The request.
            outcome: The result of the route.
            body: The body of a served answer.
        """
        self.counters.add(f"ends_{outcome.reason}")
        match outcome.kind:
            case "served":
                self.serve_request(request, body)
            case "rejected":
                self.reject_request(request, outcome.retry_after_ms, False)
            case _:
                self.fail_request(request)
        self.remove_routed(request)

    def remove_routed(self, request: PendingRequest) -> RoutedRequest | None:
        """Removes a request that is over, with its timer; returns its route if it had one."""
        routed = self.routed_requests.pop(request.request_id, None)
        self.requests.remove(request)
        if routed is not None and routed.time_limit is not None:
            routed.time_limit.cancel()
        return routed

    def fail_at_limit(self, now: float, routed: RoutedRequest) -> None:
        """Fails a request at its time limit."""
        if not routed.request.answered:
            self.counters.add("too_late")
            self.fail_request(routed.request)
            self.release(routed.request)

    # Nodes

    def take_step(self, routed: RoutedRequest, step: Step, body: bytes = b"") -> None:
        """Sends a request to the next node of its route, or answers it.

        Args:
            routed: The request.
            step: The step of its route.
            body: The body of a served answer.
        """
        if isinstance(step, RouteResult):
            self.answer(routed.request, step, body)
            return
        connection = self.connection_to(step.node)
        if connection is None:
            self.counters.add("ways_crowded")
            self.take_step(routed, routed.route.on_result(SendResult.REFUSED))
            return
        routed.fields["epoch"] = str(step.epoch)
        routed.fields.pop("ask", None)
        if step.role is Role.ASK:
            routed.fields["ask"] = "1"
        routed.connection, routed.written, routed.sent_at = connection, False, self.now
        self.selector.on_sent(step.node)
        if connection.up:
            self.write(connection, routed)
        else:
            connection.waiting.append(routed)

    def connection_to(self, node: str) -> NodeConnection | None:
        """Returns a connection with capacity to the node, else a new one.

        Returns None if the node or the router has its maximum of connections.
        """
        names = self.names_by_node.setdefault(node, [])
        connections = [self.node_connections[name] for name in names]
        available = [
            connection
            for connection in connections
            if not connection.draining
            and len(connection.open) + len(connection.waiting) < self.MAX_OPEN_REQUESTS
        ]
        if available:
            return min(
                available,
                key=lambda connection: (
                    not connection.up,
                    len(connection.open) + len(connection.waiting),
                ),
            )
        if (
            len([connection for connection in connections if not connection.draining])
            >= self.MAX_CONNECTIONS_PER_NODE
            or len(self.node_connections) >= self.max_node_connections
        ):
            return None
        name = f"{NODE_DIALER}-{next(self.connection_numbers)}-{node}"
        connection = self.node_connections[name] = NodeConnection(name, node, self.now)
        names.append(name)
        self.effects.append(Dial(name, 0.0))
        return connection

    def write(self, connection: NodeConnection, routed: RoutedRequest) -> None:
        """Writes a request on an established connection."""
        connection.last_message_id += 1
        connection.used_at = self.now
        routed.message_id, routed.written = connection.last_message_id, True
        connection.open[connection.last_message_id] = routed
        request = routed.request
        self.effects.append(
            Write(
                connection.name,
                ForwardedRequest(
                    connection.last_message_id, request.class_name, routed.fields, request.body
                ),
            )
        )

    def on_connection_up(self, event: events.ConnectionUp) -> None:
        """Sends the requests that wait for the connection."""
        name = event.connection
        connection = self.node_connections.get(name)
        if connection is None:
            self.effects.append(Close(name))
            return
        connection.up, connection.used_at = True, self.now
        waiting, connection.waiting = connection.waiting, []
        for routed in waiting:
            self.write(connection, routed)

    def on_connection_down(self, event: events.ConnectionDown) -> None:
        """Fails the current attempt of all requests on a lost connection to a node."""
        name, failure = event
        connection = self.node_connections.get(name)
        if connection is None:
            return
        self.count_problem(
            f"links_lost_{failure.reach.name.lower()}",
            f"{name}: {failure.text}" if connection.open or connection.waiting else "",
        )
        self.remove_node_connection(name)
        for routed in (*connection.open.values(), *connection.waiting):
            self.fail_attempt(routed, SendResult.BROKEN if routed.written else SendResult.REFUSED)

    def fail_attempt(self, routed: RoutedRequest, result: SendResult) -> None:
        """Records an attempt without an answer and takes the route's next step."""
        if routed.connection is not None:
            self.selector.on_failed(self.now, routed.connection.node)
        routed.connection = None
        if not routed.request.answered:
            self.take_step(routed, routed.route.on_result(result, self.withdraw_retry(routed)))

    def withdraw_retry(self, routed: RoutedRequest) -> bool:
        """Returns whether the tenant's retry budget permits a retry, and withdraws it."""
        tenant = routed.fields.get("acct", "")
        if self.budget.tokens_of(tenant) < 1.0:
            self.counters.add("tries_over_budget")
            return False
        self.budget.withdraw(tenant)
        return True

    def on_node_draining(self, event: NodeDraining) -> None:
        """Stops using a connection on request of its node.

        The node is leaving, or has too many idle connections.
        """
        name = event.connection
        connection = self.node_connections.get(name)
        if connection is not None:
            connection.draining = True
            if not connection.open:
                self.close_node_connection(name)

    def on_node_answered(self, event: NodeAnswered) -> None:
        """Records a node's answer and takes the route's next step."""
        name, message_id, kind, body, fields = event
        connection = self.node_connections.get(name)
        routed = connection.open.pop(message_id, None) if connection is not None else None
        if connection is None or routed is None:
            self.counters.add("answers_stale")
            return
        connection.used_at = self.now
        reason = fields.get("cell", "")
        result = RESULT_BY_REASON.get(reason) or {
            "served": SendResult.SERVED,
            "rejected": SendResult.REJECTED,
        }.get(kind, SendResult.FAILED)
        load_weight, backoff_ms = (
            parse_number(fields.get("hint")),
            parse_number(fields.get("backoff")) or 0.0,
        )
        self.selector.on_answered(
            self.now,
            connection.node,
            self.now - routed.sent_at,
            load_weight,
            0.0 if reason else backoff_ms,
            kind == "served",
        )
        routed.connection = None
        if connection.draining and not connection.open:
            self.close_node_connection(name)
        step = routed.route.on_result(
            result, result is not SendResult.REJECTED or self.withdraw_retry(routed)
        )
        if (
            isinstance(step, RouteResult)
            and step.kind == "rejected"
            and backoff_ms > step.retry_after_ms
        ):
            step = step._replace(retry_after_ms=backoff_ms)
        self.take_step(routed, step, body)

    def close_node_connection(self, name: str) -> None:
        """Closes a connection to a node."""
        self.remove_node_connection(name)
        self.effects.append(Close(name))

    def remove_node_connection(self, name: str) -> None:
        """Removes a connection to a node from the router's records."""
        connection = self.node_connections.pop(name)
        self.names_by_node[connection.node].remove(name)
        if not self.names_by_node[connection.node]:
            del self.names_by_node[connection.node]


def parse_number(text: str | None) -> float | None:
    """Returns the number in a field; None if the field is missing or has no valid number."""
    try:
        value = float(text) if text is not None and len(text) < 32 else None
    except ValueError:
        return None
    return value if value is not None and 0.0 <= value < 1e9 else None


Router.handlers = {
    events.Started: Router.on_started,
    events.TimerFired: Router.on_timer,
    events.ShutdownRequested: Router.on_shutdown_requested,
    events.BusyTimeMeasured: Router.on_busy_time_measured,
    events.ListenerClosed: Router.on_listener_closed,
    events.CountersRequested: Router.on_counters_requested,
    MapRead: Router.on_map_read,
    events.ProblemFound: Router.on_problem,
    events.ConnectionOpened: Router.on_connection_opened,
    events.ConnectionEnded: Router.on_connection_ended,
    events.ConnectionReset: Router.on_connection_reset,
    events.ProtocolViolated: Router.violate_protocol,
    events.ReadingFinished: Router.on_reading_finished,
    events.DescriptorsExhausted: Router.on_descriptors_exhausted,
    events.HealthCheckReceived: Router.on_health_check,
    events.RequestReceived: Router.on_request,
    events.RequestCancelled: Router.on_cancel,
    events.ConnectionUp: Router.on_connection_up,
    events.ConnectionDown: Router.on_connection_down,
    NodeDraining: Router.on_node_draining,
    NodeAnswered: Router.on_node_answered,
}
