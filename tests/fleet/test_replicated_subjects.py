"""An additional subject of the replicated state: its entries, its snapshots, and voters without it."""

import json
from collections.abc import Mapping
from typing import Any, ClassVar

import pytest

from pumicenotch.fleet.member.effects import MemberChanged
from pumicenotch.fleet.releases.release import PROGRAM_LEVEL
from pumicenotch.fleet.replicated import fields
from pumicenotch.fleet.replicated.fields import FieldReader, InvalidCommandError
from pumicenotch.fleet.replicated.records import ApplyResult
from pumicenotch.fleet.replicated.snapshot import dump, load
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.fleet.replicated.subject import UnknownSubjectError
from pumicenotch.fleet.voter.node import VoterNode
from pumicenotch.fleet.voter.replica import Leadership
from pumicenotch.lab.fleets import Day
from pumicenotch.membership import messages
from pumicenotch.membership.messages import MemberIdentity, MemberPhase, MemberState, Update

VOTERS = ("v1", "v2", "v3")


class ReservedName(ValueError):
    code = "reserved-name"


class Notes:
    """A subject for tests: texts by name."""

    name: ClassVar[str] = "notes"
    level: ClassVar[int] = PROGRAM_LEVEL + 1
    verbs: ClassVar[Mapping[str, tuple[FieldReader, ...]]] = {
        "write": (fields.read_name, fields.read_text)
    }

    def __init__(self) -> None:
        self.texts: dict[str, str] = {}
        self.indexes: list[int] = []

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        if args[0] == "reserved":
            raise ReservedName("notes: this name is reserved: choose another one")

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> ApplyResult:
        key, value = args
        if not value:
            return ApplyResult(False, "notes: the text is empty: write one", "empty")
        self.indexes.append(index)
        self.texts[key] = value
        return ApplyResult(True, "written", len(self.texts))

    def dump(self) -> bytes:
        return repr(sorted(self.texts.items())).encode() + b"\n\x00\xff"

    def load(self, data: bytes) -> None:
        if not data.endswith(b"\n\x00\xff"):
            raise ValueError("no notes")
        self.texts = dict(eval(data[:-3]))


def bootstrapped_state(*subjects: Notes, level: int = Notes.level) -> FleetState:
    state = FleetState(subjects)
    state.apply(1, ("begin", "test", VOTERS, (), ()))
    state.apply(2, ("level", level))
    return state


# Replicated state


def test_entries_are_decoded_and_applied_by_their_subject() -> None:
    notes = Notes()
    state = bootstrapped_state(notes)
    assert state.apply(3, ("write", "a", "one")) == ApplyResult(True, "written", 1)
    assert (notes.texts, notes.indexes, state.log_index) == ({"a": "one"}, [3], 3)
    assert state.apply(4, ("write", "a", "")) == ApplyResult(
        False, "notes: the text is empty: write one", "empty"
    )
    assert not state.apply(5, ("write", "a")).ok
    assert not state.apply(6, ("write", 1, "x")).ok
    assert "unknown" in state.apply(7, ("erase", "a")).text
    assert notes.texts == {"a": "one"}


def test_entries_are_refused_below_their_subjects_level() -> None:
    notes = Notes()
    result = bootstrapped_state(notes, level=PROGRAM_LEVEL).apply(3, ("write", "a", "one"))
    assert not result.ok and f"level {Notes.level}" in result.text and not notes.texts


def test_a_verb_belongs_to_one_subject() -> None:
    class TakenVerb(Notes):
        verbs: ClassVar[Mapping[str, tuple[FieldReader, ...]]] = {"drain": (fields.read_name,)}

    with pytest.raises(ValueError, match="drain"):
        FleetState([TakenVerb()])
    with pytest.raises(ValueError, match="write"):
        FleetState([Notes(), Notes()])


def test_a_snapshot_holds_the_raw_bytes_of_the_subjects() -> None:
    state = bootstrapped_state(Notes())
    state.apply(3, ("write", "a", "one\ntwo"))
    data = dump(state)
    assert data.endswith(state.subjects["notes"].dump())
    notes = Notes()
    restored = load(data, [notes])
    assert notes.texts == {"a": "one\ntwo"} and dump(restored) == data


@pytest.mark.parametrize("level", [1, PROGRAM_LEVEL])
def test_a_snapshot_below_the_subjects_level_omits_the_subject(level: int) -> None:
    data = dump(bootstrapped_state(Notes(), level=level))
    assert data == dump(bootstrapped_state(level=level))
    assert json.loads(data)["form"] == level
    assert dump(load(data, [Notes()])) == data


def test_a_snapshot_with_an_unknown_subject_is_refused_with_a_remedy() -> None:
    data = dump(bootstrapped_state(Notes()))
    with pytest.raises(UnknownSubjectError, match=r"'notes'.*give its file the block"):
        load(data)


def test_a_corrupt_snapshot_is_refused() -> None:
    data = dump(bootstrapped_state(Notes()))
    for corrupt in (data[:-1], data + b"x", data.partition(b"\n")[0], data[:-3] + b"abc"):
        with pytest.raises(InvalidCommandError):
            load(corrupt, [Notes()])


# Voters


