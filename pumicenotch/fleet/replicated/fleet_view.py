"""What releases know and ask of the fleet's members and drains."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.replicated.fields import Said
from pumicenotch.fleet.replicated.records import Permit, Request


class FleetView(Protocol):
    """The narrow view of the agreed state that its releases have."""

    budgets: tuple[Budget, ...]

    @property
    def index(self) -> int:
        """Of the entry that is being applied."""

    @property
    def members(self) -> Mapping[str, Member]: ...
    @property
    def permits(self) -> Mapping[str, Permit]: ...
    @property
    def queue(self) -> Sequence[Request]: ...

    def halted(self) -> str:
        """Why the whole fleet is halted; "" if it is not."""

    def is_out(self, member: Member) -> bool: ...

    def spare_voters(self) -> int:
        """How many voters may be out while a majority stays."""

    def ask_for(self, one: str, why: str, by: str) -> None:
        """Queues a drain of that member."""

    def withdraw(self, request: Request) -> None:
        """Takes it out of the queue."""

    def free(self, one: str, why: str) -> None:
        """Takes that member's permit back."""

    def recount(self) -> None:
        """Others are out than before."""

    def note(self, what: str) -> None:
        """A line for the fleet's log."""

    def answered(self, request: str, said: Said) -> Said:
        """Remembers what an operator's request came to."""
