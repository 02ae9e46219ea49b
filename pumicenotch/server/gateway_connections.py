"""The gateways' connections: what is open on each, and when an idle one is asked to close."""

from pumicenotch.server.counters import Counters
from pumicenotch.server.effects import Close, Effect, FinishReading, Write
from pumicenotch.server.messages import DrainNotice
from pumicenotch.server.pending_request import PendingRequest

MAX_OPEN_REQUESTS = 32  # the protocol's bound on requests open on one connection
# After a drain notice, for the gateway to close by itself: far more than a request takes to get
# here.
NOTICE_MS = 2000.0
# A gateway connects because it has something to send. Guards descriptors against clients that
# connect and send nothing. A caller whose first frame takes longer finds a close that proves that
# nothing ran.
SILENT_MS = 1500.0
# When descriptors run out early, this many fewer connections are accepted, so that the pool, the
# registry and calls have some; gateways always keep the minimum.
RESERVED_DESCRIPTORS = 8
MIN_CONNECTIONS = 8


class GatewayConnection:
    """One open connection and its unanswered requests."""

    def __init__(self, now: float) -> None:
        self.open_requests: dict[int, PendingRequest] = {}  # by message id
        self.active_at = now
        self.last_message_id = 0  # the highest that was read
        self.notified_at: float | None = None  # when the drain notice was sent
        self.ended = False  # the gateway writes no more
        self.closing = (
            False  # once all that was received is delivered, unless a request is among it
        )


