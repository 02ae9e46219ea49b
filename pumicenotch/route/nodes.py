"""The nodes' side of the router: MessagePack-RPC as a gateway speaks it, on connections that the router
dials.
"""

from collections.abc import Callable
from typing import Any

import msgpack
from anyio.abc import TaskGroup

from pumicenotch.net.dial import Links, Put
from pumicenotch.net.hub import Hub
from pumicenotch.net.link import Frame

FRAME_MOST = 16 * 1024  # a result has 4 KiB at the most
UNREAD = (
    256 * 1024
)  # that a node may leave unread of 32 tasks of 2 KiB and their fields, with some to spare

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
FRAMES: dict[str, Frame] = {
    "task": lambda message, stage, fields, body: pack([0, message, stage, [fields, body]]),
    "cancel": lambda message: pack([2, "cancelRequest", [message]]),
}


class Reader:
    def __init__(self, put: Put, link: str) -> None:
        self.put, self.link = put, link
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
                self.put("returned", self.link, message, "served", body, strings(fields))
            case [1, int(message), ["TryLater", dict(fields)], None]:
                self.put("returned", self.link, message, "rejected", b"", strings(fields))
            case [1, int(message), [str(), dict(fields)], None]:
                self.put("returned", self.link, message, "failed", b"", strings(fields))
            case [2, "draining", [*_]]:
                self.put("drains", self.link)
            case [2, str(), [*_]]:
                self.put("met", "notifications_skipped")
            case _:
                raise ValueError("no answer of MessagePack-RPC")


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
        self, hub: Hub, group: TaskGroup, address: Callable[[str], tuple[str, int]]
    ) -> None:
        self.hub, self.group, self.address = hub, group, address

    def dial(self, link: str, after_ms: float) -> None:
        node = link.split("-", 2)[2]
        try:
            address = self.address(node)
        except (LookupError, ValueError):
            address = ("127.0.0.1", 0)  # refused, as a node that is not there
        Links(self.hub, self.group, address, FRAMES, Reader, UNREAD).dial(link, after_ms)
