"""The router's connections to nodes: MessagePack-RPC as spoken by gateways, dialed by the router."""

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

MAX_FRAME_BYTES = 16 * 1024  # a result has at most 4 KiB
# Bytes that a node may leave unread: 32 requests of 2 KiB with their fields, and a reserve.
MAX_UNREAD_BYTES = 256 * 1024

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack
ENCODERS: Encoders = {
    ForwardedRequest: lambda message: pack(
        [0, message.message_id, message.class_name, [message.fields, message.body]]
    ),
    ForwardedCancel: lambda message: pack([2, "cancelRequest", [message.message_id]]),
}


class NodeReader:
    """Decodes a node's answers and notifications and delivers them as events.

    Args:
        deliver: Takes the events.
        connection: The name of the connection.
    """

    def __init__(self, deliver: Deliver, connection: str) -> None:
        self.deliver, self.connection = deliver, connection
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=8 * MAX_FRAME_BYTES,
            max_str_len=MAX_FRAME_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
            max_array_len=64,
            max_map_len=64,
            max_ext_len=0,
            unicode_errors="surrogateescape",
        )

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes. Raises ValueError on a violation of the protocol."""
        try:
            self.unpacker.feed(data)
            for frame in self.unpacker:
                self.on_frame(frame)
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise ValueError(f"{type(error).__name__} {error}"[:200]) from None
        return False

    def on_frame(self, frame: Any) -> None:
        """Delivers one message. Raises ValueError if the message is unknown."""
        match frame:
            case [1, int(message_id), None, [bytes(body), dict(fields)]]:
                self.deliver_answer(message_id, "served", body, fields)
            case [1, int(message_id), ["TryLater", dict(fields)], None]:
                self.deliver_answer(message_id, "rejected", b"", fields)
            case [1, int(message_id), [str(), dict(fields)], None]:
                self.deliver_answer(message_id, "failed", b"", fields)
            case [2, "draining", [*_]]:
                self.deliver(NodeDraining(self.connection))
            case [2, str(), [*_]]:
                self.deliver(ProblemFound("notifications_skipped"))
            case _:
                raise ValueError("not an answer or notification of MessagePack-RPC")

    def deliver_answer(
        self, message_id: int, kind: str, body: bytes, fields: dict[Any, Any]
    ) -> None:
        """Delivers an answer with those of its fields that are text."""
        self.deliver(NodeAnswered(self.connection, message_id, kind, body, text_fields(fields)))


def text_fields(fields: dict[Any, Any]) -> dict[str, str]:
    """Returns the fields whose name and value are text."""
    return {
        name: text
        for name, text in fields.items()
        if isinstance(name, str) and isinstance(text, str)
    }


class NodeDialer:
    """Dials nodes at the addresses that the cell map has for them.

    Args:
        hub: The hub of the router.
        group: Runs the connections.
        address: Returns the address of a node; raises LookupError for an unknown one.
    """

    def __init__(
        self, hub: Hub[Router], group: TaskGroup, address: Callable[[str], tuple[str, int]]
    ) -> None:
        self.hub, self.group, self.address = hub, group, address

    def dial(self, connection: str, after_ms: float) -> None:
        """Dials the node that the connection's name ends with, after a delay."""
        node = connection.split("-", 2)[2]
        try:
            address = self.address(node)
        except (LookupError, ValueError):
            address = ("127.0.0.1", 0)  # connecting to port 0 is refused, as by a stopped node
        protocol = DialedProtocol(ENCODERS, NodeReader, MAX_UNREAD_BYTES)
        Dialer(self.hub, self.group, address, protocol).dial(connection, after_ms)
