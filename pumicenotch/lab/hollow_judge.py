"""What a run's hollow instances have shown, judged by what the runner itself has done to them: whom it has
killed, cut off and started again, and when.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from pumicenotch.lab.hollow_messages import STEP_BUCKET_MS, Place, Report, life_of

SPREAD_PART = 0.99  # of all pairs of observer and victim: then a loss counts as known everywhere
# After a cut has healed: what either side has begun to suspect runs out, or is refuted, within so long.
HEALED_S = 20.0
STARTED_S = 10.0  # a life so young may be taken for its predecessor


@dataclass
class Loss:
    """Members that were killed or cut off at one time, and when that was noticed. Times are monotonic, 0: not
    yet.
    """

    name: str
    victims: dict[str, str]  # name -> life
    at: float
    back_at: float = 0.0  # started again, or healed
    first_dead_at: float = 0.0  # somebody thinks one dead
    spread_at: float = 0.0  # nearly all think all dead
    agreed_at: float = 0.0  # the voters' majority counts all as out
    well_at: float = 0.0  # the voters' majority counts none of them as out any more
    dead: int = 0  # pairs of observer and victim

    def figures(self) -> dict[str, float]:
        def since(when: float, begin: float) -> float:
            return round(when - begin, 2) if when and begin else -1.0

        found = {
            f"{self.name}_lost": float(len(self.victims)),
            f"{self.name}_first_s": since(self.first_dead_at, self.at),
            f"{self.name}_spread_s": since(self.spread_at, self.at),
            f"{self.name}_agreed_s": since(self.agreed_at, self.at),
        }
        if self.back_at:
            found[f"{self.name}_well_s"] = since(self.well_at, self.back_at)
        return found


@dataclass
class Usage:
    """Of one process of instances between two reports of it."""

    at: float
    instance_s: float  # instances that were up, times seconds
    cpu_s: float
    read: int
    written: int
    sent: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    steps: Counter[int] = field(default_factory=Counter)


class HollowJudge:
    def __init__(self, places: list[Place]) -> None:
        self.places = places
        self.number = {place.name: number for number, place in enumerate(places)}
        self.generation: dict[int, int] = {}  # of those that are up
        self.since: dict[int, float] = {}  # when that life began
        self.last: dict[int, Report] = {}  # by process
        self.usage: list[Usage] = []
        self.losses: list[Loss] = []
        self.cut_until = 0.0  # no death is held against the fleet before
        self.meant_to_end: set[int] = set()  # killed or replaced by the runner
        self.false_deaths: Counter[str] = Counter()  # by name: how many thought so
        self.deaths = 0
        self.longest_cpu_ms = self.longest_wall_ms = 0.0
        self.longest_input = ""
        self.most_descriptors = 0
        self.memory_mb: dict[
            int, float
        ] = {}  # by process, for each instance, when last all were up
        self.most_up: dict[int, int] = {}
        self.note: Callable[[float, str, dict[str, Any]], None] = lambda at, what, more: None

    # What the runner does

    def lose(self, name: str, numbers: list[int], at: float) -> Loss:
        victims = {self.places[number].name: self.life(number) for number in numbers}
        self.meant_to_end.update(numbers)
        self.losses.append(Loss(name, victims, at))
        return self.losses[-1]

    def cut(self, name: str, numbers: list[int], at: float) -> Loss:
        victims = {self.places[number].name: self.life(number) for number in numbers}
        self.cut_until = float("inf")
        self.losses.append(Loss(name, victims, at))
        return self.losses[-1]

    def healed(self, at: float) -> None:
        self.cut_until = at + HEALED_S

    def life(self, number: int) -> str:
        return life_of(number, self.generation.get(number, 0))

    # What is reported

    def report(self, process: int, report: Report) -> None:
        for number, generation, up, at in report.lives:
            if up:
                self.generation[number], self.since[number] = generation, at
                self.meant_to_end.discard(number)
            self.note(at, "up" if up else "down", {"number": number, "generation": generation})
        before = self.last.get(process)
        self.last[process] = report
        for name, life, more in report.dead:
            self.thought_dead(report.at, name, life, more)
        self.spread(report.at)
        if before is not None:
            self.use(before, report)
        self.most_descriptors = max(self.most_descriptors, report.descriptors)
        if report.up >= self.most_up.get(
            process, 1
        ):  # with some of them down the others hold no more
            self.most_up[process] = report.up
            self.memory_mb[process] = report.memory_mb / report.up

    def thought_dead(self, at: float, name: str, life: str, more: int) -> None:
        if more > 0:
            self.deaths += more
            self.note(at, "dead", {"name": name, "life": life, "observers": more})
        for loss in self.losses:
            if loss.victims.get(name) == life:
                loss.dead += more
                loss.first_dead_at = loss.first_dead_at or at
        if more > 0 and at > self.cut_until and self.is_well(at, name, life):
            self.false_deaths[name] += more
            self.note(at, "false_death", {"name": name, "life": life, "observers": more})

    def is_well(self, at: float, name: str, life: str) -> bool:
        number = self.number.get(name)
        if number is None:
            return False  # a real one: its process's end is judged by the ledger
        if number in self.meant_to_end or self.life(number) != life:
            return False
        return at - self.since.get(number, at) > STARTED_S

    def spread(self, at: float) -> None:
        up = sum(report.up for report in self.last.values())
        for loss in self.losses:
            if loss.spread_at or loss.back_at:
                continue
            still_up = sum(
                self.number[name] in self.generation and self.number[name] not in self.meant_to_end
                for name in loss.victims
            )
            observers = up - still_up
            if loss.dead >= SPREAD_PART * observers * len(loss.victims):
                loss.spread_at = at

    def use(self, before: Report, report: Report) -> None:
        lasted = report.at - before.at
        self.usage.append(
            Usage(
                report.at,
                lasted * report.up,
                report.cpu_s - before.cpu_s - (report.observer_cpu_s - before.observer_cpu_s),
                report.read_bytes - before.read_bytes,
                report.written_bytes - before.written_bytes,
                Counter(report.sent),
                Counter(report.received),
                Counter(report.steps),
            )
        )
        if report.longest_cpu_ms > self.longest_cpu_ms:
            self.longest_cpu_ms, self.longest_input = report.longest_cpu_ms, report.longest_input
            self.note(
                report.at, "longest_step", {"input": self.longest_input, "ms": self.longest_cpu_ms}
            )
        self.longest_wall_ms = max(self.longest_wall_ms, report.longest_wall_ms)

    def out(self, at: float, many: int, names: set[str]) -> None:
        """How many members the leader says are out, counted by a majority, and the names it lists: all of
        them, unless they are too many for an answer.
        """
        for loss in self.losses:
            listed = len(names & loss.victims.keys())
            all_out = listed == len(loss.victims) or (
                many > len(names) and many >= len(loss.victims)
            )
            if not loss.agreed_at and not loss.back_at and all_out:
                loss.agreed_at = at
            if (
                loss.back_at
                and at > loss.back_at
                and not loss.well_at
                and not listed
                and many == len(names)
            ):
                loss.well_at = at

    # Figures

    def each(self, prefix: str, begin: float, end: float) -> dict[str, float]:
        """Of an instance in the mean over that time."""
        some = [usage for usage in self.usage if begin <= usage.at < end]
        seconds = sum(usage.instance_s for usage in some) or 1e-9
        steps: Counter[int] = Counter()
        found = {
            f"{prefix}_cpu_percent": 100.0 * sum(usage.cpu_s for usage in some) / seconds,
            f"{prefix}_sent_bytes_per_s": sum(usage.written for usage in some) / seconds,
            f"{prefix}_received_bytes_per_s": sum(usage.read for usage in some) / seconds,
        }
        found[f"{prefix}_bytes_per_s"] = (
            found[f"{prefix}_sent_bytes_per_s"] + found[f"{prefix}_received_bytes_per_s"]
        )
        for usage in some:
            steps.update(usage.steps)
        for role in ("voter", "server"):
            sent = sum(usage.sent[role] for usage in some)
            found[f"{prefix}_sent_to_{role}s_per_s"] = sent / seconds
            found[f"{prefix}_received_from_{role}s_per_s"] = (
                sum(usage.received[role] for usage in some) / seconds
            )
        found[f"{prefix}_step_p99_ms"] = percentile(steps, 0.99)
        return {name: round(value, 3) for name, value in found.items()}

    def figures(self) -> dict[str, float]:
        found = {
            "false_deaths": float(len(self.false_deaths)),
            "thought_dead": float(self.deaths),
            "step_longest_cpu_ms": round(self.longest_cpu_ms, 2),
            "step_longest_wall_ms": round(self.longest_wall_ms, 2),
            "instance_memory_mb": round(max(self.memory_mb.values(), default=0.0), 2),
            "hollow_process_descriptors": float(self.most_descriptors),
        }
        for loss in self.losses:
            found |= loss.figures()
        return found


def percentile(steps: Counter[int], part: float) -> float:
    """The upper end of the bucket that holds it, ms."""
    whole, seen = sum(steps.values()), 0
    for bucket in sorted(steps):
        seen += steps[bucket]
        if seen >= part * whole:
            return round((bucket + 1) * STEP_BUCKET_MS, 3)
    return 0.0
