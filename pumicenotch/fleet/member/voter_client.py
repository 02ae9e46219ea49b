"""A client that sends requests to the voters, one at a time, to the presumed leader."""

import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, ClassVar, NamedTuple

from pumicenotch.fleet.member.effects import Effect, Log, SendRequest, WakeAt

# The error codes of voters' answers, on the wire.
NOT_LEADER = "NotLeader"
NO_MAJORITY = "NoMajority"
REFUSED = "Refused"
UNKNOWN_VERB = "UnknownVerb"

MAX_BACKOFF_DOUBLINGS = 8
# The number of failures in a row from which on redirects wait for RETRY_DELAY_MS.
SLOW_REDIRECT_FAILURES = 3


class OutstandingRequest(NamedTuple):
    """A request to a voter, and the time until which an answer is accepted."""

    number: int
    verb: str
    expires_at_ms: float
    args: tuple[Any, ...] = ()


class VoterClient(ABC):
    """A reducer that sends requests to voters, and tries another voter after an error or timeout.

    Members and agents derive from this class. The runtime passes each input to `step` and carries
    out the returned effects.
    """

    INPUTS: ClassVar[Mapping[str, str]]  # the name of the method that handles each input
    # An entry takes several round trips between regions to be agreed.
    REQUEST_TIMEOUT_MS = 700.0
    RETRY_DELAY_MS = 250.0  # after a refusal or timeout; doubles
    MAX_RETRY_DELAY_MS = 2000.0
    REDIRECT_DELAY_MS = 50.0  # before a request to the leader that a voter has named

    def __init__(self, voters: Iterable[str], now_ms: float, seed: int) -> None:
        self.now_ms = now_ms
        self.rng = random.Random(seed)
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()
        self.voters = sorted(voters)  # addresses
        self.voter_index = self.rng.randrange(len(self.voters)) if self.voters else 0
        self.last_request_number = 0
        self.request: OutstandingRequest | None = None
        self.answered_request: OutstandingRequest | None = None  # the last request with an answer
        self.next_request_at_ms = now_ms
        self.consecutive_failures = 0

    def step(self, now_ms: float, name: str, *details: Any) -> list[Effect]:
        """Handles one input of those that the class lists, and returns the effects.

        Time never goes back: a time before that of the previous step is ignored.
        """
        self.now_ms = max(self.now_ms, now_ms)
        getattr(self, self.INPUTS[name])(*details)
        self.send_next_request()
        effects = self.effects
        self.effects = []
        effects.append(WakeAt(self.wake_at_ms()))
        return effects

    def log(self, text: str) -> None:
        """Writes a line to the process's log."""
        self.effects.append(Log(text))

    def request_deadline_ms(self) -> float:
        """Returns when the outstanding request times out, or when the next one may be sent."""
        if self.request is not None:
            return self.request.expires_at_ms
        return max(self.next_request_at_ms, self.now_ms + 1.0)

    def check_timeout(self) -> None:
        """Retries with another voter if the outstanding request has timed out."""
        if self.request is not None and self.now_ms >= self.request.expires_at_ms:
            self.counters["asks_unanswered"] += 1
            self.retry()

    def send_request(self, verb: str, *args: Any) -> None:
        """Sends a request to the presumed leader."""
        self.last_request_number += 1
        number = self.last_request_number
        expires_at_ms = self.now_ms + self.REQUEST_TIMEOUT_MS
        self.request = OutstandingRequest(number, verb, expires_at_ms, args)
        self.effects.append(SendRequest(self.voters[self.voter_index], number, verb, args))

    def retry(self, leader: str = "") -> None:
        """Schedules the next request, after a randomized delay, to another voter.

        Args:
            leader: the address of the voter to try; any unknown address selects the next voter.
        """
        self.request = None
        self.consecutive_failures += 1
        if leader in self.voters:
            self.voter_index = self.voters.index(leader)
            is_fast = self.consecutive_failures < SLOW_REDIRECT_FAILURES
            delay_ms = self.REDIRECT_DELAY_MS if is_fast else self.RETRY_DELAY_MS
        else:
            self.voter_index = (self.voter_index + 1) % len(self.voters)
            doublings = min(self.consecutive_failures - 1, MAX_BACKOFF_DOUBLINGS)
            delay_ms = min(self.MAX_RETRY_DELAY_MS, self.RETRY_DELAY_MS * 2.0**doublings)
        self.next_request_at_ms = self.now_ms + delay_ms * self.rng.uniform(0.5, 1.0)

    def on_response(self, number: int, error: Any, result: Any) -> None:
        """Handles the answer to the outstanding request. A late answer is dropped.

        A process that was suspended past the timeout must not act on a permission in the answer.
        """
        request = self.request
        if request is None or request.number != number or self.now_ms >= request.expires_at_ms:
            self.counters["answers_late"] += 1
            return
        self.answered_request = request
        if error is None:
            self.request = None
            self.consecutive_failures = 0
            self.next_request_at_ms = self.now_ms
            self.on_result(request.verb, result if isinstance(result, dict) else {})
            return
        is_list = isinstance(error, list | tuple)
        code, text, detail = (*error, None, None, None)[:3] if is_list else ("", "", "")
        if code == REFUSED:
            self.on_refusal(request.verb, str(text))
            self.retry(self.voters[self.voter_index])
        else:
            self.retry(detail if isinstance(detail, str) else "")

    @abstractmethod
    def send_next_request(self) -> None:
        """Sends the request that is due, if any, unless a request is outstanding."""

    @abstractmethod
    def wake_at_ms(self) -> float:
        """Returns when the next input `time` is due."""

    @abstractmethod
    def on_result(self, verb: str, result: dict[str, Any]) -> None:
        """Handles the result of a request."""

    @abstractmethod
    def on_refusal(self, verb: str, text: str) -> None:
        """Handles the fleet's refusal of a request."""
