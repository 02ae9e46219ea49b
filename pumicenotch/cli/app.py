"""The top-level command `pumicenotch` and the subcommands that start processes.

`main` registers the subcommands of the other modules. `lab` is registered only if its optional
dependencies are installed; otherwise the command prints how to install them.
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
EXIT_SUCCESS, EXIT_NEGATIVE_RESULT, EXIT_USAGE_ERROR = 0, 1, 2


def exit_with_usage_error(text: object) -> NoReturn:
    """Prints a message to standard error and exits with status 2."""
    print(text, file=sys.stderr)
    sys.exit(EXIT_USAGE_ERROR)


def read_config(path: str) -> compiled.InstanceConfig:
    """Returns the contents of an HCL file, or of a compiled file if its name ends in `.json`.

    Prints the errors and exits with status 2 if the file is invalid or the HCL parser is not installed.
    """
    if path.endswith(".json"):
        try:
            return compiled.load_file(path)
        except compiled.InvalidConfigError as error:
            exit_with_usage_error(error)
    try:
        from pumicenotch.config.file import InvalidFileError
        from pumicenotch.config.file import instance_config_of as read_hcl
    except ModuleNotFoundError as error:
        exit_with_usage_error(
            f"pumicenotch: reading HCL requires {error.name}: pip install 'pumicenotch[cli]'"
        )
    try:
        return read_hcl(path)
    except InvalidFileError as error:
        exit_with_usage_error(error)


@app.command
def serve(*, config: str = "", json_logs: bool = False) -> None:
    """Run one server. LB_CONFIG names the JSON file of its start values, which the platform provides.

    Parameters
    ----------
    config
        The configuration of pools and budgets: HCL, or JSON as printed by `check --compile`. SIGHUP reloads it.
    json_logs
        Write logs to standard error as one JSON object per line.
    """
    environment = dict(os.environ)
    if config:
        environment = compiled.environment(os.path.abspath(config), read_config(config))
    if json_logs:
        environment["PUMICENOTCH_LOG"] = "json"
    if not environment.get("LB_CONFIG"):
        exit_with_usage_error(
            "pumicenotch serve: LB_CONFIG is not set: it must name the JSON file of the start values; "
            "`pumicenotch lab up` runs a server in an emulated environment"
        )
    # exec replaces this process, so the memory of the HCL parser is not kept by the server.
    os.execve(sys.executable, [sys.executable, "-m", "pumicenotch"], environment)


def exec_module(
    module: str, config: str, json_logs: bool, extra_environment: Mapping[str, str] | None = None
) -> NoReturn:
    """Replaces this process by the given module of the program, run with its configuration file."""
    environment = {
        **os.environ,
        **(extra_environment or {}),
        **({"PUMICENOTCH_LOG": "json"} if json_logs else {}),
    }
    os.execve(sys.executable, [sys.executable, "-m", module, os.path.abspath(config)], environment)


@app.command
def route(*, config: str, json_logs: bool = False) -> None:
    """Run a router in front of cells. Both sides use the gateway protocol.

    Parameters
    ----------
    config
        The router's HCL file. The cell map that it names is reloaded whenever the map's file changes.
    json_logs
        Write logs to standard error as one JSON object per line.
    """
    exec_module("pumicenotch.route", config, json_logs)


@app.command
def check(
    file: str,
    /,
    *,
    as_json: Annotated[bool, Parameter(name="--json", negative="")] = False,
    compile: Annotated[bool, Parameter(negative="")] = False,
    settings: str = "",
) -> None:
    """Validate a configuration file and print its meaning, or its errors.

    Parameters
    ----------
    file
        The HCL file, or a compiled file.
    as_json
        Print the meaning as one JSON object.
    compile
        Print the compiled plan, which a server reads without an HCL parser. Redirect it to a file named `*.json`.
    settings
        A JSON file of start values, as named by LB_CONFIG. Stages of the plan that are not in it are reported.
    """
    parsed_config = read_config(file)
    if compile:
        print(compiled.dump(parsed_config))
        return
    stages: list[str] = []
    if settings:
        try:
            with open(settings, encoding="utf-8") as stream:
                pairs = start.flatten(json.load(stream))
        except (OSError, ValueError) as error:
            exit_with_usage_error(f"{settings}:1: cannot be read: {error}")
        stages = list(start.index_by_name(start.settings_of(pairs), "classes"))
    description = compiled.describe(parsed_config, stages)
    if as_json:
        print(json.dumps(description))
        return
    for pool in description.pop("pools"):
        parts = [f"pool {pool['name']}: stages {', '.join(pool['stages'])}"]
        parts += [f"reserve {pool['reserve']:.0%} of the places"] if pool["reserve"] else []
        parts += [f"at most {pool['most']:.0%}"] if pool["most"] < 1.0 else []
        parts += [f"weight {pool['weight']:g}"] if pool["weight"] else []
        parts += [] if pool["lends"] else ["its idle places are not lent"]
        print("; ".join(parts))
    for name, value in description.items():
        if value:
            print(
                f"{name.replace('_', ' ')}: {', '.join(value) if isinstance(value, list) else value}"
            )


@app.command
def voter(*, config: str, json_logs: bool = False) -> None:
    """Run a voter of a fleet. The voters replicate the decisions of the fleet by consensus.

    Parameters
    ----------
    config
        The voter's HCL file.
    json_logs
        Write logs to standard error as one JSON object per line.
    """
    exec_module("pumicenotch.net.fleet", config, json_logs)


@app.command
def agent(*, config: str, json_logs: bool = False) -> None:
    """Run the agent of a server. The agent stores versions and carries out the releases agreed by the fleet.

    Parameters
    ----------
    config
        The agent's HCL file.
    json_logs
        Write logs to standard error as one JSON object per line.
    """
    from pumicenotch.cli.agent import environment_of

    exec_module("pumicenotch.net.agent", config, json_logs, environment_of(config))


def main() -> None:
    """Registers all subcommands and runs the one given on the command line."""
    from pumicenotch.cli import configuration  # noqa: F401 - registers its commands with `fleet`
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
            exit_with_usage_error(
                f"pumicenotch: lab requires {missing}: pip install 'pumicenotch[lab]'"
            )

        app.command(lab_missing, name="lab")
    else:
        app.command(lab)
    try:
        app(exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(EXIT_USAGE_ERROR)
