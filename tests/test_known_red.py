"""The rules of KNOWN-RED.txt, on suites of their own."""

from pathlib import Path

import pytest

import tests.known_red as known_red

SUITE = "def test_red():\n    assert False\n\ndef test_green():\n    pass\n"
RED = "test_it.py::test_red | a fault | issue 9\n"


def run(pytester: pytest.Pytester, text: str | None) -> pytest.RunResult:
    pytester.makepyfile(test_it=SUITE)
    root = str(Path(known_red.__file__).parent.parent)
    pytester.makeconftest(
        f"import sys\nsys.path.insert(0, {root!r})\npytest_plugins = ['tests.known_red']\n"
    )
    if text is not None:
        (pytester.path / "KNOWN-RED.txt").write_text(text)
    return pytester.runpytest_subprocess("-p", "no:cacheprovider")


def test_a_listed_failure_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    done = run(pytester, RED)
    assert done.ret == 0
    done.assert_outcomes(passed=1, xfailed=1)
    done.stdout.fnmatch_lines(["KNOWN RED: test_it.py::test_red: a fault (issue 9)"])


@pytest.mark.parametrize("text", [None, "", "\n"])
def test_without_lines_a_failure_is_one(pytester: pytest.Pytester, text: str | None) -> None:
    done = run(pytester, text)
    assert done.ret == 1
    done.assert_outcomes(passed=1, failed=1)


@pytest.mark.parametrize(
    ("text", "said"),
    [
        (RED + RED.replace("red |", "green |"), "take its line out of KNOWN-RED.txt"),
        (RED + RED.replace("red |", "none |"), "there is no test test_it.py::test_none"),
        ("gone.py::test_x | a fault | issue 9\n", "there is no test gone.py::test_x"),
        (4 * RED, "4 lines, 3 at the most"),
        ("test_it.py::test_red | | issue 9\n", "KNOWN-RED.txt:1: give TEST"),
        ("test_it.py::test_red | a fault |\n", "KNOWN-RED.txt:1: give TEST"),
        ("test_it.py::test_red\n", "KNOWN-RED.txt:1: give TEST"),
    ],
    ids=[
        "passes",
        "no such test",
        "no such file",
        "a fourth",
        "no cause",
        "no issue",
        "a test alone",
    ],
)
def test_what_fails_the_run(pytester: pytest.Pytester, text: str, said: str) -> None:
    done = run(pytester, text)
    assert done.ret not in (0, 5)
    assert said in done.stdout.str() + done.stderr.str()
