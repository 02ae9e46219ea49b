"""Acknowledgements in aggregate: how many copies there are below, how many are current, and who is not."""

from collections.abc import Iterable
from typing import NamedTuple

TROUBLES_MOST = 64  # named in one report; of more, the count is told
BEHIND = "behind"  # the code of a copy that is only late


class Trouble(NamedTuple):
    """A copy that is behind the newest version, and why: an error's code, or BEHIND."""

    name: str
    version: int
    code: str


class Report(NamedTuple):
    """Of a copy and all that it serves."""

    copies: int
    lowest: int  # version in force at any of them
    newest: int  # version that any of them knows of
    current: int  # how many have the newest in force
    troubles: tuple[Trouble, ...] = ()
    unnamed: int = 0  # further ones behind or in trouble


EMPTY = Report(0, 0, 0, 0)


def own_report(name: str, version: int, newest: int, code: str) -> Report:
    """Of one copy alone."""
    newest = max(version, newest)
    if version == newest and not code:
        return Report(1, version, newest, 1)
    return Report(1, version, newest, 0, (Trouble(name, version, code or BEHIND),))


def merged(reports: Iterable[Report]) -> Report:
    """Of all of them together."""
    found = [report for report in reports if report.copies]
    if not found:
        return EMPTY
    newest = max(report.newest for report in found)
    troubles = sorted({trouble for report in found for trouble in report.troubles})
    unnamed = sum(report.unnamed for report in found) + max(0, len(troubles) - TROUBLES_MOST)
    return Report(
        copies=sum(report.copies for report in found),
        lowest=min(report.lowest for report in found),
        newest=newest,
        current=sum(report.current for report in found if report.newest == newest),
        troubles=tuple(troubles[:TROUBLES_MOST]),
        unnamed=unnamed,
    )
