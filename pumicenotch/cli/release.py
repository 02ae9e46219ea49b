"""The commands `pumicenotch release`, which roll out a version across a fleet.

A release proceeds in waves of nodes. The fleet agrees on each step.
"""

import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from pumicenotch.cli.fleet import (
    Addresses,
    FleetName,
    JsonFlag,
    exit_with_error,
    new_request_id,
    operator_name,
    print_answer,
    print_table,
    request_or_exit,
)

release = App(
    name="release", help="Releases agreed across the fleet: rollout in waves, halt, rollback."
)
FINAL_STATES = ("done", "abandoned")
# Interval between status requests while a release is followed.
POLL_INTERVAL_S = 0.5
Reason = Annotated[str, Parameter(name="--reason")]


@release.command
def pack(folder: Path, /, *, into: Path) -> None:
    """Store a folder as a version that agents can fetch, and print the version.

    Parameters
    ----------
    folder
        The complete contents of the version. Links are not allowed.
    into
        The folder that the files of the agents name as `source`.
    """
    from pumicenotch.config.versions import InvalidVersionError
    from pumicenotch.config.versions import pack as pack_version

    try:
        print(pack_version(folder, into))
    except InvalidVersionError as error:
        exit_with_error(error)


@release.command
def plan(
    name: str,
    /,
    *,
    version: str,
    at: Addresses,
    fleet: FleetName,
    slot: Literal["program", "config", "map", "agent", "budgets"] = "program",
    replaces: str = "",
    level: int | None = None,
    share: list[float] | None = None,
    mixed: bool = False,
    order: Literal["", "below-first", "callers-first"] = "",
    soak_s: float = 60.0,
    wait_s: float = 300.0,
    only_halt: bool = False,
    gate: int = 0,
    urgent: bool = False,
    budgets: Path | None = None,
    as_json: JsonFlag = False,
) -> None:
    """Plan a release without starting it. Agents fetch the version in the meantime.

    Parameters
    ----------
    name
        The name of the release. A name cannot be used twice.
    version
        The version, as printed by `release pack`.
    slot
        The part of a node that the release replaces.
    replaces
        The version to replace. The default is the version that the fleet is on.
    level
        The level of log entries that the released program supports. The default is the level of this program.
    share
        Rising fractions of each zone that have the version, for the waves after the first node and after one node of each zone.
    mixed
        Allow nodes of several zones and cells in one wave.
    order
        Which nodes go first: those of the services below, or those of their callers.
    soak_s
        How long a wave is observed, in seconds.
    wait_s
        How many seconds longer a wave is observed if there is too little traffic to judge it, before an operator is asked.
    only_halt
        Halt when harm is detected, without an automatic rollback.
    gate
        Always ask an operator after this number of waves.
    urgent
        Allow the release to take over a halted release.
    budgets
        The HCL file of the budgets, for the slot budgets only.
    """
    from pumicenotch.config.fleet import budgets_of
    from pumicenotch.config.hcl import InvalidFileError
    from pumicenotch.fleet.releases.release import BUDGETS, PROGRAM_LEVEL

    if (slot == BUDGETS) != (budgets is not None):
        exit_with_error("--budgets FILE is required with --slot budgets and not allowed without it")
    try:
        new_budgets = budgets_of(budgets) if budgets is not None else ()
    except InvalidFileError as error:
        exit_with_error(error)
    waves: Any = ((),)
    if slot != BUDGETS:
        shares = share or [0.34, 1.0]
        if not all(0.0 < fraction <= 1.0 for fraction in shares) or shares[-1] != 1.0:
            exit_with_error(
                "--share: fractions above 0 and up to 1 are allowed, and the last must be 1, so that every node is included"
            )
        waves = request_or_exit(fleet, at, "waves", shares, mixed, order)["waves"]
        if not waves:
            exit_with_error("no agent has connected: no node can take a version", 1)
    entry = (
        name,
        slot,
        version,
        replaces,
        PROGRAM_LEVEL if level is None else level,
        waves,
        round(soak_s * 1000),
        round(wait_s * 1000),
        not only_halt,
        gate,
        urgent,
        mixed,
        new_budgets,
    )
    result = request_or_exit(fleet, at, "plan", new_request_id(), entry, operator_name())
    if as_json:
        print(json.dumps({**result, "waves": waves}))
        return
    print(result["text"])
    for number, wave in enumerate(waves, 1):
        if wave:
            print(f"wave {number}: {', '.join(wave)}")


def send_order(
    name: str,
    what: str,
    reason: str,
    at: list[str],
    fleet: str,
    as_json: bool,
    known_halts: list[str] | None = None,
) -> None:
    """Sends an operator's order for one release and prints the answer.

    Args:
        name: The release.
        what: The order: start, halt, resume, back, approve or abandon.
        reason: The reason, recorded by the fleet.
        at: Addresses of processes of the fleet.
        fleet: The name of the fleet.
        as_json: Whether to print the answer as JSON.
        known_halts: Ids of the halts that the order ends.
    """
    print_answer(
        fleet,
        at,
        as_json,
        "release",
        new_request_id(),
        name,
        what,
        known_halts or [],
        reason,
        operator_name(),
    )


