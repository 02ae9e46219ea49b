"""Calls to the database, one on each connection: a spoilt reply takes no other call along."""

from collections import deque
from itertools import count
from typing import NamedTuple

from pumicenotch.interface import Idempotency, Outcome
from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.messages import DependencyCall
from pumicenotch.server.pending_request import PendingRequest

PARTY = "db"
IDLE_TIMEOUT_MS = 5000.0  # half of the peer's 10 s, so that no call crosses its close
# A connection that idled longer may be dead without our knowing, and a call lost on it cannot be
# proven not to have run. A call that may not be made again uses a fresher connection or a new one,
# which costs half a millisecond; under load nearly all were used within this time.
FRESH_MS = 50.0


class Call:
    """One call and its deadline."""

    def __init__(self, request: PendingRequest, deadline: float) -> None:
        self.request = request
        self.deadline = deadline
        self.connection = ""  # none yet
        self.written = False


class DatabaseConnection:
    """One connection and the call on it."""

    def __init__(self, call: Call) -> None:
        self.call: Call | None = call
        # The request of the last call: a late copy of its reply must not be taken for another's.
        self.last_name = ""
        self.up = False
        self.retired = False  # closes after its call: the database has moved
        self.used_at = 0.0


class EndedCall(NamedTuple):
    """A call that ended with its connection."""

    request: PendingRequest
    outcome: Outcome


class DatabaseClient:
    """Keeps connections to the database and places calls on them.

    Args:
        effects: Where dials, calls and closes go.
        backoff: Delays dials after failures.
        max_connections: Further calls wait for a connection.
    """

    def __init__(self, effects: list[Effect], backoff: Backoff, max_connections: int) -> None:
        self.effects = effects
        self.backoff = backoff
        self.max_connections = max_connections
        self.next_numbers = count(1)
        self.connections: dict[str, DatabaseConnection] = {}
        self.idle: list[str] = []  # names of connections, the one used last at the end
        self.calls: dict[str, Call] = {}  # under way, by the request's name
        self.waiting: deque[Call] = deque()  # for a connection

    def start(self, now: float, request: PendingRequest, timeout_ms: float) -> Call:
        """Makes a call on behalf of the request, in place of one that may be under way."""
        self.abandon(request)
        call = Call(request, now + timeout_ms)
        self.calls[request.name] = call
        self._place(now, call)
        return call

    def abandon(self, request: PendingRequest) -> bool:
        """Ends the request's call with its connection; returns whether one may have arrived."""
        call = self.calls.pop(request.name, None)
        if call is None:
            return False
        connection = self.connections.get(call.connection)
        if connection is not None:
            connection.call = None
            if connection.up:
                self._close(call.connection)
        return call.written

    def is_current(self, call: Call) -> bool:
        """Returns whether the call is still under way."""
        return self.calls.get(call.request.name) is call

    def on_reply(self, now: float, name: str, request_name: str) -> PendingRequest | None:
        """Returns the request whose call this reply ends; None if it answers no call there."""
        connection = self.connections.get(name)
        call = connection.call if connection is not None else None
        if connection is None or call is None or call.request.name != request_name:
            return None
        connection.call = None
        del self.calls[request_name]
        self._release(now, name, connection)
        return call.request

    def on_connection_up(self, now: float, name: str) -> None:
        """Sends the call that the connection was dialled for."""
        connection = self.connections.get(name)
        if connection is None:
            self.effects.append(Close(name))
            return
        connection.up = True
        self.backoff.reset()
        if connection.call is not None:
            self._write(now, name, connection, connection.call)
        else:
            self._release(now, name, connection)

    def on_connection_down(self, now: float, name: str) -> EndedCall | None:
        """Returns the call that ends with the connection: one not written has surely not run."""
        connection = self.connections.get(name)
        if connection is None:
            return None
        self._remove(name)
        if not connection.up:
            self.backoff.record_failure()
        call = connection.call
        if call is not None:
            del self.calls[call.request.name]
        self._place_waiting(now)
        if call is None:
            return None
        return EndedCall(call.request, Outcome.RESET if call.written else Outcome.UNREACHABLE)

    def on_address_changed(self, now: float) -> None:
        """Lets calls on open connections finish there, and makes all others at the new address."""
        self.backoff.reset()
        for name, connection in list(self.connections.items()):
            if connection.up and connection.call is not None:
                connection.retired = True
                continue
            self._close(name)
            if connection.call is not None:
                self._place(now, connection.call)

    def close_idle(self, now: float) -> None:
        """Closes connections that nothing has used for a while."""
        while self.idle and now - self.connections[self.idle[0]].used_at > IDLE_TIMEOUT_MS:
            self._close(self.idle[0])

    def _place(self, now: float, call: Call) -> None:
        repeatable = call.request.request_class.idempotency is Idempotency.IDEMPOTENT
        max_idle_ms = IDLE_TIMEOUT_MS if repeatable else FRESH_MS
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.connections[self.idle[index]]
            if now - connection.used_at > max_idle_ms:
                break
            if connection.last_name != call.request.name:
                self._write(now, self.idle.pop(index), connection, call)
                return
        if len(self.connections) >= self.max_connections and self.idle:
            self._close(self.idle[0])
        if len(self.connections) >= self.max_connections:
            self.waiting.append(call)
            return
        call.connection = f"{PARTY}-{next(self.next_numbers)}"
        self.connections[call.connection] = DatabaseConnection(call)
        self.effects.append(Dial(call.connection, self.backoff.next_delay_ms()))

    def _write(self, now: float, name: str, connection: DatabaseConnection, call: Call) -> None:
        request = call.request
        connection.call = call
        connection.last_name = request.name
        call.connection = name
        call.written = True
        timeout_ms = max(1, round(call.deadline - now))
        message = DependencyCall(request.name, timeout_ms, request.dependency_body)
        self.effects.append(Write(name, message))

    def _release(self, now: float, name: str, connection: DatabaseConnection) -> None:
        connection.used_at = now
        if connection.retired:
            self._close(name)
        else:
            self.idle.append(name)
        self._place_waiting(now)

    def _place_waiting(self, now: float) -> None:
        while self.waiting and (self.idle or len(self.connections) < self.max_connections):
            call = self.waiting.popleft()
            if self.is_current(call):
                self._place(now, call)

    def _close(self, name: str) -> None:
        self._remove(name)
        self.effects.append(Close(name))

    def _remove(self, name: str) -> None:
        del self.connections[name]
        if name in self.idle:
            self.idle.remove(name)
