"""When a replica tells its sources what it has in force: soon after a change, not too often, and at the
latest after a while, which says that it is alive.
"""

from collections.abc import Sequence

from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol.messages import Acknowledge, Roster
from pumicenotch.distribution.protocol.reports import EMPTY, Report
from pumicenotch.distribution.replica.upstreams import Upstream
from pumicenotch.distribution.settings import NEVER, Settings


class Acknowledger:
    """For one replica with all that it serves."""

    def __init__(self, name: str, settings: Settings, outbox: Outbox) -> None:
        self._name = name
        self._settings = settings
        self._outbox = outbox
        self._sent_at = -NEVER
        self._due = 0.0
        self._roster: tuple[str, ...] = ()
        self._roster_at = 0.0

    def changed(self, now_ms: float, serves: bool) -> None:
        """There is something new to tell."""
        least = self._settings.aggregate_ms if serves else self._settings.min_acknowledge_ms
        self._due = min(self._due, max(now_ms, self._sent_at + least))

    def at_once(self, now_ms: float) -> None:
        """Another source is the primary one: both are to know."""
        self._due = now_ms

    def next_send_at(self) -> float:
        return self._due

    def send(self, now_ms: float, links: Sequence[Upstream], version: int, report: Report) -> None:
        """To all sources that have accepted; the report goes to the primary one alone, so that each copy is
        counted once.
        """
        self._sent_at = now_ms
        self._due = now_ms + self._settings.acknowledge_ms
        for link in links:
            if link.accepted:
                primary = link is links[0]
                told = report if primary else EMPTY
                self._outbox.send(link.address, Acknowledge(version, primary, told))

    def tell_roster(self, now_ms: float, links: Sequence[Upstream], names: Sequence[str]) -> None:
        """Whom this one serves, where that has changed, and now and then."""
        told = tuple(sorted(names))
        if (
            not links
            or not links[0].accepted
            or (told == self._roster and now_ms < self._roster_at)
        ):
            return
        if told or self._roster:
            self._outbox.send(links[0].address, Roster(self._name, told))
        self._roster = told
        self._roster_at = now_ms + self._settings.roster_ms
