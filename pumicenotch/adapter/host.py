"""The instances that the simulator runs: each has a controller of its own and shares no state."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import NamedTuple

from pumicenotch import start
from pumicenotch.adapter.codec import (
    FRAME_LENGTH,
    Encoder,
    FrameDecodeError,
    Reply,
    decode_events,
)
from pumicenotch.adapter.messages import (
    Attach,
    CancelRequest,
    Crash,
    DependencyFinished,
    DependencyNeeded,
    Event,
    InstanceEvent,
    RunFinished,
    SelectInstance,
    StartDraining,
    SubmitRequest,
    Tick,
)
from pumicenotch.control import AdmissionController


class Instance(NamedTuple):
    """An instance of the simulator.

    Attributes:
        controller: the admission controller of the instance.
        encoder: writes the controller's actions to the reply.
    """

    controller: AdmissionController
    encoder: Encoder


class Host:
    """Owns all instances and dispatches the events of batches to them.

    Attributes:
        reply: the reply to the current batch.
        instances: the instances, by their numbers in the protocol.
    """

    def __init__(self) -> None:
        self.reply = Reply()
        self.instances: dict[int, Instance] = {}

    def answer(self, clock_us: int, frame: bytes) -> bytes:
        """Returns the encoded reply to a batch.

        Args:
            clock_us: the simulator's clock at the batch, in microseconds.
            frame: the events of the batch.

        Raises:
            FrameDecodeError: The batch is invalid, or names an unknown instance.
            InvalidStartValueError: The start values of an instance are invalid.
        """
        now = clock_us / 1000.0
        self.reply.clear()
        instance_id: int | None = None
        for event in decode_events(frame):
            if isinstance(event, SelectInstance):
                instance_id = event.instance_id
            elif instance_id is None:
                raise FrameDecodeError(f"event {_event_name(event)} before an instance is selected")
            else:
                self._handle(now, instance_id, event)
        return FRAME_LENGTH.pack(len(self.reply.records)) + self.reply.records

    def _handle(self, now: float, instance_id: int, event: Event) -> None:
        if isinstance(event, Attach):
            self._attach(now, instance_id, event)
        elif isinstance(event, Crash):
            self.instances.pop(instance_id, None)
        elif isinstance(event, SelectInstance) or instance_id not in self.instances:
            raise FrameDecodeError(f"event {_event_name(event)} for unknown instance {instance_id}")
        else:
            instance = self.instances[instance_id]
            with reporting_faults(instance.encoder):
                _dispatch(instance.controller, now, event)

    def _attach(self, now: float, instance_id: int, event: Attach) -> None:
        encoder = Encoder(instance_id, self.reply)
        settings = start.controller_settings(start.parse_lines(event.start_values))
        with reporting_faults(encoder):
            controller = AdmissionController(encoder, now, settings, event.seed)
            self.instances[instance_id] = Instance(controller, encoder)


def _dispatch(controller: AdmissionController, now: float, event: InstanceEvent) -> None:
    match event:
        case SubmitRequest(request):
            controller.on_request(now, request)
        case Tick(gauges):
            controller.on_tick(now, gauges)
        case RunFinished(request_id, outcome):
            controller.on_run_finished(now, request_id, outcome)
        case DependencyNeeded(request_id):
            controller.on_dependency_needed(now, request_id)
        case DependencyFinished(request_id, outcome):
            controller.on_dependency_finished(now, request_id, outcome)
        case CancelRequest(request_id):
            controller.on_cancel(now, request_id)
        case StartDraining(stops_at):
            controller.start_draining(now, stops_at)


def _event_name(event: Event) -> str:
    return type(event).__name__


@contextmanager
def reporting_faults(encoder: Encoder) -> Iterator[None]:
    """Writes an exception of a controller as a fault record; the other instances continue."""
    try:
        yield
    except Exception as error:  # noqa: BLE001 (the simulator receives any exception)
        encoder.fault(f"{type(error).__name__}: {error}")
