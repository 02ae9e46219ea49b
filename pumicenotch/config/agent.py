"""The schema of an agent's file, and what stands on its disk."""

import json
from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field, model_validator

from pumicenotch.config.files import put
from pumicenotch.config.fleet import Address, Name, once
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.schema import Schema, read
from pumicenotch.fleet.releases.release import BUDGETS, SLOTS

Version = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
FORM = 1


class Slot(Schema):
    """`slot "program" { version = "..." }`: what stands there at the agent's first start."""

    name: Name
    version: Version

    @model_validator(mode="after")
    def known(self) -> "Slot":
        if self.name not in SLOTS or self.name == BUDGETS:
            raise ValueError(f"slot {self.name!r}: allowed: {', '.join(SLOTS[:-1])}")
        return self


class AgentFile(Schema):
    fleet: Name
    member: Name  # the server or voter that it stands beside, by its name in the fleet
    voters: Annotated[tuple[Address, ...], Field(min_length=1, max_length=7)]
    home: Annotated[str, Field(min_length=1)]  # the agent's own folder
    source: Annotated[str, Field(min_length=1)]  # versions are fetched from there
    command: Annotated[
        tuple[str, ...], Field(min_length=1)
    ]  # {program}, {config}, {map} stand for folders
    environment: tuple[str, ...] = ()  # NAME=VALUE, with the same
    slot: tuple[Slot, ...]
    start_ms: Annotated[float, Field(gt=0.0, le=3_600_000.0)] = (
        30_000.0  # until it serves, else it is silent
    )
    drain_ms: Annotated[float, Field(gt=0.0, le=3_600_000.0)] = (
        30_000.0  # for a drain, before it is ended
    )
    seed: Annotated[int, Field(ge=0)] = 0

    @model_validator(mode="after")
    def fits(self) -> "AgentFile":
        once([each.name for each in self.slot], "slot")
        if not self.slot:
            raise ValueError("one slot at the least: what the server runs")
        for pair in self.environment:
            if "=" not in pair:
                raise ValueError(f"environment: {pair!r}: NAME=VALUE is wanted")
        known = {each.name: each.name for each in self.slot}
        for text in (*self.command, *self.environment):
            try:
                text.format(**known, home="")
            except (KeyError, IndexError, ValueError) as error:
                raise ValueError(
                    f"{text!r}: {error}: known: {{home}}, {', '.join(known)}"
                ) from None
        return self


class Disk(NamedTuple):
    """What an agent must know when it comes back."""

    runs: dict[str, str]
    good: dict[str, str]  # the last that served
    pid: int = 0  # of its server, and when that process began, in the system's ticks
    began: str = ""
    tries: int = 0  # starts of an agent's version that has not spoken with the fleet yet
    trouble: str = ""  # that whoever starts agents met


def agent_of(path: str | Path) -> AgentFile:
    """Raises InvalidFileError."""
    return read(path, AgentFile)


def disk_of(told: AgentFile) -> Disk:
    """Raises InvalidFileError on what no agent has written."""
    first = {each.name: each.version for each in told.slot}
    path = Path(told.home) / "agent.json"
    try:
        held = json.loads(path.read_text())
        if held.pop("form") != FORM:
            raise ValueError("another form")
        made = Disk(**held)
        return made._replace(runs={**first, **made.runs}, good={**first, **made.good})
    except FileNotFoundError:
        return Disk(first, first)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidFileError(
            f"{path}:1: cannot be read as an agent's: {error}; move it away to begin anew"
        ) from None


def write(told: AgentFile, disk: Disk) -> None:
    """Whole or not at all. Raises OSError."""
    put(Path(told.home) / "agent.json", json.dumps({"form": FORM, **disk._asdict()}))
