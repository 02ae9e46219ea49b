"""The voters' book of publications: what the entries of their log make of the configuration. The same entries
give the same book at every voter."""

from collections.abc import Callable, Mapping
from typing import Any, ClassVar, NamedTuple

from pumicenotch.distribution.tables import TABLES, Table

LEVEL = 3  # of the fleet's entries, from which on voters read these
Reader = Callable[[Any], Any]


class Outcome(NamedTuple):
    """What an entry came to, in the form of `fleet.entries.Said`."""

    good: bool
    text: str
    value: Any = None


class Publications:
    """Entries: `stage` (upload, part, changes) and `publish` (request, upload, parts, digest, previous, by,
    why, at_ms, changes). A small publication carries its changes itself, with 0 parts."""

    name: ClassVar[str] = "configuration"
    level: ClassVar[int] = LEVEL
    verbs: ClassVar[Mapping[str, tuple[Reader, ...]]] = {}

    def __init__(self, *, tables: Mapping[str, Table] = TABLES) -> None:
        self.tables = tables

    @property
    def version(self) -> int:
        raise NotImplementedError

    def apply(self, index: int, verb: str, args: tuple[Any, ...]) -> Outcome:
        """An entry of the log, its fields read by the readers of `verbs`."""
        raise NotImplementedError

    def dump(self) -> bytes:
        raise NotImplementedError

    def load(self, told: bytes) -> None:
        raise NotImplementedError
