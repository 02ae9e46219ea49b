"""The events that the simulator sends, as typed messages. Times are milliseconds."""

from typing import NamedTuple

from pumicenotch.interface import IncomingRequest, Outcome


class SelectInstance(NamedTuple):
    """The events that follow in this batch are of this instance."""

    instance_id: int


class Attach(NamedTuple):
    """The instance begins, with start values as lines `path=value`."""

    seed: int
    start_values: str


class Crash(NamedTuple):
    """The instance is gone at once."""


class SubmitRequest(NamedTuple):
    """A request was read."""

    request: IncomingRequest


class CancelRequest(NamedTuple):
    """The caller of a request waits no more."""

    request_id: int


class RunFinished(NamedTuple):
    """A run, or a replay, ended."""

    request_id: int
    outcome: Outcome


class DependencyNeeded(NamedTuple):
    """A run waits for its call to the dependency."""

    request_id: int


class DependencyFinished(NamedTuple):
    """A call to the dependency ended."""

    request_id: int
    outcome: Outcome


class StartDraining(NamedTuple):
    """The instance is to stop at that time."""

    stops_at: float


class Tick(NamedTuple):
    """The instance's timer rang; the gauges are in the sequence that its settings name."""

    gauges: tuple[float, ...]


InstanceEvent = (
    SubmitRequest
    | CancelRequest
    | RunFinished
    | DependencyNeeded
    | DependencyFinished
    | StartDraining
    | Tick
)
Event = SelectInstance | Attach | Crash | InstanceEvent
