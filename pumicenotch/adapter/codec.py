"""The binary protocol of the simulator: decodes batches of events and encodes actions as records.

This module maps the protocol's codes and units to the types of the program. Times are in
microseconds in the protocol and in milliseconds in messages.
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

# Outcomes by their codes in the protocol.
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
# Flag of a work item: its work is an estimate of the caller.
HAS_ESTIMATE = 1

# Layouts of frames and events; all numbers are big-endian.
FRAME_LENGTH = struct.Struct(">I")
CLOCK = struct.Struct(">Q")
EVENT_CODE = struct.Struct(">H")
INSTANCE_ID = struct.Struct(">H")
UINT64 = struct.Struct(">Q")
ATTACH = struct.Struct(">QI")
WORK_ITEM = struct.Struct(">QIIfBQQQHIIf")
RESULT = struct.Struct(">QBI")
DEPENDENCY_REPLY = struct.Struct(">QIB")
TICK = struct.Struct(">QB")
GAUGE_BYTES = 4

# Layouts of the records in a reply; each begins with its code.
INSTANCE_RECORD = struct.Struct(">HH")
REQUEST_RECORD = struct.Struct(">HQ")
REJECT_RECORD = struct.Struct(">HQBI")
REQUEST_TIME_RECORD = struct.Struct(">HQI")
HEALTH_RECORD = struct.Struct(">HBB")
LOAD_RECORD = struct.Struct(">Hf")
TIME_RECORD = struct.Struct(">HI")
TICK_RECORD = struct.Struct(">HIQ")
TEXT_RECORD = struct.Struct(">HH")

# Codes of records.
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
INSTANCE = 1150

MAX_MICROSECONDS = 0xFFFFFFFF
MAX_TEXT_BYTES = 0xFFFF


class FrameDecodeError(InputError):
    """An invalid frame; the message names the problem and the byte at which it occurs."""


class Decoded(NamedTuple):
    """A decoded event.

    Attributes:
        event: the event.
        end: the offset of the byte after the event.
    """

    event: Event
    end: int


def to_microseconds(milliseconds: float) -> int:
    """Returns a time in microseconds, clipped to the range of the protocol."""
    return min(max(0, round(milliseconds * 1000.0)), MAX_MICROSECONDS)


class Reply:
    """The reply to one batch.

    Attributes:
        records: the encoded records.
        instance_id: the instance to which the latest records belong; None if there are none.
    """

    def __init__(self) -> None:
        self.records = bytearray()
        self.instance_id: int | None = None

    def clear(self) -> None:
        """Clears the reply, for the next batch."""
        self.records.clear()
        self.instance_id = None


class Encoder:
    """Writes the actions of one instance to the reply, as the controller's `Actions`.

    The encoder writes a record with the instance's number first if the latest records belong to
    another instance.
    """

    def __init__(self, instance_id: int, reply: Reply) -> None:
        self.instance_id = instance_id
        self.reply = reply
        self._instance_record = INSTANCE_RECORD.pack(INSTANCE, instance_id)

    def _write(self, record: bytes) -> None:
        if self.reply.instance_id != self.instance_id:
            self.reply.instance_id = self.instance_id
            self.reply.records += self._instance_record
        self.reply.records += record

    def start(self, request_id: int) -> None:
        """Writes a `start` record."""
        self._write(REQUEST_RECORD.pack(START, request_id))

    def reject(self, request_id: int, do_not_retry: bool, retry_after_ms: float) -> None:
        """Writes a `reject` record."""
        retry_after = to_microseconds(retry_after_ms)
        self._write(REJECT_RECORD.pack(REJECT, request_id, do_not_retry, retry_after))

    def fail(self, request_id: int) -> None:
        """Writes a `fail` record."""
        self._write(REQUEST_RECORD.pack(FAIL, request_id))

    def cancel_run(self, request_id: int) -> None:
        """Writes a `cancel_run` record."""
        self._write(REQUEST_RECORD.pack(CANCEL_RUN, request_id))

    def call_dependency(self, request_id: int, timeout_ms: float) -> None:
        """Writes a `call_dependency` record."""
        timeout = to_microseconds(timeout_ms)
        self._write(REQUEST_TIME_RECORD.pack(CALL_DEPENDENCY, request_id, timeout))

    def skip_dependency(self, request_id: int) -> None:
        """Writes a `skip_dependency` record."""
        self._write(REQUEST_RECORD.pack(SKIP_DEPENDENCY, request_id))

    def retain_key(self, request_id: int, ttl_ms: float) -> None:
        """Writes a `retain_key` record."""
        self._write(REQUEST_TIME_RECORD.pack(RETAIN_KEY, request_id, to_microseconds(ttl_ms)))

    def drop_key(self, request_id: int) -> None:
        """Writes a `drop_key` record."""
        self._write(REQUEST_RECORD.pack(DROP_KEY, request_id))

    def replay_result(self, request_id: int) -> None:
        """Writes a `replay_result` record."""
        self._write(REQUEST_RECORD.pack(REPLAY_RESULT, request_id))

    def set_health(self, healthy: bool, cached: bool) -> None:
        """Writes a `set_health` record."""
        self._write(HEALTH_RECORD.pack(SET_HEALTH, healthy, cached))

    def report_load(self, value: float) -> None:
        """Writes a `report_load` record."""
        self._write(LOAD_RECORD.pack(REPORT_LOAD, value))

    def set_idle_timeout(self, timeout_ms: float) -> None:
        """Writes a `set_idle_timeout` record."""
        self._write(TIME_RECORD.pack(SET_IDLE_TIMEOUT, to_microseconds(timeout_ms)))

    def schedule_tick(self, after_ms: float) -> None:
        """Writes a `schedule_tick` record."""
        self._write(TICK_RECORD.pack(SCHEDULE_TICK, to_microseconds(after_ms), 0))

    def log(self, text: str) -> None:
        """Writes a `log` record."""
        self._write_text(LOG, text)

    def fault(self, text: str) -> None:
        """Writes a record of an exception that an event caused in the instance."""
        self._write_text(FAULT, text)

    def _write_text(self, code: int, text: str) -> None:
        data = text.encode()[:MAX_TEXT_BYTES]
        self._write(TEXT_RECORD.pack(code, len(data)) + data)


def decode_events(frame: bytes) -> Iterator[Event]:
    """Yields the events of a batch.

    Args:
        frame: the batch without its clock.

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


