"""The identity of a process that sends messages to this one."""

from typing import NamedTuple


class Sender(NamedTuple):
    """The process that sent a message.

    Attributes:
        name: The name of the process in the fleet; empty for an operator's command.
        process_id: Drawn at the start of the process, to distinguish it from its predecessor with
            the same name.
        address: HOST:PORT on which the process accepts connections of other instances.
    """

    name: str
    process_id: str
    address: str
