"""Role `server.configuration`: configuration as it is today, the whole cell map from a file. No record of a
route exists yet, so that nothing is measured by routes here.
"""

from benchmarks.capacity.assumptions import SERVERS, SERVERS_A_CELL, TENANTS
from benchmarks.capacity.meter import least_ms, state_bytes
from benchmarks.capacity.slope import Reading, Slope, readings
from pumicenotch.cells.fence import Fence
from pumicenotch.cells.map import Cell, CellMap, Tenant, dump, load
from pumicenotch.cells.place import Node

ROLE = "server.configuration"
DAY_S = 86_400.0
WINDOW_MS = 60_000.0
SPAN = 4  # servers of its cell that a tenant spans


def cell_map(tenants: int, servers: int) -> CellMap:
    many = max(1, servers // int(SERVERS_A_CELL.value))
    cells = {}
    for at in range(many):
        nodes = tuple(
            Node(f"s{at}-{one}", f"10.{at // 250}.{at % 250}.{one}:7000")
            for one in range(servers // many)
        )
        cells[f"c{at}"] = Cell(f"c{at}", nodes)
    names = list(cells)
    homes = {f"tenant-{at}": Tenant(names[at % many], SPAN) for at in range(tenants)}
    return CellMap(1, cells, homes, WINDOW_MS, 0.0)


def whole(tenants: int, servers: int) -> list[Reading]:
    """`longest_step`: reading the text holds the event loop in one piece."""
    text = dump(cell_map(tenants, servers))
    return readings(
        ROLE,
        text=len(text),
        state=state_bytes(lambda: Fence(0.0, WINDOW_MS, load(text))),
        longest_step=least_ms(lambda: load(text)),
        start=least_ms(lambda: Fence(0.0, WINDOW_MS, load(text))),
    )


def by_tenants(size: float, _: int) -> list[Reading]:
    return whole(int(size), int(SERVERS.value))


def by_servers(size: float, _: int) -> list[Reading]:
    return whole(3000, int(size))


def by_changes(size: float, _: int) -> list[Reading]:
    """A whole map for each change; one is read and the rest counted, as all are alike."""
    text = dump(cell_map(int(TENANTS.value), int(SERVERS.value)))
    each_ms = least_ms(lambda: load(text))
    return readings(
        ROLE,
        received=size * len(text) / DAY_S,
        processor=size * each_ms / 1000.0 / DAY_S,
        received_messages=size / DAY_S,
    )


SLOPES = (
    Slope((ROLE,), "tenants_known", (300, 1000, 3000, 10_000, 30_000, 54_000), by_tenants),
    Slope((ROLE,), "servers", (80, 160, 320, 640, 1280, 2500), by_servers, 8),
    Slope((ROLE,), "changes_per_day", (100, 200, 400, 800, 1600), by_changes),
)
