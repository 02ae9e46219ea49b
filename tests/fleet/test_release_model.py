"""Releases under the explorer, with drains beside them; four seeded bugs are found."""

from typing import Any

import pytest

from pumicenotch.fleet.releases.release import Release
from pumicenotch.fleet.releases.releases import Releases
from pumicenotch.fleet.replicated.records import RELEASE_PERMIT
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.lab.releasing_model import LONG, Bounds, Releasing


@pytest.mark.parametrize(("name", "bounds"), LONG)
def test_no_order_of_steps_breaks_a_budget_or_leaves_two_versions(
    name: str, bounds: Bounds
) -> None:
    found = Releasing(bounds).explore(1500)
    assert not found.violation, f"{name}: {found.text()}"
    found = Releasing(bounds).wander(1, 40)
    assert not found.violation, f"{name}: {found.text()}"


def goes_on_while_halted(release: Release, name: str) -> str:
    return RIGHT_WANTED(
        release._replace(state="draining") if release.state == "halted" else release, name
    )


def never_catches_up(self: Releases, one: str, slot: str) -> str:
    return next(
        (self.wanted_version(each, one) for each in self.active_releases() if one in each.nodes), ""
    )


def keeps_no_budget(self: Releases, node: Any) -> None:
    due, member = self.next_step(node), self.fleet.members.get(node.name)
    if (
        due.slot
        and not self.is_server_down(node.name)
        and member is not None
        and node.name not in self.fleet.permits
    ):
        assert isinstance(self.fleet, FleetState)
        self.fleet.give_permit(member, RELEASE_PERMIT, "release")


def goes_back_half_way(self: Releases, release: Release) -> list[str]:
    return [] if release.state == "going back" else RIGHT_MISSING(self, release)


def settles_once(self: Releases, name: str = "") -> None:
    for release in self.active_releases():
        self.advance(release)
    self.has_advanced = False
    for each in self.drain_order():
        self.queue_drain(self.nodes[each])


RIGHT_WANTED, RIGHT_MISSING = Releases.wanted_version, Releases.missing_nodes


@pytest.mark.parametrize(
    ("where", "seeded", "word"),
    [
        ("wanted_version", staticmethod(goes_on_while_halted), "though it is halted"),
        ("queue_drain", keeps_no_budget, "are away by permit"),
        ("advance_all", settles_once, "no way leads on: release going back"),
        ("target_version", never_catches_up, "no way leads on: release abandoned"),
    ],
)
def test_seeded_bugs_are_found(
    where: str, seeded: Any, word: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(Releases, where, seeded)
    if where == "queue_drain":
        monkeypatch.setattr(Releasing, "WAVES", (("a1", "a2"), ("b1",)))
        monkeypatch.setattr(
            FleetState, "violation_with", lambda self, held, permit: ""
        )  # who would refuse it still
    if where == "target_version":
        monkeypatch.setattr(Releases, "missing_nodes", goes_back_half_way)
    found = [Releasing(bounds).explore(4000).violation for _, bounds in LONG]
    assert any(word in each for each in found), found
