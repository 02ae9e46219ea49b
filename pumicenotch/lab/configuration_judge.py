"""When each publication was in force at each instance that could be reached, and what else was served."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import numpy as np

from pumicenotch.lab.publisher import Published

SETTLED_S = 10.0  # a publication that is asked for so soon after an instance's start or a heal is its return's
WINDOW_S = 10.0  # an instance cut off or stopped so soon after a publication need not have it

Life = tuple[int, int]  # number and generation


@dataclass
class Course:
    """One life of an instance."""

    began: float
    ended: float = float("inf")
    served: list[tuple[float, int]] = field(default_factory=list)  # when, version

    def current_at(self, version: int) -> float:
        """When it served that version, or a later one, first."""
        return next((at for at, held in self.served if held >= version), float("inf"))


class ConfigurationJudge:
    def __init__(self) -> None:
        self.courses: dict[Life, Course] = {}
        self.cuts: list[
            tuple[float, float, frozenset[int]]
        ] = []  # from, to, numbers of those cut off
        self.mixed: list[list[Any]] = []
        self.backward: list[list[Any]] = []
        self.checked = 0
        self.verified: dict[int, bool] = {}

    # What is seen

    def lived(self, number: int, generation: int, up: bool, at: float) -> None:
        if up:
            self.courses.setdefault((number, generation), Course(at)).began = at
        elif (course := self.courses.get((number, generation))) is not None:
            course.ended = at

    def switched(self, switches: Iterable[list[Any]]) -> None:
        for number, generation, version, at in switches:
            self.courses.setdefault((number, generation), Course(at)).served.append((at, version))

    def cut(self, numbers: Iterable[int], at: float) -> None:
        self.cuts.append((at, float("inf"), frozenset(numbers)))

    def healed(self, at: float) -> None:
        self.cuts = [(begin, min(end, at), numbers) for begin, end, numbers in self.cuts]

    def serving(self, version: int) -> int:
        """How many that are up serve that version or a later one."""
        return sum(
            bool(course.served) and course.served[-1][1] >= version
            for course in self.courses.values()
            if course.ended == float("inf")
        )

    def slow_returns(
        self, published: list[Published], more_than_s: float
    ) -> list[tuple[int, int, float]]:
        """Number, generation and seconds of cold instances that took longer."""
        found = []
        for (number, generation), course in self.courses.items():
            if generation and course.ended == float("inf"):
                took = course.current_at(newest(published, course.began)) - course.began
                if took > more_than_s:
                    found.append((number, generation, round(took, 2)))
        return found

    # What follows

    def reachable(self, life: Life, course: Course, asked_at: float) -> bool:
        """Up and in touch from well before a publication until well after it. First lives are current before
        the run begins.
        """
        number, generation = life
        settled = course.began + SETTLED_S if generation else course.began
        if settled > asked_at or course.ended < asked_at + WINDOW_S:
            return False
        return not any(
            number in numbers and asked_at < end + SETTLED_S and begin < asked_at + WINDOW_S
            for begin, end, numbers in self.cuts
        )

    def delays(self, published: list[Published]) -> list[float]:
        """Of each publication at each instance that could be reached, from its being asked for."""
        found = []
        for life, course in self.courses.items():
            for each in published:
                if self.reachable(life, course, each.asked_at):
                    found.append(course.current_at(each.version) - each.asked_at)
        return found

    def returns(self, published: list[Published]) -> tuple[list[float], list[float]]:
        """Until a cold instance, and one whose cut was healed, serves what was newest then."""
        cold, healed = [], []
        for (number, generation), course in self.courses.items():
            if generation and course.ended == float("inf"):
                cold.append(course.current_at(newest(published, course.began)) - course.began)
            for _, end, numbers in self.cuts:
                if number in numbers and course.began < end < course.ended:
                    healed.append(course.current_at(newest(published, end)) - end)
        return cold, healed

    def figures(self, published: list[Published]) -> dict[str, float]:
        delays = self.delays(published)
        cold, healed = self.returns(published)
        agreed = [each.agreed_at - each.asked_at for each in published]
        return {
            "publications": float(len(published)),
            "in_force_pairs": float(len(delays)),
            "in_force_p50_s": part_of(delays, 50),
            "in_force_p99_s": part_of(delays, 99),
            "in_force_longest_s": part_of(delays, 100),
            "never_in_force": float(sum(delay == float("inf") for delay in delays)),
            "publish_p50_ms": 1000.0 * part_of(agreed, 50),
            "publish_longest_ms": 1000.0 * part_of(agreed, 100),
            "rejoin_cold": float(len(cold)),
            "rejoin_cold_longest_s": part_of(cold, 100),
            "rejoin_healed": float(len(healed)),
            "rejoin_healed_longest_s": part_of(healed, 100),
            "mixed": float(len(self.mixed)),
            "backward": float(len(self.backward)),
            "scopes_checked": float(self.checked),
            "lost": float(sum(not good for good in self.verified.values())),
            "verified": float(len(self.verified)),
        }


def newest(published: list[Published], at: float) -> int:
    """The version that was agreed last by then."""
    found = [each.version for each in published if each.agreed_at <= at]
    return max(found, default=published[0].version - 1 if published else 0)


def part_of(values: list[float], percent: float) -> float:
    """A percentile; -1 where there is no value, 1e9 for what never came."""
    if not values:
        return -1.0
    some = np.minimum(np.array(values), 1e9)
    return round(float(np.percentile(some, percent, method="higher")), 3)
