"""Budgets, drain permits and halts in the replicated state.

A model checker explores late and repeated messages and crashes; seeded bugs show that it finds faults.
"""

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.fleet.drains.budgets import SERVING, STOPPED, Budget, Member
from pumicenotch.fleet.replicated.commands import ReportServing, SetFailure, StartDrain
from pumicenotch.fleet.replicated.fields import InvalidCommandError
from pumicenotch.fleet.replicated.records import ApplyResult, member_to_wire
from pumicenotch.fleet.replicated.registry import decode_command
from pumicenotch.fleet.replicated.snapshot import dump, load
from pumicenotch.fleet.replicated.state import FleetState
from pumicenotch.lab.draining import LONG, Bounds, Draining, Quiet

MIN_EXPLORED_STATES = 8_000
ZONES = Budget("zones", "zone", max_unavailable=1)


class Fleet:
    """A replicated state, changed by log entries only."""

    def __init__(
        self, *budgets: Budget, voters: tuple[str, ...] = ("v1", "v2", "v3"), manual: Any = ()
    ) -> None:
        self.state = FleetState()
        self.requests = 0
        self.apply(
            "begin", "f", voters, budgets, tuple(member_to_wire(member) for member in manual)
        )

    def apply(self, *entry: Any) -> ApplyResult:
        return self.state.apply(self.state.log_index + 1, entry)

    def add_member(self, name: str, zone: str = "", process_id: str = "1", **fields: Any) -> None:
        self.apply("join", member_to_wire(Member(name, process_id, zone, **fields)))
        self.apply("serving", name, process_id)

    def request(self, verb: str, *args: Any, operator: str = "op") -> ApplyResult:
        self.requests += 1
        return self.apply(verb, f"r{self.requests}", *args, operator)

    def drain(self, *names: str) -> ApplyResult:
        return self.request("drain", names, "kernel")

    def complete_drain(self, name: str, process_id: str = "1") -> None:
        """Starts the drain that the member's permit allows, and stops the process."""
        assert self.apply("began", name, process_id, self.state.permits[name].epoch).ok
        self.apply("gone", name, process_id)

    def rejoin(self, name: str, process_id: str) -> None:
        member = self.state.members[name]
        self.apply("join", member_to_wire(member._replace(process_id=process_id)))
        self.apply("serving", name, process_id)

    @property
    def permits(self) -> list[str]:
        return sorted(self.state.permits)


@pytest.fixture
def fleet() -> Fleet:
    new_fleet = Fleet(ZONES)
    for name in ("a1", "a2", "a3", "b1", "b2"):
        new_fleet.add_member(name, name[0])
    return new_fleet


def test_permits_are_granted_within_the_budgets_in_request_order(fleet: Fleet) -> None:
    result = fleet.drain("a1", "a2", "b1", "a3")
    assert result.ok and "a2: budget zones: zone a: 1 of at most 1 are out" in result.text
    assert fleet.permits == ["a1", "b1"]
    fleet.complete_drain("a1")
    assert fleet.permits == ["a1", "b1"]
    fleet.rejoin("a1", "2")
    assert fleet.permits == ["a2", "b1"]
    assert fleet.state.wait_reasons == {"a3": "budget zones: zone a: 1 of at most 1 are out"}


def test_a_failure_ends_no_permit(fleet: Fleet) -> None:
    fleet.drain("a1", "a2")
    fleet.complete_drain("a1")
    fleet.apply("against", "a1", "1", "silent")
    assert fleet.permits == ["a1"]
    fleet.apply("serving", "a1", "1")  # a late report of the stopped process
    assert fleet.permits == ["a1"]


def test_a_member_whose_permit_is_revoked_stays_unavailable_until_forgotten(fleet: Fleet) -> None:
    fleet.drain("a1", "a2")
    fleet.complete_drain("a1")
    assert fleet.request("free", "a1", "burnt").ok
    assert (fleet.permits, fleet.state.members["a1"].status) == ([], STOPPED)
    assert fleet.request("forget", "a1", "burnt").ok
    assert fleet.permits == ["a2"]


def test_failed_members_count_against_the_budget(fleet: Fleet) -> None:
    fleet.apply("against", "a3", "1", "silent")
    fleet.drain("a1")
    assert fleet.permits == []
    fleet.drain("a3")  # a3 is already unavailable
    assert fleet.permits == ["a3"]
    fleet.apply("against", "a2", "1", "silent")  # a2 may in fact still serve
    fleet.drain("a2")
    assert fleet.permits == ["a3"]
    fleet.apply("against", "a2", "1", "")
    fleet.request("undrain", ("a2",), "x")
    fleet.rejoin("a3", "2")
    assert fleet.permits == ["a1"]


