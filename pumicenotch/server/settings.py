"""What a server is started with."""

from typing import NamedTuple

from pumicenotch.control import ControllerSettings


class ServerSettings(NamedTuple):
    """The start values that the core needs, beside what a file of ours adds."""

    controller: ControllerSettings
    class_indexes: dict[str, int]  # where each request class stands in the controller's list
    tenant_indexes: dict[str, int]
    seed: int
    shutdown_ms: float  # from the request to shut down until the process is killed
    has_database: bool
    memory_mb: float
    max_descriptors: int
