"""What the core asks of the sockets round it, and how an attempt that failed is told to it."""

from enum import Enum, auto
from typing import Any, NamedTuple

Link = int | str  # a gateway's connection by its number, any other by its name


class Write(NamedTuple):
    link: Link
    message: tuple[Any, ...]  # the kind, then the fields that its frame takes


class ReadOut(NamedTuple):
    """The input `read_out` is to follow as soon as all that has come on this connection is read: closed
    before, it would cut a task that is there.
    """

    link: int


class Close(NamedTuple):
    link: Link


class Move(NamedTuple):
    """What is dialled or reported to from now on goes to this address."""

    party: str
    address: tuple[str, int]


class Dial(NamedTuple):
    link: str
    after_ms: float


class Wake(NamedTuple):
    after_ms: float


class Log(NamedTuple):
    text: str


class Exit(NamedTuple):
    """The core has said its last word; so much time is left for it to be written."""

    left_ms: float


Effect = Write | ReadOut | Close | Move | Dial | Wake | Log | Exit


class Reach(Enum):
    """How far an attempt had come when it failed."""

    REFUSED = auto()  # no connection was made: nothing of it has arrived
    BROKEN = auto()  # anything written may have arrived


class Fault(NamedTuple):
    reach: Reach
    text: str
