"""Reports to the registry that this server is ready or draining."""

from collections.abc import Callable

from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Effect, Write
from pumicenotch.server.events import ConnectionFailure
from pumicenotch.server.messages import ReadinessReport

CONNECTION = "registry"
# A third of the time after which the registry takes a silent server off its list.
REPORT_INTERVAL_MS = 1000.0


class RegistryReporter:
    """Sends a report at each interval, and sooner after a failure.

    Args:
        effects: Where reports go.
        random_uniform: Draws the jitter of the delay after a failure.
    """

    def __init__(
        self, effects: list[Effect], random_uniform: Callable[[float, float], float]
    ) -> None:
        self.effects = effects
        self.backoff = Backoff(random_uniform)
        self.next_report_at = 0.0

    def report(self, now: float, draining: bool) -> None:
        """Sends a report now."""
        self.next_report_at = now + REPORT_INTERVAL_MS
        self.effects.append(Write(CONNECTION, ReadinessReport(draining)))

    def report_periodically(self, now: float, draining: bool) -> None:
        """Sends a report if the interval since the last one is over."""
        if now >= self.next_report_at:
            self.report(now, draining)

    def on_finished(self, now: float, failure: ConnectionFailure | None) -> None:
        """Schedules the next report, sooner if this one failed."""
        if failure is None:
            self.backoff.reset()
        else:
            self.backoff.record_failure()
            self.next_report_at = now + self.backoff.next_delay_ms()

    def on_address_changed(self, now: float, draining: bool) -> None:
        """Reports to the new address at once."""
        self.backoff.reset()
        self.report(now, draining)
