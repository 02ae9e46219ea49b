"""Role `router`: the routing reducer with its cell map, callers and connections to nodes, in simulated time.
Nodes answer at once.
"""

from itertools import count
from typing import Any

from benchmarks.capacity.assumptions import SOCKETS
from benchmarks.capacity.configuration import cell_map
from benchmarks.capacity.core_driver import CoreDriver, step_readings
from benchmarks.capacity.decisions import STAGES
from benchmarks.capacity.meter import least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.cells.map import CellMap, dump, load
from pumicenotch.route.decide import ForwardedRequest, NodeAnswered, Router
from pumicenotch.server.effects import Dial, Write
from pumicenotch.server.events import ConnectionUp, RequestReceived, Started, TimerFired

ROLE = "router"
MAP = (
    "router.configuration"  # the whole cell map, read again in the event loop when its file changes
)
DIALS = "router.dials"  # the address of a node, looked up for each dial
STAGE = "read"
SPAN_MS, TICK_MS = 2000.0, 25.0
REPEATS = 3
TENANTS_USUAL, SERVERS_USUAL, CALLERS_USUAL, REQUESTS_USUAL = 3000, 320, 100, 640
UNIX_MS = 1.79e12
BODY = b"x" * 200


class Driver(CoreDriver):
    """Requests go round tenants and callers."""

    core: Router

    def __init__(self, cells: CellMap, callers: int, seed: int) -> None:
        core = Router(
            cells=cells,
            confirmed_at=UNIX_MS,
            request_classes=STAGES,
            class_indexes={STAGE: 0},
            seed=seed,
            shutdown_ms=5000.0,
            max_sockets=int(SOCKETS.value),
        )
        super().__init__(core, callers)
        self.tenants = list(cells.tenants)
        self.asked = count()
        self.put(Started())
        self.connect_callers()

    def react(self, effect: Any) -> None:
        match effect:
            case Dial(link, _):
                self.waiting.append(ConnectionUp(link))
            case Write(str(link), ForwardedRequest(message)):
                answer = NodeAnswered(link, message, "served", b"x", {"hint": "0.5"})
                self.waiting.append(answer)

    def play(self, requests_per_s: float) -> "Driver":
        owed = 0.0
        for _ in range(int(SPAN_MS / TICK_MS)):
            self.now += TICK_MS
            owed += requests_per_s * TICK_MS / 1000.0
            while owed >= 1.0:
                owed -= 1.0
                self.request(next(self.asked))
            self.put(TimerFired())
        return self

    def request(self, at: int) -> None:
        message = next(self.messages)
        fields = {
            "rid": f"{message:016x}",
            "t0": str(int(UNIX_MS + self.now)),
            "mem": "20",
            "prio": "0.5",
            "peer": "1",
            "acct": self.tenants[at * 31 % len(self.tenants)],
        }
        conn = 1 + at % self.callers
        self.put(RequestReceived(conn, message, UNIX_MS, STAGE, fields, BODY))


def measured(cells: CellMap, callers: int, requests_per_s: float, seed: int) -> list[Reading]:
    played = [Driver(cells, callers, seed).play(requests_per_s) for _ in range(REPEATS)]
    assert played[0].core.counters.counts["answered_served"] > 0, played[0].core.counters.text()
    return step_readings(ROLE, [each.meter for each in played], SPAN_MS)


def with_map(tenants: int, servers: int, seed: int) -> list[Reading]:
    text = dump(cell_map(tenants, servers))
    cells = load(text)
    built = readings(
        ROLE,
        state=state_bytes(lambda: Driver(load(text), CALLERS_USUAL, seed)),
        start=least_ms(lambda: Driver(load(text), CALLERS_USUAL, seed)),
        text=len(text),
    )
    built += readings(MAP, longest_step=least_ms(lambda: load(text)))
    built += readings(DIALS, longest_step=least_ms(cells.addresses))
    return built + measured(cells, CALLERS_USUAL, REQUESTS_USUAL, seed)


def by_tenants(size: float, seed: int) -> list[Reading]:
    return with_map(int(size), SERVERS_USUAL, seed)


def by_servers(size: float, seed: int) -> list[Reading]:
    return with_map(TENANTS_USUAL, int(size), seed)


def by_callers(size: float, seed: int) -> list[Reading]:
    cells, callers = cell_map(TENANTS_USUAL, SERVERS_USUAL), int(size)
    built = readings(ROLE, state=state_bytes(lambda: Driver(cells, callers, seed)))
    return built + measured(cells, callers, REQUESTS_USUAL, seed)


def by_requests(size: float, seed: int) -> list[Reading]:
    return measured(cell_map(TENANTS_USUAL, SERVERS_USUAL), CALLERS_USUAL, size, seed)


SLOPES = (
    Slope(
        (ROLE, MAP, DIALS), "tenants_known", (300, 1000, 3000, 10_000, 30_000, 54_000), by_tenants
    ),
    Slope((ROLE, MAP, DIALS), "servers", (80, 160, 320, 640, 1280, 2500), by_servers, 8),
    Slope((ROLE,), "callers", (20, 37, 74, 148, 296, 1000), by_callers),
    Slope((ROLE,), "requests_per_s", (160, 320, 640, 1280, 2560), by_requests),
)
