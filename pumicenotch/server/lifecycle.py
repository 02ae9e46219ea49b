"""The server's own life: its timer, periodic sweeps, draining and exit."""

from typing import TYPE_CHECKING

from pumicenotch.server import worker_pool_client
from pumicenotch.server.effects import Close, Dial, Exit, Log, Wake

if TYPE_CHECKING:
    from pumicenotch.server.core import Server

LISTENER = "listener"
SWEEP_INTERVAL_MS = 250.0  # a quarter of the shortest time that connections may idle
STOP_MARGIN_MS = 100.0  # left of the notice when the last answers are sent: a crowded core is late
EXIT_MS = 40.0  # of that margin, for the process to end once the last answers are written
# Before the stop the listener closes: enough for what crossed its close to be answered.
LISTENER_CLOSE_MS = 300.0
# Before the stop, or after the listener's close if that is sooner, connections close as soon as
# nothing is open on them, so that gateways that go on sending leave time for the end.
CONNECTIONS_CLOSE_MS = 250.0
# After the listener's close, until all that it had accepted is among the connections.
LISTENER_SETTLE_MS = 100.0
EXIT_CHECK_MS = 20.0  # between checks whether the last connection has closed


class Lifecycle:
    """Runs what the server does by itself, and its graceful shutdown.

    Args:
        server: Whose life it is.
        shutdown_ms: From the request to shut down until the process is killed.
        drain_grace_ms: For which gateways may still send requests after it.
    """

    def __init__(self, server: "Server", shutdown_ms: float, drain_grace_ms: float) -> None:
        self.server = server
        self.shutdown_ms = shutdown_ms
        self.drain_grace_ms = drain_grace_ms
        self.timer_fired_at = 0.0
        self.next_sweep_at = 0.0
        self.tick_interval_ms = SWEEP_INTERVAL_MS
        self.draining = False
        self.exited = False
        self.requested_at = float("inf")  # when the platform asked to drain
        self.stop_at = float("inf")  # when the last answers are sent
        self.listener_closed_until = float("inf")

    def start(self) -> None:
        """Connects to the pool, and starts the timer and the sweeps."""
        server = self.server
        server.effects.append(Dial(worker_pool_client.CONNECTION, 0.0))
        self.timer_fired_at = server.now
        self.next_sweep_at = server.now
        self.sweep(server.now, None)
        self.schedule_tick(0.0)

    def on_timer(self) -> None:
        """Runs what is due, and polls the pool: the answer brings the controller's tick."""
        server = self.server
        self.timer_fired_at = server.now
        server.timers.run_expired(server.now)
        if server.controller is not None and server.worker_pool.has_timed_out(server.now):
            server.count_problem("links_hung", "pool: no answer on a connection that is up")
            server.worker_pool.reconnect()
        if server.controller is None:
            self.schedule_tick(SWEEP_INTERVAL_MS)
        elif server.worker_pool.up and server.worker_pool.awaiting_since is None:
            server.worker_pool.poll(server.now)
            self.schedule_tick(self.tick_interval_ms)
        else:
            server.counters.add("ticks_without_gauges")
            server.controller.on_tick(server.now, server.gauges)

    def schedule_tick(self, delay_ms: float) -> None:
        """Sets the timer, from when it last fired and not from when the pool answered."""
        self.tick_interval_ms = delay_ms
        remaining_ms = self.timer_fired_at + delay_ms - self.server.now
        self.server.effects.append(Wake(max(0.0, remaining_ms)))

    def sweep(self, now: float, _: None) -> None:
        """Reports, closes idle connections, and exits early once nothing is left to answer."""
        server = self.server
        server.reporter.report_periodically(now, self.draining)
        # After a stall, what idle connections have sent meanwhile is not read yet.
        if now <= self.next_sweep_at + SWEEP_INTERVAL_MS:
            server.connections.sweep(now)
        self.next_sweep_at = now + SWEEP_INTERVAL_MS
        server.timers.schedule(self.next_sweep_at, self.sweep, None)
        server.database.close_idle(now)
        self.exit_if_done(now)

    def start_draining(self, requested_at: float) -> None:
        """Tells gateways and registry, then answers what is in hand until the stop.

        Args:
            requested_at: When the platform asked, from which its limits count.
        """
        if self.draining:
            return
        server = self.server
        self.draining = True
        self.requested_at = requested_at
        self.stop_at = requested_at + max(0.0, self.shutdown_ms - STOP_MARGIN_MS)
        grace_ends_at = requested_at + self.drain_grace_ms
        listener_closes_at = min(grace_ends_at, self.stop_at - LISTENER_CLOSE_MS)
        connections_close_at = min(
            listener_closes_at + CONNECTIONS_CLOSE_MS, self.stop_at - CONNECTIONS_CLOSE_MS
        )
        server.timers.schedule(listener_closes_at, self.close_listener, None)
        server.timers.schedule(connections_close_at, self.close_connections, None)
        server.reporter.report(server.now, draining=True)
        server.connections.notify_all(server.now)
        if server.controller is not None:
            server.controller.start_draining(requested_at, self.stop_at)
        server.timers.schedule(self.stop_at, self.exit, None)

    def close_listener(self, now: float, _: None) -> None:
        """Requests do not run from now on, and a refused connection proves it to the caller."""
        self.listener_closed_until = now + LISTENER_SETTLE_MS
        self.server.connections.notify_all(now)
        self.server.effects.append(Close(LISTENER))

    def close_connections(self, now: float, _: None) -> None:
        """Closes each connection as soon as nothing is open on it, and exits after the last one."""
        connections = self.server.connections
        in_use = sum(bool(each.open_requests) for each in connections.by_id.values())
        text = f"drain: {len(connections.by_id)} connections close, {in_use} once they are answered"
        self.server.effects.append(Log(text))
        connections.finish_all()
        self.check_exit(now, None)

    def check_exit(self, now: float, _: None) -> None:
        """Exits if nothing is left to answer, else checks again soon."""
        self.exit_if_done(now)
        if not self.exited:
            self.server.timers.schedule(now + EXIT_CHECK_MS, self.check_exit, None)

    def exit_if_done(self, now: float) -> None:
        """Exits if the listener is closed and no connection is left."""
        # What the listener still holds is answered after its close.
        if now >= self.listener_closed_until and not self.server.connections.by_id:
            self.exit(now, None)

    @property
    def rejects_requests(self) -> bool:
        """Whether connections close already, so that no further request starts."""
        return self.server.connections.closes_idle

    @property
    def listener_closed(self) -> bool:
        """Whether no more connections are accepted, but for those that had connected before."""
        return self.listener_closed_until < float("inf")

    def exit(self, now: float, _: None) -> None:
        """Answers what is left, closes all connections and ends the process."""
        if self.exited:
            return
        self.exited = True
        server = self.server
        if server.controller is not None:
            # After a stall the last answers may still be owed.
            server.controller.on_tick(server.now, server.gauges)
        if not self.listener_closed:
            server.effects.append(Close(LISTENER))
        for connection in list(server.connections.by_id.values()):
            for request in list(connection.open_requests.values()):  # none, but for a fault
                server.fail_request(request)
        server.connections.finish_all()
        self.log_counters()
        remaining_ms = self.stop_at + STOP_MARGIN_MS - EXIT_MS - server.now
        server.effects.append(Exit(max(EXIT_MS, remaining_ms)))

    def log_counters(self) -> None:
        """Writes all counters to the log."""
        server = self.server
        server.counters.counts["results_dropped"] = server.results.dropped_count
        unanswered = server.requests.count_unanswered()
        server.effects.append(Log(f"counters: open={unanswered} {server.counters.text()}"))
        pools = server.controller.pools if server.controller is not None else None
        counts = getattr(pools, "counts", None)
        if counts is not None:
            text = " ".join(f"{name}={value}" for name, value in counts().items())
            server.effects.append(Log(f"pools: {text}"))
