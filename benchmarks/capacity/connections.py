"""Role `server.connections`: the server's core with open connections of callers, in simulated time. Each
caller keeps one connection and asks now and then whether the server is alive.
"""

from itertools import count
from typing import Any

from benchmarks.capacity.assumptions import CORES, SOCKETS
from benchmarks.capacity.core_driver import CoreDriver, step_readings
from benchmarks.capacity.decisions import GAUGES, STAGES
from benchmarks.capacity.meter import least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.control import ControllerSettings
from pumicenotch.interface import Outcome, Tenant
from pumicenotch.server import events
from pumicenotch.server.core import Server
from pumicenotch.server.effects import Write
from pumicenotch.server.messages import PollPool, StartRun
from pumicenotch.server.settings import ServerSettings

ROLE = "server.connections"
STAGE, TENANT = "read", "t0"
CHECK_MS = 5000.0  # between questions of one caller
SPAN_MS, TICK_MS = 3000.0, 25.0
REPEATS = 3
CONNECTIONS_USUAL = 500
CODEC_BODY = b"x" * 200


class Driver(CoreDriver):
    """The pool answers at once."""

    def __init__(self, callers: int, seed: int) -> None:
        controller = ControllerSettings(
            request_classes=STAGES,
            tenants=[Tenant(1.0, None)],
            gauges=GAUGES,
            cores=int(CORES.value),
            run_memory_factor=2.0,
            crash_load_factor=8.0,
        )
        settings = ServerSettings(
            controller=controller,
            class_indexes={STAGE: 0},
            tenant_indexes={TENANT: 0},
            seed=seed,
            shutdown_ms=5000.0,
            has_database=False,
            memory_mb=512.0,
            max_descriptors=int(SOCKETS.value),
        )
        core = Server(settings)
        super().__init__(core, callers)
        self.serials = count(1)
        self.put(events.Started())
        self.put(events.ConnectionUp("pool"))
        self.put(events.PoolBound(False, 60_000.0))
        self.connect_callers()

    def react(self, effect: Any) -> None:
        match effect:
            case Write("pool", PollPool(cookie)):
                gauges = (0.5, 4.0, 0.3, float(self.callers))
                self.waiting.append(events.GaugesReported(cookie, gauges))
            case Write("pool", StartRun(name)):
                finished = events.RunFinished(next(self.serials), name, Outcome.OK, b"x")
                self.waiting.append(finished)

    def play(self, requests_per_s: float) -> "Driver":
        """Checks and requests spread evenly over the callers and the time."""
        steps = int(SPAN_MS / TICK_MS)
        checks, requests, asked, sent = 0.0, 0.0, count(), count()
        for _ in range(steps):
            self.now += TICK_MS
            checks += self.callers * TICK_MS / CHECK_MS
            requests += requests_per_s * TICK_MS / 1000.0
            while checks >= 1.0:
                checks -= 1.0
                self.put(
                    events.HealthCheckReceived(1 + next(asked) % self.callers, next(self.messages))
                )
            while requests >= 1.0:
                requests -= 1.0
                self.request(1 + next(sent) * 7 % self.callers)
            self.put(events.TimerFired())
        return self

    def request(self, conn: int) -> None:
        message = next(self.messages)
        fields = {
            "rid": f"{message:016x}",
            "t0": str(int(self.now)),
            "mem": "20",
            "prio": "0.5",
            "peer": str(conn),
            "acct": TENANT,
        }
        self.put(events.RequestReceived(conn, message, 0.0, STAGE, fields, CODEC_BODY))


def measured(callers: int, requests_per_s: float, seed: int) -> list[Reading]:
    played = [Driver(callers, seed).play(requests_per_s) for _ in range(REPEATS)]
    return step_readings(ROLE, [each.meter for each in played], SPAN_MS)


def by_callers(size: float, seed: int) -> list[Reading]:
    callers = int(size)
    built = readings(
        ROLE,
        state=state_bytes(lambda: Driver(callers, seed)),
        start=least_ms(lambda: Driver(callers, seed)),
    )
    return built + measured(callers, 0.0, seed)


def by_requests(size: float, seed: int) -> list[Reading]:
    return measured(CONNECTIONS_USUAL, size, seed)


SLOPES = (
    Slope((ROLE,), "callers", (62, 125, 250, 500, 1000, 2000, 16_000), by_callers),
    Slope((ROLE,), "requests_per_s", (16, 32, 64, 128, 256), by_requests),
)
