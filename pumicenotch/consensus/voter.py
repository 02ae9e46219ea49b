"""One voter: elections, the log, changes of seats, reads, leadership handed over.

Safe whatever clocks do: time only says when to try for a leader, never who leads or what is agreed. Hence
reads by a round of heartbeats (thesis, 6.4), not by a lease, which trusts clocks to run alike and a process
not to be stopped between its look at the clock and its answer.
"""

from collections.abc import Callable
from typing import Any, ClassVar

from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import (
    Append,
    Appended,
    AskVote,
    Commit,
    Effect,
    Entry,
    Install,
    Installed,
    Led,
    Message,
    Readable,
    Restore,
    Seats,
    Send,
    StandNow,
    Store,
    Unreadable,
    Vote,
    Wake,
)

FOLLOWER, ASKING, CANDIDATE, LEADER = "follower", "asking", "candidate", "leader"


class Voter:
    BEAT_MS = 100.0  # between a leader's heartbeats: some round trips between regions
    ELECTION_MS = (
        1000.0  # of silence, up to twice that by chance: ten lost heartbeats are no accident
    )
    ENTRIES_MOST = (
        16  # in one message: of 64 KB each at the most, so that a frame stays under its bound
    )
    PIECE_MOST = 16 * 1024  # of a snapshot in one message

    def __init__(
        self, me: str, now: float, seats: Seats, chance: Callable[[float, float], float]
    ) -> None:
        self.me, self.chance = me, chance
        self.now = now
        self.effects: list[Effect] = []
        self.term, self.voted = 0, ""
        self.log = Log(seats)
        self.role, self.leader = FOLLOWER, ""
        self.commit = 0
        self.heard_at = float("-inf")  # of a leader
        self.due = 0.0  # for an election, or a leader's next heartbeat
        self.votes: set[str] = set()
        self.next: dict[
            str, int
        ] = {}  # of a leader: what each follower gets next, has, and when it answered
        self.match: dict[str, int] = {}
        self.answered_at: dict[str, float] = {}
        self.answered_round: dict[str, int] = {}
        self.offsets: dict[str, int] = {}  # how much of the snapshot each has that needs it
        self.round = 0
        self.reads: list[tuple[Any, int, int]] = []  # key, index, round
        self.target, self.target_until = "", 0.0  # to whom leadership is handed over
        self.pieces, self.pieces_of = b"", ("", 0, 0)  # of a snapshot on its way: from whom, which
        # What is not stored yet holds back what is sent.
        self.serial = self.stored_serial = self.stored_index = 0
        self.unstored: list[tuple[int, int, int]] = []  # serial, the first index with it, the last
        self.dirty_since = 0  # the lowest index changed in this step; 0: none
        self.dirty = False
        self.held: list[tuple[int, Send]] = []
        self.rest()

    # Inputs

    INPUTS: ClassVar = frozenset(
        ("time", "message", "stored", "propose", "read", "change", "hand_over")
    )

    def step(self, now: float, name: str, *details: Any) -> list[Effect]:
        """One input: `time`, `message` (sender, message), `stored` (serial), `propose` (data), `read` (key),
        `change` (seats), `hand_over` (seat, or "" for whoever is furthest). Time never goes back.
        """
        self.now = max(self.now, now)
        assert name in self.INPUTS, name
        getattr(self, name)(*details)
        return self.asked_for()

    def asked_for(self) -> list[Effect]:
        if self.dirty:
            self.serial += 1
            since = self.dirty_since or self.log.last + 1
            entries = tuple(self.log.entries[since - self.log.base - 1 :])
            self.effects.insert(0, Store(self.serial, self.term, self.voted, since, entries))
            self.unstored.append((self.serial, since, self.log.last))
            self.dirty, self.dirty_since = False, 0
        effects, self.effects = self.effects, []
        if self.serial == self.stored_serial:
            return [*effects, Wake(self.due)]
        self.held += [(self.serial, each) for each in effects if isinstance(each, Send)]
        return [*(each for each in effects if not isinstance(each, Send)), Wake(self.due)]

    def stored(self, serial: int) -> None:
        self.stored_serial = max(self.stored_serial, serial)
        while self.unstored and self.unstored[0][0] <= serial:
            self.stored_index = self.unstored.pop(0)[2]
        # What was stored and has been replaced since is not there until the replacement is.
        self.stored_index = min([self.stored_index, *(since - 1 for _, since, _ in self.unstored)])
        self.effects += [send for wanted, send in self.held if wanted <= serial]
        self.held = [each for each in self.held if each[0] > serial]
        if self.role == LEADER:
            self.advance()

    def time(self) -> None:
        if self.now < self.due:
            return
        if self.role == LEADER:
            if not self.in_touch():
                self.follow(self.term, "")
                return
            if self.target and self.now >= self.target_until:
                self.target = ""  # it did not take over: go on
            self.beat()
        elif self.me in self.log.seats.voters:
            self.ask()
        else:
            self.rest()

    def in_touch(self) -> bool:
        """A leader that a majority no longer answers has nothing to say (check-quorum; thesis, 6.2)."""
        since = self.now - self.ELECTION_MS
        return self.log.seats.majority(
            {self.me, *(seat for seat, when in self.answered_at.items() if when >= since)}
        )

    def rest(self) -> None:
        self.due = self.now + self.chance(self.ELECTION_MS, 2.0 * self.ELECTION_MS)

    # Elections

    def ask(self) -> None:
        """Whether a majority would vote for it. Until then its term stays, so that a voter that was cut off
        disturbs nobody when it is back, however often its link comes and goes.
        """
        self.role, self.votes = ASKING, {self.me}
        self.lead_is("")
        self.rest()
        self.to_all(AskVote(self.term + 1, self.log.last, self.log.last_term, True, False))
        self.count()

    def stand(self, handed: bool) -> None:
        self.role, self.votes = CANDIDATE, {self.me}
        self.term, self.voted, self.dirty = self.term + 1, self.me, True
        self.lead_is("")
        self.rest()
        self.to_all(AskVote(self.term, self.log.last, self.log.last_term, False, handed))
        self.count()

    def count(self) -> None:
        if self.log.seats.majority(self.votes):
            if self.role == ASKING:
                self.stand(False)
            elif self.role == CANDIDATE:
                self.lead()

    def lead(self) -> None:
        self.role, self.target, self.reads = LEADER, "", []
        self.next = {seat: self.log.last + 1 for seat in self.log.seats.all}
        self.match, self.answered_round, self.offsets = {}, {}, {}
        self.answered_at = dict.fromkeys(self.log.seats.all, self.now)
        self.lead_is(self.me)
        self.append(Entry(self.term, "noop", None))
        self.beat()

    def follow(self, term: int, leader: str) -> None:
        if term > self.term:
            self.term, self.voted, self.dirty = term, "", True
        if self.role != FOLLOWER:
            self.effects += [Unreadable(key) for key, _, _ in self.reads]
            self.reads, self.target = [], ""
            self.role = FOLLOWER
            self.rest()
        self.lead_is(leader)

    def lead_is(self, leader: str) -> None:
        if leader != self.leader:
            self.leader = leader
            self.effects.append(Led(leader, self.term))

    def hears_leader(self) -> bool:
        return self.role == LEADER or self.now - self.heard_at < self.ELECTION_MS

    def asked_vote(self, sender: str, asked: AskVote) -> None:
        if not asked.handed and self.hears_leader():
            # It may have missed heartbeats that others hear, or have been voted out (thesis, 4.2.3).
            if asked.pre:
                self.send(sender, Vote(self.term, False, True))
            return
        if not asked.pre and asked.term > self.term:
            self.follow(asked.term, "")
        whole = (asked.at_term, asked.at) >= (self.log.last_term, self.log.last)
        granted = whole and self.may_vote(sender, asked)
        if granted and not asked.pre:
            self.voted, self.dirty = sender, True
            self.rest()
        self.send(sender, Vote(asked.term if granted else self.term, granted, asked.pre))

    def may_vote(self, sender: str, asked: AskVote) -> bool:
        if asked.pre:
            return asked.term > self.term
        return asked.term == self.term and self.voted in ("", sender) and self.role == FOLLOWER

    def voted_by(self, sender: str, vote: Vote) -> None:
        wanted = (self.term + 1, ASKING) if vote.pre else (self.term, CANDIDATE)
        if vote.granted and (vote.term, self.role) == wanted:
            self.votes.add(sender)
            self.count()

    # The log, as its leader

    def propose(self, data: Any) -> int:
        """The index that it is agreed at, if this leader's term lasts; 0 where this voter cannot."""
        if self.role != LEADER or self.target:
            return 0
        self.append(Entry(self.term, "do", data))
        self.to_followers()
        return self.log.last

    def append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.changed(self.log.last)
        for seat in self.log.seats.all:
            self.next.setdefault(seat, self.log.last)
            self.answered_at.setdefault(seat, self.now)

    def changed(self, index: int) -> None:
        self.dirty_since = min(self.dirty_since or index, index)
        self.dirty = True
        self.stored_index = min(self.stored_index, index - 1)

    def beat(self) -> None:
        self.round += 1
        self.due = self.now + self.BEAT_MS
        for seat in self.others():
            self.feed(seat, beat=True)
        self.reads_done()

    def others(self) -> list[str]:
        return [seat for seat in self.log.seats.all if seat != self.me]

    def to_followers(self) -> None:
        for seat in self.others():
            self.feed(seat)

    def feed(self, seat: str, beat: bool = False) -> None:
        """What it lacks, taken as received until it says otherwise: a lost message shows by the next
        heartbeat's refusal.
        """
        index = self.next[seat] - 1
        if index < self.log.base:
            if beat:
                self.install(seat)
            return
        entries = self.log.since(index + 1, self.ENTRIES_MOST)
        if entries or beat:
            self.send(
                seat,
                Append(self.term, index, self.log.term(index), entries, self.commit, self.round),
            )
            self.next[seat] = index + len(entries) + 1

    def install(self, seat: str) -> None:
        offset = self.offsets.get(seat, 0)
        piece = self.log.state[offset : offset + self.PIECE_MOST]
        last = offset + len(piece) >= len(self.log.state)
        self.send(
            seat,
            Install(
                self.term,
                self.log.base,
                self.log.base_term,
                self.log.seats_at_base,
                offset,
                piece,
                last,
                self.round,
            ),
        )

    def appended(self, sender: str, said: Appended) -> None:
        if self.role != LEADER or said.term != self.term or sender not in self.next:
            return
        self.heard_from(sender, said.round)
        if said.good:
            self.match[sender] = max(self.match.get(sender, 0), said.at)
            self.next[sender] = max(self.next[sender], said.at + 1)
            self.advance()
        else:
            self.next[sender] = (
                max(self.match.get(sender, 0), min(self.next[sender] - 1, said.at)) + 1
            )
        if self.next[sender] <= self.log.last:
            self.feed(sender)
        if sender == self.target and self.match.get(sender, 0) == self.log.last:
            self.send(sender, StandNow(self.term))

    def installed(self, sender: str, said: Installed) -> None:
        if self.role != LEADER or said.term != self.term or sender not in self.next:
            return
        self.heard_from(sender, said.round)
        if said.at != self.log.base:
            return  # of an older snapshot: the next heartbeat begins with the newer
        self.offsets[sender] = said.offset
        if said.offset >= len(self.log.state):
            self.match[sender] = max(self.match.get(sender, 0), said.at)
            self.next[sender] = max(self.next[sender], said.at + 1)
            self.feed(sender)
        else:
            self.install(sender)

    def heard_from(self, sender: str, round_: int) -> None:
        self.answered_at[sender] = self.now
        self.answered_round[sender] = max(self.answered_round.get(sender, 0), round_)
        self.reads_done()

    def has(self, index: int) -> set[str]:
        found = {seat for seat, match in self.match.items() if match >= index}
        return found | {self.me} if self.stored_index >= index else found

    def advance(self) -> None:
        """Only an entry of its own term is agreed by counting; those before it with it (thesis, 3.6.2)."""
        for index in range(self.log.last, self.commit, -1):
            if self.log.term(index) != self.term:
                return
            if self.log.seats.majority(self.has(index)):
                self.agreed(index)
                return

    def agreed(self, index: int) -> None:
        while self.commit < index:
            self.commit += 1
            self.effects.append(Commit(self.commit, self.log.entry(self.commit)))
        if (
            self.role == LEADER
            and self.log.seats_index <= self.commit
            and self.me not in self.log.seats.voters
        ):
            self.beat()  # that it is agreed is the last that they hear from here
            self.follow(self.term, "")

    # Changes of seats

    def settled(self) -> bool:
        """Whether a change may be proposed: none is open, and something of this term is agreed. Without the
        latter two leaders' changes may overlap in no voter (the correction of 2015).
        """
        return self.log.seats_index <= self.commit and self.log.term(self.commit) == self.term

    def change(self, seats: Seats) -> int:
        """At most one voter more or less. 0 where it cannot be now."""
        if self.role != LEADER or self.target or not self.settled() or not seats.voters:
            return 0
        if len(set(seats.voters) ^ set(self.log.seats.voters)) > 1 or len(set(seats.all)) < len(
            seats.all
        ):
            return 0
        self.append(Entry(self.term, "seats", seats))
        self.to_followers()
        return self.log.last

    def caught_up(self, seat: str) -> bool:
        """Whether a learner has so much of the log that as a voter it would hold nothing up."""
        return self.match.get(seat, 0) >= self.commit > 0

    def hand_over(self, seat: str) -> None:
        """Before its process ends; nothing is proposed meanwhile, for a heartbeat's silence at the most."""
        able = [each for each in self.log.seats.voters if each != self.me]
        if self.role != LEADER or not able or (seat and seat not in able):
            return
        self.target = seat or max(able, key=lambda each: (self.match.get(each, 0), each))
        self.target_until = self.now + self.ELECTION_MS
        if self.match.get(self.target, 0) == self.log.last:
            self.send(self.target, StandNow(self.term))
        else:
            self.feed(self.target, beat=True)

    # Reads

    def read(self, key: Any) -> None:
        """Readable follows once a majority has answered a heartbeat sent after this; never where another
        leader may have agreed on more.
        """
        if self.role != LEADER or self.log.term(self.commit) != self.term:
            self.effects.append(Unreadable(key))
            return
        self.reads.append((key, self.commit, self.round + 1))
        self.beat()

    def reads_done(self) -> None:
        if not self.reads or self.role != LEADER:
            return
        waiting = []
        for key, index, round_ in self.reads:
            if self.log.seats.majority(
                {self.me} | {s for s, r in self.answered_round.items() if r >= round_}
            ):
                self.effects.append(Readable(key, index))
            else:
                waiting.append((key, index, round_))
        self.reads = waiting

    # The log, as a follower

    def message(self, sender: str, message: Message) -> None:
        if isinstance(message, AskVote):
            self.asked_vote(sender, message)
            return
        if message.term > self.term and not (
            isinstance(message, Vote) and message.pre and message.granted
        ):
            self.follow(message.term, "")
        match message:
            case Vote():
                self.voted_by(sender, message)
            case Append() | Install() if message.term < self.term:
                self.send(sender, Appended(self.term, False, 0, 0))
            case Append():
                self.led_by(sender)
                self.take(sender, message)
            case Install():
                self.led_by(sender)
                self.take_piece(sender, message)
            case Appended():
                self.appended(sender, message)
            case Installed():
                self.installed(sender, message)
            case StandNow() if message.term == self.term and self.me in self.log.seats.voters:
                self.stand(True)

    def led_by(self, leader: str) -> None:
        self.follow(self.term, leader)
        self.heard_at = self.now
        self.rest()

    def take(self, sender: str, told: Append) -> None:
        if told.at < self.log.base:  # in the snapshot already: agreed, hence the same
            skipped = self.log.base - told.at
            if skipped > len(told.entries):
                self.send(
                    sender, Appended(self.term, True, told.at + len(told.entries), told.round)
                )
                return
            told = told._replace(
                at=self.log.base, at_term=self.log.base_term, entries=told.entries[skipped:]
            )
        if self.log.term(told.at) != told.at_term:
            self.send(sender, Appended(self.term, False, self.where(told.at), told.round))
            return
        for index, entry in enumerate(told.entries, told.at + 1):
            if self.log.term(index) == entry.term:
                continue
            if index <= self.log.last:
                self.log.cut(index)
            self.log.append(entry)
            self.changed(index)
        last = told.at + len(told.entries)
        self.send(sender, Appended(self.term, True, last, told.round))
        self.agreed(min(told.commit, last))

    def where(self, index: int) -> int:
        """Before the whole term that does not fit: one refusal a term, not one an entry."""
        index = min(index, self.log.last + 1)
        wrong = self.log.term(index)
        while index > self.log.base and self.log.term(index) == wrong:
            index -= 1
        return max(index, self.commit)

    def take_piece(self, sender: str, told: Install) -> None:
        if told.at <= self.commit:
            self.send(sender, Appended(self.term, True, told.at, told.round))
            return
        if self.log.term(told.at) == told.at_term:
            # What is there beyond it may have been counted by the leader already, so it stays.
            self.agreed(told.at)
            self.send(sender, Appended(self.term, True, told.at, told.round))
            return
        if self.pieces_of != (sender, told.term, told.at):
            self.pieces, self.pieces_of = b"", (sender, told.term, told.at)
        if told.offset == len(self.pieces):
            self.pieces += told.piece
            if told.last:
                self.log = Log(told.seats, told.at, told.at_term, self.pieces)
                self.commit = self.stored_index = told.at
                self.dirty, self.unstored, self.pieces_of = True, [], ("", 0, 0)
                self.effects.append(Restore(told.at, self.pieces))
        self.send(sender, Installed(self.term, told.at, len(self.pieces), told.round))

    def compact(self, index: int, state: bytes) -> None:
        """`state` holds everything agreed up to that index: the entries are given up."""
        if self.log.base < index <= self.commit:
            self.log.compact(index, state)
            self.offsets = {}

    # Sending

    def send(self, seat: str, message: Message) -> None:
        self.effects.append(Send(seat, message))

    def to_all(self, message: Message) -> None:
        for seat in self.log.seats.voters:
            if seat != self.me:
                self.send(seat, message)
