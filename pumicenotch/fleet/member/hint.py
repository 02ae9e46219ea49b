"""The leader's answer to a member's heartbeat: the agreed state of the member's process.

The answer is a hint, because its sender may have lost the leadership. Each step that follows from a
hint is an entry of the log of its own. The keys of the wire form never change.
"""

from typing import Any, NamedTuple

MAX_HINT_TEXT_LENGTH = 1000


class MemberHint(NamedTuple):
    """The agreed state of a member's process."""

    is_known: bool  # whether the fleet counts this process as the member of its name
    status: str
    permit_epoch: int  # 0: the process has no permit
    wait_reason: str  # why the process's queued drain waits; "" if none is queued
    permit_started: bool
    halt_reason: str
    heartbeat_interval_ms: float
    wants_counts: bool  # whether the leader wants reports of request counts

    def to_wire(self) -> dict[str, Any]:
        """Returns the answer to a heartbeat."""
        return {
            "known": self.is_known,
            "standing": self.status,
            "permit": self.permit_epoch,
            "waits": self.wait_reason,
            "begun": self.permit_started,
            "halted": self.halt_reason,
            "again_ms": self.heartbeat_interval_ms,
            "counts": self.wants_counts,
        }


def read_member_hint(value: dict[str, Any]) -> MemberHint:
    """Returns the hint in an answer. A missing or mistyped field gets its default."""
    epoch = value.get("permit")
    interval_ms = value.get("again_ms")
    return MemberHint(
        is_known=bool(value.get("known")),
        status=str(value.get("standing")),
        permit_epoch=epoch if type(epoch) is int else 0,
        wait_reason=str(value.get("waits", ""))[:MAX_HINT_TEXT_LENGTH],
        permit_started=bool(value.get("begun")),
        halt_reason=str(value.get("halted", ""))[:MAX_HINT_TEXT_LENGTH],
        heartbeat_interval_ms=interval_ms if isinstance(interval_ms, int | float) else 0.0,
        wants_counts=bool(value.get("counts")),
    )
