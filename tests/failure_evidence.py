"""What a failed test leaves behind: the end of its report, and the logs in its folder.

The logs are copied beside the suite, because pytest removes the folders of earlier runs.
"""

import re
from pathlib import Path

import pytest

FOLDER_NAME = "known-red-logs"  # below the root; git ignores it
LOG_PATTERNS = ("*.log", "*.json", "*.hcl")
MAX_REPORT_LINES = 12
MAX_LINE_LENGTH = 400
MAX_LOGS = 40
MAX_LOG_BYTES = 256 * 1024  # of one log, from its end
MAX_SHOWN_LOGS = 3
MAX_SHOWN_LOG_LINES = 4


def shorten(line: str) -> str:
    """Returns a line without what is over its longest length."""
    return line if len(line) <= MAX_LINE_LENGTH else f"{line[:MAX_LINE_LENGTH]} [...]"


def last_lines(text: str, count: int) -> list[str]:
    """Returns the last lines that are not blank, each shortened."""
    lines = [line for line in text.splitlines() if line.strip()]
    return [shorten(line) for line in lines[-count:]]


def folder_of(root: Path, test: str) -> Path:
    """Returns the folder that the logs of a test are kept in."""
    return root / FOLDER_NAME / re.sub(r"[^A-Za-z0-9_.-]+", "-", test)


def keep_logs(source: Path, target: Path) -> list[Path]:
    """Copies the ends of the logs below a folder; returns the copies, the latest written first."""
    found = [path for pattern in LOG_PATTERNS for path in source.rglob(pattern) if path.is_file()]
    found.sort(key=lambda path: path.stat().st_mtime, reverse=True)
    kept = []
    for path in found[:MAX_LOGS]:
        copy = target / path.relative_to(source)
        copy.parent.mkdir(parents=True, exist_ok=True)
        copy.write_bytes(path.read_bytes()[-MAX_LOG_BYTES:])
        kept.append(copy)
    return kept


def describe(item: pytest.Item, report: pytest.TestReport) -> str:
    """Returns the last lines of a failure and of its logs, which are kept."""
    lines = last_lines(report.longreprtext, MAX_REPORT_LINES)
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if isinstance(folder, Path):
        target = folder_of(item.config.rootpath, item.nodeid)
        kept = keep_logs(folder, target)
        lines += [f"{len(kept)} logs and settings are kept in {target}"] if kept else []
        for path in [path for path in kept if path.suffix == ".log"][:MAX_SHOWN_LOGS]:
            lines.append(f"the end of {path.relative_to(target)}:")
            text = path.read_text(errors="replace")
            lines += [f"  {line}" for line in last_lines(text, MAX_SHOWN_LOG_LINES)]
    return "\n".join(lines)
