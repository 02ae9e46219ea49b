"""Periodic reports to the registry that this server is ready or draining."""

from collections.abc import Callable

from pumicenotch.server.backoff import Backoff
from pumicenotch.server.effects import Effect, Write
from pumicenotch.server.events import ConnectionFailure
from pumicenotch.server.messages import ReadinessReport

CONNECTION = "registry"
# A third of the time after which the registry removes a server that sends no reports.
REPORT_INTERVAL_MS = 1000.0


class RegistryReporter:
    """Sends a report every REPORT_INTERVAL_MS, and sooner, with backoff, after a failure.

    Args:
        effects: Receives the reports.
        random_uniform: Draws a number between its two arguments, for the jitter of the backoff.
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
        """Sends a report if the next one is due; called at each sweep."""
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
        """Sends a report to the new address at once."""
        self.backoff.reset()
        self.report(now, draining)