class GatewayConnections:
    """All open connections, at most `limit` of them.

    Args:
        effects: Where closes and drain notices go.
        counters: Count why connections are closed.
        max_idle: Beyond this many, those that have been idle longest are asked to close.
        limit: Beyond this many, one is closed for each that opens.
    """

    def __init__(
        self, effects: list[Effect], counters: Counters, max_idle: int, limit: int
    ) -> None:
        self.effects = effects
        self.counters = counters
        self.max_idle = max_idle
        self.limit = limit
        self.current_limit = limit  # lower for a while after descriptors ran out
        self.by_id: dict[int, GatewayConnection] = {}
        # Connections that have sent no message yet, oldest first, with the time of their opening.
        self.silent: dict[int, float] = {}
        self.closing_count = 0
        self.idle_timeout_ms = float("inf")  # until the controller sets one
        self.closes_idle = False  # each one is closed as soon as nothing is open on it

    def opened(self, now: float, connection_id: int, notify: bool) -> None:
        """Adds a connection, closing one if there are too many; `notify` sends a drain notice."""
        self.by_id[connection_id] = GatewayConnection(now)
        self.silent[connection_id] = now
        if notify:
            self.notify(now, connection_id)
        if len(self.by_id) - self.closing_count > self.current_limit:
            self.evict(now, connection_id)

    def descriptors_exhausted(self, now: float) -> None:
        """Lowers the limit to leave a reserve, and evicts; the limit grows by one at each sweep."""
        self.current_limit = min(
            self.current_limit, max(MIN_CONNECTIONS, len(self.by_id) - RESERVED_DESCRIPTORS)
        )
        for _ in range(len(self.by_id) - self.closing_count - self.current_limit):
            self.evict(now)

    def evict(self, now: float, opened_id: int | None = None) -> None:
        """Closes a silent connection, else the one idle for longest, else the one just opened."""
        evicted = next(iter(self.silent), opened_id)
        if evicted == opened_id:  # no other is silent
            evicted = min(self.idle(), default=(now, opened_id))[1]
        if evicted is not None:
            self.finish(evicted, "connections_crowded")

    def idle(self) -> list[tuple[float, int]]:
        """Returns connections that have had requests and have none open: since when, and the id."""
        return [
            (connection.active_at, connection_id)
            for connection_id, connection in self.by_id.items()
            if connection_id not in self.silent
            and not connection.open_requests
            and not connection.closing
        ]

    def received(self, now: float, connection_id: int, message_id: int) -> bool:
        """Notes a message that wants an answer; returns whether its id is above all before it."""
        connection = self.by_id[connection_id]
        connection.active_at = now
        self.silent.pop(connection_id, None)
        increases = message_id > connection.last_message_id
        connection.last_message_id = max(message_id, connection.last_message_id)
        return increases

    def notify(self, now: float, connection_id: int) -> None:
        """Sends the drain notice, once."""
        connection = self.by_id[connection_id]
        if connection.notified_at is None:
            connection.notified_at = now
            self.effects.append(Write(connection_id, DrainNotice()))

    def notify_all(self, now: float) -> None:
        """Sends the drain notice on all connections that have not had it."""
        for connection_id in self.by_id:
            self.notify(now, connection_id)

    def add_request(self, request: PendingRequest) -> None:
        """The request's connection stays open until it is settled."""
        self.by_id[request.connection_id].open_requests[request.message_id] = request

    def settle(self, now: float, request: PendingRequest) -> bool:
        """The request needs no answer after this; returns whether one can still be written."""
        connection = self.by_id.get(request.connection_id)
        if connection is None:
            return False
        connection.active_at = now
        connection.open_requests.pop(request.message_id, None)
        return True

    def remove(self, connection_id: int) -> GatewayConnection | None:
        """Forgets a connection without closing it; None if it was not there."""
        self.silent.pop(connection_id, None)
        connection = self.by_id.pop(connection_id, None)
        if connection is not None:
            self.closing_count -= connection.closing
        return connection

    def close_if_done(self, connection_id: int) -> None:
        """Closes a connection whose end has come, once all its requests are answered."""
        connection = self.by_id.get(connection_id)
        if connection is None or connection.open_requests:
            return
        if connection.ended:
            self.close(connection_id)
        elif self.closes_idle:
            self.finish(connection_id)

    def finish_all(self) -> None:
        """Closes each connection as soon as nothing is open on it, from now on."""
        self.closes_idle = True
        for connection_id in list(self.by_id):
            self.close_if_done(connection_id)

    def finish(self, connection_id: int, counter: str = "") -> None:
        """Closes one that has nothing open, once everything received on it has been delivered."""
        connection = self.by_id[connection_id]
        if not connection.closing:
            if counter:
                self.counters.add(counter)
            connection.closing = True
            self.closing_count += 1
            self.silent.pop(connection_id, None)
            self.effects.append(FinishReading(connection_id))

    def reading_finished(self, connection_id: int) -> None:
        """Closes it unless a request has arrived after all, which is answered first."""
        connection = self.by_id.get(connection_id)
        if connection is not None and connection.closing:
            connection.closing = False
            self.closing_count -= 1
            if not connection.open_requests:
                self.close(connection_id)

    def close(self, connection_id: int) -> None:
        """Closes it at once: what arrives from now on is read and dropped."""
        self.remove(connection_id)
        self.effects.append(Close(connection_id))

    def sweep(self, now: float) -> None:
        """Closes silent connections, and idle ones some time after their drain notice.

        An idle connection is notified first: closed at once, a request on its way would be lost.
        Beyond `max_idle` connections the longest idle are notified, since gateways need no more.
        """
        self.current_limit = min(self.limit, self.current_limit + 1)
        surplus = len(self.by_id) - len(self.silent) - self.max_idle
        for _, connection_id in sorted(self.idle())[:surplus] if surplus > 0 else ():
            self.notify(now, connection_id)
        while self.silent and now - next(iter(self.silent.values())) > SILENT_MS:
            self.finish(next(iter(self.silent)), "connections_silent")
        for connection_id, connection in list(self.by_id.items()):
            if connection.open_requests or connection.closing:
                continue
            notified_at = connection.notified_at
            if notified_at is not None and now - max(notified_at, connection.active_at) > NOTICE_MS:
                self.finish(connection_id)
            elif now - connection.active_at >= self.idle_timeout_ms:
                self.notify(now, connection_id)
