"""A member that has a replica of the agreed log: how its replica gets a vote, and how what is agreed comes to
the state.
"""

from abc import abstractmethod
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from pumicenotch.consensus import messages as agree
from pumicenotch.consensus.bootstrap import Founding, Say
from pumicenotch.consensus.messages import (
    Commit,
    Led,
    Readable,
    Restore,
    Seats,
    Send,
    Store,
    Unreadable,
    name_of,
)
from pumicenotch.consensus.voter import LEADER, Voter
from pumicenotch.fleet.member.effects import Exit
from pumicenotch.fleet.member.node import MemberNode
from pumicenotch.fleet.releases import release
from pumicenotch.fleet.replicated import snapshot
from pumicenotch.fleet.replicated.fields import Said
from pumicenotch.fleet.replicated.state import State
from pumicenotch.fleet.replicated.subject import Book
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
        self.replica = f"{self.me.name}/{self.me.life}"
        self.founding = Founding(self.replica, names)
        self.voter = self.new_voter(Seats())
        self.joining_replicas: dict[str, str] = {}  # name -> replica of processes that want a vote
        self.books = books
        self.state = State(books())
        self.unreadable = False  # the fleet's state, by this program: it ends

    def new_voter(self, seats: Seats) -> Voter:
        return Voter(self.replica, self.now, seats, self.random.uniform)

    @property
    def leads(self) -> bool:
        return self.voter.role == LEADER

    @property
    def level(self) -> int:
        """The highest level of entries that this process reads."""
        return max([release.LEVEL, *(book.level for book in self.state.books.values())])

    def leader_address(self) -> str:
        """Of whoever leads; "": nobody, or nobody that this process knows."""
        return self.names.get(name_of(self.voter.leader), "")

    def leadership(self) -> Leadership:
        """For a carrier that hands it on to another reducer."""
        address = self.leader_address()
        in_touch = (
            self.voter.in_touch() if self.leads else bool(address) and self.voter.hears_leader()
        )
        return Leadership(address, self.leads, in_touch)

    # Getting a vote

    def find_fleet(self) -> None:
        """Until its replica has a vote it asks for one; then it passes the founding on for a while."""
        if self.voter.log.last > 0:
            self.founding.over = True
            if self.replica in self.voter.log.seats.all:
                return
        self.send_founding(self.founding.time(self.now))
        self.take_founded_seats()

    def take_founded_seats(self) -> None:
        seats = self.founding.seats
        if seats is not None and not self.voter.log.seats.voters and self.voter.log.last == 0:
            self.voter = self.new_voter(seats)
            self.log(f"the fleet is founded: {', '.join(seats.voters)}")
            self.send_founding(self.founding.time(self.now))

    def send_founding(self, messages: list[Say]) -> None:
        for each in messages:
            if each.to in self.names:
                self.post(self.names[each.to], "found", *each.told)

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        name, life, _ = sender
        match method:
            case "agree" | "found" if name not in self.names:
                raise agree.BadMessage(f"{name} is no voter of this fleet")
            case "agree":
                self.step_voter("message", f"{name}/{life}", agree.message_of(params))
            case "found":
                self.receive_founding(name, f"{name}/{life}", params)
            case _:
                super().receive(sender, method, params)

    def receive_founding(self, name: str, replica: str, params: Any) -> None:
        asks = bool(params) and params[0] == "who"
        if asks and self.leads and replica not in self.voter.log.seats.voters:
            self.joining_replicas[name] = replica
        self.send_founding(self.founding.said(replica, params))
        self.take_founded_seats()

    # The replica

    def step_voter(self, name: str, *details: Any) -> None:
        todo = self.voter.step(self.now, name, *details)
        while todo and not self.unreadable:
            effect = todo.pop(0)
            match effect:
                case Store(serial):  # in memory: a process that ends comes back as another replica
                    todo += self.voter.step(self.now, "stored", serial)
                case Send(to, message):
                    if address := self.names.get(name_of(to)):
                        self.post(address, "agree", *agree.plain(message))
                case Commit(index, entry):
                    self.commit(index, entry)
                case Restore(index, data):
                    self.restore(index, data)
                case Readable(key, _):
                    self.answer_read(key)
                case Unreadable(key):
                    self.read_failed(key)
                case Led(leader, term):
                    self.log(f"{leader or 'nobody'} leads in term {term}")
                    self.leader_changed()

    def commit(self, index: int, entry: agree.Entry) -> None:
        permits = set(self.state.permits)
        said = NOTHING_SAID
        if entry.kind == "do":
            said = self.state.apply(index, entry.data)
            self.check_level()
        else:
            self.state.index = index
        self.applied(index, entry, said, permits)
        log = self.voter.log
        if log.last - log.base > self.COMPACT_AT and self.voter.commit == index:
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
    def applied(self, index: int, entry: agree.Entry, said: Said, permits: set[str]) -> None:
        """The entry is agreed and in the state; `permits` are those that held one before it."""

    @abstractmethod
    def answer_read(self, key: int) -> None:
        """The read may be answered by the state as it is."""

    @abstractmethod
    def read_failed(self, key: int) -> None:
        """This process does not lead any more."""
