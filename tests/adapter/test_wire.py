import struct
import subprocess
import sys

import pytest

START = "classes.count=1\nclasses.0.deadline=3000000\nfamily-info.cores=2\nunknown.key=1"
FOR = struct.pack(">HH", 1030, 7)
WORK_ITEM = struct.Struct(">HQIIfBQQQHIIf")


def frame(events: bytes, clock_us: int = 1_000_000) -> bytes:
    return struct.pack(">IQ", 8 + len(events), clock_us) + events


def attach(text: str) -> bytes:
    return FOR + struct.pack(">HQI", 1050, 5, len(text)) + text.encode()


def serve(data: bytes) -> tuple[int, bytes, str]:
    command = [sys.executable, "-m", "pumicenotch.adapter"]
    done = subprocess.run(command, input=data, capture_output=True, timeout=20, check=False)
    return done.returncode, done.stdout, done.stderr.decode()


def test_answers_each_batch_and_ends_with_the_input() -> None:
    task = WORK_ITEM.pack(1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 0, 0, 0, 1.0)
    code, out, errors = serve(frame(b"") + frame(attach(START)) + frame(FOR + task))
    assert (code, errors) == (0, "")
    assert out.startswith(struct.pack(">I", 0))
    assert out.endswith(struct.pack(">IHHHQ", 14, 1150, 7, 1000, 9))


def test_an_exception_over_a_stage_beyond_the_list_goes_out_as_a_fault() -> None:
    task = WORK_ITEM.pack(1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 3, 0, 0, 1.0)
    code, out, _ = serve(frame(attach(START)) + frame(FOR + task))
    assert code == 0
    assert struct.pack(">HHH", 1150, 7, 1140) in out
    assert b"IndexError" in out


def test_odd_but_valid_settings_and_tasks_are_no_fault() -> None:
    odd = "classes.0.effect=by_key\nclasses.0.memory-span=1000000\nfamily-info.callers=50000\n"
    odd += "family-info.below=common\nfamily-info.call-share=0\nfamily-info.dep-window=0\n"
    first = WORK_ITEM.pack(1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 0, 0, 77, 1.0)  # of a tenant never named
    again = WORK_ITEM.pack(1080, 10, 0, 0, 0.5, 0, 0, 0, 5, 0, 0, 0, 1.0)  # of an entry gone
    ring = struct.pack(">HQB", 1000, 0, 0)
    starts = [attach("family-info.cores=1"), attach(odd + START.replace("cores=2", "cores=1"))]
    day = first + again + struct.pack(">HQ", 1090, 9) + ring
    batches = [
        frame(starts[0]),
        frame(FOR + ring, 9_000_000),
        frame(starts[1]),
        frame(FOR + day, 9_000_000),
    ]
    code, out, errors = serve(b"".join(batches))
    assert (code, errors) == (0, "")
    assert struct.pack(">HHH", 1150, 7, 1140) not in out
    assert struct.pack(">HQ", 1000, 9) in out  # run
    assert struct.pack(">HQ", 1080, 10) in out  # served from the first try
    assert struct.pack(">HQ", 1040, 9) not in out  # never called


@pytest.mark.parametrize(
    ("data", "said"),
    [
        (frame(b"")[:-3], "truncated frame of batch 1"),
        (frame(struct.pack(">H", 4321)), "unknown event code 4321 at byte 0"),
        (frame(FOR + struct.pack(">HQ", 1010, 3)), "unknown instance 7"),
        (frame(attach(START + "\nfamily-info.cores=many")), "family-info.cores='many'"),
        (frame(FOR + b"\x04\x38\x00"), "truncated or malformed event at byte 4"),
    ],
)
def test_bad_input_ends_with_one_plain_line(data: bytes, said: str) -> None:
    code, _, errors = serve(data)
    assert code == 1
    assert errors.count("\n") == 1
    assert said in errors
