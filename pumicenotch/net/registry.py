"""Reports to the registry: HTTP/1.1 through h11, one at a time on a connection kept open."""

from urllib.parse import quote

import anyio
import h11
from anyio.abc import ByteStream

from pumicenotch.net.hub import Hub
from pumicenotch.net.link import Outbox, scarce
from pumicenotch.server.core import REGISTRY
from pumicenotch.server.effects import Fault, Reach

REPORT_S = 0.8  # dial, report and answer: three tries fit into the 3 s after which silence unlists


class Registry:
    def __init__(self, hub: Hub, address: tuple[str, int], name: str) -> None:
        self.hub, self.address, self.name = hub, address, name
        self.stream: ByteStream | None = None
        self.scope = anyio.CancelScope()  # of the report on its way
        self.moved = False
        self.http = h11.Connection(h11.CLIENT)
        self.outbox = Outbox({"ready": lambda: b"ready ", "draining": lambda: b"draining "}, 1024)

    async def run(self) -> None:
        self.hub.add(REGISTRY, self.outbox)
        while True:
            *_, state = (await self.outbox.take()).split()  # the latest, should several wait
            self.hub.put("reported", await self.report(state))

    async def report(self, state: bytes) -> Fault | None:
        """None once it is answered 204; else how far it had come."""
        if self.moved:
            self.moved = False
            await self.close()
        reach, text = Reach.REFUSED, "given up, as the registry has moved"
        try:
            with anyio.fail_after(REPORT_S) as self.scope:
                if self.stream is None:
                    self.stream = await anyio.connect_tcp(*self.address)
                    self.http = h11.Connection(h11.CLIENT)
                reach = Reach.BROKEN
                status = await self.exchange(self.stream, state)
                if (
                    status == 204
                    and self.http.our_state is h11.DONE
                    and self.http.their_state is h11.DONE
                ):
                    self.http.start_next_cycle()
                    return None
                text = "" if status == 204 else f"answered {status}"
        except (
            Exception
        ) as error:  # also an address that cannot be one: the next report is tried as well
            text = str(error) or type(error).__name__
            if scarce(error):
                self.hub.scarce()
        await self.close()
        return Fault(reach, text) if text else None

    async def exchange(self, stream: ByteStream, state: bytes) -> int:
        body = b'{"state":"%b"}' % state
        headers = [
            ("Host", f"{self.address[0]}:{self.address[1]}"),
            ("Content-Length", str(len(body))),
        ]
        target = f"/v1/instances/{quote(self.name, safe='')}"
        request = h11.Request(method="PUT", target=target, headers=headers)
        parts = (request, h11.Data(data=body), h11.EndOfMessage())
        await stream.send(b"".join(self.http.send(part) or b"" for part in parts))
        status = 0
        while not isinstance(event := self.http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                try:
                    self.http.receive_data(await stream.receive(4096))
                except anyio.EndOfStream:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif not isinstance(event, h11.InformationalResponse | h11.Data):
                raise h11.RemoteProtocolError(
                    "closed or turned to another protocol before an answer"
                )
        return status

    def move(self, address: tuple[str, int]) -> None:
        """The old one is told nothing more, and not waited for."""
        self.address, self.moved = address, True
        self.scope.cancel()

    async def close(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)
