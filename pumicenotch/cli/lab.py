"""The commands `pumicenotch lab`: experiments, soak tests and their results.

The commands run real servers, or a simulation, in an emulated environment of gateways and clients.
"""

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
    help="Real servers in an emulated environment: experiments and their results.",
)
JsonFlag = Annotated[bool, Parameter(name="--json", negative="")]
Overrides = Annotated[
    list[str] | None, Parameter(name="--set", negative="", consume_multiple=False)
]


def exit_with_error(error: Exception, status: int = 2) -> None:
    """Prints an error to standard error and exits with the given status."""
    print(error, file=sys.stderr)
    sys.exit(status)


@lab.command(name="list")
def list_(*, as_json: JsonFlag = False) -> None:
    """List the experiments of the project, one per line."""
    collected = []
    for path in sorted(experiment_file.FOLDER.glob("*.hcl")):
        try:
            specification, _ = experiment_file.read(str(path))
        except InvalidFileError:
            # The folder also holds files of pools, which are not experiments.
            continue
        collected.append(
            {"name": path.stem, "carrier": specification.carrier, "about": specification.about}
        )
    if as_json:
        print(json.dumps(collected))
    else:
        for entry in collected:
            print(f"{entry['name']:<14} {entry['carrier']:<10} {entry['about']}")


@lab.command
def run(
    name: str,
    /,
    *,
    seed: int | None = None,
    seeds: int | None = None,
    set_: Overrides = None,
    out: Path | None = None,
    as_json: JsonFlag = False,
) -> None:
    """Run an experiment. The exit status is 1 if a bound is not met or a rule is violated.

    Parameters
    ----------
    name
        A name printed by `lab list`, or the path of an HCL file.
    seed
        The first seed. With the same seed and settings every arm has the same arrivals.
    seeds
        Number of runs of each arm, with consecutive seeds.
    set_
        K=V overrides a value of the file: load=1.2, gateways.tries=10, stage.bake.work_ms=900.
    out
        The folder for summary.json, windows.csv and the logs of the servers. It must not hold a result already.
    as_json
        Print the summary as JSON instead of tables.
    """
    overrides = list(set_ or [])
    overrides += [f"seed={seed}"] if seed is not None else []
    overrides += [f"seeds={seeds}"] if seeds is not None else []
    try:
        specification, path = experiment_file.read(name, overrides)
        if out is not None and (out / "summary.json").exists():
            raise InvalidFileError(
                f"{out}: holds a result already: name another folder, or remove it first"
            )
        experiment.check_machine(specification)
    except (InvalidFileError, MachineTooSmallError) as error:
        exit_with_error(error)
    # SIGTERM ends the runs in the same way as Ctrl-C.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    collected: list[experiment.Run] = []
    complete = True
    logs = str(out) if out is not None else ""
    try:
        for _ in experiment.runs(
            specification, path, logs, experiment.workers(specification), collected.append
        ):
            latest_run = collected[-1]
            print(
                f"{latest_run.arm} seed {latest_run.seed}: utility {latest_run.figures['utility']:.3f}",
                file=sys.stderr,
            )
    except KeyboardInterrupt:
        complete = False
        # The runs are ending already; a further SIGTERM must not interrupt the summary.
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        print("stopped: what had ended is kept and marked", file=sys.stderr)
    except RunFailedError as error:
        if not collected:
            exit_with_error(error, error.status)
        complete = False
        print(f"{error}; what had ended is kept and marked", file=sys.stderr)
    summary = experiment_results.summary(specification, path.stem, overrides, collected, complete)
    try:
        if out is not None:
            experiment_results.keep(out, summary, collected)
    except OSError as error:
        print(f"{out}: the result cannot be written: {error.strerror}", file=sys.stderr)
        complete = False
    print_summary(summary, as_json)
    sys.exit(0 if complete and all(row["kept"] for row in summary["verdict"]) else 1)


def print_summary(summary: dict[str, Any], as_json: bool) -> None:
    """Prints the summary of an experiment as tables, or as JSON."""
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
    as_json: JsonFlag = False,
) -> None:
    """Drain real servers, up to the kill, while clients keep sending. The exit status is 1 if a rule is violated.

    Parameters
    ----------
    seed
        The first seed. A seed determines the whole run: load, signals, reloads and the time of the notice.
    seeds
        Number of runs, with consecutive seeds.
    busy
        Number of processes that keep cores busy during the runs.
    out
        The folder for summary.json and the logs of the servers. It must not hold a result already.
    as_json
        Print the summary as JSON instead of as text.
    """
    check_soak_options(seed, seeds, busy, out)
    # SIGTERM ends the runs in the same way as Ctrl-C.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    results: list[SoakResult] = []
    complete = False
    try:
        for result in soak_series(seed, seeds, busy, out):
            results.append(result)
            print(soak_report.describe(result), file=sys.stderr)
            if not soak_report.is_kept(result):
                print(soak_report.describe_violations(result, busy), file=sys.stderr)
        complete = True
    except KeyboardInterrupt:
        print("stopped: what had ended is kept and marked", file=sys.stderr)
    except SoakStartError as error:
        print(error, file=sys.stderr)
    summary = soak_report.summarize(results, busy, complete)
    if out is not None:
        soak_report.write_summary(out, summary)
    if as_json:
        print(json.dumps(summary))
    else:
        for name, value in summary.items():
            print(f"{name:<16} {value}")
    sys.exit(0 if complete and not summary["broken_seeds"] else 1)


def check_soak_options(seed: int, seeds: int, busy: int, out: Path | None) -> None:
    """Exits with status 2 if an option is out of range or the output folder holds a result."""
    if seed < 0:
        exit_with_error(ValueError(f"--seed: {seed} is given, 0 or more is allowed"))
    if seeds < 1:
        exit_with_error(ValueError(f"--seeds: {seeds} is given, 1 or more is allowed"))
    if not 0 <= busy <= MAX_BUSY:
        exit_with_error(ValueError(f"--busy: {busy} is given, 0 to {MAX_BUSY} are allowed"))
    if out is not None and (out / soak_report.SUMMARY_NAME).exists():
        exit_with_error(
            ValueError(
                f"--out: {out} holds a result already: name another folder, or remove it first"
            )
        )


@lab.command
def show(folder: Path, /, *, as_json: JsonFlag = False) -> None:
    """Print the tables of a stored result."""
    try:
        print_summary(experiment_results.kept_summary(folder), as_json)
    except InvalidFileError as error:
        exit_with_error(error)


@lab.command
def up(*, seconds: float = 0.0, set_: Overrides = None) -> None:
    """Run one server under load in an emulated environment until Ctrl-C. Prints one line of figures per second.

    Parameters
    ----------
    seconds
        Stop after this number of seconds; 0 means one hour.
    set_
        K=V overrides a value of experiments/up.hcl.
    """
    from pumicenotch.lab.up import watch

    overrides = [*(set_ or []), f"length_s={seconds or 3600.0}"]
    try:
        specification, path = experiment_file.read("up", overrides)
    except InvalidFileError as error:
        exit_with_error(error)
    sys.exit(watch(specification, path))
