"""Who sent a message to this process."""

from typing import NamedTuple


class Sender(NamedTuple):
    """The process that sent a message; an operator's command has no name.

    Attributes:
        name: its name in the fleet.
        process_id: drawn at its start, so that a restarted process is told from the one before.
        address: HOST:PORT of its listener among instances.
    """

    name: str
    process_id: str
    address: str
