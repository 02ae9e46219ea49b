"""What the runner and a process of hollow instances say to each other: one JSON object a line, commands to
the process's standard input, reports from its standard output.
"""

import json
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple

FIRST_BEGAN_MS = (
    1_700_000_000_000  # Unix ms of the first life of each instance: before any real start
)
STEP_BUCKET_MS = 0.05  # resolution of the histogram of steps


class Place(NamedTuple):
    """Where one member of the fleet is: hollow or real."""

    name: str
    address: str
    zone: str
    region: str


def life_of(number: int, generation: int) -> str:
    """The life of a hollow instance, as long as a real one's; known to all without being told."""
    return f"{number:06x}{generation:06x}"


@dataclass(frozen=True)
class Spec:
    """What a process of hollow instances is started with: instances `first` up to `last` of the directory."""

    fleet: str
    seed: int
    voters: list[str]
    first: int
    last: int
    directory: str  # path of a file of places, hollow ones first
    hollow: int  # how many of the directory are hollow
    knows: bool  # whether instances know each other at their first start, as after a day in service
    zones: int = 1
    configuration: dict[str, Any] | None = None  # what is published, if instances are to take it
    whole: bool = False  # each publication whole from the voters, in place of changes
    journal: str = ""  # path of the record of what was published

    def dump(self) -> str:
        return json.dumps(asdict(self))

    @classmethod
    def load(cls, text: str) -> "Spec":
        return cls(**json.loads(text))


@dataclass(frozen=True)
class Command:
    """`start` and `kill` and `replace` take numbers of instances; `cut` a set of members by their names,
    that hears and reaches nobody else; `heal` ends all cuts; `verify` has all that is served looked at once
    more; `end` ends the process.
    """

    do: str
    numbers: list[int] = field(default_factory=list)
    names: list[str] = field(default_factory=list)
    within_s: float = 0.0  # starts are spread over so long

    def dump(self) -> bytes:
        return json.dumps(asdict(self)).encode() + b"\n"

    @classmethod
    def load(cls, line: bytes) -> "Command":
        return cls(**json.loads(line))


@dataclass
class Report:
    """What one process's instances did since its last report, and what they hold now."""

    at: float  # time.monotonic(), which all processes of a machine share
    up: int = 0
    serving: int = 0  # those whose service is agreed, as they were told
    cpu_s: float = 0.0  # of the process since its start
    memory_mb: float = 0.0
    read_bytes: int = 0  # by the process since its start
    written_bytes: int = 0
    sent: dict[str, int] = field(default_factory=dict)  # messages by role of whom they go to
    received: dict[str, int] = field(default_factory=dict)
    dropped: int = 0  # messages that a cut has swallowed
    steps: dict[int, int] = field(default_factory=dict)  # bucket of processor time -> how many
    longest_cpu_ms: float = 0.0
    longest_wall_ms: float = 0.0
    longest_input: str = ""
    dead: list[list[Any]] = field(default_factory=list)  # name, life, how many more think it dead
    lives: list[list[Any]] = field(default_factory=list)  # number, generation, up or not, when
    counts: dict[str, int] = field(default_factory=dict)  # of the members and their hubs
    descriptors: int = 0
    # Of the configuration: by the observer, never by what instances say of themselves.
    switches: list[list[Any]] = field(default_factory=list)  # number, generation, version, when
    mixed: list[list[Any]] = field(default_factory=list)  # number, version, table, scope
    backward: list[list[Any]] = field(default_factory=list)  # number, from, to
    checked: int = 0  # scopes, against the record
    observer_cpu_s: float = 0.0  # of the process's, since its start
    relays: list[int] = field(default_factory=list)  # numbers of those that serve others now
    verified: list[list[Any]] = field(
        default_factory=list
    )  # number, whether all it serves is the newest

    def dump(self) -> str:
        return json.dumps(asdict(self))

    @classmethod
    def load(cls, line: bytes) -> "Report":
        told = json.loads(line)
        told["steps"] = {int(bucket): many for bucket, many in told["steps"].items()}
        return cls(**told)
