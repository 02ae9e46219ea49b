"""Signals that a process handles itself, from its first line to its last."""

import signal
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import NamedTuple

import anyio

MS_PER_S = 1000.0


class ReceivedSignal(NamedTuple):
    """A signal, and how long it had arrived before the loop came to it."""

    number: signal.Signals
    waited_ms: float


class SignalArrivals:
    """Notes when signals arrive.

    The interpreter runs a signal's handler between any two steps of the program, while the loop
    comes to it one or two turns later: many connections make that a tenth of a second where cores
    are crowded.
    """

    def __init__(self) -> None:
        self.arrived_at_s: dict[int, float] = {}  # the first of each number not taken yet

    def watch(self, number: signal.Signals) -> None:
        """Puts a handler in front of the one that is installed."""
        installed = signal.getsignal(number)

        def note(received_number: int, frame: FrameType | None) -> None:
            self.arrived_at_s.setdefault(received_number, time.monotonic())
            if callable(installed):
                installed(received_number, frame)

        signal.signal(number, note)
        signal.siginterrupt(number, False)

    def take(self, number: signal.Signals) -> ReceivedSignal:
        """Returns the signal that the loop has come to, with its wait."""
        now_s = time.monotonic()
        arrived_at_s = self.arrived_at_s.pop(number, now_s)
        return ReceivedSignal(number, (now_s - arrived_at_s) * MS_PER_S)


@contextmanager
def receive_signals(
    numbers: tuple[signal.Signals, ...],
) -> Iterator[AsyncIterator[ReceivedSignal]]:
    """Yields the signals that arrive, and that have arrived while they were blocked.

    The caller blocks them as the process starts. Afterwards they are blocked again: their default
    action would end the process in the middle of its exit.
    """
    arrivals = SignalArrivals()
    with anyio.open_signal_receiver(*numbers) as received:
        for number in numbers:
            arrivals.watch(number)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
        try:
            yield _with_waits(received, arrivals)
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, numbers)


async def _with_waits(
    received: AsyncIterator[signal.Signals], arrivals: SignalArrivals
) -> AsyncIterator[ReceivedSignal]:
    async for number in received:
        yield arrivals.take(number)
