"""Calls to the database, with one call at a time on each connection.

A malformed reply or a broken connection therefore fails no other call.
"""

from collections import deque
from itertools import count
from typing import NamedTuple

from pumicenotch.interface import Idempotency, Outcome
from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Close, Dial, Effect, Write
from pumicenotch.server.messages import DependencyCall
from pumicenotch.server.pending_request import PendingRequest

PARTY = "db"
# Half of the database's own 10 s, so that no call is sent while the database closes the connection.
IDLE_TIMEOUT_MS = 5000.0
# Longest idle time of a connection for a call that must not be repeated. A connection that was idle
# for longer may be dead without notice, and a call lost on it may have run. A new connection costs
# half a millisecond, and under load nearly all connections were used within this time.
NON_IDEMPOTENT_MAX_IDLE_MS = 50.0


class Call:
    """One call and its deadline."""

    def __init__(self, request: PendingRequest, deadline: float) -> None:
        self.request = request
        self.deadline = deadline
        self.connection = ""  # empty until a connection is assigned
        self.written = False


class DatabaseConnection:
    """One connection and the call on it."""

    def __init__(self, call: Call) -> None:
        self.call: Call | None = call
        # Name of the request of the last call. The same request makes no further call here, because
        # a late duplicate of the first reply would be taken for the second.
        self.last_request_name = ""
        self.up = False
        self.retired = False  # closes after its call: the database's address has changed
        self.last_used_at = 0.0


class EndedCall(NamedTuple):
    """A call that ended with its connection."""

    request: PendingRequest
    outcome: Outcome


class DatabaseClient:
    """Owns the connections to the database and assigns calls to them.

    Args:
        effects: Receives dials, calls and closes.
        backoff: Delays dials after failures.
        max_connections: The maximum number of connections; further calls wait for a free one.
    """

    def __init__(self, effects: list[Effect], backoff: Backoff, max_connections: int) -> None:
        self.effects = effects
        self.backoff = backoff
        self.max_connections = max_connections
        self.connection_numbers = count(1)
        self.connections: dict[str, DatabaseConnection] = {}
        self.idle: list[str] = []  # names of idle connections, last used at the end
        self.calls: dict[str, Call] = {}  # current calls, by the request's name
        self.waiting: deque[Call] = deque()  # calls without a connection

    def start(self, now: float, request: PendingRequest, timeout_ms: float) -> Call:
        """Makes a call for the request, and abandons the request's current call if there is one."""
        self.abandon(request)
        call = Call(request, now + timeout_ms)
        self.calls[request.name] = call
        self._assign(now, call)
        return call

    def abandon(self, request: PendingRequest) -> bool:
        """Ends the request's call and closes its connection; returns whether it was written."""
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
        """Returns whether the call has not ended."""
        return self.calls.get(call.request.name) is call

    def on_reply(self, now: float, name: str, request_name: str) -> PendingRequest | None:
        """Returns the request whose call the reply ends; None if there is no such call."""
        connection = self.connections.get(name)
        call = connection.call if connection is not None else None
        if connection is None or call is None or call.request.name != request_name:
            return None
        connection.call = None
        del self.calls[request_name]
        self._release(now, name, connection)
        return call.request

    def on_connection_up(self, now: float, name: str) -> None:
        """Sends the call that the connection was dialled for, if it has not ended."""
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
        """Returns the call that the connection fails, if any; an unwritten call cannot have run."""
        connection = self.connections.get(name)
        if connection is None:
            return None
        self._remove(name)
        if not connection.up:
            self.backoff.record_failure()
        call = connection.call
        if call is not None:
            del self.calls[call.request.name]
        self._assign_waiting(now)
        if call is None:
            return None
        return EndedCall(call.request, Outcome.RESET if call.written else Outcome.UNREACHABLE)

    def on_address_changed(self, now: float) -> None:
        """Moves all calls to the new address, except those already sent on an open connection."""
        self.backoff.reset()
        for name, connection in list(self.connections.items()):
            if connection.up and connection.call is not None:
                connection.retired = True
                continue
            self._close(name)
            if connection.call is not None:
                self._assign(now, connection.call)

    def close_idle(self, now: float) -> None:
        """Closes connections that have been idle for IDLE_TIMEOUT_MS."""
        while self.idle and now - self.connections[self.idle[0]].last_used_at > IDLE_TIMEOUT_MS:
            self._close(self.idle[0])

    def _assign(self, now: float, call: Call) -> None:
        is_idempotent = call.request.request_class.idempotency is Idempotency.IDEMPOTENT
        max_idle_ms = IDLE_TIMEOUT_MS if is_idempotent else NON_IDEMPOTENT_MAX_IDLE_MS
        for index in range(len(self.idle) - 1, -1, -1):
            connection = self.connections[self.idle[index]]
            if now - connection.last_used_at > max_idle_ms:
                break
            if connection.last_request_name != call.request.name:
                self._write(now, self.idle.pop(index), connection, call)
                return
        if len(self.connections) >= self.max_connections and self.idle:
            self._close(self.idle[0])
        if len(self.connections) >= self.max_connections:
            self.waiting.append(call)
            return
        call.connection = f"{PARTY}-{next(self.connection_numbers)}"
        self.connections[call.connection] = DatabaseConnection(call)
        self.effects.append(Dial(call.connection, self.backoff.next_delay_ms()))

    def _write(self, now: float, name: str, connection: DatabaseConnection, call: Call) -> None:
        request = call.request
        connection.call = call
        connection.last_request_name = request.name
        call.connection = name
        call.written = True
        timeout_ms = max(1, round(call.deadline - now))
        message = DependencyCall(request.name, timeout_ms, request.dependency_body)
        self.effects.append(Write(name, message))

    def _release(self, now: float, name: str, connection: DatabaseConnection) -> None:
        connection.last_used_at = now
        if connection.retired:
            self._close(name)
        else:
            self.idle.append(name)
        self._assign_waiting(now)

    def _assign_waiting(self, now: float) -> None:
        while self.waiting and (self.idle or len(self.connections) < self.max_connections):
            call = self.waiting.popleft()
            if self.is_current(call):
                self._assign(now, call)

    def _close(self, name: str) -> None:
        self._remove(name)
        self.effects.append(Close(name))

    def _remove(self, name: str) -> None:
        del self.connections[name]
        if name in self.idle:
            self.idle.remove(name)
