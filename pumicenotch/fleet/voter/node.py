"""The process of a voter.

The leader among the voters proposes requested entries, concludes from the voters' reports which
members have failed, and notifies holders of their permits.
"""

from typing import Any

from pumicenotch.consensus.inputs import (
    ChangeMembership,
    RequestRead,
    Tick,
    TransferLeadership,
)
from pumicenotch.consensus.membership_changes import next_membership
from pumicenotch.consensus.messages import UnknownVoterError
from pumicenotch.fleet.canary.analysis import CanaryAnalysis
from pumicenotch.fleet.canary.counts import read_counts, read_memory_mb
from pumicenotch.fleet.member.effects import Exit, RequestError
from pumicenotch.fleet.member.voter_client import NO_MAJORITY, REFUSED, UNKNOWN_VERB
from pumicenotch.fleet.releases.commands import ReportNode, SetLevel
from pumicenotch.fleet.replicated.commands import BootstrapFleet, HaltFleet
from pumicenotch.fleet.replicated.fields import InvalidCommandError
from pumicenotch.fleet.replicated.registry import (
    FIRST_LEVEL,
    LEADER_VERBS,
    REGISTRY,
    RELEASES_LEVEL,
    decode_command,
)
from pumicenotch.fleet.voter.failure_detector import (
    NAME_LEASE_MS,
    NEVER_MS,
    FailureDetector,
    SilentMembers,
    VoterLevels,
)
from pumicenotch.fleet.voter.hints import agent_hint, member_hint
from pumicenotch.fleet.voter.pending import NO_CONNECTION, PendingRead
from pumicenotch.fleet.voter.proposals import ProposerNode
from pumicenotch.fleet.voter.replica import VoterSetup
from pumicenotch.fleet.voter.reports import (
    READ_VERBS,
    InvalidReadError,
    LeaderInfo,
    Reports,
    Sources,
)
from pumicenotch.sender import Sender

# Verbs of requests that are neither log entries nor reads of the state.
LOCAL_STATUS_VERB = "local"
HEARTBEAT_VERB = "mine"
AGENT_REPORT_VERB = "agent"
UNLOGGED_VERBS = (LOCAL_STATUS_VERB, HEARTBEAT_VERB, AGENT_REPORT_VERB)


