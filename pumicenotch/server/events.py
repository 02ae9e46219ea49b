"""Events: the inputs of the core from the process, its connections, backends and timer."""

from collections.abc import Callable, Mapping
from enum import Enum, auto
from typing import TYPE_CHECKING, Any, NamedTuple

from pumicenotch.interface import Outcome, Pools
from pumicenotch.server.core_share import BusyTime

if TYPE_CHECKING:  # a server without cells does not import the package
    from pumicenotch.cells.map import CellMap


class FailureReach(Enum):
    """Whether data may have reached the peer before the connection failed."""

    REFUSED = auto()  # no connection was made, so no data has arrived
    BROKEN = auto()  # data already written may have arrived


class ConnectionFailure(NamedTuple):
    """The reason why a connection ended or could not be opened."""

    reach: FailureReach
    text: str


# Process


class Started(NamedTuple):
    """The sockets are ready. Always the first event."""


class TimerFired(NamedTuple):
    """The delay of the last `Wake` has passed."""


class ShutdownRequested(NamedTuple):
    """The platform asked the process to drain and exit, `waited_ms` before this event."""

    waited_ms: float = 0.0


class BusyTimeMeasured(NamedTuple):
    """The process had work throughout a time, and got its core for a part of it."""

    busy: BusyTime


class ListenerClosed(NamedTuple):
    """The listener has closed: gateways that connect from now on are refused."""


class CountersRequested(NamedTuple):
    """An operator requests that the counters be logged."""


class ProblemFound(NamedTuple):
    """The network layer found a problem: `counter` counts it, `text` describes it for the log."""

    counter: str
    text: str = ""


class DescriptorsExhausted(NamedTuple):
    """The process has run out of file descriptors."""


class AddressesChanged(NamedTuple):
    """A reload changed addresses, by party; `not_applied` names settings that need a restart."""

    addresses: Mapping[str, tuple[str, int]]
    not_applied: str


class PoolsReplaced(NamedTuple):
    """A reload changed the class pools; `make_pools` takes the current time, None is no pools."""

    make_pools: Callable[[float], Pools] | None
    text: str


class CellMapReplaced(NamedTuple):
    """The node's configuration file has a newer cell map."""

    cells: "CellMap"
    text: str


# Gateway connections and requests


class ConnectionOpened(NamedTuple):
    """A gateway opened a connection."""

    connection_id: int


class ConnectionEnded(NamedTuple):
    """The gateway closed its sending side of the connection, and still reads."""

    connection_id: int


class ConnectionReset(NamedTuple):
    """The connection was closed or lost in both directions."""

    connection_id: int


class ProtocolViolated(NamedTuple):
    """The gateway violated the protocol: `counter` counts this, `text` describes it for the log."""

    connection_id: int
    counter: str
    text: str


class ReadingFinished(NamedTuple):
    """Answers `FinishReading`: everything received on the connection has been delivered."""

    connection_id: int


class RequestReceived(NamedTuple):
    """A gateway sent a request.

    `clock_offset_ms` is the Unix time minus the core's time. The Unix clock is read first, so that
    a stall between the two readings makes a request look older than it is, never younger.
    """

    connection_id: int
    message_id: int
    clock_offset_ms: float
    class_name: str
    fields: Mapping[str, str]
    body: Any


class RequestCancelled(NamedTuple):
    """The gateway cancelled a request and expects no answer."""

    connection_id: int
    message_id: int


class HealthCheckReceived(NamedTuple):
    """A gateway sent a health check."""

    connection_id: int
    message_id: int


# Dialled connections


class ConnectionUp(NamedTuple):
    """A dialled connection is open."""

    connection: str


class ConnectionDown(NamedTuple):
    """A dialled connection has ended or could not be opened."""

    connection: str
    failure: ConnectionFailure


class ReportFinished(NamedTuple):
    """The last report to the registry was accepted, or failed with `failure`."""

    failure: ConnectionFailure | None


# Worker pool


class PoolBound(NamedTuple):
    """The worker pool answered `BindPool`; it is `starting`, or has run for `uptime_ms`."""

    starting: bool
    uptime_ms: float


class GaugesReported(NamedTuple):
    """The worker pool answered the poll with this cookie."""

    cookie: str
    gauges: tuple[float, ...]


class RunBlocked(NamedTuple):
    """A run has left its core and waits for a dependency call; `body` is the call's payload."""

    serial: int
    name: str
    body: bytes


class RunFinished(NamedTuple):
    """A run has ended; `outcome` is None if the protocol does not define the reported one."""

    serial: int
    name: str
    outcome: Outcome | None
    result: bytes


class NoticeSkipped(NamedTuple):
    """A notice that concerns no run; its serial is recorded."""

    serial: int


class CommandUnknown(NamedTuple):
    """The pool ignored a command for a run that it does not know."""

    command: str
    name: str
    starts_run: bool


# Database


class DependencyReplied(NamedTuple):
    """The database replied to the call on a connection."""

    connection: str
    name: str
    outcome: Outcome
    reply: bytes
