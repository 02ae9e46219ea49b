"""The nodes' side of the router: MessagePack-RPC as a gateway speaks it, on connections that the router
dials.
"""

from collections.abc import Callable
from typing import Any

import msgpack
from anyio.abc import TaskGroup

from pumicenotch.net.dialer import Deliver, DialedProtocol, Dialer
from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Encoders
from pumicenotch.route.decide import (
    ForwardedCancel,
    ForwardedRequest,
    NodeAnswered,
    NodeDraining,
    Router,
)
from pumicenotch.server.events import ProblemFound

FRAME_MOST = 16 * 1024  # a result has 4 KiB at the most
UNREAD = (
    256 * 1024
)  # that a node may leave unread of 32 tasks of 2 KiB and their fields, with some to spare

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
ENCODERS: Encoders = {
    ForwardedRequest: lambda message: pack(
        [0, message.message_id, message.class_name, [message.fields, message.body]]
    ),
    ForwardedCancel: lambda message: pack([2, "cancelRequest", [message.message_id]]),
}


class Reader:
    def __init__(self, deliver: Deliver, link: str) -> None:
        self.deliver, self.link = deliver, link
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=8 * FRAME_MOST,
            max_str_len=FRAME_MOST,
            max_bin_len=FRAME_MOST,
            max_array_len=64,
            max_map_len=64,
            max_ext_len=0,
            unicode_errors="surrogateescape",
        )

    def feed(self, data: bytes) -> None:
        try:
            self.unpacker.feed(data)
            for frame in self.unpacker:
                self.frame(frame)
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise ValueError(f"{type(error).__name__} {error}"[:200]) from None

    def frame(self, frame: Any) -> None:
        match frame:
            case [1, int(message), None, [bytes(body), dict(fields)]]:
                self.returned(message, "served", body, fields)
            case [1, int(message), ["TryLater", dict(fields)], None]:
                self.returned(message, "rejected", b"", fields)
            case [1, int(message), [str(), dict(fields)], None]:
                self.returned(message, "failed", b"", fields)
            case [2, "draining", [*_]]:
                self.deliver(NodeDraining(self.link))
            case [2, str(), [*_]]:
                self.deliver(ProblemFound("notifications_skipped"))
            case _:
                raise ValueError("no answer of MessagePack-RPC")

    def returned(self, message: int, kind: str, body: bytes, fields: dict[Any, Any]) -> None:
        self.deliver(NodeAnswered(self.link, message, kind, body, strings(fields)))


def strings(fields: dict[Any, Any]) -> dict[str, str]:
    return {
        name: text
        for name, text in fields.items()
        if isinstance(name, str) and isinstance(text, str)
    }


class NodeLinks:
    """Dials each node at the address that the map gives it; `address` raises LookupError for one it does not
    have.
    """

    def __init__(
        self, hub: Hub[Router], group: TaskGroup, address: Callable[[str], tuple[str, int]]
    ) -> None:
        self.hub, self.group, self.address = hub, group, address

    def dial(self, link: str, after_ms: float) -> None:
        node = link.split("-", 2)[2]
        try:
            address = self.address(node)
        except (LookupError, ValueError):
            address = ("127.0.0.1", 0)  # refused, as a node that is not there
        protocol = DialedProtocol(ENCODERS, Reader, UNREAD)
        Dialer(self.hub, self.group, address, protocol).dial(link, after_ms)
