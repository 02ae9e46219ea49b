"""Types, encoders and decoder of the frames on peer connections, which are MessagePack-RPC."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgpack

from pumicenotch.errors import InputError
from pumicenotch.net.outbox import Encoders

MAX_ARRAY_LENGTH = 65_536
MAX_MAP_LENGTH = 4096
MAX_ERROR_LENGTH = 200  # Characters kept of the decoder's error text.

# Message types of MessagePack-RPC, the first item of a frame.
REQUEST_KIND = 0
RESPONSE_KIND = 1
NOTIFICATION_KIND = 2

HELLO_METHOD = "hello"
REFUSAL_METHOD = "refused"
PROBE_VERB = "alive"
PROBE_REQUEST_ID = 0  # Request id of all probes. Nodes number their requests from 1.


class Hello(NamedTuple):
    """The first message of a dialing process. An operator's command sends only the fleet."""

    fleet: str
    name: str
    process_id: str
    address: str


class Notice(NamedTuple):
    """A one-way message."""

    method: str
    params: Any


class Request(NamedTuple):
    """A request, answered by `Result` or `ErrorResponse` on the same connection."""

    request_id: int
    verb: str
    args: Any


class Result(NamedTuple):
    """The response to a request that succeeded."""

    request_id: int
    result: Any


class ErrorResponse(NamedTuple):
    """The response to a request that failed: a code, a text and a value that the code defines."""

    request_id: int
    error: tuple[str, str, Any]


class Refusal(NamedTuple):
    """The reason for refusing a hello, sent before the connection is closed."""

    reason: str


PeerMessage = Hello | Notice | Request | Result | ErrorResponse | Refusal
PROBE = Request(PROBE_REQUEST_ID, PROBE_VERB, ())

_pack: Callable[[Any], bytes] = msgpack.Packer(autoreset=True).pack


def _encode_hello(message: Hello) -> bytes:
    return _pack([NOTIFICATION_KIND, HELLO_METHOD, list(message)])


def _encode_notice(message: Notice) -> bytes:
    return _pack([NOTIFICATION_KIND, message.method, message.params])


def _encode_request(message: Request) -> bytes:
    return _pack([REQUEST_KIND, message.request_id, message.verb, message.args])


def _encode_result(message: Result) -> bytes:
    return _pack([RESPONSE_KIND, message.request_id, None, message.result])


def _encode_error(message: ErrorResponse) -> bytes:
    return _pack([RESPONSE_KIND, message.request_id, message.error, None])


def _encode_refusal(message: Refusal) -> bytes:
    return _pack([NOTIFICATION_KIND, REFUSAL_METHOD, [message.reason]])


ENCODERS: Encoders = {
    Hello: _encode_hello,
    Notice: _encode_notice,
    Request: _encode_request,
    Result: _encode_result,
    ErrorResponse: _encode_error,
    Refusal: _encode_refusal,
}


class FrameDecodeError(InputError):
    """The bytes are not MessagePack, or a frame is not a valid message."""


class DecodedFrame(NamedTuple):
    """The decoded value of one MessagePack frame."""

    content: Any
    size_bytes: int  # Bytes of the frame in the last read; earlier reads are not counted.


class FrameDecoder:
    """Decodes frames of a limited size from the bytes of one connection."""

    def __init__(self, max_frame_bytes: int) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=2 * max_frame_bytes,
            max_str_len=max_frame_bytes,
            max_bin_len=max_frame_bytes,
            max_array_len=MAX_ARRAY_LENGTH,
            max_map_len=MAX_MAP_LENGTH,
            max_ext_len=0,
            use_list=False,
        )

    def decode(self, data: bytes) -> list[DecodedFrame]:
        """Returns the frames that the received bytes complete.

        Raises:
            FrameDecodeError: The bytes are not MessagePack, or a frame is too large.
        """
        frames = []
        try:
            self._unpacker.feed(data)
            start = self._unpacker.tell()
            for content in self._unpacker:
                end = self._unpacker.tell()
                frames.append(DecodedFrame(content, end - start))
                start = end
        except (msgpack.UnpackException, ValueError, TypeError) as error:
            problem = f"{type(error).__name__} {error}"[:MAX_ERROR_LENGTH]
            raise FrameDecodeError(problem) from None
        return frames
