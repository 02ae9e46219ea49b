"""Cost of the routing decisions of cells, by tenants and nodes: where a fingerprint belongs, and a walk to
its end.

Ratios to the smallest in one run: flat or logarithmic is what is wanted.

    python -m benchmarks.cells
"""

import time
from collections.abc import Callable
from statistics import median

from pumicenotch.cells import moves
from pumicenotch.cells.fence import Fence, Role
from pumicenotch.cells.map import Cell, CellMap, Tenant
from pumicenotch.cells.place import Node
from pumicenotch.cells.walk import Route, SendResult, plan_route
from pumicenotch.interface import Idempotency

CELL = 8  # nodes of a cell


def fleet(tenants: int, nodes: int) -> CellMap:
    cells = {}
    for at in range(max(1, nodes // CELL)):
        name = f"c{at}"
        cells[name] = Cell(name, tuple(Node(f"{name}-{one}") for one in range(min(CELL, nodes))))
    names = list(cells)
    return CellMap(
        1,
        cells,
        {f"t{at}": Tenant(names[at % len(names)], 4) for at in range(tenants)},
        37794.0,
        0.0,
    )


def cost(made: CellMap, do: Callable[[CellMap, int], None]) -> float:
    """Microseconds, the median of rounds."""
    found = []
    for part in range(7):
        began = time.perf_counter_ns()
        for at in range(part * 500, part * 500 + 500):
            do(made, at)
        found.append((time.perf_counter_ns() - began) / 500_000.0)
    return median(found)


def route(made: CellMap, at: int) -> None:
    tenant = f"t{at % len(made.tenants)}"
    begun = plan_route(made, 0.0, 1.0, 1.0, tenant, Idempotency.KEYED, f"{at:032x}", [])
    assert isinstance(begun, Route)
    begun.start()
    while not begun.is_finished:
        begun.on_result(SendResult.CLEAR if begun.asked_home else SendResult.SERVED)


def main() -> None:
    base = 0.0
    print(
        f"{'tenants':>8} {'nodes':>6} {'walk us':>8} {'ratio':>6} {'fence us':>9} {'a move ms':>10}"
    )
    for tenants, nodes in ((10, 4), (100, 16), (1000, 100), (10_000, 1000)):
        made = fleet(tenants, nodes)
        each = cost(made, route)
        base = base or each
        fence = Fence(0.0, 37794.0, made)
        names = list(made.tenants)
        # type: ignore[misc]
        judged = cost(
            made, lambda _, at, f=fence, n=names: f.check(9e4, n[at % len(n)], 2, Role.ASK, False)
        )
        began = time.perf_counter()
        moves.move(made, ["t0"], list(made.cells)[-1], 0.0, 2)
        took = (time.perf_counter() - began) * 1000.0
        print(
            f"{tenants:>8} {nodes:>6} {each:>8.1f} {each / base:>6.2f} {judged:>9.2f} {took:>10.2f}"
        )


if __name__ == "__main__":
    main()
