"""The interface through which releases read and change the fleet's members and drains."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from pumicenotch.fleet.drains.budgets import Budget, Member
from pumicenotch.fleet.replicated.records import ApplyResult, DrainPermit, QueuedDrain


class FleetView(Protocol):
    """The part of the replicated state that releases depend on."""

    budgets: tuple[Budget, ...]

    @property
    def log_index(self) -> int:
        """The log index of the entry being applied."""

    @property
    def members(self) -> Mapping[str, Member]:
        """All members, by name."""

    @property
    def permits(self) -> Mapping[str, DrainPermit]:
        """The drain permits in force, by member name."""

    @property
    def queue(self) -> Sequence[QueuedDrain]:
        """The drains that wait for a permit, oldest request first."""

    def halt_reason(self) -> str:
        """Returns why the whole fleet is halted; "" if it is not."""

    def is_unavailable(self, member: Member) -> bool:
        """Returns whether the member counts as unavailable."""

    def max_unavailable_voters(self) -> int:
        """Returns how many voters may be unavailable while a majority remains."""

    def enqueue_drain(self, name: str, reason: str, requested_by: str) -> None:
        """Queues a drain of the named member."""

    def dequeue_drain(self, request: QueuedDrain) -> None:
        """Removes a drain from the queue."""

    def end_permit(self, name: str, reason: str) -> None:
        """Ends the permit of the named member."""

    def invalidate_counts(self) -> None:
        """Discards the cached outage counts, after a change of which members are unavailable."""

    def record_event(self, text: str) -> None:
        """Adds a line to the fleet's event history."""

    def record_answer(self, request_id: str, result: ApplyResult) -> ApplyResult:
        """Records the answer to an operator's request for its retries, and returns the answer."""
