"""What processes and the machine use, from outside: by the kernel's own counts."""

import os
import time
from pathlib import Path

TICKS_A_S = os.sysconf("SC_CLK_TCK")  # the kernel's unit of processor time


class VoterUse:
    """A voter's processor time and bytes, from outside, look by look."""

    def __init__(self) -> None:
        self.looks: list[tuple[float, int, float, int, int]] = []  # at, pid, cpu s, read, written

    def look(self, pid: int) -> None:
        try:
            fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
            io = dict(line.split(": ") for line in Path(f"/proc/{pid}/io").read_text().splitlines())
        except (OSError, ValueError):
            return
        cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_A_S
        self.looks.append((time.monotonic(), pid, cpu_s, int(io["rchar"]), int(io["wchar"])))

    def over(self, begin: float, end: float) -> tuple[float, float, float]:
        """Part of a core, bytes read and written a second, over that time, of its last process in it."""
        some = [look for look in self.looks if begin <= look[0] <= end]
        some = [look for look in some if look[1] == some[-1][1]]
        if len(some) < 2 or some[-1][0] - some[0][0] < 1.0:
            return 0.0, 0.0, 0.0
        first, last = some[0], some[-1]
        lasted = last[0] - first[0]
        cpu, read, written = ((last[at] - first[at]) / lasted for at in (2, 3, 4))
        return cpu, read, written


class MachineUse:
    """Of all cores, by whomever."""

    def __init__(self) -> None:
        self.looks: list[tuple[float, float, float]] = []  # at, used and whole processor time, s

    def look(self) -> None:
        line = Path("/proc/stat").read_text().split("\n", 1)[0]
        fields = [int(each) / TICKS_A_S for each in line.split()[1:9]]
        idle = fields[3] + fields[4]
        self.looks.append((time.monotonic(), sum(fields) - idle, sum(fields)))

    def busy(self, begin: float, end: float) -> float:
        """The used part, over that time; -1 where it was not looked at."""
        some = [look for look in self.looks if begin <= look[0] < end]
        if len(some) < 2:
            return -1.0
        return (some[-1][1] - some[0][1]) / max(1e-9, some[-1][2] - some[0][2])
