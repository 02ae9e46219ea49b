"""A series of runs by seeds that follow each other, beside busy processes if asked for."""

import shutil
import subprocess
import sys
import tempfile
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
    """Yields the result of each seed.

    All logs stay in the folder, if one is named, else those of broken seeds in one for temporary
    files.

    Raises:
        SoakStartError: A server did not come into service.
    """
    with busy_processes(busy):
        for seed in range(first_seed, first_seed + seeds):
            logs = _log_folder(seed, folder)
            result = run_schedule(draw_schedule(seed), logs)
            if folder is None and not result.violations:
                shutil.rmtree(logs)
            yield result


def _log_folder(seed: int, folder: Path | None) -> Path:
    if folder is not None:
        return folder / f"seed-{seed}"
    return Path(tempfile.mkdtemp(prefix=f"pumicenotch-soak-seed-{seed}-"))
