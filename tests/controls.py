"""Controls that a test drives by itself, with actions that nobody carries out."""

from typing import Any

from pumicenotch.control import Control
from pumicenotch.interface import Stage


class IgnoredActions:
    """Takes every action and forgets it; a subclass keeps those that its test is about."""

    def __getattr__(self, name: str) -> Any:
        return lambda *_, **__: None


def control(actions: IgnoredActions, stage: Stage, **more: Any) -> Control:
    """A server of two cores with that stage alone, begun at time 0."""
    return Control(
        actions,
        0.0,
        seed=1,
        stages=[stage],
        tenants=[],
        gauges=[],
        cores=2,
        crowd_multiple=5.0,
        **more,
    )
