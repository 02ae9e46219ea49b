"""The base of all reducers that gateways connect to: the server and the router.

Dispatches events, collects effects, enforces the gateways' protocol, and ensures that each request
is answered at most once.
"""

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, ClassVar

from pumicenotch.server.counters import Counters
from pumicenotch.server.effects import Effect, Log, Write
from pumicenotch.server.events import (
    ConnectionEnded,
    ConnectionReset,
    DescriptorsExhausted,
    ProblemFound,
    ProtocolViolated,
    ReadingFinished,
    RequestCancelled,
    RequestReceived,
)
from pumicenotch.server.gateway_connections import MAX_OPEN_REQUESTS, GatewayConnections
from pumicenotch.server.messages import Answer, RequestFailed, RequestRejected, RequestServed
from pumicenotch.server.pending_request import PendingRequest, PendingRequests
from pumicenotch.server.request_counters import RequestCounters
from pumicenotch.server.request_decoder import InvalidRequestError

ANSWER_COUNTERS: dict[type[Answer], str] = {
    RequestServed: "answered_served",
    RequestFailed: "answered_failed",
    RequestRejected: "answered_rejected",
}


class GatewaySide(ABC):
    """Handles events one at a time, and owns gateway connections and unfinished requests.

    Args:
        max_idle_connections: With more connections than this, gateways are asked to close idle
            ones.
        max_connections: With more connections than this, one is closed for each that opens.

    Attributes:
        handlers: Maps each event type to its handler; subclasses define their own.
        load_hint: Sent with every answer; None for no hint.
        request_counters: Counts by request class; None where no fleet asks for them.
    """

    handlers: ClassVar[Mapping[type, Callable[[Any, Any], None]]] = {}
    load_hint: float | None = None
    request_counters: RequestCounters | None = None

    def __init__(self, max_idle_connections: int, max_connections: int) -> None:
        self.effects: list[Effect] = []
        # Run after the handler of the current event returns: completions found while handling it.
        self.deferred: deque[Callable[[], None]] = deque()
        self.counters = Counters()
        self.requests = PendingRequests()
        self.connections = GatewayConnections(
            self.effects, self.counters, max_idle_connections, max_connections
        )
        self.now = 0.0

    def step(self, now: float, event: Any) -> list[Effect]:
        """Handles one event and returns its effects.

        Args:
            now: The time of the event in ms. A time before that of an earlier event is replaced by
                the earlier one.
            event: One of `server.events`, or an event of the subclass.
        """
        self.now = max(self.now, now)
        self.handlers[type(event)](self, event)
        while self.deferred:
            self.deferred.popleft()()
        return self._take_effects()

    def on_fault(self) -> list[Effect]:
        """Counts an exception raised by `step`.

        Returns the effects that were requested before it, which are still carried out.
        """
        self.counters.add("faults")
        self.deferred.clear()
        return self._take_effects()

    def count_problem(self, counter: str, text: str = "") -> None:
        """Counts a problem, and logs occurrences 1, 10, 100 and so on.

        The log's reader may be slow, so a frequent problem must not fill the log.
        """
        self.counters.add(counter)
        count = str(self.counters.counts[counter])
        if text and count.rstrip("0") == "1":
            self.effects.append(Log(f"{text} ({counter}={count})"))

    def on_problem(self, event: ProblemFound) -> None:
        """Counts a problem found by the network layer."""
        self.count_problem(event.counter, event.text)

    # Connection events

    def violate_protocol(self, event: ProtocolViolated) -> None:
        """Fails all open requests of the connection and closes it.

        After a violation, messages cannot be matched to requests reliably, so no open request is
        answered as served. Protects against clients that are not gateways. A gateway that violates
        the protocol once loses its open requests.
        """
        connection = self.connections.by_id.get(event.connection_id)
        if connection is None:
            return
        self.count_problem(event.counter, f"connection {event.connection_id}: {event.text}")
        for request in list(connection.open_requests.values()):
            self.fail_request(request)
            self.release(request)
        self.connections.close(event.connection_id)

    def on_connection_ended(self, event: ConnectionEnded) -> None:
        """Handles a half-closed connection: closes it once all its requests are answered."""
        connection = self.connections.by_id.get(event.connection_id)
        if connection is not None:
            connection.half_closed = True
            self.connections.reading_finished(event.connection_id)
            self.connections.close_if_done(event.connection_id)

    def on_connection_reset(self, event: ConnectionReset) -> None:
        """Cancels all open requests of the connection, whose answers cannot be delivered."""
        connection = self.connections.remove(event.connection_id)
        if connection is not None:
            self.counters.add("connections_reset")
            for request in list(connection.open_requests.values()):
                self.cancel(request)

    def on_reading_finished(self, event: ReadingFinished) -> None:
        """Closes a connection that is to be closed, unless a request has arrived meanwhile."""
        self.connections.reading_finished(event.connection_id)

    def on_descriptors_exhausted(self, _: DescriptorsExhausted) -> None:
        """Closes gateway connections to free a reserve of descriptors."""
        self.connections.descriptors_exhausted(self.now)

    # Request events and answers

    def accept_message(self, event: RequestReceived) -> bool:
        """Returns whether a request is accepted by the rules of its connection.

        Message ids must increase, and at most MAX_OPEN_REQUESTS requests may be open. A violation
        closes the connection. A closed connection accepts nothing.
        """
        connection = self.connections.by_id.get(event.connection_id)
        if connection is None:
            # Sent before the gateway saw the connection close. The gateway sends the request again.
            self.counters.add("tasks_crossed")
            return False
        if not self.connections.received(self.now, event.connection_id, event.message_id):
            text = f"message id {event.message_id} is not above {connection.last_message_id}"
            self.violate_protocol(
                ProtocolViolated(event.connection_id, "connections_misnumbered", text)
            )
            return False
        if len(connection.open_requests) >= MAX_OPEN_REQUESTS:
            text = f"more than {MAX_OPEN_REQUESTS} requests are open on one connection"
            self.violate_protocol(
                ProtocolViolated(event.connection_id, "connections_overfull", text)
            )
            return False
        self.counters.add("tasks")
        return True

    def answer_invalid(self, event: RequestReceived, error: InvalidRequestError) -> None:
        """Answers a request with missing or invalid fields as failed."""
        self.count_problem("malformed", f"malformed request: missing or invalid field: {error}")
        message = RequestFailed(event.message_id, self.load_hint)
        self.counters.add(ANSWER_COUNTERS[RequestFailed])
        self.effects.append(Write(event.connection_id, message))
        self.connections.close_if_done(event.connection_id)

    def on_cancel(self, event: RequestCancelled) -> None:
        """Cancels a request for its gateway, unless the request is answered already."""
        connection = self.connections.by_id.get(event.connection_id)
        request = connection.open_requests.get(event.message_id) if connection is not None else None
        if request is None:
            self.counters.add("cancels_late")
        else:
            self.counters.add("cancels")
            self.cancel(request)
            self.connections.close_if_done(event.connection_id)

    def cancel(self, request: PendingRequest) -> None:
        """Marks a request as answered without sending an answer, and releases it."""
        self.counters.add("answered_gone")
        request.answered = True
        self.connections.remove_request(self.now, request)
        self.release(request)

    @abstractmethod
    def release(self, request: PendingRequest) -> None:
        """Frees what a request occupies when its caller no longer waits for an answer."""

    def serve_request(self, request: PendingRequest, result: bytes) -> None:
        """Answers a request with its result."""
        self._answer(request, RequestServed(request.message_id, self.load_hint, result))

    def fail_request(self, request: PendingRequest) -> None:
        """Answers a request as failed: there is no result, and the request may have run."""
        self._answer(request, RequestFailed(request.message_id, self.load_hint))

    def reject_request(
        self,
        request: PendingRequest,
        retry_after_ms: float,
        do_not_retry: bool,
        cell_reason: str = "",
    ) -> None:
        """Answers a request that has not run as rejected.

        Args:
            request: The request.
            retry_after_ms: The time after which the caller may retry; 0 for none.
            do_not_retry: Asks the caller not to retry on other servers.
            cell_reason: Tells a router why this node may not run the request.
        """
        message = RequestRejected(
            request.message_id, self.load_hint, retry_after_ms, do_not_retry, cell_reason
        )
        self._answer(request, message)

    def _answer(self, request: PendingRequest, message: Answer) -> None:
        """Sends an answer on the request's connection, unless the request is answered already."""
        if request.answered:
            return
        request.answered = True
        self.counters.add(ANSWER_COUNTERS[type(message)])
        if self.request_counters is not None:
            served = isinstance(message, RequestServed)
            self.request_counters.on_answered(self.now, request, served)
        if self.connections.remove_request(self.now, request):
            self.effects.append(Write(request.connection_id, message))
            self.connections.close_if_done(request.connection_id)

    def _take_effects(self) -> list[Effect]:
        effects = self.effects[:]
        self.effects.clear()
        return effects
