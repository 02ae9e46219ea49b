"""Guards against invalid records that are published, or reported without the line of the mistake."""

from pathlib import Path

import pytest

from pumicenotch.config.publication import (
    MAX_FAULTS,
    InvalidPublicationFileError,
    read_publication,
)
from pumicenotch.distribution.data.records import Change

VALID_LINE = '{"table": "homes", "key": "c1/t1", "value": {"cell": "c1"}}\n'


def write_file(folder: Path, text: str) -> Path:
    path = folder / "changes.jsonl"
    path.write_text(text)
    return path


def test_records_and_deletions_are_read_in_order_with_their_lines(tmp_path: Path) -> None:
    file = read_publication(
        write_file(tmp_path, VALID_LINE + '\n{"table":"tenants","key":"c1/t1","value":null}\n')
    )
    assert file.changes == [
        Change("homes", "c1/t1", '{"cell":"c1"}'),
        Change("tenants", "c1/t1", None),
    ]
    assert file.line_of("record tenants:c1/t1: its form is 2: ...") == 3
    assert file.line_of("publication: it was made against version 3: ...") == 0


def test_newer_forms_are_accepted_for_the_voters_to_check(tmp_path: Path) -> None:
    file = read_publication(
        write_file(tmp_path, '{"table":"homes","key":"c1/t1","value":{"cell":"c1","form":9}}\n')
    )
    assert file.changes[0].value == '{"cell":"c1","form":9}'


@pytest.mark.parametrize(
    "text, expected",
    [
        ("", ":1: the file has no records"),
        (VALID_LINE + "{\n", ":2: line: not JSON"),
        (VALID_LINE + "[]\n", ":2: line: not an object with exactly table, key and value"),
        ('{"table":"homes","key":"c1/t1"}\n', ":1: line: not an object with exactly"),
        (
            '{"table":"moons","key":"c1/t1","value":null}\n',
            ":1: table 'moons': there is none of this name",
        ),
        (
            '{"table":"homes","key":"c1","value":null}\n',
            ":1: record homes:c1: key 'c1' is not SCOPE/NAME",
        ),
        (
            '{"table":"homes","key":"c1/t1","value":7}\n',
            ":1: record homes:c1/t1: the value is neither",
        ),
        (
            '{"table":"homes","key":"c1/t1","value":{}}\n',
            ":1: record homes:c1/t1: the field cell is missing",
        ),
        ('{"table":"homes","key":"c1/t1","value":{"cell":1}}\n', "the field cell is no str"),
        (VALID_LINE + VALID_LINE, ":2: record homes:c1/t1: already defined in line 1"),
        (
            '{"table":"homes","key":"c1/t1","value":{"cell":"' + 5000 * "x" + '"}}\n',
            "keep it within 4096",
        ),
    ],
)
def test_errors_are_reported_by_line(tmp_path: Path, text: str, expected: str) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(InvalidPublicationFileError) as caught:
        read_publication(path)
    assert expected in str(caught.value) and str(caught.value).startswith(f"{path}:")


def test_only_the_first_of_many_errors_are_reported(tmp_path: Path) -> None:
    with pytest.raises(InvalidPublicationFileError) as caught:
        read_publication(write_file(tmp_path, (MAX_FAULTS + 5) * "{\n"))
    lines = str(caught.value).splitlines()
    assert len(lines) == MAX_FAULTS + 1 and lines[-1].endswith("5 further lines are invalid")


def test_a_missing_or_binary_file_is_reported(tmp_path: Path) -> None:
    with pytest.raises(InvalidPublicationFileError, match="cannot be read: No such file"):
        read_publication(tmp_path / "none")
    (tmp_path / "bytes").write_bytes(b"\xff")
    with pytest.raises(InvalidPublicationFileError, match="not UTF-8 at byte 0"):
        read_publication(tmp_path / "bytes")
