"""The interface between the fleet's replicated state and a subject that another package adds to it.

A voter's log carries the entries of every subject. The state hands a subject the entries whose
verbs are its own, and carries the subject's bytes in its snapshots.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from pumicenotch.errors import InputError
from pumicenotch.fleet.replicated.fields import FieldReader


class SubjectResult(Protocol):
    """What an entry came to, in the form of `records.ApplyResult`."""

    @property
    def ok(self) -> bool:
        """Whether the entry changed the subject as it was meant to."""

    @property
    def text(self) -> str:
        """For whoever sent the entry."""

    @property
    def value(self) -> Any:
        """A result; of a refusal its error's code, if it has one."""


class ReplicatedSubject(Protocol):
    """One subject of the state. The same entries lead to the same content at every voter."""

    @property
    def name(self) -> str:
        """The key of the subject in snapshots: it never changes."""

    @property
    def level(self) -> int:
        """The level of the fleet's entries from which on all voters read this subject's."""

    @property
    def verbs(self) -> Mapping[str, tuple[FieldReader, ...]]:
        """The verbs of its entries, with a reader for each field; a reader raises ValueError."""

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        """Called by a leader before it proposes an entry; raises ValueError to refuse it."""

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> SubjectResult:
        """Applies the entry at that log index, its fields as read; raises nothing."""

    def dump(self) -> bytes:
        """Returns the same bytes for the same content."""

    def load(self, data: bytes) -> None:
        """Replaces the content by what `dump` gave; raises ValueError on anything else."""


class UnknownSubjectError(InputError):
    """Another voter's state has a subject that this voter does not have."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"it has the subject {name!r}, which this voter does not have",
            place="the fleet's state",
            remedy="give its file the block that the other voters' files have for it, or start it"
            " with a newer program",
        )
        self.name = name
