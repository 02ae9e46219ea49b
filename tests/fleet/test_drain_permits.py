"""What the fleet has agreed: budgets, permits, halts; explored with late letters and crashes, with bugs
seeded.
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

SHORT = 8_000
ZONES = Budget("zones", "zone", max_unavailable=1)


class Fleet:
    """A state and its log."""

    def __init__(
        self, *budgets: Budget, voters: tuple[str, ...] = ("v1", "v2", "v3"), hands: Any = ()
    ) -> None:
        self.state = FleetState()
        self.ids = 0
        self.do("begin", "f", voters, budgets, tuple(member_to_wire(each) for each in hands))

    def do(self, *entry: Any) -> ApplyResult:
        return self.state.apply(self.state.log_index + 1, entry)

    def member(self, name: str, zone: str = "", life: str = "1", **more: Any) -> None:
        self.do("join", member_to_wire(Member(name, life, zone, **more)))
        self.do("serving", name, life)

    def ask(self, verb: str, *args: Any, by: str = "op") -> ApplyResult:
        self.ids += 1
        return self.do(verb, f"r{self.ids}", *args, by)

    def drain(self, *names: str) -> ApplyResult:
        return self.ask("drain", names, "kernel")

    def through(self, name: str, life: str = "1") -> None:
        """From permit to gone."""
        assert self.do("began", name, life, self.state.permits[name].epoch).ok
        self.do("gone", name, life)

    def back(self, name: str, life: str) -> None:
        held = self.state.members[name]
        self.do("join", member_to_wire(held._replace(process_id=life)))
        self.do("serving", name, life)

    @property
    def permits(self) -> list[str]:
        return sorted(self.state.permits)


@pytest.fixture
def fleet() -> Fleet:
    made = Fleet(ZONES)
    for name in ("a1", "a2", "a3", "b1", "b2"):
        made.member(name, name[0])
    return made


def test_permits_follow_the_budgets_in_the_order_of_asking(fleet: Fleet) -> None:
    said = fleet.drain("a1", "a2", "b1", "a3")
    assert said.ok and "a2: budget zones: zone a: 1 of at most 1 are out" in said.text
    assert fleet.permits == ["a1", "b1"]
    fleet.through("a1")
    assert fleet.permits == ["a1", "b1"]
    fleet.back("a1", "2")
    assert fleet.permits == ["a2", "b1"]
    assert fleet.state.wait_reasons == {"a3": "budget zones: zone a: 1 of at most 1 are out"}


def test_silence_frees_no_permit(fleet: Fleet) -> None:
    fleet.drain("a1", "a2")
    fleet.through("a1")
    fleet.do("against", "a1", "1", "silent")
    assert fleet.permits == ["a1"]
    fleet.do("serving", "a1", "1")  # a late letter of the life that has gone
    assert fleet.permits == ["a1"]


def test_an_operator_may_free_a_permit_and_the_member_stays_counted(fleet: Fleet) -> None:
    fleet.drain("a1", "a2")
    fleet.through("a1")
    assert fleet.ask("free", "a1", "burnt").ok
    assert (fleet.permits, fleet.state.members["a1"].status) == ([], STOPPED)
    assert fleet.ask("forget", "a1", "burnt").ok
    assert fleet.permits == ["a2"]


def test_whoever_is_out_against_its_will_counts_first(fleet: Fleet) -> None:
    fleet.do("against", "a3", "1", "silent")
    fleet.drain("a1")
    assert fleet.permits == []
    fleet.drain("a3")  # takes nothing more from anyone
    assert fleet.permits == ["a3"]
    fleet.do("against", "a2", "1", "silent")  # a thought, and it may be wrong
    fleet.drain("a2")
    assert fleet.permits == ["a3"]
    fleet.do("against", "a2", "1", "")
    fleet.ask("undrain", ("a2",), "x")
    fleet.back("a3", "2")
    assert fleet.permits == ["a1"]


def test_one_that_cannot_wait_is_counted_at_once_and_never_refused(fleet: Fleet) -> None:
    fleet.drain("a1")
    fleet.through("a1")
    assert fleet.do("leaving", "a2", "1", "SIGTERM").ok
    assert fleet.permits == ["a1", "a2"]
    assert fleet.state.violations() == ["budget zones: zone a: 2 out of at most 1"]
    fleet.drain("a3")
    fleet.back("a1", "2")
    assert fleet.permits == ["a2"]  # a3 waits for a2 as well
    fleet.back("a2", "2")
    assert fleet.permits == ["a3"]


def test_a_permit_taken_back_is_not_used_however_late_its_holder_hears(fleet: Fleet) -> None:
    fleet.drain("a1", "a2")
    epoch = fleet.state.permits["a1"].epoch
    assert fleet.ask("undrain", ("a1",), "not today").ok
    assert fleet.permits == ["a2"]
    assert not fleet.do("began", "a1", "1", epoch).ok
    again = fleet.state.permits["a2"].epoch
    assert fleet.do("began", "a2", "1", again) == fleet.do("began", "a2", "1", again)  # told twice
    assert not fleet.ask("undrain", ("a2",), "too late").ok


def test_a_permit_waits_where_others_have_gone_out_since(fleet: Fleet) -> None:
    fleet.drain("a1")
    epoch = fleet.state.permits["a1"].epoch
    fleet.do("against", "a2", "1", "silent")
    said = fleet.do("began", "a1", "1", epoch)
    assert (said.ok, said.text) == (False, "not now: budget zones: zone a: 2 out of at most 1")
    fleet.do("against", "a2", "1", "")
    assert fleet.do("began", "a1", "1", epoch).ok
    fleet.do("against", "a2", "1", "silent")
    assert fleet.do("began", "a1", "1", epoch).ok  # what has begun is not taken back


def test_a_request_that_comes_twice_asks_once(fleet: Fleet) -> None:
    first = fleet.do("drain", "same", ("a1",), "x", "op")
    fleet.through("a1")
    fleet.back("a1", "2")
    assert fleet.do("drain", "same", ("a1",), "x", "op") == first
    assert fleet.permits == []


def test_a_name_is_taken_over_for_good(fleet: Fleet) -> None:
    fleet.back("a1", "2")
    assert not fleet.do("join", member_to_wire(Member("a1", "1", "a"))).ok
    assert not fleet.do("leaving", "a1", "1", "late").ok
    assert fleet.state.members["a1"].process_id == "2"


def test_a_lower_budget_calls_nobody_back() -> None:
    fleet = Fleet(Budget("all", "fleet", max_unavailable=3))
    for at in range(5):
        fleet.member(f"n{at}")
    fleet.drain("n0", "n1", "n2")
    fleet.through("n0")
    fleet.ask("budget", (Budget("all", "fleet", max_unavailable=1),))
    assert fleet.permits == ["n0", "n1", "n2"] and fleet.state.violations()
    fleet.drain("n3")
    for at in range(3):
        assert "n3" not in fleet.permits
        if at:
            fleet.through(f"n{at}")  # the permits that were given are used in turn
        later = [
            fleet.do("began", f"n{n}", "1", fleet.state.permits[f"n{n}"].epoch)
            for n in range(at + 1, 3)
        ]
        assert not any(said.ok for said in later)
        fleet.back(f"n{at}", "2")
    assert fleet.permits == ["n3"]


def test_a_majority_of_voters_is_refused_and_a_third_waits() -> None:
    voters = ("v1", "v2", "v3", "v4", "v5")
    fleet = Fleet(voters=voters)
    for name in voters:
        fleet.member(name, voter=True)
    said = fleet.drain("v1", "v2", "v3")
    assert not said.ok and "a majority must stay" in said.text
    fleet.drain("v1", "v2")
    fleet.drain("v3")
    assert fleet.permits == ["v1", "v2"]
    assert "a majority must stay" in fleet.state.wait_reasons["v3"]
    assert not fleet.ask("override", "v3", "now").ok


def test_a_service_and_its_callers_are_never_out_together_and_neither_starves() -> None:
    apart = Budget("apart", "service", separate_callers=True)
    replicas = Budget("replicas", "service", min_available=1)
    hands = [Member("ledger-1", "", serves=("ledger",)), Member("ledger-2", "", serves=("ledger",))]
    fleet = Fleet(apart, replicas, hands=hands)
    for at in range(4):
        fleet.member(f"n{at}", uses=("ledger",))
    fleet.drain("n0", "n1")
    fleet.drain("ledger-1")
    fleet.drain("n2", "n3")  # asked later: they must not keep the replica waiting for ever
    assert fleet.permits == ["n0", "n1"]
    for name in ("n0", "n1"):
        fleet.through(name)
        fleet.back(name, "2")
    assert fleet.permits == ["ledger-1"]
    assert fleet.ask("undrain", ("ledger-1",), "done").ok
    assert fleet.permits == ["n2", "n3"]


def test_least_capacity_counts_in_parts_of_the_group() -> None:
    fleet = Fleet(Budget("room", "zone", min_capacity_fraction=0.7))
    for name, capacity in (("big", 6.0), ("small", 2.0), ("other", 2.0)):
        fleet.member(name, "a", capacity=capacity)
    fleet.drain("big", "small", "other")
    assert fleet.permits == []  # big bars the others: it was first
    assert "40% of the capacity would be left" in fleet.state.wait_reasons["big"]
    fleet.ask("undrain", ("big",), "no")
    assert fleet.permits == ["small"]


def test_a_halt_stops_what_has_not_begun_and_a_resume_ends_what_it_has_seen(fleet: Fleet) -> None:
    fleet.drain("a1")
    fleet.drain("b1")
    fleet.through("a1")
    fleet.do("halt", "h1", "node a2", "smoke")
    assert not fleet.do("began", "b1", "1", fleet.state.permits["b1"].epoch).ok
    fleet.drain("b2")
    fleet.do("halt", "h2", "op", "fire")
    assert not fleet.ask("override", "b2", "x").ok
    assert not fleet.ask("resume", ("h1",), "smoke is gone").ok  # h2 came since
    assert fleet.state.halt_reason() == "halted: by op: fire"
    assert fleet.ask("resume", ("h2",), "fire is out").ok
    assert fleet.do("began", "b1", "1", fleet.state.permits["b1"].epoch).ok


def test_the_whole_state_goes_through_its_dump(fleet: Fleet) -> None:
    fleet.drain("a1", "a2", "b1")
    fleet.do("halt", "h", "op", "x")
    same = load(dump(fleet.state))
    assert dump(same) == dump(fleet.state) and same.wait_reasons == fleet.state.wait_reasons
    assert same.apply(99, ("undrain", "u", ("a2",), "x", "op")).ok
    for wrong in (b"", b"{}", b'{"form": 2}', dump(fleet.state)[:-1]):
        with pytest.raises(InvalidCommandError):
            load(wrong)


WRONG: list[Any] = [
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


@pytest.mark.parametrize("entry", WRONG, ids=repr)
def test_what_is_no_entry_is_refused_and_changes_nothing(fleet: Fleet, entry: Any) -> None:
    before = dump(fleet.state)
    with pytest.raises(InvalidCommandError):
        decode_command(entry)
    assert not fleet.state.apply(fleet.state.log_index, entry).ok
    assert dump(fleet.state) == before


# Explored


@pytest.mark.parametrize("bounds", [bounds for _, bounds in LONG], ids=[name for name, _ in LONG])
def test_explored(bounds: Bounds) -> None:
    found = Draining(bounds).explore(SHORT)
    assert not found.violation, found.text()
    assert found.states >= SHORT


class FreedBySilence(Quiet):
    def set_failure(self, command: SetFailure) -> ApplyResult:
        result = super().set_failure(command)
        name = command.name
        if command.reason and name in self.permits:
            self.end_permit(name, "silent")
            self.members[name] = self.members[name]._replace(status=SERVING, failure="")
        return result


class FreedByOldLife(Quiet):
    def report_serving(self, command: ReportServing) -> ApplyResult:
        name = command.name
        if name in self.permits:
            self.end_permit(name, "serves")
            self.members[name] = self.members[name]._replace(status=SERVING)
        return super().report_serving(command)


class BeginsUnasked(Quiet):
    def start_drain(self, command: StartDrain) -> ApplyResult:
        super().start_drain(command)
        return ApplyResult(True, "begun")


class BeginsHalted(Quiet):
    def start_drain(self, command: StartDrain) -> ApplyResult:
        halts, self.halts = self.halts, {}
        result = super().start_drain(command)
        self.halts = halts
        return result


SEEDED = [
    (FreedBySilence, Bounds(asks=2, returns=0), "away by permit"),
    (FreedByOldLife, Bounds(asks=2, crashes=1, returns=2, silences=0), "away by permit"),
    (
        BeginsUnasked,
        Bounds(2, crashes=0, returns=0, copies=0, silences=0, undrains=1),
        "away by permit",
    ),
    (BeginsHalted, Bounds(asks=1, halts=1), "after the halt"),
]


@pytest.mark.parametrize("bug, bounds, what", SEEDED, ids=[bug.__name__ for bug, _, _ in SEEDED])
def test_seeded_bugs_are_found(bug: type[FleetState], bounds: Bounds, what: str) -> None:
    assert what in Draining(bounds, bug).explore(100_000).violation


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(0, 100_000))
def test_no_random_day_goes_over_a_budget_by_permit(seed: int) -> None:
    """Entries by chance, old ones among them; judged from what the processes do."""
    chance = random.Random(seed)
    fleet = Fleet(
        ZONES,
        Budget("all", "fleet", max_unavailable=3),
        Budget("most", "region", min_capacity_fraction=0.5),
    )
    names = [f"{zone}{at}" for zone in "abc" for at in range(3)]
    lives = dict.fromkeys(names, 1)
    for name in names:
        fleet.member(name, name[0], region="r")
    away: set[str] = set()
    sent: list[tuple[Any, ...]] = []
    for _ in range(120):
        name, state = chance.choice(names), fleet.state
        life = str(lives[name])
        match chance.randrange(8):
            case 0:
                fleet.drain(*chance.sample(names, chance.randint(1, 4)))
            case 1:
                fleet.ask("undrain", (name,), "x")
            case 2 if name in away:
                lives[name] += 1
                away.discard(name)
                fleet.back(name, str(lives[name]))
            case 3:
                fleet.do("against", name, life, chance.choice(["", "silent"]))
            case 4 if sent:
                old = chance.choice(sent)  # once more
                if fleet.do(*old).ok and old[0] == "began" and old[2] == str(lives[old[1]]):
                    away.add(old[1])
            case _ if (
                name in state.permits
                and state.permits[name].process_id == life
                and name not in away
            ):
                sent.append(("began", name, life, state.permits[name].epoch))
                if chance.random() < 0.7 and fleet.do(*sent[-1]).ok:
                    away.add(name)
                    sent.append(("gone", name, life))
        for zone in "abc":
            assert sum(each[0] == zone for each in away) <= 1
        assert len(away) <= 3
        assert dump(load(dump(fleet.state))) == dump(fleet.state)
        if state.cached_counts is not None:  # what is kept is what counting anew gives
            tallies, voters_out = state.cached_counts
            kept = {
                key: (tally.members, tally.unavailable, tally.lost_capacity)
                for key, tally in tallies.groups.items()
            }
            anew = {
                key: (tally.members, tally.unavailable, tally.lost_capacity)
                for key, tally in state.outage_counts().groups.items()
            }
            assert (kept, voters_out) == (anew, state.unavailable_voters())