def test_a_termination_is_counted_at_once_and_never_refused(fleet: Fleet) -> None:
    fleet.drain("a1")
    fleet.complete_drain("a1")
    assert fleet.apply("leaving", "a2", "1", "SIGTERM").ok
    assert fleet.permits == ["a1", "a2"]
    assert fleet.state.violations() == ["budget zones: zone a: 2 out of at most 1"]
    fleet.drain("a3")
    fleet.rejoin("a1", "2")
    assert fleet.permits == ["a2"]  # a3 waits for a2 too
    fleet.rejoin("a2", "2")
    assert fleet.permits == ["a3"]


def test_a_withdrawn_permit_cannot_be_used_late(fleet: Fleet) -> None:
    fleet.drain("a1", "a2")
    epoch = fleet.state.permits["a1"].epoch
    assert fleet.request("undrain", ("a1",), "not today").ok
    assert fleet.permits == ["a2"]
    assert not fleet.apply("began", "a1", "1", epoch).ok
    later_epoch = fleet.state.permits["a2"].epoch
    # The report comes twice.
    assert fleet.apply("began", "a2", "1", later_epoch) == fleet.apply(
        "began", "a2", "1", later_epoch
    )
    assert not fleet.request("undrain", ("a2",), "too late").ok


def test_a_permit_is_unusable_while_later_failures_exceed_the_budget(fleet: Fleet) -> None:
    fleet.drain("a1")
    epoch = fleet.state.permits["a1"].epoch
    fleet.apply("against", "a2", "1", "silent")
    result = fleet.apply("began", "a1", "1", epoch)
    assert (result.ok, result.text) == (False, "not now: budget zones: zone a: 2 out of at most 1")
    fleet.apply("against", "a2", "1", "")
    assert fleet.apply("began", "a1", "1", epoch).ok
    fleet.apply("against", "a2", "1", "silent")
    assert fleet.apply("began", "a1", "1", epoch).ok  # a started drain goes on


def test_a_retried_request_is_applied_once(fleet: Fleet) -> None:
    first = fleet.apply("drain", "same", ("a1",), "x", "op")
    fleet.complete_drain("a1")
    fleet.rejoin("a1", "2")
    assert fleet.apply("drain", "same", ("a1",), "x", "op") == first
    assert fleet.permits == []


def test_a_replaced_process_cannot_take_its_name_back(fleet: Fleet) -> None:
    fleet.rejoin("a1", "2")
    assert not fleet.apply("join", member_to_wire(Member("a1", "1", "a"))).ok
    assert not fleet.apply("leaving", "a1", "1", "late").ok
    assert fleet.state.members["a1"].process_id == "2"


def test_a_lowered_budget_ends_no_permit() -> None:
    fleet = Fleet(Budget("all", "fleet", max_unavailable=3))
    for number in range(5):
        fleet.add_member(f"n{number}")
    fleet.drain("n0", "n1", "n2")
    fleet.complete_drain("n0")
    fleet.request("budget", (Budget("all", "fleet", max_unavailable=1),))
    assert fleet.permits == ["n0", "n1", "n2"] and fleet.state.violations()
    fleet.drain("n3")
    for number in range(3):
        assert "n3" not in fleet.permits
        if number:
            fleet.complete_drain(f"n{number}")  # granted permits are used one after the other
        later_starts = [
            fleet.apply("began", f"n{later}", "1", fleet.state.permits[f"n{later}"].epoch)
            for later in range(number + 1, 3)
        ]
        assert not any(start.ok for start in later_starts)
        fleet.rejoin(f"n{number}", "2")
    assert fleet.permits == ["n3"]


def test_a_drain_of_a_majority_of_voters_is_refused_and_a_third_voter_waits() -> None:
    voters = ("v1", "v2", "v3", "v4", "v5")
    fleet = Fleet(voters=voters)
    for name in voters:
        fleet.add_member(name, voter=True)
    result = fleet.drain("v1", "v2", "v3")
    assert not result.ok and "a majority must stay" in result.text
    fleet.drain("v1", "v2")
    fleet.drain("v3")
    assert fleet.permits == ["v1", "v2"]
    assert "a majority must stay" in fleet.state.wait_reasons["v3"]
    assert not fleet.request("override", "v3", "now").ok


