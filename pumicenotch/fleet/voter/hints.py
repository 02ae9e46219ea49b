"""Hints: the leader's answers to heartbeats of members and to reports of agents."""

from pumicenotch.fleet.agent.hint import AgentHint
from pumicenotch.fleet.member.hint import MemberHint
from pumicenotch.fleet.releases.release import NO_STEP
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.fleet.voter.reports import Reports


def member_hint(reports: Reports, name: str, process_id: str, interval_ms: float) -> MemberHint:
    """Returns the agreed state of a member's process."""
    state = reports.state
    member = state.members.get(name)
    permit = state.permits.get(name)
    has_permit = permit is not None and permit.process_id == process_id
    return MemberHint(
        is_known=member is not None and member.process_id == process_id,
        status=member.status if member is not None else "",
        permit_epoch=permit.epoch if permit is not None and has_permit else 0,
        wait_reason=reports.describe_wait(name) if name in state.wait_reasons else "",
        permit_started=permit is not None and has_permit and permit.started,
        halt_reason=state.halt_reason(),
        heartbeat_interval_ms=interval_ms,
        wants_counts=bool(state.releases.nodes),
    )


def agent_hint(state: FleetState, name: str, interval_ms: float) -> AgentHint:
    """Returns what an agent has to do with its node, and which versions it has to store."""
    releases = state.releases
    node = releases.nodes.get(name)
    member = state.members.get(name)
    permit = state.permits.get(name)
    next_step = releases.next_step(node) if node is not None else NO_STEP
    node_releases = [release for release in releases.open_releases() if name in release.nodes]
    versions = [
        next_step.version,
        *(release.version for release in node_releases),
        *(release.replaces for release in node_releases),
    ]
    return AgentHint(
        is_member=member is not None,
        process_id=member.process_id if member is not None else "",
        status=member.status if member is not None else "",
        permit_epoch=permit.epoch if permit is not None else 0,
        permit_started=permit is not None and permit.started,
        next_step=next_step,
        wanted_versions=tuple(version for version in dict.fromkeys(versions) if version),
        halt_reason=state.halt_reason(),
        report_interval_ms=interval_ms,
    )
