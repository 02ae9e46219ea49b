"""Keeps a run with many processes within its machine: what it needs is said before anything starts, what it
uses is watched while it runs.
"""

import os
import resource
from pathlib import Path
from typing import NamedTuple

from pumicenotch.errors import PumicenotchError

MEMORY_PART = 0.5  # of the machine's, that a run may hold
PROCESSES_MOST = 200
SEED_S = 240.0  # for all arms of a seed
PROCESS_MB = 55.0  # a hollow process without instances: interpreter and modules
INSTANCE_MB = 1.5  # an instance without others: reducers, hub, listener, a dozen links
MEMBER_KB = 0.6  # what an instance holds of each other member: 0.35 measured between 294 and 994
INSTANCES_A_PROCESS = 64
DESCRIPTORS_AN_INSTANCE = 80  # its fleet's part of a server's, its listener, and some in passing
OTHERS = 16  # processes beside hollow ones: voters, real servers, the runner and its command
OTHERS_MB = 60.0  # each


class RunFailedError(PumicenotchError):
    """A run that could not be carried out: one line."""

    status = 1  # that the command ends with


class MachineTooSmallError(RunFailedError):
    """A run needs, or has come to hold, more than it may have of this machine."""

    status = 2


class Machine(NamedTuple):
    """What there is."""

    memory_mb: float
    available_mb: float
    descriptors: int  # that one process may have

    @classmethod
    def here(cls) -> "Machine":
        told = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
        whole, free = (int(told[key].split()[0]) / 1024.0 for key in ("MemTotal", "MemAvailable"))
        return cls(whole, free, resource.getrlimit(resource.RLIMIT_NOFILE)[1])

    @property
    def allowed_mb(self) -> float:
        return self.memory_mb * MEMORY_PART


def processes_for(instances: int) -> int:
    return -(-instances // INSTANCES_A_PROCESS)


def needed_mb(instances: int) -> float:
    each = INSTANCE_MB + instances * MEMBER_KB / 1024.0
    return processes_for(instances) * PROCESS_MB + instances * each + OTHERS * OTHERS_MB


def bearable(megabytes: float) -> int:
    """How many instances fit into so much memory."""
    low, high = 0, 1_000_000
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if needed_mb(middle) <= megabytes else (low, middle - 1)
    return low


def check(instances: int, machine: Machine) -> None:
    """Raises MachineTooSmallError, naming what the machine lacks, before anything is started."""
    needs = needed_mb(instances)
    for has, what in (
        (machine.allowed_mb, "half of this machine's memory is"),
        (machine.available_mb, "free on this machine are"),
    ):
        if needs > has:
            raise MachineTooSmallError(
                f"memory: {instances} hollow instances need about {needs:.0f} MB, and {what} {has:.0f} MB:"
                f" {bearable(has)} hollow instances fit (--set servers=N)"
            )
    processes = processes_for(instances) + OTHERS
    if processes > PROCESSES_MOST:
        most = (PROCESSES_MOST - OTHERS) * INSTANCES_A_PROCESS
        raise MachineTooSmallError(
            f"processes: {instances} hollow instances need {processes}, and a run may have {PROCESSES_MOST}:"
            f" {most} hollow instances fit (--set servers=N)"
        )
    descriptors = min(instances, INSTANCES_A_PROCESS) * DESCRIPTORS_AN_INSTANCE
    if descriptors > machine.descriptors:
        raise MachineTooSmallError(
            f"descriptors: a process of {min(instances, INSTANCES_A_PROCESS)} hollow instances needs"
            f" {descriptors}, and may have {machine.descriptors}: raise the hard limit (ulimit -Hn)"
        )


def raise_descriptors() -> None:
    """The soft limit to the hard one, for this process and those that it starts."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def held_mb(pids: list[int]) -> float:
    """By those processes together, what they share counted once."""
    page, held, shared = resource.getpagesize() / 1048576.0, 0.0, 0.0
    for pid in pids:
        try:
            fields = Path(f"/proc/{pid}/statm").read_text().split()
        except OSError:
            continue  # it has ended
        held += (int(fields[1]) - int(fields[2])) * page
        shared = max(shared, int(fields[2]) * page)
    return held + shared


class Watch:
    """Of one run, from now on: raises MachineTooSmallError once it holds more than it may, or lasts too long."""

    def __init__(self, machine: Machine, seconds: float) -> None:
        self.allowed_mb, self.seconds = machine.allowed_mb, seconds
        self.most_mb, self.most_processes = 0.0, 0

    def look(self, pids: list[int], lasted_s: float) -> None:
        held = held_mb([os.getpid(), *pids])
        self.most_mb = max(self.most_mb, held)
        self.most_processes = max(self.most_processes, len(pids) + 1)
        if held > self.allowed_mb:
            raise MachineTooSmallError(
                f"memory: the run holds {held:.0f} MB, and may hold {self.allowed_mb:.0f} MB (half of this"
                f" machine's): ended; fewer servers fit (--set servers=N)"
            )
        if len(pids) + 1 > PROCESSES_MOST:
            raise MachineTooSmallError(
                f"processes: the run has {len(pids) + 1}, and may have {PROCESSES_MOST}: ended"
            )
        if lasted_s > self.seconds:
            raise MachineTooSmallError(
                f"time: the run has lasted {lasted_s:.0f} s, and may last {self.seconds:.0f} s so that a seed"
                f" ends in {SEED_S:.0f} s: ended; the machine is too slow for so many servers just now"
            )
