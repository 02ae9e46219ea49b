"""Measures how long single steps block the event loop."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any


class StepTimes:
    """Statistics of the processor time of steps, which excludes other work of the machine."""

    BOUND_MS = 1.0

    def __init__(self) -> None:
        self.count = 0
        self.count_over_bound = 0
        self.over_bound_by_kind: Counter[str] = Counter()
        self.longest_ms = 0.0

    @contextmanager
    def measured(self, kind: str) -> Iterator[None]:
        """Measures the block as one step; steps over `BOUND_MS` are counted by kind."""
        started_at_s = time.thread_time()
        try:
            yield
        finally:
            elapsed_ms = (time.thread_time() - started_at_s) * 1000.0
            self.count += 1
            if elapsed_ms > self.BOUND_MS:
                self.count_over_bound += 1
                self.over_bound_by_kind[kind] += 1
            self.longest_ms = max(self.longest_ms, elapsed_ms)

    def as_json(self) -> dict[str, Any]:
        """Returns the statistics under the keys used in status answers."""
        return {
            "count": self.count,
            "over_1_ms": self.count_over_bound,
            "longest_ms": round(self.longest_ms, 2),
            "over_1_ms_by_kind": dict(self.over_bound_by_kind),
        }
