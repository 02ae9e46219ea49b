"""What the fleet has agreed: one state, and one way for an entry of the log to change it.

The same entries lead to the same state at every voter. So a permit needs no entry of its own: it
follows from the others.
"""

from collections.abc import Sequence
from typing import Any

from pumicenotch.fleet.drains.operator_requests import OperatorRequests
from pumicenotch.fleet.releases.commands import ReleaseCommand
from pumicenotch.fleet.replicated.commands import BootstrapFleet, RequestDrain
from pumicenotch.fleet.replicated.records import ApplyResult
from pumicenotch.fleet.replicated.registry import (
    FIRST_LEVEL,
    REGISTRY,
    Command,
    changes_counts,
    decode_command,
    decode_fields,
    member_of,
    request_id_of,
    subjects_by_verb,
)
from pumicenotch.fleet.replicated.subject import ReplicatedSubject


class FleetState(OperatorRequests):
    """The replicated state machine: members, drains, halts, releases and further subjects."""

    def __init__(self, subjects: Sequence[ReplicatedSubject] = ()) -> None:
        """Takes further subjects of the log; raises ValueError where two claim one verb."""
        super().__init__()
        self.fleet = ""
        ordered = sorted(subjects, key=lambda subject: subject.name)
        self.subjects = {subject.name: subject for subject in ordered}
        self.subject_by_verb = subjects_by_verb(ordered)

    def apply(self, log_index: int, entry: Any) -> ApplyResult:
        """Applies the entry (verb, field, ...) at that log index. It raises nothing."""
        self.log_index = log_index
        subject = self._subject_of(entry)
        try:
            if subject is not None:
                return self._apply_to_subject(subject, entry)
            command = decode_command(entry)
        except ValueError as error:
            return ApplyResult(False, str(error), error_code(error))
        return self._apply_command(entry[0], command)

    def _apply_command(self, verb: str, command: Command) -> ApplyResult:
        request_id = request_id_of(command)
        if request_id in self.answers:  # a retry, however it came: nothing changes
            return ApplyResult(*self.answers[request_id])
        if changes_counts(command):
            self.invalidate_counts()
        owner = self.releases if isinstance(command, ReleaseCommand) else self
        result: ApplyResult = getattr(owner, REGISTRY[verb].handler)(command)
        self.releases.advance_all(member_of(command))
        if not isinstance(command, RequestDrain):  # which gives permits itself, to report them
            self.grant_permits()
        return result

    def _subject_of(self, entry: Any) -> ReplicatedSubject | None:
        if not isinstance(entry, list | tuple) or not entry:
            return None
        verb = entry[0]
        return self.subject_by_verb.get(verb) if isinstance(verb, str) else None

    def _apply_to_subject(self, subject: ReplicatedSubject, entry: Sequence[Any]) -> ApplyResult:
        """Applies a subject's entry: it changes no member, so no permit follows from it."""
        verb = entry[0]
        fields = decode_fields(entry, subject.verbs[verb])
        if self.releases.level < subject.level:  # voters that cannot read it skip it too
            level = self.releases.level
            return ApplyResult(
                False, f"{verb} is of level {subject.level}: the fleet is at {level}"
            )
        result = subject.apply(self.log_index, verb, fields)
        return ApplyResult(result.ok, result.text, result.value)

    def check(self, entry: Any) -> None:
        """Raises ValueError for an entry that cannot be read."""
        subject = self._subject_of(entry)
        if subject is None:
            decode_command(entry)
        else:
            decode_fields(entry, subject.verbs[entry[0]])

    def admit(self, entry: Any) -> None:
        """Called before a leader proposes an entry; raises ValueError if its subject refuses."""
        subject = self._subject_of(entry)
        if subject is not None:
            subject.admit(entry[0], decode_fields(entry, subject.verbs[entry[0]]))

    def level_of(self, verb: str) -> int:
        """Returns the level that all voters must have before an entry of this verb is proposed."""
        if verb in self.subject_by_verb:
            return self.subject_by_verb[verb].level
        return REGISTRY[verb].level if verb in REGISTRY else FIRST_LEVEL

    def bootstrap(self, command: BootstrapFleet) -> ApplyResult:
        """Sets what a new fleet begins with.

        Its manual members are replicas of services without a process of ours, which an operator
        drains and returns.
        """
        if self.fleet:
            return ApplyResult(True, "begun already")
        self.fleet = command.fleet
        self.voters = command.voters
        self.budgets = command.budgets
        for member in command.manual_members:
            self.members[member.name] = member._replace(process_id="")
        voters = ", ".join(command.voters)
        self.record_event(f"fleet {command.fleet} begins with the voters {voters}")
        return ApplyResult(True, "begun")


def error_code(error: Exception) -> str | None:
    """Returns the code of an error that has a type of its own for operators."""
    code = getattr(error, "code", None)
    return code if isinstance(code, str) else None
