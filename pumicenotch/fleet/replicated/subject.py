"""The seam between the fleet's agreed state and a subject that another package adds to it.

A voter's log carries the entries of every subject. The state hands a book the entries whose verbs are its
own, and keeps the book's bytes in its snapshots. Without books nothing here is used.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from pumicenotch.fleet.replicated.fields import Reader


class Outcome(Protocol):
    """What an entry came to, in the form of `entries.Said`."""

    @property
    def good(self) -> bool: ...
    @property
    def text(self) -> str:
        """For whoever asked."""

    @property
    def value(self) -> Any:
        """A result; of a refusal its error's code, if it has one."""


class Book(Protocol):
    """One subject of the agreed state. The same entries give the same book at every voter."""

    @property
    def name(self) -> str:
        """In snapshots: it stays the same from program to program."""

    @property
    def level(self) -> int:
        """Of the fleet's entries, from which on all voters read this book's."""

    @property
    def verbs(self) -> Mapping[str, tuple[Reader, ...]]:
        """Each entry's verb, with a reader for each of its fields. A reader raises ValueError."""

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        """Called by a leader before it proposes an entry. Raises ValueError for one that is not to be."""

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> Outcome:
        """An agreed entry, its fields as the readers gave them. It raises nothing."""

    def dump(self) -> bytes:
        """The same bytes for the same content."""

    def load(self, data: bytes) -> None:
        """In place of all that it holds. Raises ValueError on what `dump` did not give."""


class UnknownBook(ValueError):
    """Another voter's state has a subject that this voter does not keep."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"the fleet's state has the book {name!r}, which this voter does not keep: give its file the"
            " block that the other voters' files have for it, or start it with a newer program"
        )
        self.name = name
