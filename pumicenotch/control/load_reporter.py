"""What callers are told of this server's load: health, free capacity, and their idle timeout."""

from pumicenotch.control.priority_shedder import PriorityShedder
from pumicenotch.control.settings import ControllerSettings
from pumicenotch.interface import Actions, LoadFeedback


class LoadReporter:
    """Reports load once a sample, and health when it changes.

    Attributes:
        received: the requests read in this sample.
        shed: those of them that were rejected for want of capacity.
        backoff: the fraction of its capacity that the server does not offer.
        is_draining: whether the process is about to stop.
    """

    BACKOFF_GAIN = 0.5  # of the fraction that was shed: a few samples, with little overshoot
    BACKOFF_DECAY = 0.8  # a sample, or a few rejections would keep callers away for good
    MAX_BACKOFF = 0.95  # without requests nothing would show that there is capacity again
    INITIAL_TOKENS_PER_CORE = 2.0  # one running and one queued, until a sample is taken
    MAX_CONNECTIONS_PER_CORE = 16.0  # more than come back within seconds
    MIN_IDLE_TIMEOUT_MS = 1000.0
    IDLE_SHRINK_FACTOR = 0.5
    IDLE_GROWTH_FACTOR = 1.1
    MAX_UNREAD_TO_CLOSE = 0.05  # beyond, reading waits for connections that are made again
    MAX_UNREAD_TO_STAY_HEALTHY = 0.5
    UNHEALTHY_SAMPLES = 4  # at most in a row
    HEALTHY_SAMPLES = 5  # at least in a row

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
        self._reported = -1.0
        self.received = 0
        self.shed = 0
        self.backoff = 0.0
        self.is_draining = False
        actions.set_health(True, cached=True)  # spares the cores, and the dependency
        self._report(speed)

    def start_draining(self) -> None:
        """Send callers elsewhere."""
        self.is_draining = True
        self._actions.set_health(False, cached=True)
        self._report(0.0)

    def on_sample(
        self, speed: float, open_connections: float, capacity: float, unread_fraction: float
    ) -> None:
        """Report this sample's load.

        Args:
            speed: the fraction of its speed that the server has.
            open_connections: of callers.
            capacity: the requests that may be here, running or queued, and meet their objectives.
            unread_fraction: how much of its time to the deadline the mean request waits to be read.
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
        """Leave the list of endpoints for a few samples while reading is far behind."""
        self._samples_since_change += 1
        if not self._listed_by_health or self.is_draining:
            return
        if self._is_healthy:
            changes = (
                unread_fraction > self.MAX_UNREAD_TO_STAY_HEALTHY
                and self._samples_since_change >= self.HEALTHY_SAMPLES
            )
        else:
            changes = (
                self._samples_since_change >= self.UNHEALTHY_SAMPLES
                or unread_fraction < PriorityShedder.MAX_UNREAD_FRACTION
            )
        if changes:
            self._is_healthy = not self._is_healthy
            self._samples_since_change = 0
            self._actions.set_health(self._is_healthy, cached=True)

    def _update_idle_timeout(self, open_connections: float, unread_fraction: float) -> None:
        """Close idle connections sooner while many are open, and later again after."""
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
        """Tell callers what the server offers, if that has changed."""
        if self._feedback is LoadFeedback.NONE:
            return
        offered = 0.0 if self.is_draining else speed * (1.0 - self.backoff)
        if self._feedback is LoadFeedback.MIN_PRIORITY:
            value = 1.0 - offered
        elif self._feedback is LoadFeedback.WEIGHT:
            value = offered
        else:
            value = self._tokens * offered
        if value != self._reported:
            self._reported = value
            self._actions.report_load(value)
