"""Known failures: the tests that KNOWN-RED.txt at the root lists, each for a fault not mended yet.

An entry is a block of four lines, in this order; a blank line ends it and `#` begins a comment:

    test: tests/test_x.py::test_name
    command: .venv/bin/pytest -q tests/test_x.py --seed 7
    seen: 3 of 1,000 requests had no answer
    issue: 47

A fifth line, `passes: on a quiet machine`, says when an intermittent failure does not show; without it a
listed test that passes fails the run, so that the file never outlives the fault.

Listed tests are run; their failure is passed over and printed, with the end of its report and of the
logs in the test's folder, which are kept. The run fails for an entry that is malformed
or listed twice, for a test that does not exist, and for a pass that the entry does not allow.
"""

from collections.abc import Generator, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests import failure_evidence

FILE_NAME = "KNOWN-RED.txt"
REQUIRED_FIELDS = ("test", "command", "seen", "issue")
OPTIONAL_FIELD = "passes"
EVIDENCE = "known red evidence"  # the property of a report that holds the text


class KnownFailure(NamedTuple):
    """One entry; `passes` is empty where the test fails every time."""

    test: str
    command: str
    seen: str
    issue: str
    passes: str = ""


def blocks(text: str) -> Iterator[tuple[int, list[str]]]:
    """The runs of lines that are neither blank nor comments, each with the number of its first line."""
    first = 0
    block: list[str] = []
    for number, line in enumerate([*text.splitlines(), ""], 1):
        if line.startswith("#"):
            continue
        if line.strip():
            first = first or number
            block.append(line)
        elif block:
            yield first, block
            first = 0
            block = []


def parse(first_line: int, block: list[str]) -> KnownFailure:
    """One entry from its lines.

    Raises:
        ValueError: names the entry's line and the form that it should have.
    """
    pairs = [line.partition(":") for line in block]
    names = tuple(name.strip() for name, _, _ in pairs)
    values = [value.strip() for _, _, value in pairs]
    complete = names in (REQUIRED_FIELDS, (*REQUIRED_FIELDS, OPTIONAL_FIELD)) and all(values)
    if not complete or not values[REQUIRED_FIELDS.index("issue")].isdecimal():
        raise ValueError(
            f"{FILE_NAME}:{first_line}: give {', '.join(REQUIRED_FIELDS)} (a number),"
            f" and {OPTIONAL_FIELD} for an intermittent failure, a line each in this order"
        )
    return KnownFailure(*values)


def read(path: Path) -> list[KnownFailure]:
    """The entries of the file; none if there is no file.

    Raises:
        ValueError: an entry is malformed or listed twice.
    """
    text = path.read_text() if path.exists() else ""
    failures = [parse(first_line, block) for first_line, block in blocks(text)]
    tests = [failure.test for failure in failures]
    for test in tests:
        if tests.count(test) > 1:
            raise ValueError(f"{FILE_NAME}: {test} is listed twice; keep one entry")
    return failures


class KnownFailures:
    """The pytest plugin that passes over the listed failures and prints them."""

    def __init__(self, failures: list[KnownFailure]) -> None:
        self.by_test = {failure.test: failure for failure in failures}
        self.seen: set[str] = set()
        self.missing: list[str] = []
        self.outcomes: dict[str, str] = {}  # by listed test, as far as this run has played it
        self.evidence: dict[str, str] = {}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        self.seen.add(report.nodeid)
        if report.nodeid in self.by_test and report.when == "call":
            properties = dict(report.user_properties)
            self.outcomes[report.nodeid] = "failed" if EVIDENCE in properties else report.outcome
            self.evidence[report.nodeid] = str(properties.get(EVIDENCE, ""))

    @pytest.hookimpl(tryfirst=True)
    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Only a whole run, and whoever hears of all its workers, can tell which tests there are."""
        config = session.config
        chosen = config.args_source is pytest.Config.ArgsSource.ARGS or config.option.keyword
        partial = chosen or config.option.collectonly
        if not partial and not hasattr(config, "workerinput"):
            self.missing = sorted(self.by_test.keys() - self.seen)
        if self.missing:
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(self, item: pytest.Item) -> Generator[None, Any, Any]:
        report = yield
        failure = self.by_test.get(item.nodeid)
        if failure is not None and report.when == "call":
            if report.failed:
                report.user_properties.append((EVIDENCE, failure_evidence.describe(item, report)))
                report.outcome = "skipped"
                report.wasxfail = f"known red: {failure.seen} (issue {failure.issue})"
            elif report.passed and not failure.passes:
                report.outcome = "failed"
                report.longrepr = f"{failure.test} passes: take its entry out of {FILE_NAME}"
        return report

    def pytest_terminal_summary(self, terminalreporter: Any) -> None:
        for test in self.missing:
            terminalreporter.write_line(f"{FILE_NAME}: there is no test {test}")
        for failure in self.by_test.values():
            passes = f"; passes {failure.passes}" if failure.passes else ""
            terminalreporter.write_line(
                f"KNOWN RED: {failure.test}: {failure.seen} (issue {failure.issue}{passes})"
            )
            outcome = self.outcomes.get(failure.test, "not played")
            terminalreporter.write_line(f"  in this run: {outcome}")
            for line in self.evidence.get(failure.test, "").splitlines():
                terminalreporter.write_line(f"    {line}")


def pytest_configure(config: pytest.Config) -> None:
    try:
        failures = read(config.rootpath / FILE_NAME)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    if failures:
        config.pluginmanager.register(KnownFailures(failures))