@release.command
def start(
    name: str,
    /,
    *,
    at: Addresses,
    fleet: FleetName,
    reason: Reason = "as planned",
    follow: bool = False,
    as_json: JsonFlag = False,
) -> None:
    """Start a planned release.

    Parameters
    ----------
    follow
        Show the progress until the release ends or waits for an operator. The exit status is 1 unless it is done.
    """
    send_order(name, "start", reason, at, fleet, as_json)
    if not follow:
        return
    previous_line, latest = "", {}
    while True:
        latest = request_or_exit(fleet, at, "one_release", name)
        line = f"{latest['stands']}: {latest['has']} of {latest['nodes']} have it; {latest['asks'] or latest['judged']}"
        if line != previous_line and not as_json:
            print(
                line, file=sys.stderr, end="\r\x1b[K" if sys.stderr.isatty() else "\n", flush=True
            )
        previous_line = line
        if latest["state"] in (*FINAL_STATES, "halted") or latest["asks"]:
            break
        time.sleep(POLL_INTERVAL_S)
    print(
        json.dumps(latest) if as_json else f"{latest['stands']}: {latest['asks'] or latest['why']}"
    )
    sys.exit(0 if latest["state"] == "done" else 1)


@release.command
def status(
    name: str = "", /, *, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Show all releases, or the nodes of one release."""
    reply = (
        request_or_exit(fleet, at, "one_release", name)
        if name
        else request_or_exit(fleet, at, "releases")
    )
    if as_json:
        print(json.dumps(reply))
        return
    if not name:
        stands = ", ".join(f"{slot} {version}" for slot, version in reply["stands"].items())
        print(f"level {reply['level']}; the fleet is on {stands or 'what its nodes have'}")
        rows = [
            [
                row["name"],
                row["slot"],
                row["version"][:12],
                row["stands"],
                f"{row['has']} of {row['nodes']}",
                row["asks"] or row["why"],
            ]
            for row in reply["releases"]
        ]
        print_table(rows, ["release", "slot", "version", "stands", "has it", "why"])
        return
    print("{name}: {slot} {version} for {replaces}: {stands}".format(**reply))
    for what in ("asks", "why", "judged"):
        if reply[what]:
            print(f"{what}: {reply[what]}")
    for _, by, why in reply["halts"]:
        print(f"HALT by {by}: {why}")
    print_table(
        [
            [
                row["name"],
                row["zone"],
                str(row["wave"]),
                row["runs"][:12],
                "yes" if row["serves"] else "no",
                row["trouble"] or row["waits"],
            ]
            for row in reply["rows"]
        ],
        ["node", "zone", "wave", "runs", "serves", "trouble"],
    )


@release.command
def halt(
    name: str, /, *, reason: Reason, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Stop all further steps of a release, including its rollback. `fleet halt` stops the steps of all releases and drains."""
    send_order(name, "halt", reason, at, fleet, as_json)


def known_halts(name: str, at: list[str], fleet: str) -> list[str]:
    """Returns the ids of the present halts of a release."""
    return [halt[0] for halt in request_or_exit(fleet, at, "one_release", name)["halts"]]


@release.command
def resume(
    name: str, /, *, reason: Reason, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Continue a halted rollout or rollback. Ends the halts that exist now, not later ones."""
    send_order(name, "resume", reason, at, fleet, as_json, known_halts(name, at, fleet))


@release.command
def back(
    name: str, /, *, reason: Reason, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Roll a release back on all nodes, within the same budgets."""
    send_order(name, "back", reason, at, fleet, as_json, known_halts(name, at, fleet))


@release.command
def approve(
    name: str, /, *, reason: Reason, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Accept the present wave as an operator, where there was too little traffic to judge it."""
    send_order(name, "approve", reason, at, fleet, as_json)


@release.command
def abandon(
    name: str, /, *, reason: Reason, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Drop a plan that has not started."""
    send_order(name, "abandon", reason, at, fleet, as_json)


@release.command
def log(
    name: str = "",
    /,
    *,
    at: Addresses,
    fleet: FleetName,
    many: int = 100,
    as_json: JsonFlag = False,
) -> None:
    """Show recent decisions on releases, with who made them and why."""
    rows = [
        row
        for row in request_or_exit(fleet, at, "log", many)["log"]
        if row["what"].startswith(f"release {name}") or " may move to " in row["what"]
    ]
    if as_json:
        print(json.dumps(rows))
        return
    for row in rows:
        print(f"{row['index']:>7}  {row['what']}")
