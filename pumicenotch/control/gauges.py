"""The gauges that the worker pool reports with each tick."""

import sys
from collections.abc import Sequence

# Utilization of all cores, 0 to 1.
CORE_UTILIZATION = "core_utilization"
# Number of runs that have a core or wait for one.
RUNNABLE = "runnable"
# Number of open connections from callers.
OPEN_CONNECTIONS = "open_connections"


class Gauges:
    """Holds the latest gauge values; a gauge that the deployment does not report is 0."""

    def __init__(self, names: Sequence[str]) -> None:
        positions = {name: position for position, name in enumerate(names)}
        self._core_utilization_index = positions.get(CORE_UTILIZATION, sys.maxsize)
        self._runnable_index = positions.get(RUNNABLE, sys.maxsize)
        self._open_connections_index = positions.get(OPEN_CONNECTIONS, sys.maxsize)
        self.core_utilization = 0.0
        self.runnable = 0.0
        self.open_connections = 0.0

    def update(self, values: Sequence[float]) -> None:
        """Stores the values of a tick, which may be fewer than the configured names."""
        count = len(values)
        self.core_utilization = (
            values[self._core_utilization_index] if self._core_utilization_index < count else 0.0
        )
        self.runnable = values[self._runnable_index] if self._runnable_index < count else 0.0
        self.open_connections = (
            values[self._open_connections_index] if self._open_connections_index < count else 0.0
        )
