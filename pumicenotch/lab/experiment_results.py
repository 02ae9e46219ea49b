"""What is kept of an experiment: `summary.json` with its verdict on each bound, and `windows.csv`."""

import csv
import io
import json
import subprocess
from datetime import UTC, datetime
from pathlib import Path
from statistics import mean, stdev
from typing import Any

from pumicenotch.config.file import InvalidFileError
from pumicenotch.config.files import write_atomically
from pumicenotch.lab.experiment import Run
from pumicenotch.lab.experiment_file import Bound, Experiment

FORM = 1  # of summary.json


def commit() -> str:
    """The commit that is measured, marked where files differ from it."""
    try:
        command = [
            "git",
            "-C",
            str(Path(__file__).parent),
            "describe",
            "--always",
            "--dirty",
            "--abbrev=12",
        ]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def summary(
    told: Experiment, name: str, sets: list[str], found: list[Run], whole: bool = True
) -> dict[str, Any]:
    """What is kept of an experiment. Figures of an arm are means over its seeds."""
    arms: dict[str, dict[str, float]] = {}
    for arm in told.arm:
        mine = [run.figures for run in found if run.arm == arm.name]
        if mine:
            arms[arm.name] = {
                figure: round(mean(each[figure] for each in mine), 4) for figure in mine[0]
            }
    rules = {
        rule: sum(run.rules[rule] for run in found)
        for rule in ("lost", "doubled", "drain", "fallen")
    }
    return {
        "form": FORM,
        "experiment": name,
        "about": told.about,
        "at": datetime.now(UTC).isoformat(timespec="seconds"),
        "carrier": told.carrier,
        "seed": told.seed,
        "seeds": told.seeds,
        "settings": {"set": sets, **told.model_dump(mode="json", exclude={"arm", "bound"})},
        "git": commit(),
        "whole": whole,
        "arms": arms,
        "rules": rules,
        "broken": [text for run in found for text in run.broken][:40],
        "verdict": verdict(told, found, rules),
        "runs": [
            {"arm": run.arm, "seed": run.seed, "rules": run.rules, **run.figures} for run in found
        ],
    }


def verdict(told: Experiment, found: list[Run], rules: dict[str, int]) -> list[dict[str, Any]]:
    by = {(run.arm, run.seed): run.figures for run in found}
    kept: list[dict[str, Any]] = [
        {"bound": f"rule {rule} broken 0 times", "figure": times, "kept": times == 0}
        for rule, times in rules.items()
    ]
    for bound in told.bound:
        seeds = [
            seed
            for arm, seed in by
            if arm == bound.arm and (bound.than is None or (bound.than, seed) in by)
        ]
        if not seeds or bound.figure not in by[bound.arm, seeds[0]]:
            kept.append({"bound": f"{bound.arm} {bound.figure}", "figure": None, "kept": False})
            continue
        values = [
            compared(bound, by[bound.arm, seed], by.get((bound.than or "", seed), {}))
            for seed in seeds
        ]
        figure = round(mean(values), 4)
        good = figure >= bound.least if bound.least is not None else figure <= (bound.most or 0.0)
        sign = f">= {bound.least:g}" if bound.least is not None else f"<= {bound.most:g}"
        over = f" {'by' if bound.ratio else 'less'} {bound.than}'s" if bound.than else ""
        row: dict[str, Any] = {
            "bound": f"{bound.arm} {bound.figure}{over} {sign}",
            "figure": figure,
            "kept": good,
        }
        if len(values) > 1:
            row["spread"] = round(stdev(values), 4)
        kept.append(row)
    return kept


def compared(bound: Bound, mine: dict[str, float], others: dict[str, float]) -> float:
    """The figure itself, or held against the other arm's."""
    value = mine[bound.figure]
    if bound.than is None:
        return value
    other = others[bound.figure]
    return value / max(1e-9, other) if bound.ratio else value - other


def keep(folder: Path, told: dict[str, Any], found: list[Run]) -> None:
    """Each file whole or not at all: a full disk leaves what was there."""
    folder.mkdir(parents=True, exist_ok=True)
    write_atomically(folder / "summary.json", json.dumps(told, indent=1) + "\n")
    table = io.StringIO(newline="")
    rows = csv.DictWriter(
        table, ["arm", "seed", "second", "class", "asked", "served", "rejected", "late"]
    )
    rows.writeheader()
    for run in found:
        rows.writerows({"arm": run.arm, "seed": run.seed, **row} for row in run.rows)
    write_atomically(folder / "windows.csv", table.getvalue())


def kept_summary(folder: Path) -> dict[str, Any]:
    """Raises InvalidFileError where there is none, or one that this program cannot read."""
    path = folder / "summary.json"
    try:
        told: dict[str, Any] = json.loads(path.read_text())
    except OSError as error:
        raise InvalidFileError(f"{path}:1: cannot be read: {error.strerror}") from None
    except ValueError:
        raise InvalidFileError(
            f"{path}:1: no JSON: was the run cut off while it was kept?"
        ) from None
    if not isinstance(told, dict) or told.get("form") != FORM:
        form = told.get("form") if isinstance(told, dict) else None
        raise InvalidFileError(
            f"{path}:1: form: {form!r} is unknown, {FORM} is allowed: run the experiment again"
        )
    return told
