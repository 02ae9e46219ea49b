"""The commands as operators call them: their options, exit statuses, `--json` and refused files.

`golden/commands/` was made by commit ab8f5d8; `options_added.json` holds the commands added since. Texts for people may change; the names of commands and
options, the JSON, the files written and the place that a refusal names may not.
"""

import os
import re
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from tests.compatibility.golden_files import GOLDEN, golden_json

COMMAND = [sys.executable, "-m", "pumicenotch.cli"]
INPUT = GOLDEN / "commands" / "input"
OPTION = re.compile(r"(?<![\w-])--?[a-z][\w-]*")
PLACE = re.compile(r"^[^\s:]+:\d+:(?: [\w.]+(?=:))?")  # FILE:LINE: block.attribute


def called(arguments: list[str], folder: Path) -> subprocess.CompletedProcess[str]:
    """The command's result, in that folder and on a wide terminal."""
    environment = {**os.environ, "COLUMNS": "300", "NO_COLOR": "1"}
    environment.pop("LB_CONFIG", None)
    return subprocess.run(
        [*COMMAND, *arguments],
        capture_output=True,
        text=True,
        cwd=folder,
        env=environment,
        timeout=120,
    )


def rows_of(help_text: str, panel: str) -> list[str]:
    """The rows of one framed panel of a help text, without its frame."""
    found: list[str] = []
    inside = False
    for line in help_text.splitlines():
        if line.startswith("╭"):
            inside = panel in line
        elif line.startswith("│") and inside:
            found.append(line.strip("│").strip())
    return found


def synopsis(help_text: str) -> dict[str, Any]:
    """What a caller may write: the usage line, the subcommands, and each parameter's names.

    A parameter's names end at the first two spaces of its row, where its description begins.
    """
    usage = next(line for line in help_text.splitlines() if line.startswith("Usage:"))
    names = [row.removeprefix("*").strip() for row in rows_of(help_text, "Parameters")]
    return {
        "usage": usage,
        "commands": sorted(row.split()[0] for row in rows_of(help_text, "Commands")),
        "options": [OPTION.findall(row.split("  ")[0]) for row in names if row.startswith("-")],
    }


def help_of(command: str) -> dict[str, Any]:
    result = called([*command.split(), "--help"], Path.cwd())
    assert result.returncode == 0, result.stderr
    return synopsis(result.stdout)


def test_each_command_takes_the_options_it_took() -> None:
    expected = golden_json("commands/options.json")
    for command, added in golden_json("commands/options_added.json").items():
        group = command.rpartition(" ")[0]
        expected[group]["commands"] = sorted([*expected[group]["commands"], command.split()[-1]])
        expected[command] = added
    with ThreadPoolExecutor(4) as threads:
        found = dict(zip(expected, threads.map(help_of, expected), strict=True))
    assert found == expected


def outcome(case: dict[str, Any], folder: Path) -> dict[str, Any]:
    """What the case's command does: exit status, output, places of its errors, the file it writes."""
    result = called(case["arguments"], folder)
    found = {
        "status": result.returncode,
        "stdout": result.stdout if case["prints_data"] else "",
        "places": [
            match[0].replace(f"{folder}/", "")
            for line in result.stderr.splitlines()
            if (match := PLACE.match(line))
        ],
    }
    if written := case.get("writes"):
        found["written"] = (folder / written).read_text()
    return found


@pytest.mark.parametrize("group", sorted(golden_json("commands/cases.json")))
def test_the_commands_answer_as_before(group: str, tmp_path: Path) -> None:
    folder = tmp_path / "input"
    shutil.copytree(INPUT, folder)
    for case in golden_json("commands/cases.json")[group]:
        expected = {
            key: case[key] for key in ("status", "stdout", "places", "written") if key in case
        }
        assert outcome(case, folder) == expected, case["arguments"]
