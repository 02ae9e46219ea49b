"""A voter's process. Whoever leads proposes what is asked for, judges by all voters' observations who is out
against its will, and tells holders of their permits.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from pumicenotch.consensus.inputs import (
    ChangeMembership,
    Propose,
    RequestRead,
    Tick,
    TransferLeadership,
)
from pumicenotch.consensus.membership_changes import next_membership
from pumicenotch.consensus.messages import Entry, EntryKind, UnknownVoterError, voter_name
from pumicenotch.fleet import verbs
from pumicenotch.fleet.book import Book
from pumicenotch.fleet.budgets import Budget, Member
from pumicenotch.fleet.drain_times import DrainTimes
from pumicenotch.fleet.effects import Exit
from pumicenotch.fleet.entries import InvalidEntryError, Said
from pumicenotch.fleet.failure_detector import (
    NAME_HELD_MS,
    NEVER,
    FailureDetector,
    SilentMembers,
    VoterLevels,
)
from pumicenotch.fleet.hints import agent_hint, member_hint
from pumicenotch.fleet.pending import NOBODY, Pending, PendingRead
from pumicenotch.fleet.records import member_fields
from pumicenotch.fleet.replica_node import ReplicaNode
from pumicenotch.fleet.reports import READ_VERBS, InvalidReadError, Leading, Reports
from pumicenotch.fleet.state import error_code
from pumicenotch.fleet.voter_client import NO_MAJORITY, NOT_LEADER, REFUSED, UNKNOWN
from pumicenotch.fleet.watch import Watch, memory_of, rows_of
from pumicenotch.sender import Sender

# Entries that only a leader makes.
LEADER_ENTRIES = frozenset(("begin", "against", "level", "word", "usual", "soaked", "harm"))
OWN_VERBS = ("local", "mine", "agent")  # requests that are no entries and no reads
RELEASES_LEVEL = 2  # of the fleet, from which on agents' words are agreed


class InitialState(NamedTuple):
    """What a new fleet begins with."""

    budgets: tuple[Budget, ...]
    manual_members: tuple[Member, ...]


class VoterNode(ReplicaNode):
    """Beside a member's inputs it takes requests of operators, members and agents, and answers them while it
    leads.
    """

    LEADER_CHECK_MS = (
        250.0  # between looks at what a leader has to propose: a part of what a person notices
    )
    OPINION_MS = 1000.0  # between a voter's messages to the leader on whom it thinks dead
    # for a proposal, before its asker hears that nobody agreed: a change of leaders fits in
    PROPOSAL_TIMEOUT_MS = 3000.0
    HAND_OVER_MS = (
        1500.0  # for the handing over and the message of its leaving, before the process ends
    )
    HEARTBEAT_A_MEMBER_MS = (
        5.0  # so that all members' heartbeats cost a leader a bounded part of a core
    )

    def __init__(
        self,
        *,
        budgets: Iterable[Budget] = (),
        manual_members: Iterable[Member] = (),
        books: Callable[[], Sequence[Book]] = tuple,
        **rest: Any,
    ) -> None:
        """Budgets and members by hand are those that a new fleet begins with."""
        super().__init__(books=books, **rest)
        self.initial_state = InitialState(tuple(budgets), tuple(manual_members))
        self.pending: dict[int, Pending] = {}
        self.pending_reads: dict[int, PendingRead] = {}
        self.last_read = 0
        self.silent_members = SilentMembers()
        self.detector = FailureDetector(self.now, {})
        self.voter_levels = VoterLevels()
        self.drain_times = DrainTimes()
        self.watch = Watch()  # while it leads
        self.check_at = self.opinion_at = self.now
        self.leave_at = float("inf")

    def due(self) -> float:
        return min(super().due(), self.voter.deadline_ms, self.check_at, self.leave_at)

    def time(self) -> None:
        # In service is a voter whose replica has a vote: until then a majority may be without it.
        self.serve(self.replica in self.voter.log.membership.voters, False)
        super().time()
        if self.now >= self.voter.deadline_ms:
            self.step_voter(Tick())
        if self.now >= self.check_at:
            self.check_at = self.now + self.LEADER_CHECK_MS
            self.find_fleet()
            self.expire_proposals()
            self.tell_opinion()
            self.lead()
        if self.now >= self.leave_at or (self.ending and self.gone_sent):
            self.leave_at = float("inf")
            self.effects.append(Exit())

    def receive(self, sender: Sender, method: str, params: Any) -> None:
        name, life, _ = sender
        match method:
            case "sees" if name not in self.names:
                raise UnknownVoterError(method, name)
            case "sees":
                self.detector.observe(
                    self.now, name, [each for each in params if isinstance(each, str)]
                )
                level = max([VoterLevels.FIRST, *(each for each in params if type(each) is int)])
                self.voter_levels.observe(self.now, name, level)
            case "counts":
                if self.leads and len(params) == 2 and name in self.state.members:
                    self.watch.told(self.now, name, life, rows_of(params[0]), memory_of(params[1]))
            case _:
                super().receive(sender, method, params)

    # The replica

    def leader_changed(self) -> None:
        if self.voter.leader_id == self.replica:
            self.joining_replicas = {}
            self.detector = FailureDetector(self.now, self.state.members)
            self.voter_levels, self.watch = VoterLevels(), Watch()
        elif self.pending:
            for pending in self.pending.values():
                self.not_leader(pending.conn, pending.message)
            self.pending = {}

    def applied(self, index: int, entry: Entry, said: Said, permits: set[str]) -> None:
        if entry.kind is EntryKind.COMMAND:
            self.drain_times.observe(self.now, permits, self.state.permits, self.state.waits)
            self.tell_holders(permits)
        pending = self.pending.pop(index, None)
        if pending is None:
            return
        if pending.term != entry.term:
            self.not_leader(pending.conn, pending.message)
        elif not said.good:
            self.refuse(pending.conn, pending.message, REFUSED, said.text, said.value)
        elif pending.conn != NOBODY:
            answer = {"text": said.text, "value": said.value, "index": index, "agreed": True}
            self.reply(pending.conn, pending.message, answer)

    def tell_holders(self, before: set[str]) -> None:
        """New holders hear of their permits at once: they ask by themselves too."""
        if not self.leads:
            return
        for name in sorted(self.state.permits.keys() - before):
            if name in self.members.table:
                address = self.members.table.updates[name].member.address
                self.post(address, "permitted", self.state.permits[name].epoch)

    # Requests

    def asked(self, conn: int, message: int, verb: str, args: Any) -> None:
        args = tuple(args) if isinstance(args, list | tuple) else ()
        if verb == "local" or (verb == "halt" and not self.leads):
            # A halt holds here at once; the leader finds it among what is handed on.
            super().asked(conn, message, verb, args)
        elif not self.leads:
            self.not_leader(conn, message)
        elif not self.state.fleet:
            self.refuse(conn, message, NO_MAJORITY, "the fleet has not begun yet")
        else:
            self.asked_leader(conn, message, verb, args)

    def asked_leader(self, conn: int, message: int, verb: str, args: tuple[Any, ...]) -> None:
        if verb in READ_VERBS:
            self.last_read += 1
            self.pending_reads[self.last_read] = PendingRead(conn, message, verb, args)
            self.step_voter(RequestRead(self.last_read))
        elif verb == "mine":
            self.asked_heartbeat(conn, message, args)
        elif verb == "agent":
            self.asked_agent(conn, message, args)
        elif verb in self.requested_entries():
            self.propose(conn, message, (verb, *args))
        else:
            known = sorted((*self.requested_entries(), *READ_VERBS, *OWN_VERBS))
            self.refuse(conn, message, UNKNOWN, f"{verb}: unknown; known: {', '.join(known)}")

    def requested_entries(self) -> set[str]:
        return (verbs.ENTRIES.keys() - LEADER_ENTRIES) | self.state.book_by_verb.keys()

    def closed(self, conn: int) -> None:
        for index, pending in list(self.pending.items()):
            if pending.conn == conn:
                self.pending[index] = pending._replace(conn=NOBODY)
        self.pending_reads = {
            key: read for key, read in self.pending_reads.items() if read.conn != conn
        }

    def not_leader(self, conn: int, message: int) -> None:
        address = self.leader_address()
        text = f"{voter_name(self.voter.leader_id)} leads" if address else "nobody leads just now"
        self.refuse(conn, message, NOT_LEADER if address else NO_MAJORITY, text, address)

    def refuse(self, conn: int, message: int, code: str, text: str, more: Any = None) -> None:
        if conn != NOBODY:
            super().refuse(conn, message, code, text, more)

    # Reads

    def reports(self) -> Reports:
        membership = self.voter.log.membership
        leading = Leading(self.me.name, self.voter.term, membership.voters, membership.learners)
        return Reports(self.now, self.state, leading, self.watch, self.drain_times)

    def answer_read(self, key: int) -> None:
        read = self.pending_reads.pop(key, None)
        if read is None:
            return
        try:
            self.reply(read.conn, read.message, self.reports().answer(read.verb, read.args))
        except InvalidReadError as error:
            self.refuse(read.conn, read.message, REFUSED, str(error))

    def read_failed(self, key: int) -> None:
        read = self.pending_reads.pop(key, None)
        if read is not None:
            self.not_leader(read.conn, read.message)

    # Members and agents

    def heartbeat_interval_ms(self) -> float:
        return max(self.HEARTBEAT_MS, self.HEARTBEAT_A_MEMBER_MS * len(self.state.members))

    def asked_heartbeat(self, conn: int, message: int, args: tuple[Any, ...]) -> None:
        match args:
            case [str(name), str(life), bool(overloaded)]:
                held = self.state.members.get(name)
                if held is not None and held.life == life:
                    self.detector.heard(self.now, name, life, overloaded)
                hint = member_hint(self.reports(), name, life, self.heartbeat_interval_ms())
                self.reply(conn, message, hint)
            case _:
                self.refuse(
                    conn, message, REFUSED, "mine: a name, a life and whether overloaded are wanted"
                )

    def asked_agent(self, conn: int, message: int, args: tuple[Any, ...]) -> None:
        """What an agent says of its node is agreed where it is new."""
        try:
            _, (one, *said) = verbs.read(("word", *args))
        except InvalidEntryError as error:
            self.refuse(conn, message, REFUSED, str(error))
            return
        releases = self.state.releases
        node = releases.nodes.get(one)
        if releases.level >= RELEASES_LEVEL and (node is None or node.reported != tuple(said)):
            self.propose_own("word", one, *said)
        self.reply(conn, message, agent_hint(self.state, one, self.heartbeat_interval_ms()))

    # Proposals

    def propose(self, conn: int, message: int, entry: tuple[Any, ...]) -> None:
        """What cannot be read is refused before it is agreed, and what is not safe by what only the leader
        knows.
        """
        try:
            self.state.read(entry)
            if why := self.unsafe(entry):
                raise InvalidEntryError(why)
            self.state.admit(entry)
        except ValueError as error:
            self.refuse(conn, message, REFUSED, str(error), error_code(error))
            return
        if entry[0] == "halt":  # by this process at once, whenever it is agreed
            self.mark(*entry[1:])
        index = self.voter.log.last_index + 1
        self.pending[index] = Pending(
            self.voter.term, conn, message, self.now + self.PROPOSAL_TIMEOUT_MS
        )
        self.step_voter(Propose(entry))
        if self.voter.log.last_index < index and index in self.pending:  # it hands over just now
            del self.pending[index]
            self.refuse(conn, message, NO_MAJORITY, "the leader hands over: ask again", "")

    def propose_own(self, *entry: Any) -> None:
        self.propose(NOBODY, 0, entry)

    def expire_proposals(self) -> None:
        why = "no majority of the voters has agreed in time: it may come to pass still"
        for index, pending in list(self.pending.items()):
            if self.now >= pending.until:
                del self.pending[index]
                self.refuse(pending.conn, pending.message, NO_MAJORITY, why)

    def unsafe(self, entry: tuple[Any, ...]) -> str:
        """Why it is not to be proposed now; "" if it may be."""
        verb = entry[0]
        if verb == "join" and (why := self.name_taken(*entry[1][:2])):
            return why
        if verb != "level" and (why := self.below_level(verb)):
            return why
        if verb not in ("move", "began") or not self.unagreed_halt():
            return ""
        permit = self.state.permits.get(entry[1]) if verb == "began" else None
        return "" if permit is not None and permit.begun else self.halted()

    def name_taken(self, name: str, life: str) -> str:
        held = self.state.members.get(name)
        if held is None or held.life == life:
            return ""
        if not self.detector.holds_name(self.now, held, self.heartbeat_interval_ms()):
            return ""
        return f"{name}: the name is taken by a process that is alive ({held.life})"

    def below_level(self, verb: str) -> str:
        needs, level = self.state.level_of(verb), self.state.releases.level
        if needs <= level:
            return ""
        old = self.voter_levels.below(needs, self.names)
        return (
            f"{verb} is of level {needs}, and the fleet is at level {level}: all voters have to understand it"
            f" first; not heard so of {', '.join(old) or 'nobody: wait'}"
        )

    def unagreed_halt(self) -> bool:
        """Whether members hand a halt on that is not in the log yet."""
        key = self.marker().key
        return bool(key) and key not in self.state.ids

    # What a leader sees to

    def tell_opinion(self) -> None:
        """Whom this voter thinks dead, and what entries it understands."""
        if self.now < self.opinion_at:
            return
        self.opinion_at = self.now + self.OPINION_MS
        dead = self.silent_members.dead(self.now, self.me.name, self.state.members, self.members)
        if self.leads:
            self.detector.observe(self.now, self.me.name, dead)
            self.voter_levels.observe(self.now, self.me.name, self.level)
        elif address := self.leader_address():
            self.post(address, "sees", *dead, self.level)

    def lead(self) -> None:
        if not self.leads or not self.voter.can_change_membership():
            return
        if not self.state.fleet:
            self.begin_fleet()
            return
        self.agree_on_halts()
        self.judge_members()
        self.raise_level()
        for entry in self.watch.look(self.now, self.state):
            self.propose_own(*entry)
        self.change_membership()

    def begin_fleet(self) -> None:
        names, first = tuple(sorted(self.names)), self.initial_state
        manual_members = tuple(map(member_fields, first.manual_members))
        self.propose_own("begin", self.fleet, names, first.budgets, manual_members)

    def agree_on_halts(self) -> None:
        """A halt that was said to any process is agreed once the leader hears of it; one that is over is
        taken out of what is handed on.
        """
        halt = self.marker()
        if not halt.key:
            return
        if halt.key not in self.state.ids:
            self.propose_own("halt", halt.key, halt.by, halt.why)
        elif halt.key not in self.state.halts:
            self.mark("", "", "")

    def judge_members(self) -> None:
        members, interval_ms = self.state.members, self.heartbeat_interval_ms()
        for each in self.detector.verdicts(self.now, len(self.names), members, interval_ms):
            self.propose_own("against", each.name, each.life, each.why)

    def raise_level(self) -> None:
        """Entries that the oldest voter cannot read are not proposed before all voters can; nor while a
        release may still have to go back.
        """
        common = self.voter_levels.common(self.now, len(self.names))
        if common > self.state.releases.level and not self.state.releases.active():
            self.propose_own("level", common)

    def change_membership(self) -> None:
        membership = next_membership(self.voter, self.joining_replicas, self.replica_heard)
        if membership is None:
            return
        self.log(
            f"voters: {', '.join(membership.voters)}; learners: {', '.join(membership.learners) or 'none'}"
        )
        self.step_voter(ChangeMembership(membership))
        self.joining_replicas = {
            name: replica
            for name, replica in self.joining_replicas.items()
            if replica not in membership.voters
        }

    def replica_heard(self, replica: str) -> bool:
        return self.now - self.voter.responded_at_ms.get(replica, NEVER) < NAME_HELD_MS

    # Leaving

    def left(self) -> None:
        """Leadership goes to another before this process ends, so that nobody waits for an election."""
        if not self.ending:
            self.leave_at = self.now + self.HAND_OVER_MS
            if self.leads:
                self.step_voter(TransferLeadership(""))
        super().left()
