"""`pumicenotch fleet publish`, `config` and `lookup`: the configuration that a fleet distributes."""

import json
import time
from pathlib import Path
from typing import Any

from pumicenotch.cli.fleet import At, Json, Name, answer, fleet, me, new, table, wrong
from pumicenotch.cli.session import RequestRefusedError, ServerUnreachableError, Session
from pumicenotch.config.publication import (
    InvalidPublicationFileError,
    PublicationFile,
    read_publication,
)
from pumicenotch.distribution.publications.uploads import entries_of


@fleet.command
def publish(
    file: Path,
    /,
    *,
    reason: str,
    at: At,
    fleet: Name,
    previous: int | None = None,
    as_json: Json = False,
) -> None:
    """Publish changes of the configuration, whole or not at all, as the next version.

    Parameters
    ----------
    file
        JSON lines: {"table": ..., "key": "SCOPE/NAME", "value": {...}}, or null as the value to delete it.
    reason
        Why; it stands in the history.
    at
        Addresses among instances of voters.
    fleet
        The fleet's name.
    previous
        The version that the changes were made against: refused if another is current. The current one unless
        given.
    """
    try:
        told = read_publication(file)
    except InvalidPublicationFileError as error:
        wrong(error)
    if not at:
        wrong("--at HOST:PORT is wanted: a process of the fleet, best several voters")
    try:
        with Session(fleet, at) as session:
            result = published(session, told, reason, previous)
    except RequestRefusedError as error:
        line = told.line_of(str(error))
        if line:
            wrong(f"{file}:{line}: {error}")
        wrong(f"refused: {error}", 1)
    except ServerUnreachableError as error:
        wrong(error, 1)
    print(json.dumps(result) if as_json else result["text"])


def published(
    session: Session, told: PublicationFile, reason: str, previous: int | None
) -> dict[str, Any]:
    """What came of it. Raises RequestRefusedError and ServerUnreachableError."""
    if previous is None:
        previous = int(session.ask("configuration")["version"])
    result: dict[str, Any] = {}
    for entry in entries_of(new(), previous, me(), reason, int(time.time() * 1000), told.changes):
        result = session.ask(*entry)
    return {"version": result["value"], "text": f"{result['text']}: {len(told.changes)} records"}


@fleet.command
def config(*, at: At, fleet: Name, as_json: Json = False) -> None:
    """The configuration's version, at how many it is in force, and who is behind or in trouble.

    Parameters
    ----------
    at
        Addresses among instances of voters; of a server, for what that one has.
    fleet
        The fleet's name.
    """
    found = answer(fleet, at, "configuration")
    if as_json:
        print(json.dumps(found))
    elif "copies" in found:
        print_fleet(found)
    else:
        print_instance(found)


def print_fleet(found: dict[str, Any]) -> None:
    """What the voters' leader knows of all."""
    members = found["copies"] + found["missing_count"]
    lowest = f", the lowest has {found['lowest']}" if found["behind"] else ""
    print(f"version {found['version']}, in force at {found['in_force']} of {members}{lowest}")
    table(
        [[row["name"], str(row["version"]), row["code"]] for row in found["behind"]],
        ["behind", "version", "why"],
    )
    if found["behind_unnamed"]:
        print(f"and {found['behind_unnamed']} more")
    if found["missing_count"]:
        more = found["missing_count"] - len(found["missing"])
        print(
            f"not heard of: {', '.join(found['missing'])}" + (f" and {more} more" if more else "")
        )
    for row in found["history"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at_ms"] / 1000.0))
        print(f"{row['version']:>7}  {at}  {row['by']}: {row['why']} ({row['changes']} records)")


def print_instance(found: dict[str, Any]) -> None:
    """What one server says of itself."""
    age = (
        "never known to be current"
        if found["age_ms"] is None
        else f"{found['age_ms'] / 1000.0:.1f} s old"
    )
    print(
        f"version {found['version']} in force, {age}; the newest that it knows of is {found['newest']}"
    )
    print(f"{'relay' if found['relay'] else 'no relay'}, {found['children']} children")
    print(f"sources: {', '.join(found['sources']) or 'none'}")
    if found["error"] is not None:
        print(f"error {found['error']['code']}: {found['error']['text']}")


@fleet.command
def lookup(name: str, key: str, /, *, at: At, fleet: Name, as_json: Json = False) -> None:
    """One record as the process at that address serves it, with the version and its age.

    Parameters
    ----------
    name
        The table.
    key
        SCOPE/NAME.
    at
        The address among instances of the process that is asked.
    fleet
        The fleet's name.
    """
    found = answer(fleet, at, "lookup", name, key)
    if as_json:
        print(json.dumps(found))
        return
    age = (
        "never known to be current"
        if found["age_ms"] is None
        else f"{found['age_ms'] / 1000.0:.1f} s old"
    )
    print(json.dumps(found["value"]))
    print(f"version {found['version']} at {found['instance']}, {age}")
