"""Between the core and the sockets: inputs go in with the time, each effect goes to the link it names."""

from collections.abc import Callable
from typing import Any

import anyio
from loguru import logger

from pumicenotch.net.clock import Clock
from pumicenotch.net.link import Outbox
from pumicenotch.server.core import Server
from pumicenotch.server.effects import (
    Close,
    Dial,
    Effect,
    Exit,
    Link,
    Log,
    Move,
    ReadOut,
    Wake,
    Write,
)


class Hub:
    def __init__(self, core: Server, clock: Clock) -> None:
        self.core, self.clock = core, clock
        self.outboxes: dict[Link, Outbox] = {}  # by the link that writes to them
        self.live: set[Outbox] = set()  # those as well that are closed but not yet all written
        self.diallers: dict[str, Callable[[str, float], None]] = {}  # by party
        self.movers: dict[str, Callable[[tuple[str, int]], None]] = {}
        self.closers: dict[Link, Callable[[], None]] = {}  # of what is no connection, or none yet
        self.relief: list[
            Callable[[], None]
        ] = []  # asked for descriptors that nothing needs any more
        self.exit = anyio.Event()
        self.left_s = 0.0  # from then on, for the last to be written

    def put(self, name: str, *details: Any) -> None:
        """One input. A fault in it is logged and counted, and ends neither the connection nor the process."""
        try:
            effects = self.core.step(self.clock.now(), name, *details)
        except Exception as error:
            effects = self.fault(name, error)
        for effect in effects:
            try:
                self.carry_out(effect)
            except Exception as error:
                self.fault(type(effect).__name__, error)

    def scarce(self) -> None:
        """Descriptors have run out: what only lingers goes first, then the core gives way."""
        for relieve in self.relief:
            relieve()
        self.put("scarce")

    def fault(self, where: str, error: Exception) -> list[Effect]:
        """Logged whole the first times: one that comes with every task must not fill the log."""
        if self.core.counters.counts["faults"] < 10:
            logger.opt(exception=error).error("fault in {}", where)
        return self.core.fault()

    def carry_out(self, effect: Effect) -> None:
        match effect:
            case Write(link, message):
                outbox = self.outboxes.get(link)
                if outbox is not None and not outbox.put(message):
                    self.core.counters.add("connections_slow")
                    logger.warning("{} leaves {} bytes unread and is cut", link, outbox.size)
                    outbox.scope.cancel()
            case ReadOut(link):
                if (outbox := self.outboxes.get(link)) is not None:
                    outbox.look()
            case Close(link) if link in self.closers:
                self.closers.pop(link)()
            case Close(link):
                outbox = self.outboxes.pop(link, None)
                if outbox is not None:
                    outbox.close()
            case Dial(link, after_ms):
                self.diallers[link.partition("-")[0]](link, after_ms)
            case Move(party, address):
                self.movers[party](address)
            case Wake(after_ms):
                self.clock.wake(after_ms)
            case Log(text):
                logger.info(text)
            case Exit(left_ms):
                self.left_s = left_ms / 1000.0
                self.exit.set()

    def add(self, link: Link, outbox: Outbox) -> None:
        self.outboxes[link] = outbox
        self.live.add(outbox)

    def remove(self, link: Link, outbox: Outbox) -> bool:
        """Whether it was still the link's own, not closed or replaced by the core."""
        self.live.discard(outbox)
        if self.outboxes.get(link) is not outbox:
            return False
        del self.outboxes[link]
        return True

    async def flush(self, most_s: float) -> None:
        """Waits until all is written that can be."""
        with anyio.move_on_after(most_s):
            while any(outbox.size for outbox in self.live):
                await anyio.sleep(0.002)
