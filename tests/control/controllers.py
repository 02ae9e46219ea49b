"""Controllers that a test drives directly, with actions that are not carried out."""

from typing import Any

from pumicenotch.control import AdmissionController, ControllerSettings
from pumicenotch.interface import RequestClass


class IgnoredActions:
    """Ignores every action; a subclass records the actions that its test checks."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def make_controller(
    actions: IgnoredActions, request_class: RequestClass, **settings: Any
) -> AdmissionController:
    """Returns a controller for two cores and one request class, started at time 0."""
    return AdmissionController(
        actions,
        0.0,
        ControllerSettings(
            request_classes=[request_class],
            tenants=[],
            gauges=[],
            cores=2,
            crash_load_factor=5.0,
            **settings,
        ),
        seed=1,
    )
