"""The commands of the log that speak of versions, and the readers of their fields."""

from typing import Any, NamedTuple

from pumicenotch.fleet.releases.release import (
    BUDGETS,
    MAX_WAVES,
    SERVER_DOWN,
    SERVER_STARTING,
    SLOTS,
    VERSION_PATTERN,
    Release,
    RunningVersion,
)
from pumicenotch.fleet.replicated.fields import (
    InvalidCommandError,
    read_budgets,
    read_name,
    read_names,
    read_number,
)

WIRE_RELEASE_FIELDS = 13  # the first fields of Release: what a plan says
BASELINE_FIGURES = 3
MAX_FIGURE = 1e12

# What an operator may do with a release, as entries name it.
START = "start"
ABANDON = "abandon"
HALT = "halt"
RESUME = "resume"
ROLL_BACK = "back"
APPROVE = "approve"
ACTIONS = (START, ABANDON, HALT, RESUME, ROLL_BACK, APPROVE)


class SetLevel(NamedTuple):
    """All voters read the entries of this level."""

    level: int


class PlanRelease(NamedTuple):
    """An operator plans a release."""

    request_id: str
    release: Release
    operator: str


class ControlRelease(NamedTuple):
    """An operator, or any process, starts, halts, resumes or otherwise controls a release."""

    request_id: str
    name: str
    action: str  # one of ACTIONS
    known_halts: tuple[str, ...]  # the keys of the halts that the operator knows of
    reason: str
    operator: str


class CompleteSoak(NamedTuple):
    """The leader finds a wave's soak over."""

    name: str
    wave: int
    conclusive: bool  # enough was observed to tell whether the version does harm
    reason: str


class SetBaseline(NamedTuple):
    """The leader tells how the fleet did before the first node of a wave moved."""

    name: str
    wave: int
    figures: tuple[float, ...]  # requests per window, failed fraction and mean ms of calls


class ReportHarm(NamedTuple):
    """A release does harm, as the leader or an agent finds."""

    name: str
    reported_by: str
    nodes: tuple[str, ...]
    reason: str


class ReportNode(NamedTuple):
    """An agent tells what its node runs and has stored."""

    name: str
    agent: str  # the agent's process id
    versions: tuple[RunningVersion, ...]
    stored: tuple[str, ...]
    server_state: str
    problem: str


class MoveNode(NamedTuple):
    """An agent wants to put a version in place."""

    name: str
    agent: str
    slot: str
    version: str


NodeCommand = ReportNode | MoveNode
ReleaseOperatorCommand = PlanRelease | ControlRelease
ReleaseCommand = (
    SetLevel | ReleaseOperatorCommand | CompleteSoak | SetBaseline | ReportHarm | NodeCommand
)


def read_action(value: Any) -> str:
    """Returns one of ACTIONS; raises InvalidCommandError."""
    if value not in ACTIONS:
        raise InvalidCommandError(f"{value!r:.40}: {', '.join(ACTIONS)} are known")
    return str(value)


def read_optional_names(value: Any) -> tuple[str, ...]:
    """Returns names, or none; raises InvalidCommandError."""
    return read_names(value) if value else ()


def read_server_state(value: Any) -> str:
    """Returns what an agent says of its server; "" if it serves. Raises InvalidCommandError."""
    if value not in ("", SERVER_DOWN, SERVER_STARTING):
        raise InvalidCommandError(
            f"{value!r:.40}: {SERVER_DOWN}, {SERVER_STARTING} or nothing is wanted"
        )
    return str(value)


def read_flag(value: Any) -> bool:
    """Returns a truth value; raises InvalidCommandError."""
    if type(value) is not bool:
        raise InvalidCommandError(f"yes or no is wanted, not {value!r:.40}")
    return value


def read_baseline(value: Any) -> tuple[float, ...]:
    """Returns the figures of SetBaseline; raises InvalidCommandError."""
    if not isinstance(value, list | tuple) or len(value) != BASELINE_FIGURES:
        raise InvalidCommandError("three figures are wanted")
    figures = tuple(float(figure) for figure in value if isinstance(figure, int | float))
    in_range = all(0.0 <= figure < MAX_FIGURE for figure in figures)
    if len(figures) < BASELINE_FIGURES or not in_range:
        raise InvalidCommandError(f"no figures: {value!r:.60}")
    return figures


def read_version(value: Any) -> str:
    """Returns a version that may name a folder; raises InvalidCommandError."""
    if not VERSION_PATTERN.fullmatch(read_name(value)):
        raise InvalidCommandError(
            f"a version of letters, digits, dots, dashes is wanted, not {value!r:.80}"
        )
    return str(value)


def read_versions(value: Any) -> tuple[RunningVersion, ...]:
    """Returns the version in each slot of a node; raises InvalidCommandError."""
    if not isinstance(value, list | tuple) or len(value) > len(SLOTS):
        raise InvalidCommandError("what a node runs: slot and version, for each slot")
    versions = tuple(
        RunningVersion(read_name(slot), read_version(version)) for slot, version in value
    )
    if unknown := [slot for slot, _ in versions if slot not in SLOTS]:
        raise InvalidCommandError(f"no slot {unknown[0]}; known: {', '.join(SLOTS)}")
    return versions


def read_release(value: Any) -> Release:
    """Returns a release as an operator plans it; raises InvalidCommandError."""
    try:
        release = _convert_release(value)
    except InvalidCommandError as error:
        raise InvalidCommandError(f"no plan of a release: {error.problem}") from None
    except (TypeError, ValueError) as error:
        raise InvalidCommandError(f"no plan of a release: {error}") from None
    if release.slot not in SLOTS:
        raise InvalidCommandError(f"no slot {release.slot!r:.40}; known: {', '.join(SLOTS)}")
    has_waves = release.nodes and all(release.waves) and len(release.waves) <= MAX_WAVES
    if release.slot != BUDGETS and not has_waves:
        raise InvalidCommandError(f"1 to {MAX_WAVES} waves of one node or more are wanted")
    if len(set(release.nodes)) < len(release.nodes):
        raise InvalidCommandError("a node stands in two waves")
    return release


def _convert_release(value: Any) -> Release:
    if len(value) != WIRE_RELEASE_FIELDS:
        raise ValueError(f"{WIRE_RELEASE_FIELDS} values are wanted, not {len(value)}")
    fields = Release(*value)
    return Release(
        name=read_name(fields.name),
        slot=fields.slot,
        version=read_version(fields.version),
        replaces=fields.replaces and read_version(fields.replaces),
        level=read_number(fields.level),
        waves=tuple(map(read_optional_names, fields.waves)),
        soak_ms=read_number(fields.soak_ms),
        extra_soak_ms=read_number(fields.extra_soak_ms),
        rolls_back=read_flag(fields.rolls_back),
        gate=read_number(fields.gate),
        urgent=read_flag(fields.urgent),
        mixed=read_flag(fields.mixed),
        budgets=read_budgets(fields.budgets),
    )


def release_to_wire(release: Release) -> tuple[Any, ...]:
    """Returns the fields that a `plan` entry carries."""
    return tuple(release[:WIRE_RELEASE_FIELDS])
