"""A worker pool's cores, without I/O or clock: runs share them evenly, and lose speed to each other in a
crowd.
"""

from hashlib import blake2b
from math import exp

from pumicenotch.lab.world import Arrival, Stage


def result(stage: str, body: bytes) -> bytes:
    """What a run makes of a body: the ledger can tell that a result belongs to its task."""
    return blake2b(stage.encode() + b" " + body, digest_size=16).digest()


class Run:
    """One run: work in as many parts as its calls leave, a wait for disk before the first."""

    def __init__(self, name: str, task: Arrival, stage: Stage, now: float) -> None:
        self.name, self.task, self.stage = name, task, stage
        self.began, self.calls_left = now, stage.calls
        self.left = task.work / (stage.calls + 1)  # of this part, ms on one core at the usual speed
        self.disk_until = now + task.disk
        self.paused = self.at_call = False

    @property
    def wants(self) -> bool:
        return not self.paused and not self.at_call


class Cores:
    FALL_MULTIPLE, FALL_MS = 8.0, 2000.0  # as the settings of a world say it

    def __init__(self, cores: int, speed: float, thrash: float, thrash_at: float) -> None:
        self.cores, self.speed, self.thrash, self.thrash_at = cores, speed, thrash, thrash_at
        self.factor = 1.0  # of the speed, by a fault; 0 hangs
        self.runs: dict[str, Run] = {}
        self.at = 0.0
        self.busy_ms = 0.0  # core time used
        self.crowd, self.fallen = (
            0.0,
            False,
        )  # mean of those wanting a core; whether it was too many for too long

    def on(self, now: float) -> list[Run]:
        return [run for run in self.runs.values() if run.wants and run.disk_until <= now]

    def rate(self, on: int) -> float:
        """The part of a usual core that each of so many runs gets."""
        if not on:
            return 0.0
        crowd = max(0.0, on / self.cores - self.thrash_at)
        return self.factor * self.speed * min(1.0, self.cores / on) / (1.0 + self.thrash * crowd)

    def advance(self, now: float) -> list[Run]:
        """Works on to this time; the runs whose part is done, in their order."""
        while self.at < now:
            on = self.on(self.at)
            rate = self.rate(len(on))
            until = min(
                [now, *(run.disk_until for run in self.runs.values() if self.at < run.disk_until)]
            )
            if rate > 0.0:
                until = min(until, self.at + min(run.left for run in on) / rate)
            until = max(until, self.at + 1e-3)
            for run in on:
                run.left -= rate * (until - self.at)
            self.busy_ms += min(len(on), self.cores) * (until - self.at)
            self.crowd += (1.0 - exp((self.at - until) / self.FALL_MS)) * (
                self.wanting() - self.crowd
            )
            self.fallen = self.fallen or self.crowd > self.FALL_MULTIPLE * self.cores
            self.at = until
            if any(run.left <= 1e-9 for run in on):
                break
        return [run for run in self.on(self.at) if run.left <= 1e-6]

    def next(self, now: float) -> float:
        """When something ends or begins by itself; infinity where nothing does."""
        on = self.on(now)
        rate = self.rate(len(on))
        times = [run.disk_until for run in self.runs.values() if run.wants and run.disk_until > now]
        if rate > 0.0:
            times.append(now + min(run.left for run in on) / rate)
        return min(times, default=float("inf"))

    def wanting(self) -> int:
        return sum(run.wants for run in self.runs.values())

    def gauges(self, links: int) -> tuple[float, float, float, float]:
        on = len(self.on(self.at))
        return min(1.0, on / self.cores), float(on), 0.3, float(links)


class Work:
    """The pool's side of the protocol: commands in, notices out, numbered and kept for a new link."""

    KEPT = 4000  # the protocol's

    def __init__(self, cores: Cores) -> None:
        self.cores = cores
        self.serial = 0
        self.notices: list[tuple[int, str, str, dict[str, object]]] = []

    def note(self, msg: str, name: str, **more: object) -> tuple[int, str, str, dict[str, object]]:
        self.serial += 1
        notice = (self.serial, msg, name, more)
        self.notices.append(notice)
        del self.notices[: -self.KEPT]
        return notice

    def spawn(self, now: float, name: str, task: Arrival, stage: Stage) -> None:
        if name not in self.cores.runs:
            self.cores.runs[name] = Run(name, task, stage, now)

    def supply(self, now: float, name: str) -> None:
        """The reply to its call, or word that it goes on without."""
        run = self.cores.runs.get(name)
        if run is not None and run.at_call:
            run.at_call, run.left = False, run.task.work / (run.stage.calls + 1)

    def pause(self, name: str, paused: bool) -> None:
        if name in self.cores.runs:
            self.cores.runs[name].paused = paused

    def advance(self, now: float) -> list[tuple[int, str, str, dict[str, object]]]:
        """All notices that come of working on to this time."""
        notices = []
        while done := self.cores.advance(now):
            for run in done:
                if run.calls_left:
                    run.calls_left -= 1
                    run.at_call = True
                    notices.append(self.note("blocked", run.name, body=run.task.body[:8]))
                else:
                    del self.cores.runs[run.name]
                    made = result(run.stage.name, run.task.body)
                    took = self.cores.at - run.began
                    notices.append(
                        self.note("finished", run.name, how="fine", duration=took, body=made)
                    )
        return notices
