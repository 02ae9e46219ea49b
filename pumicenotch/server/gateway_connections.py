"""Gateway connections: the open requests of each, drain notices, and closing.

Bounds the number of connections, so that clients cannot exhaust the process's descriptors.
"""

from pumicenotch.server.counters import Counters
from pumicenotch.server.effects import Close, Effect, FinishReading, Write
from pumicenotch.server.messages import DrainNotice
from pumicenotch.server.pending_request import PendingRequest

MAX_OPEN_REQUESTS = 32  # on one connection, as the gateways' protocol defines
# Time after a drain notice for the gateway to close the connection itself. A request that crosses
# the notice takes far less time to arrive.
NOTICE_TIMEOUT_MS = 2000.0
# Time for a new connection to send its first message. Protects descriptors against clients that
# connect and send nothing; a gateway connects because it has something to send. A caller whose
# first frame takes longer sees the close, which proves that nothing ran.
SILENT_TIMEOUT_MS = 1500.0
# Number by which the connection limit is lowered when the process runs out of descriptors, so that
# the pool, the registry and dependency calls get some. Gateways keep MIN_CONNECTIONS in any case.
RESERVED_DESCRIPTORS = 8
MIN_CONNECTIONS = 8


class GatewayConnection:
    """The state of one open connection and its unanswered requests."""

    def __init__(self, now: float) -> None:
        self.open_requests: dict[int, PendingRequest] = {}  # by message id
        self.last_active_at = now  # time of the last message or answer
        self.last_message_id = 0  # the highest id received
        self.notified_at: float | None = None  # time of the drain notice
        self.half_closed = False  # the gateway has closed its sending side
        # Closes once all received data is delivered, unless a request is in that data.
        self.closing = False


