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
        self.due: dict[int, float] = {}  # by task
        self.calling: dict[int, float] = {}

    def of(self, held: Held) -> list[float]:
        found = self.counts.get(held.stage_name)
        if found is None:
            name = held.stage_name if len(self.counts) < MOST else REST
            found = self.counts.setdefault(name, [0.0] * 6)
        return found

    def taken(self, now: float, held: Held, waited: float) -> None:
        self.due[held.id] = now - waited + held.stage.due_ms

    def answered(self, now: float, held: Held, outcome: str) -> None:
        due = self.due.pop(held.id, None)
        if due is None or outcome == "gone":
            return
        row = self.of(held)
        row[0] += 1
        row[1] += not held.again
        row[2] += outcome in BADLY or now > due

    def called(self, now: float, held: Held) -> None:
        self.calling[held.id] = now

    def call_ended(self, now: float, held: Held, outcome: Outcome) -> None:
        began = self.calling.pop(held.id, None)
        if began is not None:
            row = self.of(held)
            row[3] += 1
            row[4] += outcome is not Outcome.OK
            row[5] += now - began

    def rows(self) -> list[tuple[str, float, float, float, float, float, float]]:
        """As `fleet/watch` reads them."""
        return [(name[:64], *row) for name, row in self.counts.items()]  # type: ignore[misc]
