"""The server's process beside an agent, which finds it again after a restart of its own."""

import contextlib
import os
import subprocess
from collections.abc import Mapping, Sequence
from pathlib import Path

STAT_STATE_FIELD = 0  # of /proc/PID/stat, counted after the command's name
STAT_START_TIME_FIELD = 19
ENDED_STATES = "ZX"  # zombie, dead


def process_start_ticks(pid: int) -> str:
    """Returns when that process began, in the system's ticks; "" if there is none or it has ended.

    Of two processes that had one pid, only one has it.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    except OSError:
        return ""
    return "" if fields[STAT_STATE_FIELD] in ENDED_STATES else fields[STAT_START_TIME_FIELD]


def is_running(pid: int, start_ticks: str) -> bool:
    """Returns whether the process of that pid is still the one that began then."""
    return bool(pid) and process_start_ticks(pid) == start_ticks


def start_process(
    command: Sequence[str], environment: Mapping[str, str], log_path: Path
) -> subprocess.Popen[bytes]:
    """Starts the server in a session of its own, with its output appended to the log.

    Raises:
        OSError: The command cannot be run, or the log not be written.
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
    """Sends the signal if the process is still the one that began then."""
    if is_running(pid, start_ticks):
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal_number)
