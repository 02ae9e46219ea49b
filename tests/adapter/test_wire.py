# The adapter as a process: binary batches on standard input, replies on standard output.

import struct
import subprocess
import sys

import pytest

START = "classes.count=1\nclasses.0.deadline=3000000\nfamily-info.cores=2\nunknown.key=1"
SELECT_INSTANCE = struct.pack(">HH", 1030, 7)
WORK_ITEM = struct.Struct(">HQIIfBQQQHIIf")


def frame(events: bytes, clock_us: int = 1_000_000) -> bytes:
    return struct.pack(">IQ", 8 + len(events), clock_us) + events


def attach(text: str) -> bytes:
    return SELECT_INSTANCE + struct.pack(">HQI", 1050, 5, len(text)) + text.encode()


def serve(data: bytes) -> tuple[int, bytes, str]:
    command = [sys.executable, "-m", "pumicenotch.adapter"]
    process = subprocess.run(command, input=data, capture_output=True, timeout=20, check=False)
    return process.returncode, process.stdout, process.stderr.decode()


def test_answers_each_batch_and_ends_with_the_input() -> None:
    work_item = WORK_ITEM.pack(1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 0, 0, 0, 1.0)
    code, out, errors = serve(
        frame(b"") + frame(attach(START)) + frame(SELECT_INSTANCE + work_item)
    )
    assert (code, errors) == (0, "")
    assert out.startswith(struct.pack(">I", 0))
    assert out.endswith(struct.pack(">IHHHQ", 14, 1150, 7, 1000, 9))


def test_an_exception_for_an_unknown_class_index_is_reported_as_a_fault() -> None:
    work_item = WORK_ITEM.pack(1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 3, 0, 0, 1.0)
    code, out, _ = serve(frame(attach(START)) + frame(SELECT_INSTANCE + work_item))
    assert code == 0
    assert struct.pack(">HHH", 1150, 7, 1140) in out
    assert b"IndexError" in out


def test_unusual_but_valid_settings_and_requests_cause_no_fault() -> None:
    unusual = "classes.0.effect=by_key\nclasses.0.memory-span=1000000\nfamily-info.callers=50000\n"
    unusual += "family-info.below=common\nfamily-info.call-share=0\nfamily-info.dep-window=0\n"
    original = WORK_ITEM.pack(1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 0, 0, 77, 1.0)  # unknown tenant
    retry = WORK_ITEM.pack(1080, 10, 0, 0, 0.5, 0, 0, 0, 5, 0, 0, 0, 1.0)  # unknown original
    tick = struct.pack(">HQB", 1000, 0, 0)
    starts = [attach("family-info.cores=1"), attach(unusual + START.replace("cores=2", "cores=1"))]
    events = original + retry + struct.pack(">HQ", 1090, 9) + tick
    batches = [
        frame(starts[0]),
        frame(SELECT_INSTANCE + tick, 9_000_000),
        frame(starts[1]),
        frame(SELECT_INSTANCE + events, 9_000_000),
    ]
    code, out, errors = serve(b"".join(batches))
    assert (code, errors) == (0, "")
    assert struct.pack(">HHH", 1150, 7, 1140) not in out
    assert struct.pack(">HQ", 1000, 9) in out  # the run starts
    assert struct.pack(">HQ", 1080, 10) in out  # the retry is replayed from its original
    assert struct.pack(">HQ", 1040, 9) not in out  # no dependency call is sent


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (frame(b"")[:-3], "truncated frame of batch 1"),
        (frame(struct.pack(">H", 4321)), "unknown event code 4321 at byte 0"),
        (frame(SELECT_INSTANCE + struct.pack(">HQ", 1010, 3)), "unknown instance 7"),
        (frame(attach(START + "\nfamily-info.cores=many")), "family-info.cores='many'"),
        (frame(SELECT_INSTANCE + b"\x04\x38\x00"), "truncated or malformed event at byte 4"),
    ],
)
def test_invalid_input_ends_the_process_with_one_line_of_error(data: bytes, message: str) -> None:
    code, _, errors = serve(data)
    assert code == 1
    assert errors.count("\n") == 1
    assert message in errors