class Fleet(Day):
    """Three voters, of which those in `voters_with_subject` have the subject."""

    def __init__(self, seed: int, voters_with_subject: tuple[str, ...] = VOTERS) -> None:
        super().__init__(seed)
        self.voters_with_subject = voters_with_subject
        self.subjects = lambda voter: [Notes()] if voter in self.voters_with_subject else []
        for voter in VOTERS:
            self.add(voter, f"zone-{voter}", voter=True)
        self.start()
        self.until(lambda: bool(self.leader()) and self.state().releases.level >= PROGRAM_LEVEL)

    def node(self, voter: str) -> VoterNode:
        core = self.processes[voter].core
        assert isinstance(core, VoterNode)
        return core

    def notes(self, voter: str) -> dict[str, str]:
        subject = self.node(voter).state.subjects["notes"]
        assert isinstance(subject, Notes)
        return subject.texts

    def has_subject_level(self) -> bool:
        return bool(self.leader()) and bool(self.state().releases.level == Notes.level)

    def has_vote(self, voter: str) -> bool:
        replica = f"{voter}/{self.processes[voter].life:04d}"
        return (
            bool(self.leader()) and replica in self.node(self.leader()).voter.log.membership.voters
        )

    def write(self, count: int) -> None:
        for number in range(count):
            assert self.agreed("write", f"key{number}", "value")["agreed"]


def test_voters_agree_on_entries_and_refuse_those_that_the_subject_rejects() -> None:
    day = Fleet(1)
    day.until(day.has_subject_level)
    answer = day.agreed("write", "a", "one")
    assert answer["agreed"] and answer["value"] == 1
    day.until(lambda: all(day.notes(voter) == {"a": "one"} for voter in VOTERS))
    before = day.state().log_index
    for args, code in ((("reserved", "x"), "reserved-name"), (("a",), None)):
        key = day.ask(day.leader(), "write", *args)
        day.run(500.0)
        error, _ = day.answers[key]
        assert error[0] == "Refused" and error[2] == code
    assert day.state().log_index == before  # nothing was proposed
    key = day.ask(day.leader(), "write", "a", "")
    day.run(1000.0)
    assert day.answers[key][0] == ("Refused", "notes: the text is empty: write one", "empty")


def test_entries_are_refused_until_all_voters_have_the_subject() -> None:
    day = Fleet(2, ("v2", "v3"))
    assert day.leader() == "v3"  # with this seed
    day.run(20_000.0)
    refusal = day.agreed("write", "a", "one")
    assert f"is of level {Notes.level}" in refusal and "not heard so of v1" in refusal
    day.voters_with_subject = VOTERS
    day.kill("v1")
    day.run(5000.0)
    day.boot("v1")
    day.until(day.has_subject_level)
    assert day.agreed("write", "a", "one")["agreed"]


def test_a_restarted_voter_restores_the_subject_from_a_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(VoterNode, "COMPACTION_THRESHOLD", 16)
    day = Fleet(3)
    day.until(day.has_subject_level)
    day.write(24)
    other = next(voter for voter in VOTERS if voter != day.leader())
    day.kill(other)
    day.run(5000.0)
    day.boot(other)
    day.until(lambda: day.has_vote(other))
    day.until(lambda: day.notes(other) == day.notes(day.leader()))
    assert any(name == other and "restored the fleet's state" in text for _, name, text in day.log)
    assert len(day.notes(other)) == 24


@pytest.mark.parametrize("compaction_threshold", [16, 1024])
def test_a_voter_without_the_subject_exits_rather_than_diverge(
    monkeypatch: pytest.MonkeyPatch, compaction_threshold: int
) -> None:
    monkeypatch.setattr(VoterNode, "COMPACTION_THRESHOLD", compaction_threshold)
    day = Fleet(4)
    day.until(day.has_subject_level)
    day.write(24)
    other = next(voter for voter in VOTERS if voter != day.leader())
    day.voters_with_subject = tuple(voter for voter in VOTERS if voter != other)
    day.kill(other)
    day.run(5000.0)
    day.boot(other)
    day.until(lambda: not day.processes[other].up)
    remedy = next(text for _, name, text in reversed(day.log) if name == other and "exits" in text)
    assert "give its file the block" in remedy
    assert day.agreed("write", "a", "one")["agreed"]


def test_leadership_and_member_changes_are_reported() -> None:
    day = Fleet(5)
    leader = day.leader()
    day.run(2000.0)
    for voter in VOTERS:
        assert day.node(voter).leadership() == Leadership(leader, voter == leader, True)
    other = next(voter for voter in VOTERS if voter != leader)
    day.part([other], [voter for voter in VOTERS if voter != other])
    day.run(3000.0)
    assert not day.node(other).leadership().in_touch
    day.heal()
    update = Update(
        MemberIdentity("n9", "n9", "1", 1, "", ""), 1, MemberPhase.SERVING, MemberState.ALIVE, "n9"
    )
    message = messages.encode(messages.Ping(1, (update,), ()))
    reported = day.node(leader).step(day.now, "told", (other, "9", other), "members", message)
    assert [
        effect.update.member.name for effect in reported if isinstance(effect, MemberChanged)
    ] == ["n9"]
