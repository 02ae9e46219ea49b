"""Random event streams for one controller, and a digest of all actions that it takes.

The simulated carrier reacts to the actions: runs and calls end later. One changed decision thus
changes everything after it. The digests in decision_digests.json were recorded before class pools
existed; those of `ShiftingTenants` before samples were limited to active tenants.
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
from tests.control.action_words import ACTION_WORDS

REQUEST_CLASSES = [
    RequestClass(2500.0, 0.0, 6300.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.0, 0.5),
    RequestClass(3400.0, 0.3, 8400.0, Idempotency.IDEMPOTENT, 0.0, 1.0, 0.2, 0.0),
    RequestClass(5000.0, 0.0, 13000.0, Idempotency.KEYED, 9000.0, 3.0, 0.0, 0.0),
    RequestClass(1500.0, 0.0, 4000.0, Idempotency.NONE, 0.0, 2.0, 0.0, 0.0),
]
DEPLOYMENTS: list[dict[str, Any]] = [
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


# The names of actions and of their keywords in the recorded digests.
RECORDED_NAMES = {**ACTION_WORDS, "cached": "stored"}


class SimulatedCarrier:
    """Carries out the actions of a controller, with events at random times."""

    LENGTH_MS = 30_000.0
    skips_digest = False
    # Whether requests have caller ids and content digests.
    identifies_callers = False

    def __init__(
        self,
        seed: int,
        tenants: int,
        load: float,
        classes: list[RequestClass] = REQUEST_CLASSES,
        **keywords: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.events: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.sequence, self.now, self.load = count(), 0.0, load
        self.digest, self.action_count = hashlib.sha256(), 0
        self.running: set[int] = set()
        self.cores, self.tenants, self.classes = keywords["cores"], tenants, classes
        self.keyed: list[int] = []
        gauge_names = [CORE_UTILIZATION, RUNNABLE, "heap", OPEN_CONNECTIONS]
        tenant_settings = [
            Tenant(1.0 / tenants, 20.0 if index % 2 else None) for index in range(tenants)
        ]
        self.control = AdmissionController(
            self,
            0.0,
            ControllerSettings(
                request_classes=classes,
                tenants=tenant_settings,
                gauges=gauge_names,
                run_memory_factor=8.0,
                drain_grace_ms=2000.0,
                servers=4,
                callers=3,
                idle_timeout_ms=30000.0,
                **keywords,
            ),
            seed,
        )

    def schedule(self, delay_ms: float, name: str, *arguments: Any) -> None:
        heapq.heappush(self.events, (self.now + delay_ms, next(self.sequence), name, arguments))

    def __getattr__(self, name: str) -> Any:
        if name.startswith("_"):
            raise AttributeError(name)

        reaction = REACTIONS.get(name)
        recorded_name = RECORDED_NAMES.get(name, name)

        def record(*arguments: Any, **keyword_arguments: Any) -> None:
            self.action_count += 1
            if not self.skips_digest:
                recorded_keywords = sorted(
                    (RECORDED_NAMES.get(keyword, keyword), value)
                    for keyword, value in keyword_arguments.items()
                )
                self.digest.update(
                    f"{self.now!r} {recorded_name} {arguments!r} {recorded_keywords!r}\n".encode()
                )
            if reaction is not None:
                reaction(self, *arguments)

        self.__dict__[name] = record
        return record

    def run_started(self, request_id: int) -> None:
        self.running.add(request_id)
        slowdown = max(1.0, len(self.running) / self.cores)
        if self.rng.random() < 0.4:
            self.schedule(
                self.rng.expovariate(1 / 60.0) * slowdown, "on_dependency_needed", request_id
            )
        else:
            self.schedule(
                self.rng.expovariate(1 / 260.0) * slowdown,
                "on_run_finished",
                request_id,
                self.run_outcome(),
            )

    def run_outcome(self) -> Outcome:
        return Outcome.OK if self.rng.random() < 0.95 else Outcome.ERROR

    def call_sent(self, request_id: int, timeout_ms: float) -> None:
        outcome = self.rng.choice(
            [Outcome.OK] * 8 + [Outcome.REJECTED, Outcome.TIMEOUT, Outcome.RESET]
        )
        self.schedule(
            min(timeout_ms, self.rng.expovariate(1 / 90.0)),
            "on_dependency_finished",
            request_id,
            outcome,
        )

    def run_resumed(self, request_id: int) -> None:
        self.schedule(
            self.rng.expovariate(1 / 150.0), "on_run_finished", request_id, self.run_outcome()
        )

    def replay_started(self, request_id: int) -> None:
        self.schedule(self.rng.uniform(0.0, 300.0), "on_run_finished", request_id, Outcome.OK)

    def tick_scheduled(self, delay_ms: float) -> None:
        self.schedule(delay_ms, "on_tick")

    def tenant(self) -> int:
        """Returns the tenant of the next request."""
        return self.rng.randrange(self.tenants)

    def gauges(self) -> tuple[float, ...]:
        utilization = min(1.0, len(self.running) / self.cores)
        return utilization, float(len(self.running)), 0.3, self.rng.uniform(0.0, 200.0)

    def play(self) -> str:
        """Plays all events in order; returns the number of actions and their digest."""
        ids, rng, next_arrival_at = count(1), self.rng, 0.0
        mean_interval_ms = 300.0 / (self.cores * self.load)
        self.schedule(self.LENGTH_MS - 4000.0, "start_draining", self.LENGTH_MS)
        while self.now < self.LENGTH_MS:
            if not self.events or next_arrival_at <= self.events[0][0]:
                self.now, new_id = next_arrival_at, next(ids)
                burst_factor = 0.25 if int(self.now) % 9000 > 6000 else 1.0
                next_arrival_at += rng.expovariate(1 / (mean_interval_ms * burst_factor))
                class_index = rng.choices(range(4), (5, 3, 2, 1))[0]
                class_index += (
                    4 * rng.randrange(len(self.classes) // 4) if len(self.classes) > 4 else 0
                )
                is_retry = bool(self.keyed) and class_index == 2 and rng.random() < 0.3
                original_id = rng.choice(self.keyed) if is_retry else None
                if class_index == 2 and original_id is None:
                    self.keyed = [*self.keyed[-20:], new_id]
                estimated_work = rng.lognormvariate(5.5, 0.6) if rng.random() < 0.8 else None
                tenant, waited_ms = self.tenant(), rng.expovariate(1 / 4.0)
                expires_at = 5000.0 + self.now if rng.random() < 0.3 else None
                memory_kb = rng.uniform(20.0, 60.0)
                caller_fields = (
                    (new_id % 7, False, new_id) if self.identifies_callers else (0, False, 0)
                )
                incoming = IncomingRequest(
                    new_id,
                    class_index,
                    tenant,
                    waited_ms,
                    expires_at,
                    estimated_work,
                    memory_kb,
                    original_id,
                    *caller_fields,
                )
                self.control.on_request(self.now, incoming)
                if rng.random() < 0.03:
                    self.schedule(rng.uniform(10.0, 3000.0), "on_cancel", new_id)
                continue
            self.now, _, name, arguments = heapq.heappop(self.events)
            if name == "on_tick":
                arguments = (self.gauges(),)
            elif name == "on_run_finished":
                self.running.discard(arguments[0])
            elif name == "on_dependency_finished" and arguments[1] is Outcome.OK:
                self.run_resumed(arguments[0])
            elif name == "on_dependency_finished":
                self.schedule(4000.0, "on_run_finished", arguments[0], Outcome.CANCELLED)
            getattr(self.control, name)(self.now, *arguments)
        return f"{self.action_count} {self.digest.hexdigest()[:24]}"


class ShiftingTenants(SimulatedCarrier):
    """A stream in which few of many tenants send at a time.

    The senders are mostly consecutive tenants: a new group every few seconds, or an earlier group
    that returns after it was idle. Class pools are added and removed during the stream.
    """

    LENGTH_MS = 60_000.0
    # A tenant is demoted after four samples and promoted after four.
    GROUP_MS = 6_000.0
    # The first tenant of each group, as a fraction of all tenants.
    GROUP_STARTS = (
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
    )

    def __init__(self, seed: int, tenants: int, load: float, active: int, **keywords: Any) -> None:
        super().__init__(seed, tenants, load, **keywords)
        self.active = active
        class_indices = {str(index): index for index in range(len(self.classes))}
        self.schedule(20_000.0, "use_pools", ClassPools(0.0, PLAN, self.classes, class_indices))
        self.schedule(40_000.0, "use_pools", None)

    def tenant(self) -> int:
        group = int(self.now / self.GROUP_MS) % len(self.GROUP_STARTS)
        if self.rng.random() < 0.05:
            return super().tenant()
        # The first tenant of the group sends half of the requests. Its queue grows long, and it is
        # demoted.
        offset = self.rng.randrange(self.active) if self.rng.random() < 0.5 else 0
        return (int(self.GROUP_STARTS[group] * self.tenants) + offset) % self.tenants


class WaitingRuns(ShiftingTenants):
    """A stream like `ShiftingTenants` in which most runs wait for a disk at times.

    Cores are then idle, so the concurrency limit grows, and it shrinks afterwards.
    """

    GROUP_MS = 4_500.0
    WAIT_PERIOD_MS, WAIT_MS = 7_000.0, 2_500.0

    def gauges(self) -> tuple[float, ...]:
        utilization, running, heap, connections = super().gauges()
        active_fraction = 0.4 if self.now % self.WAIT_PERIOD_MS < self.WAIT_MS else 1.0
        return active_fraction * utilization, active_fraction * running, heap, connections


REACTIONS: dict[str, Any] = {
    "start": SimulatedCarrier.run_started,
    "call_dependency": SimulatedCarrier.call_sent,
    "skip_dependency": SimulatedCarrier.run_resumed,
    "replay_result": SimulatedCarrier.replay_started,
    "schedule_tick": SimulatedCarrier.tick_scheduled,
}


def streams() -> dict[str, Callable[[], SimulatedCarrier]]:
    """Returns the streams by name: deployment, tenants, load and seed."""
    steady = ((1, 0.7, 1), (3, 1.2, 2), (6, 1.6, 3), (40, 1.1, 4))
    shifting = (
        (12, 4, 1.5, 5),
        (50, 5, 1.3, 6),
        (300, 20, 1.2, 7),
        (300, 3, 2.0, 8),
        (3000, 12, 1.6, 9),
        (15000, 40, 1.4, 10),
    )
    waiting = ((2, 2, 1.3, 11), (12, 4, 1.5, 12), (300, 20, 1.2, 13), (3000, 12, 2.0, 14))
    streams_by_name: dict[str, Callable[[], SimulatedCarrier]] = {}
    for index, deployment in enumerate(DEPLOYMENTS):
        for tenants, load, seed in steady:
            name = f"kind {index} tenants {tenants} load {load} seed {seed}"
            streams_by_name[name] = partial(SimulatedCarrier, seed, tenants, load, **deployment)
        for tenants, active, load, seed in waiting:
            name = f"kind {index} {active} of {tenants} tenants load {load} disk seed {seed}"
            streams_by_name[name] = partial(WaitingRuns, seed, tenants, load, active, **deployment)
        for tenants, active, load, seed in shifting:
            name = f"kind {index} {active} of {tenants} tenants load {load} seed {seed}"
            streams_by_name[name] = partial(
                ShiftingTenants, seed, tenants, load, active, **deployment
            )
    return streams_by_name


def digests() -> dict[str, str]:
    return {name: stream().play() for name, stream in streams().items()}


if __name__ == "__main__":
    print(json.dumps(digests(), indent=1))
