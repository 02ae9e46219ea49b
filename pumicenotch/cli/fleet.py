"""`pumicenotch fleet`: what is agreed, and asking for more. Goes to any process of the fleet; from there to
whoever leads.
"""

import getpass
import json
import secrets
import sys
import time
from pathlib import Path
from typing import Annotated, Any, NoReturn

from cyclopts import App, Parameter

from pumicenotch.cli.session import (
    IN_ALL_S,
    Connection,
    RequestRefusedError,
    ServerUnreachableError,
    asked,
)

fleet = App(
    name="fleet", help="Drains agreed across the fleet: ask, see who waits and why, halt, resume."
)
Json = Annotated[bool, Parameter(name="--json", negative="")]
At = Annotated[list[str], Parameter(name="--at", env_var="PUMICENOTCH_FLEET_AT")]
Name = Annotated[str, Parameter(name="--fleet", env_var="PUMICENOTCH_FLEET")]


def wrong(error: object, status: int = 2) -> NoReturn:
    print(error, file=sys.stderr)
    sys.exit(status)


def told(name: str, at: list[str], as_json: bool, verb: str, *args: Any) -> None:
    """One request whose answer is a text."""
    result = answer(name, at, verb, *args)
    print(json.dumps(result) if as_json else result.get("text", ""))


def answer(name: str, at: list[str], verb: str, *args: Any) -> Any:
    if not at:
        wrong("--at HOST:PORT is wanted: a process of the fleet, best several voters")
    try:
        return asked(name, at, verb, *args)
    except RequestRefusedError as error:
        wrong(f"refused: {error}", 1)
    except ServerUnreachableError as error:
        wrong(error, 1)


def me() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "somebody"


def new() -> str:
    """A request's id: sent again by any way, it changes nothing."""
    return secrets.token_hex(8)


def seconds(ms: float) -> str:
    return f"{ms / 1000.0:.0f} s" if ms else ""


def table(rows: list[list[str]], head: list[str]) -> None:
    if not rows:
        return
    widths = [max(len(row[at]) for row in [head, *rows]) for at in range(len(head))]
    for row in [head, *rows]:
        print(
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        )


@fleet.command
def status(*, at: At, fleet: Name, local: bool = False, as_json: Json = False) -> None:
    """What the fleet has agreed: who is out and why, who waits, what is left of each budget.

    Parameters
    ----------
    at
        Addresses among instances of processes of the fleet; several, for when one is gone.
    fleet
        The fleet's name.
    local
        What the first reachable process thinks by itself, without agreement: for when there is no majority.
    """
    found = answer(fleet, at, "local" if local else "status")
    if as_json:
        print(json.dumps(found))
        return
    if local:
        halted = found["halted"] or "not halted"
        print(f"{found['name']} of {found['fleet']}: opinions {found['opinions']}; {halted}")
        rows = [
            [row["name"], row["zone"], row["standing"], row["opinion"]] for row in found["members"]
        ]
        table(rows, ["member", "zone", "says", "is thought"])
        return
    print(
        f"fleet {found['fleet']}: {found['members']} members, {found['out']} out, as of {found['index']}"
    )
    print(f"{found['leader']} leads in term {found['term']}; voters {', '.join(found['seats'])}")
    if found["halted"]:
        print(found["halted"])
    for row in found.get("releases", ()):
        print(f"release {row['name']}: {row['stands']}")
    for over in found["over"]:
        print(f"OVER: {over}")
    rows = [
        [
            row["name"],
            row["zone"],
            row["against"] or row["standing"],
            row["kind"],
            str(row["permit"] or ""),
            seconds(row["ms"]),
            row["reason"],
        ]
        for row in found["rows"]
    ]
    table(rows, ["out", "zone", "as", "permit", "epoch", "for", "reason"])
    table(
        [[row["name"], seconds(row["ms"]), row["by"], row["why"]] for row in found["waiting"]],
        ["waits", "for", "asked by", "why"],
    )
    table(
        [
            [
                row["budget"],
                f"{row['each']} {row['group']}".strip(),
                f"{row['out']} of {row['members']}",
                limit(row),
            ]
            for row in found["budgets"]
        ],
        ["budget", "group", "out", "limit"],
    )


def limit(row: dict[str, Any]) -> str:
    if row["most_out"] >= 0:
        return f"at most {row['most_out']} out"
    if row["least_serving"] >= 0:
        return f"at least {row['least_serving']} serve"
    if row["least_capacity"] >= 0.0:
        return f"at least {row['least_capacity']:.0%} of the capacity"
    return "replicas and callers apart"


