"""Links that this side dials, and the word to the core when one is made or lost."""

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from pumicenotch.net.hub import Hub
from pumicenotch.net.link import LOST, Frame, Outbox, Reader, carry, read, scarce
from pumicenotch.server.effects import Fault, Reach

Put = Callable[..., None]
DIAL_S = 1.0  # on one machine or one network a dial that takes longer does not come


class Links:
    """`reader` is made for each connection, from what takes its inputs and from the link's name. One that was
    replaced delivers nothing more: what it still reads comes again on the next, or ended with the link.
    """

    def __init__(
        self,
        hub: Hub,
        group: TaskGroup,
        address: tuple[str, int],
        frames: dict[str, Frame],
        reader: Callable[[Put, str], Reader],
        unread: int,
    ) -> None:
        self.hub, self.group, self.address, self.frames, self.reader = (
            hub,
            group,
            address,
            frames,
            reader,
        )
        self.unread = unread

    def move(self, address: tuple[str, int]) -> None:
        self.address = address

    def dial(self, link: str, after_ms: float) -> None:
        scope = anyio.CancelScope()
        self.hub.closers[link] = scope.cancel  # of this dial, until it is a connection
        self.group.start_soon(self.serve, link, after_ms, scope)

    async def serve(self, link: str, after_ms: float, scope: anyio.CancelScope) -> None:
        outbox = Outbox(self.frames, self.unread)
        fault, stream = Fault(Reach.REFUSED, "dial timed out"), None
        with scope:
            await anyio.sleep(after_ms / 1000.0)
            try:
                with anyio.move_on_after(DIAL_S):
                    stream = await anyio.connect_tcp(*self.address)
            except Exception as error:  # also an address that cannot be one, which is no OSError
                fault = Fault(Reach.REFUSED, str(error.__cause__ or error))
                if scarce(error):
                    self.hub.scarce()
        if scope.cancel_called:
            if stream is not None:
                await anyio.aclose_forcefully(stream)
            return
        del self.hub.closers[link]
        if stream is None:
            self.hub.put("unlinked", link, fault)
            return

        def put(name: str, *details: Any) -> None:
            if self.hub.outboxes.get(link) is outbox:
                self.hub.put(name, *details)

        async def talk() -> None:
            self.hub.add(link, outbox)
            self.hub.put("linked", link)
            await read(stream, self.reader(put, link), outbox)

        ended = await carry(self.group, stream, outbox, talk)
        if ended is not None and not isinstance(ended, LOST):
            self.hub.put("met", "links_unreadable", f"{link}: {ended!r}")
        if self.hub.remove(link, outbox):
            self.hub.put(
                "unlinked", link, Fault(Reach.BROKEN, str(ended or "") or "closed by the peer")
            )