def _read_bytes(frame: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(frame):
        raise struct.error("size exceeds the frame")
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
    start_values = _read_bytes(frame, offset, size).decode()
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
    (request_id,) = UINT64.unpack_from(frame, offset)
    return Decoded(CancelRequest(request_id), offset + UINT64.size)


def _decode_result(frame: bytes, offset: int) -> Decoded:
    request_id, code, _size = RESULT.unpack_from(frame, offset)
    outcome = _decode_outcome(code, offset)
    return Decoded(RunFinished(request_id, outcome), offset + RESULT.size)


def _decode_dependency_needed(frame: bytes, offset: int) -> Decoded:
    (request_id,) = UINT64.unpack_from(frame, offset)
    return Decoded(DependencyNeeded(request_id), offset + UINT64.size)


def _decode_dependency_reply(frame: bytes, offset: int) -> Decoded:
    request_id, _took, code = DEPENDENCY_REPLY.unpack_from(frame, offset)
    outcome = _decode_outcome(code, offset)
    return Decoded(DependencyFinished(request_id, outcome), offset + DEPENDENCY_REPLY.size)


def _decode_start_draining(frame: bytes, offset: int) -> Decoded:
    (stops_at,) = UINT64.unpack_from(frame, offset)
    return Decoded(StartDraining(stops_at / 1000.0), offset + UINT64.size)


def _decode_tick(frame: bytes, offset: int) -> Decoded:
    _token, count = TICK.unpack_from(frame, offset)
    offset += TICK.size
    size = GAUGE_BYTES * count
    gauges = struct.unpack(f">{count}f", _read_bytes(frame, offset, size))
    return Decoded(Tick(gauges), offset + size)


DECODERS: dict[int, Callable[[bytes, int], Decoded]] = {
    1000: _decode_tick,
    1010: _decode_cancel,
    1020: _decode_crash,
    1030: _decode_select_instance,
    1040: _decode_result,
    1050: _decode_attach,
    1060: _decode_start_draining,
    1070: _decode_dependency_reply,
    1080: _decode_work_item,
    1090: _decode_dependency_needed,
}
