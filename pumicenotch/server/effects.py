"""Effects: what a core asks the network layer to do, carried out by `net.hub.Hub`."""

from typing import NamedTuple

# A gateway connection by its number, any other connection by its name.
ConnectionKey = int | str


class Write(NamedTuple):
    """Sends a message of the server or the router; dropped if the connection is closed."""

    connection: ConnectionKey
    message: object


class FinishReading(NamedTuple):
    """Asks for a `ReadingFinished` once everything received on the connection has been delivered.

    Closing the connection before would lose a request that has already arrived.
    """

    connection: int


class Close(NamedTuple):
    """Closes a connection, a current dial, or the listener; messages already written are sent."""

    connection: ConnectionKey


class ChangeAddress(NamedTuple):
    """Changes the address at which a party is dialled or sent reports."""

    party: str
    address: tuple[str, int]


class Dial(NamedTuple):
    """Opens a connection after a delay; `ConnectionUp` or `ConnectionDown` follows."""

    connection: str
    delay_ms: float


class Wake(NamedTuple):
    """Sets the core's only timer; `TimerFired` follows after the delay."""

    delay_ms: float


class Log(NamedTuple):
    """Logs a line."""

    text: str


class MeasureBusyTime(NamedTuple):
    """Starts to measure the process's share of its core; `BusyTimeMeasured` follows repeatedly."""


class Exit(NamedTuple):
    """Ends the process; the last messages are sent within `remaining_ms`."""

    remaining_ms: float


Effect = Write | FinishReading | Close | ChangeAddress | Dial | Wake | Log | MeasureBusyTime | Exit
