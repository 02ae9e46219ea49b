"""The messages that the server writes, by the party that reads them; `net` encodes them."""

from typing import NamedTuple

# To gateways


class RequestServed(NamedTuple):
    """The request's run has finished with this result."""

    message_id: int
    load_hint: float | None
    result: bytes


class RequestFailed(NamedTuple):
    """The request has no result; it may have run."""

    message_id: int
    load_hint: float | None


class RequestRejected(NamedTuple):
    """The request has not run. `cell_reason` tells routers why this node may not run it."""

    message_id: int
    load_hint: float | None
    retry_after_ms: float
    do_not_retry: bool
    cell_reason: str = ""


class HealthReply(NamedTuple):
    """The answer to a health check."""

    message_id: int
    load_hint: float | None
    healthy: bool


class DrainNotice(NamedTuple):
    """No more requests are wanted on this connection."""


# To the worker pool


class BindPool(NamedTuple):
    """The first message on a new connection: notices after this serial are sent again."""

    last_serial: int


class PollPool(NamedTuple):
    """Asks for the gauges; the answer proves that all commands before it have arrived."""

    cookie: str


class StartRun(NamedTuple):
    """Starts the run of a request."""

    name: str
    class_name: str
    body: bytes


class SuspendRun(NamedTuple):
    """Takes a run off its core until it is resumed."""

    name: str


class ResumeRun(NamedTuple):
    """Lets a suspended run go on."""

    name: str


class SupplyReply(NamedTuple):
    """Hands the dependency's reply to a blocked run."""

    name: str
    reply: bytes


class SkipDependency(NamedTuple):
    """Lets a blocked run, known by its notice's serial, go on without its dependency."""

    name: str
    serial: int


# To the database


class DependencyCall(NamedTuple):
    """One call on behalf of a run."""

    name: str
    timeout_ms: int
    body: bytes


# To the registry


class ReadinessReport(NamedTuple):
    """Tells the registry whether this server is ready or draining."""

    draining: bool


Answer = RequestServed | RequestFailed | RequestRejected
GatewayMessage = Answer | HealthReply | DrainNotice
PoolCommand = StartRun | SuspendRun | ResumeRun | SupplyReply | SkipDependency
PoolMessage = BindPool | PollPool | PoolCommand
Message = GatewayMessage | PoolMessage | DependencyCall | ReadinessReport
