"""A member with a replica of the log.

Here its replica gets a vote, and the log's entries reach the replicated state.
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

NO_RESULT = ApplyResult(False, "")  # of entries that are the log's own


class VoterSetup(NamedTuple):
    """What a voter's process is made from."""

    member: MemberSetup
    voters: Mapping[str, str]  # the addresses of all voters by name, this one's too
    budgets: tuple[Budget, ...] = ()  # that a new fleet begins with
    manual_members: tuple[Member, ...] = ()  # likewise
    make_subjects: Callable[[], Sequence[ReplicatedSubject]] = tuple  # empty ones, for each state


class Leadership(NamedTuple):
    """Who leads, as this voter knows it."""

    address: str  # "": nobody
    is_leader: bool
    in_touch: bool  # with a majority as its leader, or with its leader


class ReplicaNode(MemberNode):
    """Carries out what the replica wants; `step_voter` is the way to it."""

    # Entries after which they make way for a snapshot: some hundred KB.
    COMPACT_AT = 1024

    def __init__(self, setup: VoterSetup) -> None:
        super().__init__(setup.member)
        self.voter_addresses = dict(setup.voters)
        self.replica = f"{self.me.name}/{self.me.process_id}"
        self.bootstrap = Bootstrap(self.replica, self.voter_addresses)
        self.voter = self._new_voter(ClusterMembership())
        self.joining_replicas: dict[str, str] = {}  # by name: replicas that want a vote
        self.make_subjects = setup.make_subjects
        self.state = FleetState(setup.make_subjects())
        self.cannot_read_state = False  # this program does not understand it: the process exits

    def _new_voter(self, membership: ClusterMembership) -> Voter:
        return Voter(self.replica, self.now_ms, membership, self.rng.uniform)

    @property
    def leads(self) -> bool:
        """Whether this voter leads."""
        return self.voter.role is Role.LEADER

    @property
    def level(self) -> int:
        """The highest level of entries that this process reads."""
        subjects = self.state.subjects.values()
        return max([release.PROGRAM_LEVEL, *(subject.level for subject in subjects)])

    def leader_address(self) -> str:
        """Returns the leader's address; "" if nobody leads, as far as this process knows."""
        return self.voter_addresses.get(voter_name(self.voter.leader_id), "")

    def leadership(self) -> Leadership:
        """Returns who leads, for a carrier that hands it on to another reducer."""
        address = self.leader_address()
        if self.leads:
            in_touch = self.voter.has_active_quorum()
        else:
            in_touch = bool(address) and self.voter.leader_is_alive()
        return Leadership(address, self.leads, in_touch)

    # Getting a vote

    def find_fleet(self) -> None:
        """Asks for a vote until the replica has one; then passes the bootstrap on for a while."""
        if self.voter.log.last_index > 0:
            self.bootstrap.has_log = True
            if self.replica in self.voter.log.membership.members:
                return
        self._send_bootstrap(self.bootstrap.on_tick(self.now_ms))
        self._take_bootstrapped_membership()

    def _take_bootstrapped_membership(self) -> None:
        membership = self.bootstrap.membership
        log = self.voter.log
        if membership is not None and not log.membership.voters and log.last_index == 0:
            self.voter = self._new_voter(membership)
            self.log(f"the fleet is founded: {', '.join(membership.voters)}")
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
        self._take_bootstrapped_membership()

    # The replica

    def step_voter(self, event: Input) -> None:
        """Gives the replica an input, and carries out its effects."""
        pending = self.voter.step(self.now_ms, event)
        while pending and not self.cannot_read_state:
            effect = pending.pop(0)
            match effect:
                case Persist(serial):  # in memory: a process that exits returns as another replica
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
        if entries > self.COMPACT_AT and self.voter.commit_index == index:
            self.voter.compact(index, snapshot.dump(self.state))

    def _restore(self, index: int, data: bytes) -> None:
        try:
            self.state = snapshot.load(data, self.make_subjects())
        except ValueError as error:
            self._give_up(str(error))
            return
        self.log(f"takes the fleet's state as of {index}")
        self._check_level()

    def _check_level(self) -> None:
        if self.state.releases.level > self.level:
            self._give_up(
                f"the fleet is at level {self.state.releases.level}, and this voter reads entries"
                f" up to level {self.level}: give its file the blocks that the other voters' files"
                " have, or start it with a newer program"
            )

    def _give_up(self, reason: str) -> None:
        """Ends a voter that cannot read what is agreed: its state would differ from the others'."""
        self.cannot_read_state = True
        self.log(f"this voter ends: {reason}")
        self.effects.append(Exit())

    # What comes of it

    @abstractmethod
    def on_leader_changed(self) -> None:
        """Another voter leads, or nobody."""

    @abstractmethod
    def on_applied(
        self, index: int, entry: Entry, result: ApplyResult, permit_holders: set[str]
    ) -> None:
        """The entry is in the state; `permit_holders` held a permit before it."""

    @abstractmethod
    def answer_read(self, key: int) -> None:
        """The read may be answered from the state as it is."""

    @abstractmethod
    def fail_read(self, key: int) -> None:
        """This process does not lead any more."""
