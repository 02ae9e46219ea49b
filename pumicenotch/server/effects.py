"""What the core asks of the sockets around it."""

from typing import NamedTuple

ConnectionKey = int | str  # a gateway's connection by its number, any other by its name


class Write(NamedTuple):
    """Sends one of `server.messages`, or of the router's own, if that connection is there."""

    connection: ConnectionKey
    message: object


class FinishReading(NamedTuple):
    """Asks for a `ReadingFinished` once everything received on the connection has been delivered.

    A connection that is closed earlier would lose a request that has already arrived.
    """

    connection: int


class Close(NamedTuple):
    """Closes a connection, a dial on its way, or the listener; what is written already is sent."""

    connection: ConnectionKey


class ChangeAddress(NamedTuple):
    """From now on this party is dialled, or reported to, at another address."""

    party: str
    address: tuple[str, int]


class Dial(NamedTuple):
    """Opens a connection after a delay; the answer is `ConnectionUp` or `ConnectionDown`."""

    connection: str
    delay_ms: float


class Wake(NamedTuple):
    """Sets the one timer: `TimerFired` follows after this time."""

    delay_ms: float


class Log(NamedTuple):
    """Writes a line to the log."""

    text: str


class Exit(NamedTuple):
    """The core has written its last message; this much time is left to send it."""

    remaining_ms: float


Effect = Write | FinishReading | Close | ChangeAddress | Dial | Wake | Log | Exit
