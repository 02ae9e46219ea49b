"""Starts, identifies and signals the server process of an agent.

The pid and the start time identify the process across restarts of the agent, even if the pid is
reused.
"""

import contextlib
import os
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

# Fields of /proc/PID/stat, counted after the command's name.
STAT_STATE_FIELD = 0
STAT_START_TIME_FIELD = 19
ENDED_STATES = "ZX"  # Zombie and dead.


def process_start_ticks(pid: int) -> str:
    """Returns the start time of a process in clock ticks; "" if it does not exist or has ended.

    The start time distinguishes processes that used the same pid one after the other.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    return "" if fields[STAT_STATE_FIELD] in ENDED_STATES else fields[STAT_START_TIME_FIELD]


def is_running(pid: int, start_ticks: str) -> bool:
    """Returns whether the process with the pid is running and has the given start time."""
    return bool(pid) and process_start_ticks(pid) == start_ticks


def start_process(
    command: Sequence[str], environment: Mapping[str, str], log_path: Path
) -> subprocess.Popen[bytes]:
    """Starts the server in a new session, with its output appended to the log file.

    Raises:
        OSError: The command cannot be run, or the log file cannot be opened.
    """
    with log_path.open("ab") as log:
        return subprocess.Popen(
            command,
            env={**os.environ, **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
        )


def send_signal(pid: int, start_ticks: str, signal_number: int) -> None:
    """Sends a signal if the process is running and has the given start time."""
    if is_running(pid, start_ticks):
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal_number)