def test_a_service_and_its_callers_are_never_unavailable_together_and_neither_starves() -> None:
    apart = Budget("apart", "service", separate_callers=True)
    replicas = Budget("replicas", "service", min_available=1)
    manual = [
        Member("ledger-1", "", serves=("ledger",)),
        Member("ledger-2", "", serves=("ledger",)),
    ]
    fleet = Fleet(apart, replicas, manual=manual)
    for number in range(4):
        fleet.add_member(f"n{number}", uses=("ledger",))
    fleet.drain("n0", "n1")
    fleet.drain("ledger-1")
    fleet.drain("n2", "n3")  # requested later, so they must not starve the replica
    assert fleet.permits == ["n0", "n1"]
    for name in ("n0", "n1"):
        fleet.complete_drain(name)
        fleet.rejoin(name, "2")
    assert fleet.permits == ["ledger-1"]
    assert fleet.request("undrain", ("ledger-1",), "done").ok
    assert fleet.permits == ["n2", "n3"]


def test_a_capacity_budget_limits_the_lost_fraction_of_a_group() -> None:
    fleet = Fleet(Budget("room", "zone", min_capacity_fraction=0.7))
    for name, capacity in (("big", 6.0), ("small", 2.0), ("other", 2.0)):
        fleet.add_member(name, "a", capacity=capacity)
    fleet.drain("big", "small", "other")
    assert fleet.permits == []  # big came first and blocks the others
    assert "40% of the capacity would be left" in fleet.state.wait_reasons["big"]
    fleet.request("undrain", ("big",), "no")
    assert fleet.permits == ["small"]


def test_a_halt_blocks_new_drains_and_a_resume_ends_only_the_halts_it_names(fleet: Fleet) -> None:
    fleet.drain("a1")
    fleet.drain("b1")
    fleet.complete_drain("a1")
    fleet.apply("halt", "h1", "node a2", "smoke")
    assert not fleet.apply("began", "b1", "1", fleet.state.permits["b1"].epoch).ok
    fleet.drain("b2")
    fleet.apply("halt", "h2", "op", "fire")
    assert not fleet.request("override", "b2", "x").ok
    assert not fleet.request("resume", ("h1",), "smoke is gone").ok  # h2 is later
    assert fleet.state.halt_reason() == "halted: by op: fire"
    assert fleet.request("resume", ("h2",), "fire is out").ok
    assert fleet.apply("began", "b1", "1", fleet.state.permits["b1"].epoch).ok


def test_a_snapshot_restores_the_whole_state(fleet: Fleet) -> None:
    fleet.drain("a1", "a2", "b1")
    fleet.apply("halt", "h", "op", "x")
    restored = load(dump(fleet.state))
    assert dump(restored) == dump(fleet.state) and restored.wait_reasons == fleet.state.wait_reasons
    assert restored.apply(99, ("undrain", "u", ("a2",), "x", "op")).ok
    for invalid in (b"", b"{}", b'{"form": 2}', dump(fleet.state)[:-1]):
        with pytest.raises(InvalidCommandError):
            load(invalid)


INVALID_ENTRIES: list[Any] = [
    None,
    (),
    ("fly",),
    ("drain",),
    ("drain", "r", (), "x", "op"),
    ("drain", "r", ("a1",), " ", "op"),
    ("began", "a", "1", -1),
    ("join", ("a",)),
    ("budget", "r", (("z", "zone", "", -1, -1, -1.0, False),), "op"),
    ("budget", "r", (("z", "moon", "", 1, -1, -1.0, False),), "op"),
    ("halt", "h", "op", 7),
]


@pytest.mark.parametrize("entry", INVALID_ENTRIES, ids=repr)
def test_an_invalid_entry_is_refused_and_changes_nothing(fleet: Fleet, entry: Any) -> None:
    before = dump(fleet.state)
    with pytest.raises(InvalidCommandError):
        decode_command(entry)
    assert not fleet.state.apply(fleet.state.log_index, entry).ok
    assert dump(fleet.state) == before


# Model checking


@pytest.mark.parametrize("bounds", [bounds for _, bounds in LONG], ids=[name for name, _ in LONG])
def test_no_reachable_state_violates_a_budget_or_halt(bounds: Bounds) -> None:
    outcome = Draining(bounds).explore(MIN_EXPLORED_STATES)
    assert not outcome.violation, outcome.text()
    assert outcome.states >= MIN_EXPLORED_STATES


