"""A drawn stream of events for one control, and the digest of every action it asked for on the way.

The world reacts to the actions (runs end, calls come back), so one decision that differs changes all that
follows. `digests` in decision_digests.json were made by the module as it was before pools, those of `Shifting` by
the module as it was before its samples followed the active tenants.
"""

import hashlib
import heapq
import json
import random
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Any

from pumicenotch.control import AdmissionController, ControllerSettings
from pumicenotch.control.gauges import CORE_UTILIZATION, OPEN_CONNECTIONS, RUNNABLE
from pumicenotch.interface import (
    CancelMode,
    DependencyKind,
    Idempotency,
    IncomingRequest,
    LoadFeedback,
    Outcome,
    RequestClass,
    Tenant,
)
from pumicenotch.pools import ClassPools, PoolPlan, PoolsPlan

STAGES = [
    RequestClass(2500.0, 0.0, 6300.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.5),
    RequestClass(3400.0, 0.3, 8400.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.2, 0.0),
    RequestClass(5000.0, 0.0, 13000.0, Idempotency.KEYED, 9000.0, 3.0, 0.0, 0.0),
    RequestClass(1500.0, 0.0, 4000.0, Idempotency.NONE, 0.0, 2.0, 0.0, 0.0),
]
KINDS: list[dict[str, Any]] = [
    {
        "cores": 6,
        "crash_load_factor": 8.0,
        "load_feedback": LoadFeedback.WEIGHT,
        "dependency_kind": DependencyKind.NEXT_TIER,
        "cancel_mode": CancelMode.SUSPEND,
    },
    {
        "cores": 2,
        "crash_load_factor": 5.0,
        "load_feedback": LoadFeedback.MIN_PRIORITY,
        "dependency_kind": DependencyKind.SHARED,
        "dependency_quota": 0.6,
        "dependency_window_ms": 5000.0,
        "dependency_linger_ms": 200.0,
        "starts_cold": True,
        "initial_speed": 0.2,
        "warm_up_ms": 8000.0,
    },
    {
        "cores": 6,
        "crash_load_factor": 6.0,
        "load_feedback": LoadFeedback.TOKENS,
        "dependency_kind": DependencyKind.SHARED,
        "dependency_quota": 9.0,
        "retry_after_supported": True,
        "max_retry_after_ms": 1000.0,
        "memory_kb": 9000.0,
        "key_memory_kb": 20.0,
    },
]
PLAN = PoolsPlan(
    (PoolPlan("cheap", ("0",), reserve=0.4), PoolPlan("heavy", ("1",)), PoolPlan("rest", ("*",)))
)


# The names of actions, and of their keywords, that the kept digests were made with.
KEPT_NAMES = {
    "start": "run",
    "fail": "abandon",
    "cancel_run": "halt",
    "call_dependency": "call",
    "skip_dependency": "skip_call",
    "retain_key": "keep",
    "drop_key": "forget",
    "replay_result": "reuse",
    "set_health": "health",
    "report_load": "say",
    "set_idle_timeout": "close_idle",
    "schedule_tick": "wake",
    "cached": "stored",
}


