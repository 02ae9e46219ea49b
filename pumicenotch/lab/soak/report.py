"""What a series of runs showed: lines for people, and a summary as JSON."""

import json
import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from pumicenotch.lab.soak.judge import RULES
from pumicenotch.lab.soak.run import SoakResult

SUMMARY_NAME = "summary.json"
MAX_SHOWN_VIOLATIONS = 5  # of one run


def is_kept(result: SoakResult) -> bool:
    """Returns whether the run broke no rule."""
    return not result.violations


def describe(result: SoakResult) -> str:
    """Returns a run on one line."""
    counts = result.counts
    answers = " ".join(f"{name}={counts.get(name, 0)}" for name in ("requests", "served", "failed"))
    broken = " ".join(f"{rule}={count}" for rule, count in result.rules.items() if count)
    return (
        f"seed {result.schedule.seed}: {broken or 'kept'}; status {result.exit_status} after"
        f" {result.end_ms:.0f} ms; {answers}; {result.memory_mb:.0f} MB;"
        f" longest stall of the runner {result.longest_stall_ms:.0f} ms"
    )


def describe_violations(result: SoakResult, busy: int) -> str:
    """Returns what was broken, under which schedule, and the command that plays it again."""
    seed = result.schedule.seed
    shown = result.violations[:MAX_SHOWN_VIOLATIONS]
    lines = [f"  {violation.rule}: {violation.text}" for violation in shown]
    lines.append(f"  schedule: {result.schedule.describe()}")
    lines.append(f"  log: {result.log}")
    lines.append(f"  again: pumicenotch lab soak --seed {seed} --seeds 1 --busy {busy}")
    return "\n".join(lines)


def summarize(results: Sequence[SoakResult], busy: int, whole: bool) -> dict[str, Any]:
    """Returns the figures of a series; `whole` tells whether it came to its end."""
    ends_ms = sorted(result.end_ms for result in results)
    return {
        "experiment": "soak",
        "seeds": [result.schedule.seed for result in results],
        "busy": busy,
        "whole": whole,
        "rules": {rule: sum(result.rules[rule] for result in results) for rule in RULES},
        "broken_seeds": [each.schedule.seed for each in results if not is_kept(each)],
        "exit_statuses": [result.exit_status for result in results],
        "requests": sum(result.counts.get("requests", 0) for result in results),
        "end_ms_median": round(statistics.median(ends_ms), 1) if ends_ms else None,
        "end_ms_longest": round(ends_ms[-1], 1) if ends_ms else None,
        "memory_mb": max((round(result.memory_mb, 1) for result in results), default=None),
        "runner_stall_ms": max((round(each.longest_stall_ms) for each in results), default=None),
    }


def write_summary(folder: Path, summary: dict[str, Any]) -> None:
    """Writes the summary into the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / SUMMARY_NAME).write_text(json.dumps(summary, indent=1) + "\n")
