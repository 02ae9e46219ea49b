"""The gateways' connections: what is open on each, and when an idle one is told to end."""

from pumicenotch.server.counters import Counters
from pumicenotch.server.effects import Close, Effect, ReadOut, Write
from pumicenotch.server.tasks import Held


class Connection:
    def __init__(self, now: float) -> None:
        self.open: dict[int, Held] = {}
        self.active_at = now
        self.last = 0  # the highest message number read
        self.told_at: float | None = None  # that no more tasks are wanted
        self.ended = False  # the gateway writes no more
        self.closing = False  # once all that has come is read, unless a task is among it


class Callers:
    MOST_OPEN = 32  # the protocol's bound on tasks open on one connection
    TOLD_MS = 2000.0  # for a gateway to close by itself: far more than a task's way here
    # A gateway connects because it has something to send. Guards descriptors against who connects and says
    # nothing; could harm only a caller whose first frame needs longer than this, and that one finds a close
    # that proves nothing ran.
    SILENT_MS = 1500.0
    # Where descriptors run out below what was named, as many fewer connections as these leave the links below
    # some of their own: one to the pool, one to the registry, calls. At least as many gateways are kept.
    RESERVE, LEAST = 8, 8

    def __init__(self, effects: list[Effect], counters: Counters, many: int, most: int) -> None:
        self.effects, self.counters, self.many, self.most = effects, counters, many, most
        self.limit = most  # as it was given; `most` is less for a while after descriptors ran out
        self.connections: dict[int, Connection] = {}
        self.silent: dict[
            int, float
        ] = {}  # those that have sent no message yet, oldest first, since when
        self.closing = 0  # how many are
        self.idle_ms = float(
            "inf"
        )  # until the control says otherwise, callers close idle ones themselves

    def opened(self, now: float, conn: int, told: bool) -> None:
        self.connections[conn] = Connection(now)
        self.silent[conn] = now
        if told:
            self.tell(now, conn)
        if len(self.connections) - self.closing > self.most:
            self.crowded(now, conn)

    def scarce(self, now: float) -> None:
        """Descriptors have run out: the table is narrowed to what leaves a reserve, idle ones going first; it
        grows back by one at each look.
        """
        self.most = min(self.most, max(self.LEAST, len(self.connections) - self.RESERVE))
        for _ in range(len(self.connections) - self.closing - self.most):
            self.crowded(now)

    def crowded(self, now: float, conn: int | None = None) -> None:
        """One gives way: a silent one, else the one idle for longest, else the one just opened."""
        first = next(iter(self.silent), conn)
        if first == conn:  # no other is silent
            first = min(self.idle(), default=(now, conn))[1]
        if first is not None:
            self.end(first, "connections_crowded")

    def idle(self) -> list[tuple[float, int]]:
        """Connections that have nothing open any more, and since when."""
        return [
            (connection.active_at, conn)
            for conn, connection in self.connections.items()
            if conn not in self.silent and not connection.open and not connection.closing
        ]

    def heard(self, now: float, conn: int, message: int) -> bool:
        """Notes a message that wants an answer; whether its number is above all before it, as it must be."""
        connection = self.connections[conn]
        connection.active_at = now
        self.silent.pop(conn, None)
        rises = message > connection.last
        connection.last = max(message, connection.last)
        return rises

    def tell(self, now: float, conn: int) -> None:
        connection = self.connections[conn]
        if connection.told_at is None:
            connection.told_at = now
            self.effects.append(Write(conn, ("draining",)))

    def tell_all(self, now: float) -> None:
        for conn in self.connections:
            self.tell(now, conn)

    def taken(self, conn: int, message: int, held: Held) -> None:
        self.connections[conn].open[message] = held

    def settle(self, now: float, held: Held) -> bool:
        """The task is owed nothing more; whether an answer can still be written."""
        connection = self.connections.get(held.conn)
        if connection is None:
            return False
        connection.active_at = now
        connection.open.pop(held.message, None)
        return True

    def gone(self, conn: int) -> Connection | None:
        self.silent.pop(conn, None)
        connection = self.connections.pop(conn, None)
        if connection is not None:
            self.closing -= connection.closing
        return connection

    def close_if_over(self, conn: int) -> None:
        connection = self.connections.get(conn)
        if connection is not None and connection.ended and not connection.open:
            self.close(conn)

    def end(self, conn: int, why: str = "") -> None:
        """Closes one that has nothing open, once all that has come is read."""
        connection = self.connections[conn]
        if not connection.closing:
            if why:
                self.counters.add(why)
            connection.closing = True
            self.closing += 1
            self.silent.pop(conn, None)
            self.effects.append(ReadOut(conn))

    def read_out(self, conn: int) -> None:
        """Closed unless a task has come after all: that one is answered first, and what follows seen anew."""
        connection = self.connections.get(conn)
        if connection is not None and connection.closing:
            connection.closing = False
            self.closing -= 1
            if not connection.open:
                self.close(conn)

    def close(self, conn: int) -> None:
        """What comes from now on is read and dropped."""
        self.gone(conn)
        self.effects.append(Close(conn))

    def close_idle(self, now: float) -> None:
        """Idle ones are told first: cut at once, a task on its way would be lost. Beyond `many` connections
        the longest idle are told: gateways need no more, so others hold them.
        """
        self.most = min(self.limit, self.most + 1)
        beyond = len(self.connections) - len(self.silent) - self.many
        for _, conn in sorted(self.idle())[:beyond] if beyond > 0 else ():
            self.tell(now, conn)
        while self.silent and now - next(iter(self.silent.values())) > self.SILENT_MS:
            self.end(next(iter(self.silent)), "connections_silent")
        for conn, connection in list(self.connections.items()):
            if connection.open or connection.closing:
                continue
            told = connection.told_at
            if told is not None and now - max(told, connection.active_at) > self.TOLD_MS:
                self.end(conn)
            elif now - connection.active_at >= self.idle_ms:
                self.tell(now, conn)
