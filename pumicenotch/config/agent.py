"""The schema of an agent's file, and the state that an agent keeps on disk."""

import json
from pathlib import Path
from typing import Annotated, NamedTuple

from pydantic import Field, model_validator

from pumicenotch.config.files import MayReplace, always, write_atomically
from pumicenotch.config.fleet import Address, Name, check_unique
from pumicenotch.config.hcl import InvalidFileError
from pumicenotch.config.schema import Schema, read
from pumicenotch.fleet.releases.release import BUDGETS, SLOTS

Version = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
# The version of the state on disk. An agent refuses any other.
FORMAT_VERSION = 1


class Slot(Schema):
    """`slot "program" { version = "..." }`: the version in the slot at the agent's first start."""

    name: Name
    version: Version

    @model_validator(mode="after")
    def check_name(self) -> "Slot":
        """Raises ValueError unless the slot may be set in the file."""
        if self.name not in SLOTS or self.name == BUDGETS:
            raise ValueError(f"slot {self.name!r}: allowed: {', '.join(SLOTS[:-1])}")
        return self


class AgentFile(Schema):
    """An agent's file.

    Attributes:
        fleet: The name of the fleet.
        member: The fleet's name for the server or voter that the agent runs.
        voters: The addresses of the voters.
        home: The agent's own folder.
        source: The folder from which versions are fetched.
        command: The command of the server. `{program}`, `{config}` and `{map}` stand for the folders of
            the installed versions, `{home}` for the agent's own folder.
        environment: Additional variables as NAME=VALUE, with the same placeholders.
        slot: The versions at the agent's first start.
        start_ms: A server that does not serve within this time after its start counts as silent.
        drain_ms: The time for a drain, after which the server is stopped.
        seed: Seeds the agent's random numbers.
    """

    fleet: Name
    member: Name
    voters: Annotated[tuple[Address, ...], Field(min_length=1, max_length=7)]
    home: Annotated[str, Field(min_length=1)]
    source: Annotated[str, Field(min_length=1)]
    command: Annotated[tuple[str, ...], Field(min_length=1)]
    environment: tuple[str, ...] = ()
    slot: tuple[Slot, ...]
    start_ms: Annotated[float, Field(gt=0.0, le=3_600_000.0)] = 30_000.0
    drain_ms: Annotated[float, Field(gt=0.0, le=3_600_000.0)] = 30_000.0
    seed: Annotated[int, Field(ge=0)] = 0

    @model_validator(mode="after")
    def check_slots(self) -> "AgentFile":
        """Raises ValueError if slots are missing or repeated, or a placeholder is unknown."""
        check_unique([each.name for each in self.slot], "slot")
        if not self.slot:
            raise ValueError("at least one slot is required: the versions that the server runs")
        for pair in self.environment:
            if "=" not in pair:
                raise ValueError(f"environment: {pair!r}: NAME=VALUE is wanted")
        placeholders = {each.name: each.name for each in self.slot}
        for text in (*self.command, *self.environment):
            try:
                text.format(**placeholders, home="")
            except (KeyError, IndexError, ValueError) as error:
                raise ValueError(
                    f"{text!r}: {error}: known: {{home}}, {', '.join(placeholders)}"
                ) from None
        return self


class Disk(NamedTuple):
    """The state that an agent needs after a restart.

    Attributes:
        runs: The installed version of each slot.
        good: The last version of each slot with which the server has served.
        pid: The process ID of the server; 0 without one.
        began: When that process started, in ticks of the system. Tells a reused process ID apart.
        tries: Starts of the agent's current version before its first contact with the fleet.
        trouble: A problem found by the program that starts agents.
    """

    runs: dict[str, str]
    good: dict[str, str]
    pid: int = 0
    began: str = ""
    tries: int = 0
    trouble: str = ""


def agent_of(path: str | Path) -> AgentFile:
    """Reads an agent's file. Raises InvalidFileError."""
    return read(path, AgentFile)


def disk_of(file: AgentFile) -> Disk:
    """Reads the agent's state; without one, returns the state before the first start.

    Raises:
        InvalidFileError: The file was not written by an agent.
    """
    initial = {each.name: each.version for each in file.slot}
    path = Path(file.home) / "agent.json"
    try:
        document = json.loads(path.read_text())
        if document.pop("form") != FORMAT_VERSION:
            raise ValueError("unknown format version")
        disk = Disk(**document)
        return disk._replace(runs={**initial, **disk.runs}, good={**initial, **disk.good})
    except FileNotFoundError:
        return Disk(initial, initial)
    except (OSError, ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidFileError(
            f"{path}:1: cannot be read as an agent's: {error}; move it away to start afresh"
        ) from None


def write(file: AgentFile, disk: Disk, may_replace: MayReplace = always) -> None:
    """Writes the agent's state atomically. Raises OSError and, by `may_replace`, NotReplacedError."""
    text = json.dumps({"form": FORMAT_VERSION, **disk._asdict()})
    write_atomically(Path(file.home) / "agent.json", text, may_replace)
