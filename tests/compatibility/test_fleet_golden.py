"""What a voter wrote before the names changed is read, and written again, to the byte."""

import json
from typing import Any

import pytest

from pumicenotch.fleet.replicated.snapshot import dump, load
from pumicenotch.fleet.replicated.state import FleetState
from tests.compatibility.fleet_recording import BOOK_LEVEL, FOLDER, Texts, apply_all, make


def golden_rows(name: str) -> list[Any]:
    return [json.loads(line) for line in (FOLDER / name).read_text().splitlines()]


def entries_of(*names: str) -> list[Any]:
    return [row["entry"] for name in names for row in golden_rows(name)]


@pytest.fixture(scope="module")
def made_now() -> dict[str, bytes]:
    return make()


@pytest.mark.parametrize("name", sorted(path.name for path in FOLDER.iterdir()))
def test_the_same_bytes_are_written_as_before(name: str, made_now: dict[str, bytes]) -> None:
    assert made_now[name] == (FOLDER / name).read_bytes()


def test_every_golden_file_is_still_made(made_now: dict[str, bytes]) -> None:
    assert set(made_now) == {path.name for path in FOLDER.iterdir()}


def test_old_entries_come_to_what_they_came_to() -> None:
    state = FleetState()
    for name in ("entries.jsonl", "release_entries.jsonl"):
        assert apply_all(state, entries_of(name)) == golden_rows(name)
    assert dump(state) == (FOLDER / "snapshot_of_releases.json").read_bytes()


@pytest.mark.parametrize("name", ["snapshot_of_drains.json", "snapshot_of_releases.json"])
def test_an_old_snapshot_is_read_and_written_again(name: str) -> None:
    data = (FOLDER / name).read_bytes()
    assert dump(load(data)) == data


def test_an_old_snapshot_with_another_subject_is_read_and_written_again() -> None:
    data = bytes.fromhex((FOLDER / "snapshot_with_book.hex").read_text())
    subject = Texts()
    state = load(data, [subject])
    assert dump(state) == data
    assert subject.texts == {"a": "b\nc"}
    assert state.releases.level == BOOK_LEVEL


def test_entries_after_an_old_snapshot_lead_to_the_same_state_as_all_entries() -> None:
    state = load((FOLDER / "snapshot_of_drains.json").read_bytes())
    apply_all(state, entries_of("release_entries.jsonl"))
    assert dump(state) == (FOLDER / "snapshot_of_releases.json").read_bytes()


def test_the_log_of_an_old_day_is_applied_whole() -> None:
    state = FleetState()
    for index, _, kind, data in golden_rows("day_entries.jsonl"):
        if kind == "do":
            state.apply(index, data)
    assert state.releases.current_versions == {"program": "v-new"}
    assert {release.name: release.state for release in state.releases.releases.values()} == {
        "r1": "done",
        "r2": "abandoned",
    }
