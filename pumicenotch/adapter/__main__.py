"""Reads batches from standard input and writes the reply to each to standard output."""

import sys
from typing import BinaryIO

from pumicenotch.adapter.codec import CLOCK, FRAME_LENGTH, FrameDecodeError
from pumicenotch.adapter.host import Host


def read_exactly(source: BinaryIO, size: int, what: str, batch: int) -> bytes:
    """Returns exactly `size` bytes of the input.

    Args:
        source: the input.
        size: the number of bytes.
        what: what the bytes are, for the error message.
        batch: the number of the batch, for the error message.

    Raises:
        FrameDecodeError: The input ends earlier.
    """
    data = source.read(size)
    if len(data) < size:
        raise FrameDecodeError(f"truncated {what} of batch {batch}: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers every batch until the input ends.

    Raises:
        FrameDecodeError: A batch is invalid.
        InvalidStartValueError: The start values of an instance are invalid.
    """
    host = Host()
    batch = 0
    while first_byte := source.read(1):
        batch += 1
        other_bytes = read_exactly(source, FRAME_LENGTH.size - 1, "length", batch)
        (length,) = FRAME_LENGTH.unpack(first_byte + other_bytes)
        body = read_exactly(source, length, "frame", batch)
        if length < CLOCK.size:
            raise FrameDecodeError(f"frame of batch {batch} has no clock")
        (clock_us,) = CLOCK.unpack_from(body)
        sink.write(host.answer(clock_us, body[CLOCK.size :]))
        sink.flush()


if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:
        sys.exit(f"pumicenotch: {error}")
