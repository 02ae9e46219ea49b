"""Requests to sources, retried with backoff and jitter up to a maximum number of attempts."""

from collections.abc import Callable
from dataclasses import dataclass

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.protocol.messages import Message
from pumicenotch.distribution.settings import NEVER


@dataclass(slots=True)
class Request:
    """A request that has not been answered. `retry_at` is the time of the next attempt."""

    number: int
    address: str
    message: Message
    retry_at: float
    attempts: int = 1


class Requests:
    """The requests in flight; `pending` maps their numbers to them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._settings = context.settings
        self._outbox = context.outbox
        self._numbers = context.request_numbers
        self.pending: dict[int, Request] = {}

    def send(self, now_ms: float, address: str, make_message: Callable[[int], Message]) -> None:
        """Sends the message that `make_message` returns for a new request number."""
        number = next(self._numbers)
        message = make_message(number)
        self.pending[number] = Request(
            number, address, message, now_ms + self._context.retry_delay_ms(1)
        )
        self._outbox.send(address, message)

    def take_answered(self, number: int, address: str) -> Request | None:
        """Removes and returns the request that an address answers; None if there is none."""
        request = self.pending.get(number)
        if request is None or request.address != address:
            return None
        return self.pending.pop(number)

    def postpone(self, now_ms: float, number: int, wait_ms: float) -> None:
        """Delays the retry of a request as its source asked; this counts as no failed attempt."""
        request = self.pending.get(number)
        if request is not None:
            request.retry_at = now_ms + wait_ms
            request.attempts = 0

    def tick(self, now_ms: float) -> list[Request]:
        """Sends due retries again, and returns the requests that had their last attempt."""
        expired = []
        for request in list(self.pending.values()):
            if now_ms < request.retry_at:
                continue
            if request.attempts >= self._settings.max_attempts:
                expired.append(self.pending.pop(request.number))
                continue
            request.attempts += 1
            request.retry_at = now_ms + self._context.retry_delay_ms(request.attempts)
            self._outbox.send(request.address, request.message)
        return expired

    def cancel(self, address: str | None = None) -> None:
        """Drops all requests, or those to one source."""
        for request in list(self.pending.values()):
            if address is None or request.address == address:
                del self.pending[request.number]

    def next_retry_at(self) -> float:
        """Returns the time at which `tick` is to be called next."""
        return min((request.retry_at for request in self.pending.values()), default=NEVER)
