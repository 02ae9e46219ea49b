"""Aggregated acknowledgements: how many copies there are, how many are current, which are not."""

from collections.abc import Iterable
from typing import NamedTuple

# Of further ones a report has only the count.
MAX_NAMED_PROBLEMS = 64
# The code of a copy that is late, without an error.
BEHIND = "behind"


class CopyProblem(NamedTuple):
    """A copy that has not the newest version in force, and why: an error's code, or BEHIND."""

    name: str
    version: int
    code: str


class Report(NamedTuple):
    """The state of a copy and of all that it serves.

    Attributes:
        copies: how many there are.
        lowest: the lowest version in force at any of them.
        newest: the newest version that any of them knows of.
        current: how many have the newest in force.
        problems: those that have not, as far as they are named.
        unnamed: how many more have not.
    """

    copies: int
    lowest: int
    newest: int
    current: int
    problems: tuple[CopyProblem, ...] = ()
    unnamed: int = 0


EMPTY = Report(0, 0, 0, 0)


def own_report(name: str, version: int, newest: int, code: str) -> Report:
    """Return the report of one copy alone."""
    newest = max(version, newest)
    if version == newest and not code:
        return Report(1, version, newest, 1)
    return Report(1, version, newest, 0, (CopyProblem(name, version, code or BEHIND),))


def merged(reports: Iterable[Report]) -> Report:
    """Return the report of all of them together."""
    counted = [report for report in reports if report.copies]
    if not counted:
        return EMPTY
    newest = max(report.newest for report in counted)
    problems = sorted({problem for report in counted for problem in report.problems})
    unnamed = sum(report.unnamed for report in counted) + max(0, len(problems) - MAX_NAMED_PROBLEMS)
    return Report(
        copies=sum(report.copies for report in counted),
        lowest=min(report.lowest for report in counted),
        newest=newest,
        current=sum(report.current for report in counted if report.newest == newest),
        problems=tuple(problems[:MAX_NAMED_PROBLEMS]),
        unnamed=unnamed,
    )