@fleet.command
def drain(name: list[str], /, *, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """Ask for drains; each goes once the budgets allow, in the order of asking."""
    told(fleet, at, as_json, "drain", new(), name, reason, me())


@fleet.command
def undrain(name: list[str], /, *, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """Take drains back that have not begun; a member by hand is back in service."""
    told(fleet, at, as_json, "undrain", new(), name, reason, me())


@fleet.command
def override(name: str, /, *, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """A permit whatever the budgets say, on the record. Not while halted; never a majority of the voters."""
    told(fleet, at, as_json, "override", new(), name, reason, me())


@fleet.command
def free(name: str, /, *, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """End the permit of one that will not come back. It stays counted as out until it serves or is
    forgotten.
    """
    told(fleet, at, as_json, "free", new(), name, reason, me())


@fleet.command
def forget(name: str, /, *, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """Count a member no more that is gone for good."""
    told(fleet, at, as_json, "forget", new(), name, reason, me())


@fleet.command
def budget(file: Path, /, *, at: At, fleet: Name, as_json: Json = False) -> None:
    """Put the budgets of an HCL file in the place of all that are in force."""
    from pumicenotch.config.fleet import budgets_of
    from pumicenotch.config.hcl import InvalidFileError

    try:
        made = budgets_of(file)
    except InvalidFileError as error:
        wrong(error)
    told(fleet, at, as_json, "budget", new(), made, me())


@fleet.command
def halt(*, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """No new step from now on: at the first process reached at once, then agreed."""
    key, by, local = new(), me(), False
    if not at:
        wrong("--at HOST:PORT is wanted: any process of the fleet")
    for address in at:
        try:
            with Connection(fleet, address) as connection:
                error, result = connection.ask("halt", key, by, reason)
        except (OSError, ValueError, RequestRefusedError) as fault:
            print(f"{address}: {fault}", file=sys.stderr)
            continue
        local = local or error is None
        if error is None and result.get("agreed"):
            print(json.dumps(result) if as_json else result["text"])
            return
    if not local:
        wrong("nobody was reached: nothing is halted", 1)
    until = time.monotonic() + IN_ALL_S
    while time.monotonic() < until:
        try:
            if key in asked(fleet, at, "halts")["halts"]:
                print(
                    json.dumps({"text": "halted", "agreed": True})
                    if as_json
                    else "halted, agreed by the fleet"
                )
                return
        except (RequestRefusedError, ServerUnreachableError):
            break
        time.sleep(0.1)
    text = "halted where it was reached, and handed on; not agreed yet: no majority was reached"
    print(json.dumps({"text": text, "agreed": False}) if as_json else text)
    sys.exit(1)


@fleet.command
def resume(*, reason: str, at: At, fleet: Name, as_json: Json = False) -> None:
    """Go on after a halt: ends the halts that are agreed now, and no later one."""
    halts = answer(fleet, at, "halts")["halts"]
    if not halts:
        print(json.dumps({"text": "not halted"}) if as_json else "not halted")
        return
    told(fleet, at, as_json, "resume", new(), halts, reason, me())


@fleet.command
def why(name: str, /, *, at: At, fleet: Name, as_json: Json = False) -> None:
    """Why a member waits and for how long, or how else it stands."""
    found = answer(fleet, at, "why", name)
    if as_json:
        print(json.dumps(found))
        return
    stands = f"out against its will: {found['against']}" if found["against"] else found["standing"]
    permit = (
        f"; permit of epoch {found['permit']} ({found['kind']}: {found['reason']})"
        if found["permit"]
        else ""
    )
    print(f"{name}: {stands}{permit}" + (f", for {seconds(found['ms'])}" if found["ms"] else ""))
    if found["waits"]:
        takes = found["a_drain_takes_ms"]
        more = f"; the last drains took about {seconds(takes)} each" if takes else ""
        print(f"waits: {found['waits']}; {found['ahead']} asked before it{more}")
    for row in found["budgets"]:
        print(f"{row['budget']}: out {', '.join(row['out']) or 'nobody'} of {row['members']}")


@fleet.command
def log(*, at: At, fleet: Name, many: int = 50, as_json: Json = False) -> None:
    """What was agreed lately: permits, halts, overrides with their reasons."""
    found = answer(fleet, at, "log", many)["log"]
    if as_json:
        print(json.dumps(found))
        return
    for row in found:
        print(f"{row['index']:>7}  {row['what']}")
