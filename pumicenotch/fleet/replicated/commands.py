"""Commands of the replicated log on members, drains, budgets and halts.

`registry` maps the verbs on the wire to these types. The commands on releases are in
`releases.commands`.
"""

from typing import NamedTuple

from pumicenotch.fleet.drains.budgets import Budget, Member


class BootstrapFleet(NamedTuple):
    """Creates the fleet. This is the first command of a log.

    `manual_members` are members without a process of this program.
    """

    fleet: str
    voters: tuple[str, ...]
    budgets: tuple[Budget, ...]
    manual_members: tuple[Member, ...]


class JoinMember(NamedTuple):
    """Registers a process as the current one of a member name."""

    member: Member


class ReportServing(NamedTuple):
    """Reports that a process is in service."""

    name: str
    process_id: str


class ReportTermination(NamedTuple):
    """Reports that a process drains without a permit because it was told to end."""

    name: str
    process_id: str
    reason: str


class StartDrain(NamedTuple):
    """Asks to start the drain of a permit's holder."""

    name: str
    process_id: str
    epoch: int


class ReportStopped(NamedTuple):
    """Reports that a process has drained and is about to exit."""

    name: str
    process_id: str


class SetFailure(NamedTuple):
    """Records that a majority of the voters finds a member failed.

    An empty reason means that the member has recovered.
    """

    name: str
    process_id: str
    reason: str


class ReturnPermit(NamedTuple):
    """Returns a permit that its holder has not used."""

    name: str
    process_id: str
    epoch: int


class RequestDrain(NamedTuple):
    """Asks for permits to drain members."""

    request_id: str
    names: tuple[str, ...]
    reason: str
    operator: str


class CancelDrain(NamedTuple):
    """Withdraws drain requests, and permits whose holders have not started to drain."""

    request_id: str
    names: tuple[str, ...]
    reason: str
    operator: str


class OverrideBudgets(NamedTuple):
    """Gives a member a permit regardless of the budgets."""

    request_id: str
    name: str
    reason: str
    operator: str


class RevokePermit(NamedTuple):
    """Ends the permit of a member that will not return."""

    request_id: str
    name: str
    reason: str
    operator: str


class ForgetMember(NamedTuple):
    """Removes a member permanently."""

    request_id: str
    name: str
    reason: str
    operator: str


class SetBudgets(NamedTuple):
    """Replaces all budgets."""

    request_id: str
    budgets: tuple[Budget, ...]
    operator: str


class HaltFleet(NamedTuple):
    """Halts all steps that can wait. Any process may send it, not only an operator."""

    request_id: str
    operator: str
    reason: str


class ResumeFleet(NamedTuple):
    """Ends the halts with these request ids."""

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
