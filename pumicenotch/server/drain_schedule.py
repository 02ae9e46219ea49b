"""The times at which a draining process closes its listener and its connections, and stops.

The platform kills the process a fixed time after its request to shut down. The last steps take a
certain processor time, so a process that gets a small share of a core begins them earlier.
"""

from enum import Enum, auto

from pumicenotch.server.core_share import BusyTime, CoreShare

# Processor time to close one connection: its last requests are read and rejected, its write side is
# shut down, and its tasks end.
CONNECTION_CLOSE_WORK_MS = 1.5
# Processor time from the stop to the end of the process: the last answers are made and written.
EXIT_WORK_MS = 60.0
# Part of EXIT_WORK_MS for the process to end after the last answers are written.
END_WORK_MS = 15.0
# Minimum time between the stop and the kill.
STOP_MARGIN_MS = 100.0
# Minimum part of the margin for the process to end after the last answers are written.
EXIT_RESERVE_MS = 40.0
# Connections close as soon as no request is open on them, from at least this long before the stop,
# or from this long after the end of the grace period if that is sooner. Otherwise gateways that
# continue to send would keep the process busy until the kill.
CONNECTIONS_CLOSE_MS = 250.0
# The listener closes at least this long before the connections, and longer with a small share of a
# core: gateways whose connections close meanwhile would connect again.
LISTENER_LEAD_MS = 50.0
# Interval between checks whether the next step is due.
CHECK_INTERVAL_MS = 20.0


class DrainStep(Enum):
    """A step of a drain, in this order."""

    CLOSE_LISTENER = auto()
    CLOSE_CONNECTIONS = auto()  # each as soon as no request is open on it
    STOP = auto()  # all that is open is answered, and the process ends


class DrainSchedule:
    """When the steps of one drain are due, and which of them have been taken.

    Args:
        requested_at: Time of the platform's request to shut down.
        shutdown_ms: Time from the request until the process is killed.
        grace_ms: Time from the request in which gateways may still send requests.
    """

    def __init__(self, requested_at: float, shutdown_ms: float, grace_ms: float) -> None:
        self.requested_at = requested_at
        self.kill_at = requested_at + shutdown_ms
        self.grace_ends_at = requested_at + grace_ms
        self.refuses_connections = False  # the listener's close is complete
        self._core_share = CoreShare()
        self._listener_closed_at = float("inf")
        self._taken: set[DrainStep] = set()

    def observe(self, busy: BusyTime) -> None:
        """Takes an observation of the process; the steps may be due earlier or later by it."""
        self._core_share.observe(busy)

    @property
    def core_share(self) -> float:
        """The share of a core that the process gets, at most 1."""
        return self._core_share.fraction

    @property
    def stop_at(self) -> float:
        """When the last answers are sent."""
        margin_ms = max(STOP_MARGIN_MS, EXIT_WORK_MS / self.core_share)
        return max(self.requested_at, self.kill_at - margin_ms)

    def connections_close_at(self, connection_count: int) -> float:
        """Returns when so many connections begin to close."""
        work_ms = connection_count * CONNECTION_CLOSE_WORK_MS
        close_ms = max(CONNECTIONS_CLOSE_MS, work_ms / self.core_share)
        return min(self.grace_ends_at + CONNECTIONS_CLOSE_MS, self.stop_at - close_ms)

    def listener_closes_at(self, connection_count: int) -> float:
        """Returns when the listener closes, with so many connections open."""
        latest_at = self.connections_close_at(connection_count) - self._listener_lead_ms
        return min(self.grace_ends_at, latest_at)

    def take_due_steps(self, now: float, connection_count: int) -> list[DrainStep]:
        """Returns the steps that are due with so many connections open, each once."""
        due = [step for step in DrainStep if self._is_due(step, now, connection_count)]
        if DrainStep.CLOSE_LISTENER in due:
            self._listener_closed_at = now
        self._taken.update(due)
        return due

    def next_check_at(self, now: float, connection_count: int) -> float:
        """Returns when steps may be due next."""
        checks_at = [
            self.listener_closes_at(connection_count),
            self.connections_close_at(connection_count),
            self.stop_at,
            now + CHECK_INTERVAL_MS,
        ]
        return min(at for at in checks_at if at > now)

    def _is_due(self, step: DrainStep, now: float, connection_count: int) -> bool:
        if step in self._taken:
            return False
        match step:
            case DrainStep.CLOSE_LISTENER:
                return now >= self.listener_closes_at(connection_count)
            case DrainStep.CLOSE_CONNECTIONS:
                closes_at = self.connections_close_at(connection_count)
                if not self.refuses_connections:
                    closes_at = max(closes_at, self._listener_closed_at + self._listener_lead_ms)
                return now >= min(closes_at, self.stop_at)
            case DrainStep.STOP:
                return now >= self.stop_at

    @property
    def _listener_lead_ms(self) -> float:
        return LISTENER_LEAD_MS / self.core_share

    def exit_timeout_ms(self, now: float) -> float:
        """Returns the time in which the last answers are written, after the stop."""
        reserve_ms = max(EXIT_RESERVE_MS, END_WORK_MS / self.core_share)
        return max(EXIT_RESERVE_MS, self.kill_at - reserve_ms - now)
