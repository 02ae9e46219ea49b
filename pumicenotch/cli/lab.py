"""`pumicenotch lab`: experiments, their results, and a world to look at."""

import json
import signal
import sys
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter
from rich.console import Console
from rich.table import Table

from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.lab import experiment, experiment_file, experiment_results
from pumicenotch.lab.guard import MachineTooSmallError, RunFailedError
from pumicenotch.lab.soak import report as soak_report
from pumicenotch.lab.soak.run import SoakResult, SoakStartError
from pumicenotch.lab.soak.series import MAX_BUSY
from pumicenotch.lab.soak.series import soak as soak_series

lab = App(
    name="lab",
    help="Real servers with an emulated world round them: experiments and their results.",
)
Json = Annotated[bool, Parameter(name="--json", negative="")]
Sets = Annotated[list[str] | None, Parameter(name="--set", negative="", consume_multiple=False)]


def wrong(error: Exception, status: int = 2) -> None:
    print(error, file=sys.stderr)
    sys.exit(status)


@lab.command(name="list")
def list_(*, as_json: Json = False) -> None:
    """The project's experiments, one line each."""
    found = []
    for path in sorted(experiment_file.FOLDER.glob("*.hcl")):
        try:
            told, _ = experiment_file.read(str(path))
        except InvalidFileError:
            continue  # a file of pools beside them
        found.append({"name": path.stem, "carrier": told.carrier, "about": told.about})
    if as_json:
        print(json.dumps(found))
    else:
        for each in found:
            print(f"{each['name']:<14} {each['carrier']:<10} {each['about']}")


@lab.command
def run(
    name: str,
    /,
    *,
    seed: int | None = None,
    seeds: int | None = None,
    set_: Sets = None,
    out: Path | None = None,
    as_json: Json = False,
) -> None:
    """Run an experiment. Exit status 1: a bound is not kept or a rule was broken.

    Parameters
    ----------
    name
        One of `lab list`, or a path to an HCL file.
    seed
        The first seed; the same seed and settings bring every arm the same arrivals.
    seeds
        Runs of each arm, by seeds that follow each other.
    set_
        K=V in the place of what the file says: load=1.2, gateways.tries=10, stage.bake.work_ms=900.
    out
        A folder for summary.json, windows.csv and the servers' logs. It must not hold a result already.
    as_json
        The summary as JSON instead of tables.
    """
    sets = list(set_ or [])
    sets += [f"seed={seed}"] if seed is not None else []
    sets += [f"seeds={seeds}"] if seeds is not None else []
    try:
        told, path = experiment_file.read(name, sets)
        if out is not None and (out / "summary.json").exists():
            raise InvalidFileError(
                f"{out}: holds a result already: name another folder, or remove it first"
            )
        experiment.check_machine(told)
    except (InvalidFileError, MachineTooSmallError) as error:
        wrong(error)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # as Ctrl-C: what runs is ended
    found: list[experiment.Run] = []
    whole = True
    logs = str(out) if out is not None else ""
    try:
        for _ in experiment.runs(told, path, logs, experiment.workers(told), found.append):
            ran = found[-1]
            print(
                f"{ran.arm} seed {ran.seed}: utility {ran.figures['utility']:.3f}", file=sys.stderr
            )
    except KeyboardInterrupt:
        whole = False
        signal.signal(signal.SIGTERM, signal.SIG_IGN)  # what runs is ending already
        print("stopped: what had ended is kept and marked", file=sys.stderr)
    except RunFailedError as error:
        if not found:
            wrong(error, error.status)
        whole = False
        print(f"{error}; what had ended is kept and marked", file=sys.stderr)
    summary = experiment_results.summary(told, path.stem, sets, found, whole)
    try:
        if out is not None:
            experiment_results.keep(out, summary, found)
    except OSError as error:
        print(f"{out}: cannot be kept: {error.strerror}", file=sys.stderr)
        whole = False
    shown(summary, as_json)
    sys.exit(0 if whole and all(row["kept"] for row in summary["verdict"]) else 1)


