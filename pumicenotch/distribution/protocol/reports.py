"""Merged acknowledgements: the number of copies, the number of current ones, and the others."""

from collections.abc import Iterable
from typing import NamedTuple

# Number of problems that a report names. Further ones are only counted.
MAX_NAMED_PROBLEMS = 64
# The code of a copy that is behind without an error.
BEHIND = "behind"


class CopyProblem(NamedTuple):
    """A copy without the newest version in force. `code` is the code of its error, or BEHIND."""

    name: str
    version: int
    code: str


class Report(NamedTuple):
    """The state of a copy and of all copies that it serves.

    Attributes:
        copies: the number of copies.
        lowest: the lowest version in force at any copy.
        newest: the newest version that any copy knows of.
        current: the number of copies with the newest version in force.
        problems: copies without the newest version, up to MAX_NAMED_PROBLEMS.
        unnamed: the number of further copies without the newest version.
    """

    copies: int
    lowest: int
    newest: int
    current: int
    problems: tuple[CopyProblem, ...] = ()
    unnamed: int = 0


EMPTY = Report(0, 0, 0, 0)


def own_report(name: str, version: int, newest: int, code: str) -> Report:
    """Returns the report of one copy."""
    newest = max(version, newest)
    if version == newest and not code:
        return Report(1, version, newest, 1)
    return Report(1, version, newest, 0, (CopyProblem(name, version, code or BEHIND),))


def merge_reports(reports: Iterable[Report]) -> Report:
    """Returns one report that covers the copies of all given reports."""
    nonempty = [report for report in reports if report.copies]
    if not nonempty:
        return EMPTY
    newest = max(report.newest for report in nonempty)
    problems = sorted({problem for report in nonempty for problem in report.problems})
    unnamed = sum(report.unnamed for report in nonempty) + max(
        0, len(problems) - MAX_NAMED_PROBLEMS
    )
    return Report(
        copies=sum(report.copies for report in nonempty),
        lowest=min(report.lowest for report in nonempty),
        newest=newest,
        current=sum(report.current for report in nonempty if report.newest == newest),
        problems=tuple(problems[:MAX_NAMED_PROBLEMS]),
        unnamed=unnamed,
    )
