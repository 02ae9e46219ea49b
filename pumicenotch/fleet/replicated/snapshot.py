"""Snapshots of the agreed state, for voters that lack the entries.

A line of JSON, and after it the bytes of the books as they are: megabytes are not escaped.
"""

import json
from collections.abc import Iterable, Sequence
from typing import Any

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.replicated.fields import BadEntry
from pumicenotch.fleet.replicated.records import Answer, Event, FleetHalt, Permit, Request
from pumicenotch.fleet.replicated.state import State
from pumicenotch.fleet.replicated.subject import Book, UnknownBook

FIRST_FORM = 1
RELEASES_FORM = 2
BOOKS_FORM = 3
FORMS = (FIRST_FORM, RELEASES_FORM, BOOKS_FORM)


def dump(state: State) -> bytes:
    """The same bytes for the same state."""
    told = dump_fields(state)
    books = [book for book in state.books.values() if state.releases.level >= book.level]
    if not books:
        return compact_json(told)
    sections = [book.dump() for book in books]
    told["form"] = BOOKS_FORM
    told["books"] = [(book.name, len(data)) for book, data in zip(books, sections, strict=True)]
    return b"\n".join((compact_json(told), b"".join(sections)))


def dump_fields(state: State) -> dict[str, Any]:
    told: dict[str, Any] = {
        "form": RELEASES_FORM if state.releases.level > 1 else FIRST_FORM,
        "index": state.index,
        "fleet": state.fleet,
        "voters": state.voters,
        "members": list(state.members.values()),
        "budgets": state.budgets,
        "queue": state.queue,
        "permits": list(state.permits.values()),
        "halts": list(state.halts.items()),
        "ids": list(state.ids.items()),
        "history": state.history,
    }
    if state.releases.level > 1:
        told["releases"] = state.releases.dump()
    return told


def compact_json(told: Any) -> bytes:
    return json.dumps(told, separators=(",", ":")).encode()


def load(data: bytes, books: Sequence[Book] = ()) -> State:
    """What `dump` gave. Raises BadEntry on anything else, UnknownBook where `books` lacks one of it."""
    header, _, sections = data.partition(b"\n")
    try:
        told = json.loads(header)
        if told["form"] not in FORMS:
            raise BadEntry(
                f"a state of form {told['form']!r}: {FORMS} are known: a newer program is wanted"
            )
        made = State(books)
        made.index, made.fleet = told["index"], told["fleet"]
        made.voters = tuple(told["voters"])
        made.members = {each[0]: member_of(each) for each in told["members"]}
        made.budgets = tuple(Budget._make(each) for each in told["budgets"])
        made.queue = [Request._make(each) for each in told["queue"]]
        made.permits = {each[0]: Permit._make(each) for each in told["permits"]}
        made.halts = {key: FleetHalt._make(halt) for key, halt in told["halts"]}
        made.ids = {key: Answer._make(answer) for key, answer in told["ids"]}
        made.history = [Event._make(each) for each in told["history"]]
        if "releases" in told:
            made.releases.load(told["releases"])
        load_books(made, told.get("books", ()), sections)
    except (BadEntry, UnknownBook):
        raise
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadEntry(f"no state of a fleet: {type(error).__name__} {error}"[:200]) from None
    made.settle()
    return made


def member_of(told: Any) -> Member:
    member = Member._make(told)
    return member._replace(
        serves=tuple(member.serves), uses=tuple(member.uses), formers=tuple(member.formers)
    )


def load_books(state: State, lengths: Iterable[tuple[str, int]], sections: bytes) -> None:
    """Each book from its section: the sections follow each other in the order of `lengths`."""
    found = list(lengths)
    for book, _ in found:
        if book not in state.books:
            raise UnknownBook(book)
    if sum(length for _, length in found) != len(sections):
        raise ValueError("its books are not whole")
    start = 0
    for book, length in found:
        state.books[book].load(sections[start : start + length])
        start += length
