"""The target version of each node under the agreed releases, and the progress of the releases.

`target_version` decides which version a node is to run now. A node that runs another version has a
next step. The drain of its server is queued under the fleet's budgets, as any other drain, and its
agent may request the move once the server has stopped. Rolling forward, rolling back and catching
up all take these two steps.
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
    """Holds the releases and the nodes' reports, and answers queries on both.

    Only `load` changes the state; subclasses apply the log's commands.
    """

    def __init__(self, fleet: FleetView) -> None:
        self.fleet = fleet
        self.level = 1  # the agreed level of the log entries that all voters read
        self.releases: dict[str, Release] = {}
        self.nodes: dict[str, NodeStatus] = {}
        self.current_versions: dict[str, str] = {}  # the fleet's version in each slot

    def active_releases(self) -> list[Release]:
        """Returns the releases that have started and have not reached a final state."""
        return [release for release in self.releases.values() if release.is_active]

    def open_releases(self) -> list[Release]:
        """Returns the releases that are planned or active."""
        return [release for release in self.releases.values() if release.state not in FINAL_STATES]

    def runs_version(self, release: Release, name: str) -> bool:
        """Tells whether a node runs the release's version, by its agent's report."""
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
        """Returns the slot and the version that the node is to move to, or NO_STEP."""
        for slot, version in node.versions:
            target = self.target_version(node.name, slot)
            if target and target != version:
                return Step(slot, target)
        return NO_STEP

    def describe_active_releases(self, node: NodeStatus) -> str:
        """Returns the states of the active releases that include the node."""
        return "; ".join(
            f"release {release.name} is {release.description}"
            for release in self.releases.values()
            if node.name in release.nodes and release.is_active
        )

    def has_reached_version(self, name: str, slot: str, version: str) -> bool:
        """Tells whether a node serves with the version. Also true for a removed node."""
        member = self.fleet.members.get(name)
        node = self.nodes.get(name)
        if member is None or node is None:
            return True
        # The agent's report is required too: it shows that the server was alive after its start.
        is_healthy = not node.server_state and not node.problem
        return (
            is_healthy and not self.fleet.is_unavailable(member) and node.version(slot) == version
        )

    def is_skipped(self, name: str, release: Release) -> bool:
        """Tells whether a node failed before its wave. Such a node catches up after recovery."""
        member = self.fleet.members.get(name)
        node = self.nodes.get(name)
        return (
            member is not None
            and node is not None
            and bool(member.failure)
            and not node.may_be_running(release.slot, release.version)
        )

    def missing_nodes(self, release: Release) -> list[str]:
        """Returns the nodes that do not yet serve with the version that the release wants."""
        slot = release.slot
        if release.state == ROLLING_BACK:
            return [
                name
                for name in release.nodes
                if not self.has_reached_version(name, slot, release.replaces)
            ]
        return [
            name
            for name in release.waves[release.wave]
            if not self.has_reached_version(name, slot, release.version)
            and not self.is_skipped(name, release)
        ]

    def drain_order(self) -> list[str]:
        """Returns all nodes in the order in which they are to be drained.

        A rollback drains the harmed nodes first, and then its nodes in reverse order of the waves.
        A release that rolls forward drains the nodes of its current wave, as planned.
        """
        prioritized: list[str] = []
        for release in self.active_releases():
            if release.state == ROLLING_BACK:
                prioritized += (*release.harmed, *reversed(release.nodes))
            elif release.state in FORWARD_STATES:
                prioritized += release.waves[release.wave]
        return [name for name in dict.fromkeys((*prioritized, *self.nodes)) if name in self.nodes]

    def is_server_down(self, name: str) -> bool:
        """Tells whether a node's server is down, by its agent's report.

        A server that has started again is up as soon as it reports that it serves, before its
        agent's next report.
        """
        node = self.nodes.get(name)
        member = self.fleet.members.get(name)
        if node is None or not node.server_state:
            return False
        is_down = node.server_state == SERVER_DOWN
        return is_down or member is None or member.status != SERVING

    def is_expected_to_serve(self, name: str) -> bool:
        """Tells whether, by the agreed state, a node's server is to keep running."""
        member = self.fleet.members.get(name)
        return member is not None and member.status == SERVING and name not in self.fleet.permits

    # Snapshots

    def dump(self) -> dict[str, Any]:
        """Returns the whole state for a snapshot."""
        return {
            "level": self.level,
            "stands": list(self.current_versions.items()),
            "nodes": list(self.nodes.values()),
            "releases": list(self.releases.values()),
        }

    def load(self, value: dict[str, Any]) -> None:
        """Replaces the whole state with the result of `dump`."""
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
