"""Operators' requests: drains, overrides, budgets and halts.

Each request carries an id that identifies its retries, and each but a change of budgets a reason.
"""

from collections.abc import Iterable

from pumicenotch.fleet.drains.budgets import SERVING, STOPPED
from pumicenotch.fleet.drains.lifecycle import MemberLifecycle
from pumicenotch.fleet.replicated.commands import (
    CancelDrain,
    ForgetMember,
    HaltFleet,
    OverrideBudgets,
    RequestDrain,
    ResumeFleet,
    RevokePermit,
    SetBudgets,
)
from pumicenotch.fleet.replicated.records import OVERRIDE_PERMIT, ApplyResult, FleetHalt

MAX_LISTED_NAMES = 5  # member names listed in one message


class OperatorRequests(MemberLifecycle):
    """Applies operators' requests, and records the answers so that retries change nothing."""

    def request_drain(self, command: RequestDrain) -> ApplyResult:
        """Queues drains. The result names the members with permits, or those that wait and why."""
        return self.record_answer(command.request_id, self._queue_drains(command))

    def _queue_drains(self, command: RequestDrain) -> ApplyResult:
        names = command.names
        missing = [name for name in names if name not in self.members]
        if missing:
            return ApplyResult(False, f"no member {', '.join(missing[:MAX_LISTED_NAMES])}")
        voters = [name for name in names if self.members[name].voter]
        limit = self.max_unavailable_voters()
        if len(voters) > limit:
            return ApplyResult(
                False,
                f"{len(voters)} of {len(self.voters)} voters: at most {limit} may go at once,"
                " a majority must stay: ask for them in turn",
            )
        queued = {request.name for request in self.queue}
        for name in names:
            if name not in queued and name not in self.permits:
                self.enqueue_drain(name, command.reason, command.operator)
        self.record_event(
            f"{command.operator} asks for a drain of {_join_names(names)}: {command.reason}"
        )
        self.grant_permits()
        waiting = [name for name in names if name not in self.permits]
        if not waiting:
            return ApplyResult(True, f"permits for {_join_names(names)}")
        reason = self.wait_reasons.get(waiting[0], "its turn")
        return ApplyResult(True, f"waiting: {_join_names(waiting)}; {waiting[0]}: {reason}")

    def cancel_drain(self, command: CancelDrain) -> ApplyResult:
        """Withdraws queued drains and unused permits. A member without a process serves again."""
        draining = []
        for name in command.names:
            member = self.members.get(name)
            if member is None:
                return self.record_answer(
                    command.request_id, ApplyResult(False, f"no member {name}")
                )
            self.dequeue_member(name)
            permit = self.permits.get(name)
            if permit is None:
                continue
            if permit.started and member.process_id:
                draining.append(name)
                continue
            self.end_permit(name, f"{command.operator} takes it back: {command.reason}")
            if not member.process_id:
                self.members[name] = member._replace(status=SERVING)
        if draining:
            problem = (
                "drains already, and is out until it serves again: start it, or `fleet free` it"
            )
            result = ApplyResult(False, f"{_join_names(draining)} {problem}")
        else:
            result = ApplyResult(True, f"taken back: {_join_names(command.names)}")
        return self.record_answer(command.request_id, result)

    def override_budgets(self, command: OverrideBudgets) -> ApplyResult:
        """Gives a member a permit regardless of the budgets.

        Refused during a halt, and for a voter without which no majority of voters would remain.
        """
        return self.record_answer(command.request_id, self._override(command))

    def _override(self, command: OverrideBudgets) -> ApplyResult:
        name = command.name
        member = self.members.get(name)
        if member is None:
            return ApplyResult(False, f"no member {name}")
        if self.halts:
            return ApplyResult(False, self.halt_reason())
        breaks_majority = (
            member.voter and self.unavailable_voters() >= self.max_unavailable_voters()
        )
        if breaks_majority and not self.is_unavailable(member):
            return ApplyResult(False, "a majority of the voters must stay: no override helps")
        self.dequeue_member(name)
        if name not in self.permits:
            self.give_permit(member, OVERRIDE_PERMIT, command.reason)
        self.record_event(
            f"OVERRIDE by {command.operator}: {name} may drain whatever the budgets say:"
            f" {command.reason}"
        )
        return ApplyResult(True, f"permit for {name}")

    def revoke_permit(self, command: RevokePermit) -> ApplyResult:
        """Ends the permit of a member that will not return.

        The member remains unavailable until it serves again or is forgotten.
        """
        name = command.name
        permit = self.permits.get(name)
        if permit is None:
            return self.record_answer(
                command.request_id, ApplyResult(False, f"{name} holds no permit")
            )
        member = self.members[name]
        if member.status == SERVING and permit.started:
            self.members[name] = member._replace(status=STOPPED)
        self.end_permit(name, f"FREED by {command.operator}: {command.reason}")
        status = self.members[name].status
        result = ApplyResult(True, f"the permit of {name} is free; it counts as {status}")
        return self.record_answer(command.request_id, result)

    def forget_member(self, command: ForgetMember) -> ApplyResult:
        """Removes a member permanently, also from the outage counts."""
        name = command.name
        member = self.members.get(name)
        if member is None:
            result = ApplyResult(False, f"no member {name}")
        elif member.status == SERVING and not member.failure:
            result = ApplyResult(False, f"{name} serves: drain it first")
        else:
            del self.members[name]
            self.releases.nodes.pop(name, None)
            self.permits.pop(name, None)
            self.dequeue_member(name)
            self.record_event(f"FORGOTTEN by {command.operator}: {name}: {command.reason}")
            result = ApplyResult(True, f"{name} is forgotten")
        return self.record_answer(command.request_id, result)

    def set_budgets(self, command: SetBudgets) -> ApplyResult:
        """Replaces all budgets.

        A lowered budget does not return unavailable members to service, but no further member
        leaves service until the budget allows it.
        """
        self.budgets = command.budgets
        names = ", ".join(budget.name for budget in command.budgets) or "none"
        self.record_event(f"{command.operator} sets budgets: {names}")
        violations = self.violations()
        excess = f"; over now: {'; '.join(violations)}" if violations else ""
        result = ApplyResult(True, f"{len(command.budgets)} budgets{excess}")
        return self.record_answer(command.request_id, result)

    def halt(self, command: HaltFleet) -> ApplyResult:
        """Halts all steps that can wait. Copies of a halt have the same request id."""
        self.halts[command.request_id] = FleetHalt(command.operator, command.reason)
        self.record_event(f"HALT by {command.operator}: {command.reason}")
        return self.record_answer(command.request_id, ApplyResult(True, self.halt_reason()))

    def resume(self, command: ResumeFleet) -> ApplyResult:
        """Ends the halts that the operator has seen. Later halts stay in force."""
        for request_id in command.halts:
            self.halts.pop(request_id, None)
        remaining = f"; still {self.halt_reason()}" if self.halts else ""
        self.record_event(f"RESUMED by {command.operator}: {command.reason}{remaining}")
        result = ApplyResult(not self.halts, self.halt_reason() or "the fleet goes on")
        return self.record_answer(command.request_id, result)


def _join_names(names: Iterable[str]) -> str:
    """Returns the first MAX_LISTED_NAMES names and the number of the others."""
    listed = list(names)
    more = len(listed) - MAX_LISTED_NAMES
    suffix = f" and {more} more" if more > 0 else ""
    return ", ".join(listed[:MAX_LISTED_NAMES]) + suffix
