"""Whoever asks the voters: one question at a time, to whoever is said to lead, again after silence."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.member.effects import Ask, Effect, Log, Wake

NOT_LEADER, NO_MAJORITY, REFUSED, UNKNOWN = "NotLeader", "NoMajority", "Refused", "UnknownVerb"


class PendingRequest(NamedTuple):
    """What a voter was asked, and until when its answer counts."""

    number: int
    verb: str
    until: float


class VoterClient(ABC):
    INPUTS: ClassVar[frozenset[str]]
    # for an answer: an agreed step takes some round trips between regions, then another is asked
    REQUEST_TIMEOUT_MS = 700.0
    RETRY_MS = 250.0  # after a refusal or silence, doubling
    RETRY_MOST_MS = 2000.0

    def __init__(self, voters: Iterable[str], now: float, seed: int) -> None:
        self.now, self.random = now, random.Random(seed)
        self.effects: list[Effect] = []
        self.counts: Counter[str] = Counter()
        self.voters = sorted(voters)
        self.voter_index = self.random.randrange(len(self.voters)) if self.voters else 0
        self.last_number = 0
        self.request: PendingRequest | None = None  # one at a time
        self.request_at, self.failures = now, 0

    def step(self, now: float, name: str, *details: Any) -> list[Effect]:
        """One input, as its class says; what comes of it. Time never goes back."""
        self.now = max(self.now, now)
        assert name in self.INPUTS, name
        getattr(self, name)(*details)
        self.next_request()
        effects, self.effects = self.effects, []
        effects.append(Wake(self.due()))
        return effects

    def log(self, text: str) -> None:
        self.effects.append(Log(text))

    def request_due(self) -> float:
        return (
            self.request.until if self.request is not None else max(self.request_at, self.now + 1.0)
        )

    def check_timeout(self) -> None:
        if self.request is not None and self.now >= self.request.until:
            self.counts["asks_unanswered"] += 1
            self.retry()

    def ask(self, verb: str, *args: Any) -> None:
        self.last_number += 1
        self.request = PendingRequest(self.last_number, verb, self.now + self.REQUEST_TIMEOUT_MS)
        self.effects.append(Ask(self.voters[self.voter_index], self.last_number, verb, args))

    def retry(self, towards: str = "") -> None:
        """Another voter is asked, the one that is said to lead if any."""
        self.request = None
        self.failures += 1
        if towards in self.voters:
            self.voter_index = self.voters.index(towards)
            wait = self.RETRY_MS / 5.0 if self.failures < 3 else self.RETRY_MS
        else:
            self.voter_index = (self.voter_index + 1) % len(self.voters)
            wait = min(self.RETRY_MOST_MS, self.RETRY_MS * 2.0 ** min(self.failures - 1, 8))
        self.request_at = self.now + wait * self.random.uniform(0.5, 1.0)

    def answered(self, number: int, error: Any, result: Any) -> None:
        if self.request is None or self.request.number != number or self.now >= self.request.until:
            self.counts["answers_late"] += 1
            return
        verb = self.request.verb  # in time: a process that slept through it has no permission by it
        if error is None:
            self.request, self.failures, self.request_at = None, 0, self.now
            self.agreed(verb, result if isinstance(result, dict) else {})
            return
        code, text, more = (
            (*error, None, None, None)[:3] if isinstance(error, list | tuple) else ("", "", "")
        )
        if code == REFUSED:
            self.refused(verb, str(text))
            self.retry(self.voters[self.voter_index])
        else:
            self.retry(more if isinstance(more, str) else "")

    @abstractmethod
    def next_request(self) -> None:
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
