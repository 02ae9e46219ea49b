"""Receives signals throughout the life of a process, without their default actions."""

import signal
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType
from typing import NamedTuple

import anyio

MS_PER_S = 1000.0


class ReceivedSignal(NamedTuple):
    """A signal and the time between its arrival and its handling in the event loop."""

    number: signal.Signals
    waited_ms: float


class SignalArrivals:
    """Records when signals arrive.

    The interpreter runs a signal handler between any two steps of the program, while the event
    loop handles the signal one or two turns later. With many connections on a busy machine, this
    delay reaches a tenth of a second.
    """

    def __init__(self) -> None:
        self.arrived_at_s: dict[int, float] = {}  # By number: the first arrival not yet taken.

    def watch(self, number: signal.Signals) -> None:
        """Installs a handler that records the arrival and then calls the current handler."""
        installed = signal.getsignal(number)

        def record_arrival(received_number: int, frame: FrameType | None) -> None:
            self.arrived_at_s.setdefault(received_number, time.monotonic())
            if callable(installed):
                installed(received_number, frame)

        signal.signal(number, record_arrival)
        signal.siginterrupt(number, False)

    def take(self, number: signal.Signals) -> ReceivedSignal:
        """Returns the signal that the event loop handles now, with its waiting time."""
        now_s = time.monotonic()
        arrived_at_s = self.arrived_at_s.pop(number, now_s)
        return ReceivedSignal(number, (now_s - arrived_at_s) * MS_PER_S)


@contextmanager
def receive_signals(
    numbers: tuple[signal.Signals, ...],
) -> Iterator[AsyncIterator[ReceivedSignal]]:
    """Yields signals that arrive in the context or arrived earlier while they were blocked.

    The caller blocks the signals at process start. They are blocked again when the context ends,
    because their default action would terminate the process during its exit.
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
