"""A member with a replica of the log.

This layer obtains a vote for the replica, and applies committed log entries to the replicated
state.
"""

from abc import abstractmethod
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple

from pumicenotch.consensus import messages
from pumicenotch.consensus.bootstrap import Bootstrap, SendToName
from pumicenotch.consensus.effects import (
    ApplyEntry,
    LeaderChanged,
    Persist,
    ReadFailed,
    ReadReady,
    RestoreSnapshot,
    Send,
)
from pumicenotch.consensus.inputs import Input, MessageReceived, Persisted
from pumicenotch.consensus.messages import (
    ClusterMembership,
    Discover,
    Entry,
    EntryKind,
    UnknownVoterError,
    VoterId,
    decode_bootstrap_message,
    decode_message,
    encode_message,
    voter_name,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter
from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.member.effects import Exit
from pumicenotch.fleet.member.node import MemberNode, MemberSetup
from pumicenotch.fleet.releases import release
from pumicenotch.fleet.replicated import snapshot
from pumicenotch.fleet.replicated.records import ApplyResult
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.fleet.replicated.subject import ReplicatedSubject
from pumicenotch.sender import Sender

# Result of entries that are not commands, such as membership changes.
NO_RESULT = ApplyResult(False, "")


class VoterSetup(NamedTuple):
    """The parameters of a voter's process."""

    member: MemberSetup
    voters: Mapping[str, str]  # addresses of all voters, including this one, by name
    budgets: tuple[Budget, ...] = ()  # initial budgets of a new fleet
    manual_members: tuple[Member, ...] = ()  # initial manual members of a new fleet
    # Creates empty additional subjects for a new state.
    make_subjects: Callable[[], Sequence[ReplicatedSubject]] = tuple


class Leadership(NamedTuple):
    """The current leader, as known to this voter."""

    address: str  # "" if no leader is known
    is_leader: bool
    in_touch: bool  # whether a leader has contact with a majority, or a follower with its leader


class ReplicaNode(MemberNode):
    """Owns a consensus replica, passes inputs to it and carries out its effects."""

    # Number of log entries, some hundred KB, above which a snapshot replaces them.
    COMPACTION_THRESHOLD = 1024

    def __init__(self, setup: VoterSetup) -> None:
        super().__init__(setup.member)
        self.voter_addresses = dict(setup.voters)
        self.replica = f"{self.me.name}/{self.me.process_id}"
        self.bootstrap = Bootstrap(self.replica, self.voter_addresses)
        self.voter = self._new_voter(ClusterMembership())
        self.joining_replicas: dict[str, str] = {}  # replicas that request a vote, by voter name
        self.make_subjects = setup.make_subjects
        self.state = FleetState(setup.make_subjects())
        # Set if this program cannot read the agreed state. The process then exits.
        self.cannot_read_state = False

    def _new_voter(self, membership: ClusterMembership) -> Voter:
        return Voter(self.replica, self.now_ms, membership, self.rng.uniform)

    @property
    def leads(self) -> bool:
        """Whether this voter is the leader."""
        return self.voter.role is Role.LEADER

    @property
    def level(self) -> int:
        """The highest entry level that this process reads."""
        subjects = self.state.subjects.values()
        return max([release.PROGRAM_LEVEL, *(subject.level for subject in subjects)])

    def leader_address(self) -> str:
        """Returns the leader's address; "" if this process knows of no leader."""
        return self.voter_addresses.get(voter_name(self.voter.leader_id), "")

    def leadership(self) -> Leadership:
        """Returns the current leader, for callers that pass it on to another state machine."""
        address = self.leader_address()
        if self.leads:
            in_touch = self.voter.has_active_quorum()
        else:
            in_touch = bool(address) and self.voter.leader_is_alive()
        return Leadership(address, self.leads, in_touch)

    # Bootstrap and joining

    def advance_bootstrap(self) -> None:
        """Requests a vote until the replica has one, then forwards the bootstrap for a while."""
        if self.voter.log.last_index > 0:
            self.bootstrap.has_log = True
            if self.replica in self.voter.log.membership.members:
                return
        self._send_bootstrap(self.bootstrap.on_tick(self.now_ms))
        self._adopt_bootstrapped_membership()

    def _adopt_bootstrapped_membership(self) -> None:
        membership = self.bootstrap.membership
        log = self.voter.log
        if membership is not None and not log.membership.voters and log.last_index == 0:
            self.voter = self._new_voter(membership)
            self.log(f"fleet bootstrapped with voters {', '.join(membership.voters)}")
            self._send_bootstrap(self.bootstrap.on_tick(self.now_ms))

    def _send_bootstrap(self, sends: list[SendToName]) -> None:
        for name, message in sends:
            if name in self.voter_addresses:
                address = self.voter_addresses[name]
                self.notify(address, messages.BOOTSTRAP_METHOD, *encode_message(message))

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        """Handles a notification; raises ValueError if it is malformed."""
        name, process_id, _ = sender
        match method:
            case messages.CONSENSUS_METHOD | messages.BOOTSTRAP_METHOD if (
                name not in self.voter_addresses
            ):
                raise UnknownVoterError(method, name)
            case messages.CONSENSUS_METHOD:
                message = decode_message(params)
                self.step_voter(MessageReceived(f"{name}/{process_id}", message))
            case messages.BOOTSTRAP_METHOD:
                self._receive_bootstrap(name, f"{name}/{process_id}", params)
            case _:
                super().receive(sender, method, params)

    def _receive_bootstrap(self, name: str, replica: VoterId, params: Any) -> None:
        message = decode_bootstrap_message(params)
        wants_vote = isinstance(message, Discover)
        if wants_vote and self.leads and replica not in self.voter.log.membership.voters:
            self.joining_replicas[name] = replica
        self._send_bootstrap(self.bootstrap.receive(replica, message))
        self._adopt_bootstrapped_membership()

    # Consensus replica

    def step_voter(self, event: Input) -> None:
        """Passes an input to the replica, and carries out the resulting effects."""
        pending = self.voter.step(self.now_ms, event)
        while pending and not self.cannot_read_state:
            effect = pending.pop(0)
            match effect:
                case Persist(serial):  # the log is in memory: a restarted process is a new replica
                    pending += self.voter.step(self.now_ms, Persisted(serial))
                case Send(to, message):
                    if address := self.voter_addresses.get(voter_name(to)):
                        self.notify(address, messages.CONSENSUS_METHOD, *encode_message(message))
                case ApplyEntry(index, entry):
                    self._commit(index, entry)
                case RestoreSnapshot(index, data):
                    self._restore(index, data)
                case ReadReady(key, _):
                    self.answer_read(key)
                case ReadFailed(key):
                    self.fail_read(key)
                case LeaderChanged(leader, term):
                    self.log(f"{leader or 'nobody'} leads in term {term}")
                    self.on_leader_changed()

    def _commit(self, index: int, entry: Entry) -> None:
        permit_holders = set(self.state.permits)
        result = NO_RESULT
        if entry.kind is EntryKind.COMMAND:
            result = self.state.apply(index, entry.data)
            self._check_level()
        else:
            self.state.log_index = index
        self.on_applied(index, entry, result, permit_holders)
        log = self.voter.log
        entries = log.last_index - log.snapshot_index
        if entries > self.COMPACTION_THRESHOLD and self.voter.commit_index == index:
            self.voter.compact(index, snapshot.dump(self.state))

    def _restore(self, index: int, data: bytes) -> None:
        try:
            self.state = snapshot.load(data, self.make_subjects())
        except ValueError as error:
            self._exit_unreadable(str(error))
            return
        self.log(f"restored the fleet's state from a snapshot at log index {index}")
        self._check_level()

    def _check_level(self) -> None:
        if self.state.releases.level > self.level:
            self._exit_unreadable(
                f"the fleet is at level {self.state.releases.level}, but this voter reads entries"
                f" only up to level {self.level}: give its file the blocks that the other voters'"
                " files have, or start it with a newer program"
            )

    def _exit_unreadable(self, reason: str) -> None:
        """Exits a voter that cannot read the agreed state, as its own state would diverge."""
        self.cannot_read_state = True
        self.log(f"this voter exits: {reason}")
        self.effects.append(Exit())

    # Hooks for subclasses

    @abstractmethod
    def on_leader_changed(self) -> None:
        """Called when the leader has changed or is unknown."""

    @abstractmethod
    def on_applied(
        self, index: int, entry: Entry, result: ApplyResult, permit_holders: set[str]
    ) -> None:
        """Called after an entry was applied; `permit_holders` held permits before the entry."""

    @abstractmethod
    def answer_read(self, key: int) -> None:
        """Called when a read may be answered from the current state."""

    @abstractmethod
    def fail_read(self, key: int) -> None:
        """Called when a read cannot be answered because this process no longer leads."""
