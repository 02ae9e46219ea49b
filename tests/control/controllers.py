"""Controllers that a test drives by itself, with actions that nobody carries out."""

from typing import Any

from pumicenotch.control import AdmissionController, ControllerSettings
from pumicenotch.interface import RequestClass


class IgnoredActions:
    """Takes every action and forgets it; a subclass keeps those that its test is about."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def make_controller(
    actions: IgnoredActions, stage: RequestClass, **more: Any
) -> AdmissionController:
    """A server of two cores with that stage alone, begun at time 0."""
    return AdmissionController(
        actions,
        0.0,
        ControllerSettings(
            request_classes=[stage],
            tenants=[],
            gauges=[],
            cores=2,
            crash_load_factor=5.0,
            **more,
        ),
        seed=1,
    )
