"""The lifecycle of members: join, serve, drain with or without a permit, stop and fail."""

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

# Messages of processes before the last 8 of a name are no longer in transit.
MAX_PREVIOUS_PROCESS_IDS = 8
SILENT = "silent"  # failure of a member that a majority of the voters believes dead


class CurrentMember(NamedTuple):
    """A member, or the refusal of a report by a process that does not have the member's name."""

    member: Member | None
    refusal: ApplyResult


class MemberLifecycle(DrainScheduler):
    """Applies reports of processes about themselves, and findings of voters about processes."""

    def join(self, command: JoinMember) -> ApplyResult:
        """Registers a process, which takes its member name over from an earlier process.

        The leader proposes this command only once it finds that the earlier process has ended.
        """
        member = command.member
        existing = self.members.get(member.name)
        if existing is None:
            previous: tuple[str, ...] = ()
        elif not existing.process_id:
            return ApplyResult(
                False, f"{member.name} is a member by hand: no process may take its name"
            )
        elif member.process_id in existing.previous_process_ids:
            return ApplyResult(
                False, f"{member.name}: another process has taken this name since: end this one"
            )
        elif existing.process_id == member.process_id:
            self.members[member.name] = member._replace(
                status=existing.status,
                failure=existing.failure,
                previous_process_ids=existing.previous_process_ids,
            )
            return ApplyResult(True, "known")
        else:
            previous = (*existing.previous_process_ids, existing.process_id)
        # The member is unavailable until the process reports that it serves, as its start may fail.
        self.members[member.name] = member._replace(
            status=STOPPED, previous_process_ids=previous[-MAX_PREVIOUS_PROCESS_IDS:]
        )
        self.record_event(f"{member.name} is there ({member.process_id})")
        return ApplyResult(True, "joined")

    def report_serving(self, command: ReportServing) -> ApplyResult:
        """Marks a member as serving, and ends the permit of an earlier process of the same name.

        A late report of the process that holds the permit does not end the permit.
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
        """Records a drain without a permit, which is counted at once and never refused."""
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
        """Lets a permit's holder start to drain, which it may do only once this has succeeded.

        A withdrawn permit is therefore never used, however late its holder learns of the
        withdrawal.
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
            # Since the permit was given, members may have failed or a budget may have been lowered.
            if permit.kind in BUDGETED_PERMITS and (
                violation := self.violation_with(member, permit)
            ):
                return ApplyResult(False, f"not now: {violation}")
            self.permits[name] = permit._replace(started=True)
            self.members[name] = member._replace(status=DRAINING)
            self.record_event(f"{name} drains (epoch {epoch})")
        return ApplyResult(True, "begun", epoch)

    def report_stopped(self, command: ReportStopped) -> ApplyResult:
        """Records that a process has drained and is about to exit."""
        member, refusal = self._current_member(command.name, command.process_id)
        if member is None:
            return refusal
        if member.status != STOPPED:
            self.members[member.name] = member._replace(status=STOPPED)
            self.record_event(f"{member.name} has left")
        return ApplyResult(True, "out")

    def set_failure(self, command: SetFailure) -> ApplyResult:
        """Records that the voters find a member failed, or recovered if the reason is empty."""
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
        """Ends a permit that its holder returns unused."""
        name, process_id, epoch = command
        member, refusal = self._current_member(name, process_id)
        if member is None:
            return refusal
        permit = self.permits.get(name)
        unused_permit = (process_id, epoch, False)
        if (
            permit is not None
            and (permit.process_id, permit.epoch, permit.started) == unused_permit
        ):
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
