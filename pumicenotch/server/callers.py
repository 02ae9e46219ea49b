"""The gateways' connections: what is open on each, and when an idle one is told to end."""

from pumicenotch.server.counters import Counters
from pumicenotch.server.effects import Close, Effect, Write
from pumicenotch.server.tasks import Held


class Connection:
    def __init__(self, now: float) -> None:
        self.open: dict[int, Held] = {}
        self.active_at = now
        self.last = 0  # the highest message number read
        self.asked = False  # a whole message has come
        self.told_at: float | None = None  # that no more tasks are wanted
        self.ended = False  # the gateway writes no more


class Callers:
    MOST_OPEN = 32  # the protocol's bound on tasks open on one connection
    TOLD_MS = 2000.0  # for a gateway to close by itself: far more than a task's way here
    # A gateway connects because it has something to send. Guards descriptors against who connects and says
    # nothing; could harm only a caller whose first frame needs longer than this, and that one finds a close
    # that proves nothing ran.
    SILENT_MS = 1500.0

    def __init__(self, effects: list[Effect], counters: Counters, many: int, most: int) -> None:
        self.effects, self.counters, self.many, self.most = effects, counters, many, most
        self.connections: dict[int, Connection] = {}
        self.idle_ms = float("inf")  # until the control says otherwise, callers close idle ones themselves

    def opened(self, now: float, conn: int, told: bool) -> None:
        self.connections[conn] = Connection(now)
        if told:
            self.tell(now, conn)
        if len(self.connections) > self.most:
            self.close(min(self.idle(but=conn), default=(conn,))[-1], "connections_crowded")

    def idle(self, but: int = 0) -> list[tuple[bool, float, int]]:
        """Connections with nothing open, in the order to part with them: silent, then longest idle."""
        return [
            (connection.asked, connection.active_at, conn)
            for conn, connection in self.connections.items() if not connection.open and conn != but
        ]  # fmt: skip

    def heard(self, now: float, conn: int, message: int) -> bool:
        """Notes a message that wants an answer; whether its number is above all before it, as it must be."""
        connection = self.connections[conn]
        connection.active_at, connection.asked = now, True
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

    def close_if_over(self, conn: int) -> None:
        connection = self.connections.get(conn)
        if connection is not None and connection.ended and not connection.open:
            self.close(conn)

    def close(self, conn: int, why: str = "") -> None:
        if why:
            self.counters.add(why)
        del self.connections[conn]
        self.effects.append(Close(conn))

    def close_idle(self, now: float) -> None:
        """Idle ones are told first: cut at once, a task on its way would be lost. Beyond `many` connections
        the longest idle are told: gateways need no more, so others hold them."""
        for _, _, conn in sorted(self.idle())[: max(0, len(self.connections) - self.many)]:
            self.tell(now, conn)
        for conn, connection in list(self.connections.items()):
            if connection.open:
                continue
            told = connection.told_at
            if not connection.asked and now - connection.active_at > self.SILENT_MS:
                self.close(conn, "connections_silent")
            elif told is not None and now - max(told, connection.active_at) > self.TOLD_MS:
                self.close(conn)
            elif now - connection.active_at >= self.idle_ms:
                self.tell(now, conn)
