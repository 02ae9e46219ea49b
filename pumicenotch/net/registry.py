"""Reports to the registry: HTTP/1.1 through h11, one at a time on a connection that stays open."""

from urllib.parse import quote

import anyio
import h11
from anyio.abc import ByteStream

from pumicenotch.net.connection import is_resource_exhausted
from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Encoders, Outbox
from pumicenotch.server.core import Server
from pumicenotch.server.events import ConnectionFailure, FailureReach, ReportFinished
from pumicenotch.server.messages import ReadinessReport
from pumicenotch.server.registry_reporter import CONNECTION

# To dial, report and answer: three attempts fit into the 3 s after which the registry removes a
# silent server.
REPORT_TIMEOUT_S = 0.8
MAX_UNREAD_BYTES = 1024
MAX_READ_BYTES = 4096
HTTP_NO_CONTENT = 204
ENCODERS: Encoders = {
    ReadinessReport: lambda message: b"draining " if message.draining else b"ready "
}


class Registry:
    """Sends reports, and tells the core what has become of each.

    Args:
        hub: Where the answers go.
        address: Host and port of the registry.
        name: Of this server there.
    """

    def __init__(self, hub: Hub[Server], address: tuple[str, int], name: str) -> None:
        self.hub = hub
        self.address = address
        self.name = name
        self.stream: ByteStream | None = None
        self.scope = anyio.CancelScope()  # of the report under way
        self.address_changed = False
        self.http = h11.Connection(h11.CLIENT)
        self.outbox = Outbox(ENCODERS, MAX_UNREAD_BYTES)

    async def run(self) -> None:
        """Sends reports until it is cancelled; of several that wait, only the latest."""
        self.hub.add(CONNECTION, self.outbox)
        while True:
            *_, state = (await self.outbox.take()).split()
            self.hub.deliver(ReportFinished(await self.report(state)))

    async def report(self, state: bytes) -> ConnectionFailure | None:
        """Sends one report; returns None once it is accepted, else how far it had come."""
        if self.address_changed:
            self.address_changed = False
            await self._close()
        reach = FailureReach.REFUSED
        text = "given up, as the registry has moved"
        try:
            with anyio.fail_after(REPORT_TIMEOUT_S) as self.scope:
                if self.stream is None:
                    self.stream = await anyio.connect_tcp(*self.address)
                    self.http = h11.Connection(h11.CLIENT)
                reach = FailureReach.BROKEN
                status = await self._exchange(self.stream, state)
                if status == HTTP_NO_CONTENT and self._is_reusable():
                    self.http.start_next_cycle()
                    return None
                text = "" if status == HTTP_NO_CONTENT else f"answered {status}"
        except Exception as error:  # noqa: BLE001 - the next report is tried whatever failed
            text = str(error) or type(error).__name__
            if is_resource_exhausted(error):
                self.hub.on_descriptors_exhausted()
        await self._close()
        return ConnectionFailure(reach, text) if text else None

    def change_address(self, address: tuple[str, int]) -> None:
        """Reports to another address; the old one is not waited for."""
        self.address = address
        self.address_changed = True
        self.scope.cancel()

    def _is_reusable(self) -> bool:
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _exchange(self, stream: ByteStream, state: bytes) -> int:
        """Returns the status of the answer."""
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
                await self._receive(stream)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif not isinstance(event, h11.InformationalResponse | h11.Data):
                raise h11.RemoteProtocolError(
                    "closed or turned to another protocol before an answer"
                )
        return status

    async def _receive(self, stream: ByteStream) -> None:
        try:
            self.http.receive_data(await stream.receive(MAX_READ_BYTES))
        except anyio.EndOfStream:
            self.http.receive_data(b"")

    async def _close(self) -> None:
        stream = self.stream
        self.stream = None
        if stream is not None:
            await anyio.aclose_forcefully(stream)
