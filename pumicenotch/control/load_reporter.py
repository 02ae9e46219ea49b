"""Reports this server's load to callers: health, free capacity and the idle timeout."""

from pumicenotch.control.priority_shedder import PriorityShedder
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.interface import Actions, LoadFeedback


class LoadReporter:
    """Reports load once per sample, and health and the idle timeout when they change.

    Attributes:
        received: the number of requests read in the current sample.
        shed: the number of `received` requests that were rejected for lack of capacity.
        backoff: the fraction of its capacity that the server does not offer to callers.
        is_draining: whether the process is about to stop.
    """

    # The weight of the fraction shed in one sample. The backoff settles within a few samples, with
    # little overshoot.
    BACKOFF_GAIN = 0.5
    # Factor per sample. Without decay, a few rejections would keep callers away permanently.
    BACKOFF_DECAY = 0.8
    # Below 1, because without any requests the server could not detect free capacity.
    MAX_BACKOFF = 0.95
    # One request running and one queued on each core, until the first sample.
    INITIAL_TOKENS_PER_CORE = 2.0
    # More connections than callers reopen within seconds.
    MAX_CONNECTIONS_PER_CORE = 16.0
    MIN_IDLE_TIMEOUT_MS = 1000.0
    # Factors of the idle timeout per sample.
    IDLE_SHRINK_FACTOR = 0.5
    IDLE_GROWTH_FACTOR = 1.1
    # Above this unread fraction idle connections stay open: reopening them would delay reading.
    MAX_UNREAD_TO_CLOSE = 0.05
    # Above this unread fraction the server reports itself as unhealthy.
    MAX_UNREAD_TO_STAY_HEALTHY = 0.5
    # The server is unhealthy for at most this many consecutive samples.
    UNHEALTHY_SAMPLES = 4
    # The server is healthy for at least this many consecutive samples.
    HEALTHY_SAMPLES = 5

    def __init__(self, actions: Actions, settings: ControllerSettings, speed: float) -> None:
        self._actions = actions
        self._feedback = settings.load_feedback
        self._idle_timeout_ms = settings.idle_timeout_ms
        self._max_idle_timeout_ms = settings.idle_timeout_ms
        self._callers = max(1, settings.callers)
        self._tokens = self.INITIAL_TOKENS_PER_CORE * settings.cores / self._callers
        self._max_connections = self.MAX_CONNECTIONS_PER_CORE * settings.cores
        self._listed_by_health = settings.listed_by_health
        self._is_healthy = True
        self._samples_since_change = self.HEALTHY_SAMPLES
        self._reported_value = -1.0
        self.received = 0
        self.shed = 0
        self.backoff = 0.0
        self.is_draining = False
        # Cached answers to health checks cost neither core time nor dependency calls.
        actions.set_health(True, cached=True)
        self._report(speed)

    def start_draining(self) -> None:
        """Reports the server as unhealthy and without capacity, so that callers leave it."""
        self.is_draining = True
        self._actions.set_health(False, cached=True)
        self._report(0.0)

    def on_sample(
        self, speed: float, open_connections: float, capacity: float, unread_fraction: float
    ) -> None:
        """Reports the load of the sample that ended, and starts the next sample.

        Args:
            speed: the server's current speed, as a fraction of its full speed.
            open_connections: the number of open connections from callers.
            capacity: how many requests the server can run and queue within their objectives.
            unread_fraction: the fraction of its time to the deadline that the mean request waits
                to be read.
        """
        self._tokens = capacity / self._callers
        shed_fraction = self.shed / self.received if self.received else 0.0
        self.received = 0
        self.shed = 0
        self.backoff = self.BACKOFF_DECAY * self.backoff + self.BACKOFF_GAIN * shed_fraction * (
            self.MAX_BACKOFF - self.backoff
        )
        self._report(speed)
        self._update_idle_timeout(open_connections, unread_fraction)
        self._update_health(unread_fraction)

    def _update_health(self, unread_fraction: float) -> None:
        """Sets health to unhealthy for a few samples while reading is far behind.

        An unhealthy server leaves the list of endpoints, if the deployment lists by health.
        """
        self._samples_since_change += 1
        if not self._listed_by_health or self.is_draining:
            return
        if self._is_healthy:
            is_change_due = (
                unread_fraction > self.MAX_UNREAD_TO_STAY_HEALTHY
                and self._samples_since_change >= self.HEALTHY_SAMPLES
            )
        else:
            is_change_due = (
                self._samples_since_change >= self.UNHEALTHY_SAMPLES
                or unread_fraction < PriorityShedder.MAX_UNREAD_FRACTION
            )
        if is_change_due:
            self._is_healthy = not self._is_healthy
            self._samples_since_change = 0
            self._actions.set_health(self._is_healthy, cached=True)

    def _update_idle_timeout(self, open_connections: float, unread_fraction: float) -> None:
        """Shortens the idle timeout while too many connections are open; raises it afterwards."""
        timeout_ms = self.IDLE_GROWTH_FACTOR * self._idle_timeout_ms
        if open_connections > self._max_connections and unread_fraction < self.MAX_UNREAD_TO_CLOSE:
            timeout_ms = max(
                self.MIN_IDLE_TIMEOUT_MS, self.IDLE_SHRINK_FACTOR * self._idle_timeout_ms
            )
        timeout_ms = min(self._max_idle_timeout_ms, timeout_ms)
        if timeout_ms != self._idle_timeout_ms:
            self._idle_timeout_ms = timeout_ms
            self._actions.set_idle_timeout(timeout_ms)

    def _report(self, speed: float) -> None:
        """Reports the offered capacity to callers, if it has changed."""
        if self._feedback is LoadFeedback.NONE:
            return
        offered_fraction = 0.0 if self.is_draining else speed * (1.0 - self.backoff)
        if self._feedback is LoadFeedback.MIN_PRIORITY:
            value = 1.0 - offered_fraction
        elif self._feedback is LoadFeedback.WEIGHT:
            value = offered_fraction
        else:
            value = self._tokens * offered_fraction
        if value != self._reported_value:
            self._reported_value = value
            self._actions.report_load(value)
