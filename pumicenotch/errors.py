"""The base classes of errors that are shown to operators."""

from typing import ClassVar


class PumicenotchError(Exception):
    """An error with a problem and, if known, its location and a remedy.

    Attributes:
        code: the kind of error in answers to other programs; None if answers do not distinguish it.
        problem: what is wrong.
        place: the location: a file and line, a setting or a message field; empty if unknown.
        remedy: how to correct the problem; empty if unknown.
    """

    code: ClassVar[str | None] = None

    def __init__(self, problem: str, *, place: str = "", remedy: str = "") -> None:
        super().__init__(problem)
        self.problem = problem
        self.place = place
        self.remedy = remedy

    def __str__(self) -> str:
        """Returns `PLACE: PROBLEM: REMEDY`, without the fields that are empty."""
        return ": ".join(field for field in (self.place, self.problem, self.remedy) if field)


class InputError(PumicenotchError, ValueError):
    """Invalid input. The class is also a ValueError, which callers of parsers catch."""