class GatewayConnections:
    """All open gateway connections.

    Args:
        effects: Receives closes and drain notices.
        counters: Count connections by the reason for closing them.
        max_idle: With more connections than this, the longest idle ones are asked to close.
        limit: With more connections than this, one is closed for each that opens.
    """

    def __init__(
        self, effects: list[Effect], counters: Counters, max_idle: int, limit: int
    ) -> None:
        self.effects = effects
        self.counters = counters
        self.max_idle = max_idle
        self.limit = limit
        self.current_limit = limit  # lowered temporarily after descriptors ran out
        self.by_id: dict[int, GatewayConnection] = {}
        # Connections that have sent no message yet, oldest first, by id, with their opening times.
        self.silent: dict[int, float] = {}
        self.closing_count = 0
        self.idle_timeout_ms = float("inf")  # set by the controller
        self.closes_idle = False  # connections close as soon as no request is open on them

    def opened(self, now: float, connection_id: int, notify: bool) -> None:
        """Adds a connection, and closes one above the limit; `notify` sends a drain notice."""
        self.by_id[connection_id] = GatewayConnection(now)
        self.silent[connection_id] = now
        if notify:
            self.notify(now, connection_id)
        if len(self.by_id) - self.closing_count > self.current_limit:
            self.evict(now, connection_id)

    def descriptors_exhausted(self, now: float) -> None:
        """Lowers the limit to free a reserve, and evicts; each sweep raises the limit by one."""
        self.current_limit = min(
            self.current_limit, max(MIN_CONNECTIONS, len(self.by_id) - RESERVED_DESCRIPTORS)
        )
        for _ in range(len(self.by_id) - self.closing_count - self.current_limit):
            self.evict(now)

    def evict(self, now: float, opened_id: int | None = None) -> None:
        """Closes the oldest silent connection, else the longest idle, else the one just opened."""
        evicted_id = next(iter(self.silent), opened_id)
        if evicted_id == opened_id:  # no other connection is silent
            evicted_id = min(self.idle(), default=(now, opened_id))[1]
        if evicted_id is not None:
            self.finish(evicted_id, "connections_crowded")

    def idle(self) -> list[tuple[float, int]]:
        """Returns idle connections that are not silent, as (time of last activity, id)."""
        return [
            (connection.last_active_at, connection_id)
            for connection_id, connection in self.by_id.items()
            if connection_id not in self.silent
            and not connection.open_requests
            and not connection.closing
        ]

    def received(self, now: float, connection_id: int, message_id: int) -> bool:
        """Records a message that needs an answer; returns whether its id is above all others."""
        connection = self.by_id[connection_id]
        connection.last_active_at = now
        self.silent.pop(connection_id, None)
        increases = message_id > connection.last_message_id
        connection.last_message_id = max(message_id, connection.last_message_id)
        return increases

    def notify(self, now: float, connection_id: int) -> None:
        """Sends the drain notice, at most once for each connection."""
        connection = self.by_id[connection_id]
        if connection.notified_at is None:
            connection.notified_at = now
            self.effects.append(Write(connection_id, DrainNotice()))

    def notify_all(self, now: float) -> None:
        """Sends the drain notice on all connections that have not received it."""
        for connection_id in self.by_id:
            self.notify(now, connection_id)

    def add_request(self, request: PendingRequest) -> None:
        """Records an open request: its connection stays open until `remove_request`."""
        self.by_id[request.connection_id].open_requests[request.message_id] = request

    def remove_request(self, now: float, request: PendingRequest) -> bool:
        """Removes an open request; returns whether its connection can still carry an answer."""
        connection = self.by_id.get(request.connection_id)
        if connection is None:
            return False
        connection.last_active_at = now
        connection.open_requests.pop(request.message_id, None)
        return True

    def remove(self, connection_id: int) -> GatewayConnection | None:
        """Removes and returns a connection without closing it; None if it is unknown."""
        self.silent.pop(connection_id, None)
        connection = self.by_id.pop(connection_id, None)
        if connection is not None:
            self.closing_count -= connection.closing
        return connection

    def close_if_done(self, connection_id: int) -> None:
        """Closes a half-closed connection, or any while all are closing, if no request is open."""
        connection = self.by_id.get(connection_id)
        if connection is None or connection.open_requests:
            return
        if connection.half_closed:
            self.close(connection_id)
        elif self.closes_idle:
            self.finish(connection_id)

    def finish_all(self) -> None:
        """From now on closes each connection as soon as no request is open on it."""
        self.closes_idle = True
        for connection_id in list(self.by_id):
            self.close_if_done(connection_id)

    def finish(self, connection_id: int, counter: str = "") -> None:
        """Closes a connection once everything received on it has been delivered.

        `reading_finished` closes it then, unless a request has arrived. `counter` counts the
        reason.
        """
        connection = self.by_id[connection_id]
        if not connection.closing:
            if counter:
                self.counters.add(counter)
            connection.closing = True
            self.closing_count += 1
            self.silent.pop(connection_id, None)
            self.effects.append(FinishReading(connection_id))

    def reading_finished(self, connection_id: int) -> None:
        """Closes a connection after `finish`; a new open request is answered first."""
        connection = self.by_id.get(connection_id)
        if connection is not None and connection.closing:
            connection.closing = False
            self.closing_count -= 1
            if not connection.open_requests:
                self.close(connection_id)

    def close(self, connection_id: int) -> None:
        """Closes a connection at once: data that arrives later is read and dropped."""
        self.remove(connection_id)
        self.effects.append(Close(connection_id))

    def sweep(self, now: float) -> None:
        """Closes silent connections, and idle ones NOTICE_TIMEOUT_MS after their drain notice.

        An idle connection gets a drain notice first, because closing it at once would lose a
        request in transit. Above `max_idle` connections, the longest idle ones are notified, since
        gateways do not need as many.
        """
        self.current_limit = min(self.limit, self.current_limit + 1)
        surplus = len(self.by_id) - len(self.silent) - self.max_idle
        for _, connection_id in sorted(self.idle())[:surplus] if surplus > 0 else ():
            self.notify(now, connection_id)
        while self.silent and now - next(iter(self.silent.values())) > SILENT_TIMEOUT_MS:
            self.finish(next(iter(self.silent)), "connections_silent")
        for connection_id, connection in list(self.by_id.items()):
            if connection.open_requests or connection.closing:
                continue
            notified_at = connection.notified_at
            if (
                notified_at is not None
                and now - max(notified_at, connection.last_active_at) > NOTICE_TIMEOUT_MS
            ):
                self.finish(connection_id)
            elif now - connection.last_active_at >= self.idle_timeout_ms:
                self.notify(now, connection_id)
