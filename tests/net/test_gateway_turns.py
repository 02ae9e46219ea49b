"""How much work one connection's input costs, in one turn of the event loop and in all."""

from typing import Any

import msgpack
import pytest

from pumicenotch.net.clock import Clock
from pumicenotch.net.gateways import MAX_FRAME_BYTES, MAX_FRAMES_PER_TURN, GatewayReader

PIECE_BYTES = 10
# The bytes handed to decoders, as a multiple of a frame's: once to find its end, once to decode it,
# and again and again while it is short.
MAX_DECODED_MULTIPLE = 5
FRAME = msgpack.packb([0, 1, "read", [{"rid": "a" * 16}, [[[0] * 60] * 32] * 4]])


class RecordingHub:
    def __init__(self) -> None:
        self.events: list[Any] = []
        self.deliver = self.events.append
        self.clock = Clock()


def new_reader() -> tuple[RecordingHub, GatewayReader]:
    hub = RecordingHub()
    return hub, GatewayReader(hub, 1)  # type: ignore[arg-type]


# Guards against a client whose many small messages on one connection delay all others (picture b).
def test_a_turn_decodes_a_bounded_number_of_frames() -> None:
    hub, reader = new_reader()
    notification = msgpack.packb([2, "x", []])
    is_unfinished = reader.feed(100 * notification + notification[:2])
    assert len(hub.events) == MAX_FRAMES_PER_TURN
    turns = 1
    while is_unfinished:
        before = len(hub.events)
        is_unfinished = reader.feed(b"")
        assert len(hub.events) - before <= MAX_FRAMES_PER_TURN
        turns += 1
    assert (len(hub.events), turns) == (100, 4)
    assert not reader.feed(notification[2:])
    assert len(hub.events) == 101


# Guards against work that grows with the square of a frame's length when it comes in small pieces (picture b).
def test_the_work_for_a_frame_in_pieces_grows_with_its_length(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decoded_bytes = 0

    class CountingUnpacker(msgpack.Unpacker):  # type: ignore[misc]
        def feed(self, data: bytes) -> None:
            nonlocal decoded_bytes
            decoded_bytes += len(data)
            super().feed(data)

    monkeypatch.setattr(msgpack, "Unpacker", CountingUnpacker)
    hub, reader = new_reader()
    assert 0.8 * MAX_FRAME_BYTES < len(FRAME) < MAX_FRAME_BYTES
    for start in range(0, len(FRAME), PIECE_BYTES):
        assert not hub.events
        reader.feed(FRAME[start : start + PIECE_BYTES])
    assert len(hub.events) == 1
    assert decoded_bytes <= MAX_DECODED_MULTIPLE * len(FRAME)


def test_a_frame_over_its_limit_is_refused_there() -> None:
    _, reader = new_reader()
    too_long = msgpack.packb([[[0] * 64] * 64] * 4)
    for start in range(0, MAX_FRAME_BYTES - PIECE_BYTES, PIECE_BYTES):
        reader.feed(too_long[start : start + PIECE_BYTES])
    with pytest.raises(ValueError, match="frame exceeds the limit"):
        reader.feed(too_long[start + PIECE_BYTES : start + 4 * PIECE_BYTES])


# Guards against items that are decoded although a frame's head claims more than any valid one has (picture a).
@pytest.mark.parametrize("head", [b"\xdf\x00\x0f\x42\x40", b"\xdd\x00\x0f\x42\x40"])
def test_a_head_that_claims_too_much_is_refused_before_its_items(head: bytes) -> None:
    _, reader = new_reader()
    with pytest.raises(ValueError, match="exceeds max_"):
        reader.feed(b"\x94\x00\x01\xa4read\x92" + head)
