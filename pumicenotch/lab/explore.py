"""A model checker: all states that a model can reach within its bounds, breadth first, so that the first
violation found is one of the shortest. A model is plain values and functions of them; what it decides by is
the real code.
"""

import random
import time
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import Generic, NamedTuple, TypeVar

State = TypeVar("State", bound=Hashable)


class Found(NamedTuple):
    """What came of it. `trace` leads to the violation, a line a step; without one there was none."""

    states: int
    steps: int  # transitions that were followed
    depth: int
    seconds: float
    whole: bool  # all that can be reached was seen
    violation: str
    trace: tuple[str, ...]

    def text(self) -> str:
        rate = self.states / max(1e-9, self.seconds)
        seen = f"{self.states} states, {self.steps} steps, depth {self.depth}"
        head = f"{seen}, {self.seconds:.1f} s ({rate:.0f} states/s)"
        if not self.violation:
            return f"{head}: no violation{'' if self.whole else ', not all was seen'}"
        lines = [f"{at:>3}. {line}" for at, line in enumerate(self.trace, 1)]
        return "\n".join([f"{head}: {self.violation}", *lines])


class Explorer(Generic[State]):
    """`after` gives the steps from a state, each with its line for the trace; `wrong` what a state
    violates.
    """

    def __init__(
        self,
        after: Callable[[State], Iterable[tuple[str, State]]],
        wrong: Callable[[State], str],
        most: int = 2_000_000,
    ) -> None:
        self.after, self.wrong, self.most = after, wrong, most

    def run(self, first: State) -> Found:
        began = time.perf_counter()
        came: dict[State, tuple[State | None, str, int]] = {first: (None, "", 0)}
        waiting, steps, depth = deque([first]), 0, 0
        while waiting:
            state = waiting.popleft()
            depth = came[state][2]
            for line, new in self.after(state):
                steps += 1
                if new in came:
                    continue
                came[new] = (state, line, depth + 1)
                if problem := self.wrong(new):
                    trace = self.trace(came, new)
                    return Found(
                        len(came),
                        steps,
                        depth + 1,
                        time.perf_counter() - began,
                        False,
                        problem,
                        trace,
                    )
                waiting.append(new)
            if len(came) >= self.most:
                return Found(len(came), steps, depth, time.perf_counter() - began, False, "", ())
        return Found(len(came), steps, depth, time.perf_counter() - began, True, "", ())

    def wander(self, first: State, seed: int, walks: int, most_deep: int) -> Found:
        """Walks by chance to where nothing more can happen, or so deep: far beyond what breadth first
        reaches. The trace of a violation is its walk, not the shortest.
        """
        began, chance = time.perf_counter(), random.Random(seed)
        steps = depth = 0
        seen: set[State] = {first}
        for _ in range(walks):
            state, lines = first, list[str]()
            while len(lines) < most_deep and (found := list(self.after(state))):
                line, state = chance.choice(found)
                lines.append(line)
                steps, depth = steps + 1, max(depth, len(lines))
                seen.add(state)
                if problem := self.wrong(state):
                    seconds = time.perf_counter() - began
                    return Found(
                        len(seen), steps, len(lines), seconds, False, problem, tuple(lines)
                    )
        return Found(len(seen), steps, depth, time.perf_counter() - began, False, "", ())

    @staticmethod
    def trace(came: dict[State, tuple[State | None, str, int]], last: State) -> tuple[str, ...]:
        lines: list[str] = []
        at: State | None = last
        while at is not None:
            at, line, _ = came[at]
            if line:
                lines.append(line)
        return tuple(reversed(lines))
