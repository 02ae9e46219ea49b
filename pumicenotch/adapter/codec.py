"""The frames of the wire: events are decoded straight into calls, actions encoded as they come."""

import struct
from collections.abc import Callable, Iterator
from typing import Any

from pumicenotch.errors import InputError
from pumicenotch.interface import IncomingRequest, Outcome

OUTCOMES = {
    0: Outcome.OK,
    13: Outcome.ERROR,
    8: Outcome.REJECTED,
    4: Outcome.TIMEOUT,
    14: Outcome.UNREACHABLE,
    10: Outcome.RESET,
    1: Outcome.CANCELLED,
    9: Outcome.NOT_STARTED,
}

LENGTH = struct.Struct(">I")
CODE = struct.Struct(">H")
FOR = struct.Struct(">H")
ATTACH = struct.Struct(">QI")
WORK_ITEM = struct.Struct(">QIIfBQQQHIIf")
HANDLE = struct.Struct(">Q")
RESULT = struct.Struct(">QBI")
DEP_REPLY = struct.Struct(">QIB")
RING = struct.Struct(">QB")

OUT_BY = struct.Struct(">HH")
OUT_HANDLE = struct.Struct(">HQ")
OUT_SHED = struct.Struct(">HQBI")
OUT_HANDLE_TIME = struct.Struct(">HQI")
OUT_READINESS = struct.Struct(">HBB")
OUT_STAMP = struct.Struct(">Hf")
OUT_IDLE = struct.Struct(">HI")
OUT_WAKE = struct.Struct(">HIQ")
OUT_TEXT = struct.Struct(">HH")


class FrameDecodeError(InputError):
    """A frame that cannot be read; the text says what and where."""


def us(ms: float) -> int:
    return min(max(0, round(ms * 1000.0)), 0xFFFFFFFF)


class Reply:
    """The reply in the making, and the instance that its latest records belong to."""

    def __init__(self) -> None:
        self.records = bytearray()
        self.who: int | None = None


class Encoder:
    """The actions of one instance, written behind a `by` record wherever another's came before."""

    def __init__(self, who: int, reply: Reply) -> None:
        self.who = who
        self.reply = reply
        self.by = OUT_BY.pack(1150, who)

    def write(self, record: bytes) -> None:
        if self.reply.who != self.who:
            self.reply.who = self.who
            self.reply.records += self.by
        self.reply.records += record

    def start(self, request_id: int) -> None:
        self.write(OUT_HANDLE.pack(1000, request_id))

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        self.write(OUT_SHED.pack(1010, request_id, do_not_retry, us(retry_after_ms)))

    def fail(self, request_id: int) -> None:
        self.write(OUT_HANDLE.pack(1020, request_id))

    def cancel_run(self, request_id: int) -> None:
        self.write(OUT_HANDLE.pack(1030, request_id))

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        self.write(OUT_HANDLE_TIME.pack(1040, request_id, us(timeout_ms)))

    def skip_dependency(self, request_id: int) -> None:
        self.write(OUT_HANDLE.pack(1050, request_id))

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        self.write(OUT_HANDLE_TIME.pack(1060, request_id, us(ttl_ms)))

    def drop_key(self, request_id: int) -> None:
        self.write(OUT_HANDLE.pack(1070, request_id))

    def replay_result(self, request_id: int) -> None:
        self.write(OUT_HANDLE.pack(1080, request_id))

    def set_health(self, healthy: bool, cached: bool) -> None:
        self.write(OUT_READINESS.pack(1090, healthy, cached))

    def report_load(self, value: float) -> None:
        self.write(OUT_STAMP.pack(1100, value))

    def set_idle_timeout(self, timeout_ms: float) -> None:
        self.write(OUT_IDLE.pack(1110, us(timeout_ms)))

    def schedule_tick(self, after_ms: float) -> None:
        self.write(OUT_WAKE.pack(1120, us(after_ms), 0))

    def log(self, text: str) -> None:
        self.text(1130, text)

    def fault(self, text: str) -> None:
        self.text(1140, text)

    def text(self, code: int, text: str) -> None:
        data = text.encode()[:0xFFFF]
        self.write(OUT_TEXT.pack(code, len(data)) + data)


def events(frame: bytes) -> Iterator[tuple[str, tuple[Any, ...]]]:
    """Each record of a batch: the name of the call it becomes, and that call's arguments after the time."""
    at, end = 0, len(frame)
    while at < end:
        start = at
        try:
            (code,) = CODE.unpack_from(frame, at)
            decode = DECODERS.get(code)
            if decode is None:
                raise FrameDecodeError(f"unknown event code {code} at byte {start} of the batch")
            name, arguments, at = decode(frame, at + CODE.size)
        except (struct.error, UnicodeDecodeError):
            raise FrameDecodeError(
                f"truncated or malformed event at byte {start} of the batch"
            ) from None
        yield name, arguments


Decoded = tuple[str, tuple[Any, ...], int]


def plain(name: str, form: struct.Struct) -> Callable[[bytes, int], Decoded]:
    def decode(frame: bytes, at: int) -> Decoded:
        return name, form.unpack_from(frame, at), at + form.size

    return decode


def counted(frame: bytes, at: int, length: int) -> bytes:
    if at + length > len(frame):
        raise struct.error("count past the end")
    return frame[at : at + length]


def attach(frame: bytes, at: int) -> Decoded:
    seed, length = ATTACH.unpack_from(frame, at)
    at += ATTACH.size
    return "attach", (seed, counted(frame, at, length).decode()), at + length


def work_item(frame: bytes, at: int) -> Decoded:
    task, work, waited, _, flags, limit, _, same, stage, _, tenant, kb = WORK_ITEM.unpack_from(
        frame, at
    )
    hint = work / 1000.0 if flags & 1 else None
    incoming = IncomingRequest(
        request_id=task,
        class_index=stage,
        tenant_index=tenant,
        waited_ms=waited / 1000.0,
        expires_at=limit / 1000.0 or None,
        estimated_work=hint,
        memory_kb=kb,
        original_id=same or None,
    )
    return "on_request", (incoming,), at + WORK_ITEM.size


def outcome(code: int, at: int) -> Outcome:
    if code not in OUTCOMES:
        raise FrameDecodeError(f"unknown outcome {code} at byte {at} of the batch")
    return OUTCOMES[code]


def result(frame: bytes, at: int) -> Decoded:
    task, code, _ = RESULT.unpack_from(frame, at)
    return "on_run_finished", (task, outcome(code, at)), at + RESULT.size


def dep_reply(frame: bytes, at: int) -> Decoded:
    task, _, code = DEP_REPLY.unpack_from(frame, at)
    return "on_dependency_finished", (task, outcome(code, at)), at + DEP_REPLY.size


def retire_soon(frame: bytes, at: int) -> Decoded:
    (stop,) = HANDLE.unpack_from(frame, at)
    return "start_draining", (stop / 1000.0,), at + HANDLE.size


def ring(frame: bytes, at: int) -> Decoded:
    _, count = RING.unpack_from(frame, at)
    at += RING.size
    values = struct.unpack(f">{count}f", counted(frame, at, 4 * count))
    return "on_tick", (values,), at + 4 * count


DECODERS: dict[int, Callable[[bytes, int], Decoded]] = {
    1000: ring,
    1010: plain("on_cancel", HANDLE),
    1020: plain("crash_now", struct.Struct(">")),
    1030: plain("for", FOR),
    1040: result,
    1050: attach,
    1060: retire_soon,
    1070: dep_reply,
    1080: work_item,
    1090: plain("on_dependency_needed", HANDLE),
}
