"""Snapshots of the replicated state, for voters that lack the log entries.

A snapshot is a line of JSON, followed by the raw bytes of the additional subjects, some of which
hold megabytes. The keys of the JSON are part of the stored format.
"""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.replicated.fields import InvalidCommandError
from pumicenotch.fleet.replicated.records import (
    DrainPermit,
    Event,
    FleetHalt,
    QueuedDrain,
    RecordedAnswer,
)
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.fleet.replicated.subject import ReplicatedSubject, UnknownSubjectError

# Format versions. A snapshot has the lowest version that can represent its content.
FIRST_FORMAT = 1
RELEASES_FORMAT = 2
SUBJECTS_FORMAT = 3
KNOWN_FORMATS = (FIRST_FORMAT, RELEASES_FORMAT, SUBJECTS_FORMAT)
MAX_PROBLEM_LENGTH = 200


def dump(state: FleetState) -> bytes:
    """Returns the snapshot of a state. Equal states have equal snapshots."""
    header = _dump_header(state)
    level = state.releases.level
    subjects = [subject for subject in state.subjects.values() if level >= subject.level]
    if not subjects:
        return _compact_json(header)
    sections = [subject.dump() for subject in subjects]
    header["form"] = SUBJECTS_FORMAT
    header["books"] = [
        (subject.name, len(section)) for subject, section in zip(subjects, sections, strict=True)
    ]
    return b"\n".join((_compact_json(header), b"".join(sections)))


def _dump_header(state: FleetState) -> dict[str, Any]:
    has_releases = state.releases.level > 1
    header: dict[str, Any] = {
        "form": RELEASES_FORMAT if has_releases else FIRST_FORMAT,
        "index": state.log_index,
        "fleet": state.fleet,
        "voters": state.voters,
        "members": list(state.members.values()),
        "budgets": state.budgets,
        "queue": state.queue,
        "permits": list(state.permits.values()),
        "halts": list(state.halts.items()),
        "ids": list(state.answers.items()),
        "history": state.history,
    }
    if has_releases:
        header["releases"] = state.releases.dump()
    return header


def _compact_json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def load(data: bytes, subjects: Sequence[ReplicatedSubject] = ()) -> FleetState:
    """Returns the state that `dump` wrote.

    Raises:
        InvalidCommandError: the data is not a snapshot, or has an unknown format version.
        UnknownSubjectError: the snapshot has a subject that is not among `subjects`.
    """
    header_line, _, sections = data.partition(b"\n")
    try:
        header = json.loads(header_line)
        if header["form"] not in KNOWN_FORMATS:
            raise InvalidCommandError(
                f"format version {header['form']!r} is not one of {KNOWN_FORMATS}:"
                " use a newer program",
                location="snapshot",
            )
        state = _load_header(header, subjects)
        _load_subjects(state, header.get("books", ()), sections)
    except (InvalidCommandError, UnknownSubjectError):
        raise
    except (KeyError, TypeError, ValueError, IndexError) as error:
        problem = f"invalid fleet state: {type(error).__name__} {error}"
        raise InvalidCommandError(problem[:MAX_PROBLEM_LENGTH], location="snapshot") from None
    state.grant_permits()
    return state


def _load_header(header: dict[str, Any], subjects: Sequence[ReplicatedSubject]) -> FleetState:
    state = FleetState(subjects)
    state.log_index = header["index"]
    state.fleet = header["fleet"]
    state.voters = tuple(header["voters"])
    state.members = {fields[0]: _load_member(fields) for fields in header["members"]}
    state.budgets = tuple(map(Budget._make, header["budgets"]))
    state.queue = list(map(QueuedDrain._make, header["queue"]))
    state.permits = {fields[0]: DrainPermit._make(fields) for fields in header["permits"]}
    state.halts = {key: FleetHalt._make(halt) for key, halt in header["halts"]}
    state.answers = {key: RecordedAnswer._make(answer) for key, answer in header["ids"]}
    state.history = list(map(Event._make, header["history"]))
    if "releases" in header:
        state.releases.load(header["releases"])
    return state


def _load_member(fields: Iterable[Any]) -> Member:
    member = Member._make(fields)
    return member._replace(
        serves=tuple(member.serves),
        uses=tuple(member.uses),
        previous_process_ids=tuple(member.previous_process_ids),
    )


def _load_subjects(state: FleetState, lengths: Iterable[tuple[str, int]], sections: bytes) -> None:
    """Loads each subject from its section. Sections are in the order of `lengths`."""
    sizes = list(lengths)
    for name, _ in sizes:
        if name not in state.subjects:
            raise UnknownSubjectError(name)
    if sum(size for _, size in sizes) != len(sections):
        raise ValueError("the sections of the subjects are truncated or followed by other data")
    start = 0
    for name, size in sizes:
        state.subjects[name].load(sections[start : start + size])
        start += size
