"""Who may drain: the queue of those that wait, the permits given, and what the budgets allow.

A member is out if it holds a permit, drains, has left, or is out against its will. A permit ends only when
its member is back in service as a new process, when its holder gives it back, or by an operator's word with
a reason.
"""

from collections.abc import Iterable

from pumicenotch.fleet.drains.budgets import DRAINING, SERVING, Budget, Member, Tallies, Tally
from pumicenotch.fleet.releases.release import REQUESTED_BY
from pumicenotch.fleet.releases.releases import Releases
from pumicenotch.fleet.replicated.fields import Said
from pumicenotch.fleet.replicated.records import (
    DRAIN_PERMIT,
    RELEASE_PERMIT,
    Answer,
    Counted,
    Event,
    FleetHalt,
    Permit,
    Request,
)

HISTORY_MOST = 500  # events kept: some days of an ordinary fleet, some 50 KB
IDS_MOST = 1000  # of answered requests, so that a repeat changes nothing


class Drains:
    """Members, budgets, permits and halts, and what follows from them."""

    def __init__(self) -> None:
        self.index = 0  # of the entry applied last
        self.voters: tuple[str, ...] = ()
        self.members: dict[str, Member] = {}
        self.budgets: tuple[Budget, ...] = ()
        self.queue: list[Request] = []
        self.permits: dict[str, Permit] = {}
        self.waits: dict[str, str] = {}  # of each in the queue: why, as of the last entry
        self.halts: dict[str, FleetHalt] = {}  # by the id of the request
        self.ids: dict[str, Answer] = {}  # by the id of the request
        self.history: list[Event] = []
        self.releases = Releases(self)
        # While no entry has changed it: among 1,000 members to count anew takes milliseconds, and hundreds
        # may ask in a second.
        self.counted: Counted | None = None

    # For people

    def note(self, what: str) -> None:
        self.history.append(Event(self.index, what))
        del self.history[:-HISTORY_MOST]

    def answered(self, request: str, said: Said) -> Said:
        self.ids[request] = Answer(said.good, said.text)
        if len(self.ids) > IDS_MOST:
            del self.ids[next(iter(self.ids))]
        return said

    def halted(self) -> str:
        return (
            "halted: " + "; ".join(f"by {by}: {why}" for by, why in self.halts.values())
            if self.halts
            else ""
        )

    # Who is out

    def is_out(self, member: Member) -> bool:
        return (
            member.standing != SERVING
            or bool(member.against)
            or member.name in self.permits
            or self.releases.down(member.name)
        )

    def voters_out(self) -> int:
        return sum(member.voter and self.is_out(member) for member in self.members.values())

    def spare_voters(self) -> int:
        return max(0, (len(self.voters) - 1) // 2)

    def tallies(self) -> Tallies:
        return Tallies(self.budgets, ((each, self.is_out(each)) for each in self.members.values()))

    def over(self) -> list[str]:
        return [over for tally in self.tallies().found.values() if (over := tally.over())]

    def over_with(self, held: Member, permit: Permit) -> str:
        """What its groups would be over by if it went now: beside whoever is out, with those whose permits
        are not begun either and came before. All would wait for each other for ever if all counted.
        """
        tallies = self.counted.tallies if self.counted is not None else self.tallies()
        if not any(tally.over() for tally in tallies.of(held)):
            return ""

        def counts(each: Member) -> bool:
            other = self.permits.get(each.name)
            if other is None or other.begun or each.standing != SERVING or each.against:
                return self.is_out(each)
            return (other.epoch, other.name) <= (permit.epoch, permit.name)

        tallies = Tallies(self.budgets, ((each, counts(each)) for each in self.members.values()))
        return next((over for tally in tallies.of(held) if (over := tally.over())), "")

    def recount(self) -> None:
        self.counted = None

    # The queue

    def ask_for(self, one: str, why: str, by: str) -> None:
        self.queue.append(Request(one, self.index, why, by))

    def withdraw(self, request: Request) -> None:
        self.queue.remove(request)

    def settle(self) -> None:
        """Gives every permit that fits, in the order of asking. One that does not fit bars those behind it
        in its groups, but nobody else: so neither a service's drain nor its callers' waits for ever.
        """
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
            self.give(
                member,
                RELEASE_PERMIT if request.by == REQUESTED_BY else DRAIN_PERMIT,
                request.reason,
            )
            if not out:
                voters_out += member.voter
                for tally in mine:
                    tally.take(member)
        self.queue, self.counted = waiting, Counted(tallies, voters_out)

    def blocked(
        self,
        member: Member,
        mine: Iterable[Tally],
        out: bool,
        barred: dict[int, str],
        voters_out: int,
    ) -> str:
        """One that is thought to be out already is counted; but a thought may be wrong, and it serves still:
        so it may go only where its groups are within their budgets with it.
        """
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
