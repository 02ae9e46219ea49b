"""When a replica acknowledges to its sources what it has in force.

Soon after a change, not too often, and periodically as its heartbeat.
"""

from collections.abc import Sequence

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.protocol.messages import Acknowledge, Roster
from pumicenotch.distribution.protocol.reports import EMPTY, Report
from pumicenotch.distribution.replica.upstreams import Upstream
from pumicenotch.distribution.settings import NEVER


class Acknowledger:
    """Acknowledges for one replica and all that it serves."""

    def __init__(self, name: str, context: Context) -> None:
        self._name = name
        self._settings = context.settings
        self._outbox = context.outbox
        self._sent_at = -NEVER
        self._next_send_at = 0.0
        self._roster: tuple[str, ...] = ()
        self._next_roster_at = 0.0

    def changed(self, now_ms: float, serves: bool) -> None:
        """Acknowledge soon: something has changed."""
        min_interval_ms = (
            self._settings.aggregate_ms if serves else self._settings.min_acknowledge_ms
        )
        self._next_send_at = min(self._next_send_at, max(now_ms, self._sent_at + min_interval_ms))

    def acknowledge_now(self, now_ms: float) -> None:
        """Acknowledge at once: another source is the primary one now."""
        self._next_send_at = now_ms

    def next_send_at(self) -> float:
        """Return when `send` is to be called next."""
        return self._next_send_at

    def send(
        self, now_ms: float, upstreams: Sequence[Upstream], version: int, report: Report
    ) -> None:
        """Acknowledge to all sources that have accepted.

        The report goes to the primary one alone, so that each copy is counted once.
        """
        self._sent_at = now_ms
        self._next_send_at = now_ms + self._settings.acknowledge_ms
        for upstream in upstreams:
            if upstream.accepted:
                primary = upstream is upstreams[0]
                own_report = report if primary else EMPTY
                self._outbox.send(upstream.address, Acknowledge(version, primary, own_report))

    def send_roster(
        self, now_ms: float, upstreams: Sequence[Upstream], names: Sequence[str]
    ) -> None:
        """Send the names of those that it serves, on changes and periodically."""
        roster = tuple(sorted(names))
        if (
            not upstreams
            or not upstreams[0].accepted
            or (roster == self._roster and now_ms < self._next_roster_at)
        ):
            return
        if roster or self._roster:
            self._outbox.send(upstreams[0].address, Roster(self._name, roster))
        self._roster = roster
        self._next_roster_at = now_ms + self._settings.roster_ms
