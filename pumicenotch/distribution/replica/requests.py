"""Requests to sources: each is sent again until it is answered, with backoff and jitter, and given up after
some tries.
"""

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol.messages import Message
from pumicenotch.distribution.settings import NEVER, Settings


@dataclass(slots=True)
class Request:
    number: int
    address: str
    message: Message
    due: float  # when it is sent again
    tries: int = 1


class Requests:
    """Those that wait for an answer, by number."""

    def __init__(
        self, settings: Settings, rng: random.Random, outbox: Outbox, numbers: Iterator[int]
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._outbox = outbox
        self._numbers = numbers
        self.open: dict[int, Request] = {}

    def send(self, now_ms: float, address: str, make: Callable[[int], Message]) -> None:
        """`make` is given the request's number."""
        number = next(self._numbers)
        message = make(number)
        self.open[number] = Request(number, address, message, now_ms + self._wait(1))
        self._outbox.send(address, message)

    def answered(self, number: int, address: str) -> Request | None:
        """The request that this answers; None if it waits for none from there."""
        request = self.open.get(number)
        if request is None or request.address != address:
            return None
        return self.open.pop(number)

    def postpone(self, now_ms: float, number: int, wait_ms: float) -> None:
        """The source asked to come back later: that is no failed try."""
        request = self.open.get(number)
        if request is not None:
            request.due = now_ms + wait_ms
            request.tries = 0

    def tick(self, now_ms: float) -> list[Request]:
        """Sends again what is due. Returns those that are given up."""
        given_up = []
        for request in list(self.open.values()):
            if now_ms < request.due:
                continue
            if request.tries >= self._settings.max_attempts:
                given_up.append(self.open.pop(request.number))
                continue
            request.tries += 1
            request.due = now_ms + self._wait(request.tries)
            self._outbox.send(request.address, request.message)
        return given_up

    def cancel(self, address: str | None = None) -> None:
        """All of them, or those to one source."""
        for request in list(self.open.values()):
            if address is None or request.address == address:
                del self.open[request.number]

    def next_retry_at(self) -> float:
        return min((request.due for request in self.open.values()), default=NEVER)

    def _wait(self, tries: int) -> float:
        wait = min(self._settings.max_retry_ms, self._settings.retry_ms * float(1 << (tries - 1)))
        return wait * (1.0 + 0.5 * self._rng.random())