def shown(summary: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(summary))
        return
    console = Console()
    table = Table(title=f"{summary['experiment']}, {summary['carrier']}, {summary['git']}")
    table.add_column("figure")
    arms = summary["arms"]
    for arm in arms:
        table.add_column(arm, justify="right")
    for figure in dict.fromkeys(figure for arm in arms.values() for figure in arm):
        table.add_row(figure, *(f"{arms[arm].get(figure, float('nan')):.4g}" for arm in arms))
    console.print(table)
    bounds = Table(title="bounds" if summary["whole"] else "bounds (stopped before the end)")
    for column in ("bound", "figure", "spread", "kept"):
        bounds.add_column(column)
    for row in summary["verdict"]:
        bounds.add_row(
            row["bound"],
            str(row["figure"]),
            str(row.get("spread", "")),
            "yes" if row["kept"] else "NO",
        )
    console.print(bounds)
    for text in summary["broken"][:10]:
        console.print(f"broken at {text}")


@lab.command
def soak(
    *,
    seed: int = 1,
    seeds: int = 50,
    busy: int = 0,
    out: Path | None = None,
    as_json: Json = False,
) -> None:
    """Drain real servers under clients that never stop, up to the kill. Exit status 1: a rule was broken.

    Parameters
    ----------
    seed
        The first seed; a seed draws the whole run: load, signals, reloads, the moment of the notice.
    seeds
        How many runs, by seeds that follow each other.
    busy
        Processes that keep cores busy beside it.
    out
        A folder for summary.json and the servers' logs. It must not hold a result already.
    as_json
        The summary as JSON instead of a line a run.
    """
    check_soak_options(seed, seeds, busy, out)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # as Ctrl-C: what runs is ended
    results: list[SoakResult] = []
    whole = False
    try:
        for result in soak_series(seed, seeds, busy, out):
            results.append(result)
            print(soak_report.describe(result), file=sys.stderr)
            if not soak_report.is_kept(result):
                print(soak_report.describe_violations(result, busy), file=sys.stderr)
        whole = True
    except KeyboardInterrupt:
        print("stopped: what had ended is kept and marked", file=sys.stderr)
    except SoakStartError as error:
        print(error, file=sys.stderr)
    summary = soak_report.summarize(results, busy, whole)
    if out is not None:
        soak_report.write_summary(out, summary)
    if as_json:
        print(json.dumps(summary))
    else:
        for name, value in summary.items():
            print(f"{name:<16} {value}")
    sys.exit(0 if whole and not summary["broken_seeds"] else 1)


def check_soak_options(seed: int, seeds: int, busy: int, out: Path | None) -> None:
    """Ends the command with 2 where an option makes no sense."""
    if seed < 0:
        wrong(ValueError(f"--seed: {seed} is given, 0 or more is wanted"))
    if seeds < 1:
        wrong(ValueError(f"--seeds: {seeds} is given, 1 or more is wanted"))
    if not 0 <= busy <= MAX_BUSY:
        wrong(ValueError(f"--busy: {busy} is given, 0 to {MAX_BUSY} are wanted"))
    if out is not None and (out / soak_report.SUMMARY_NAME).exists():
        wrong(ValueError(f"--out: {out} holds a result already: name another, or remove it first"))


@lab.command
def show(folder: Path, /, *, as_json: Json = False) -> None:
    """A kept result's tables again."""
    try:
        shown(experiment_results.kept_summary(folder), as_json)
    except InvalidFileError as error:
        wrong(error)


@lab.command
def up(*, seconds: float = 0.0, set_: Sets = None) -> None:
    """One server with an emulated world round it, under load, until Ctrl-C: a line a second of what it does.

    Parameters
    ----------
    seconds
        End by itself after so long; 0: an hour.
    set_
        K=V of experiments/up.hcl.
    """
    from pumicenotch.lab.up import watch

    sets = [*(set_ or []), f"length_s={seconds or 3600.0}"]
    try:
        told, path = experiment_file.read("up", sets)
    except InvalidFileError as error:
        wrong(error)
    sys.exit(watch(told, path))