class World:
    """Takes the actions, and answers each with an event at a drawn time."""

    LENGTH_MS = 30_000.0
    quiet = False  # no digest is wanted
    marks = False  # tasks tell who sends them and what they hold

    def __init__(
        self,
        seed: int,
        tenants: int,
        load: float,
        stages: list[RequestClass] = STAGES,
        **keywords: Any,
    ) -> None:
        self.chance = random.Random(seed)
        self.events: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.order, self.now, self.load = count(), 0.0, load
        self.digest, self.asked = hashlib.sha256(), 0
        self.running: set[int] = set()
        self.cores, self.tenants, self.stages = keywords["cores"], tenants, stages
        self.keyed: list[int] = []
        names = [CORE_UTILIZATION, RUNNABLE, "heap", OPEN_CONNECTIONS]
        people = [Tenant(1.0 / tenants, 20.0 if at % 2 else None) for at in range(tenants)]
        self.control = AdmissionController(
            self,
            0.0,
            ControllerSettings(
                request_classes=stages,
                tenants=people,
                gauges=names,
                run_memory_factor=8.0,
                drain_grace_ms=2000.0,
                servers=4,
                callers=3,
                idle_timeout_ms=30000.0,
                **keywords,
            ),
            seed,
        )

    def at(self, after: float, name: str, *details: Any) -> None:
        heapq.heappush(self.events, (self.now + after, next(self.order), name, details))

    def __getattr__(self, name: str) -> Any:
        if name.startswith("_"):
            raise AttributeError(name)

        react = REACTIONS.get(name)
        kept_name = KEPT_NAMES.get(name, name)

        def note(*details: Any, **named: Any) -> None:
            self.asked += 1
            if not self.quiet:
                kept = sorted((KEPT_NAMES.get(word, word), value) for word, value in named.items())
                self.digest.update(f"{self.now!r} {kept_name} {details!r} {kept!r}\n".encode())
            if react is not None:
                react(self, *details)

        self.__dict__[name] = note
        return note

    def ran(self, task: int) -> None:
        self.running.add(task)
        stretch = max(1.0, len(self.running) / self.cores)
        if self.chance.random() < 0.4:
            self.at(self.chance.expovariate(1 / 60.0) * stretch, "on_dependency_needed", task)
        else:
            self.at(
                self.chance.expovariate(1 / 260.0) * stretch, "on_run_finished", task, self.end()
            )

    def end(self) -> Outcome:
        return Outcome.OK if self.chance.random() < 0.95 else Outcome.ERROR

    def called(self, task: int, give_up_ms: float) -> None:
        outcome = self.chance.choice(
            [Outcome.OK] * 8 + [Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET]
        )
        self.at(
            min(give_up_ms, self.chance.expovariate(1 / 90.0)),
            "on_dependency_finished",
            task,
            outcome,
        )

    def back(self, task: int) -> None:
        self.at(self.chance.expovariate(1 / 150.0), "on_run_finished", task, self.end())

    def reused(self, task: int) -> None:
        self.at(self.chance.uniform(0.0, 300.0), "on_run_finished", task, Outcome.OK)

    def woken(self, after_ms: float) -> None:
        self.at(after_ms, "on_tick")

    def tenant(self) -> int:
        """Whose the next task is."""
        return self.chance.randrange(self.tenants)

    def gauges(self) -> tuple[float, ...]:
        use = min(1.0, len(self.running) / self.cores)
        return use, float(len(self.running)), 0.3, self.chance.uniform(0.0, 200.0)

    def play(self) -> str:
        """Events in order until the stream is over; the digest of all that was asked for."""
        ids, chance, next_task = count(1), self.chance, 0.0
        mean = 300.0 / (self.cores * self.load)
        self.at(self.LENGTH_MS - 4000.0, "start_draining", self.LENGTH_MS)
        while self.now < self.LENGTH_MS:
            if not self.events or next_task <= self.events[0][0]:
                self.now, ident = next_task, next(ids)
                burst = 0.25 if int(self.now) % 9000 > 6000 else 1.0
                next_task += chance.expovariate(1 / (mean * burst))
                stage = chance.choices(range(4), (5, 3, 2, 1))[0]
                stage += 4 * chance.randrange(len(self.stages) // 4) if len(self.stages) > 4 else 0
                again = bool(self.keyed) and stage == 2 and chance.random() < 0.3
                same = chance.choice(self.keyed) if again else None
                if stage == 2 and same is None:
                    self.keyed = [*self.keyed[-20:], ident]
                work = chance.lognormvariate(5.5, 0.6) if chance.random() < 0.8 else None
                tenant, waited = self.tenant(), chance.expovariate(1 / 4.0)
                limit = 5000.0 + self.now if chance.random() < 0.3 else None
                kb = chance.uniform(20.0, 60.0)
                more = (ident % 7, False, ident) if self.marks else (0, False, 0)
                incoming = IncomingRequest(
                    ident, stage, tenant, waited, limit, work, kb, same, *more
                )
                self.control.on_request(self.now, incoming)
                if chance.random() < 0.03:
                    self.at(chance.uniform(10.0, 3000.0), "on_cancel", ident)
                continue
            self.now, _, name, details = heapq.heappop(self.events)
            if name == "on_tick":
                details = (self.gauges(),)
            elif name == "on_run_finished":
                self.running.discard(details[0])
            elif name == "on_dependency_finished" and details[1] is Outcome.OK:
                self.back(details[0])
            elif name == "on_dependency_finished":
                self.at(4000.0, "on_run_finished", details[0], Outcome.CANCELLED)
            getattr(self.control, name)(self.now, *details)
        return f"{self.asked} {self.digest.hexdigest()[:24]}"


class Shifting(World):
    """Few of many tenants send at a time: neighbours mostly, a new group every few seconds, or an earlier one
    that comes back after it was idle. Pools are put in, and taken out, on the way.
    """

    LENGTH_MS = 60_000.0
    GROUP_MS = 6_000.0  # a queue's mark takes four samples to set and four to clear
    PLACES = (
        0.0,
        0.37,
        0.0,
        0.999,
        0.37,
        0.371,
        0.0,
        0.7,
        0.999,
        0.1,
    )  # where each group begins, of all

    def __init__(self, seed: int, tenants: int, load: float, active: int, **keywords: Any) -> None:
        super().__init__(seed, tenants, load, **keywords)
        self.active = active
        numbers = {str(at): at for at in range(len(self.stages))}
        self.at(20_000.0, "use_pools", ClassPools(0.0, PLAN, self.stages, numbers))
        self.at(40_000.0, "use_pools", None)

    def tenant(self) -> int:
        group = int(self.now / self.GROUP_MS) % len(self.PLACES)
        if self.chance.random() < 0.05:
            return super().tenant()
        # The first of the group sends as much as all others: its queue grows long, and is marked.
        nth = self.chance.randrange(self.active) if self.chance.random() < 0.5 else 0
        return (int(self.PLACES[group] * self.tenants) + nth) % self.tenants


class Waiting(Shifting):
    """The same, where most of what runs waits for the disk now and then: cores idle, so the total grows, and
    is given back after.
    """

    GROUP_MS = 4_500.0
    EVERY_MS, WAITS_MS = 7_000.0, 2_500.0

    def gauges(self) -> tuple[float, ...]:
        use, running, heap, links = super().gauges()
        on_cores = 0.4 if self.now % self.EVERY_MS < self.WAITS_MS else 1.0
        return on_cores * use, on_cores * running, heap, links


REACTIONS: dict[str, Any] = {
    "start": World.ran,
    "call_dependency": World.called,
    "skip_dependency": World.back,
    "replay_result": World.reused,
    "schedule_tick": World.woken,
}


def streams() -> dict[str, Callable[[], World]]:
    """By kind, tenants, load and seed."""
    plain = ((1, 0.7, 1), (3, 1.2, 2), (6, 1.6, 3), (40, 1.1, 4))
    shifting = (
        (12, 4, 1.5, 5),
        (50, 5, 1.3, 6),
        (300, 20, 1.2, 7),
        (300, 3, 2.0, 8),
        (3000, 12, 1.6, 9),
        (15000, 40, 1.4, 10),
    )
    waiting = ((2, 2, 1.3, 11), (12, 4, 1.5, 12), (300, 20, 1.2, 13), (3000, 12, 2.0, 14))
    found: dict[str, Callable[[], World]] = {}
    for at, kind in enumerate(KINDS):
        for tenants, load, seed in plain:
            name = f"kind {at} tenants {tenants} load {load} seed {seed}"
            found[name] = partial(World, seed, tenants, load, **kind)
        for tenants, active, load, seed in waiting:
            name = f"kind {at} {active} of {tenants} tenants load {load} disk seed {seed}"
            found[name] = partial(Waiting, seed, tenants, load, active, **kind)
        for tenants, active, load, seed in shifting:
            name = f"kind {at} {active} of {tenants} tenants load {load} seed {seed}"
            found[name] = partial(Shifting, seed, tenants, load, active, **kind)
    return found


def digests() -> dict[str, str]:
    return {name: stream().play() for name, stream in streams().items()}


if __name__ == "__main__":
    print(json.dumps(digests(), indent=1))
