"""The rules of KNOWN-RED.txt, on suites of their own."""

from pathlib import Path

import pytest

import tests.known_red as known_red

SUITE = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED = "test: test_it.py::test_red\ncommand: pytest -q\nseen: a fault\nissue: 9\n"
GREEN = RED.replace("test_red", "test_green")


def run(
    pytester: pytest.Pytester, text: str | None, suite: str = SUITE, *arguments: str
) -> pytest.RunResult:
    pytester.makepyfile(test_it=suite)
    root = str(Path(known_red.__file__).parent.parent)
    pytester.makeconftest(
        f"import sys\nsys.path.insert(0, {root!r})\npytest_plugins = ['tests.known_red']\n"
    )
    if text is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(text)
    return pytester.runpytest_subprocess("-p", "no:cacheprovider", *arguments)


@pytest.mark.parametrize("text", [RED, f"# fix these first\n\n{RED}\n", RED + "passes: alone\n"])
def test_a_listed_failure_is_passed_over_and_printed(pytester: pytest.Pytester, text: str) -> None:
    result = run(pytester, text)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["KNOWN RED: test_it.py::test_red: a fault (issue 9*)"])


def test_only_an_intermittent_failure_may_pass(pytester: pytest.Pytester) -> None:
    result = run(pytester, f"{RED}\n{GREEN}passes: on a quiet machine\n")
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(["*test_green: a fault (issue 9; passes on a quiet machine)"])


LOGGING_SUITE = """\
def test_red(tmp_path):
    (tmp_path / "servers").mkdir()
    (tmp_path / "servers" / "n1.log").write_text("first\\n" * 99999 + "the last words\\n")
    assert not list(range(99)), "what went wrong " + 9999 * "x"

def test_green():
    pass
"""


@pytest.mark.parametrize("arguments", [(), ("-n", "2")])
def test_a_listed_failure_tells_what_it_saw(
    pytester: pytest.Pytester, arguments: tuple[str, ...]
) -> None:
    """Guards against entries whose failures leave no trace."""
    result = run(pytester, f"{RED}\n{GREEN}passes: alone\n", LOGGING_SUITE, *arguments)
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        [
            "KNOWN RED: test_it.py::test_red: *",
            "  in this run: failed",
            "    E *AssertionError: what went wrong*",
            "    1 logs and settings are kept in *known-red-logs/test_it.py-test_red",
            "    the end of servers/n1.log:",
            "      the last words",
            "KNOWN RED: test_it.py::test_green: *",
            "  in this run: passed",
        ]
    )
    kept = pytester.path / "known-red-logs/test_it.py-test_red/servers/n1.log"
    assert kept.read_text().endswith("the last words\n") and kept.stat().st_size <= 256 * 1024
    assert len(result.stdout.str()) < 9000


def test_a_listed_test_that_is_not_chosen_is_said_to_be_not_played(
    pytester: pytest.Pytester,
) -> None:
    result = run(pytester, RED, SUITE, "-k", "green")
    result.stdout.fnmatch_lines(["KNOWN RED: test_it.py::test_red*", "  in this run: not played"])


@pytest.mark.parametrize("text", [None, "", "\n", "# a comment\n"])
def test_without_entries_a_failure_is_one(pytester: pytest.Pytester, text: str | None) -> None:
    result = run(pytester, text)
    assert result.ret == 1
    result.assert_outcomes(passed=1, failed=1)


def test_four_failures_may_be_listed(pytester: pytest.Pytester) -> None:
    names = [f"test_it.py::test_red_{number}" for number in range(4)]
    text = "\n".join(RED.replace("test_it.py::test_red", name) for name in names)
    result = run(pytester, text)
    for name in names:
        assert f"KNOWN-RED.txt: there is no test {name}" in result.stdout.str()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (f"{RED}\n{GREEN}", "take its entry out of KNOWN-RED.txt"),
        (
            f"{RED}\n{RED.replace('test_red', 'test_none')}",
            "there is no test test_it.py::test_none",
        ),
        (RED.replace("test_it", "gone"), "there is no test gone.py::test_red"),
        (f"{RED}\n{RED}", "test_it.py::test_red is listed twice"),
        (f"\n{RED.replace('a fault', '')}", "KNOWN-RED.txt:2: give test, command, seen, issue"),
        (RED.replace("9", ""), "KNOWN-RED.txt:1: give test"),
        (RED.replace("9", "soon"), "KNOWN-RED.txt:1: give test"),
        (RED.replace("command: pytest -q\n", ""), "KNOWN-RED.txt:1: give test"),
        (f"{RED}\n{GREEN}passes:\n", "KNOWN-RED.txt:6: give test"),
        ("test_it.py::test_red\n", "KNOWN-RED.txt:1: give test"),
    ],
    ids=[
        "passes",
        "no such test",
        "no such file",
        "twice",
        "nothing seen",
        "no issue",
        "no number",
        "no command",
        "passes at no time",
        "a test alone",
    ],
)
def test_what_fails_the_run(pytester: pytest.Pytester, text: str, message: str) -> None:
    result = run(pytester, text)
    assert result.ret not in (0, 5)
    assert message in result.stdout.str() + result.stderr.str()
