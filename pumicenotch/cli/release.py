"""`pumicenotch release`: a version for the whole fleet, in waves that it agrees on."""

import json
import sys
import time
from pathlib import Path
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from pumicenotch.cli.fleet import At, Json, Name, answer, me, new, table, told, wrong

release = App(name="release", help="Releases agreed across the fleet: waves, a halt, a way back.")
OVER = ("done", "abandoned")
LOOK_S = 0.5  # between looks while a release is followed
Why = Annotated[str, Parameter(name="--reason")]


@release.command
def pack(folder: Path, /, *, into: Path) -> None:
    """Put a folder among the versions that agents fetch from, and print its version.

    Parameters
    ----------
    folder
        What a version is to hold, whole: no links.
    into
        The folder that agents have as `source`.
    """
    from pumicenotch.config.versions import InvalidVersionError
    from pumicenotch.config.versions import pack as packed

    try:
        print(packed(folder, into))
    except InvalidVersionError as error:
        wrong(error)


@release.command
def plan(
    name: str,
    /,
    *,
    version: str,
    at: At,
    fleet: Name,
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
    as_json: Json = False,
) -> None:
    """Plan a release; nothing happens yet. Agents fetch the version meanwhile.

    Parameters
    ----------
    name
        What it is called; never used twice.
    version
        As `release pack` prints it.
    slot
        What of a node it replaces.
    replaces
        The version that it replaces; the one that the fleet is on if left out.
    level
        The level of entries that its program speaks; that of this program if left out.
    share
        After one node, and one of each zone: parts of each zone that have it, rising.
    mixed
        Let one wave have nodes of several zones and cells.
    order
        Which go first: services below, or their callers.
    soak_s
        How long a wave is watched.
    wait_s
        Beyond that, where too little is seen to tell, before a person is asked.
    only_halt
        On harm halt, and do not go back by itself.
    gate
        Ask a person after so many waves in any case.
    urgent
        May take over a halted release.
    budgets
        For the slot budgets: the HCL file.
    """
    from pumicenotch.config.fleet import budgets_of
    from pumicenotch.config.hcl import InvalidFileError
    from pumicenotch.fleet.releases.release import BUDGETS, PROGRAM_LEVEL

    if (slot == BUDGETS) != (budgets is not None):
        wrong("--budgets FILE goes with --slot budgets, and only with it")
    try:
        made = budgets_of(budgets) if budgets is not None else ()
    except InvalidFileError as error:
        wrong(error)
    waves: Any = ((),)
    if slot != BUDGETS:
        shares = share or [0.34, 1.0]
        if not all(0.0 < each <= 1.0 for each in shares) or shares[-1] != 1.0:
            wrong("--share: parts of 1 are wanted, the last one 1: else some nodes never get it")
        waves = answer(fleet, at, "waves", shares, mixed, order)["waves"]
        if not waves:
            wrong("no agent has spoken: no node can take a version", 1)
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
        made,
    )
    result = answer(fleet, at, "plan", new(), entry, me())
    if as_json:
        print(json.dumps({**result, "waves": waves}))
        return
    print(result["text"])
    for number, wave in enumerate(waves, 1):
        if wave:
            print(f"wave {number}: {', '.join(wave)}")


def word(
    name: str,
    what: str,
    reason: str,
    at: list[str],
    fleet: str,
    as_json: bool,
    seen: list[str] | None = None,
) -> None:
    told(fleet, at, as_json, "release", new(), name, what, seen or [], reason, me())


