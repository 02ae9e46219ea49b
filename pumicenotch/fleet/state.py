"""What the fleet has agreed, as the log's entries make it: one state, one way for an entry to change it. The
same entries give the same state at every voter, so a permit needs no entry of its own: it follows from the
others.

A member is out if it holds a permit, drains, has left, or is out against its will. A permit ends only when
its member is back in service as a new process, when its holder gives it back, or by an operator's word with
a reason."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from pumicenotch.fleet import release as release_
from pumicenotch.fleet.book import Book, UnknownBook
from pumicenotch.fleet.budgets import DRAINING, OUT, SERVING, Budget, Member, Tallies, Tally
from pumicenotch.fleet.entries import (
    BadEntry,
    Reader,
    Said,
    budgets_of,
    member_of,
    name,
    names,
    number,
    reason,
    text,
)
from pumicenotch.fleet.release import Releases

# Entries after which as many are out as before, or that say themselves when it is otherwise.
COUNTS_STAY = ("drain", "began", "halt", "resume", "word", "move", "plan", "soaked")
# What operators ask for, each with an id first: by the method that it calls.
REQUESTS = ("drain", "undrain", "override", "freed", "forget", "budget", "halt", "resume",
            *release_.REQUESTS)  # fmt: skip
HISTORY_MOST = 500  # events kept: some days of an ordinary fleet, some 50 KB
IDS_MOST = 1000  # of answered requests, so that a repeat changes nothing
FORMERS_MOST = 8  # lives of a name remembered: a letter that is older has been lost long ago
SILENT = "silent"  # why a member is out against its will that a majority hears nothing of
PERMITTED = ("drain", release_.KIND)  # permits that keep to the budgets
FORMS = (1, 2, 3)  # of a dump: the second has releases, the third books
BOOKS_FORM = 3


class Permit(NamedTuple):
    name: str
    life: str
    epoch: int  # the index at which it was given: of two, the higher is the later
    kind: str  # "drain", "release", "term" (a process that could not wait) or "override"
    reason: str
    begun: bool = False


class Request(NamedTuple):
    """One member's place in the queue."""

    name: str
    at: int  # the index at which it was asked: the order
    reason: str
    by: str


def told(member: Member) -> tuple[Any, ...]:
    return tuple(member[:9])