class VoterNode(ProposerNode):
    """A member that also handles requests from operators, members and agents.

    The leader answers them. A follower refuses them with the leader's address, except a request
    for the local status and a halt, which every member handles.
    """

    # Interval between checks for commands to propose. Well below a delay that a person notices.
    LEADER_CHECK_INTERVAL_MS = 250.0
    # Interval between a voter's reports to the leader of the members that it believes dead.
    VOTER_REPORT_INTERVAL_MS = 1000.0
    # Time for the leadership transfer and for the report of the stop, before the process exits.
    TRANSFER_TIMEOUT_MS = 1500.0

    def __init__(self, setup: VoterSetup) -> None:
        super().__init__(setup)
        self.setup = setup
        self.pending_reads: dict[int, PendingRead] = {}
        self.last_read_key = 0
        self.silent_members = SilentMembers()
        self.analysis = CanaryAnalysis()  # created anew whenever this voter becomes leader
        self.next_check_at_ms = self.now_ms
        self.next_report_at_ms = self.now_ms
        self.exit_at_ms = float("inf")

    def wake_at_ms(self) -> float:
        """Returns when the next `time` input is due."""
        return min(
            super().wake_at_ms(), self.voter.deadline_ms, self.next_check_at_ms, self.exit_at_ms
        )

    def on_time(self) -> None:
        """Runs the replica's timers, the periodic checks and the exit when they are due."""
        # A voter serves only once its replica has a vote: if it counted as available before that,
        # a drain of another voter could leave no majority.
        self.set_serving(self.replica in self.voter.log.membership.voters, False)
        super().on_time()
        if self.now_ms >= self.voter.deadline_ms:
            self.step_voter(Tick())
        if self.now_ms >= self.next_check_at_ms:
            self.next_check_at_ms = self.now_ms + self.LEADER_CHECK_INTERVAL_MS
            self.advance_bootstrap()
            self.expire_proposals()
            self._report_to_leader()
            self._run_leader_duties()
        if self.now_ms >= self.exit_at_ms or (self.is_stopping and self.stop_reported):
            self.exit_at_ms = float("inf")
            self.effects.append(Exit())

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        """Handles a notification; raises ValueError if it is malformed."""
        name, process_id, _ = sender
        match method:
            case "sees" if name not in self.voter_addresses:
                raise UnknownVoterError(method, name)
            case "sees":
                dead = [item for item in params if isinstance(item, str)]
                levels = [item for item in params if type(item) is int]
                self.detector.observe(self.now_ms, name, dead)
                self.voter_levels.observe(self.now_ms, name, max([FIRST_LEVEL, *levels]))
            case "counts":
                if self.leads and len(params) == 2 and name in self.state.members:
                    counts = read_counts(params[0])
                    memory_mb = read_memory_mb(params[1])
                    self.analysis.observe_member(self.now_ms, name, process_id, counts, memory_mb)
            case _:
                super().receive(sender, method, params)

    def on_leader_changed(self) -> None:
        """Resets the leader's state in a new leader; refuses pending proposals in a follower."""
        if self.voter.leader_id == self.replica:
            self.joining_replicas = {}
            self.detector = FailureDetector(self.now_ms, self.state.members)
            self.voter_levels = VoterLevels()
            self.analysis = CanaryAnalysis()
        elif self.pending:
            for pending in self.pending.values():
                self.refuse_as_follower(pending.connection_id, pending.message_id)
            self.pending = {}

    # Requests

    def on_request(self, connection_id: int, message_id: int, verb: str, args: Any) -> None:
        """Answers a request at once, or after its entry is applied or its read confirmed."""
        fields = tuple(args) if isinstance(args, list | tuple) else ()
        # A halt is in force in this process at once. The leader learns of it by gossip.
        is_local_halt = verb == "halt" and not self.leads
        if verb == LOCAL_STATUS_VERB or is_local_halt:
            super().on_request(connection_id, message_id, verb, fields)
        elif not self.leads:
            self.refuse_as_follower(connection_id, message_id)
        elif not self.state.fleet:
            error = RequestError(NO_MAJORITY, "the fleet has not begun yet")
            self.refuse(connection_id, message_id, error)
        else:
            self._answer_as_leader(connection_id, message_id, verb, fields)

    def _answer_as_leader(
        self, connection_id: int, message_id: int, verb: str, args: tuple[Any, ...]
    ) -> None:
        requested_verbs = (REGISTRY.keys() - LEADER_VERBS) | self.state.subject_by_verb.keys()
        if verb in READ_VERBS:
            self.last_read_key += 1
            read = PendingRead(connection_id, message_id, verb, args)
            self.pending_reads[self.last_read_key] = read
            self.step_voter(RequestRead(self.last_read_key))
        elif verb == HEARTBEAT_VERB:
            self._answer_heartbeat(connection_id, message_id, args)
        elif verb == AGENT_REPORT_VERB:
            self._answer_agent(connection_id, message_id, args)
        elif verb in requested_verbs:
            self.propose(connection_id, message_id, (verb, *args))
        else:
            known = sorted((*requested_verbs, *READ_VERBS, *UNLOGGED_VERBS))
            error = RequestError(UNKNOWN_VERB, f"{verb}: unknown; known: {', '.join(known)}")
            self.refuse(connection_id, message_id, error)

    def on_connection_closed(self, connection_id: int) -> None:
        """Drops the pending answers for a connection. Its proposals stay in the log."""
        for index, pending in list(self.pending.items()):
            if pending.connection_id == connection_id:
                self.pending[index] = pending._replace(connection_id=NO_CONNECTION)
        self.pending_reads = {
            key: read
            for key, read in self.pending_reads.items()
            if read.connection_id != connection_id
        }

    def reports(self) -> Reports:
        """Returns the tables for operators as of now."""
        membership = self.voter.log.membership
        leader = LeaderInfo(self.me.name, self.voter.term, membership.voters, membership.learners)
        return Reports(self.now_ms, Sources(self.state, leader, self.analysis, self.durations))

    def answer_read(self, key: int) -> None:
        """Answers a read from the current state, which is known to be up to date."""
        read = self.pending_reads.pop(key, None)
        if read is None:
            return
        try:
            answer = self.reports().answer(read.verb, read.args)
        except InvalidReadError as error:
            refusal = RequestError(REFUSED, str(error))
            self.refuse(read.connection_id, read.message_id, refusal)
            return
        self.respond(read.connection_id, read.message_id, answer)

    def fail_read(self, key: int) -> None:
        """Refuses a read, as this process no longer leads."""
        read = self.pending_reads.pop(key, None)
        if read is not None:
            self.refuse_as_follower(read.connection_id, read.message_id)

    def _answer_heartbeat(self, connection_id: int, message_id: int, args: tuple[Any, ...]) -> None:
        match args:
            case [str(name), str(process_id), bool(overloaded)]:
                member = self.state.members.get(name)
                if member is not None and member.process_id == process_id:
                    self.detector.on_heartbeat(self.now_ms, name, process_id, overloaded)
                interval_ms = self.heartbeat_interval()
                hint = member_hint(self.reports(), name, process_id, interval_ms)
                self.respond(connection_id, message_id, hint.to_wire())
            case _:
                problem = "mine: a name, a life and whether overloaded are wanted"
                self.refuse(connection_id, message_id, RequestError(REFUSED, problem))

    def _answer_agent(self, connection_id: int, message_id: int, args: tuple[Any, ...]) -> None:
        """Answers an agent's report with a hint, and proposes the report if it is new."""
        try:
            report = decode_command(("word", *args))
        except InvalidCommandError as error:
            self.refuse(connection_id, message_id, RequestError(REFUSED, str(error)))
            return
        assert isinstance(report, ReportNode)
        releases = self.state.releases
        node = releases.nodes.get(report.name)
        is_new = node is None or node.reported != report[1:]
        if releases.level >= RELEASES_LEVEL and is_new:
            self.propose_command(report)
        hint = agent_hint(self.state, report.name, self.heartbeat_interval())
        self.respond(connection_id, message_id, hint.to_wire())

    # Periodic duties

    def _report_to_leader(self) -> None:
        """Reports the members that this voter believes dead, and its level, to the leader."""
        if self.now_ms < self.next_report_at_ms:
            return
        self.next_report_at_ms = self.now_ms + self.VOTER_REPORT_INTERVAL_MS
        own_name = self.me.name
        dead = self.silent_members.dead(self.now_ms, own_name, self.state.members, self.members)
        if self.leads:
            self.detector.observe(self.now_ms, own_name, dead)
            self.voter_levels.observe(self.now_ms, own_name, self.level)
        elif address := self.leader_address():
            self.notify(address, "sees", *dead, self.level)

    def _run_leader_duties(self) -> None:
        if not self.leads or not self.voter.can_change_membership():
            return
        if not self.state.fleet:
            names = tuple(sorted(self.voter_addresses))
            setup = self.setup
            self.propose_command(
                BootstrapFleet(self.fleet, names, setup.budgets, setup.manual_members)
            )
            return
        self._propose_gossiped_halt()
        self._detect_failures()
        self._raise_level()
        for finding in self.analysis.findings(self.now_ms, self.state):
            self.propose_command(finding)
        self._change_membership()

    def _propose_gossiped_halt(self) -> None:
        """Proposes a halt that is gossiped, or ends the gossip of a halt that was resumed."""
        halt = self.halt_gossip.current()
        if not halt.key:
            return
        if halt.key not in self.state.answers:
            self.propose_command(HaltFleet(halt.key, halt.operator, halt.reason))
        elif halt.key not in self.state.halts:
            self.halt_gossip.replace("", "", "")

    def _detect_failures(self) -> None:
        members = self.state.members
        interval_ms = self.heartbeat_interval()
        voter_count = len(self.voter_addresses)
        for failure in self.detector.findings(self.now_ms, voter_count, members, interval_ms):
            self.propose_command(failure)

    def _raise_level(self) -> None:
        """Proposes the level that all voters read, but not while a release may be rolled back."""
        common_level = self.voter_levels.common_level(self.now_ms, len(self.voter_addresses))
        releases = self.state.releases
        if common_level > releases.level and not releases.active_releases():
            self.propose_command(SetLevel(common_level))

    def _change_membership(self) -> None:
        membership = next_membership(self.voter, self.joining_replicas, self._has_replica_responded)
        if membership is None:
            return
        learners = ", ".join(membership.learners) or "none"
        self.log(f"voters: {', '.join(membership.voters)}; learners: {learners}")
        self.step_voter(ChangeMembership(membership))
        self.joining_replicas = {
            name: replica
            for name, replica in self.joining_replicas.items()
            if replica not in membership.voters
        }

    def _has_replica_responded(self, replica: str) -> bool:
        return self.now_ms - self.voter.responded_at_ms.get(replica, NEVER_MS) < NAME_LEASE_MS

    # Exit

    def stop(self) -> None:
        """Transfers the leadership before this process exits, so that no election is needed."""
        if not self.is_stopping:
            self.exit_at_ms = self.now_ms + self.TRANSFER_TIMEOUT_MS
            if self.leads:
                self.step_voter(TransferLeadership(""))
        super().stop()
