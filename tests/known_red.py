"""KNOWN-RED.txt at the root: tests that fail for a real fault which is not mended yet, a line each:

    tests/test_x.py::test_name | the cause | issue NUMBER

They are run; that they fail is passed over, and printed. What ends the run with a failure: a fourth line,
a line without cause or issue, a test that passes, or one that does not exist. No file means none.
"""

import re
from collections.abc import Generator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

MOST = 3
ISSUE = re.compile(r"issue [0-9]+")


class Red(NamedTuple):
    test: str
    cause: str
    issue: str


def read(path: Path) -> list[Red]:
    """Raises ValueError with the line that is wrong."""
    lines = path.read_text().splitlines() if path.exists() else []
    found = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or not ISSUE.fullmatch(parts[2]):
            raise ValueError(f"{path.name}:{number}: give TEST | CAUSE | issue NUMBER")
        found.append(Red(*parts))
    if len(found) > MOST:
        raise ValueError(f"{path.name}: {len(found)} lines, {MOST} at the most: mend one first")
    return found


class KnownRed:
    def __init__(self, reds: list[Red]) -> None:
        self.reds = {red.test: red for red in reds}
        self.seen: set[str] = set()
        self.missing: list[str] = []

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.seen.add(report.nodeid)

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Only a whole run, and whoever hears of all its workers, can tell which tests there are."""
        config = session.config
        part = config.args_source is pytest.Config.ArgsSource.ARGS or config.option.keyword
        if not part and not hasattr(config, "workerinput"):
            self.missing = sorted(self.reds.keys() - self.seen)
        if self.missing:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Generator[None, Any, Any]:
        report = yield
        red = self.reds.get(item.nodeid)
        if red is not None and report.when == "call":
            if report.failed:
                report.outcome, report.wasxfail = "skipped", f"known red: {red.cause} ({red.issue})"
            elif report.passed:
                report.outcome = "failed"
                report.longrepr = f"{red.test} passes: take its line out of KNOWN-RED.txt"
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for test in self.missing:
            terminalreporter.write_line(f"KNOWN-RED.txt: there is no test {test}")
        for red in self.reds.values():
            terminalreporter.write_line(f"KNOWN RED: {red.test}: {red.cause} ({red.issue})")


def pytest_configure(config: pytest.Config) -> None:
    try:
        reds = read(config.rootpath / "KNOWN-RED.txt")
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    if reds:
        config.pluginmanager.register(KnownRed(reds))
