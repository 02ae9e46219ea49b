"""The table that maps the verbs of log entries to commands.

The verbs are part of the wire protocol and of every stored log, so they never change.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from pumicenotch.fleet.releases import commands as releases
from pumicenotch.fleet.releases.commands import ReleaseCommand, ReleaseOperatorCommand
from pumicenotch.fleet.replicated import commands as fleet
from pumicenotch.fleet.replicated.commands import BootstrapFleet, MemberCommand, OperatorCommand
from pumicenotch.fleet.replicated.fields import (
    FieldReader,
    InvalidCommandError,
    read_budgets,
    read_member,
    read_members,
    read_name,
    read_names,
    read_number,
    read_reason,
    read_text,
)
from pumicenotch.fleet.replicated.records import member_to_wire
from pumicenotch.fleet.replicated.subject import ReplicatedSubject

Command = BootstrapFleet | MemberCommand | OperatorCommand | ReleaseCommand

# Levels of entries. An entry is proposed only once the fleet is at its level, which the fleet
# reaches when all voters read entries of that level.
FIRST_LEVEL = 1  # level of entries that every version of this program reads
RELEASES_LEVEL = 2  # level of entries on releases


class CommandSpec(NamedTuple):
    """How entries of one verb are decoded and applied."""

    command: type[Any]
    handler: str  # name of the method of FleetState, or of Releases for release commands
    readers: tuple[FieldReader, ...]  # one per field of the command
    level: int = FIRST_LEVEL


REGISTRY: dict[str, CommandSpec] = {
    "begin": CommandSpec(
        fleet.BootstrapFleet, "bootstrap", (read_name, read_names, read_budgets, read_members)
    ),
    "join": CommandSpec(fleet.JoinMember, "join", (read_member,)),
    "serving": CommandSpec(fleet.ReportServing, "report_serving", (read_name, read_name)),
    "leaving": CommandSpec(
        fleet.ReportTermination, "report_termination", (read_name, read_name, read_text)
    ),
    "began": CommandSpec(fleet.StartDrain, "start_drain", (read_name, read_name, read_number)),
    "gone": CommandSpec(fleet.ReportStopped, "report_stopped", (read_name, read_name)),
    "against": CommandSpec(fleet.SetFailure, "set_failure", (read_name, read_name, read_text)),
    "returned": CommandSpec(
        fleet.ReturnPermit, "return_permit", (read_name, read_name, read_number)
    ),
    "drain": CommandSpec(
        fleet.RequestDrain, "request_drain", (read_name, read_names, read_reason, read_name)
    ),
    "undrain": CommandSpec(
        fleet.CancelDrain, "cancel_drain", (read_name, read_names, read_reason, read_name)
    ),
    "override": CommandSpec(
        fleet.OverrideBudgets, "override_budgets", (read_name, read_name, read_reason, read_name)
    ),
    "free": CommandSpec(
        fleet.RevokePermit, "revoke_permit", (read_name, read_name, read_reason, read_name)
    ),
    "forget": CommandSpec(
        fleet.ForgetMember, "forget_member", (read_name, read_name, read_reason, read_name)
    ),
    "budget": CommandSpec(fleet.SetBudgets, "set_budgets", (read_name, read_budgets, read_name)),
    "halt": CommandSpec(fleet.HaltFleet, "halt", (read_name, read_name, read_reason)),
    "resume": CommandSpec(
        fleet.ResumeFleet, "resume", (read_name, read_names, read_reason, read_name)
    ),
    "level": CommandSpec(releases.SetLevel, "set_level", (read_number,), RELEASES_LEVEL),
    "plan": CommandSpec(
        releases.PlanRelease,
        "plan",
        (read_name, releases.read_release, read_name),
        RELEASES_LEVEL,
    ),
    "release": CommandSpec(
        releases.ControlRelease,
        "control",
        (
            read_name,
            read_name,
            releases.read_action,
            releases.read_optional_names,
            read_reason,
            read_name,
        ),
        RELEASES_LEVEL,
    ),
    "soaked": CommandSpec(
        releases.CompleteSoak,
        "complete_soak",
        (read_name, read_number, releases.read_flag, read_text),
        RELEASES_LEVEL,
    ),
    "usual": CommandSpec(
        releases.SetBaseline,
        "set_baseline",
        (read_name, read_number, releases.read_baseline),
        RELEASES_LEVEL,
    ),
    "harm": CommandSpec(
        releases.ReportHarm,
        "report_harm",
        (read_name, read_name, releases.read_optional_names, read_reason),
        RELEASES_LEVEL,
    ),
    "word": CommandSpec(
        releases.ReportNode,
        "report_node",
        (
            read_name,
            read_name,
            releases.read_versions,
            releases.read_optional_names,
            releases.read_server_state,
            read_text,
        ),
        RELEASES_LEVEL,
    ),
    "move": CommandSpec(
        releases.MoveNode,
        "move_node",
        (read_name, read_name, read_name, releases.read_version),
        RELEASES_LEVEL,
    ),
}

# Verbs that only the leader proposes, on its own behalf. Requests with these verbs are refused.
LEADER_VERBS = frozenset(("begin", "against", "level", "word", "usual", "soaked", "harm"))

# Commands that leave the same members unavailable, or whose handlers update or invalidate the
# cached counts themselves.
_COMMANDS_KEEPING_COUNTS = (
    fleet.RequestDrain,
    fleet.StartDrain,
    fleet.HaltFleet,
    fleet.ResumeFleet,
    releases.ReportNode,
    releases.MoveNode,
    releases.PlanRelease,
    releases.CompleteSoak,
)


def decode_command(entry: Any) -> Command:
    """Returns the command of an entry (verb, field, ...); raises InvalidCommandError."""
    is_list = isinstance(entry, list | tuple) and bool(entry)
    if not is_list or not isinstance(entry[0], str) or entry[0] not in REGISTRY:
        raise InvalidCommandError(f"unknown: {entry!r:.60}; known: {', '.join(REGISTRY)}")
    spec = REGISTRY[entry[0]]
    command: Command = spec.command(*decode_fields(entry, spec.readers))
    return command


def decode_fields(entry: Sequence[Any], readers: tuple[FieldReader, ...]) -> tuple[Any, ...]:
    """Returns the fields after an entry's verb.

    Raises:
        InvalidCommandError: the number of fields or the value of a field is wrong.
        ValueError: a reader of an additional subject rejects a value.
    """
    verb = entry[0]
    if len(entry) != len(readers) + 1:
        problem = f"{len(readers)} values are wanted, not {len(entry) - 1}"
        raise InvalidCommandError(problem, location=str(verb))
    try:
        return tuple(reader(value) for reader, value in zip(readers, entry[1:], strict=True))
    except TypeError as error:
        raise InvalidCommandError(str(error), location=str(verb)) from None


def changes_counts(command: Command) -> bool:
    """Returns whether the command may change which members are unavailable."""
    return not isinstance(command, _COMMANDS_KEEPING_COUNTS)


def request_id_of(command: Command) -> str:
    """Returns the request id that identifies retries of an operator's command; "" for others."""
    if isinstance(command, OperatorCommand | ReleaseOperatorCommand):
        return command.request_id
    return ""


