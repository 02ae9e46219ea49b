"""Requests to sources, retried with backoff and jitter and given up after some attempts."""

from collections.abc import Callable
from dataclasses import dataclass

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.protocol.messages import Message
from pumicenotch.distribution.settings import NEVER


@dataclass(slots=True)
class Request:
    """One request that has not been answered."""

    number: int
    address: str
    message: Message
    retry_at: float
    attempts: int = 1


class Requests:
    """The requests in flight: `open` has them by number."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._settings = context.settings
        self._outbox = context.outbox
        self._numbers = context.request_numbers
        self.open: dict[int, Request] = {}

    def send(self, now_ms: float, address: str, make: Callable[[int], Message]) -> None:
        """Send a request: `make` returns the message with the number that it is given."""
        number = next(self._numbers)
        message = make(number)
        self.open[number] = Request(
            number, address, message, now_ms + self._context.retry_delay_ms(1)
        )
        self._outbox.send(address, message)

    def answered(self, number: int, address: str) -> Request | None:
        """Return the request that is answered from there; None if there is none."""
        request = self.open.get(number)
        if request is None or request.address != address:
            return None
        return self.open.pop(number)

    def postpone(self, now_ms: float, number: int, wait_ms: float) -> None:
        """Retry later, as the source asked for; that is no failed attempt."""
        request = self.open.get(number)
        if request is not None:
            request.retry_at = now_ms + wait_ms
            request.attempts = 0

    def tick(self, now_ms: float) -> list[Request]:
        """Retry what is due, and return the requests that are given up."""
        given_up = []
        for request in list(self.open.values()):
            if now_ms < request.retry_at:
                continue
            if request.attempts >= self._settings.max_attempts:
                given_up.append(self.open.pop(request.number))
                continue
            request.attempts += 1
            request.retry_at = now_ms + self._context.retry_delay_ms(request.attempts)
            self._outbox.send(request.address, request.message)
        return given_up

    def cancel(self, address: str | None = None) -> None:
        """Drop all requests, or those to one source."""
        for request in list(self.open.values()):
            if address is None or request.address == address:
                del self.open[request.number]

    def next_retry_at(self) -> float:
        """Return when `tick` is to be called next."""
        return min((request.retry_at for request in self.open.values()), default=NEVER)
