"""The inputs of the core: what happens to the program, its connections and its requests."""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import TYPE_CHECKING, Any, NamedTuple

from pumicenotch.interface import Outcome, Pools

if TYPE_CHECKING:  # nothing of cells is loaded where there are none
    from pumicenotch.cells.map import CellMap


class FailureReach(Enum):
    """How far an attempt had come when it failed."""

    REFUSED = auto()  # no connection was made: nothing of it has arrived
    BROKEN = auto()  # anything written may have arrived


class ConnectionFailure(NamedTuple):
    """Why a connection ended or could not be made."""

    reach: FailureReach
    text: str


# The program


class Started(NamedTuple):
    """The sockets are ready; always the first event."""


class TimerFired(NamedTuple):
    """The time of the last `Wake` has come."""


class ShutdownRequested(NamedTuple):
    """The platform asks the program to drain and exit; it asked so long before the event."""

    waited_ms: float = 0.0


class CountersRequested(NamedTuple):
    """An operator asks for the counters in the log."""


class ProblemFound(NamedTuple):
    """Something went wrong outside the core: `counter` counts it, `text` describes it."""

    counter: str
    text: str = ""


class DescriptorsExhausted(NamedTuple):
    """The process has run out of file descriptors."""


class AddressesChanged(NamedTuple):
    """A reload has moved these parties; `not_applied` names settings that need a restart."""

    addresses: Mapping[str, tuple[str, int]]
    not_applied: str


class PoolsReplaced(NamedTuple):
    """A reload has other class pools, made for the time at which they begin, or none."""

    make_pools: Callable[[float], Pools] | None
    text: str


class CellMapReplaced(NamedTuple):
    """A newer cell map is in this node's file."""

    cells: "CellMap"
    text: str


# Gateways


class ConnectionOpened(NamedTuple):
    """A gateway has connected."""

    connection_id: int


class ConnectionEnded(NamedTuple):
    """The gateway writes no more on this connection, but still reads."""

    connection_id: int


class ConnectionReset(NamedTuple):
    """The connection is gone in both directions."""

    connection_id: int


class ProtocolViolated(NamedTuple):
    """What the gateway sends is no message: counted as `counter`, described by `text`."""

    connection_id: int
    counter: str
    text: str


class ReadingFinished(NamedTuple):
    """Answers `FinishReading`: everything received on the connection has been delivered."""

    connection_id: int


class RequestReceived(NamedTuple):
    """A gateway sends a request.

    `clock_offset_ms` is what the Unix clock is ahead of the core's time, read before it: a stall
    between the two readings makes a request look older than it is, never younger.
    """

    connection_id: int
    message_id: int
    clock_offset_ms: float
    class_name: str
    fields: Mapping[str, str]
    body: Any


class RequestCancelled(NamedTuple):
    """The gateway no longer wants an answer."""

    connection_id: int
    message_id: int


class HealthCheckReceived(NamedTuple):
    """A gateway asks whether this server is healthy."""

    connection_id: int
    message_id: int


# Connections that this side dials


class ConnectionUp(NamedTuple):
    """A dialled connection is open."""

    connection: str


class ConnectionDown(NamedTuple):
    """A dialled connection has ended, or could not be made."""

    connection: str
    failure: ConnectionFailure


class ReportFinished(NamedTuple):
    """The registry has taken the last report, or it failed."""

    failure: ConnectionFailure | None


# The worker pool


class PoolBound(NamedTuple):
    """The worker pool accepts commands; it is `starting`, or has been up for `uptime_ms`."""

    starting: bool
    uptime_ms: float


class GaugesReported(NamedTuple):
    """Answers the poll of that cookie."""

    cookie: str
    gauges: tuple[float, ...]


class RunBlocked(NamedTuple):
    """A run has left its core and waits for a dependency; `body` is its question."""

    serial: int
    name: str
    body: bytes


class RunFinished(NamedTuple):
    """A run has ended; `outcome` is None for an end that the protocol does not have."""

    serial: int
    name: str
    outcome: Outcome | None
    result: bytes


class NoticeSkipped(NamedTuple):
    """A notice that says nothing of a run; its serial still counts."""

    serial: int


class CommandUnknown(NamedTuple):
    """The pool has not carried out a command about a run that it does not know."""

    command: str
    name: str
    starts_run: bool


# The database


class DependencyReplied(NamedTuple):
    """The database's reply to the call on that connection."""

    connection: str
    name: str
    outcome: Outcome
    reply: bytes
