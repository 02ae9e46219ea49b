"""The settings of the server's core."""

from typing import NamedTuple

from pumicenotch.control import ControllerSettings


class ServerSettings(NamedTuple):
    """The start values that the core needs, except class pools and cells."""

    controller: ControllerSettings
    class_indexes: dict[str, int]  # indexes into the controller's list of classes, by name
    tenant_indexes: dict[str, int]  # indexes into the controller's list of tenants, by name
    seed: int  # seeds all random numbers of the core
    shutdown_ms: float  # time from the request to shut down until the process is killed
    has_database: bool
    memory_mb: float
    max_descriptors: int
