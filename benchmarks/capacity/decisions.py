"""Role `server.decisions`: one AdmissionController under drawn requests, in simulated time."""

import heapq
import random
from itertools import count
from typing import Any

from benchmarks.capacity.assumptions import CORES, RUN
from benchmarks.capacity.core_driver import step_readings
from benchmarks.capacity.meter import StepMeter, frozen_heap, least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.control import AdmissionController, ControllerSettings
from pumicenotch.control.gauges import CORE_UTILIZATION, OPEN_CONNECTIONS, RUNNABLE
from pumicenotch.interface import Idempotency, IncomingRequest, Outcome, RequestClass, Tenant

ROLE = "server.decisions"
STAGES = [RequestClass(1000.0, 0.0, 3000.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.0)]
GAUGES = [CORE_UTILIZATION, RUNNABLE, "heap", OPEN_CONNECTIONS]
SPAN_MS = 4000.0
REPEATS = 3
REQUESTS_MOST = 256.0  # a second, at the busiest server
KNOWN_USUAL, ACTIVE_USUAL, REQUESTS_USUAL = 1000, 100, 128


class Driver:
    """Takes what the control asks for, and ends each run after a drawn time."""

    def __init__(self, seed: int, known: int) -> None:
        self.chance = random.Random(seed)
        self.events: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.order, self.idents, self.now, self.running = count(), count(1), 0.0, 0
        self.meter = StepMeter()
        self.control = build(self, seed, known)

    def __getattr__(self, name: str) -> Any:
        if name.startswith("_"):
            raise AttributeError(name)
        return self.nothing

    def nothing(self, *_: object, **__: object) -> None: ...

    def at(self, after: float, name: str, *details: Any) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.order), name, details))

    def start(self, request_id: int) -> None:
        self.running += 1
        self.at(self.chance.expovariate(1.0 / RUN.value), "on_run_finished", request_id, Outcome.OK)

    def schedule_tick(self, after_ms: float) -> None:
        self.at(after_ms, "on_tick")

    def play(self, active: int, requests_per_s: float, span_ms: float = SPAN_MS) -> "Driver":
        """Requests of tenants 0 to `active`, each in turn, until the span is over."""
        idents, gap, due = self.idents, 1000.0 / requests_per_s, self.now
        until = self.now + span_ms
        while self.now < until:
            if not self.events or due <= self.events[0][0]:
                self.now, ident = due, next(idents)
                due += self.chance.uniform(0.5, 1.5) * gap
                self.meter.run(
                    "task",
                    self.control.on_request,
                    self.now,
                    IncomingRequest(ident, 0, ident % active, 0.5, None, None, 20.0, None),
                )
                continue
            self.now, _, name, details = heapq.heappop(self.events)
            if name == "on_tick":
                use = min(1.0, self.running / CORES.value)
                details = ((use, float(self.running), 0.3, 100.0),)
            elif name == "on_run_finished":
                self.running -= 1
            self.meter.run(name, getattr(self.control, name), self.now, *details)
        return self


def build(actions: Any, seed: int, known: int) -> AdmissionController:
    tenants = [Tenant(1.0 / known, 20.0 if at % 2 else None) for at in range(known)]
    return AdmissionController(
        actions,
        0.0,
        ControllerSettings(
            request_classes=STAGES,
            tenants=tenants,
            gauges=GAUGES,
            cores=int(CORES.value),
            run_memory_factor=2.0,
            crash_load_factor=8.0,
            servers=2500,
            callers=1000,
        ),
        seed,
    )


class Silent:
    """Actions that nobody carries out."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def measured(known: int, active: int, requests_per_s: float, seed: int) -> list[Reading]:
    played = [Driver(seed, known).play(active, requests_per_s) for _ in range(REPEATS)]
    return step_readings(ROLE, [each.meter for each in played], SPAN_MS)


def by_known(size: float, seed: int) -> list[Reading]:
    known = int(size)
    built = readings(
        ROLE,
        state=state_bytes(lambda: build(Silent(), seed, known)),
        start=least_ms(lambda: build(Silent(), seed, known)),
    )
    return built + measured(known, min(ACTIVE_USUAL, known), REQUESTS_USUAL, seed)


def by_seen(size: float, seed: int) -> list[Reading]:
    """All of so many known tenants have sent once; what the usual load costs then."""
    known = int(size)

    def seen() -> Driver:
        return Driver(seed, known).play(known, REQUESTS_MOST, 1000.0 * known / REQUESTS_MOST)

    found = readings(ROLE, state=state_bytes(seen))
    driver = seen()
    with frozen_heap():
        driver.meter = StepMeter()
        for _ in range(REPEATS):
            driver.play(ACTIVE_USUAL, REQUESTS_USUAL)
            driver.meter.end_window()
    span_ms = REPEATS * SPAN_MS
    return found + readings(
        ROLE, processor=driver.meter.share(span_ms), longest_step=driver.meter.longest_ms
    )


def by_active(size: float, seed: int) -> list[Reading]:
    return measured(KNOWN_USUAL, int(size), REQUESTS_MOST, seed)


def by_requests(size: float, seed: int) -> list[Reading]:
    return measured(KNOWN_USUAL, ACTIVE_USUAL, size, seed)


SLOPES = (
    Slope((ROLE,), "tenants_known", (300, 1000, 3000, 10_000, 30_000, 54_000), by_known),
    Slope((ROLE,), "tenants_seen", (1000, 3000, 10_000, 30_000, 54_000), by_seen, 100),
    Slope((ROLE,), "tenants_active", (8, 16, 32, 64, 128, 256), by_active),
    Slope((ROLE,), "requests_per_s", (16, 32, 64, 128, 256), by_requests),
)
