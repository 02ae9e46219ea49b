"""Reads batches from standard input and writes the reply to each to standard output."""

import sys
from typing import BinaryIO

from pumicenotch.adapter.codec import CLOCK, FRAME_LENGTH, FrameDecodeError
from pumicenotch.adapter.host import Host


def read_exactly(source: BinaryIO, size: int, what: str, batch: int) -> bytes:
    """Return so many bytes.

    Raises:
        FrameDecodeError: The input ends before.
    """
    data = source.read(size)
    if len(data) < size:
        raise FrameDecodeError(f"truncated {what} of batch {batch}: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends.

    Raises:
        FrameDecodeError: A batch cannot be read.
        InvalidStartValueError: An instance's start values cannot be read.
    """
    host = Host()
    batch = 0
    while first := source.read(1):
        batch += 1
        rest = read_exactly(source, FRAME_LENGTH.size - 1, "length", batch)
        (length,) = FRAME_LENGTH.unpack(first + rest)
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
