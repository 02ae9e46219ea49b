"""What the agreed releases want of each node, and how far they are.

One question decides it all: which version is a node's own just now (`target`). A node that runs another one
is due: its drain waits in the fleet's one queue under the fleet's budgets like anybody's, and once its server
has ended its agent may ask for the `move`. Forwards, backwards and catching up are the same two steps.
"""

from typing import Any

from pumicenotch.fleet.drains.budgets import SERVING, Budget
from pumicenotch.fleet.releases.release import (
    BACK,
    ENDED,
    FORWARD,
    GONE,
    HALTED,
    NOTHING_DUE,
    Halt,
    Move,
    NodeVersions,
    Release,
    Step,
)
from pumicenotch.fleet.replicated.fleet_view import FleetView


class ReleaseProgress:
    """All releases, what each node runs, and what follows from both. It changes nothing by itself."""

    def __init__(self, fleet: FleetView) -> None:
        self.fleet = fleet
        self.level = 1  # what all voters understand, as agreed
        self.releases: dict[str, Release] = {}
        self.nodes: dict[str, NodeVersions] = {}
        self.stands: dict[str, str] = {}  # slot -> the version that the fleet is on

    def active(self) -> list[Release]:
        return [each for each in self.releases.values() if each.active]

    def open(self) -> list[Release]:
        """Those that go on, and those that are planned."""
        return [each for each in self.releases.values() if each.state not in ENDED]

    def has(self, release: Release, one: str) -> bool:
        """Whether that node runs the release's version, by its agent's word."""
        node = self.nodes.get(one)
        return node is not None and node.version(release.slot) == release.version

    @staticmethod
    def wanted(release: Release, one: str) -> str:
        """The version that a release wants on its node just now; "" for no step at all."""
        if release.state == HALTED:
            return ""
        reached = any(one in wave for wave in release.waves[: release.wave + 1])
        return release.version if reached and release.state != BACK else release.replaces

    def target(self, one: str, slot: str) -> str:
        for release in self.releases.values():
            if release.active and release.slot == slot and one in release.nodes:
                return self.wanted(release, one)
        return self.stands.get(slot, "")

    def due(self, node: NodeVersions) -> Step:
        """The slot and the version that it is to move to."""
        for slot, runs in node.runs:
            target = self.target(node.name, slot)
            if target and target != runs:
                return Step(slot, target)
        return NOTHING_DUE

    def holding_back(self, node: NodeVersions) -> str:
        """Why it has no version to move to, if a release says so."""
        return "; ".join(
            f"release {each.name} is {each.stands}"
            for each in self.releases.values()
            if node.name in each.nodes and each.active
        )

    def there(self, one: str, slot: str, version: str) -> bool:
        member, node = self.fleet.members.get(one), self.nodes.get(one)
        if member is None or node is None:
            return True  # forgotten
        # By its agent's word too, which has seen it alive since.
        good = not node.down and not node.trouble and not self.fleet.is_out(member)
        return good and node.version(slot) == version

    def skipped(self, one: str, release: Release) -> bool:
        """It was out against its will before the wave came to it: it catches up when it is back."""
        member, node = self.fleet.members.get(one), self.nodes.get(one)
        return (
            member is not None
            and node is not None
            and bool(member.against)
            and not node.may_run(release.slot, release.version)
        )

    def missing(self, release: Release) -> list[str]:
        """Who is not yet where the release wants it."""
        slot = release.slot
        if release.state == BACK:
            return [one for one in release.nodes if not self.there(one, slot, release.replaces)]
        return [
            one
            for one in release.waves[release.wave]
            if not self.there(one, slot, release.version) and not self.skipped(one, release)
        ]

    def in_order(self) -> list[str]:
        """Whoever goes back first stands first: by harm, then those that got it last. Forwards as planned."""
        first: list[str] = []
        for release in self.active():
            if release.state == BACK:
                first += (*release.harmed, *reversed(release.nodes))
            elif release.state in FORWARD:
                first += release.waves[release.wave]
        return [one for one in dict.fromkeys((*first, *self.nodes)) if one in self.nodes]

    def down(self, one: str) -> bool:
        """Its agent says that it is out; that it is in service again its server says first, by its own
        word.
        """
        node, member = self.nodes.get(one), self.fleet.members.get(one)
        if node is None or not node.down:
            return False
        return node.down == GONE or member is None or member.standing != SERVING

    def unasked(self, one: str) -> bool:
        """Whether a server that has ended was to go on, by what is agreed."""
        member = self.fleet.members.get(one)
        return member is not None and member.standing == SERVING and one not in self.fleet.permits

    # Whole

    def dump(self) -> dict[str, Any]:
        return {
            "level": self.level,
            "stands": list(self.stands.items()),
            "nodes": list(self.nodes.values()),
            "releases": list(self.releases.values()),
        }

    def load(self, told: dict[str, Any]) -> None:
        self.level = told["level"]
        self.stands = dict(told["stands"])
        self.nodes = {each[0]: node_of(each) for each in told["nodes"]}
        self.releases = {each[0]: release_of(each) for each in told["releases"]}


def node_of(told: Any) -> NodeVersions:
    """From a snapshot."""
    made = NodeVersions._make(tuples(told))
    return made._replace(move=Move._make(made.move))


def release_of(told: Any) -> Release:
    """From a snapshot."""
    made = Release._make(tuples(told))
    return made._replace(
        budgets=tuple(map(Budget._make, made.budgets)),
        former=tuple(map(Budget._make, made.former)),
        halts=tuple(map(Halt._make, made.halts)),
    )


def tuples(told: Any) -> Any:
    return tuple(map(tuples, told)) if isinstance(told, list | tuple) else told
