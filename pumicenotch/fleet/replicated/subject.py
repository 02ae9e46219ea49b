"""The interface of additional subjects, which other packages add to the replicated state.

A voter's log carries the entries of all subjects. The state passes each subject the entries with
the subject's verbs, and stores the subject's bytes in snapshots.
"""

from collections.abc import Mapping
from typing import Any, Protocol

from pumicenotch.errors import InputError
from pumicenotch.fleet.replicated.fields import FieldReader


class SubjectResult(Protocol):
    """The result of applying an entry, with the fields of `records.ApplyResult`."""

    @property
    def ok(self) -> bool:
        """Whether the entry had its intended effect."""

    @property
    def text(self) -> str:
        """The message for the sender of the entry."""

    @property
    def value(self) -> Any:
        """The result; for a refusal the error code, if there is one."""


class ReplicatedSubject(Protocol):
    """A subject of the replicated state. Equal entries lead to equal content at every voter."""

    @property
    def name(self) -> str:
        """The key of the subject in snapshots, which never changes."""

    @property
    def level(self) -> int:
        """The lowest fleet level at which all voters read this subject's entries."""

    @property
    def verbs(self) -> Mapping[str, tuple[FieldReader, ...]]:
        """The verbs of the subject's entries, with a reader per field. Readers raise ValueError."""

    def admit(self, verb: str, args: tuple[Any, ...]) -> None:
        """Called by a leader before it proposes an entry; raises ValueError to refuse the entry."""

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> SubjectResult:
        """Applies the entry at that log index, given its decoded fields; raises nothing."""

    def dump(self) -> bytes:
        """Returns the content as bytes. Equal content gives equal bytes."""

    def load(self, data: bytes) -> None:
        """Replaces the content with the result of a `dump`; raises ValueError on other data."""


class UnknownSubjectError(InputError):
    """A snapshot of another voter has a subject that this voter does not have."""

    def __init__(self, name: str) -> None:
        super().__init__(
            f"the subject {name!r} is not known to this voter",
            place="fleet snapshot",
            remedy="give its file the block that the other voters' files have for it, or start it"
            " with a newer program",
        )
        self.name = name
