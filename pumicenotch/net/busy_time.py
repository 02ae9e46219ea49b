"""Measures how much of its core the process gets while it has work."""

import time
from collections.abc import Callable

import anyio
import anyio.lowlevel

from pumicenotch.server.core_share import BusyTime
from pumicenotch.server.events import BusyTimeMeasured

MEASURE_INTERVAL_S = 0.005
# A process that waits longer in one turn is measured again at once.
MAX_WAIT_MS = 1.0
MS_PER_S = 1000.0


async def measure_turn() -> BusyTime:
    """Measures one turn of the event loop, in which the loop does not wait for events."""
    started_at_s = time.monotonic()
    processor_started_at_s = time.thread_time()
    await anyio.lowlevel.checkpoint()
    elapsed_s = time.monotonic() - started_at_s
    processor_s = time.thread_time() - processor_started_at_s
    return BusyTime(elapsed_s * MS_PER_S, processor_s * MS_PER_S)


async def report_busy_time(deliver: Callable[[object], None]) -> None:
    """Measures at intervals and delivers each result as an event, until cancelled."""
    while True:
        busy = await measure_turn()
        deliver(BusyTimeMeasured(busy))
        if busy.waited_ms < MAX_WAIT_MS:
            await anyio.sleep(MEASURE_INTERVAL_S)
