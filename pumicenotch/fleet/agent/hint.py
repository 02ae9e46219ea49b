"""What the leader tells an agent of its node, in answer to each report.

It is a hint: no step rests on it alone. The keys of its wire form never change.
"""

from typing import Any, NamedTuple

from pumicenotch.fleet.releases.release import NO_STEP, Step


class AgentHint(NamedTuple):
    """What is agreed of a node."""

    is_member: bool  # the fleet counts a member under the node's name
    process_id: str  # of the server, as the fleet counts it
    status: str
    permit_epoch: int  # 0: the server holds no permit
    permit_started: bool
    next_step: Step
    wanted_versions: tuple[str, ...]  # to store on the disk
    halt_reason: str
    report_interval_ms: float

    def to_wire(self) -> dict[str, Any]:
        """Returns the answer to a report."""
        return {
            "member": self.is_member,
            "life": self.process_id,
            "standing": self.status,
            "permit": self.permit_epoch,
            "begun": self.permit_started,
            "due": self.next_step,
            "hold": list(self.wanted_versions),
            "halted": self.halt_reason,
            "again_ms": self.report_interval_ms,
        }


def read_agent_hint(value: dict[str, Any]) -> AgentHint:
    """Returns the hint in an answer; what is missing or of another type counts as not said."""
    epoch = value.get("permit")
    interval_ms = value.get("again_ms")
    return AgentHint(
        is_member=bool(value.get("member")),
        process_id=str(value.get("life", "")),
        status=str(value.get("standing", "")),
        permit_epoch=epoch if type(epoch) is int else 0,
        permit_started=bool(value.get("begun")),
        next_step=_read_step(value.get("due")),
        wanted_versions=tuple(map(str, value.get("hold") or ())),
        halt_reason=str(value.get("halted", "")),
        report_interval_ms=interval_ms if isinstance(interval_ms, int | float) else 0.0,
    )


def _read_step(value: Any) -> Step:
    if isinstance(value, list | tuple) and len(value) == len(Step._fields):
        slot, version = value
        return Step(str(slot), str(version))
    return NO_STEP
