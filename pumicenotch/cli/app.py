"""The parts of the command that every installation needs; `lab` is added where its libraries are
installed.
"""

import json
import os
import sys
from collections.abc import Mapping
from typing import Annotated, NoReturn

from cyclopts import App, CycloptsError, Parameter

from pumicenotch import start
from pumicenotch.config import compiled

app = App(
    name="pumicenotch",
    help="Admission and scheduling for servers behind balancers that cannot be changed.",
    version_flags=[],
)
GOOD, SHORT, WRONG = 0, 1, 2


def wrong(text: object) -> NoReturn:
    print(text, file=sys.stderr)
    sys.exit(WRONG)


def ours_of(path: str) -> compiled.InstanceConfig:
    """What an HCL file says, or one that was compiled; what is wrong with it ends the command."""
    if path.endswith(".json"):
        try:
            return compiled.load_file(path)
        except compiled.InvalidConfigError as error:
            wrong(error)
    try:
        from pumicenotch.config.file import InvalidFileError
        from pumicenotch.config.file import instance_config_of as read
    except ModuleNotFoundError as error:
        wrong(f"pumicenotch: HCL needs {error.name}: pip install 'pumicenotch[cli]'")
    try:
        return read(path)
    except InvalidFileError as error:
        wrong(error)


@app.command
def serve(*, config: str = "", json_logs: bool = False) -> None:
    """Run one server: LB_CONFIG names its start values, as the platform gives them.

    Parameters
    ----------
    config
        The file of ours (HCL, or JSON as `check --compile` prints it): pools, budgets. SIGHUP reads it again.
    json_logs
        One JSON object a line on standard error.
    """
    environment = dict(os.environ)
    if config:
        environment = compiled.environment(os.path.abspath(config), ours_of(config))
    if json_logs:
        environment["PUMICENOTCH_LOG"] = "json"
    if not environment.get("LB_CONFIG"):
        wrong(
            "pumicenotch serve: LB_CONFIG is not set: it names the JSON file of the start values; "
            "`pumicenotch lab up` runs a server with a world round it"
        )
    # In the place of this process: what read the file leaves no memory behind.
    os.execve(sys.executable, [sys.executable, "-m", "pumicenotch"], environment)


def become(
    module: str, config: str, json_logs: bool, more: Mapping[str, str] | None = None
) -> NoReturn:
    """That module of the program goes on in the place of this process, with its file."""
    environment = {
        **os.environ,
        **(more or {}),
        **({"PUMICENOTCH_LOG": "json"} if json_logs else {}),
    }
    os.execve(sys.executable, [sys.executable, "-m", module, os.path.abspath(config)], environment)


@app.command
def route(*, config: str, json_logs: bool = False) -> None:
    """Run a router in front of cells, by the gateways' protocol on both sides.

    Parameters
    ----------
    config
        The router's HCL file. Its cell map is read again whenever that file changes.
    json_logs
        One JSON object a line on standard error.
    """
    become("pumicenotch.route", config, json_logs)


@app.command
def check(
    file: str,
    /,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
    compile: Annotated[bool, Parameter(negative="")] = False,
    settings: str = "",
) -> None:
    """Read a file of ours and say what it means, or what is wrong with it.

    Parameters
    ----------
    file
        The HCL file, or a compiled one.
    as_json
        The meaning as one JSON object.
    compile
        Print the compiled plan, which a server takes without any library: redirect it to a file `.json`.
    settings
        A JSON file as LB_CONFIG names it: stages of the plan that it does not have are told.
    """
    ours = ours_of(file)
    if compile:
        print(compiled.dump(ours))
        return
    stages: list[str] = []
    if settings:
        try:
            with open(settings, encoding="utf-8") as opened:
                pairs = start.flatten(json.load(opened))
        except (OSError, ValueError) as error:
            wrong(f"{settings}:1: cannot be read: {error}")
        stages = list(start.index_by_name(start.settings_of(pairs), "classes"))
    told = compiled.describe(ours, stages)
    if as_json:
        print(json.dumps(told))
        return
    for pool in told.pop("pools"):
        parts = [f"pool {pool['name']}: stages {', '.join(pool['stages'])}"]
        parts += [f"reserve {pool['reserve']:.0%} of the places"] if pool["reserve"] else []
        parts += [f"at most {pool['most']:.0%}"] if pool["most"] < 1.0 else []
        parts += [f"weight {pool['weight']:g}"] if pool["weight"] else []
        parts += [] if pool["lends"] else ["its idle places are not lent"]
        print("; ".join(parts))
    for name, value in told.items():
        if value:
            print(
                f"{name.replace('_', ' ')}: {', '.join(value) if isinstance(value, list) else value}"
            )


@app.command
def voter(*, config: str, json_logs: bool = False) -> None:
    """Run a voter of a fleet: it keeps what the fleet has agreed, with the other voters.

    Parameters
    ----------
    config
        The voter's HCL file.
    json_logs
        One JSON object a line on standard error.
    """
    become("pumicenotch.net.fleet", config, json_logs)


@app.command
def agent(*, config: str, json_logs: bool = False) -> None:
    """Run the agent beside a server: it holds versions, and takes releases out as the fleet agrees.

    Parameters
    ----------
    config
        The agent's HCL file.
    json_logs
        One JSON object a line on standard error.
    """
    from pumicenotch.cli.agent import environment_of

    become("pumicenotch.net.agent", config, json_logs, environment_of(config))


def main() -> None:
    from pumicenotch.cli import configuration  # noqa: F401 - adds its commands to `fleet`
    from pumicenotch.cli.cells import cells
    from pumicenotch.cli.fleet import fleet
    from pumicenotch.cli.release import release

    app.command(cells)
    app.command(fleet)
    app.command(release)
    try:
        from pumicenotch.cli.lab import lab
    except ModuleNotFoundError as error:
        missing = error.name

        def lab_missing(*_: str) -> None:
            wrong(f"pumicenotch: lab needs {missing}: pip install 'pumicenotch[lab]'")

        app.command(lab_missing, name="lab")
    else:
        app.command(lab)
    try:
        app(exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(WRONG)
