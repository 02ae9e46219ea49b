"""One attempt at a task: clients make it, carriers send it, the ledger judges it."""

from typing import Any

from pumicenotch.lab.world import Arrival


class Attempt:
    """One attempt at a task, as it goes over the wire."""

    __slots__ = ("again", "number", "rid", "sent", "server", "settled", "task", "wire")

    def __init__(
        self, rid: str, task: Arrival, server: int, number: int, again: bool, sent: float
    ) -> None:
        self.rid, self.task, self.server, self.number = rid, task, server, number
        self.again, self.sent, self.settled = again, sent, False
        self.wire: Any = None  # where the carrier has it
