"""What members say to each other, and what the reducer asks of its carrier."""

from enum import IntEnum
from typing import Any, NamedTuple

from pumicenotch.errors import InputError


class Standing(IntEnum):
    """What a member says of itself."""

    JOINING = 0
    SERVING = 1
    DRAINING = 2
    OUT = 3  # it has left, and will not answer


class Opinion(IntEnum):
    """What others think of it. Of two about one incarnation the higher counts."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


class Who(NamedTuple):
    """A member: `life` is of its process, drawn at its start; a higher `began` is the later process."""

    name: str
    address: str
    life: str
    began: int  # Unix ms at its start: orders the lives of one name, and decides nothing else
    zone: str
    region: str


class News(NamedTuple):
    """One member as somebody knows it."""

    who: Who
    incarnation: int
    standing: Standing
    opinion: Opinion
    by: str  # who first had the opinion: suspicion counts its confirmations by different ones


class Ping(NamedTuple):
    number: int
    news: tuple[News, ...]
    extra: tuple[Any, ...]  # what other parts hand from member to member: small and bounded


class Ack(NamedTuple):
    number: int
    news: tuple[News, ...]
    extra: tuple[Any, ...]


class Nack(NamedTuple):
    """The asked helper has no answer yet: its asker is itself in touch (Lifeguard)."""

    number: int


class Help(NamedTuple):
    """Please ping that member for me."""

    number: int
    target: str


class Whole(NamedTuple):
    """A page of all that is known: on joining, and now and then."""

    news: tuple[News, ...]
    reply: bool  # whether the other's pages are wanted


Message = Ping | Ack | Nack | Help | Whole
KINDS: dict[str, type[Any]] = {"ping": Ping, "ack": Ack, "nack": Nack, "help": Help, "whole": Whole}
NAMES = {kind: name for name, kind in KINDS.items()}
NEWS_MOST = 64  # in one message


class MessageDecodeError(InputError):
    """It is not of the form that members send."""


def plain(message: Message) -> list[Any]:
    return [NAMES[type(message)], *message]


def news_of(told: Any) -> tuple[News, ...]:
    if len(told) > NEWS_MOST:
        raise MessageDecodeError(f"{len(told)} news in one message: {NEWS_MOST} are allowed")
    found = []
    for who, incarnation, standing, opinion, by in told:
        made = Who._make(who)
        texts = (made.name, made.address, made.life, made.zone, made.region, by)
        if not all(isinstance(text, str) and len(text) <= 64 for text in texts) or not made.name:
            raise MessageDecodeError(f"news of {made!r:.80}: texts of up to 64 letters are wanted")
        if type(incarnation) is not int or type(made.began) is not int or incarnation < 0:
            raise MessageDecodeError(f"news of {made.name}: whole numbers are wanted")
        found.append(News(made, incarnation, Standing(standing), Opinion(opinion), by))
    return tuple(found)


def message_of(told: Any) -> Message:
    """Raises MessageDecodeError."""
    try:
        kind = KINDS[told[0]]
        made = kind._make(told[1:])
        if kind is not Whole and type(made.number) is not int:
            raise MessageDecodeError(f"{told[0]}.number: a whole number is wanted")
        if kind is Help and not isinstance(made.target, str):
            raise MessageDecodeError("help.target: a name is wanted")
        if "news" in kind._fields:
            made = made._replace(news=news_of(made.news))
        if "extra" in kind._fields:
            made = made._replace(extra=tuple(made.extra))
        message: Message = made
        return message
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
        if isinstance(error, MessageDecodeError):
            raise
        raise MessageDecodeError(
            f"no message of members: {type(error).__name__} {error}"[:200]
        ) from None


class Send(NamedTuple):
    address: str  # not a name: a seed's is not known before it has answered
    message: Message


class Changed(NamedTuple):
    """What is thought of a member is another now."""

    news: News


class Refused(NamedTuple):
    """A later process goes by this one's name."""

    other: Who


class Wake(NamedTuple):
    at: float


Effect = Send | Changed | Refused | Wake