class PermitEndedByFailure(Quiet):
    def set_failure(self, command: SetFailure) -> ApplyResult:
        result = super().set_failure(command)
        name = command.name
        if command.reason and name in self.permits:
            self.end_permit(name, "silent")
            self.members[name] = self.members[name]._replace(status=SERVING, failure="")
        return result


class PermitEndedByLateReport(Quiet):
    def report_serving(self, command: ReportServing) -> ApplyResult:
        name = command.name
        if name in self.permits:
            self.end_permit(name, "serves")
            self.members[name] = self.members[name]._replace(status=SERVING)
        return super().report_serving(command)


class DrainStartedOnRefusal(Quiet):
    def start_drain(self, command: StartDrain) -> ApplyResult:
        super().start_drain(command)
        return ApplyResult(True, "begun")


class DrainStartedWhileHalted(Quiet):
    def start_drain(self, command: StartDrain) -> ApplyResult:
        halts, self.halts = self.halts, {}
        result = super().start_drain(command)
        self.halts = halts
        return result


SEEDED = [
    (PermitEndedByFailure, Bounds(asks=2, returns=0), "away by permit"),
    (PermitEndedByLateReport, Bounds(asks=2, crashes=1, returns=2, silences=0), "away by permit"),
    (
        DrainStartedOnRefusal,
        Bounds(2, crashes=0, returns=0, copies=0, silences=0, undrains=1),
        "away by permit",
    ),
    (DrainStartedWhileHalted, Bounds(asks=1, halts=1), "after the halt"),
]


@pytest.mark.parametrize(
    "bug, bounds, violation", SEEDED, ids=[bug.__name__ for bug, _, _ in SEEDED]
)
def test_seeded_bugs_are_found(bug: type[FleetState], bounds: Bounds, violation: str) -> None:
    assert violation in Draining(bounds, bug).explore(100_000).violation


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 100_000))
def test_no_random_sequence_of_entries_exceeds_a_budget_by_permit(seed: int) -> None:
    """Entries are random and some are repeated. Counted are the drains that processes start."""
    rng = random.Random(seed)
    fleet = Fleet(
        ZONES,
        Budget("all", "fleet", max_unavailable=3),
        Budget("most", "region", min_capacity_fraction=0.5),
    )
    names = [f"{zone}{number}" for zone in "abc" for number in range(3)]
    process_numbers = dict.fromkeys(names, 1)
    for name in names:
        fleet.add_member(name, name[0], region="r")
    draining: set[str] = set()
    sent: list[tuple[Any, ...]] = []
    for _ in range(120):
        name, state = rng.choice(names), fleet.state
        process_id = str(process_numbers[name])
        match rng.randrange(8):
            case 0:
                fleet.drain(*rng.sample(names, rng.randint(1, 4)))
            case 1:
                fleet.request("undrain", (name,), "x")
            case 2 if name in draining:
                process_numbers[name] += 1
                draining.discard(name)
                fleet.rejoin(name, str(process_numbers[name]))
            case 3:
                fleet.apply("against", name, process_id, rng.choice(["", "silent"]))
            case 4 if sent:
                repeated = rng.choice(sent)
                if (
                    fleet.apply(*repeated).ok
                    and repeated[0] == "began"
                    and repeated[2] == str(process_numbers[repeated[1]])
                ):
                    draining.add(repeated[1])
            case _ if (
                name in state.permits
                and state.permits[name].process_id == process_id
                and name not in draining
            ):
                sent.append(("began", name, process_id, state.permits[name].epoch))
                if rng.random() < 0.7 and fleet.apply(*sent[-1]).ok:
                    draining.add(name)
                    sent.append(("gone", name, process_id))
        for zone in "abc":
            assert sum(other[0] == zone for other in draining) <= 1
        assert len(draining) <= 3
        assert dump(load(dump(fleet.state))) == dump(fleet.state)
        if state.cached_counts is not None:  # the cache must equal a new count
            outages, unavailable_voters = state.cached_counts
            cached = {
                key: (group.members, group.unavailable, group.lost_capacity)
                for key, group in outages.groups.items()
            }
            recounted = {
                key: (group.members, group.unavailable, group.lost_capacity)
                for key, group in state.outage_counts().groups.items()
            }
            assert (cached, unavailable_voters) == (recounted, state.unavailable_voters())
