"""The other parties' sides of the protocols, on asyncio's own protocols: worker pool, database, registry,
gateway.

Each hands decoded messages to what it was made with, and keeps nothing that a rule is judged by.
"""

import asyncio
import json
from base64 import b64decode, b64encode
from collections.abc import Callable
from typing import Any, cast

import h11
import msgpack

Said = Callable[..., None]


class Peer(asyncio.Protocol):
    transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.transport = None

    def write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def cut(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class PoolPeer(Peer):
    """A JSON object a line. `said` gets the command's name and its fields."""

    def __init__(self, linked: Callable[["PoolPeer"], None], said: Said) -> None:
        self.linked, self.said, self.rest = linked, said, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.linked(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            told = json.loads(line)
            self.said(told.pop("msg"), told)

    def tell(self, msg: str, **fields: Any) -> None:
        self.write(json.dumps({"msg": msg, **fields}).encode() + b"\n")

    def notice(self, serial: int, msg: str, call: str, more: dict[str, Any]) -> None:
        fields = {**more, "blob": b64encode(more["body"]).decode()}
        del fields["body"]
        self.tell(msg, serial=serial, call=call, **fields)


class DatabasePeer(Peer):
    """`Q id ms length`, a body, and CR LF; `answers` gets the id and what writes its reply."""

    def __init__(self, answers: Callable[[str, Callable[[bytes], None]], None]) -> None:
        self.answers, self.rest = answers, b""

    def data_received(self, data: bytes) -> None:
        self.rest += data
        while b"\r\n" in self.rest:
            head, _, after = self.rest.partition(b"\r\n")
            words = head.split()
            if words[0] == b"X":
                self.rest = after
                continue
            length = int(words[3])
            if len(after) < length + 2:
                return
            name, self.rest = words[1].decode(), after[length + 2 :]
            self.answers(name, self.reply(words[1]))

    def reply(self, name: bytes) -> Callable[[bytes], None]:
        return lambda rows: self.write(b"%b ROWS %d\r\n%b\r\n" % (name, len(rows), rows))


class RegistryPeer(Peer):
    """Answers every report with 204; `said` gets the server's name and state."""

    def __init__(self, said: Said) -> None:
        self.said, self.http = said, h11.Connection(h11.SERVER)
        self.target, self.body = "", b""

    def data_received(self, data: bytes) -> None:
        self.http.receive_data(data)
        while True:
            event = self.http.next_event()
            if isinstance(event, h11.Request):
                self.target, self.body = event.target.decode(), b""
            elif isinstance(event, h11.Data):
                self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.said(self.target.rpartition("/")[2], json.loads(self.body)["state"])
                answer = h11.Response(status_code=204, headers=[])
                self.write(
                    (self.http.send(answer) or b"") + (self.http.send(h11.EndOfMessage()) or b"")
                )
                if self.http.our_state is h11.DONE:
                    self.http.start_next_cycle()
            else:
                return


class GatewayPeer(Peer):
    """One connection of a gateway: MessagePack-RPC. `said` gets message number, kind, and an answer's
    parts.
    """

    def __init__(self, said: Callable[..., None], lost: Callable[["GatewayPeer"], None]) -> None:
        self.said, self.gone = said, lost
        self.unpacker = msgpack.Unpacker(raw=False)
        self.pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
        self.message = 0
        self.open: dict[int, Any] = {}
        self.draining = False

    def data_received(self, data: bytes) -> None:
        self.unpacker.feed(data)
        for frame in self.unpacker:
            match frame:
                case [1, message, None, [body, dict(fields)]]:
                    self.said(self, message, "served", body, fields)
                case [1, message, [str(error), dict(fields)], None]:
                    self.said(
                        self, message, "rejected" if error == "TryLater" else "failed", b"", fields
                    )
                case [2, "draining", _]:
                    self.draining = True
                    self.close_if_over()

    def close_if_over(self) -> None:
        if self.draining and not self.open and self.transport is not None:
            self.transport.close()

    def task(self, held: Any, stage: str, fields: dict[str, str], body: bytes) -> int:
        self.message += 1
        self.open[self.message] = held
        self.write(self.pack([0, self.message, stage, [fields, body]]))
        return self.message

    def cancel(self, message: int) -> None:
        self.write(self.pack([2, "cancelRequest", [message]]))

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.gone(self)


def unblob(told: dict[str, Any]) -> bytes:
    return b64decode(told.get("blob") or "")
