"""What every reducer has that gateways connect to: events, effects, one answer a request."""

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
    """Handles events one at a time; subclasses list their own handlers in `handlers`.

    Args:
        max_idle_connections: Beyond this many, gateways are asked to close idle ones.
        max_connections: Beyond this many, one is closed for each that opens.
    """

    handlers: ClassVar[Mapping[type, Callable[[Any, Any], None]]] = {}
    load_hint: float | None = None  # sent with every answer
    request_counters: RequestCounters | None = None  # where somebody asks for counts by class

    def __init__(self, max_idle_connections: int, max_connections: int) -> None:
        self.effects: list[Effect] = []
        self.deferred: deque[Callable[[], None]] = deque()  # ends found while handling another
        self.counters = Counters()
        self.requests = PendingRequests()
        self.connections = GatewayConnections(
            self.effects, self.counters, max_idle_connections, max_connections
        )
        self.now = 0.0

    def step(self, now: float, event: Any) -> list[Effect]:
        """Handles one event at that time in ms, which never goes back, and returns what to do."""
        self.now = max(self.now, now)
        self.handlers[type(event)](self, event)
        while self.deferred:
            self.deferred.popleft()()
        return self._take_effects()

    def on_fault(self) -> list[Effect]:
        """Handles an exception out of `step`: effects asked for before it are still carried out."""
        self.counters.add("faults")
        self.deferred.clear()
        return self._take_effects()

    def count_problem(self, counter: str, text: str = "") -> None:
        """Counts a problem, and logs the first, tenth and so on: a log may be read slowly."""
        self.counters.add(counter)
        count = str(self.counters.counts[counter])
        if text and count.rstrip("0") == "1":
            self.effects.append(Log(f"{text} ({counter}={count})"))

    def on_problem(self, event: ProblemFound) -> None:
        """Counts a problem that was found outside the core."""
        self.count_problem(event.counter, event.text)

    # Connections

    def violate_protocol(self, event: ProtocolViolated) -> None:
        """Fails all requests of the connection and closes it.

        What it sends cannot be told apart any more, so nothing open is answered as served: a
        gateway keeps to the protocol. Guards against what is no gateway; harms the requests of one
        that errs once.
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
        """Closes the connection once all its requests are answered."""
        connection = self.connections.by_id.get(event.connection_id)
        if connection is not None:
            connection.ended = True
            self.connections.reading_finished(event.connection_id)
            self.connections.close_if_done(event.connection_id)

    def on_connection_reset(self, event: ConnectionReset) -> None:
        """Gives up the requests of the connection: nobody waits for their answers."""
        connection = self.connections.remove(event.connection_id)
        if connection is not None:
            self.counters.add("connections_reset")
            for request in list(connection.open_requests.values()):
                self.cancel(request)

    def on_reading_finished(self, event: ReadingFinished) -> None:
        """Closes the connection unless a request has arrived."""
        self.connections.reading_finished(event.connection_id)

    def on_descriptors_exhausted(self, _: DescriptorsExhausted) -> None:
        """Closes connections to leave a reserve of descriptors."""
        self.connections.descriptors_exhausted(self.now)

    # Requests

    def accept_message(self, event: RequestReceived) -> bool:
        """Returns whether a request of that message id may arrive on that connection now."""
        connection = self.connections.by_id.get(event.connection_id)
        if connection is None:
            # On its way while the connection was closed: the gateway sends it again.
            self.counters.add("tasks_crossed")
            return False
        if not self.connections.received(self.now, event.connection_id, event.message_id):
            text = f"message {event.message_id} after {connection.last_message_id}"
            self.violate_protocol(
                ProtocolViolated(event.connection_id, "connections_misnumbered", text)
            )
            return False
        if len(connection.open_requests) >= MAX_OPEN_REQUESTS:
            text = f"over {MAX_OPEN_REQUESTS} requests are open"
            self.violate_protocol(
                ProtocolViolated(event.connection_id, "connections_overfull", text)
            )
            return False
        self.counters.add("tasks")
        return True

    def answer_invalid(self, event: RequestReceived, error: InvalidRequestError) -> None:
        """Fails a message that is no request."""
        self.count_problem("malformed", f"malformed request: {error}")
        message = RequestFailed(event.message_id, self.load_hint)
        self.counters.add(ANSWER_COUNTERS[RequestFailed])
        self.effects.append(Write(event.connection_id, message))
        self.connections.close_if_done(event.connection_id)

    def on_cancel(self, event: RequestCancelled) -> None:
        """Gives up a request that the gateway has cancelled."""
        connection = self.connections.by_id.get(event.connection_id)
        request = connection.open_requests.get(event.message_id) if connection is not None else None
        if request is None:
            self.counters.add("cancels_late")
        else:
            self.counters.add("cancels")
            self.cancel(request)
            self.connections.close_if_done(event.connection_id)

    def cancel(self, request: PendingRequest) -> None:
        """Gives up a request that needs no answer any more."""
        self.counters.add("answered_gone")
        request.answered = True
        self.connections.settle(self.now, request)
        self.release(request)

    @abstractmethod
    def release(self, request: PendingRequest) -> None:
        """Nobody waits for the request any more."""

    def serve_request(self, request: PendingRequest, result: bytes) -> None:
        """Answers a request with its result."""
        self._answer(request, RequestServed(request.message_id, self.load_hint, result))

    def fail_request(self, request: PendingRequest) -> None:
        """Answers a request that has no result and may have run."""
        self._answer(request, RequestFailed(request.message_id, self.load_hint))

    def reject_request(
        self,
        request: PendingRequest,
        retry_after_ms: float,
        do_not_retry: bool,
        cell_reason: str = "",
    ) -> None:
        """Answers a request that has not run."""
        message = RequestRejected(
            request.message_id, self.load_hint, retry_after_ms, do_not_retry, cell_reason
        )
        self._answer(request, message)

    def _answer(self, request: PendingRequest, message: Answer) -> None:
        """Sends the one answer, on the connection that the request came by."""
        if request.answered:
            return
        request.answered = True
        self.counters.add(ANSWER_COUNTERS[type(message)])
        if self.request_counters is not None:
            served = isinstance(message, RequestServed)
            self.request_counters.on_answered(self.now, request, served)
        if self.connections.settle(self.now, request):
            self.effects.append(Write(request.connection_id, message))
            self.connections.close_if_done(request.connection_id)

    def _take_effects(self) -> list[Effect]:
        effects = self.effects[:]
        self.effects.clear()
        return effects
