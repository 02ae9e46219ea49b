"""A fleet in simulated time whose watched processes are metered: processor time, messages, bytes."""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgpack

from benchmarks.capacity.meter import NS_PER_MS, StepMeter, cpu_ns
from benchmarks.capacity.slope import Reading, readings
from pumicenotch.fleet.drains.budgets import Budget
from pumicenotch.lab.fleets import Day, Process

VOTERS = 5
FOUNDED_MS = 300_000.0  # for all to be agreed to serve


class Packed(NamedTuple):
    size: int
    unpack_ns: int


class Meter(StepMeter):
    """What one process did, sent and received."""

    def __init__(self) -> None:
        super().__init__()
        self.codec_ns = 0
        self.sent: dict[str, int] = {}
        self.received: dict[str, int] = {}
        self.sent_messages: dict[str, int] = {}
        self.received_messages: dict[str, int] = {}

    def note(self, inward: bool, kind: str, size: int) -> None:
        sizes, counts = (
            (self.received, self.received_messages) if inward else (self.sent, self.sent_messages)
        )
        sizes[kind] = sizes.get(kind, 0) + size
        counts[kind] = counts.get(kind, 0) + 1

    def processor(self, span_ms: float) -> float:
        """Steps and codec together, as part of a core; sockets are not in it."""
        return (self.total_ns + self.codec_ns) / NS_PER_MS / span_ms


def spending(role: str, meter: Meter, span_ms: float) -> list[Reading]:
    """What one process took of its core, and its bytes a second."""
    return readings(
        role,
        processor=meter.processor(span_ms),
        longest_step=meter.longest_ms,
        sent=sum(meter.sent.values()) / span_ms * 1000.0,
        received=sum(meter.received.values()) / span_ms * 1000.0,
    )


class MeasuredDay(Day):
    """A day whose watched processes are metered."""

    def __init__(self, seed: int, **more: Any) -> None:
        super().__init__(seed, **more)
        self.meters: dict[str, Meter] = {}
        self.packed: Packed | None = None  # what was sent last, where its size was taken

    def watch(self, *names: str) -> None:
        for name in names:
            self.meters[name] = Meter()

    def put(self, name: str, what: str, *details: Any) -> None:
        process, meter = self.processes[name], self.meters.get(name)
        if meter is None or process.core is None or process.stopped:
            super().put(name, what, *details)
            return
        kind = (
            f"{what} {details[1]}"
            if what == "told"
            else f"{what} {details[2]}"
            if what == "asked"
            else what
        )
        for effect in meter.run(kind, process.core.step, self.now, what, *details):
            self.carry_out(process, effect)

    def wire(self, process: Process, told: Any) -> Any:
        """Only what a watched process sends is packed here; what one receives, where it is sent."""
        process.messages += 1
        meter = self.meters.get(process.spec.name)
        self.packed = None
        if meter is None:
            return told
        began = cpu_ns()
        packed = msgpack.packb(told)
        meter.codec_ns += cpu_ns() - began
        return self.unpack(packed)

    def unpack(self, packed: bytes) -> Any:
        began = cpu_ns()
        made = msgpack.unpackb(packed, use_list=False)
        self.packed = Packed(len(packed), cpu_ns() - began)
        return made

    def send(self, process: Process, to: str, what: str, *details: Any) -> None:
        sender, receiver = self.meters.get(process.spec.name), self.meters.get(to)
        if receiver is not None and self.packed is None:
            details = (*details[:-1], self.unpack(msgpack.packb(details[-1])))
        kind = str(details[1]) if what == "told" else what
        if sender is not None and self.packed is not None:
            sender.note(False, kind, self.packed.size)
        if (
            receiver is not None
            and self.packed is not None
            and (process.address, to) not in self.cut
        ):
            receiver.note(True, kind, self.packed.size)
            receiver.codec_ns += self.packed.unpack_ns
        super().send(process, to, what, *details)


def zone_name(at: int) -> str:
    return f"zone-{at:02d}"


def fleet_budgets(zones: int) -> tuple[Budget, ...]:
    """One budget a zone, named, one for the callers of each service, and one over all."""
    each = [Budget(f"zone-{at}", "zone", zone_name(at), max_unavailable=10) for at in range(zones)]
    callers = Budget("callers", "callers", max_unavailable=50)
    return (*each, callers, Budget("all", "fleet", max_unavailable=100))


def founded(
    seed: int, budgets: tuple[Budget, ...], servers: Iterable[tuple[str, str]]
) -> MeasuredDay:
    """Five voters in five zones, and servers (each with its zone), all agreed to serve."""
    day = MeasuredDay(seed)
    day.budgets = budgets
    for at in range(VOTERS):
        day.add(f"v{at + 1}", zone_name(at), voter=True)
    for name, zone in servers:
        day.add(name, zone)
    many = len(day.processes)
    day.start()
    day.until(lambda: bool(day.leader()))
    day.until(
        lambda: (
            len(day.state().members) == many
            and not any(map(day.state().is_unavailable, day.state().members.values()))
        ),
        FOUNDED_MS,
    )
    day.run(5000.0)
    return day
