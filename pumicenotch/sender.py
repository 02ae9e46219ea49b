"""Who sent a message to this process."""

from typing import NamedTuple


class Sender(NamedTuple):
    """Whose message it is. `life` is of its process, drawn at its start; an operator has no name."""

    name: str
    life: str
    address: str
