"""What the leader tells members and agents of themselves, with each heartbeat. A hint: the leader may have
stopped leading, and each step that rests on it is an entry of its own.
"""

from typing import Any

from pumicenotch.fleet.releases.release import NOTHING_DUE
from pumicenotch.fleet.replicated.state import State
from pumicenotch.fleet.voter.reports import Reports


def member_hint(reports: Reports, name: str, life: str, interval_ms: float) -> dict[str, Any]:
    """What is agreed of that member."""
    state = reports.state
    held, permit = state.members.get(name), state.permits.get(name)
    own = permit if permit is not None and permit.life == life else None
    return {
        "known": held is not None and held.life == life,
        "standing": held.standing if held is not None else "",
        "permit": own.epoch if own is not None else 0,
        "waits": reports.waiting_for(name) if name in state.waits else "",
        "begun": own is not None and own.begun,
        "halted": state.halted(),
        "again_ms": interval_ms,
        "counts": bool(state.releases.nodes),
    }


def agent_hint(state: State, one: str, interval_ms: float) -> dict[str, Any]:
    """What its agent is to do with that node, and which versions it is to hold."""
    node, member = state.releases.nodes.get(one), state.members.get(one)
    permit = state.permits.get(one)
    due = state.releases.due(node) if node is not None else NOTHING_DUE
    releases = [each for each in state.releases.open() if one in each.nodes]
    versions = [
        due.version,
        *(each.version for each in releases),
        *(each.replaces for each in releases),
    ]
    return {
        "member": member is not None,
        "life": member.life if member is not None else "",
        "standing": member.standing if member is not None else "",
        "permit": permit.epoch if permit is not None else 0,
        "begun": permit is not None and permit.begun,
        "due": due,
        "hold": [version for version in dict.fromkeys(versions) if version],
        "halted": state.halted(),
        "again_ms": interval_ms,
    }
