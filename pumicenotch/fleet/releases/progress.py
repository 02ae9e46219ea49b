"""What the agreed releases want of each node, and how far they are.

One question decides it all: which version a node is to run now (`target_version`). A node that runs
another one has a next step: its drain is queued under the fleet's budgets like anybody's, and once
its server has stopped, its agent may ask for the move. Forwards, backwards and catching up are the
same two steps.
"""

from typing import Any

from pumicenotch.fleet.drains.budgets import SERVING, Budget
from pumicenotch.fleet.releases.release import (
    FINAL_STATES,
    FORWARD_STATES,
    HALTED,
    NO_STEP,
    ROLLING_BACK,
    SERVER_DOWN,
    NodeStatus,
    PermittedMove,
    Release,
    ReleaseHalt,
    RunningVersion,
    Step,
)
from pumicenotch.fleet.replicated.fleet_view import FleetView


class ReleaseProgress:
    """All releases, what each node runs, and what follows from both. It changes nothing."""

    def __init__(self, fleet: FleetView) -> None:
        self.fleet = fleet
        self.level = 1  # of the entries that all voters read, as agreed
        self.releases: dict[str, Release] = {}
        self.nodes: dict[str, NodeStatus] = {}
        self.current_versions: dict[str, str] = {}  # by slot: what the fleet is on

    def active_releases(self) -> list[Release]:
        """Returns those that have started and not reached a final state."""
        return [release for release in self.releases.values() if release.is_active]

    def open_releases(self) -> list[Release]:
        """Returns those that are planned or active."""
        return [each for each in self.releases.values() if each.state not in FINAL_STATES]

    def runs_version(self, release: Release, name: str) -> bool:
        """Tells whether that node runs the release's version, by its agent's report."""
        node = self.nodes.get(name)
        return node is not None and node.version(release.slot) == release.version

    @staticmethod
    def wanted_version(release: Release, name: str) -> str:
        """Returns the version that a release wants on its node now; "" for no step at all."""
        if release.state == HALTED:
            return ""
        is_reached = any(name in wave for wave in release.waves[: release.wave + 1])
        return release.version if is_reached and release.state != ROLLING_BACK else release.replaces

    def target_version(self, name: str, slot: str) -> str:
        """Returns the version that a node is to run in a slot now; "" for no step at all."""
        for release in self.releases.values():
            if release.is_active and release.slot == slot and name in release.nodes:
                return self.wanted_version(release, name)
        return self.current_versions.get(slot, "")

    def next_step(self, node: NodeStatus) -> Step:
        """Returns the slot and the version that the node is to move to."""
        for slot, version in node.versions:
            target = self.target_version(node.name, slot)
            if target and target != version:
                return Step(slot, target)
        return NO_STEP

    def describe_active_releases(self, node: NodeStatus) -> str:
        """Returns the states of the releases that decide what the node may move to."""
        return "; ".join(
            f"release {release.name} is {release.description}"
            for release in self.releases.values()
            if node.name in release.nodes and release.is_active
        )

    def has_arrived(self, name: str, slot: str, version: str) -> bool:
        """Tells whether a node serves with that version, or was forgotten."""
        member = self.fleet.members.get(name)
        node = self.nodes.get(name)
        if member is None or node is None:
            return True
        # By its agent's report too, which has seen it alive since.
        is_fine = not node.server_state and not node.problem
        return is_fine and not self.fleet.is_unavailable(member) and node.version(slot) == version

    def is_skipped(self, name: str, release: Release) -> bool:
        """Tells whether a node failed before the wave reached it: it catches up on recovery."""
        member = self.fleet.members.get(name)
        node = self.nodes.get(name)
        return (
            member is not None
            and node is not None
            and bool(member.failure)
            and not node.may_run(release.slot, release.version)
        )

    def missing_nodes(self, release: Release) -> list[str]:
        """Returns the nodes that are not yet where the release wants them."""
        slot = release.slot
        if release.state == ROLLING_BACK:
            return [
                name for name in release.nodes if not self.has_arrived(name, slot, release.replaces)
            ]
        return [
            name
            for name in release.waves[release.wave]
            if not self.has_arrived(name, slot, release.version)
            and not self.is_skipped(name, release)
        ]

    def drain_order(self) -> list[str]:
        """Returns all nodes, those to be drained first in front.

        On the way back these are the harmed ones, then those that got the version last; forwards
        those of the wave, as planned.
        """
        first: list[str] = []
        for release in self.active_releases():
            if release.state == ROLLING_BACK:
                first += (*release.harmed, *reversed(release.nodes))
            elif release.state in FORWARD_STATES:
                first += release.waves[release.wave]
        return [name for name in dict.fromkeys((*first, *self.nodes)) if name in self.nodes]

    def is_server_down(self, name: str) -> bool:
        """Tells whether a node's agent reports its server as down.

        That it is in service again the server reports first, by itself.
        """
        node = self.nodes.get(name)
        member = self.fleet.members.get(name)
        if node is None or not node.server_state:
            return False
        is_down = node.server_state == SERVER_DOWN
        return is_down or member is None or member.status != SERVING

    def is_expected_to_serve(self, name: str) -> bool:
        """Tells whether a node's server is to go on, by what is agreed."""
        member = self.fleet.members.get(name)
        return member is not None and member.status == SERVING and name not in self.fleet.permits

    # Snapshots

    def dump(self) -> dict[str, Any]:
        """Returns all of it for a snapshot."""
        return {
            "level": self.level,
            "stands": list(self.current_versions.items()),
            "nodes": list(self.nodes.values()),
            "releases": list(self.releases.values()),
        }

    def load(self, value: dict[str, Any]) -> None:
        """Replaces all of it by what `dump` gave."""
        self.level = value["level"]
        self.current_versions = dict(value["stands"])
        self.nodes = {fields[0]: _load_node(fields) for fields in value["nodes"]}
        self.releases = {fields[0]: _load_release(fields) for fields in value["releases"]}


def _load_node(fields: Any) -> NodeStatus:
    node = NodeStatus._make(_to_tuples(fields))
    return node._replace(
        versions=tuple(map(RunningVersion._make, node.versions)),
        last_move=PermittedMove._make(node.last_move),
    )


def _load_release(fields: Any) -> Release:
    release = Release._make(_to_tuples(fields))
    return release._replace(
        budgets=tuple(map(Budget._make, release.budgets)),
        previous_budgets=tuple(map(Budget._make, release.previous_budgets)),
        halts=tuple(map(ReleaseHalt._make, release.halts)),
    )


def _to_tuples(value: Any) -> Any:
    return tuple(map(_to_tuples, value)) if isinstance(value, list | tuple) else value
