"""A further subject of the voters' log: its entries, its part of the snapshots, and voters without it."""

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
    """A book for tests: texts by name."""

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


def begun(*books: Notes, level: int = Notes.level) -> FleetState:
    state = FleetState(books)
    state.apply(1, ("begin", "test", VOTERS, (), ()))
    state.apply(2, ("level", level))
    return state


# The state


def test_its_entries_are_read_and_applied_by_the_book() -> None:
    notes = Notes()
    state = begun(notes)
    assert state.apply(3, ("write", "a", "one")) == ApplyResult(True, "written", 1)
    assert (notes.texts, notes.indexes, state.log_index) == ({"a": "one"}, [3], 3)
    assert state.apply(4, ("write", "a", "")) == ApplyResult(
        False, "notes: the text is empty: write one", "empty"
    )
    assert not state.apply(5, ("write", "a")).ok
    assert not state.apply(6, ("write", 1, "x")).ok
    assert "unknown" in state.apply(7, ("erase", "a")).text
    assert notes.texts == {"a": "one"}


def test_below_its_level_no_entry_of_it_is_applied() -> None:
    notes = Notes()
    said = begun(notes, level=PROGRAM_LEVEL).apply(3, ("write", "a", "one"))
    assert not said.ok and f"level {Notes.level}" in said.text and not notes.texts


def test_a_verb_has_one_owner() -> None:
    class Taken(Notes):
        verbs: ClassVar[Mapping[str, tuple[FieldReader, ...]]] = {"drain": (fields.read_name,)}

    with pytest.raises(ValueError, match="drain"):
        FleetState([Taken()])
    with pytest.raises(ValueError, match="write"):
        FleetState([Notes(), Notes()])


def test_a_dump_carries_the_books_as_they_are() -> None:
    state = begun(Notes())
    state.apply(3, ("write", "a", "one\ntwo"))
    data = dump(state)
    assert data.endswith(state.subjects["notes"].dump())
    notes = Notes()
    again = load(data, [notes])
    assert notes.texts == {"a": "one\ntwo"} and dump(again) == data


@pytest.mark.parametrize("level", [1, PROGRAM_LEVEL])
def test_below_its_level_a_dump_is_as_it_was_without_the_book(level: int) -> None:
    data = dump(begun(Notes(), level=level))
    assert data == dump(begun(level=level))
    assert json.loads(data)["form"] == level
    assert dump(load(data, [Notes()])) == data


def test_a_state_with_an_unknown_book_is_refused_with_a_remedy() -> None:
    data = dump(begun(Notes()))
    with pytest.raises(UnknownSubjectError, match=r"'notes'.*give its file the block"):
        load(data)


def test_a_dump_that_is_not_whole_is_refused() -> None:
    data = dump(begun(Notes()))
    for spoilt in (data[:-1], data + b"x", data.partition(b"\n")[0], data[:-3] + b"abc"):
        with pytest.raises(InvalidCommandError):
            load(spoilt, [Notes()])


# Voters


class Fleet(Day):
    """Three voters, of whom `keepers` keep the book."""

    def __init__(self, seed: int, keepers: tuple[str, ...] = VOTERS) -> None:
        super().__init__(seed)
        self.keepers = keepers
        self.subjects = lambda voter: [Notes()] if voter in self.keepers else []
        for voter in VOTERS:
            self.add(voter, f"zone-{voter}", voter=True)
        self.start()
        self.until(lambda: bool(self.leader()) and self.state().releases.level >= PROGRAM_LEVEL)

    def node(self, voter: str) -> VoterNode:
        core = self.processes[voter].core
        assert isinstance(core, VoterNode)
        return core

    def notes(self, voter: str) -> dict[str, str]:
        book = self.node(voter).state.subjects["notes"]
        assert isinstance(book, Notes)
        return book.texts

    def at_level(self) -> bool:
        return bool(self.leader()) and bool(self.state().releases.level == Notes.level)

    def seated(self, voter: str) -> bool:
        replica = f"{voter}/{self.processes[voter].life:04d}"
        return (
            bool(self.leader()) and replica in self.node(self.leader()).voter.log.membership.voters
        )

    def write(self, many: int) -> None:
        for at in range(many):
            assert self.agreed("write", f"key{at}", "value")["agreed"]


def test_voters_agree_on_its_entries_and_refuse_what_is_not_to_be_proposed() -> None:
    day = Fleet(1)
    day.until(day.at_level)
    answer = day.agreed("write", "a", "one")
    assert answer["agreed"] and answer["value"] == 1
    day.until(lambda: all(day.notes(voter) == {"a": "one"} for voter in VOTERS))
    before = day.state().log_index
    for args, code in ((("reserved", "x"), "reserved-name"), (("a",), None)):
        key = day.ask(day.leader(), "write", *args)
        day.run(500.0)
        error, _ = day.answers[key]
        assert error[0] == "Refused" and error[2] == code
    assert day.state().log_index == before  # nothing of it was proposed
    key = day.ask(day.leader(), "write", "a", "")
    day.run(1000.0)
    assert day.answers[key][0] == ("Refused", "notes: the text is empty: write one", "empty")


def test_entries_wait_until_all_voters_keep_the_book() -> None:
    day = Fleet(2, ("v2", "v3"))
    assert day.leader() == "v3"  # by this seed
    day.run(20_000.0)
    refusal = day.agreed("write", "a", "one")
    assert f"is of level {Notes.level}" in refusal and "not heard so of v1" in refusal
    day.keepers = VOTERS
    day.kill("v1")
    day.run(5000.0)
    day.boot("v1")
    day.until(day.at_level)
    assert day.agreed("write", "a", "one")["agreed"]


def test_a_voter_that_lost_its_memory_takes_the_book_from_a_snapshot(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(VoterNode, "COMPACT_AT", 16)
    day = Fleet(3)
    day.until(day.at_level)
    day.write(24)
    other = next(voter for voter in VOTERS if voter != day.leader())
    day.kill(other)
    day.run(5000.0)
    day.boot(other)
    day.until(lambda: day.seated(other))
    day.until(lambda: day.notes(other) == day.notes(day.leader()))
    assert any(name == other and "takes the fleet's state" in text for _, name, text in day.log)
    assert len(day.notes(other)) == 24


@pytest.mark.parametrize("compact_at", [16, 1024])
def test_a_voter_without_the_book_ends_rather_than_hold_another_state(
    monkeypatch: pytest.MonkeyPatch, compact_at: int
) -> None:
    monkeypatch.setattr(VoterNode, "COMPACT_AT", compact_at)
    day = Fleet(4)
    day.until(day.at_level)
    day.write(24)
    other = next(voter for voter in VOTERS if voter != day.leader())
    day.keepers = tuple(voter for voter in VOTERS if voter != other)
    day.kill(other)
    day.run(5000.0)
    day.boot(other)
    day.until(lambda: not day.processes[other].up)
    remedy = next(text for _, name, text in reversed(day.log) if name == other and "ends" in text)
    assert "give its file the block" in remedy
    assert day.agreed("write", "a", "one")["agreed"]


def test_a_carrier_is_told_who_leads_and_what_members_are_thought() -> None:
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
    told = day.node(leader).step(day.now, "told", (other, "9", other), "members", message)
    assert [effect.update.member.name for effect in told if isinstance(effect, MemberChanged)] == [
        "n9"
    ]