class State:
    def __init__(self, books: Sequence[Book] = ()) -> None:
        """`books` are further subjects of the log. Raises ValueError where two claim one verb."""
        self.books = {book.name: book for book in sorted(books, key=lambda book: book.name)}
        self.book_by_verb = books_by_verb(books)
        self.index = 0  # of the entry applied last
        self.fleet = ""
        self.voters: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.budgets: tuple[Budget, ...] = ()
        self.queue: list[Request] = []
        self.permits: dict[str, Permit] = {}
        self.waits: dict[str, str] = {}  # of each in the queue: why, as of the last entry
        self.halts: dict[str, tuple[str, str]] = {}  # id -> by, why
        self.ids: dict[str, tuple[bool, str]] = {}  # request id -> what it came to
        self.history: list[tuple[int, str]] = []
        self.releases = Releases(self)
        # Who is out in each group, and of the voters, while no entry has changed it: among 1,000 members to
        # count anew takes milliseconds, and hundreds may ask in a second.
        self.counted: tuple[Tallies, int] | None = None

    # Entries

    def apply(self, index: int, entry: Any) -> Said:
        """The one way in: `entry` is (verb, ...), as `ENTRIES` reads it."""
        self.index = index
        try:
            verb, args = self.read(entry)
        except ValueError as error:
            return Said(False, str(error), error_code(error))
        if verb in self.book_by_verb:
            return self.apply_to_book(self.book_by_verb[verb], verb, args)
        if verb in REQUESTS and args[0] in self.ids:  # once more, by whatever way: nothing changes
            return Said(*self.ids[args[0]])
        if verb not in COUNTS_STAY:
            self.counted = None
        owner = self.releases if entry[0] in release_.ENTRIES else self
        said: Said = getattr(owner, verb)(*args)
        one = args[0] if verb in release_.OF_ONE else ""
        self.releases.settle(one.name if isinstance(one, Member) else one)
        if verb != "drain":  # which has settled by itself, to say what came of it
            self.settle()
        return said

    def read(self, entry: Any) -> tuple[str, tuple[Any, ...]]:
        """What an entry does, and with what. Raises ValueError."""
        if isinstance(entry, list | tuple) and entry and entry[0] in self.book_by_verb:
            readers = self.book_by_verb[entry[0]].verbs[entry[0]]
            return entry[0], read_fields(entry, readers)
        return read(entry)

    def level_of(self, verb: str) -> int:
        """That all voters have to understand before an entry of this verb is proposed."""
        book = self.book_by_verb.get(verb)
        return book.level if book is not None else release_.NEEDS.get(verb, 1)

    def admit(self, entry: Any) -> None:
        """Called by a leader before it proposes a book's entry. Raises ValueError."""
        if entry[0] in self.book_by_verb:
            self.book_by_verb[entry[0]].admit(*self.read(entry))

    def apply_to_book(self, book: Book, verb: str, args: tuple[Any, ...]) -> Said:
        """Nothing of the members changes by it, so nothing is to be settled."""
        if self.releases.level < book.level:  # voters that cannot read it skip it too
            return Said(False, f"{verb} is of level {book.level}: the fleet is at {self.releases.level}")
        outcome = book.apply(self.index, verb, args)
        return Said(outcome.good, outcome.text, outcome.value)

    def begin(self, fleet: str, voters: tuple[str, ...], budgets: tuple[Budget, ...], hands: Any) -> Said:
        """The first entry. `hands` are replicas of services below, drained and returned by an operator's
        hand."""
        if self.fleet:
            return Said(True, "begun already")
        self.fleet, self.voters, self.budgets = fleet, voters, budgets
        for member in hands:
            self.members[member.name] = member._replace(life="")
        self.note(f"fleet {fleet} begins with the voters {', '.join(voters)}")
        return Said(True, "begun")

    def join(self, member: Member) -> Said:
        """A process says what it is. A new life takes the name's place; whether the former one is gone is
        for the leader to judge before it proposes this."""
        held = self.members.get(member.name)
        if held is not None and not held.life:
            return Said(False, f"{member.name} is a member by hand: no process may take its name")
        if held is not None and member.life in held.formers:
            return Said(False, f"{member.name}: another process has taken this name since: end this one")
        if held is not None and held.life == member.life:
            self.members[member.name] = member._replace(
                standing=held.standing, against=held.against, formers=held.formers
            )
            return Said(True, "known")
        formers = (*held.formers, held.life)[-FORMERS_MOST:] if held is not None else ()
        # Out until it says that it serves: a start may fail still.
        self.members[member.name] = member._replace(standing=OUT, formers=formers)
        self.note(f"{member.name} is there ({member.life})")
        return Said(True, "joined")

    def serving(self, one: str, life: str) -> Said:
        """It is in service: the permit of a former life ends here. The word of the life that the permit was
        given to frees nothing, however late it comes."""
        held, wrong = self.mine(one, life)
        if held is None:
            return wrong
        permit = self.permits.get(one)
        if permit is not None and permit.life == life:
            return Said(True, "holds a permit")
        if permit is not None:
            self.free(one, "is back in service")
        if held.standing != SERVING or held.against:
            self.members[one] = held._replace(standing=SERVING, against="")
            self.note(f"{one} serves")
        return Said(True, "serving")

    def leaving(self, one: str, life: str, why: str) -> Said:
        """It drains and cannot wait: counted at once, never refused."""
        held, wrong = self.mine(one, life)
        if held is None:
            return wrong
        if one not in self.permits:
            self.permits[one] = Permit(one, life, self.index, "term", why, True)
        else:
            self.permits[one] = self.permits[one]._replace(begun=True, life=life)
        self.queue = [each for each in self.queue if each.name != one]
        if held.standing == SERVING:
            self.members[one] = held._replace(standing=DRAINING)
            self.note(f"{one} leaves unasked: {why}")
        return Said(True, "counted")

    def began(self, one: str, life: str, epoch: int) -> Said:
        """The holder is about to drain. Only once this is agreed may it: a permit that was taken back is not
        used, however late its holder hears of it."""
        held, wrong = self.mine(one, life)
        if held is None:
            return wrong
        permit = self.permits.get(one)
        if permit is None or (permit.life, permit.epoch) != (life, epoch):
            return Said(False, f"{one} holds no permit of epoch {epoch}")
        if not permit.begun and self.halts:
            return Said(False, self.halted())
        # Others may have gone out against their will since it was given, and a budget been lowered.
        if not permit.begun and permit.kind in PERMITTED and (over := self.over_with(held, permit)):
            return Said(False, f"not now: {over}")
        if not permit.begun:
            self.permits[one] = permit._replace(begun=True)
            self.members[one] = held._replace(standing=DRAINING)
            self.note(f"{one} drains (epoch {epoch})")
        return Said(True, "begun", epoch)

    def over_with(self, held: Member, permit: Permit) -> str:
        """What its groups would be over by if it went now: beside whoever is out, with those whose permits
        are not begun either and came before. All would wait for each other for ever if all counted."""
        tallies = self.counted[0] if self.counted is not None else self.tallies()
        if not any(tally.over() for tally in tallies.of(held)):
            return ""

        def counts(each: Member) -> bool:
            other = self.permits.get(each.name)
            if other is None or other.begun or each.standing != SERVING or each.against:
                return self.is_out(each)
            return (other.epoch, other.name) <= (permit.epoch, permit.name)

        tallies = Tallies(self.budgets, ((each, counts(each)) for each in self.members.values()))
        return next((over for tally in tallies.of(held) if (over := tally.over())), "")

    def gone(self, one: str, life: str) -> Said:
        held, wrong = self.mine(one, life)
        if held is None:
            return wrong
        if held.standing != OUT:
            self.members[one] = held._replace(standing=OUT)
            self.note(f"{one} has left")
        return Said(True, "out")

    def against(self, one: str, life: str, why: str) -> Said:
        """By a majority of observers it is out against its will; "" for `why`: it is not any more."""
        held, wrong = self.mine(one, life)
        if held is None:
            return wrong
        if held.against != why:
            self.members[one] = held._replace(against=why)
            self.note(f"{one} is out against its will: {why}" if why else f"{one} is well again")
        return Said(True, "noted")

    def mine(self, one: str, life: str) -> tuple[Member | None, Said]:
        held = self.members.get(one)
        if held is None:
            return None, Said(False, f"no member {one}: join first")
        if held.life != life:
            return None, Said(False, f"{one}: another process has this name")
        return held, Said(True, "")

    # Drains

    def drain(self, request: str, wanted: tuple[str, ...], why: str, by: str) -> Said:
        return self.answered(request, self.drained(wanted, why, by))

    def drained(self, wanted: tuple[str, ...], why: str, by: str) -> Said:
        missing = [each for each in wanted if each not in self.members]
        if missing:
            return Said(False, f"no member {', '.join(missing[:5])}")
        voters = [each for each in wanted if self.members[each].voter]
        if len(voters) > self.spare_voters():
            most = self.spare_voters()
            return Said(False, f"{len(voters)} of {len(self.voters)} voters: at most {most} may go at once,"
                               " a majority must stay: ask for them in turn")  # fmt: skip
        asked = {each.name for each in self.queue}
        new = [each for each in wanted if each not in asked and each not in self.permits]
        for each in new:
            self.ask_for(each, why, by)
        self.note(f"{by} asks for a drain of {listed(wanted)}: {why}")
        self.settle()
        given = [each for each in wanted if each in self.permits]
        if len(given) == len(wanted):
            return Said(True, f"permits for {listed(given)}")
        waiting = [each for each in wanted if each not in self.permits]
        return Said(
            True, f"waiting: {listed(waiting)}; {waiting[0]}: {self.waits.get(waiting[0], 'its turn')}"
        )

    def ask_for(self, one: str, why: str, by: str) -> None:
        self.queue.append(Request(one, self.index, why, by))

    def spare_voters(self) -> int:
        return max(0, (len(self.voters) - 1) // 2)

    def undrain(self, request: str, wanted: tuple[str, ...], why: str, by: str) -> Said:
        """Whoever waits waits no more; a permit not begun is taken back; a member by hand is back in
        service."""
        late = []
        for one in wanted:
            held = self.members.get(one)
            if held is None:
                return self.answered(request, Said(False, f"no member {one}"))
            self.queue = [each for each in self.queue if each.name != one]
            permit = self.permits.get(one)
            if permit is None:
                continue
            if permit.begun and held.life:
                late.append(one)
            else:
                self.free(one, f"{by} takes it back: {why}")
                self.members[one] = held._replace(standing=SERVING) if not held.life else held
        if late:
            what = "drains already, and is out until it serves again: start it, or `fleet free` it"
            return self.answered(request, Said(False, f"{listed(late)} {what}"))
        return self.answered(request, Said(True, f"taken back: {listed(wanted)}"))

    def returned(self, one: str, life: str, epoch: int) -> Said:
        """The holder gives a permit back that it has not begun to use."""
        held, wrong = self.mine(one, life)
        if held is None:
            return wrong
        permit = self.permits.get(one)
        if permit is not None and (permit.life, permit.epoch, permit.begun) == (life, epoch, False):
            self.free(one, "gives its permit back")
        return Said(True, "given back")

    def override(self, request: str, one: str, why: str, by: str) -> Said:
        """A permit without regard to budgets, on the record. Never while halted, never a majority of the
        voters."""
        held = self.members.get(one)
        if held is None:
            return self.answered(request, Said(False, f"no member {one}"))
        if self.halts:
            return self.answered(request, Said(False, self.halted()))
        if held.voter and self.voters_out() >= self.spare_voters() and not self.is_out(held):
            return self.answered(
                request, Said(False, "a majority of the voters must stay: no override helps")
            )
        self.queue = [each for each in self.queue if each.name != one]
        if one not in self.permits:
            self.give(held, "override", why)
        self.note(f"OVERRIDE by {by}: {one} may drain whatever the budgets say: {why}")
        return self.answered(request, Said(True, f"permit for {one}"))

    def freed(self, request: str, one: str, why: str, by: str) -> Said:
        """By an operator's word the permit of one that will not come back is free again. The member stays
        out, and counted, until it serves or is forgotten."""
        if one not in self.permits:
            return self.answered(request, Said(False, f"{one} holds no permit"))
        held = self.members[one]
        if held.standing == SERVING and self.permits[one].begun:
            self.members[one] = held._replace(standing=OUT)
        self.free(one, f"FREED by {by}: {why}")
        counts = self.members[one].standing
        return self.answered(request, Said(True, f"the permit of {one} is free; it counts as {counts}"))

    def forget(self, request: str, one: str, why: str, by: str) -> Said:
        """A member that is gone for good is counted no more, neither out nor in its groups."""
        held = self.members.get(one)
        if held is None:
            return self.answered(request, Said(False, f"no member {one}"))
        if held.standing == SERVING and not held.against:
            return self.answered(request, Said(False, f"{one} serves: drain it first"))
        del self.members[one]
        self.releases.nodes.pop(one, None)
        self.permits.pop(one, None)
        self.queue = [each for each in self.queue if each.name != one]
        self.note(f"FORGOTTEN by {by}: {one}: {why}")
        return self.answered(request, Said(True, f"{one} is forgotten"))

    def answered(self, request: str, said: Said) -> Said:
        self.ids[request] = (said.good, said.text)
        if len(self.ids) > IDS_MOST:
            del self.ids[next(iter(self.ids))]
        return said

    def budget(self, request: str, made: tuple[Budget, ...], by: str) -> Said:
        """All budgets anew. None that is out is called back by a lower one; nobody follows until it fits."""
        self.budgets = made
        self.note(f"{by} sets budgets: {', '.join(each.name for each in made) or 'none'}")
        over = self.over()
        return self.answered(
            request, Said(True, f"{len(made)} budgets" + (f"; over now: {'; '.join(over)}" if over else ""))
        )

    # Halt and resume

    def halt(self, request: str, by: str, why: str) -> Said:
        """From anyone, at once. Its copies, however they come, are told by the request."""
        self.halts[request] = (by, why)
        self.note(f"HALT by {by}: {why}")
        return self.answered(request, Said(True, self.halted()))

    def resume(self, request: str, halts: tuple[str, ...], why: str, by: str) -> Said:
        """Ends those halts that its operator has seen, and no later one."""
        for each in halts:
            self.halts.pop(each, None)
        self.note(f"RESUMED by {by}: {why}" + (f"; still {self.halted()}" if self.halts else ""))
        return self.answered(request, Said(not self.halts, self.halted() or "the fleet goes on"))

    def halted(self) -> str:
        return (
            "halted: " + "; ".join(f"by {by}: {why}" for by, why in self.halts.values()) if self.halts else ""
        )

    # What follows

    def is_out(self, member: Member) -> bool:
        return (member.standing != SERVING or bool(member.against) or member.name in self.permits
                or self.releases.down(member.name))  # fmt: skip

    def voters_out(self) -> int:
        return sum(member.voter and self.is_out(member) for member in self.members.values())

    def tallies(self) -> Tallies:
        return Tallies(self.budgets, ((each, self.is_out(each)) for each in self.members.values()))

    def over(self) -> list[str]:
        return [over for tally in self.tallies().found.values() if (over := tally.over())]

    def settle(self) -> None:
        """Gives every permit that fits, in the order of asking. One that does not fit bars those behind it
        in its groups, but nobody else: so neither a service's drain nor its callers' waits for ever."""
        self.waits.clear()
        if not self.queue:
            return
        if self.halts:
            self.waits = dict.fromkeys((each.name for each in self.queue), self.halted())
            return
        tallies, voters_out = self.counted or (self.tallies(), self.voters_out())
        barred: dict[int, str] = {}  # tally -> who waits there first
        waiting: list[Request] = []
        for request in self.queue:
            member = self.members[request.name]
            mine, out = tallies.of(member), self.is_out(member)
            why = self.blocked(member, mine, out, barred, voters_out)
            if why:
                waiting.append(request)
                self.waits[request.name] = why
                for tally in mine:
                    barred.setdefault(id(tally), request.name)
                continue
            self.give(member, release_.KIND if request.by == release_.BY else "drain", request.reason)
            if not out:
                voters_out += member.voter
                for tally in mine:
                    tally.take(member)
        self.queue, self.counted = waiting, (tallies, voters_out)

    def blocked(
        self, member: Member, mine: Iterable[Tally], out: bool, barred: dict[int, str], voters_out: int
    ) -> str:
        """One that is thought to be out already is counted; but a thought may be wrong, and it serves still:
        so it may go only where its groups are within their budgets with it."""
        if member.voter and voters_out - out >= self.spare_voters():
            return f"{voters_out} of {len(self.voters)} voters are out: a majority must stay"
        for tally in mine:
            if why := (tally.over() or tally.mixed(member)) if out else tally.against(member):
                return why
        if out:
            return ""
        for tally in mine:
            if id(tally) in barred:
                return f"{tally.place()}: behind {barred[id(tally)]}"
        return ""

    def give(self, member: Member, kind: str, why: str) -> None:
        begun = not member.life  # by hand: whoever asked does it on seeing the permit
        self.permits[member.name] = Permit(member.name, member.life, self.index, kind, why, begun)
        if begun:
            self.members[member.name] = member._replace(standing=DRAINING)
        self.note(f"permit for {member.name} (epoch {self.index}): {why}")

    def free(self, one: str, why: str) -> None:
        permit = self.permits.pop(one)
        self.note(f"permit of {one} (epoch {permit.epoch}) ends: {why}")

    def note(self, what: str) -> None:
        self.history.append((self.index, what))
        del self.history[:-HISTORY_MOST]

    # Whole

    def dump(self) -> bytes:
        """The same bytes for the same state."""
        told = self.dump_fields()
        books = [book for book in self.books.values() if self.releases.level >= book.level]
        if not books:
            return compact_json(told)
        sections = [book.dump() for book in books]
        told["form"] = BOOKS_FORM
        told["books"] = [(book.name, len(data)) for book, data in zip(books, sections, strict=True)]
        return b"\n".join((compact_json(told), b"".join(sections)))

    def dump_fields(self) -> dict[str, Any]:
        told: dict[str, Any] = {
            "form": 2 if self.releases.level > 1 else 1,
            "index": self.index, "fleet": self.fleet, "voters": self.voters,
            "members": list(self.members.values()), "budgets": self.budgets, "queue": self.queue,
            "permits": list(self.permits.values()), "halts": list(self.halts.items()),
            "ids": list(self.ids.items()), "history": self.history,
        }  # fmt: skip
        if self.releases.level > 1:
            told["releases"] = self.releases.dump()
        return told


def error_code(error: Exception) -> str | None:
    """Of an error that has a type of its own for operators."""
    code = getattr(error, "code", None)
    return code if isinstance(code, str) else None


def compact_json(told: Any) -> bytes:
    return json.dumps(told, separators=(",", ":")).encode()


def books_by_verb(books: Iterable[Book]) -> dict[str, Book]:
    found: dict[str, Book] = {}
    for book in books:
        for verb in book.verbs:
            if verb in ENTRIES or verb in found:
                raise ValueError(f"book {book.name}: the verb {verb} has an owner already")
            found[verb] = book
    return found


def load(data: bytes, books: Sequence[Book] = ()) -> State:
    """What `dump` gave. Raises BadEntry on anything else, UnknownBook where `books` lacks one of it."""
    header, _, sections = data.partition(b"\n")
    try:
        told = json.loads(header)
        if told["form"] not in FORMS:
            raise BadEntry(f"a state of form {told['form']!r}: {FORMS} are known: a newer program is wanted")
        made = State(books)
        made.index, made.fleet = told["index"], told["fleet"]
        made.voters = tuple(told["voters"])
        for each in told["members"]:
            member = Member._make(each)
            made.members[member.name] = member._replace(
                serves=tuple(member.serves), uses=tuple(member.uses), formers=tuple(member.formers)
            )
        made.budgets = tuple(Budget._make(each) for each in told["budgets"])
        made.queue = [Request._make(each) for each in told["queue"]]
        made.permits = {each[0]: Permit._make(each) for each in told["permits"]}
        made.halts = {key: (by, why) for key, (by, why) in told["halts"]}
        made.ids = {key: (good, what) for key, (good, what) in told["ids"]}
        made.history = [(index, what) for index, what in told["history"]]
        if "releases" in told:
            made.releases.load(told["releases"])
        load_books(made, told.get("books", ()), sections)
    except (BadEntry, UnknownBook):
        raise
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise BadEntry(f"no state of a fleet: {type(error).__name__} {error}"[:200]) from None
    made.settle()
    return made


def load_books(state: State, lengths: Iterable[tuple[str, int]], sections: bytes) -> None:
    """Each book from its section: the sections follow each other in the order of `lengths`."""
    found = list(lengths)
    for book, _ in found:
        if book not in state.books:
            raise UnknownBook(book)
    if sum(length for _, length in found) != len(sections):
        raise ValueError("its books are not whole")
    start = 0
    for book, length in found:
        state.books[book].load(sections[start : start + length])
        start += length


def listed(some: Iterable[str]) -> str:
    """The first few by name."""
    found = list(some)
    return ", ".join(found[:5]) + (f" and {len(found) - 5} more" if len(found) > 5 else "")


ENTRIES: dict[str, tuple[str, tuple[Reader, ...]]] = {  # what each entry calls, and with what
    "begin": ("begin", (name, names, budgets_of, lambda some: tuple(map(member_of, some)))),
    "join": ("join", (member_of,)),
    "serving": ("serving", (name, name)),
    "leaving": ("leaving", (name, name, text)),
    "began": ("began", (name, name, number)),
    "gone": ("gone", (name, name)),
    "against": ("against", (name, name, text)),
    "returned": ("returned", (name, name, number)),
    "drain": ("drain", (name, names, reason, name)),
    "undrain": ("undrain", (name, names, reason, name)),
    "override": ("override", (name, name, reason, name)),
    "free": ("freed", (name, name, reason, name)),
    "forget": ("forget", (name, name, reason, name)),
    "budget": ("budget", (name, budgets_of, name)),
    "halt": ("halt", (name, name, reason)),
    "resume": ("resume", (name, names, reason, name)),
    **release_.ENTRIES,
}


def read(entry: Any) -> tuple[str, tuple[Any, ...]]:
    """What an entry does, and with what. Raises BadEntry, on what is to be refused before it is proposed."""
    if not isinstance(entry, list | tuple) or not entry or entry[0] not in ENTRIES:
        raise BadEntry(f"unknown: {entry!r:.60}; known: {', '.join(ENTRIES)}")
    verb, readers = ENTRIES[entry[0]]
    return verb, read_fields(entry, readers)


def read_fields(entry: Sequence[Any], readers: tuple[Reader, ...]) -> tuple[Any, ...]:
    """What follows an entry's verb, by its readers. Raises BadEntry, or what a book's reader raises."""
    if len(entry) != len(readers) + 1:
        raise BadEntry(f"{entry[0]}: {len(readers)} values are wanted, not {len(entry) - 1}")
    try:
        return tuple(reader(value) for reader, value in zip(readers, entry[1:], strict=True))
    except TypeError as error:
        raise BadEntry(f"{entry[0]}: {error}") from None
