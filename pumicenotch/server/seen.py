"""How tasks and calls below have gone, by class, since the start: for a fleet that judges versions by it."""

from pumicenotch.interface import Outcome
from pumicenotch.server.tasks import Held

BADLY = ("failed", "rejected")
MOST = 63  # classes told by name; what is beyond goes as one
REST = "other classes"


class Seen:
    def __init__(self) -> None:
        # tasks, first tries of them, bad ones (failed, late, rejected), calls, bad calls, their ms in all
        self.counts: dict[str, list[float]] = {}

    def of(self, held: Held) -> list[float]:
        found = self.counts.get(held.stage_name)
        if found is None:
            name = held.stage_name if len(self.counts) < MOST else REST
            found = self.counts.setdefault(name, [0.0] * 6)
        return found

    def taken(self, now: float, held: Held, waited: float) -> None:
        held.due = now - waited + held.stage.latency_objective_ms

    def answered(self, now: float, held: Held, outcome: str) -> None:
        row = self.of(held)
        row[0] += 1
        row[1] += not held.again
        row[2] += outcome in BADLY or now > held.due

    def called(self, now: float, held: Held) -> None:
        held.called_at = now

    def call_ended(self, now: float, held: Held, outcome: Outcome) -> None:
        if held.called_at is not None:  # a call that goes below at all
            row = self.of(held)
            row[3] += 1
            row[4] += outcome is not Outcome.OK
            row[5] += now - held.called_at
            held.called_at = None

    def rows(self) -> list[tuple[str, float, float, float, float, float, float]]:
        """As `fleet/canary/analysis` reads them."""
        return [(name[:64], *row) for name, row in self.counts.items()]  # type: ignore[misc]
