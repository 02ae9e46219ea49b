"""What the hollow instances of one process do and think, counted between reports."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from pumicenotch.lab.hollow_messages import STEP_BUCKET_MS, Report

SAMPLED = 16  # one step in so many has its processor time taken: to ask for it costs as much as a short step


class Meter:
    """What the instances of one process do, until it is told and begins anew."""

    def __init__(self, voters: list[str]) -> None:
        self.voters = frozenset(voters)
        self.count = 0  # of steps
        self.fresh()

    def fresh(self) -> None:
        self.sent: Counter[str] = Counter()
        self.received: Counter[str] = Counter()
        self.steps: Counter[int] = Counter()
        self.longest_cpu_ms = self.longest_wall_ms = 0.0
        self.longest_input = ""
        self.dropped = 0
        self.dead_since: Counter[tuple[str, str]] = Counter()

    def role(self, address: str) -> str:
        return "voter" if address in self.voters else "server"

    @contextmanager
    def step(self, name: str) -> Iterator[None]:
        """Measures one."""
        self.count += 1
        sampled = self.count % SAMPLED == 0
        wall, cpu = time.perf_counter(), time.thread_time() if sampled else 0.0
        yield
        if sampled:
            self.took(name, (time.thread_time() - cpu) * 1000.0)
        self.longest_wall_ms = max(self.longest_wall_ms, (time.perf_counter() - wall) * 1000.0)

    def took(self, name: str, cpu_ms: float) -> None:
        self.steps[int(cpu_ms / STEP_BUCKET_MS)] += 1
        if cpu_ms > self.longest_cpu_ms:
            self.longest_cpu_ms, self.longest_input = cpu_ms, name

    def thought_dead(self, name: str, life: str, more: int) -> None:
        self.dead_since[name, life] += more

    def fill(self, report: Report) -> None:
        """Tells all since the last time."""
        report.sent, report.received = dict(self.sent), dict(self.received)
        report.steps, report.dropped = dict(self.steps), self.dropped
        report.longest_cpu_ms = round(self.longest_cpu_ms, 3)
        report.longest_wall_ms = round(self.longest_wall_ms, 3)
        report.longest_input = self.longest_input
        report.dead = [[*key, many] for key, many in self.dead_since.items() if many]
        self.fresh()
