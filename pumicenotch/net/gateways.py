"""Encodes and decodes the gateway protocol, which is MessagePack-RPC."""

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

# Well above any valid frame: a body has at most 2 KiB and the fields have some hundred bytes.
MAX_FRAME_BYTES = 8 * 1024
# Bytes decoded at once. They hold a few requests, so that a connection at full speed does not delay
# the other connections.
MAX_READ_BYTES = 8 * 1024
MAX_ITEMS = 64  # Items in one array or map.
# Frames decoded in one turn of the event loop, so that a connection with very many small frames
# does not delay the others. A connection may have this number of requests open.
MAX_FRAMES_PER_TURN = 32
# A longer incomplete frame is not decoded from its first byte again with each piece that arrives.
MAX_REPEATED_BYTES = 512
FINDER_BUFFER_BYTES = 1024  # At first; it grows with the incomplete frame.
MAX_ERROR_LENGTH = 200
# Message types, the first item of a frame.
RESPONSE = 1
NOTIFICATION = 2
SMALL_HINT = 0.01  # Below this value, four decimals would leave fewer than two significant digits.
MIN_HINT = 1e-9  # The smallest positive value with the nine decimals of a small hint.
MIN_RETRY_AFTER_MS = 0.5  # A shorter time would round to 0.

pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack


def format_hint(hint: float) -> str:
    """Formats a load hint; the text is "0.0000" only if the hint is 0.

    When very many callers share a credit, each one's share is small. A share rounded to 0 would
    stop all callers from sending.
    """
    return f"{hint:.4f}" if hint == 0.0 or hint >= SMALL_HINT else f"{max(hint, MIN_HINT):.9f}"


def hint_fields(hint: float | None) -> dict[str, str]:
    """Returns the hint field that every response carries, if there is a hint."""
    return {} if hint is None else {"hint": format_hint(hint)}


def encode_served(message: RequestServed) -> bytes:
    """Encodes the response to a request that was served."""
    result = [message.result, hint_fields(message.load_hint)]
    return pack([RESPONSE, message.message_id, None, result])


def encode_failed(message: RequestFailed) -> bytes:
    """Encodes the response to a request that failed."""
    error = ["Failed", hint_fields(message.load_hint)]
    return pack([RESPONSE, message.message_id, error, None])


def encode_rejected(message: RequestRejected) -> bytes:
    """Encodes the response to a request that was rejected."""
    fields = hint_fields(message.load_hint)
    if message.retry_after_ms >= MIN_RETRY_AFTER_MS:
        fields["backoff"] = str(round(message.retry_after_ms))
    if message.do_not_retry:
        fields["final"] = "1"
    if message.cell_reason:
        fields["cell"] = message.cell_reason
    return pack([RESPONSE, message.message_id, ["TryLater", fields], None])


def encode_health(message: HealthReply) -> bytes:
    """Encodes the response to a health check."""
    result = [message.healthy, hint_fields(message.load_hint)]
    return pack([RESPONSE, message.message_id, None, result])


def encode_drain_notice(_: DrainNotice) -> bytes:
    """Encodes the notification that the server is draining and accepts no more requests."""
    return pack([NOTIFICATION, "draining", []])


ENCODERS: Encoders = {
    RequestServed: encode_served,
    RequestFailed: encode_failed,
    RequestRejected: encode_rejected,
    HealthReply: encode_health,
    DrainNotice: encode_drain_notice,
}


def new_unpacker(buffer_bytes: int = MAX_READ_BYTES + MAX_FRAME_BYTES) -> msgpack.Unpacker:
    """Returns a decoder that refuses what no valid frame has, as soon as its head says so."""
    return msgpack.Unpacker(
        read_size=buffer_bytes,
        max_buffer_size=MAX_READ_BYTES + MAX_FRAME_BYTES,
        max_str_len=MAX_FRAME_BYTES,
        max_bin_len=MAX_FRAME_BYTES,
        max_array_len=MAX_ITEMS,
        max_map_len=MAX_ITEMS,
        max_ext_len=0,
        unicode_errors="surrogateescape",
    )


class GatewayReader:
    """Decodes one gateway's frames into events.

    Args:
        hub: Receives the events.
        connection_id: Identifies the gateway's connection in the events.
    """

    def __init__(self, hub: Hub[Any], connection_id: int) -> None:
        self.deliver = hub.deliver
        self.unix_offset = hub.clock.unix_offset
        self.connection_id = connection_id
        self.undecoded = b""
        # Looks for the end of a long incomplete frame without decoding its items. A connection
        # keeps no other decoding state between reads.
        self.end_finder: msgpack.Unpacker | None = None

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes, up to `MAX_FRAMES_PER_TURN` frames.

        Returns:
            Whether further frames may be complete, which `feed(b"")` decodes.

        Raises:
            ValueError: The bytes are not MessagePack-RPC, or a frame exceeds a limit.
        """
        self.undecoded += data
        try:
            if self.end_finder is not None and not self._finds_end(self.end_finder, data):
                is_complete = False
            else:
                is_complete = self._decode_frames()
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            raise ValueError(f"{type(error).__name__} {error}"[:MAX_ERROR_LENGTH]) from None
        if not is_complete and len(self.undecoded) > MAX_FRAME_BYTES:
            raise ValueError(f"frame exceeds the limit of {MAX_FRAME_BYTES} bytes")
        return is_complete

    def _decode_frames(self) -> bool:
        """Decodes one turn's frames; returns whether the rest may hold complete ones."""
        self.end_finder = None
        unpacker = new_unpacker()
        unpacker.feed(self.undecoded)
        frames_end = 0
        frame_count = 0
        for frame in unpacker:
            frames_end = unpacker.tell()
            frame_count += 1
            self._read_frame(frame)
            if frame_count == MAX_FRAMES_PER_TURN:
                break
        self.undecoded = self.undecoded[frames_end:]
        if frame_count == MAX_FRAMES_PER_TURN:
            return bool(self.undecoded)
        if len(self.undecoded) > MAX_REPEATED_BYTES:
            self.end_finder = new_unpacker(FINDER_BUFFER_BYTES)
            self._finds_end(self.end_finder, self.undecoded)
        return False

    @staticmethod
    def _finds_end(end_finder: msgpack.Unpacker, data: bytes) -> bool:
        try:
            end_finder.feed(data)
            end_finder.skip()
        except msgpack.OutOfData:
            return False
        return True

    def _read_frame(self, frame: Any) -> None:
        match frame:
            case [0, bool(), *_] | [2, "cancelRequest", [bool()]]:
                raise ValueError("not a MessagePack-RPC message")
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
                raise ValueError("not a MessagePack-RPC message")

    def _deliver_request(
        self, message_id: int, class_name: str, fields: dict[Any, Any], body: Any
    ) -> None:
        self.deliver(
            RequestReceived(
                self.connection_id, message_id, self.unix_offset(), class_name, fields, body
            )
        )
