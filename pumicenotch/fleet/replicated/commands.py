"""The commands of the log that speak of members, drains, budgets and halts.

`registry` maps the verbs of the wire to these types. Those of releases are in `releases.commands`.
"""

from typing import NamedTuple

from pumicenotch.fleet.drains.budgets import Budget, Member


class BootstrapFleet(NamedTuple):
    """The first command: the fleet's name, voters, budgets, and members without a process."""

    fleet: str
    voters: tuple[str, ...]
    budgets: tuple[Budget, ...]
    manual_members: tuple[Member, ...]


class JoinMember(NamedTuple):
    """A process says what it is."""

    member: Member


class ReportServing(NamedTuple):
    """A process is in service."""

    name: str
    process_id: str


class ReportTermination(NamedTuple):
    """A process drains without a permit, as it was told to end."""

    name: str
    process_id: str
    reason: str


class StartDrain(NamedTuple):
    """The holder of a permit is about to drain."""

    name: str
    process_id: str
    epoch: int


class ReportStopped(NamedTuple):
    """A process has drained and is about to exit."""

    name: str
    process_id: str


class SetFailure(NamedTuple):
    """A majority of the voters finds a member failed; an empty reason: it has recovered."""

    name: str
    process_id: str
    reason: str


class ReturnPermit(NamedTuple):
    """The holder returns a permit that it has not used."""

    name: str
    process_id: str
    epoch: int


class RequestDrain(NamedTuple):
    """An operator wants members drained."""

    request_id: str
    names: tuple[str, ...]
    reason: str
    operator: str


class CancelDrain(NamedTuple):
    """An operator withdraws requests for drains and permits that are not in use."""

    request_id: str
    names: tuple[str, ...]
    reason: str
    operator: str


class OverrideBudgets(NamedTuple):
    """An operator gives a permit whatever the budgets say."""

    request_id: str
    name: str
    reason: str
    operator: str


class RevokePermit(NamedTuple):
    """An operator ends the permit of a member that will not return."""

    request_id: str
    name: str
    reason: str
    operator: str


class ForgetMember(NamedTuple):
    """An operator removes a member for good."""

    request_id: str
    name: str
    reason: str
    operator: str


class SetBudgets(NamedTuple):
    """An operator replaces all budgets."""

    request_id: str
    budgets: tuple[Budget, ...]
    operator: str


class HaltFleet(NamedTuple):
    """Anybody stops all steps that can wait."""

    request_id: str
    operator: str
    reason: str


class ResumeFleet(NamedTuple):
    """An operator ends the halts with these request ids."""

    request_id: str
    halts: tuple[str, ...]
    reason: str
    operator: str


MemberCommand = (
    JoinMember
    | ReportServing
    | ReportTermination
    | StartDrain
    | ReportStopped
    | SetFailure
    | ReturnPermit
)
OperatorCommand = (
    RequestDrain
    | CancelDrain
    | OverrideBudgets
    | RevokePermit
    | ForgetMember
    | SetBudgets
    | HaltFleet
    | ResumeFleet
)
