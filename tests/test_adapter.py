import struct
import subprocess
import sys

import pytest

START = "classes.count=1\nclasses.0.deadline=3000000\nfamily-info.cores=2\nunknown.key=1"
FOR = struct.pack(">HH", 1030, 7)


def frame(events: bytes) -> bytes:
    return struct.pack(">IQ", 8 + len(events), 1_000_000) + events


def attach(text: str) -> bytes:
    return FOR + struct.pack(">HQI", 1050, 5, len(text)) + text.encode()


def serve(data: bytes) -> tuple[int, bytes, str]:
    command = [sys.executable, "-m", "pumicenotch.adapter"]
    done = subprocess.run(command, input=data, capture_output=True, timeout=20, check=False)
    return done.returncode, done.stdout, done.stderr.decode()


def test_answers_each_batch_and_ends_with_the_input() -> None:
    task = struct.pack(">HQIIfBQQQHIIf", 1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 0, 0, 0, 1.0)
    code, out, errors = serve(frame(b"") + frame(attach(START)) + frame(FOR + task))
    assert (code, errors) == (0, "")
    assert out.startswith(struct.pack(">I", 0))
    assert out.endswith(struct.pack(">IHHHQ", 14, 1150, 7, 1000, 9))


def test_an_exception_over_a_stage_beyond_the_list_goes_out_as_a_fault() -> None:
    task = struct.pack(">HQIIfBQQQHIIf", 1080, 9, 0, 0, 0.5, 0, 0, 0, 0, 3, 0, 0, 1.0)
    code, out, _ = serve(frame(attach(START)) + frame(FOR + task))
    assert code == 0
    assert struct.pack(">HHH", 1150, 7, 1140) in out
    assert b"IndexError" in out


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
