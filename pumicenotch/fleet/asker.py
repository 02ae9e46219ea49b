"""Whoever asks the voters: one question at a time, to whoever is said to lead, again after silence."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from typing import Any, ClassVar

from pumicenotch.fleet.effects import Ask, Effect, Log, Wake

NOT_LEADER, NO_MAJORITY, REFUSED, UNKNOWN = "NotLeader", "NoMajority", "Refused", "UnknownVerb"


class Asker(ABC):
    INPUTS: ClassVar[frozenset[str]]
    # for an answer: an agreed step takes some round trips between regions, then another is asked
    ASK_MS = 700.0
    AGAIN_MS = 250.0  # after a refusal or silence, doubling
    AGAIN_MOST_MS = 2000.0

    def __init__(self, voters: Iterable[str], now: float, seed: int) -> None:
        self.now, self.chance = now, random.Random(seed)
        self.effects: list[Effect] = []
        self.counts: Counter[str] = Counter()
        self.voters = sorted(voters)
        self.voter_at = self.chance.randrange(len(self.voters)) if self.voters else 0
        self.numbers = 0
        self.ask: tuple[int, str, float] | None = None  # number, verb, until: one at a time
        self.ask_at, self.failures = now, 0

    def step(self, now: float, name: str, *details: Any) -> list[Effect]:
        """One input, as its class says; what comes of it. Time never goes back."""
        self.now = max(self.now, now)
        assert name in self.INPUTS, name
        getattr(self, name)(*details)
        self.want()
        effects, self.effects = self.effects, []
        effects.append(Wake(self.due()))
        return effects

    def log(self, text: str) -> None:
        self.effects.append(Log(text))

    def ask_due(self) -> float:
        return self.ask[2] if self.ask is not None else max(self.ask_at, self.now + 1.0)

    def unanswered(self) -> None:
        if self.ask is not None and self.now >= self.ask[2]:
            self.counts["asks_unanswered"] += 1
            self.failed()

    def send(self, verb: str, *args: Any) -> None:
        self.numbers += 1
        self.ask = (self.numbers, verb, self.now + self.ASK_MS)
        self.effects.append(Ask(self.voters[self.voter_at], self.numbers, verb, args))

    def failed(self, towards: str = "") -> None:
        """Another voter is asked, the one that is said to lead if any."""
        self.ask = None
        self.failures += 1
        if towards in self.voters:
            self.voter_at = self.voters.index(towards)
            wait = self.AGAIN_MS / 5.0 if self.failures < 3 else self.AGAIN_MS
        else:
            self.voter_at = (self.voter_at + 1) % len(self.voters)
            wait = min(self.AGAIN_MOST_MS, self.AGAIN_MS * 2.0 ** min(self.failures - 1, 8))
        self.ask_at = self.now + wait * self.chance.uniform(0.5, 1.0)

    def answered(self, number: int, error: Any, result: Any) -> None:
        if self.ask is None or self.ask[0] != number or self.now >= self.ask[2]:
            self.counts["answers_late"] += 1
            return
        verb = self.ask[1]  # in time: a process that slept through it has no permission by it
        if error is None:
            self.ask, self.failures, self.ask_at = None, 0, self.now
            self.agreed(verb, result if isinstance(result, dict) else {})
            return
        code, text, more = (*error, None, None, None)[:3] if isinstance(error, list | tuple) else ("", "", "")
        if code == REFUSED:
            self.refused(verb, str(text))
            self.failed(self.voters[self.voter_at])
        else:
            self.failed(more if isinstance(more, str) else "")

    @abstractmethod
    def want(self) -> None:
        """What is to be done or asked by now."""

    @abstractmethod
    def due(self) -> float:
        """When it is to be woken."""

    @abstractmethod
    def agreed(self, verb: str, result: dict[str, Any]) -> None:
        """The answer to what was asked."""

    @abstractmethod
    def refused(self, verb: str, text: str) -> None:
        """The fleet's own no."""
