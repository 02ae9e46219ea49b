"""Connects a core, which does no I/O, with its sockets and timer.

The hub passes events from connections, timer and signals to the core and applies the effects that
the core returns. A fault in one event or effect is logged and counted; it ends neither the
connection nor the process.
"""

from collections import deque
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
    MeasureBusyTime,
    Wake,
    Write,
)
from pumicenotch.server.events import DescriptorsExhausted
from pumicenotch.server.gateway_side import GatewaySide

MAX_LOGGED_FAULTS = 10  # A fault that recurs with every request must not fill the log.
FLUSH_INTERVAL_S = 0.002

Core = TypeVar("Core", bound=GatewaySide)


class Hub(Generic[Core]):
    """Delivers events to a core and applies its effects.

    Args:
        core: Handles the events and returns effects.
        clock: Supplies the core's time and timer.
    """

    def __init__(self, core: Core, clock: Clock) -> None:
        self.core = core
        self.clock = clock
        self.outboxes: dict[ConnectionKey, Outbox] = {}  # By connection.
        # Outboxes that may have unwritten data, including closed ones.
        self.unflushed: set[Outbox] = set()
        self.finishing: deque[Outbox] = deque()  # Outboxes whose input was not checked yet.
        self.is_finishing = False
        self.dialers: dict[str, Callable[[str, float], None]] = {}  # By party.
        self.address_changers: dict[str, Callable[[tuple[str, int]], None]] = {}  # By party.
        # Close callbacks for the listener and for dials in progress, which have no outbox.
        self.closers: dict[ConnectionKey, Callable[[], None]] = {}
        # Called when descriptors are exhausted, to close connections that are no longer needed.
        self.descriptor_releasers: list[Callable[[], None]] = []
        self.measure_busy_time: Callable[[], object] = lambda: None  # Set by the process.
        self.exit = anyio.Event()
        self.exit_timeout_s = 0.0  # Time after the exit in which the last responses are written.

    def deliver(self, event: object) -> None:
        """Passes an event to the core and applies the resulting effects.

        Then connections whose reading is to finish do so, as far as they can at once.
        """
        self._step(event)
        if self.is_finishing:  # Called below, for a connection that has finished reading.
            return
        self.is_finishing = True
        try:
            while self.finishing:
                self.finishing.popleft().finish_reading_if_done()
        finally:
            self.is_finishing = False

    def _step(self, event: object) -> None:
        """Has the core handle an event, and applies the effects.

        An exception is logged and counted; it ends neither the connection nor the process.
        """
        try:
            effects = self.core.step(self.clock.now(), event)
        except Exception as error:  # noqa: BLE001 - a faulty event must not end the process
            effects = self.on_fault(type(event).__name__, error)
        for effect in effects:
            try:
                self.carry_out(effect)
            except Exception as error:  # noqa: BLE001 - a faulty effect must not stop the others
                self.on_fault(type(effect).__name__, error)

    def on_descriptors_exhausted(self) -> None:
        """Frees descriptors: closes lingering connections, then has the core close idle ones."""
        for release in self.descriptor_releasers:
            release()
        self.deliver(DescriptorsExhausted())

    def on_fault(self, place: str, error: Exception) -> list[Effect]:
        """Logs and counts a fault; returns the effects that the core requested before the fault."""
        if self.core.counters.counts["faults"] < MAX_LOGGED_FAULTS:
            logger.opt(exception=error).error("fault in {}", place)
        return self.core.on_fault()

    def carry_out(self, effect: Effect) -> None:
        """Applies one effect."""
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
            case MeasureBusyTime():
                self.measure_busy_time()
            case Exit(remaining_ms):
                self.exit_timeout_s = remaining_ms / 1000.0
                self.exit.set()

    def _write(self, connection: ConnectionKey, message: object) -> None:
        outbox = self.outboxes.get(connection)
        if outbox is not None and not outbox.put(message):
            self.core.counters.add("connections_slow")
            logger.warning(
                "connection {} has {} unread bytes and is closed",
                connection,
                outbox.unwritten_bytes,
            )
            outbox.scope.cancel()

    def _finish_reading(self, connection: int) -> None:
        outbox = self.outboxes.get(connection)
        if outbox is not None:
            outbox.check_input()
            self.finishing.append(outbox)

    def _close(self, connection: ConnectionKey) -> None:
        if connection in self.closers:
            self.closers.pop(connection)()
            return
        outbox = self.outboxes.pop(connection, None)
        if outbox is not None:
            outbox.close()

    def add(self, connection: ConnectionKey, outbox: Outbox) -> None:
        """Registers the outbox that messages for the connection are written to."""
        self.outboxes[connection] = outbox
        self.unflushed.add(outbox)

    def remove(self, connection: ConnectionKey, outbox: Outbox) -> bool:
        """Removes an outbox; returns False if it was already closed or replaced."""
        self.unflushed.discard(outbox)
        if self.outboxes.get(connection) is not outbox:
            return False
        del self.outboxes[connection]
        return True

    async def flush(self, timeout_s: float) -> None:
        """Waits until all outboxes are written, for at most `timeout_s`."""
        with anyio.move_on_after(timeout_s):
            while any(outbox.unwritten_bytes for outbox in self.unflushed):  # noqa: ASYNC110
                await anyio.sleep(FLUSH_INTERVAL_S)
