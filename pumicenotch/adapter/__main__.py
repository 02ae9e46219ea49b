"""Reads batches from standard input and answers each: one control per instance, nothing shared."""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import BinaryIO

from pumicenotch import start
from pumicenotch.adapter import codec
from pumicenotch.control import AdmissionController


class Host:
    def __init__(self) -> None:
        self.reply = codec.Reply()
        self.instances: dict[int, tuple[AdmissionController, codec.Encoder]] = {}

    def answer(self, clock_us: int, frame: bytes) -> bytes:
        now = clock_us / 1000.0
        self.reply.records.clear()
        self.reply.who = who = None
        for name, arguments in codec.events(frame):
            if name == "for":
                (who,) = arguments
            elif who is None:
                raise codec.FrameDecodeError(f"event {name} before any instance was named")
            elif name == "attach":
                encoder = codec.Encoder(who, self.reply)
                seed, text = arguments
                settings = start.controller_settings(start.parse_lines(text))
                with faults(encoder):
                    self.instances[who] = (
                        AdmissionController(encoder, now, settings, seed),
                        encoder,
                    )
            elif name == "crash_now":
                self.instances.pop(who, None)
            elif who not in self.instances:
                raise codec.FrameDecodeError(f"event {name} for unknown instance {who}")
            else:
                control, encoder = self.instances[who]
                with faults(encoder):
                    getattr(control, name)(now, *arguments)
        return codec.LENGTH.pack(len(self.reply.records)) + self.reply.records


@contextmanager
def faults(encoder: codec.Encoder) -> Iterator[None]:
    """An exception in the decisions goes out as a fault with its text."""
    try:
        yield
    except Exception as error:
        encoder.fault(f"{type(error).__name__}: {error}")


def whole(source: BinaryIO, size: int, what: str, batch: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise codec.FrameDecodeError(
            f"truncated {what} of batch {batch}: {len(data)} of {size} bytes"
        )
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    host, batch = Host(), 0
    while first := source.read(1):
        batch += 1
        (length,) = codec.LENGTH.unpack(
            first + whole(source, codec.LENGTH.size - 1, "length", batch)
        )
        body = whole(source, length, "frame", batch)
        if length < 8:
            raise codec.FrameDecodeError(f"frame of batch {batch} has no clock")
        (clock_us,) = codec.HANDLE.unpack_from(body)
        sink.write(host.answer(clock_us, body[8:]))
        sink.flush()


if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except ValueError as error:
        sys.exit(f"pumicenotch: {error}")
