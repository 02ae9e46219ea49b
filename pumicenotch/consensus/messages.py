"""What voters say to each other, and what the reducer asks of its carrier. All plain values."""

from typing import Any, NamedTuple


class Seats(NamedTuple):
    """Who takes part: `voters` count for majorities, `learners` only get the log. A seat is NAME/LIFE: a
    process that has lost its memory is another seat under the same name.
    """

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()

    @property
    def all(self) -> tuple[str, ...]:
        return self.voters + self.learners

    def majority(self, seats: set[str]) -> bool:
        return 2 * sum(voter in seats for voter in self.voters) > len(self.voters)


def name_of(seat: str) -> str:
    return seat.partition("/")[0]


class Entry(NamedTuple):
    term: int
    kind: str  # "do", "seats", or "noop", with which a leader's term begins
    data: Any  # of "do": whatever was proposed; of "seats": a Seats


class AskVote(NamedTuple):
    term: int
    at: int  # the last of the candidate's log, and its term
    at_term: int
    pre: bool  # whether it only asks if it would get the vote (thesis, 9.6)
    handed: bool  # leadership is handed over to it: those who hear a leader need not refuse


class Vote(NamedTuple):
    term: int
    granted: bool
    pre: bool


class Append(NamedTuple):
    term: int
    at: int  # the entry before the first of these, and its term
    at_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int  # of heartbeats: a read waits for a majority's answers to a round begun after it


class Appended(NamedTuple):
    term: int
    good: bool
    at: int  # good: all up to there is the leader's; else: try again from there
    round: int


class Install(NamedTuple):
    """A piece of a snapshot: `at` and `at_term` are of the last entry in it."""

    term: int
    at: int
    at_term: int
    seats: Seats
    offset: int
    piece: bytes
    last: bool
    round: int


class Installed(NamedTuple):
    term: int
    at: int
    offset: int  # how much of it is there
    round: int


class StandNow(NamedTuple):
    """Leadership is handed over (thesis, 3.10): the target stands for election at once."""

    term: int


Message = AskVote | Vote | Append | Appended | Install | Installed | StandNow
KINDS: dict[str, type[Any]] = {
    "ask-vote": AskVote,
    "vote": Vote,
    "append": Append,
    "appended": Appended,
    "install": Install,
    "installed": Installed,
    "stand-now": StandNow,
}
NAMES = {kind: name for name, kind in KINDS.items()}


class BadMessage(ValueError):
    """It is not of the form that voters send; the text says where."""


def plain(message: Message) -> list[Any]:
    """As lists, numbers, texts and bytes, for a codec."""
    return [NAMES[type(message)], *message]


def message_of(told: Any) -> Message:
    """The message that `plain` gave. Raises BadMessage on whatever a voter does not send."""
    try:
        kind = KINDS[told[0]]
        values = kind._make(told[1:])
        for name, value in zip(kind._fields, values, strict=True):
            wanted = kind.__annotations__[name]
            if wanted in (int, bool, bytes) and type(value) is not wanted:
                raise BadMessage(
                    f"{told[0]}.{name}: {wanted.__name__} is wanted, not {value!r:.40}"
                )
            if wanted is int and value < 0:
                raise BadMessage(f"{told[0]}.{name}: {value} is below 0")
        if kind is Append:
            values = values._replace(entries=tuple(entry_of(each) for each in values.entries))
        if kind is Install:
            values = values._replace(seats=seats_of(values.seats))
        made: Message = values
        return made
    except (KeyError, IndexError, TypeError, AttributeError) as error:
        raise BadMessage(f"no message of voters: {type(error).__name__} {error}"[:200]) from None


def entry_of(told: Any) -> Entry:
    term, kind, data = told
    if type(term) is not int or kind not in ("do", "seats", "noop"):
        raise BadMessage(f"append.entries: no entry: {told!r:.60}")
    return Entry(term, kind, seats_of(data) if kind == "seats" else data)


def seats_of(told: Any) -> Seats:
    voters, learners = told
    for each in (*voters, *learners):
        if not isinstance(each, str) or "/" not in each:
            raise BadMessage(f"seats: {each!r:.60} is no NAME/LIFE")
    return Seats(tuple(voters), tuple(learners))


class Send(NamedTuple):
    to: str
    message: Message


class Store(NamedTuple):
    """To be kept before the input `stored` with this number. Nothing that rests on it is sent before."""

    serial: int
    term: int
    voted: str
    since: int  # entries from this index on are replaced by these
    entries: tuple[Entry, ...]


class Commit(NamedTuple):
    """Agreed: it comes once, in order, at every voter and learner."""

    at: int
    entry: Entry


class Restore(NamedTuple):
    """The state as of that index, in the place of every Commit up to it."""

    at: int
    state: bytes


class Readable(NamedTuple):
    """What is applied up to the index is no older than the read that was asked for."""

    key: Any
    at: int


class Unreadable(NamedTuple):
    key: Any


class Led(NamedTuple):
    """Who leads as far as this voter knows; "": nobody."""

    leader: str
    term: int


class Wake(NamedTuple):
    at: float


Effect = Send | Store | Commit | Restore | Readable | Unreadable | Led | Wake
