"""A member that has a replica of the agreed log: how its replica gets a vote, and how what is agreed comes to
the state.
"""

from abc import abstractmethod
from collections.abc import Callable, Sequence
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
from pumicenotch.fleet import release, snapshot
from pumicenotch.fleet.book import Book
from pumicenotch.fleet.effects import Exit
from pumicenotch.fleet.entries import Said
from pumicenotch.fleet.member_node import MemberNode
from pumicenotch.fleet.state import State
from pumicenotch.sender import Sender

NOTHING_SAID = Said(False, "")  # of an entry that is the log's own


class Leadership(NamedTuple):
    """Who leads, as this voter knows it."""

    address: str  # "": nobody
    is_leader: bool
    in_touch: bool  # with a majority as its leader, or with its leader


class ReplicaNode(MemberNode):
    """`step_voter` is its way to the replica; what the replica wants is carried out here."""

    COMPACT_AT = 1024  # entries after which they make way for a snapshot: some hundred KB

    def __init__(
        self, *, names: dict[str, str], books: Callable[[], Sequence[Book]], **rest: Any
    ) -> None:
        """`names` are all voters' addresses by name, this one's too. `books` makes the further subjects of
        the log, once for each state.
        """
        super().__init__(voters=names.values(), **rest)
        self.names = names
        self.replica = f"{self.me.name}/{self.me.process_id}"
        self.bootstrap = Bootstrap(self.replica, names)
        self.voter = self.new_voter(ClusterMembership())
        self.joining_replicas: dict[str, str] = {}  # name -> replica of processes that want a vote
        self.books = books
        self.state = State(books())
        self.unreadable = False  # the fleet's state, by this program: it ends

    def new_voter(self, membership: ClusterMembership) -> Voter:
        return Voter(self.replica, self.now, membership, self.random.uniform)

    @property
    def leads(self) -> bool:
        return self.voter.role is Role.LEADER

    @property
    def level(self) -> int:
        """The highest level of entries that this process reads."""
        return max([release.LEVEL, *(book.level for book in self.state.books.values())])

    def leader_address(self) -> str:
        """Of whoever leads; "": nobody, or nobody that this process knows."""
        return self.names.get(voter_name(self.voter.leader_id), "")

    def leadership(self) -> Leadership:
        """For a carrier that hands it on to another reducer."""
        address = self.leader_address()
        if self.leads:
            in_touch = self.voter.has_active_quorum()
        else:
            in_touch = bool(address) and self.voter.leader_is_alive()
        return Leadership(address, self.leads, in_touch)

    # Getting a vote

    def find_fleet(self) -> None:
        """Until its replica has a vote it asks for one; then it passes the founding on for a while."""
        if self.voter.log.last_index > 0:
            self.bootstrap.has_log = True
            if self.replica in self.voter.log.membership.members:
                return
        self.send_bootstrap(self.bootstrap.on_tick(self.now))
        self.take_bootstrapped_membership()

    def take_bootstrapped_membership(self) -> None:
        membership = self.bootstrap.membership
        log = self.voter.log
        if membership is not None and not log.membership.voters and log.last_index == 0:
            self.voter = self.new_voter(membership)
            self.log(f"the fleet is founded: {', '.join(membership.voters)}")
            self.send_bootstrap(self.bootstrap.on_tick(self.now))

    def send_bootstrap(self, sends: list[SendToName]) -> None:
        for name, message in sends:
            if name in self.names:
                self.post(self.names[name], messages.BOOTSTRAP_METHOD, *encode_message(message))

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        name, life, _ = sender
        match method:
            case messages.CONSENSUS_METHOD | messages.BOOTSTRAP_METHOD if name not in self.names:
                raise UnknownVoterError(method, name)
            case messages.CONSENSUS_METHOD:
                message = decode_message(params)
                self.step_voter(MessageReceived(f"{name}/{life}", message))
            case messages.BOOTSTRAP_METHOD:
                self.receive_bootstrap(name, f"{name}/{life}", params)
            case _:
                super().receive(sender, method, params)

    def receive_bootstrap(self, name: str, replica: VoterId, params: Any) -> None:
        message = decode_bootstrap_message(params)
        is_discovery = isinstance(message, Discover)
        if is_discovery and self.leads and replica not in self.voter.log.membership.voters:
            self.joining_replicas[name] = replica
        self.send_bootstrap(self.bootstrap.receive(replica, message))
        self.take_bootstrapped_membership()

    # The replica

    def step_voter(self, event: Input) -> None:
        todo = self.voter.step(self.now, event)
        while todo and not self.unreadable:
            effect = todo.pop(0)
            match effect:
                case Persist(
                    serial
                ):  # in memory: a process that ends comes back as another replica
                    todo += self.voter.step(self.now, Persisted(serial))
                case Send(to, message):
                    if address := self.names.get(voter_name(to)):
                        self.post(address, messages.CONSENSUS_METHOD, *encode_message(message))
                case ApplyEntry(index, entry):
                    self.commit(index, entry)
                case RestoreSnapshot(index, data):
                    self.restore(index, data)
                case ReadReady(key, _):
                    self.answer_read(key)
                case ReadFailed(key):
                    self.read_failed(key)
                case LeaderChanged(leader, term):
                    self.log(f"{leader or 'nobody'} leads in term {term}")
                    self.leader_changed()

    def commit(self, index: int, entry: Entry) -> None:
        permits = set(self.state.permits)
        said = NOTHING_SAID
        if entry.kind is EntryKind.COMMAND:
            said = self.state.apply(index, entry.data)
            self.check_level()
        else:
            self.state.index = index
        self.applied(index, entry, said, permits)
        log = self.voter.log
        if (
            log.last_index - log.snapshot_index > self.COMPACT_AT
            and self.voter.commit_index == index
        ):
            self.voter.compact(index, snapshot.dump(self.state))

    def restore(self, index: int, data: bytes) -> None:
        try:
            self.state = snapshot.load(data, self.books())
        except ValueError as error:
            self.give_up(str(error))
            return
        self.log(f"takes the fleet's state as of {index}")
        self.check_level()

    def check_level(self) -> None:
        if self.state.releases.level > self.level:
            self.give_up(
                f"the fleet is at level {self.state.releases.level}, and this voter reads entries up to"
                f" level {self.level}: give its file the blocks that the other voters' files have, or"
                " start it with a newer program"
            )

    def give_up(self, why: str) -> None:
        """A voter that cannot read what is agreed would hold another state than the others."""
        self.unreadable = True
        self.log(f"this voter ends: {why}")
        self.effects.append(Exit())

    # What comes of it

    @abstractmethod
    def leader_changed(self) -> None:
        """Another leads, or nobody."""

    @abstractmethod
    def applied(self, index: int, entry: Entry, said: Said, permits: set[str]) -> None:
        """The entry is agreed and in the state; `permits` are those that held one before it."""

    @abstractmethod
    def answer_read(self, key: int) -> None:
        """The read may be answered by the state as it is."""

    @abstractmethod
    def read_failed(self, key: int) -> None:
        """This process does not lead any more."""
