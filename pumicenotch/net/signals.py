"""Signals that a process takes itself, from the first line to the last."""

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio


@contextmanager
def received(numbers: tuple[signal.Signals, ...]) -> Iterator[AsyncIterator[signal.Signals]]:
    """Those that come, and that have come while they were blocked: whoever asks blocks them as it starts.
    Afterwards they are blocked again: their own effect would end the process in the middle of its end.
    """
    with anyio.open_signal_receiver(*numbers) as coming:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
        try:
            yield coming
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
