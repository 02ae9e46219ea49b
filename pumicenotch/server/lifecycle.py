"""The server's timer, periodic sweeps, draining and exit.

The platform kills the process `shutdown_ms` after the request to shut down. Draining answers all
accepted requests before then: the listener closes first, then connections, then the process exits.
"""

from typing import TYPE_CHECKING

from pumicenotch.server import worker_pool_client
from pumicenotch.server.core_share import BusyTime
from pumicenotch.server.drain_schedule import DrainSchedule, DrainStep
from pumicenotch.server.effects import Close, Dial, Exit, Log, MeasureBusyTime, Wake

if TYPE_CHECKING:
    from pumicenotch.control import AdmissionController
    from pumicenotch.server.core import Server

LISTENER = "listener"
# Interval between sweeps of connections: a quarter of the shortest idle timeout.
SWEEP_INTERVAL_MS = 250.0
# After the listener's close, time until all connections that it had accepted have been reported.
LISTENER_SETTLE_MS = 100.0


class Lifecycle:
    """Runs the server's periodic work and its graceful shutdown.

    Args:
        server: The server.
        shutdown_ms: Time from the request to shut down until the process is killed.
        drain_grace_ms: Time from the request to shut down in which gateways may still send
            requests.
    """

    def __init__(self, server: "Server", shutdown_ms: float, drain_grace_ms: float) -> None:
        self.server = server
        self.shutdown_ms = shutdown_ms
        self.drain_grace_ms = drain_grace_ms
        self.timer_fired_at = 0.0
        self.next_sweep_at = 0.0
        self.tick_interval_ms = SWEEP_INTERVAL_MS
        self.drain: DrainSchedule | None = None  # None until the request to shut down
        self.exited = False
        self.listener_settled_at = float("inf")

    def start(self) -> None:
        """Dials the worker pool, and starts the timer and the sweeps."""
        server = self.server
        server.effects.append(Dial(worker_pool_client.CONNECTION, 0.0))
        self.timer_fired_at = server.now
        self.next_sweep_at = server.now
        self.sweep(server.now, None)
        self.schedule_tick(0.0)

    def on_timer(self) -> None:
        """Runs expired timers and polls the pool.

        The controller's tick follows when the pool reports its gauges. Without a usable pool
        connection, or while a poll is unanswered, the controller ticks at once with the old gauges.
        """
        server = self.server
        self.timer_fired_at = server.now
        server.timers.run_expired(server.now)
        if server.controller is not None and server.worker_pool.has_timed_out(server.now):
            server.count_problem(
                "links_hung", "pool: no answer within the timeout on an open connection"
            )
            server.worker_pool.reconnect()
        if server.controller is None:
            self.schedule_tick(SWEEP_INTERVAL_MS)
        elif (
            server.worker_pool.accepts_commands and server.worker_pool.awaiting_reply_since is None
        ):
            server.worker_pool.poll(server.now)
            self.schedule_tick(self.tick_interval_ms)
        else:
            server.counters.add("ticks_without_gauges")
            server.controller.on_tick(server.now, server.gauges)

    def schedule_tick(self, delay_ms: float) -> None:
        """Sets the timer, counted from the time it last fired: the pool's delay does not add up."""
        self.tick_interval_ms = delay_ms
        remaining_ms = self.timer_fired_at + delay_ms - self.server.now
        self.server.effects.append(Wake(max(0.0, remaining_ms)))

    def sweep(self, now: float, _: None) -> None:
        """Reports to the registry, closes idle connections, and exits once draining is complete."""
        server = self.server
        server.reporter.report_periodically(now, self.draining)
        # After a stall, messages of connections that look idle may not have been read yet.
        if now <= self.next_sweep_at + SWEEP_INTERVAL_MS:
            server.connections.sweep(now)
        self.next_sweep_at = now + SWEEP_INTERVAL_MS
        server.timers.schedule(self.next_sweep_at, self.sweep, None)
        server.database.close_idle(now)
        self.exit_if_done(now)

    def start_draining(self, requested_at: float) -> None:
        """Notifies gateways and registry, and schedules the steps of the shutdown.

        Open requests are answered until the stop. Further calls have no effect.

        Args:
            requested_at: Time of the platform's request, from which its time limit counts.
        """
        if self.drain is not None:
            return
        server = self.server
        self.drain = DrainSchedule(requested_at, self.shutdown_ms, self.drain_grace_ms)
        server.effects.append(MeasureBusyTime())
        server.reporter.report(server.now, draining=True)
        server.connections.notify_all(server.now)
        if server.controller is not None:
            self.start_controller_drain(server.controller)
        self.check_drain(server.now, None)

    def start_controller_drain(self, controller: "AdmissionController") -> None:
        """Has the controller answer all requests before the stop, if the server drains."""
        if self.drain is not None:
            controller.start_draining(self.drain.requested_at, self.drain.stop_at)

    def on_busy_time_measured(self, busy: BusyTime) -> None:
        """Takes what the process got of its core; steps of a drain may be due at once by it."""
        if self.drain is not None:
            self.drain.observe(busy)
            self.advance_drain(self.drain, self.server.now)

    def on_listener_closed(self) -> None:
        """Lets connections close: their gateways cannot connect again."""
        if self.drain is not None:
            self.drain.refuses_connections = True
            self.advance_drain(self.drain, self.server.now)

    def check_drain(self, now: float, _: None) -> None:
        """Advances the drain at intervals, until the exit."""
        if self.drain is not None and not self.exited:
            self.advance_drain(self.drain, now)
            next_check_at = self.drain.next_check_at(now, len(self.server.connections.by_id))
            self.server.timers.schedule(next_check_at, self.check_drain, None)

    def advance_drain(self, drain: DrainSchedule, now: float) -> None:
        """Carries out the steps of the drain that are due."""
        connection_count = len(self.server.connections.by_id)
        for step in drain.take_due_steps(now, connection_count):
            match step:
                case DrainStep.CLOSE_LISTENER:
                    self.close_listener(now, drain.core_share)
                case DrainStep.CLOSE_CONNECTIONS:
                    self.close_connections(drain.core_share)
                case DrainStep.STOP:
                    self.exit(now)
        self.exit_if_done(now)

    def close_listener(self, now: float, core_share: float) -> None:
        """Closes the listener; from then on, a refused connection proves that no request runs."""
        text = f"drain: closing the listener; this process gets {core_share:.0%} of a core"
        self.server.effects.append(Log(text))
        self.listener_settled_at = now + LISTENER_SETTLE_MS
        self.server.connections.notify_all(now)
        self.server.effects.append(Close(LISTENER))

    def close_connections(self, core_share: float) -> None:
        """Closes each connection once no request is open on it; logs the share of a core."""
        connections = self.server.connections
        in_use = sum(bool(gateway.open_requests) for gateway in connections.by_id.values())
        self.server.effects.append(
            Log(
                f"drain: closing {len(connections.by_id)} connections, {in_use} with open requests;"
                f" this process gets {core_share:.0%} of a core"
            )
        )
        connections.finish_all()

    def exit_if_done(self, now: float) -> None:
        """Exits if the listener has closed and no connection is left."""
        # Connections accepted before the listener's close may be reported until it has settled.
        if now >= self.listener_settled_at and not self.server.connections.by_id:
            self.exit(now)

    @property
    def draining(self) -> bool:
        """Whether the platform has asked the process to shut down."""
        return self.drain is not None

    @property
    def rejects_requests(self) -> bool:
        """Whether connections are being closed, so that no new request starts."""
        return self.server.connections.closes_idle

    @property
    def listener_closed(self) -> bool:
        """Whether the listener has closed; connections accepted before may still be reported."""
        return self.listener_settled_at < float("inf")

    def exit(self, now: float) -> None:
        """Answers the remaining requests, closes all connections and ends the process."""
        if self.exited:
            return
        self.exited = True
        server = self.server
        if server.controller is not None:
            # After a stall, the controller may not have sent the last answers yet.
            server.controller.on_tick(server.now, server.gauges)
        if not self.listener_closed:
            server.effects.append(Close(LISTENER))
        for connection in list(server.connections.by_id.values()):
            # Requests are open here only after a fault, or if the stop has moved to an earlier
            # time: the controller answers all others.
            for request in list(connection.open_requests.values()):
                server.fail_request(request)
        server.connections.finish_all()
        self.log_counters()
        assert self.drain is not None
        server.effects.append(Exit(self.drain.exit_timeout_ms(server.now)))

    def log_counters(self) -> None:
        """Logs all counters, and those of the class pools if there are any."""
        server = self.server
        server.counters.counts["results_dropped"] = server.results.dropped_count
        unanswered = server.requests.count_unanswered()
        server.effects.append(Log(f"counters: open={unanswered} {server.counters.text()}"))
        pools = server.controller.pools if server.controller is not None else None
        counts = getattr(pools, "counts", None)
        if counts is not None:
            text = " ".join(f"{name}={value}" for name, value in counts().items())
            server.effects.append(Log(f"pools: {text}"))
