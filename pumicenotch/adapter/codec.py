"""The simulator's wire: batches of events become typed messages, actions become records.

This is where the wire's codes and units are mapped to the program's own. Times are microseconds on
the wire and milliseconds in messages.
"""

import struct
from collections.abc import Callable, Iterator
from typing import NamedTuple

from pumicenotch.adapter.messages import (
    Attach,
    CancelRequest,
    Crash,
    DependencyFinished,
    DependencyNeeded,
    Event,
    RunFinished,
    SelectInstance,
    StartDraining,
    SubmitRequest,
    Tick,
)
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
HAS_ESTIMATE = 1  # flag of a work item

FRAME_LENGTH = struct.Struct(">I")
CLOCK = struct.Struct(">Q")
EVENT_CODE = struct.Struct(">H")
INSTANCE_ID = struct.Struct(">H")
HANDLE = struct.Struct(">Q")
ATTACH = struct.Struct(">QI")
WORK_ITEM = struct.Struct(">QIIfBQQQHIIf")
RESULT = struct.Struct(">QBI")
DEPENDENCY_REPLY = struct.Struct(">QIB")
RING = struct.Struct(">QB")
GAUGE_BYTES = 4

BY_RECORD = struct.Struct(">HH")
HANDLE_RECORD = struct.Struct(">HQ")
REJECT_RECORD = struct.Struct(">HQBI")
HANDLE_TIME_RECORD = struct.Struct(">HQI")
HEALTH_RECORD = struct.Struct(">HBB")
LOAD_RECORD = struct.Struct(">Hf")
TIME_RECORD = struct.Struct(">HI")
TICK_RECORD = struct.Struct(">HIQ")
TEXT_RECORD = struct.Struct(">HH")

START = 1000
REJECT = 1010
FAIL = 1020
CANCEL_RUN = 1030
CALL_DEPENDENCY = 1040
SKIP_DEPENDENCY = 1050
RETAIN_KEY = 1060
DROP_KEY = 1070
REPLAY_RESULT = 1080
SET_HEALTH = 1090
REPORT_LOAD = 1100
SET_IDLE_TIMEOUT = 1110
SCHEDULE_TICK = 1120
LOG = 1130
FAULT = 1140
BY = 1150

MAX_MICROSECONDS = 0xFFFFFFFF
MAX_TEXT_BYTES = 0xFFFF


class FrameDecodeError(InputError):
    """A frame that cannot be read; the text says what is wrong and at which byte."""


class Decoded(NamedTuple):
    """An event, and the offset of the byte after it."""

    event: Event
    end: int


def microseconds(milliseconds: float) -> int:
    """Return a time as the wire has it, within the wire's range."""
    return min(max(0, round(milliseconds * 1000.0)), MAX_MICROSECONDS)


class Reply:
    """The reply to a batch, and the instance to which its latest records belong."""

    def __init__(self) -> None:
        self.records = bytearray()
        self.instance_id: int | None = None

    def clear(self) -> None:
        """Begin the reply to another batch."""
        self.records.clear()
        self.instance_id = None


class Encoder:
    """Writes one instance's actions, behind its number wherever another's came before."""

    def __init__(self, instance_id: int, reply: Reply) -> None:
        self.instance_id = instance_id
        self.reply = reply
        self._by_record = BY_RECORD.pack(BY, instance_id)

    def _write(self, record: bytes) -> None:
        if self.reply.instance_id != self.instance_id:
            self.reply.instance_id = self.instance_id
            self.reply.records += self._by_record
        self.reply.records += record

    def start(self, request_id: int) -> None:
        """Write that action."""
        self._write(HANDLE_RECORD.pack(START, request_id))

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        """Write that action."""
        retry_after = microseconds(retry_after_ms)
        self._write(REJECT_RECORD.pack(REJECT, request_id, do_not_retry, retry_after))

    def fail(self, request_id: int) -> None:
        """Write that action."""
        self._write(HANDLE_RECORD.pack(FAIL, request_id))

    def cancel_run(self, request_id: int) -> None:
        """Write that action."""
        self._write(HANDLE_RECORD.pack(CANCEL_RUN, request_id))

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        """Write that action."""
        timeout = microseconds(timeout_ms)
        self._write(HANDLE_TIME_RECORD.pack(CALL_DEPENDENCY, request_id, timeout))

    def skip_dependency(self, request_id: int) -> None:
        """Write that action."""
        self._write(HANDLE_RECORD.pack(SKIP_DEPENDENCY, request_id))

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        """Write that action."""
        self._write(HANDLE_TIME_RECORD.pack(RETAIN_KEY, request_id, microseconds(ttl_ms)))

    def drop_key(self, request_id: int) -> None:
        """Write that action."""
        self._write(HANDLE_RECORD.pack(DROP_KEY, request_id))

    def replay_result(self, request_id: int) -> None:
        """Write that action."""
        self._write(HANDLE_RECORD.pack(REPLAY_RESULT, request_id))

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Write that action."""
        self._write(HEALTH_RECORD.pack(SET_HEALTH, healthy, cached))

    def report_load(self, value: float) -> None:
        """Write that action."""
        self._write(LOAD_RECORD.pack(REPORT_LOAD, value))

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Write that action."""
        self._write(TIME_RECORD.pack(SET_IDLE_TIMEOUT, microseconds(timeout_ms)))

    def schedule_tick(self, after_ms: float) -> None:
        """Write that action."""
        self._write(TICK_RECORD.pack(SCHEDULE_TICK, microseconds(after_ms), 0))

    def log(self, text: str) -> None:
        """Write that action."""
        self._write_text(LOG, text)

    def fault(self, text: str) -> None:
        """Write that the instance failed over an event."""
        self._write_text(FAULT, text)

    def _write_text(self, code: int, text: str) -> None:
        data = text.encode()[:MAX_TEXT_BYTES]
        self._write(TEXT_RECORD.pack(code, len(data)) + data)


