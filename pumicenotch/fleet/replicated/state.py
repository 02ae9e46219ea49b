"""The replicated state machine of the fleet.

Log entries are the only way to change the state, and the same entries lead to the same state at
every voter. Granting a permit therefore needs no entry: it follows from the other entries.
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
    """The replicated state: members, drains, halts, releases and additional subjects."""

    def __init__(self, subjects: Sequence[ReplicatedSubject] = ()) -> None:
        """Adds the additional subjects; raises ValueError if one claims a verb that is taken."""
        super().__init__()
        self.fleet = ""
        ordered = sorted(subjects, key=lambda subject: subject.name)
        self.subjects = {subject.name: subject for subject in ordered}
        self.subject_by_verb = subjects_by_verb(ordered)

    def apply(self, log_index: int, entry: Any) -> ApplyResult:
        """Applies the entry (verb, field, ...) at that log index. Raises nothing."""
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
        if request_id in self.answers:  # a retry changes nothing
            return ApplyResult(*self.answers[request_id])
        if changes_counts(command):
            self.invalidate_counts()
        owner = self.releases if isinstance(command, ReleaseCommand) else self
        result: ApplyResult = getattr(owner, REGISTRY[verb].handler)(command)
        self.releases.advance_all(member_of(command))
        if not isinstance(command, RequestDrain):  # its handler grants permits itself
            self.grant_permits()
        return result

    def _subject_of(self, entry: Any) -> ReplicatedSubject | None:
        if not isinstance(entry, list | tuple) or not entry:
            return None
        verb = entry[0]
        return self.subject_by_verb.get(verb) if isinstance(verb, str) else None

    def _apply_to_subject(self, subject: ReplicatedSubject, entry: Sequence[Any]) -> ApplyResult:
        """Applies a subject's entry. Subjects change no member, so no permit has to be granted."""
        verb = entry[0]
        fields = decode_fields(entry, subject.verbs[verb])
        if self.releases.level < subject.level:  # voters without the subject skip it too
            level = self.releases.level
            return ApplyResult(
                False, f"{verb} is of level {subject.level}: the fleet is at {level}"
            )
        result = subject.apply(self.log_index, verb, fields)
        return ApplyResult(result.ok, result.text, result.value)

    def check(self, entry: Any) -> None:
        """Raises ValueError if the entry cannot be decoded."""
        subject = self._subject_of(entry)
        if subject is None:
            decode_command(entry)
        else:
            decode_fields(entry, subject.verbs[entry[0]])

    def admit(self, entry: Any) -> None:
        """Lets an entry's subject refuse it before the leader proposes it; raises ValueError."""
        subject = self._subject_of(entry)
        if subject is not None:
            subject.admit(entry[0], decode_fields(entry, subject.verbs[entry[0]]))

    def level_of(self, verb: str) -> int:
        """Returns the level that all voters must read before an entry of this verb is proposed."""
        if verb in self.subject_by_verb:
            return self.subject_by_verb[verb].level
        return REGISTRY[verb].level if verb in REGISTRY else FIRST_LEVEL

    def bootstrap(self, command: BootstrapFleet) -> ApplyResult:
        """Sets the name, voters, budgets and manual members of a new fleet.

        Manual members are replicas of services that run no process of this program. An operator
        drains them and returns them to service.
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
    """Returns the code that identifies an error in answers to other programs; None without one."""
    code = getattr(error, "code", None)
    return code if isinstance(code, str) else None
