"""The commands `pumicenotch fleet`, which show and change the agreed state of a fleet.

A request goes to any process of the fleet and from there to the leader. The helpers of this module are
shared with the commands that distribute configuration and releases.
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
    REQUEST_TIMEOUT_S,
    Connection,
    RequestRefusedError,
    ServerUnreachableError,
    send_request,
)

fleet = App(
    name="fleet",
    help="Drains agreed across the fleet: request them, show what waits and why, halt, resume.",
)
JsonFlag = Annotated[bool, Parameter(name="--json", negative="")]
Addresses = Annotated[list[str], Parameter(name="--at", env_var="PUMICENOTCH_FLEET_AT")]
FleetName = Annotated[str, Parameter(name="--fleet", env_var="PUMICENOTCH_FLEET")]


def exit_with_error(error: object, status: int = 2) -> NoReturn:
    """Prints an error to standard error and exits with the given status."""
    print(error, file=sys.stderr)
    sys.exit(status)


def print_answer(name: str, at: list[str], as_json: bool, verb: str, *args: Any) -> None:
    """Sends one request and prints the text of its answer, or the whole answer as JSON."""
    result = request_or_exit(name, at, verb, *args)
    print(json.dumps(result) if as_json else result.get("text", ""))


def request_or_exit(name: str, at: list[str], verb: str, *args: Any) -> Any:
    """Returns the result of one request.

    Exits with status 2 if no address is given, and with status 1 if the fleet refuses the request or
    cannot be reached.
    """
    if not at:
        exit_with_error(
            "--at HOST:PORT is required: the address of a process of the fleet, preferably of several voters"
        )
    try:
        return send_request(name, at, verb, *args)
    except RequestRefusedError as error:
        exit_with_error(f"refused: {error}", 1)
    except ServerUnreachableError as error:
        exit_with_error(error, 1)


def operator_name() -> str:
    """Returns the user name that the fleet records with a request."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "somebody"


def new_request_id() -> str:
    """Returns a random request id. A request that arrives again with the same id has no effect."""
    return secrets.token_hex(8)


def format_seconds(ms: float) -> str:
    """Formats a duration in milliseconds as whole seconds; 0 gives an empty text."""
    return f"{ms / 1000.0:.0f} s" if ms else ""


