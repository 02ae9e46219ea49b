"""Schedules and sends the acknowledgements of a replica to its sources.

An acknowledgement carries the version in force. It is sent soon after a change, at a bounded rate,
and periodically as the replica's heartbeat.
"""

from collections.abc import Sequence

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.protocol.messages import Acknowledge, Roster
from pumicenotch.distribution.protocol.reports import EMPTY, Report
from pumicenotch.distribution.replica.upstreams import Upstream
from pumicenotch.distribution.settings import NEVER


class Acknowledger:
    """Sends the acknowledgements and rosters of one replica and the replicas that it serves."""

    def __init__(self, name: str, context: Context) -> None:
        self._name = name
        self._settings = context.settings
        self._outbox = context.outbox
        self._sent_at = -NEVER
        self._next_send_at = 0.0
        self._roster: tuple[str, ...] = ()
        self._next_roster_at = 0.0

    def schedule(self, now_ms: float, serves: bool) -> None:
        """Schedules an acknowledgement after a change, within the shortest interval allowed."""
        min_interval_ms = (
            self._settings.aggregate_ms if serves else self._settings.min_acknowledge_ms
        )
        self._next_send_at = min(self._next_send_at, max(now_ms, self._sent_at + min_interval_ms))

    def acknowledge_now(self, now_ms: float) -> None:
        """Schedules an acknowledgement at once, after a change of the primary source."""
        self._next_send_at = now_ms

    def next_send_at(self) -> float:
        """Returns the time at which `send` is to be called next."""
        return self._next_send_at

    def send(
        self, now_ms: float, upstreams: Sequence[Upstream], version: int, report: Report
    ) -> None:
        """Acknowledges the version in force to all sources that have accepted this replica.

        The report goes to the primary source alone, so that each copy is counted once.
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
        """Sends the names of the replicas served here, after changes and periodically."""
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
