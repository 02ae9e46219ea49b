"""The leader's answer to an agent's report: the agreed state of the agent's node.

The answer is a hint, and an agent takes no step because of a hint alone. The keys of the wire form
never change.
"""

from typing import Any, NamedTuple

from pumicenotch.fleet.releases.release import NO_STEP, Step


class AgentHint(NamedTuple):
    """The agreed state of a node."""

    is_member: bool  # whether the fleet has a member of the node's name
    process_id: str  # of the server's process, as the fleet knows it
    status: str
    permit_epoch: int  # 0: the server has no permit
    permit_started: bool
    next_step: Step
    wanted_versions: tuple[str, ...]  # the versions that the agent is to store on the disk
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
    """Returns the hint in an answer. A missing or mistyped field gets its default."""
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
