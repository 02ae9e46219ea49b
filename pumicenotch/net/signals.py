"""Signals that a process handles itself, from its first line to its last."""

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager

import anyio


@contextmanager
def receive_signals(
    numbers: tuple[signal.Signals, ...],
) -> Iterator[AsyncIterator[signal.Signals]]:
    """Yields the signals that arrive, and that have arrived while they were blocked.

    The caller blocks them as the process starts. Afterwards they are blocked again: their default
    action would end the process in the middle of its exit.
    """
    with anyio.open_signal_receiver(*numbers) as received:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)
        try:
            yield received
        finally:
            signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
