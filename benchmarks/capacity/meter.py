"""Stopwatches that other work on the machine disturbs little: processor time of this thread."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

Made = TypeVar("Made")
NS_PER_MS = 1e6


def cpu_ns() -> int:
    return time.thread_time_ns()


class StepMeter:
    """Sums the processor time of steps and keeps the longest: of several windows that are alike the one where
    it was least, as whatever else runs on the machine only makes steps longer.
    """

    def __init__(self) -> None:
        self.total_ns = self.longest_ns = self.steps = 0
        self.longest_kind = ""
        self.windows: list[int] = []

    def end_window(self) -> None:
        self.windows.append(self.longest_ns)
        self.longest_ns, self.longest_kind = 0, ""

    def run(self, kind: str, do: Callable[..., Made], *details: Any) -> Made:
        began = cpu_ns()
        made = do(*details)
        self.add(kind, cpu_ns() - began)
        return made

    def add(self, kind: str, took_ns: int) -> None:
        self.steps += 1
        self.total_ns += took_ns
        if took_ns > self.longest_ns:
            self.longest_ns, self.longest_kind = took_ns, kind

    @property
    def longest_ms(self) -> float:
        return min(self.windows or [self.longest_ns]) / NS_PER_MS

    def share(self, span_ms: float) -> float:
        """Processor seconds a second of simulated time."""
        return self.total_ns / NS_PER_MS / span_ms


@contextmanager
def frozen_heap() -> Iterator[None]:
    """What is there already is left alone by the garbage collector: the real process would not hold it."""
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


def least_ms(do: Callable[[], Any], repeats: int = 3) -> float:
    """Processor time of the quickest of some runs."""
    found = []
    for _ in range(repeats):
        began = cpu_ns()
        do()
        found.append((cpu_ns() - began) / NS_PER_MS)
    return min(found)


def state_bytes(make: Callable[[], Any]) -> int:
    """What stays allocated of what `make` returns."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return max(0, tracemalloc.get_traced_memory()[0] - before) if made is not None else 0
    finally:
        tracemalloc.stop()
