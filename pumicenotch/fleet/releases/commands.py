"""The log commands of releases, and the readers that validate their fields."""

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

WIRE_RELEASE_FIELD_COUNT = 13  # the first fields of Release, which make up a plan
BASELINE_METRIC_COUNT = 3
MAX_METRIC_VALUE = 1e12

# The actions of operators on a release, as log entries name them.
START = "start"
ABANDON = "abandon"
HALT = "halt"
RESUME = "resume"
ROLL_BACK = "back"
APPROVE = "approve"
ACTIONS = (START, ABANDON, HALT, RESUME, ROLL_BACK, APPROVE)


class SetLevel(NamedTuple):
    """Records that all voters read the log entries of this level."""

    level: int


class PlanRelease(NamedTuple):
    """An operator's plan of a release."""

    request_id: str
    release: Release
    operator: str


class ControlRelease(NamedTuple):
    """An operator's action on a release, such as a start, a halt or a rollback."""

    request_id: str
    name: str
    action: str  # one of ACTIONS
    known_halts: tuple[str, ...]  # the keys of the halts that the operator has seen
    reason: str
    operator: str


class CompleteSoak(NamedTuple):
    """The leader's finding that the soak of a wave is over."""

    name: str
    wave: int
    conclusive: bool  # whether the observations suffice to tell whether the version does harm
    reason: str


class SetBaseline(NamedTuple):
    """The leader's measurement of the fleet before the first node of a wave moves."""

    name: str
    wave: int
    # Requests per window, the failed fraction of calls, and the mean duration of a call in ms.
    metrics: tuple[float, ...]


class ReportHarm(NamedTuple):
    """A finding of the leader or of an agent that a release does harm."""

    name: str
    reported_by: str
    nodes: tuple[str, ...]
    reason: str


class ReportNode(NamedTuple):
    """An agent's report of the versions that its node runs and stores."""

    name: str
    agent: str  # the agent's process id
    versions: tuple[RunningVersion, ...]
    stored: tuple[str, ...]
    server_state: str
    problem: str


class MoveNode(NamedTuple):
    """An agent's request for permission to put a version in a slot."""

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
    """Returns a possibly empty list of names; raises InvalidCommandError."""
    return read_names(value) if value else ()


def read_server_state(value: Any) -> str:
    """Returns SERVER_DOWN, SERVER_STARTING, or "" for serving; raises InvalidCommandError."""
    if value not in ("", SERVER_DOWN, SERVER_STARTING):
        raise InvalidCommandError(
            f"{value!r:.40}: {SERVER_DOWN}, {SERVER_STARTING} or nothing is wanted"
        )
    return str(value)


def read_flag(value: Any) -> bool:
    """Returns a boolean; raises InvalidCommandError for any other type."""
    if type(value) is not bool:
        raise InvalidCommandError(f"yes or no is wanted, not {value!r:.40}")
    return value


def read_baseline(value: Any) -> tuple[float, ...]:
    """Returns the metrics of SetBaseline; raises InvalidCommandError."""
    if not isinstance(value, list | tuple) or len(value) != BASELINE_METRIC_COUNT:
        raise InvalidCommandError("three figures are wanted")
    metrics = tuple(float(metric) for metric in value if isinstance(metric, int | float))
    in_range = all(0.0 <= metric < MAX_METRIC_VALUE for metric in metrics)
    if len(metrics) < BASELINE_METRIC_COUNT or not in_range:
        raise InvalidCommandError(f"no figures: {value!r:.60}")
    return metrics


def read_version(value: Any) -> str:
    """Returns a version that is safe as the name of a folder; raises InvalidCommandError."""
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
    """Returns the plan of a release; raises InvalidCommandError."""
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
    if len(value) != WIRE_RELEASE_FIELD_COUNT:
        raise ValueError(f"{WIRE_RELEASE_FIELD_COUNT} values are wanted, not {len(value)}")
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
    """Returns the fields of a release that a `plan` entry carries."""
    return tuple(release[:WIRE_RELEASE_FIELD_COUNT])
