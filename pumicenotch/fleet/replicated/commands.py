"""The verbs of the log's entries: what each one calls, and with what."""

from collections.abc import Iterable, Sequence
from typing import Any

from pumicenotch.fleet.releases import commands as release_entries
from pumicenotch.fleet.replicated.fields import (
    BadEntry,
    Reader,
    budgets_of,
    member_of,
    name,
    names,
    number,
    reason,
    text,
)
from pumicenotch.fleet.replicated.subject import Book

# Entries after which as many are out as before, or that say themselves when it is otherwise.
COUNTS_STAY = ("drain", "began", "halt", "resume", "word", "move", "plan", "soaked")
# What operators ask for, each with an id first.
REQUESTS = (
    "drain",
    "undrain",
    "override",
    "free",
    "forget",
    "budget",
    "halt",
    "resume",
    *release_entries.REQUESTS,
)
OF_ONE = release_entries.OF_ONE
RELEASE_VERBS = frozenset(release_entries.ENTRIES)

ENTRIES: dict[str, tuple[str, tuple[Reader, ...]]] = {  # what each entry calls, and with what
    "begin": ("begin", (name, names, budgets_of, lambda some: tuple(map(member_of, some)))),
    "join": ("join", (member_of,)),
    "serving": ("serving", (name, name)),
    "leaving": ("leaving", (name, name, text)),
    "began": ("began", (name, name, number)),
    "gone": ("gone", (name, name)),
    "against": ("against", (name, name, text)),
    "returned": ("returned", (name, name, number)),
    "drain": ("drain", (name, names, reason, name)),
    "undrain": ("undrain", (name, names, reason, name)),
    "override": ("override", (name, name, reason, name)),
    "free": ("freed", (name, name, reason, name)),
    "forget": ("forget", (name, name, reason, name)),
    "budget": ("budget", (name, budgets_of, name)),
    "halt": ("halt", (name, name, reason)),
    "resume": ("resume", (name, names, reason, name)),
    **release_entries.ENTRIES,
}


def read(entry: Any) -> tuple[str, tuple[Any, ...]]:
    """The method that an entry calls, and its fields. Raises BadEntry: it is not proposed."""
    if not isinstance(entry, list | tuple) or not entry or entry[0] not in ENTRIES:
        raise BadEntry(f"unknown: {entry!r:.60}; known: {', '.join(ENTRIES)}")
    verb, readers = ENTRIES[entry[0]]
    return verb, read_fields(entry, readers)


def read_fields(entry: Sequence[Any], readers: tuple[Reader, ...]) -> tuple[Any, ...]:
    """What follows an entry's verb, by its readers. Raises BadEntry, or what a book's reader raises."""
    if len(entry) != len(readers) + 1:
        raise BadEntry(f"{entry[0]}: {len(readers)} values are wanted, not {len(entry) - 1}")
    try:
        return tuple(reader(value) for reader, value in zip(readers, entry[1:], strict=True))
    except TypeError as error:
        raise BadEntry(f"{entry[0]}: {error}") from None


def books_by_verb(books: Iterable[Book]) -> dict[str, Book]:
    found: dict[str, Book] = {}
    for book in books:
        for verb in book.verbs:
            if verb in ENTRIES or verb in found:
                raise ValueError(f"book {book.name}: the verb {verb} has an owner already")
            found[verb] = book
    return found
