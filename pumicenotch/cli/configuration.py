"""The commands `pumicenotch fleet publish`, `config` and `lookup`.

They publish and show the configuration that a fleet distributes to its processes.
"""

import json
import time
from pathlib import Path
from typing import Any

from pumicenotch.cli.fleet import (
    Addresses,
    FleetName,
    JsonFlag,
    exit_with_error,
    fleet,
    new_request_id,
    operator_name,
    print_table,
    request_or_exit,
)
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
    at: Addresses,
    fleet: FleetName,
    previous: int | None = None,
    as_json: JsonFlag = False,
) -> None:
    """Publish changes of the configuration atomically as the next version.

    Parameters
    ----------
    file
        JSON lines: {"table": ..., "key": "SCOPE/NAME", "value": {...}}. The value null deletes the record.
    reason
        The reason for the change, stored in the history.
    at
        Addresses (HOST:PORT) on which voters listen for other instances.
    fleet
        The name of the fleet.
    previous
        The version that the changes are based on; the request is refused if another version is current. The
        default is the current version.
    """
    try:
        publication = read_publication(file)
    except InvalidPublicationFileError as error:
        exit_with_error(error)
    if not at:
        exit_with_error(
            "--at HOST:PORT is required: the address of a process of the fleet, preferably of several voters"
        )
    try:
        with Session(fleet, at) as session:
            result = send_publication(session, publication, reason, previous)
    except RequestRefusedError as error:
        line = publication.line_of(str(error))
        if line:
            exit_with_error(f"{file}:{line}: {error}")
        exit_with_error(f"refused: {error}", 1)
    except ServerUnreachableError as error:
        exit_with_error(error, 1)
    print(json.dumps(result) if as_json else result["text"])


def send_publication(
    session: Session, publication: PublicationFile, reason: str, previous: int | None
) -> dict[str, Any]:
    """Sends the changes in as many requests as needed and returns the version and a summary.

    Bases the changes on the current version if `previous` is None.

    Raises:
        RequestRefusedError: The fleet refused the publication.
        ServerUnreachableError: No process of the fleet could answer in time.
    """
    if previous is None:
        previous = int(session.ask("configuration")["version"])
    result: dict[str, Any] = {}
    for entry in entries_of(
        new_request_id(),
        previous,
        operator_name(),
        reason,
        int(time.time() * 1000),
        publication.changes,
    ):
        result = session.ask(*entry)
    return {
        "version": result["value"],
        "text": f"{result['text']}: {len(publication.changes)} records",
    }


@fleet.command
def config(*, at: Addresses, fleet: FleetName, as_json: JsonFlag = False) -> None:
    """Show the version of the configuration, how many members have it in force, and which are behind or failing.

    Parameters
    ----------
    at
        Addresses (HOST:PORT) on which voters listen for other instances; the address of a server shows the state of that server.
    fleet
        The name of the fleet.
    """
    reply = request_or_exit(fleet, at, "configuration")
    if as_json:
        print(json.dumps(reply))
    elif "copies" in reply:
        print_fleet(reply)
    else:
        print_instance(reply)


def print_fleet(reply: dict[str, Any]) -> None:
    """Prints the state of the whole fleet, as known to the leader of the voters."""
    member_count = reply["copies"] + reply["missing_count"]
    lowest = f", the lowest has {reply['lowest']}" if reply["behind"] else ""
    print(f"version {reply['version']}, in force at {reply['in_force']} of {member_count}{lowest}")
    print_table(
        [[row["name"], str(row["version"]), row["code"]] for row in reply["behind"]],
        ["behind", "version", "why"],
    )
    if reply["behind_unnamed"]:
        print(f"and {reply['behind_unnamed']} more")
    if reply["missing_count"]:
        more = reply["missing_count"] - len(reply["missing"])
        print(
            f"not heard of: {', '.join(reply['missing'])}" + (f" and {more} more" if more else "")
        )
    for row in reply["history"]:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row["at_ms"] / 1000.0))
        print(f"{row['version']:>7}  {at}  {row['by']}: {row['why']} ({row['changes']} records)")


def print_instance(reply: dict[str, Any]) -> None:
    """Prints the configuration state that one server reports."""
    age = (
        "never known to be current"
        if reply["age_ms"] is None
        else f"{reply['age_ms'] / 1000.0:.1f} s old"
    )
    print(
        f"version {reply['version']} in force, {age}; the newest that it knows of is {reply['newest']}"
    )
    print(f"{'relay' if reply['relay'] else 'no relay'}, {reply['children']} children")
    print(f"sources: {', '.join(reply['sources']) or 'none'}")
    if reply["error"] is not None:
        print(f"error {reply['error']['code']}: {reply['error']['text']}")


@fleet.command
def lookup(
    name: str, key: str, /, *, at: Addresses, fleet: FleetName, as_json: JsonFlag = False
) -> None:
    """Show one record as served by the process at the given address, with its version and age.

    Parameters
    ----------
    name
        The name of the table.
    key
        The key of the record: SCOPE/NAME.
    at
        The address (HOST:PORT) on which the process to query listens for other instances.
    fleet
        The name of the fleet.
    """
    reply = request_or_exit(fleet, at, "lookup", name, key)
    if as_json:
        print(json.dumps(reply))
        return
    age = (
        "never known to be current"
        if reply["age_ms"] is None
        else f"{reply['age_ms'] / 1000.0:.1f} s old"
    )
    print(json.dumps(reply["value"]))
    print(f"version {reply['version']} at {reply['instance']}, {age}")
