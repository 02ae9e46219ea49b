"""Sends readiness reports to the registry over HTTP/1.1 with h11.

Reports are sent one at a time on a persistent connection.
"""

from urllib.parse import quote

import anyio
import h11
from anyio.abc import ByteStream

from pumicenotch.net.bounded_stream import BoundedStream
from pumicenotch.net.connection import is_resource_exhausted
from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Encoders, Outbox
from pumicenotch.server.core import Server
from pumicenotch.server.events import ConnectionFailure, FailureReach, ReportFinished
from pumicenotch.server.messages import ReadinessReport
from pumicenotch.server.registry_reporter import CONNECTION

# Timeout for dialing, sending a report and receiving the response. Three attempts fit into the 3 s
# after which the registry removes a silent server.
REPORT_TIMEOUT_S = 0.8
MAX_UNREAD_BYTES = 1024
MAX_READ_BYTES = 4096
HTTP_NO_CONTENT = 204
ENCODERS: Encoders = {
    ReadinessReport: lambda message: b"draining " if message.draining else b"ready "
}


class Registry:
    """Sends readiness reports and delivers the outcome of each one to the core.

    Args:
        hub: Receives the outcomes.
        address: Host and port of the registry.
        name: The name under which this server is registered.
    """

    def __init__(self, hub: Hub[Server], address: tuple[str, int], name: str) -> None:
        self.hub = hub
        self.address = address
        self.name = name
        self.stream: ByteStream | None = None
        self.scope = anyio.CancelScope()  # Cancels the report in progress.
        self.address_changed = False
        self.http = h11.Connection(h11.CLIENT)
        self.outbox = Outbox(ENCODERS, MAX_UNREAD_BYTES)

    async def run(self) -> None:
        """Sends reports until cancelled. Of several queued reports, only the latest is sent."""
        self.hub.add(CONNECTION, self.outbox)
        while True:
            *_, state = (await self.outbox.take()).split()
            self.hub.deliver(ReportFinished(await self.report(state)))

    async def report(self, state: bytes) -> ConnectionFailure | None:
        """Sends one report.

        Returns:
            None if the registry accepted the report, else the failure and whether the registry was
            reached.
        """
        if self.address_changed:
            self.address_changed = False
            await self._close()
        reach = FailureReach.REFUSED
        text = "cancelled: the registry's address has changed"
        try:
            with anyio.fail_after(REPORT_TIMEOUT_S) as self.scope:
                if self.stream is None:
                    self.stream = await BoundedStream.connect(*self.address, MAX_READ_BYTES)
                    self.http = h11.Connection(h11.CLIENT)
                reach = FailureReach.BROKEN
                status = await self._exchange(self.stream, state)
                if status == HTTP_NO_CONTENT and self._is_reusable():
                    self.http.start_next_cycle()
                    return None
                text = (
                    ""
                    if status == HTTP_NO_CONTENT
                    else f"the registry answered with status {status}"
                )
        except Exception as error:  # noqa: BLE001 - no failure must stop the next report
            text = str(error) or type(error).__name__
            if is_resource_exhausted(error):
                self.hub.on_descriptors_exhausted()
        await self._close()
        return ConnectionFailure(reach, text) if text else None

    def change_address(self, address: tuple[str, int]) -> None:
        """Changes the registry's address; a report in progress to the old one is cancelled."""
        self.address = address
        self.address_changed = True
        self.scope.cancel()

    def _is_reusable(self) -> bool:
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    async def _exchange(self, stream: ByteStream, state: bytes) -> int:
        """Sends a report on an open connection and returns the status of the response."""
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
                    "connection closed or switched to another protocol before the response"
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
