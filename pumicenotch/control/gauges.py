"""The values that the worker pool reports with each tick."""

from collections.abc import Sequence
from typing import NamedTuple

CORE_UTILIZATION = "core_utilization"  # 0 to 1, over all cores
RUNNABLE = "runnable"  # runs that have a core or wait for one
OPEN_CONNECTIONS = "open_connections"  # of callers


class Gauges(NamedTuple):
    """The values that the controller reads; 0 where a deployment reports none."""

    core_utilization: float
    runnable: float
    open_connections: float


def read_gauges(names: Sequence[str], values: Sequence[float]) -> Gauges:
    """Pick the values by their names. Missing values are 0; values of other names are ignored."""
    by_name = dict(zip(names, values, strict=False))
    return Gauges(
        by_name.get(CORE_UTILIZATION, 0.0),
        by_name.get(RUNNABLE, 0.0),
        by_name.get(OPEN_CONNECTIONS, 0.0),
    )