@release.command
def start(
    name: str,
    /,
    *,
    at: At,
    fleet: Name,
    reason: Why = "as planned",
    follow: bool = False,
    as_json: Json = False,
) -> None:
    """Start a planned release.

    Parameters
    ----------
    follow
        Show its progress until it is over or waits for a person; status 1 unless it is done.
    """
    word(name, "start", reason, at, fleet, as_json)
    if not follow:
        return
    before, last = "", {}
    while True:
        last = answer(fleet, at, "one_release", name)
        line = f"{last['stands']}: {last['has']} of {last['nodes']} have it; {last['asks'] or last['judged']}"
        if line != before and not as_json:
            print(
                line, file=sys.stderr, end="\r\x1b[K" if sys.stderr.isatty() else "\n", flush=True
            )
        before = line
        if last["state"] in (*OVER, "halted") or last["asks"]:
            break
        time.sleep(LOOK_S)
    print(json.dumps(last) if as_json else f"{last['stands']}: {last['asks'] or last['why']}")
    sys.exit(0 if last["state"] == "done" else 1)


@release.command
def status(name: str = "", /, *, at: At, fleet: Name, as_json: Json = False) -> None:
    """What releases there are; of one, what stands where."""
    found = answer(fleet, at, "one_release", name) if name else answer(fleet, at, "releases")
    if as_json:
        print(json.dumps(found))
        return
    if not name:
        stands = ", ".join(f"{slot} {version}" for slot, version in found["stands"].items())
        print(f"level {found['level']}; the fleet is on {stands or 'what its nodes have'}")
        rows = [
            [
                row["name"],
                row["slot"],
                row["version"][:12],
                row["stands"],
                f"{row['has']} of {row['nodes']}",
                row["asks"] or row["why"],
            ]
            for row in found["releases"]
        ]
        table(rows, ["release", "slot", "version", "stands", "has it", "why"])
        return
    print("{name}: {slot} {version} for {replaces}: {stands}".format(**found))
    for what in ("asks", "why", "judged"):
        if found[what]:
            print(f"{what}: {found[what]}")
    for _, by, why in found["halts"]:
        print(f"HALT by {by}: {why}")
    table(
        [
            [
                row["name"],
                row["zone"],
                str(row["wave"]),
                row["runs"][:12],
                "yes" if row["serves"] else "no",
                row["trouble"] or row["waits"],
            ]
            for row in found["rows"]
        ],
        ["node", "zone", "wave", "runs", "serves", "trouble"],
    )


@release.command
def halt(name: str, /, *, reason: Why, at: At, fleet: Name, as_json: Json = False) -> None:
    """No further step of that release: also none of its way back. `fleet halt` stops all there is."""
    word(name, "halt", reason, at, fleet, as_json)


def seen(name: str, at: list[str], fleet: str) -> list[str]:
    return [halt[0] for halt in answer(fleet, at, "one_release", name)["halts"]]


@release.command
def resume(name: str, /, *, reason: Why, at: At, fleet: Name, as_json: Json = False) -> None:
    """Go on, forwards or back, where a halt has stopped it: ends the halts that there are now, and no later
    one.
    """
    word(name, "resume", reason, at, fleet, as_json, seen(name, at, fleet))


@release.command
def back(name: str, /, *, reason: Why, at: At, fleet: Name, as_json: Json = False) -> None:
    """Take it back everywhere, in the same budgets."""
    word(name, "back", reason, at, fleet, as_json, seen(name, at, fleet))


@release.command
def approve(name: str, /, *, reason: Why, at: At, fleet: Name, as_json: Json = False) -> None:
    """The wave is good, by a person's word: where too little was seen to tell."""
    word(name, "approve", reason, at, fleet, as_json)


@release.command
def abandon(name: str, /, *, reason: Why, at: At, fleet: Name, as_json: Json = False) -> None:
    """Drop a plan that has not started."""
    word(name, "abandon", reason, at, fleet, as_json)


@release.command
def log(name: str = "", /, *, at: At, fleet: Name, many: int = 100, as_json: Json = False) -> None:
    """What was agreed of releases lately, by whom and why."""
    rows = [
        row
        for row in answer(fleet, at, "log", many)["log"]
        if row["what"].startswith(f"release {name}") or " may move to " in row["what"]
    ]
    if as_json:
        print(json.dumps(rows))
        return
    for row in rows:
        print(f"{row['index']:>7}  {row['what']}")
