"""What the roles share that drive a reducer with callers in simulated time."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from itertools import count
from typing import Any, Protocol

from benchmarks.capacity.meter import StepMeter
from benchmarks.capacity.slope import Reading, readings
from pumicenotch.server.events import ConnectionOpened, HealthCheckReceived


class Core(Protocol):
    """A reducer: inputs with the time go in, effects come out."""

    def step(self, now: float, event: Any) -> list[Any]: ...


class CoreDriver(ABC):
    """Callers are numbered from 1 and keep one connection each. Answers to effects wait until the step that
    had them has ended.
    """

    def __init__(self, core: Core, callers: int) -> None:
        self.core, self.callers = core, callers
        self.meter, self.now = StepMeter(), 0.0
        self.messages = count(1)
        self.waiting: list[object] = []

    @abstractmethod
    def react(self, effect: Any) -> None:
        """Appends to `waiting` what the effect brings about."""

    def put(self, event: object) -> None:
        self.waiting.append(event)
        while self.waiting:
            event = self.waiting.pop(0)
            kind = type(event).__name__
            for effect in self.meter.run(kind, self.core.step, self.now, event):
                self.react(effect)

    def connect_callers(self) -> None:
        """Each asks once whether the server is alive; the meter begins anew after that."""
        for conn in range(1, self.callers + 1):
            self.put(ConnectionOpened(conn))
            self.put(HealthCheckReceived(conn, next(self.messages)))
        self.meter = StepMeter()


def step_readings(role: str, meters: Sequence[StepMeter], span_ms: float) -> list[Reading]:
    """Of several runs that are alike, the least: whatever else runs on the machine only adds."""
    return readings(
        role,
        processor=min(meter.share(span_ms) for meter in meters),
        longest_step=min(meter.longest_ms for meter in meters),
    )
