"""The root of all errors that an operator may see: where, what is wrong, and what can be done about it."""

from typing import ClassVar


class PumicenotchError(Exception):
    """An error with a place, a problem and a remedy; `code` names its kind for logs and tests."""

    code: ClassVar[str] = "error"

    def __init__(self, place: str, problem: str, remedy: str) -> None:
        super().__init__(place, problem, remedy)
        self.place = place
        self.problem = problem
        self.remedy = remedy

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}: {self.remedy}"
