"""Messages that the server sends, grouped by receiver; `pumicenotch.net` encodes them."""

from typing import NamedTuple

# To gateways


class RequestServed(NamedTuple):
    """Answers a request with the result of its run."""

    message_id: int
    load_hint: float | None
    result: bytes


class RequestFailed(NamedTuple):
    """Answers a request that has no result and may have run."""

    message_id: int
    load_hint: float | None


class RequestRejected(NamedTuple):
    """Answers a request that has not run; `cell_reason` tells routers why this node may not."""

    message_id: int
    load_hint: float | None
    retry_after_ms: float
    do_not_retry: bool
    cell_reason: str = ""


class HealthReply(NamedTuple):
    """Answers a health check."""

    message_id: int
    load_hint: float | None
    healthy: bool


class DrainNotice(NamedTuple):
    """Asks a gateway to send no more requests on this connection."""


# To the worker pool


class BindPool(NamedTuple):
    """Opens the protocol on a new connection, and requests all notices after `last_serial`."""

    last_serial: int


class PollPool(NamedTuple):
    """Requests the gauges; the answer proves that all earlier commands have arrived."""

    cookie: str


class StartRun(NamedTuple):
    """Starts the run of a request."""

    name: str
    class_name: str
    body: bytes


class SuspendRun(NamedTuple):
    """Suspends a run, which then uses no core until it is resumed."""

    name: str


class ResumeRun(NamedTuple):
    """Resumes a suspended run."""

    name: str


class SupplyReply(NamedTuple):
    """Resumes a blocked run with the dependency's reply."""

    name: str
    reply: bytes


class SkipDependency(NamedTuple):
    """Resumes a blocked run without its dependency; `serial` is that of the run's notice."""

    name: str
    serial: int


# To the database


class DependencyCall(NamedTuple):
    """Makes a call on behalf of a run."""

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
