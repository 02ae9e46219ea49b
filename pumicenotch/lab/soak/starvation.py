"""Limits a process to a share of a core, on any machine: it is stopped and continued in turn."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager, suppress

# Run in a process of its own, whose turns nothing else delays. Its arguments: the process id and
# the share. The process has an allowance of processor time that grows by the share of the time
# that passes, up to one burst. Where the machine gives it less than the share, it is never stopped.
LIMIT_LOOP = """\
import os, signal, sys, time
BURST_S = 0.005
LOOK_S = 0.001
process_id, share = int(sys.argv[1]), float(sys.argv[2])
def processor_time_s():
    with open(f"/proc/{process_id}/schedstat") as file:
        return int(file.read().split()[0]) / 1e9
allowance_s = 0.0
looked_at_s, used_s, is_stopped = time.monotonic(), processor_time_s(), False
try:
    while True:
        now_s, now_used_s = time.monotonic(), processor_time_s()
        allowance_s += share * (now_s - looked_at_s) - (now_used_s - used_s)
        allowance_s = min(BURST_S, allowance_s)
        looked_at_s, used_s = now_s, now_used_s
        if allowance_s <= 0.0 and not is_stopped:
            os.kill(process_id, signal.SIGSTOP)
            is_stopped = True
        elif allowance_s >= BURST_S / 2.0 and is_stopped:
            os.kill(process_id, signal.SIGCONT)
            is_stopped = False
        time.sleep(LOOK_S)
except (ProcessLookupError, FileNotFoundError):
    pass
"""


@contextmanager
def limited_to_core_share(process_id: int, share: float) -> Iterator[None]:
    """Lets a process use at most this share of a core meanwhile; it runs on afterwards."""
    command = [sys.executable, "-c", LIMIT_LOOP, str(process_id), str(share)]
    limiter = subprocess.Popen(command)
    try:
        yield
    finally:
        limiter.kill()
        limiter.wait()
        with suppress(ProcessLookupError):
            os.kill(process_id, signal.SIGCONT)
