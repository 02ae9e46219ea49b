"""The gateways' protocol: MessagePack-RPC, as encoders and a reader."""

from collections.abc import Callable
from typing import Any

import msgpack

from pumicenotch.net.hub import Hub
from pumicenotch.net.outbox import Encoders
from pumicenotch.server.events import (
    HealthCheckReceived,
    ProblemFound,
    RequestCancelled,
    RequestReceived,
)
from pumicenotch.server.messages import (
    DrainNotice,
    HealthReply,
    RequestFailed,
    RequestRejected,
    RequestServed,
)

MAX_FRAME_BYTES = 8 * 1024  # far above any frame: a body has 2 KiB, the fields some hundred bytes
# Taken at once: some requests, so that a connection at full speed keeps no other waiting for long.
MAX_READ_BYTES = 8 * 1024
MAX_ITEMS = 64  # of an array or a map
MAX_ERROR_LENGTH = 200
# The first item of a frame.
RESPONSE = 1
NOTIFICATION = 2
SMALL_HINT = 0.01  # below it four decimals would leave less than two digits
MIN_HINT = 1e-9  # above 0, as the nine decimals of a small one can express it
MIN_RETRY_AFTER_MS = 0.5  # below it the rounded time would be 0

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack


def format_hint(hint: float) -> str:
    """Writes a load hint, as "0.0000" only if it is 0.

    Of a credit that very many callers share, each has little, and told 0 none of them would send.
    """
    return f"{hint:.4f}" if hint == 0.0 or hint >= SMALL_HINT else f"{max(hint, MIN_HINT):.9f}"


def hint_fields(hint: float | None) -> dict[str, str]:
    """Returns the fields that go with every answer."""
    return {} if hint is None else {"hint": format_hint(hint)}


def encode_served(message: RequestServed) -> bytes:
    """Encodes the answer to a request that was served."""
    result = [message.result, hint_fields(message.load_hint)]
    return pack([RESPONSE, message.message_id, None, result])


def encode_failed(message: RequestFailed) -> bytes:
    """Encodes the answer to a request that failed."""
    error = ["Failed", hint_fields(message.load_hint)]
    return pack([RESPONSE, message.message_id, error, None])


def encode_rejected(message: RequestRejected) -> bytes:
    """Encodes the answer to a request that was rejected."""
    fields = hint_fields(message.load_hint)
    if message.retry_after_ms >= MIN_RETRY_AFTER_MS:
        fields["backoff"] = str(round(message.retry_after_ms))
    if message.do_not_retry:
        fields["final"] = "1"
    if message.cell_reason:
        fields["cell"] = message.cell_reason
    return pack([RESPONSE, message.message_id, ["TryLater", fields], None])


def encode_health(message: HealthReply) -> bytes:
    """Encodes the answer to a health check."""
    result = [message.healthy, hint_fields(message.load_hint)]
    return pack([RESPONSE, message.message_id, None, result])


def encode_drain_notice(_: DrainNotice) -> bytes:
    """Encodes the notification that no more requests are wanted."""
    return pack([NOTIFICATION, "draining", []])


ENCODERS: Encoders = {
    RequestServed: encode_served,
    RequestFailed: encode_failed,
    RequestRejected: encode_rejected,
    HealthReply: encode_health,
    DrainNotice: encode_drain_notice,
}


class GatewayReader:
    """Makes events of one gateway's frames.

    Args:
        hub: Where the events go.
        connection_id: The gateway's connection.
    """

    def __init__(self, hub: Hub[Any], connection_id: int) -> None:
        self.deliver = hub.deliver
        self.unix_offset = hub.clock.unix_offset
        self.connection_id = connection_id
        # Of a frame that is not complete: between reads a connection holds nothing else.
        self.incomplete = b""

    def feed(self, data: bytes) -> None:
        """Takes what has arrived; raises ValueError for what is no MessagePack-RPC."""
        data = self.incomplete + data
        frames_end = 0
        unpacker = msgpack.Unpacker(
            read_size=MAX_READ_BYTES + MAX_FRAME_BYTES,
            max_buffer_size=MAX_READ_BYTES + MAX_FRAME_BYTES,
            max_str_len=MAX_FRAME_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
            max_ext_len=0,
            unicode_errors="surrogateescape",
        )
        try:
            unpacker.feed(data)
            for frame in unpacker:
                frames_end = unpacker.tell()
                self._read_frame(frame)
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise ValueError(f"{type(error).__name__} {error}"[:MAX_ERROR_LENGTH]) from None
        self.incomplete = data[frames_end:]
        if len(self.incomplete) > MAX_FRAME_BYTES:
            raise ValueError(f"a frame of over {MAX_FRAME_BYTES} bytes")

    def _read_frame(self, frame: Any) -> None:
        match frame:
            case [0, bool(), *_] | [2, "cancelRequest", [bool()]]:
                raise ValueError("no message of MessagePack-RPC")
            case [0, int(message_id), "alive", [*_]]:
                self.deliver(HealthCheckReceived(self.connection_id, message_id))
            case [0, int(message_id), str(class_name), [dict(fields), body]]:
                self._deliver_request(message_id, class_name, fields, body)
            case [0, int(message_id), str(class_name), [*_]]:
                self._deliver_request(message_id, class_name, {}, None)
            case [2, "cancelRequest", [int(message_id)]]:
                self.deliver(RequestCancelled(self.connection_id, message_id))
            case [2, str(), [*_]]:
                self.deliver(ProblemFound("notifications_skipped"))
            case _:
                raise ValueError("no message of MessagePack-RPC")

    def _deliver_request(
        self, message_id: int, class_name: str, fields: dict[Any, Any], body: Any
    ) -> None:
        self.deliver(
            RequestReceived(
                self.connection_id, message_id, self.unix_offset(), class_name, fields, body
            )
        )