def member_of(command: Command) -> str:
    """Returns the name of the only member that the command concerns; "" if several or none."""
    if isinstance(command, fleet.JoinMember):
        return command.member.name
    if isinstance(command, MemberCommand | releases.NodeCommand):
        return command.name
    return ""


def subjects_by_verb(subjects: Iterable[ReplicatedSubject]) -> dict[str, ReplicatedSubject]:
    """Returns the subject of each additional verb; raises ValueError if a verb is already taken."""
    subject_by_verb: dict[str, ReplicatedSubject] = {}
    for subject in subjects:
        for verb in subject.verbs:
            if verb in REGISTRY or verb in subject_by_verb:
                raise ValueError(
                    f"subject {subject.name}: the verb {verb} is already taken:"
                    " use a verb of another name"
                )
            subject_by_verb[verb] = subject
    return subject_by_verb


_VERB_BY_COMMAND: dict[type[Any], str] = {spec.command: verb for verb, spec in REGISTRY.items()}


def encode_command(command: Command) -> tuple[Any, ...]:
    """Returns the entry (verb, field, ...) of a command, in the format of `decode_command`."""
    verb = _VERB_BY_COMMAND[type(command)]
    match command:
        case fleet.JoinMember(member):
            return verb, member_to_wire(member)
        case fleet.BootstrapFleet(name, voters, budgets, manual_members):
            return verb, name, voters, budgets, tuple(map(member_to_wire, manual_members))
        case releases.PlanRelease(request_id, release, operator):
            return verb, request_id, releases.release_to_wire(release), operator
        case _:
            return (verb, *command)
