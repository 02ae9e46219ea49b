"""A series of runs by seeds that follow each other, beside busy processes if asked for."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from pumicenotch.lab.soak.run import SoakResult, run_schedule
from pumicenotch.lab.soak.schedule import draw_schedule

MAX_BUSY = 64
BUSY_LOOP = "while True: pass"


@contextmanager
def busy_processes(count: int) -> Iterator[None]:
    """Keeps so many processes busy meanwhile."""
    command = [sys.executable, "-c", BUSY_LOOP]
    processes: list[subprocess.Popen[bytes]] = []
    try:
        processes += [subprocess.Popen(command) for _ in range(count)]
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


def soak(first_seed: int, seeds: int, busy: int, folder: Path | None) -> Iterator[SoakResult]:
    """Yields the result of each seed; logs stay in the folder, if one is named.

    Raises:
        SoakStartError: A server did not come into service.
    """
    with busy_processes(busy):
        for seed in range(first_seed, first_seed + seeds):
            logs = folder / f"seed-{seed}" if folder is not None else None
            yield run_schedule(draw_schedule(seed), logs)