def print_table(rows: list[list[str]], header: list[str]) -> None:
    """Prints rows in aligned columns below a header, or nothing if there are no rows."""
    if not rows:
        return
    widths = [max(len(row[at]) for row in [header, *rows]) for at in range(len(header))]
    for row in [header, *rows]:
        print(
            "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        )


@fleet.command
def status(
    *, at: Addresses, fleet: FleetName, local: bool = False, as_json: JsonFlag = False
) -> None:
    """Show the agreed state of the fleet: members out of service and why, waiting drains, the use of each budget.

    Parameters
    ----------
    at
        Addresses (HOST:PORT) on which processes of the fleet listen for other instances; give several in case one is down.
    fleet
        The name of the fleet.
    local
        Show the local view of the first reachable process, which is not agreed. For use when there is no majority.
    """
    reply = request_or_exit(fleet, at, "local" if local else "status")
    if as_json:
        print(json.dumps(reply))
        return
    if local:
        halted = reply["halted"] or "not halted"
        print(f"{reply['name']} of {reply['fleet']}: opinions {reply['opinions']}; {halted}")
        rows = [
            [row["name"], row["zone"], row["standing"], row["opinion"]] for row in reply["members"]
        ]
        print_table(rows, ["member", "zone", "says", "is thought"])
        return
    print(
        f"fleet {reply['fleet']}: {reply['members']} members, {reply['out']} out, as of {reply['index']}"
    )
    print(f"{reply['leader']} leads in term {reply['term']}; voters {', '.join(reply['seats'])}")
    if reply["halted"]:
        print(reply["halted"])
    for row in reply.get("releases", ()):
        print(f"release {row['name']}: {row['stands']}")
    for violation in reply["over"]:
        print(f"OVER: {violation}")
    rows = [
        [
            row["name"],
            row["zone"],
            row["against"] or row["standing"],
            row["kind"],
            str(row["permit"] or ""),
            format_seconds(row["ms"]),
            row["reason"],
        ]
        for row in reply["rows"]
    ]
    print_table(rows, ["out", "zone", "as", "permit", "epoch", "for", "reason"])
    print_table(
        [
            [row["name"], format_seconds(row["ms"]), row["by"], row["why"]]
            for row in reply["waiting"]
        ],
        ["waits", "for", "asked by", "why"],
    )
    print_table(
        [
            [
                row["budget"],
                f"{row['each']} {row['group']}".strip(),
                f"{row['out']} of {row['members']}",
                describe_limit(row),
            ]
            for row in reply["budgets"]
        ],
        ["budget", "group", "out", "limit"],
    )


def describe_limit(row: dict[str, Any]) -> str:
    """Describes the one limit that a budget sets."""
    if row["most_out"] >= 0:
        return f"at most {row['most_out']} out"
    if row["least_serving"] >= 0:
        return f"at least {row['least_serving']} serve"
    if row["least_capacity"] >= 0.0:
        return f"at least {row['least_capacity']:.0%} of the capacity"
    return "replicas and callers apart"


@fleet.command
def drain(
    name: list[str], /, *, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Request drains. Each begins once the budgets allow it, in the order of the requests."""
    print_answer(fleet, at, as_json, "drain", new_request_id(), name, reason, operator_name())


@fleet.command
def undrain(
    name: list[str], /, *, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Withdraw drains that have not begun. A member declared with `by_hand` is put back into service."""
    print_answer(fleet, at, as_json, "undrain", new_request_id(), name, reason, operator_name())


@fleet.command
def override(
    name: str, /, *, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Grant a permit regardless of the budgets; it is recorded. Refused during a halt, and for a majority of the voters."""
    print_answer(fleet, at, as_json, "override", new_request_id(), name, reason, operator_name())


@fleet.command
def free(
    name: str, /, *, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """End the permit of a member that will not return. The member still counts as out until it serves or is
    forgotten.
    """
    print_answer(fleet, at, as_json, "free", new_request_id(), name, reason, operator_name())


@fleet.command
def forget(
    name: str, /, *, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Remove a member that is permanently gone from the counts."""
    print_answer(fleet, at, as_json, "forget", new_request_id(), name, reason, operator_name())


@fleet.command
def budget(file: Path, /, *, at: Addresses, fleet: FleetName, as_json: JsonFlag = False) -> None:
    """Replace all budgets in force by those of an HCL file."""
    from pumicenotch.config.fleet import budgets_of
    from pumicenotch.config.hcl import InvalidFileError

    try:
        new_budgets = budgets_of(file)
    except InvalidFileError as error:
        exit_with_error(error)
    print_answer(fleet, at, as_json, "budget", new_request_id(), new_budgets, operator_name())


@fleet.command
def halt(*, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False) -> None:
    """Stop all new steps: at once at the first process reached, then by agreement of the fleet."""
    key, by, local = new_request_id(), operator_name(), False
    if not at:
        exit_with_error("--at HOST:PORT is required: the address of any process of the fleet")
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
        exit_with_error("no process was reached: nothing is halted", 1)
    deadline = time.monotonic() + REQUEST_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            if key in send_request(fleet, at, "halts")["halts"]:
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
def resume(*, reason: str, at: Addresses, fleet: FleetName, as_json: JsonFlag = False) -> None:
    """Continue after a halt. Ends the halts that are agreed now, not later ones."""
    halts = request_or_exit(fleet, at, "halts")["halts"]
    if not halts:
        print(json.dumps({"text": "not halted"}) if as_json else "not halted")
        return
    print_answer(fleet, at, as_json, "resume", new_request_id(), halts, reason, operator_name())


@fleet.command
def why(name: str, /, *, at: Addresses, fleet: FleetName, as_json: JsonFlag = False) -> None:
    """Show why and for how long a member waits, or its state if it does not wait."""
    reply = request_or_exit(fleet, at, "why", name)
    if as_json:
        print(json.dumps(reply))
        return
    stands = f"out against its will: {reply['against']}" if reply["against"] else reply["standing"]
    permit = (
        f"; permit of epoch {reply['permit']} ({reply['kind']}: {reply['reason']})"
        if reply["permit"]
        else ""
    )
    print(
        f"{name}: {stands}{permit}"
        + (f", for {format_seconds(reply['ms'])}" if reply["ms"] else "")
    )
    if reply["waits"]:
        takes = reply["a_drain_takes_ms"]
        more = f"; the last drains took about {format_seconds(takes)} each" if takes else ""
        print(f"waits: {reply['waits']}; {reply['ahead']} asked before it{more}")
    for row in reply["budgets"]:
        print(f"{row['budget']}: out {', '.join(row['out']) or 'nobody'} of {row['members']}")


@fleet.command
def log(*, at: Addresses, fleet: FleetName, many: int = 50, as_json: JsonFlag = False) -> None:
    """Show recent decisions of the fleet: permits, halts and overrides, with their reasons."""
    reply = request_or_exit(fleet, at, "log", many)["log"]
    if as_json:
        print(json.dumps(reply))
        return
    for row in reply:
        print(f"{row['index']:>7}  {row['what']}")
