"""What the fleet has agreed, as the log's entries make it: one state, one way for an entry to change it. The
same entries give the same state at every voter, so a permit needs no entry of its own: it follows from the
others.
"""

from collections.abc import Iterable, Sequence
from typing import Any

from pumicenotch.fleet.drains.budgets import DRAINING, OUT, SERVING, Budget, Member
from pumicenotch.fleet.drains.scheduler import Drains
from pumicenotch.fleet.releases import release as release_
from pumicenotch.fleet.replicated.commands import (
    COUNTS_STAY,
    OF_ONE,
    RELEASE_VERBS,
    REQUESTS,
    books_by_verb,
    read,
    read_fields,
)
from pumicenotch.fleet.replicated.fields import Said
from pumicenotch.fleet.replicated.records import (
    OVERRIDE_PERMIT,
    TERM_PERMIT,
    WITHIN_BUDGETS,
    FleetHalt,
    Permit,
)
from pumicenotch.fleet.replicated.subject import Book

FORMERS_MOST = 8  # lives of a name remembered: a letter that is older has been lost long ago
SILENT = "silent"  # why a member is out against its will that a majority hears nothing of


class State(Drains):
    """Applies the entries."""

    def __init__(self, books: Sequence[Book] = ()) -> None:
        """`books` are further subjects of the log. Raises ValueError where two claim one verb."""
        super().__init__()
        self.fleet = ""
        self.books = {book.name: book for book in sorted(books, key=lambda book: book.name)}
        self.book_by_verb = books_by_verb(books)

    # Entries

    def apply(self, index: int, entry: Any) -> Said:
        """The one way in: `entry` is (verb, ...), as `ENTRIES` reads it."""
        self.index = index
        try:
            method, args = self.read(entry)
        except ValueError as error:
            return Said(False, str(error), error_code(error))
        verb = entry[0]
        if verb in self.book_by_verb:
            return self.apply_to_book(self.book_by_verb[verb], verb, args)
        if verb in REQUESTS and args[0] in self.ids:  # once more, by whatever way: nothing changes
            return Said(*self.ids[args[0]])
        if verb not in COUNTS_STAY:
            self.counted = None
        owner = self.releases if verb in RELEASE_VERBS else self
        said: Said = getattr(owner, method)(*args)
        one = args[0] if verb in OF_ONE else ""
        self.releases.settle(one.name if isinstance(one, Member) else one)
        if verb != "drain":  # which has settled by itself, to say what came of it
            self.settle()
        return said

    def read(self, entry: Any) -> tuple[str, tuple[Any, ...]]:
        """The method that an entry calls, of a book's entry the verb, and its fields. Raises ValueError."""
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
            return Said(
                False, f"{verb} is of level {book.level}: the fleet is at {self.releases.level}"
            )
        outcome = book.apply(self.index, verb, args)
        return Said(outcome.good, outcome.text, outcome.value)

    def begin(
        self,
        fleet: str,
        voters: tuple[str, ...],
        budgets: tuple[Budget, ...],
        manual_members: Iterable[Member],
    ) -> Said:
        """The first entry. Members by hand are replicas of services below, drained and returned by an
        operator.
        """
        if self.fleet:
            return Said(True, "begun already")
        self.fleet, self.voters, self.budgets = fleet, voters, budgets
        for member in manual_members:
            self.members[member.name] = member._replace(life="")
        self.note(f"fleet {fleet} begins with the voters {', '.join(voters)}")
        return Said(True, "begun")

    def join(self, member: Member) -> Said:
        """A process says what it is. A new life takes the name's place; whether the former one is gone is
        for the leader to judge before it proposes this.
        """
        held = self.members.get(member.name)
        if held is not None and not held.life:
            return Said(False, f"{member.name} is a member by hand: no process may take its name")
        if held is not None and member.life in held.formers:
            return Said(
                False, f"{member.name}: another process has taken this name since: end this one"
            )
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
        given to frees nothing, however late it comes.
        """
        held, wrong = self.current(one, life)
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
        held, wrong = self.current(one, life)
        if held is None:
            return wrong
        if one not in self.permits:
            self.permits[one] = Permit(one, life, self.index, TERM_PERMIT, why, True)
        else:
            self.permits[one] = self.permits[one]._replace(begun=True, life=life)
        self.queue = [each for each in self.queue if each.name != one]
        if held.standing == SERVING:
            self.members[one] = held._replace(standing=DRAINING)
            self.note(f"{one} leaves unasked: {why}")
        return Said(True, "counted")

    def began(self, one: str, life: str, epoch: int) -> Said:
        """The holder is about to drain. Only once this is agreed may it: a permit that was taken back is not
        used, however late its holder hears of it.
        """
        held, wrong = self.current(one, life)
        if held is None:
            return wrong
        permit = self.permits.get(one)
        if permit is None or (permit.life, permit.epoch) != (life, epoch):
            return Said(False, f"{one} holds no permit of epoch {epoch}")
        if not permit.begun and self.halts:
            return Said(False, self.halted())
        # Others may have gone out against their will since it was given, and a budget been lowered.
        if (
            not permit.begun
            and permit.kind in WITHIN_BUDGETS
            and (over := self.over_with(held, permit))
        ):
            return Said(False, f"not now: {over}")
        if not permit.begun:
            self.permits[one] = permit._replace(begun=True)
            self.members[one] = held._replace(standing=DRAINING)
            self.note(f"{one} drains (epoch {epoch})")
        return Said(True, "begun", epoch)

    def gone(self, one: str, life: str) -> Said:
        held, wrong = self.current(one, life)
        if held is None:
            return wrong
        if held.standing != OUT:
            self.members[one] = held._replace(standing=OUT)
            self.note(f"{one} has left")
        return Said(True, "out")

    def against(self, one: str, life: str, why: str) -> Said:
        """By a majority of observers it is out against its will; "" for `why`: it is not any more."""
        held, wrong = self.current(one, life)
        if held is None:
            return wrong
        if held.against != why:
            self.members[one] = held._replace(against=why)
            self.note(f"{one} is out against its will: {why}" if why else f"{one} is well again")
        return Said(True, "noted")

    def current(self, one: str, life: str) -> tuple[Member | None, Said]:
        """The member, if that process has the name still; else why not."""
        held = self.members.get(one)
        if held is None:
            return None, Said(False, f"no member {one}: join first")
        if held.life != life:
            return None, Said(False, f"{one}: another process has this name")
        return held, Said(True, "")

    # Drains

    def drain(self, request: str, wanted: tuple[str, ...], why: str, by: str) -> Said:
        return self.answered(request, self.request_drains(wanted, why, by))

    def request_drains(self, wanted: tuple[str, ...], why: str, by: str) -> Said:
        missing = [each for each in wanted if each not in self.members]
        if missing:
            return Said(False, f"no member {', '.join(missing[:5])}")
        voters = [each for each in wanted if self.members[each].voter]
        if len(voters) > self.spare_voters():
            most = self.spare_voters()
            return Said(
                False,
                f"{len(voters)} of {len(self.voters)} voters: at most {most} may go at once,"
                " a majority must stay: ask for them in turn",
            )
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
            True,
            f"waiting: {listed(waiting)}; {waiting[0]}: {self.waits.get(waiting[0], 'its turn')}",
        )

    def undrain(self, request: str, wanted: tuple[str, ...], why: str, by: str) -> Said:
        """Whoever waits waits no more; a permit not begun is taken back; a member by hand is back in
        service.
        """
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
        held, wrong = self.current(one, life)
        if held is None:
            return wrong
        permit = self.permits.get(one)
        if permit is not None and (permit.life, permit.epoch, permit.begun) == (life, epoch, False):
            self.free(one, "gives its permit back")
        return Said(True, "given back")

    def override(self, request: str, one: str, why: str, by: str) -> Said:
        """A permit without regard to budgets, on the record. Never while halted, never a majority of the
        voters.
        """
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
            self.give(held, OVERRIDE_PERMIT, why)
        self.note(f"OVERRIDE by {by}: {one} may drain whatever the budgets say: {why}")
        return self.answered(request, Said(True, f"permit for {one}"))

    def freed(self, request: str, one: str, why: str, by: str) -> Said:
        """By an operator's word the permit of one that will not come back is free again. The member stays
        out, and counted, until it serves or is forgotten.
        """
        if one not in self.permits:
            return self.answered(request, Said(False, f"{one} holds no permit"))
        held = self.members[one]
        if held.standing == SERVING and self.permits[one].begun:
            self.members[one] = held._replace(standing=OUT)
        self.free(one, f"FREED by {by}: {why}")
        counts = self.members[one].standing
        return self.answered(
            request, Said(True, f"the permit of {one} is free; it counts as {counts}")
        )

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

    def budget(self, request: str, made: tuple[Budget, ...], by: str) -> Said:
        """All budgets anew. None that is out is called back by a lower one; nobody follows until it fits."""
        self.budgets = made
        self.note(f"{by} sets budgets: {', '.join(each.name for each in made) or 'none'}")
        over = self.over()
        return self.answered(
            request,
            Said(True, f"{len(made)} budgets" + (f"; over now: {'; '.join(over)}" if over else "")),
        )

    # Halt and resume

    def halt(self, request: str, by: str, why: str) -> Said:
        """From anyone, at once. Its copies, however they come, are told by the request."""
        self.halts[request] = FleetHalt(by, why)
        self.note(f"HALT by {by}: {why}")
        return self.answered(request, Said(True, self.halted()))

    def resume(self, request: str, halts: tuple[str, ...], why: str, by: str) -> Said:
        """Ends those halts that its operator has seen, and no later one."""
        for each in halts:
            self.halts.pop(each, None)
        self.note(f"RESUMED by {by}: {why}" + (f"; still {self.halted()}" if self.halts else ""))
        return self.answered(request, Said(not self.halts, self.halted() or "the fleet goes on"))


def error_code(error: Exception) -> str | None:
    """Of an error that has a type of its own for operators."""
    code = getattr(error, "code", None)
    return code if isinstance(code, str) else None


def listed(some: Iterable[str]) -> str:
    """The first few by name."""
    found = list(some)
    return ", ".join(found[:5]) + (f" and {len(found) - 5} more" if len(found) > 5 else "")
