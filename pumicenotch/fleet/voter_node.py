"""A voter's process: a member that has a replica of the agreed log too. Whoever leads proposes what is asked
for, judges by all voters' observations who is out against its will, and tells holders of their permits."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from pumicenotch.agree import messages as agree
from pumicenotch.agree.found import Founding, Say, seated
from pumicenotch.agree.messages import Commit, Led, Readable, Restore, Seats, Send, Store, Unreadable, name_of
from pumicenotch.agree.voter import LEADER, Voter
from pumicenotch.fleet import release as release_
from pumicenotch.fleet import state as state_
from pumicenotch.fleet.book import Book
from pumicenotch.fleet.budgets import SERVING, Budget, Member
from pumicenotch.fleet.effects import Exit
from pumicenotch.fleet.entries import BadEntry, Said
from pumicenotch.fleet.member_node import MemberNode
from pumicenotch.fleet.release import BUDGETS, Release, waves_of
from pumicenotch.fleet.state import ENTRIES, SILENT, State
from pumicenotch.fleet.voter_client import NO_MAJORITY, NOT_LEADER, REFUSED, UNKNOWN
from pumicenotch.fleet.watch import Watch, memory_of, rows_of
from pumicenotch.members.messages import Opinion

LEADER_ENTRIES = (
    "begin",
    "against",
    "level",
    "word",
    "usual",
    "soaked",
    "harm",
)  # entries that only a leader makes
READ_VERBS = ("status", "why", "log", "halts", "releases", "one_release", "waves")
ROWS_MOST = 200  # of a table in one answer: some 30 KB
OVERLOADED = "overloaded"


class Pending(NamedTuple):
    """A proposal on its way, by its index."""

    term: int
    conn: int  # -1: nobody asked
    message: int
    until: float


class Leadership(NamedTuple):
    """Who leads, as this voter knows it."""

    address: str  # "": nobody
    is_leader: bool
    in_touch: bool  # with a majority as its leader, or with its leader


class VoterNode(MemberNode):
    LEADER_CHECK_MS = 250.0  # between looks at what a leader has to propose: a part of what a person notices
    OPINION_MS = 1000.0  # between a voter's messages to the leader on whom it thinks dead
    OPINION_LASTS_MS = 5000.0  # of such a message: some lost ones change nothing
    NO_NEWS_MS = 15_000.0  # for news of a member to reach a voter: many times what it takes among a thousand
    NAME_HELD_MS = 3000.0  # a name's process that was heard from so lately keeps it
    # for a proposal, before its asker hears that nobody agreed: a change of leaders fits in
    PROPOSAL_TIMEOUT_MS = 3000.0
    COMPACT_AT = 1024  # entries after which they make way for a snapshot: some hundred KB
    HAND_OVER_MS = 1500.0  # for the handing over and the message of its leaving, before the process ends
    HEARTBEAT_A_MEMBER_MS = 5.0  # so that all members' heartbeats cost a leader a bounded part of a core

    def __init__(
        self,
        *,
        names: dict[str, str],
        budgets: Iterable[Budget] = (),
        manual_members: Iterable[Member] = (),
        books: Callable[[], Sequence[Book]] = tuple,
        **rest: Any,
    ) -> None:
        """`names` are all voters' addresses by name, this one's too; budgets and members by hand are those
        that a new fleet begins with. `books` makes the further subjects of the log, once for each state."""
        super().__init__(voters=names.values(), **rest)
        self.names = names
        self.replica = f"{self.me.name}/{self.me.life}"
        self.founding = Founding(self.replica, names)
        self.voter = self.new_voter(Seats())
        self.initial_state = (tuple(budgets), tuple(manual_members))
        self.books = books
        self.state = State(books())
        self.unreadable = False  # the fleet's state, by this program: it ends
        self.pending: dict[int, Pending] = {}
        self.pending_reads: dict[int, tuple[int, int, str, Any]] = {}  # key -> conn, message, verb, args
        self.last_read = 0
        self.joining_replicas: dict[str, str] = {}  # name -> replica of processes that want a vote
        self.dead_seen_by: dict[str, tuple[float, frozenset[str]]] = {}  # by name of the observer
        self.no_news_since: dict[str, float] = {}  # counted members that no news has come of, since when
        self.heartbeat_seen: dict[str, tuple[str, float]] = {}  # member -> life, when
        # since it leads: when each spoke last, whether overloaded
        self.heartbeats: dict[str, tuple[float, bool]] = {}
        # of those that wait or hold a permit: when this process saw it
        self.drain_seen_at: dict[str, float] = {}
        self.drain_durations: list[float] = []  # of the last permits, as this process saw them
        self.watch = Watch()  # while it leads
        # by voter: when it spoke, and what it understands
        self.voter_levels: dict[str, tuple[float, int]] = {}
        self.check_at = self.opinion_at = self.now
        self.leave_at = float("inf")

    def new_voter(self, seats: Seats) -> Voter:
        return Voter(self.replica, self.now, seats, self.random.uniform)

    @property
    def leads(self) -> bool:
        return self.voter.role == LEADER

    @property
    def level(self) -> int:
        """The highest level of entries that this process reads."""
        return max([release_.LEVEL, *(book.level for book in self.state.books.values())])

    def leadership(self) -> Leadership:
        address = self.names.get(name_of(self.voter.leader), "")
        in_touch = self.voter.in_touch() if self.leads else bool(address) and self.voter.hears_leader()
        return Leadership(address, self.leads, in_touch)

    def due(self) -> float:
        return min(super().due(), self.voter.due, self.check_at, self.leave_at)

    def time(self) -> None:
        # In service is a voter whose replica has a vote: until then a majority may be without it.
        self.serve(self.replica in self.voter.log.seats.voters, False)
        super().time()
        if self.now >= self.voter.due:
            self.step_voter("time")
        if self.now >= self.check_at:
            self.check_at = self.now + self.LEADER_CHECK_MS
            self.find_fleet()
            self.lead()
        if self.now >= self.leave_at or (self.ending and self.gone_sent):
            self.leave_at = float("inf")
            self.effects.append(Exit())

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

    def receive(self, sender: tuple[str, str, str], method: str, params: Any) -> None:
        name, life, _ = sender
        replica = f"{name}/{life}"
        match method:
            case "agree" | "sees" if name not in self.names:
                raise agree.BadMessage(f"{name} is no voter of this fleet")
            case "agree":
                self.step_voter("message", replica, agree.message_of(params))
            case "found":
                if name not in self.names:
                    raise agree.BadMessage(f"{name} is no voter of this fleet")
                if (
                    params
                    and params[0] == "who"
                    and self.leads
                    and replica not in self.voter.log.seats.voters
                ):
                    self.joining_replicas[name] = replica
                self.send_founding(self.founding.said(replica, params))
                self.take_founded_seats()
            case "sees":
                self.dead_seen_by[name] = (
                    self.now,
                    frozenset(each for each in params if isinstance(each, str)),
                )
                self.voter_levels[name] = (
                    self.now,
                    max([1, *(each for each in params if type(each) is int)]),
                )
            case "counts":
                if self.leads and len(params) == 2 and name in self.state.members:
                    self.watch.told(self.now, name, life, rows_of(params[0]), memory_of(params[1]))
            case _:
                super().receive(sender, method, params)

    # The voter

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
                    self.leader_changed(leader, term)

    def restore(self, index: int, data: bytes) -> None:
        try:
            self.state = state_.load(data, self.books())
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

    def leader_changed(self, leader: str, term: int) -> None:
        self.log(f"{leader or 'nobody'} leads in term {term}")
        if leader == self.replica:
            self.dead_seen_by, self.heartbeats, self.joining_replicas, self.voter_levels = {}, {}, {}, {}
            self.watch = Watch()
            # Who sent heartbeats to the former leader counts as heard: its name is not free.
            self.heartbeat_seen = {each.name: (each.life, self.now) for each in self.state.members.values()}
        elif self.pending:
            for pending in self.pending.values():
                self.not_leader(pending.conn, pending.message)
            self.pending = {}

    def not_leader(self, conn: int, message: int) -> None:
        leader = self.names.get(name_of(self.voter.leader), "")
        text = f"{name_of(self.voter.leader)} leads" if leader else "nobody leads just now"
        self.refuse(conn, message, NOT_LEADER if leader else NO_MAJORITY, text, leader)

    def refuse(self, conn: int, message: int, code: str, text: str, more: Any = None) -> None:
        if conn >= 0:
            super().refuse(conn, message, code, text, more)

    def commit(self, index: int, entry: agree.Entry) -> None:
        if entry.kind != "do":
            self.state.index = index
            said = Said(False, "")
        else:
            before = set(self.state.permits)
            said = self.state.apply(index, entry.data)
            self.note_permits(before)
            self.check_level()
        pending = self.pending.pop(index, None)
        if pending is not None and pending.term != entry.term:
            self.not_leader(pending.conn, pending.message)
        elif pending is not None and pending.conn >= 0:
            if said.good:
                self.reply(
                    pending.conn,
                    pending.message,
                    {"text": said.text, "value": said.value, "index": index, "agreed": True},
                )
            else:
                self.refuse(pending.conn, pending.message, REFUSED, said.text, said.value)
        log = self.voter.log
        if log.last - log.base > self.COMPACT_AT and self.voter.commit == index:
            self.voter.compact(index, self.state.dump())

    def note_permits(self, before: set[str]) -> None:
        """Notes when permits begin and end, and tells new holders at once: they ask by themselves too."""
        permits = self.state.permits
        for name in before - permits.keys():
            if name in self.drain_seen_at:
                self.drain_durations = [*self.drain_durations, self.now - self.drain_seen_at.pop(name)][-16:]
        for name in sorted(permits.keys() - before):
            self.drain_seen_at[name] = self.now
            if self.leads and name in self.members.news:
                self.post(self.members.news[name].who.address, "permitted", permits[name].epoch)
        for each in self.state.queue:
            self.drain_seen_at.setdefault(each.name, self.now)
        for name in [
            name for name in self.drain_seen_at if name not in permits and name not in self.state.waits
        ]:
            del self.drain_seen_at[name]

    # Requests

    def asked(self, conn: int, message: int, verb: str, args: Any) -> None:
        args = tuple(args) if isinstance(args, list | tuple) else ()
        if verb == "local":
            super().asked(conn, message, verb, args)
        elif verb == "halt" and not self.leads:
            # here at once; the leader finds it among what is handed on
            super().asked(conn, message, verb, args)
        elif not self.leads:
            self.not_leader(conn, message)
        elif not self.state.fleet:
            self.refuse(conn, message, NO_MAJORITY, "the fleet has not begun yet")
        elif verb in READ_VERBS:
            self.last_read += 1
            self.pending_reads[self.last_read] = (conn, message, verb, args)
            self.step_voter("read", self.last_read)
        elif verb == "mine":
            self.answer_heartbeat(conn, message, args)
        elif verb == "agent":
            self.answer_agent(conn, message, args)
        elif verb in self.state.book_by_verb or (verb in ENTRIES and verb not in LEADER_ENTRIES):
            self.propose(conn, message, (verb, *args))
        else:
            known = sorted(
                {*ENTRIES, *self.state.book_by_verb, *READ_VERBS, "local", "mine", "agent"}
                - set(LEADER_ENTRIES)
            )
            self.refuse(conn, message, UNKNOWN, f"{verb}: unknown; known: {', '.join(known)}")

    def propose(self, conn: int, message: int, entry: tuple[Any, ...]) -> None:
        """What cannot be read is refused before it is agreed, and what is not safe by what only the leader
        knows."""
        try:
            self.state.read(entry)
            if why := self.unsafe(entry):
                raise BadEntry(why)
            self.state.admit(entry)
        except ValueError as error:
            self.refuse(conn, message, REFUSED, str(error), state_.error_code(error))
            return
        if entry[0] == "halt":  # by this process at once, whenever it is agreed
            self.mark(*entry[1:])
        index = self.voter.log.last + 1
        self.pending[index] = Pending(self.voter.term, conn, message, self.now + self.PROPOSAL_TIMEOUT_MS)
        self.step_voter("propose", entry)
        if self.voter.log.last < index and index in self.pending:  # it hands over just now
            del self.pending[index]
            self.refuse(conn, message, NO_MAJORITY, "the leader hands over: ask again", "")

    def unsafe(self, entry: tuple[Any, ...]) -> str:
        if entry[0] == "join":
            name, life = entry[1][0], entry[1][1]
            held = self.state.members.get(name)
            heard = self.heartbeat_seen.get(name)
            lately = (
                heard is not None and self.now - heard[1] < self.NAME_HELD_MS + self.heartbeat_interval_ms()
            )
            if held is not None and held.life != life and held.standing == SERVING and lately:
                return f"{name}: the name is taken by a process that is alive ({held.life})"
        if (needs := self.state.level_of(entry[0])) > self.state.releases.level and entry[0] != "level":
            old = [name for name in self.names if self.voter_levels.get(name, (0.0, 1))[1] < needs]
            return (
                f"{entry[0]} is of level {needs}, and the fleet is at level {self.state.releases.level}: all"
                f" voters have to understand it first; not heard so of {', '.join(old) or 'nobody: wait'}"
            )
        if entry[0] == "move" and self.marker()[1] and self.marker()[1] not in self.state.ids:
            return self.halted()
        if entry[0] == "began" and self.marker()[1] and self.marker()[1] not in self.state.ids:
            permit = self.state.permits.get(entry[1])
            return "" if permit is not None and permit.begun else self.halted()
        return ""

    def answer_heartbeat(self, conn: int, message: int, args: tuple[Any, ...]) -> None:
        match args:
            case [str(name), str(life), bool(overloaded)]:
                held = self.state.members.get(name)
                known = held is not None and held.life == life
                permit = self.state.permits.get(name)
                if held is not None and known:
                    self.heartbeat_seen[name] = (life, self.now)
                    self.heartbeats[name] = (self.now, overloaded)
                own = permit is not None and permit.life == life
                self.reply(conn, message, {
                    "known": known, "standing": held.standing if held is not None else "",
                    "permit": permit.epoch if permit is not None and own else 0,
                    "waits": self.waiting_for(name) if name in self.state.waits else "",
                        "begun": permit is not None and own and permit.begun,
                    "halted": self.state.halted(),
                    "again_ms": self.heartbeat_interval_ms(), "counts": bool(self.state.releases.nodes),
                })  # fmt: skip
            case _:
                self.refuse(conn, message, REFUSED, "mine: a name, a life and whether overloaded are wanted")

    def answer_agent(self, conn: int, message: int, args: tuple[Any, ...]) -> None:
        """What an agent says of its node, and what it is told: a hint; each step is an entry."""
        try:
            _, (one, agent, runs, holds, down, trouble) = state_.read(("word", *args))
        except BadEntry as error:
            self.refuse(conn, message, REFUSED, str(error))
            return
        state, releases = self.state, self.state.releases
        node = releases.nodes.get(one)
        said = (agent, runs, holds, down, trouble)
        if releases.level >= 2 and (node is None or (node[1:6]) != said):
            self.propose_own("word", one, *said)
        member, permit = state.members.get(one), state.permits.get(one)
        due = releases.due(node) if node is not None else ("", "")
        mine = [each for each in releases.open() if one in each.nodes]
        wants = dict.fromkeys([due[1], *(each.version for each in mine), *(each.replaces for each in mine)])
        self.reply(conn, message, {
            "member": member is not None, "life": member.life if member is not None else "",
            "standing": member.standing if member is not None else "",
            "permit": permit.epoch if permit is not None else 0,
            "begun": permit is not None and permit.begun,
            "due": due, "hold": [each for each in wants if each], "halted": state.halted(),
            "again_ms": self.heartbeat_interval_ms(),
        })  # fmt: skip

    def closed(self, conn: int) -> None:
        for index, pending in list(self.pending.items()):
            if pending.conn == conn:
                self.pending[index] = pending._replace(conn=-1)
        self.pending_reads = {key: read for key, read in self.pending_reads.items() if read[0] != conn}

    # What a leader sees to

    def lead(self) -> None:
        for index, pending in list(self.pending.items()):
            if self.now >= pending.until:
                del self.pending[index]
                self.refuse(
                    pending.conn,
                    pending.message,
                    NO_MAJORITY,
                    "no majority of the voters has agreed in time: it may come to pass still",
                )
        if self.now >= self.opinion_at:
            self.opinion_at = self.now + self.OPINION_MS
            dead = self.dead_members()
            if self.leads:
                self.dead_seen_by[self.me.name] = (self.now, frozenset(dead))
                self.voter_levels[self.me.name] = (self.now, self.level)
            elif address := self.names.get(name_of(self.voter.leader)):
                self.post(address, "sees", *dead, self.level)
        if not self.leads or not self.voter.settled():
            return
        if not self.state.fleet:
            budgets, manual_members = self.initial_state
            self.propose_own(
                "begin",
                self.fleet,
                tuple(sorted(self.names)),
                budgets,
                tuple(map(state_.told, manual_members)),
            )
            return
        self.agree_on_halts()
        self.judge_members()
        self.raise_level()
        for entry in self.watch.look(self.now, self.state):
            self.propose_own(*entry)
        seats = seated(self.voter, self.joining_replicas, self.replica_heard)
        if seats is not None:
            self.log(f"seats: {', '.join(seats.voters)}; learning: {', '.join(seats.learners) or 'none'}")
            self.step_voter("change", seats)
            self.joining_replicas = {
                name: replica
                for name, replica in self.joining_replicas.items()
                if replica not in seats.voters
            }

    def replica_heard(self, replica: str) -> bool:
        return self.now - self.voter.answered_at.get(replica, float("-inf")) < self.NAME_HELD_MS

    def propose_own(self, *entry: Any) -> None:
        self.propose(-1, 0, entry)

    def dead_members(self) -> list[str]:
        """Of those that the fleet counts: whom this voter thinks dead, or has not heard of for so long that
        it should have."""
        found = []
        for name, held in self.state.members.items():
            if not held.life or name == self.me.name:
                continue
            if name in self.members.news:
                self.no_news_since.pop(name, None)
                if self.members.opinion(name) is Opinion.DEAD:
                    found.append(name)
            elif self.now - self.no_news_since.setdefault(name, self.now) > self.NO_NEWS_MS:
                found.append(name)
        return sorted(found)

    def agree_on_halts(self) -> None:
        """A halt that was said to any process is agreed once the leader hears of it; one that is over is
        taken out of what is handed on."""
        _, key, by, why = self.marker()
        if not key:
            return
        if key not in self.state.ids:
            self.propose_own("halt", key, by, why)
        elif key not in self.state.halts:
            self.mark("", "", "")

    def raise_level(self) -> None:
        """Entries that the oldest voter cannot read are not proposed before all voters can; nor while a
        release may still have to go back."""
        since = self.now - self.OPINION_LASTS_MS
        fresh = [level for when, level in self.voter_levels.values() if when >= since]
        if len(fresh) < len(self.names) or self.state.releases.active():
            return
        if min(fresh) > self.state.releases.level:
            self.propose_own("level", min(fresh))

    def judge_members(self) -> None:
        """Out against its will is who a majority of the voters thinks dead, or who says so itself. It takes
        as much to be well again, and its own heartbeat: a new leader that has heard of nobody yet knows of no
        change."""
        since = self.now - self.OPINION_LASTS_MS
        fresh = [dead for when, dead in self.dead_seen_by.values() if when >= since]
        if 2 * len(fresh) <= len(self.names):
            return
        spoke_since = since - self.heartbeat_interval_ms()
        for name, held in list(self.state.members.items()):
            if not held.life or held.standing != SERVING:
                continue
            spoke, overloaded = self.heartbeats.get(name, (float("-inf"), False))
            why = held.against
            if 2 * sum(name in dead for dead in fresh) > len(self.names):
                why = SILENT
            elif spoke >= spoke_since and 2 * sum(name not in dead for dead in fresh) > len(self.names):
                why = OVERLOADED if overloaded else ""
            if why != held.against:
                self.propose_own("against", name, held.life, why)

    def heartbeat_interval_ms(self) -> float:
        return max(self.HEARTBEAT_MS, self.HEARTBEAT_A_MEMBER_MS * len(self.state.members))

    # Answers

    def read_failed(self, key: int) -> None:
        read = self.pending_reads.pop(key, None)
        if read is not None:
            self.not_leader(read[0], read[1])

    def answer_read(self, key: int) -> None:
        read = self.pending_reads.pop(key, None)
        if read is None:
            return
        conn, message, verb, args = read
        match [verb, *args]:
            case ["status"]:
                self.reply(conn, message, self.status())
            case ["halts"]:
                self.reply(conn, message, {"halts": list(self.state.halts)})
            case ["log", int(many)]:
                rows = [{"index": index, "what": what} for index, what in self.state.history[-max(1, many) :]]
                self.reply(conn, message, {"log": rows[-ROWS_MOST:]})
            case ["releases"]:
                found = self.state.releases
                rows = [self.release_row(each) for each in list(found.releases.values())[-ROWS_MOST:]]
                told = {"level": found.level, "stands": found.stands, "releases": rows}
                self.reply(conn, message, told)
            case ["one_release", str(name)] if name in self.state.releases.releases:
                release = self.state.releases.releases[name]
                self.reply(conn, message, self.release_row(release) | {"rows": self.release_nodes(release)})
            case ["one_release", str(name)]:
                self.refuse(conn, message, REFUSED, f"no release {name}")
            case ["waves", [*shares], bool(mixed), str(order)]:
                self.reply(conn, message, {"waves": self.waves(tuple(map(float, shares)), mixed, order)})
            case ["why", str(name)] if name in self.state.members:
                self.reply(conn, message, self.why_row(name))
            case ["why", str(name)]:
                self.refuse(conn, message, REFUSED, f"no member {name}")
            case _:
                self.refuse(conn, message, REFUSED, f"{verb}: other values are wanted")

    def waves(self, shares: tuple[float, ...], mixed: bool, order: str) -> tuple[tuple[str, ...], ...]:
        """Of all nodes that an agent has spoken for."""
        nodes = self.state.releases.nodes
        members = [each for each in self.state.members.values() if each.name in nodes]
        return waves_of(members, shares=shares, mixed=mixed, order=order)

    def release_row(self, release: Release) -> dict[str, Any]:
        trial = self.watch.trials.get(release.name)
        missing = self.state.releases.missing(release) if release.active and release.slot != BUDGETS else []
        return {
            "name": release.name, "slot": release.slot,
            "version": release.version, "replaces": release.replaces,
            "state": release.state, "stands": release.stands, "wave": release.wave,
            "waves": [len(wave) for wave in release.waves], "nodes": len(release.nodes),
            "halts": [list(halt) for halt in release.halts], "asks": release.asks, "why": release.why,
            "harmed": list(release.harmed), "urgent": release.urgent,
            "missing": missing[:ROWS_MOST], "judged": trial.text if trial is not None else "",
            "usual_windows": len(self.watch.usual),
            "has": sum(self.state.releases.has(release, one) for one in release.nodes),
        }  # fmt: skip

    def release_nodes(self, release: Release) -> list[dict[str, Any]]:
        """What stands where: for when it is halted half way."""
        rows = []
        for at, wave in enumerate(release.waves, 1):
            for one in wave:
                node, member = self.state.releases.nodes.get(one), self.state.members.get(one)
                if node is None or member is None:
                    continue
                out = self.state.is_out(member)
                rows.append({
                    "name": one, "zone": member.zone, "wave": at, "runs": node.version(release.slot),
                    "serves": not out, "trouble": node.trouble or member.against,
                    "waits": self.state.waits.get(one, ""),
                })  # fmt: skip
        return rows[:ROWS_MOST]

    def status(self) -> dict[str, Any]:
        state = self.state
        out = [each for each in state.members.values() if state.is_out(each)]
        return {
            "fleet": state.fleet,
            "index": state.index,
            "leader": self.me.name,
            "term": self.voter.term,
            "seats": list(self.voter.log.seats.voters),
            "learners": list(self.voter.log.seats.learners),
            "halted": state.halted(),
            "members": len(state.members),
            "out": len(out),
            "rows": [self.row(each) for each in out[:ROWS_MOST]],
            "waiting": [
                {
                    "name": each.name,
                    "by": each.by,
                    "reason": each.reason,
                    "why": state.waits.get(each.name, ""),
                    "ms": self.drain_lasted_ms(each.name),
                }
                for each in state.queue[:ROWS_MOST]
            ],
            "budgets": [
                {
                    "budget": tally.budget.name,
                    "each": tally.budget.each,
                    "group": tally.group,
                    "members": tally.many,
                    "out": tally.out,
                    "over": tally.over(),
                    "most_out": tally.budget.most_out,
                    "least_serving": tally.budget.least_serving,
                    "least_capacity": tally.budget.least_capacity,
                }
                for tally in list(state.tallies().found.values())[:ROWS_MOST]
            ],
            "over": state.over()[:ROWS_MOST],
            "level": state.releases.level,
            "releases": [{"name": each.name, "stands": each.stands} for each in state.releases.open()],
        }

    def row(self, member: Member) -> dict[str, Any]:
        permit = self.state.permits.get(member.name)
        return {
            "name": member.name,
            "zone": member.zone,
            "standing": member.standing,
            "against": member.against,
            "permit": permit.epoch if permit is not None else 0,
            "kind": permit.kind if permit is not None else "",
            "reason": permit.reason if permit is not None else "",
            "ms": self.drain_lasted_ms(member.name),
        }

    def drain_lasted_ms(self, name: str) -> float:
        """How long it waits or holds a permit, as far as this process has seen."""
        return round(self.now - self.drain_seen_at[name]) if name in self.drain_seen_at else 0.0

    def why_row(self, name: str) -> dict[str, Any]:
        """Why it waits and about how long, or how else it stands."""
        state, member = self.state, self.state.members[name]
        tallies = state.tallies()
        told: dict[str, Any] = {**self.row(member), "budgets": [], "waits": state.waits.get(name, "")}
        for tally in tallies.of(member):
            outs = [each.name for each in state.members.values() if state.is_out(each)
                    and any(other is tally for other in tallies.of(each))]  # fmt: skip
            told["budgets"].append({"budget": tally.place(), "members": tally.many, "out": outs[:ROWS_MOST],
                                    "over": tally.over()})  # fmt: skip
        if name in state.waits:
            told |= {"ahead": self.queued_before(name), "a_drain_takes_ms": self.median_drain_ms()}
        return told

    def queued_before(self, name: str) -> int:
        """How many asked before it and wait still."""
        return [each.name for each in self.state.queue].index(name)

    def median_drain_ms(self) -> int:
        """The median of the last permits, as long as this process has seen any end."""
        return (
            round(sorted(self.drain_durations)[len(self.drain_durations) // 2]) if self.drain_durations else 0
        )

    def waiting_for(self, name: str) -> str:
        """For its holder: why, and about how long."""
        took = f", of about {self.median_drain_ms() / 1000.0:.0f} s each" if self.drain_durations else ""
        return f"{self.state.waits[name]}; {self.queued_before(name)} before it{took}"

    # Leaving

    def left(self) -> None:
        """Leadership goes to another before this process ends, so that nobody waits for an election."""
        if not self.ending:
            self.leave_at = self.now + self.HAND_OVER_MS
            if self.leads:
                self.step_voter("hand_over", "")
        super().left()
