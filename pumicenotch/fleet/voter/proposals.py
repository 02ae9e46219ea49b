"""Proposals of a leader: commands of clients and its own, which are checked first."""

from typing import Any

from pumicenotch.consensus.inputs import Propose
from pumicenotch.consensus.messages import Entry, EntryKind, voter_name
from pumicenotch.fleet.drains.durations import DrainDurations
from pumicenotch.fleet.member.effects import RequestError
from pumicenotch.fleet.member.voter_client import NO_MAJORITY, NOT_LEADER, REFUSED
from pumicenotch.fleet.replicated.records import ApplyResult
from pumicenotch.fleet.replicated.registry import Command, encode_command
from pumicenotch.fleet.replicated.state import error_code
from pumicenotch.fleet.voter.failure_detector import FailureDetector, VoterLevels
from pumicenotch.fleet.voter.pending import NO_CONNECTION, PendingProposal
from pumicenotch.fleet.voter.replica import ReplicaNode, VoterSetup


class ProposerNode(ReplicaNode):
    """Proposes entries while it leads, and answers their clients once they are applied."""

    # Time after which a client is answered that no majority has agreed. A change of leader takes
    # less.
    PROPOSAL_TIMEOUT_MS = 3000.0
    # Bounds the fraction of a core that a leader spends on the heartbeats of all members.
    HEARTBEAT_MS_PER_MEMBER = 5.0

    def __init__(self, setup: VoterSetup) -> None:
        super().__init__(setup)
        self.pending: dict[int, PendingProposal] = {}  # by log index
        self.detector = FailureDetector(self.now_ms, {})
        self.voter_levels = VoterLevels()
        self.durations = DrainDurations()

    def heartbeat_interval(self) -> float:
        """Returns the interval between a member's heartbeats in ms, which grows with the fleet."""
        return max(self.HEARTBEAT_MS, self.HEARTBEAT_MS_PER_MEMBER * len(self.state.members))

    # Proposals

    def propose(self, connection_id: int, message_id: int, entry: tuple[Any, ...]) -> None:
        """Proposes an entry, or refuses one that cannot be decoded or is not safe now."""
        try:
            self.state.check(entry)
            if reason := self._refusal_reason(entry):
                self.refuse(connection_id, message_id, RequestError(REFUSED, reason))
                return
            self.state.admit(entry)
        except ValueError as error:
            refusal = RequestError(REFUSED, str(error), error_code(error))
            self.refuse(connection_id, message_id, refusal)
            return
        if entry[0] == "halt":  # in force in this process before it is agreed
            self.halt_gossip.replace(*entry[1:])
        index = self.voter.log.last_index + 1
        expires_at_ms = self.now_ms + self.PROPOSAL_TIMEOUT_MS
        self.pending[index] = PendingProposal(
            self.voter.term, connection_id, message_id, expires_at_ms
        )
        self.step_voter(Propose(entry))
        # Nothing is appended while the leadership is being transferred.
        if self.voter.log.last_index < index and index in self.pending:
            del self.pending[index]
            problem = "the leader hands over: ask again"
            self.refuse(connection_id, message_id, RequestError(NO_MAJORITY, problem, ""))

    def propose_command(self, command: Command) -> None:
        """Proposes a command on the leader's own behalf."""
        self.propose(NO_CONNECTION, 0, encode_command(command))

    def expire_proposals(self) -> None:
        """Refuses proposals that were not agreed in time. They may still be agreed later."""
        problem = "no majority of the voters has agreed in time: it may come to pass still"
        for index, pending in list(self.pending.items()):
            if self.now_ms >= pending.expires_at_ms:
                del self.pending[index]
                error = RequestError(NO_MAJORITY, problem)
                self.refuse(pending.connection_id, pending.message_id, error)

    def _refusal_reason(self, entry: tuple[Any, ...]) -> str:
        """Returns why the leader must not propose the entry now; "" if it may."""
        verb = entry[0]
        if verb == "join":
            name, process_id = entry[1][:2]
            if reason := self._name_conflict(name, process_id):
                return reason
        if verb != "level" and (reason := self._level_problem(verb)):
            return reason
        if verb not in ("move", "began") or not self.has_unapplied_halt():
            return ""
        permit = self.state.permits.get(entry[1]) if verb == "began" else None
        return "" if permit is not None and permit.started else self.halt_reason()

    def _name_conflict(self, name: str, process_id: str) -> str:
        member = self.state.members.get(name)
        if member is None or member.process_id == process_id:
            return ""
        if not self.detector.is_name_taken(self.now_ms, member, self.heartbeat_interval()):
            return ""
        return f"{name}: the name is taken by a process that is alive ({member.process_id})"

    def _level_problem(self, verb: str) -> str:
        required = self.state.level_of(verb)
        level = self.state.releases.level
        if required <= level:
            return ""
        below = self.voter_levels.voters_without(required, self.voter_addresses)
        return (
            f"{verb} is of level {required}, and the fleet is at level {level}: all voters have to"
            f" understand it first; not heard so of {', '.join(below) or 'nobody: wait'}"
        )

    def has_unapplied_halt(self) -> bool:
        """Returns whether a halt is gossiped that is not applied yet."""
        key = self.halt_gossip.current().key
        return bool(key) and key not in self.state.answers

    # Answers

    def on_applied(
        self, index: int, entry: Entry, result: ApplyResult, permit_holders: set[str]
    ) -> None:
        """Answers the client of an applied entry, and notifies new holders of their permits."""
        if entry.kind is EntryKind.COMMAND:
            self.durations.observe(
                self.now_ms, permit_holders, self.state.permits, self.state.wait_reasons
            )
            self._notify_permit_holders(permit_holders)
        pending = self.pending.pop(index, None)
        if pending is None:
            return
        connection_id = pending.connection_id
        message_id = pending.message_id
        if pending.term != entry.term:
            self.refuse_as_follower(connection_id, message_id)
        elif not result.ok:
            error = RequestError(REFUSED, result.text, result.value)
            self.refuse(connection_id, message_id, error)
        elif connection_id != NO_CONNECTION:
            answer = {"text": result.text, "value": result.value, "index": index, "agreed": True}
            self.respond(connection_id, message_id, answer)

    def _notify_permit_holders(self, previous_holders: set[str]) -> None:
        """Notifies new holders of permits at once; otherwise they learn of them by heartbeat."""
        if not self.leads:
            return
        for name in sorted(self.state.permits.keys() - previous_holders):
            if name in self.members.table:
                address = self.members.table.updates[name].member.address
                self.notify(address, "permitted", self.state.permits[name].epoch)

    def refuse_as_follower(self, connection_id: int, message_id: int) -> None:
        """Refuses a request that only the leader answers, with the leader's address if known."""
        address = self.leader_address()
        if address:
            problem = f"{voter_name(self.voter.leader_id)} leads"
            error = RequestError(NOT_LEADER, problem, address)
        else:
            error = RequestError(NO_MAJORITY, "nobody leads just now", address)
        self.refuse(connection_id, message_id, error)

    def refuse(self, connection_id: int, message_id: int, error: RequestError) -> None:
        """Answers a request with an error, unless its client has disconnected."""
        if connection_id != NO_CONNECTION:
            super().refuse(connection_id, message_id, error)
