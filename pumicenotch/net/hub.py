"""Between a core and its sockets: events go in, each effect goes to its connection."""

from collections.abc import Callable
from typing import Generic, TypeVar

import anyio
from loguru import logger

from pumicenotch.net.clock import Clock
from pumicenotch.net.outbox import Outbox
from pumicenotch.server.effects import (
    ChangeAddress,
    Close,
    ConnectionKey,
    Dial,
    Effect,
    Exit,
    FinishReading,
    Log,
    Wake,
    Write,
)
from pumicenotch.server.events import DescriptorsExhausted
from pumicenotch.server.gateway_side import GatewaySide

MAX_LOGGED_FAULTS = 10  # a fault that comes with every request must not fill the log
FLUSH_INTERVAL_S = 0.002

Core = TypeVar("Core", bound=GatewaySide)


class Hub(Generic[Core]):
    """Carries a core.

    Args:
        core: What handles the events.
        clock: Its time and its timer.
    """

    def __init__(self, core: Core, clock: Clock) -> None:
        self.core = core
        self.clock = clock
        self.outboxes: dict[ConnectionKey, Outbox] = {}  # by the connection that each writes to
        self.unflushed: set[Outbox] = set()  # those as well that are closed but not all written
        self.dialers: dict[str, Callable[[str, float], None]] = {}  # by party
        self.address_changers: dict[str, Callable[[tuple[str, int]], None]] = {}  # by party
        # Of what is no connection, or none yet: the listener and dials under way.
        self.closers: dict[ConnectionKey, Callable[[], None]] = {}
        # Called to free descriptors that nothing needs any more.
        self.descriptor_releasers: list[Callable[[], None]] = []
        self.exit = anyio.Event()
        self.exit_timeout_s = 0.0  # from the exit on, for the last answers to be written

    def deliver(self, event: object) -> None:
        """Has the core handle an event; a fault ends neither the connection nor the process."""
        try:
            effects = self.core.step(self.clock.now(), event)
        except Exception as error:  # noqa: BLE001 - one event must not end the process
            effects = self.on_fault(type(event).__name__, error)
        for effect in effects:
            try:
                self.carry_out(effect)
            except Exception as error:  # noqa: BLE001 - nor one effect the others
                self.on_fault(type(effect).__name__, error)

    def on_descriptors_exhausted(self) -> None:
        """Frees descriptors: first of what only lingers, then the core gives up connections."""
        for release in self.descriptor_releasers:
            release()
        self.deliver(DescriptorsExhausted())

    def on_fault(self, place: str, error: Exception) -> list[Effect]:
        """Logs and counts a fault, and returns the effects that were asked for before it."""
        if self.core.counters.counts["faults"] < MAX_LOGGED_FAULTS:
            logger.opt(exception=error).error("fault in {}", place)
        return self.core.on_fault()

    def carry_out(self, effect: Effect) -> None:
        """Carries out one effect."""
        match effect:
            case Write(connection, message):
                self._write(connection, message)
            case FinishReading(connection):
                self._finish_reading(connection)
            case Close(connection):
                self._close(connection)
            case Dial(connection, delay_ms):
                party = connection.partition("-")[0]
                self.dialers[party](connection, delay_ms)
            case ChangeAddress(party, address):
                self.address_changers[party](address)
            case Wake(delay_ms):
                self.clock.wake(delay_ms)
            case Log(text):
                logger.info(text)
            case Exit(remaining_ms):
                self.exit_timeout_s = remaining_ms / 1000.0
                self.exit.set()

    def _write(self, connection: ConnectionKey, message: object) -> None:
        outbox = self.outboxes.get(connection)
        if outbox is not None and not outbox.put(message):
            self.core.counters.add("connections_slow")
            logger.warning(
                "{} leaves {} bytes unread and is cut", connection, outbox.unwritten_bytes
            )
            outbox.scope.cancel()

    def _finish_reading(self, connection: int) -> None:
        outbox = self.outboxes.get(connection)
        if outbox is not None:
            outbox.check_input()

    def _close(self, connection: ConnectionKey) -> None:
        if connection in self.closers:
            self.closers.pop(connection)()
            return
        outbox = self.outboxes.pop(connection, None)
        if outbox is not None:
            outbox.close()

    def add(self, connection: ConnectionKey, outbox: Outbox) -> None:
        """From now on messages of that connection go to this outbox."""
        self.outboxes[connection] = outbox
        self.unflushed.add(outbox)

    def remove(self, connection: ConnectionKey, outbox: Outbox) -> bool:
        """Removes an outbox; returns whether it was still in use, not closed or replaced."""
        self.unflushed.discard(outbox)
        if self.outboxes.get(connection) is not outbox:
            return False
        del self.outboxes[connection]
        return True

    async def flush(self, timeout_s: float) -> None:
        """Waits until all is written, or for that time."""
        with anyio.move_on_after(timeout_s):
            while any(outbox.unwritten_bytes for outbox in self.unflushed):  # noqa: ASYNC110
                await anyio.sleep(FLUSH_INTERVAL_S)
