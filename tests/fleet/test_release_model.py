"""Tests of releases under the model checker, beside drains. Five seeded bugs must be found."""

from typing import Any

import pytest

from pumicenotch.fleet.releases.release import Release
from pumicenotch.fleet.releases.releases import Releases
from pumicenotch.fleet.replicated.records import RELEASE_PERMIT
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.lab.releasing_model import LONG, Bounds, Releasing


@pytest.mark.parametrize(("name", "bounds"), LONG)
def test_no_order_of_steps_exceeds_a_budget_or_leaves_two_versions(
    name: str, bounds: Bounds
) -> None:
    result = Releasing(bounds).explore(1500)
    assert not result.violation, f"{name}: {result.text()}"
    result = Releasing(bounds).wander(1, 40)
    assert not result.violation, f"{name}: {result.text()}"


def wanted_version_ignoring_halts(release: Release, name: str) -> str:
    return CORRECT_WANTED_VERSION(
        release._replace(state="draining") if release.state == "halted" else release, name
    )


def target_version_without_catch_up(self: Releases, node_name: str, slot: str) -> str:
    return next(
        (
            self.wanted_version(release, node_name)
            for release in self.active_releases()
            if node_name in release.nodes
        ),
        "",
    )


def queue_drain_ignoring_budgets(self: Releases, node: Any) -> None:
    step, member = self.next_step(node), self.fleet.members.get(node.name)
    if (
        step.slot
        and not self.is_server_down(node.name)
        and member is not None
        and node.name not in self.fleet.permits
    ):
        assert isinstance(self.fleet, FleetState)
        self.fleet.give_permit(member, RELEASE_PERMIT, "release")


def missing_nodes_ignoring_rollbacks(self: Releases, release: Release) -> list[str]:
    return [] if release.state == "going back" else CORRECT_MISSING_NODES(self, release)


def advance_all_only_once(self: Releases, name: str = "") -> None:
    for release in self.active_releases():
        self.advance(release)
    self.has_advanced = False
    for drained_name in self.drain_order():
        self.queue_drain(self.nodes[drained_name])


CORRECT_WANTED_VERSION, CORRECT_MISSING_NODES = Releases.wanted_version, Releases.missing_nodes


class AgentsUsingExpiredPermissions(Releasing):
    """Seeded bug: an agent judges a permission when it comes, and uses it any time later."""

    uses_expired = True


def test_a_permission_that_is_used_after_its_time_and_a_halt_is_found() -> None:
    # Guards the model itself: without permissions that expire unused it could not show such a move.
    bounds = dict(LONG)["halts and permissions that are used late"]
    found = AgentsUsingExpiredPermissions(bounds).explore(4000)
    assert "late though it is halted" in found.violation, found.text()


@pytest.mark.parametrize(
    ("method", "seeded", "message"),
    [
        (
            "wanted_version",
            staticmethod(wanted_version_ignoring_halts),
            "though it is halted",
        ),
        ("queue_drain", queue_drain_ignoring_budgets, "are away by permit"),
        ("advance_all", advance_all_only_once, "no way leads on: release going back"),
        (
            "target_version",
            target_version_without_catch_up,
            "no way leads on: release abandoned",
        ),
    ],
)
def test_seeded_bugs_are_found(
    method: str, seeded: Any, message: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Releases, method, seeded)
    if method == "queue_drain":
        monkeypatch.setattr(Releasing, "WAVES", (("a1", "a2"), ("b1",)))
        monkeypatch.setattr(
            FleetState, "violation_with", lambda self, drained_member, permit: ""
        )  # otherwise this check would still refuse the permit
    if method == "target_version":
        monkeypatch.setattr(Releases, "missing_nodes", missing_nodes_ignoring_rollbacks)
    violations = [Releasing(bounds).explore(4000).violation for _, bounds in LONG]
    assert any(message in violation for violation in violations), violations
