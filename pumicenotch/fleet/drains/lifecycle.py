"""The lifecycle of members: they join, serve, drain by permit or on their own, stop and fail."""

from typing import NamedTuple

from pumicenotch.fleet.drains.budgets import DRAINING, SERVING, STOPPED, Member
from pumicenotch.fleet.drains.scheduler import DrainScheduler
from pumicenotch.fleet.replicated.commands import (
    JoinMember,
    ReportServing,
    ReportStopped,
    ReportTermination,
    ReturnPermit,
    SetFailure,
    StartDrain,
)
from pumicenotch.fleet.replicated.records import (
    BUDGETED_PERMITS,
    TERMINATION_PERMIT,
    ApplyResult,
    DrainPermit,
)

MAX_PREVIOUS_PROCESS_IDS = 8  # a message of an older one was lost long ago
SILENT = "silent"  # the failure of a member that a majority of the voters does not hear of


class CurrentMember(NamedTuple):
    """A member, if the process that speaks for it still has its name."""

    member: Member | None
    refusal: ApplyResult


class MemberLifecycle(DrainScheduler):
    """Applies what processes report of themselves, and what voters find of them."""

    def join(self, command: JoinMember) -> ApplyResult:
        """A process says what it is, and takes its name over from an earlier process.

        Whether the earlier process has ended is for the leader to judge before it proposes this.
        """
        member = command.member
        known = self.members.get(member.name)
        if known is None:
            previous: tuple[str, ...] = ()
        elif not known.process_id:
            return ApplyResult(
                False, f"{member.name} is a member by hand: no process may take its name"
            )
        elif member.process_id in known.previous_process_ids:
            return ApplyResult(
                False, f"{member.name}: another process has taken this name since: end this one"
            )
        elif known.process_id == member.process_id:
            self.members[member.name] = member._replace(
                status=known.status,
                failure=known.failure,
                previous_process_ids=known.previous_process_ids,
            )
            return ApplyResult(True, "known")
        else:
            previous = (*known.previous_process_ids, known.process_id)
        # Unavailable until it reports that it serves: its start may fail still.
        self.members[member.name] = member._replace(
            status=STOPPED, previous_process_ids=previous[-MAX_PREVIOUS_PROCESS_IDS:]
        )
        self.record_event(f"{member.name} is there ({member.process_id})")
        return ApplyResult(True, "joined")

    def report_serving(self, command: ReportServing) -> ApplyResult:
        """A process is in service: a permit of an earlier one of its name ends here.

        A late report of the process that the permit was given to ends nothing.
        """
        name = command.name
        member, refusal = self._current_member(name, command.process_id)
        if member is None:
            return refusal
        permit = self.permits.get(name)
        if permit is not None and permit.process_id == command.process_id:
            return ApplyResult(True, "holds a permit")
        if permit is not None:
            self.end_permit(name, "is back in service")
        if member.status != SERVING or member.failure:
            self.members[name] = member._replace(status=SERVING, failure="")
            self.record_event(f"{name} serves")
        return ApplyResult(True, "serving")

    def report_termination(self, command: ReportTermination) -> ApplyResult:
        """A process drains without a permit: counted at once, never refused."""
        name, process_id, reason = command
        member, refusal = self._current_member(name, process_id)
        if member is None:
            return refusal
        permit = self.permits.get(name)
        if permit is None:
            self.permits[name] = DrainPermit(
                name, process_id, self.log_index, TERMINATION_PERMIT, reason, started=True
            )
        else:
            self.permits[name] = permit._replace(started=True, process_id=process_id)
        self.dequeue_member(name)
        if member.status == SERVING:
            self.members[name] = member._replace(status=DRAINING)
            self.record_event(f"{name} leaves unasked: {reason}")
        return ApplyResult(True, "counted")

    def start_drain(self, command: StartDrain) -> ApplyResult:
        """The holder of a permit is about to drain, and may do so only once this has succeeded.

        So a permit that was taken back is not used, however late its holder hears of it.
        """
        name, process_id, epoch = command
        member, refusal = self._current_member(name, process_id)
        if member is None:
            return refusal
        permit = self.permits.get(name)
        if permit is None or (permit.process_id, permit.epoch) != (process_id, epoch):
            return ApplyResult(False, f"{name} holds no permit of epoch {epoch}")
        if not permit.started:
            if self.halts:
                return ApplyResult(False, self.halt_reason())
            # Since it was given, others may have failed, and a budget may have been lowered.
            if permit.kind in BUDGETED_PERMITS and (
                violation := self.violation_with(member, permit)
            ):
                return ApplyResult(False, f"not now: {violation}")
            self.permits[name] = permit._replace(started=True)
            self.members[name] = member._replace(status=DRAINING)
            self.record_event(f"{name} drains (epoch {epoch})")
        return ApplyResult(True, "begun", epoch)

    def report_stopped(self, command: ReportStopped) -> ApplyResult:
        """A process has drained and is about to exit."""
        member, refusal = self._current_member(command.name, command.process_id)
        if member is None:
            return refusal
        if member.status != STOPPED:
            self.members[member.name] = member._replace(status=STOPPED)
            self.record_event(f"{member.name} has left")
        return ApplyResult(True, "out")

    def set_failure(self, command: SetFailure) -> ApplyResult:
        """A majority of the voters finds a member failed, or recovered."""
        name, process_id, reason = command
        member, refusal = self._current_member(name, process_id)
        if member is None:
            return refusal
        if member.failure != reason:
            self.members[name] = member._replace(failure=reason)
            self.record_event(
                f"{name} is out against its will: {reason}" if reason else f"{name} is well again"
            )
        return ApplyResult(True, "noted")

    def return_permit(self, command: ReturnPermit) -> ApplyResult:
        """The holder returns a permit that it has not used."""
        name, process_id, epoch = command
        member, refusal = self._current_member(name, process_id)
        if member is None:
            return refusal
        permit = self.permits.get(name)
        unused = (process_id, epoch, False)
        if permit is not None and (permit.process_id, permit.epoch, permit.started) == unused:
            self.end_permit(name, "gives its permit back")
        return ApplyResult(True, "given back")

    def _current_member(self, name: str, process_id: str) -> CurrentMember:
        member = self.members.get(name)
        if member is None:
            return CurrentMember(None, ApplyResult(False, f"no member {name}: join first"))
        if member.process_id != process_id:
            refusal = ApplyResult(False, f"{name}: another process has this name")
            return CurrentMember(None, refusal)
        return CurrentMember(member, ApplyResult(True, ""))
