"""Decodes the frames on peer connections into inputs of the hub.

`AcceptedPeer` reads accepted connections and `DialedPeer` reads dialed ones.
"""

from typing import TYPE_CHECKING, Any

from pumicenotch.fleet.member.voter_client import REFUSED
from pumicenotch.net.dialer import Deliver
from pumicenotch.net.peer_frames import (
    HELLO_METHOD,
    NOTIFICATION_KIND,
    PROBE_REQUEST_ID,
    PROBE_VERB,
    REFUSAL_METHOD,
    REQUEST_KIND,
    RESPONSE_KIND,
    ErrorResponse,
    FrameDecodeError,
    FrameDecoder,
    Hello,
    Result,
)
from pumicenotch.sender import Sender

if TYPE_CHECKING:
    from pumicenotch.net.peers import PeerHub

MAX_REQUEST_BYTES = 64 * 1024  # Enough for a request with 1,024 names.


class AcceptedPeer:
    """Reads an accepted connection: a hello first, then requests and notices."""

    def __init__(self, hub: "PeerHub", connection_id: int) -> None:
        self.hub = hub
        self.connection_id = connection_id
        self.decoder = FrameDecoder(hub.max_frame_bytes)
        self.sender: Sender | None = None

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes and handles the complete frames.

        Raises:
            FrameDecodeError: A frame is invalid, or the hello is refused.
        """
        for frame in self.decoder.decode(data):
            if self.sender is None:
                self.on_first_frame(frame.content)
            else:
                self.on_frame(self.sender, frame.content, frame.size_bytes)
        return False

    def on_first_frame(self, content: Any) -> None:
        """Checks the hello, which must be the first frame."""
        match content:
            case [kind, method, [str(fleet), str(name), str(process_id), str(address)]] if (
                kind == NOTIFICATION_KIND and method == HELLO_METHOD
            ):
                self.sender = Sender(name, process_id, address)
                self.hub.check_hello(self.connection_id, Hello(fleet, name, process_id, address))
            case _:
                raise FrameDecodeError("no hello first")

    def on_frame(self, sender: Sender, content: Any, size_bytes: int) -> None:
        """Handles a request or a notice."""
        match content:
            case [kind, int(request_id), str(verb), args] if kind == REQUEST_KIND:
                self.on_request(request_id, verb, args, size_bytes)
            case [kind, str(method), [*params]] if kind == NOTIFICATION_KIND and sender.name:
                self.hub.put("told", sender, method, tuple(params))
            case _:
                raise FrameDecodeError("frame is neither a request nor a notice")

    def on_request(self, request_id: int, verb: str, args: Any, size_bytes: int) -> None:
        """Answers a probe, refuses an oversized request, and passes other requests to the node."""
        has_args = isinstance(args, list | tuple)
        if verb == PROBE_VERB and has_args:
            self.hub.write(self.connection_id, Result(request_id, True))
        elif has_args and size_bytes <= MAX_REQUEST_BYTES:
            self.hub.put("asked", self.connection_id, request_id, verb, tuple(args))
        else:
            text = f"{verb}: {size_bytes} bytes: {MAX_REQUEST_BYTES} are allowed"
            error = ErrorResponse(request_id, (REFUSED, text, None))
            self.hub.write(self.connection_id, error)


class DialedPeer:
    """Reads the responses and refusals on a dialed connection."""

    def __init__(self, hub: "PeerHub", _: Deliver, connection: str) -> None:
        self.hub = hub
        self.connection = connection
        self.decoder = FrameDecoder(hub.max_frame_bytes)

    def feed(self, data: bytes) -> bool:
        """Decodes received bytes and handles the complete frames.

        Raises:
            FrameDecodeError: A frame is neither a response nor a refusal.
        """
        for frame in self.decoder.decode(data):
            self.on_frame(frame.content)
        return False

    def on_frame(self, content: Any) -> None:
        """Handles a response, or the refusal of this process's hello."""
        match content:
            case [kind, request_id, None, True] if (
                kind == RESPONSE_KIND and request_id == PROBE_REQUEST_ID
            ):
                self.hub.outbound.on_probe_answered(self.connection)
            case [kind, int(request_id), error, result] if kind == RESPONSE_KIND:
                self.hub.put("answered", request_id, error, result)
            case [kind, method, [str(reason)]] if (
                kind == NOTIFICATION_KIND and method == REFUSAL_METHOD
            ):
                text = f"{self.connection} refuses this process: {reason[:200]}"
                self.hub.count_problem("mates_refuse", text)
            case _:
                raise FrameDecodeError("frame is neither a response nor a refusal")