def decode_events(frame: bytes) -> Iterator[Event]:
    """Yield the events of a batch, behind its clock.

    Raises:
        FrameDecodeError: An event is unknown, truncated or malformed.
    """
    offset = 0
    while offset < len(frame):
        try:
            (code,) = EVENT_CODE.unpack_from(frame, offset)
            decode = DECODERS.get(code)
            if decode is None:
                raise FrameDecodeError(f"unknown event code {code} at byte {offset} of the batch")
            event, end = decode(frame, offset + EVENT_CODE.size)
        except (struct.error, UnicodeDecodeError):
            raise FrameDecodeError(
                f"truncated or malformed event at byte {offset} of the batch"
            ) from None
        yield event
        offset = end


def _take(frame: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(frame):
        raise struct.error("count past the end")
    return frame[offset : offset + size]


def _decode_outcome(code: int, offset: int) -> Outcome:
    if code not in OUTCOMES:
        raise FrameDecodeError(f"unknown outcome {code} at byte {offset} of the batch")
    return OUTCOMES[code]


def _decode_select_instance(frame: bytes, offset: int) -> Decoded:
    (instance_id,) = INSTANCE_ID.unpack_from(frame, offset)
    return Decoded(SelectInstance(instance_id), offset + INSTANCE_ID.size)


def _decode_attach(frame: bytes, offset: int) -> Decoded:
    seed, size = ATTACH.unpack_from(frame, offset)
    offset += ATTACH.size
    start_values = _take(frame, offset, size).decode()
    return Decoded(Attach(seed, start_values), offset + size)


def _decode_crash(frame: bytes, offset: int) -> Decoded:
    return Decoded(Crash(), offset)


def _decode_work_item(frame: bytes, offset: int) -> Decoded:
    (
        request_id,
        work,
        waited,
        _priority,
        flags,
        expires_at,
        _object_id,
        original_id,
        class_index,
        _caller_id,
        tenant_index,
        memory_kb,
    ) = WORK_ITEM.unpack_from(frame, offset)
    request = IncomingRequest(
        request_id=request_id,
        class_index=class_index,
        tenant_index=tenant_index,
        waited_ms=waited / 1000.0,
        expires_at=expires_at / 1000.0 or None,
        estimated_work=work / 1000.0 if flags & HAS_ESTIMATE else None,
        memory_kb=memory_kb,
        original_id=original_id or None,
    )
    return Decoded(SubmitRequest(request), offset + WORK_ITEM.size)


def _decode_cancel(frame: bytes, offset: int) -> Decoded:
    (request_id,) = HANDLE.unpack_from(frame, offset)
    return Decoded(CancelRequest(request_id), offset + HANDLE.size)


def _decode_result(frame: bytes, offset: int) -> Decoded:
    request_id, code, _size = RESULT.unpack_from(frame, offset)
    outcome = _decode_outcome(code, offset)
    return Decoded(RunFinished(request_id, outcome), offset + RESULT.size)


def _decode_dependency_needed(frame: bytes, offset: int) -> Decoded:
    (request_id,) = HANDLE.unpack_from(frame, offset)
    return Decoded(DependencyNeeded(request_id), offset + HANDLE.size)


def _decode_dependency_reply(frame: bytes, offset: int) -> Decoded:
    request_id, _took, code = DEPENDENCY_REPLY.unpack_from(frame, offset)
    outcome = _decode_outcome(code, offset)
    return Decoded(DependencyFinished(request_id, outcome), offset + DEPENDENCY_REPLY.size)


def _decode_retire_soon(frame: bytes, offset: int) -> Decoded:
    (stops_at,) = HANDLE.unpack_from(frame, offset)
    return Decoded(StartDraining(stops_at / 1000.0), offset + HANDLE.size)


def _decode_ring(frame: bytes, offset: int) -> Decoded:
    _token, count = RING.unpack_from(frame, offset)
    offset += RING.size
    size = GAUGE_BYTES * count
    gauges = struct.unpack(f">{count}f", _take(frame, offset, size))
    return Decoded(Tick(gauges), offset + size)


DECODERS: dict[int, Callable[[bytes, int], Decoded]] = {
    1000: _decode_ring,
    1010: _decode_cancel,
    1020: _decode_crash,
    1030: _decode_select_instance,
    1040: _decode_result,
    1050: _decode_attach,
    1060: _decode_retire_soon,
    1070: _decode_dependency_reply,
    1080: _decode_work_item,
    1090: _decode_dependency_needed,
}
