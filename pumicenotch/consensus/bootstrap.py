"""How a fleet's first seats come to be, and how a process gets a seat among those that are there.

A process that starts knows nothing: it has a new life. Where all configured names are there and every one of
them knows nothing, the first by name founds the fleet: each has promised itself to that founder's life, and
takes its seats from nobody else. Where any knows of a fleet, nothing is founded ever: who is new asks for a
seat instead. Its leader takes the seat of the name's former life out, has the new one learn the log, then
gives it the vote.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from pumicenotch.consensus.messages import BadMessage, Seats, name_of, seats_of
from pumicenotch.consensus.voter import LEADER, Voter


class Say(NamedTuple):
    """To a name, not to a seat: nobody knows the life behind it yet."""

    to: str
    told: tuple[Any, ...]


class Founding:
    """The part of a voter's process before it has a voter. `say` and `said` carry tuples:
    ("who", seat), ("fresh", seat, founder), ("known", seat), ("found", founder, seats).
    """

    ASK_MS = 250.0  # between rounds of asking: some times as long as a round takes

    def __init__(self, me: str, names: Iterable[str]) -> None:
        self.me, self.names = me, sorted(names)
        self.promised = ""  # the founder's seat
        # name -> seat of those that know nothing and promised themselves here
        self.fresh: dict[str, str] = {}
        self.known = False  # whether any knows of a fleet
        self.over = False  # this process has a log, by whatever way it came to its seat: it is fresh no more
        self.seats: Seats | None = None
        self.next_at = 0.0

    @property
    def founder(self) -> bool:
        return name_of(self.me) == self.names[0]

    def time(self, now: float) -> list[Say]:
        if now < self.next_at:
            return []
        self.next_at = now + self.ASK_MS
        others = [name for name in self.names if name != name_of(self.me)]
        if self.seats is not None:  # who took part and has not heard yet
            return [Say(name, ("found", self.promised, self.seats)) for name in others]
        if self.founder and not self.known:
            self.promised = self.me
            if len(self.fresh) == len(others):
                seats = sorted([self.me, *self.fresh.values()])
                self.seats, self.next_at = Seats(tuple(seats)), 0.0
                return self.time(now)
        return [Say(name, ("who", self.me)) for name in others]

    def said(self, sender: str, told: Any) -> list[Say]:
        """Raises BadMessage on what no founding says."""
        match told:
            case ["who", str(seat)] if seat == sender:
                known = Say(name_of(sender), ("known", self.me))
                if self.seats is not None:
                    return [known, Say(name_of(sender), ("found", self.promised, self.seats))]
                if self.over:
                    return [known]
                if name_of(sender) == self.names[0]:
                    self.promised = sender  # a founder that has started anew found nobody before
                return [Say(name_of(sender), ("fresh", self.me, self.promised))]
            case ["fresh", str(seat), str(founder)] if seat == sender:
                if self.founder and founder == self.me and name_of(seat) in self.names:
                    self.fresh[name_of(seat)] = seat
            case ["known", str(seat)] if seat == sender:
                self.known = True
            case ["found", str(founder), seats]:
                made = seats_of(seats)
                fresh = self.seats is None and not self.over
                if fresh and founder == self.promised and self.me in made.voters:
                    self.seats = made
            case _:
                raise BadMessage(f"no word of a founding: {told!r:.80}")
        return []


def seated(voter: Voter, wanting: Mapping[str, str], alive: Callable[[str], bool]) -> Seats | None:
    """The next change of seats that a leader is to propose, one at a time, for those names that want one
    with the life that they have now; None where nothing is to change or not yet. `alive` says whether a
    seat's process was heard from lately: the name of one that was is taken.
    """
    seats = voter.log.seats
    if voter.role != LEADER or not voter.settled():
        return None
    for name, seat in sorted(wanting.items()):
        former = [each for each in seats.all if name_of(each) == name and each != seat]
        if any(each == voter.me or alive(each) for each in former):
            continue
        if former:
            return Seats(
                tuple(each for each in seats.voters if each not in former),
                tuple(each for each in seats.learners if each not in former),
            )
        if seat in seats.voters:
            continue
        if seat not in seats.learners:
            return seats._replace(learners=tuple(sorted((*seats.learners, seat))))
        if voter.caught_up(seat):
            learners = tuple(each for each in seats.learners if each != seat)
            return Seats(tuple(sorted((*seats.voters, seat))), learners)
    return None
