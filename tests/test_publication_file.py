"""The file of a publication: what is wrong is named with its line and what is allowed."""

from pathlib import Path

import pytest

from pumicenotch.config.publication import (
    FAULTS_MOST,
    InvalidPublicationFileError,
    read_publication,
)
from pumicenotch.distribution.data.records import Change

GOOD = '{"table": "homes", "key": "c1/t1", "value": {"cell": "c1"}}\n'


def put(folder: Path, text: str) -> Path:
    path = folder / "changes.jsonl"
    path.write_text(text)
    return path


def test_records_and_deletions_come_in_order_with_their_lines(tmp_path: Path) -> None:
    told = read_publication(
        put(tmp_path, GOOD + '\n{"table":"tenants","key":"c1/t1","value":null}\n')
    )
    assert told.changes == [
        Change("homes", "c1/t1", '{"cell":"c1"}'),
        Change("tenants", "c1/t1", None),
    ]
    assert told.line_of("record tenants:c1/t1: its form is 2: ...") == 3
    assert told.line_of("publication: it was made against version 3: ...") == 0


def test_newer_forms_are_left_to_the_voters(tmp_path: Path) -> None:
    told = read_publication(
        put(tmp_path, '{"table":"homes","key":"c1/t1","value":{"cell":"c1","form":9}}\n')
    )
    assert told.changes[0].value == '{"cell":"c1","form":9}'


@pytest.mark.parametrize(
    "text, fault",
    [
        ("", ":1: there is no record in it"),
        (GOOD + "{\n", ":2: line: no JSON"),
        (GOOD + "[]\n", ":2: line: no object with exactly table, key and value"),
        ('{"table":"homes","key":"c1/t1"}\n', ":1: line: no object with exactly"),
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
        (GOOD + GOOD, ":2: record homes:c1/t1: it stands in line 1 already"),
        (
            '{"table":"homes","key":"c1/t1","value":{"cell":"' + 5000 * "x" + '"}}\n',
            "keep it within 4096",
        ),
    ],
)
def test_what_is_wrong_is_named_with_its_line(tmp_path: Path, text: str, fault: str) -> None:
    path = put(tmp_path, text)
    with pytest.raises(InvalidPublicationFileError) as found:
        read_publication(path)
    assert fault in str(found.value) and str(found.value).startswith(f"{path}:")


def test_of_many_wrong_lines_the_first_are_told(tmp_path: Path) -> None:
    with pytest.raises(InvalidPublicationFileError) as found:
        read_publication(put(tmp_path, (FAULTS_MOST + 5) * "{\n"))
    told = str(found.value).splitlines()
    assert len(told) == FAULTS_MOST + 1 and told[-1].endswith("5 further lines are wrong")


def test_a_file_that_is_not_there_or_no_text_is_named(tmp_path: Path) -> None:
    with pytest.raises(InvalidPublicationFileError, match="cannot be read: No such file"):
        read_publication(tmp_path / "none")
    (tmp_path / "bytes").write_bytes(b"\xff")
    with pytest.raises(InvalidPublicationFileError, match="no UTF-8 at byte 0"):
        read_publication(tmp_path / "bytes")
