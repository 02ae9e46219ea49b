"""The events that the simulator sends, as typed messages. Times are in milliseconds."""

from typing import NamedTuple

from pumicenotch.interface import IncomingRequest, Outcome


class SelectInstance(NamedTuple):
    """Selects the instance to which the following events of the batch belong."""

    instance_id: int


class Attach(NamedTuple):
    """Starts the selected instance.

    Attributes:
        seed: the seed of the instance's random numbers.
        start_values: the start values, as lines `path=value`.
    """

    seed: int
    start_values: str


class Crash(NamedTuple):
    """Removes the selected instance without a drain."""


class SubmitRequest(NamedTuple):
    """The instance read a request."""

    request: IncomingRequest


class CancelRequest(NamedTuple):
    """The caller of a request no longer waits for an answer."""

    request_id: int


class RunFinished(NamedTuple):
    """The run or the replay of a request ended."""

    request_id: int
    outcome: Outcome


class DependencyNeeded(NamedTuple):
    """A run needs a call to the dependency to continue."""

    request_id: int


class DependencyFinished(NamedTuple):
    """The dependency call of a run ended."""

    request_id: int
    outcome: Outcome


class StartDraining(NamedTuple):
    """The instance stops at the time `stops_at`."""

    stops_at: float


class Tick(NamedTuple):
    """The instance's timer expired; the gauges are in the order of its settings."""

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
