"""The root of all errors that an operator may see."""

from typing import ClassVar


class PumicenotchError(Exception):
    """An error with a problem, and where they are known its place and its remedy.

    Attributes:
        code: the kind of error in answers to other programs, where it is told apart there.
        problem: what is wrong.
        place: where it is wrong: a file and its line, a setting, a field of a message.
        remedy: what can be done about it.
    """

    code: ClassVar[str | None] = None

    def __init__(self, problem: str, *, place: str = "", remedy: str = "") -> None:
        super().__init__(problem)
        self.problem = problem
        self.place = place
        self.remedy = remedy

    def __str__(self) -> str:
        """Return `PLACE: PROBLEM: REMEDY`, without the parts that are not known."""
        return ": ".join(part for part in (self.place, self.problem, self.remedy) if part)


class InputError(PumicenotchError, ValueError):
    """Input that cannot be accepted. Also a ValueError, which readers of input catch."""
