"""Agreement among voters: explored state by state, with bugs seeded that must be found, and in random long
runs with loss, copies, delays, cuts, stops and new lives.
"""

import random
from collections import deque
from typing import Any

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pumicenotch.consensus.bootstrap import Founding, seated
from pumicenotch.consensus.messages import (
    Append,
    AskVote,
    BadMessage,
    Commit,
    Entry,
    Install,
    Led,
    Readable,
    Restore,
    Seats,
    Send,
    Store,
    Unreadable,
    message_of,
    plain,
)
from pumicenotch.consensus.voter import CANDIDATE, FOLLOWER, LEADER, Voter
from pumicenotch.lab.agreeing import LONG, ROOT, Agreement, Bounds, led, long_form, three
from pumicenotch.lab.explore import Explorer

ABC = Seats(("a/1", "b/1", "c/1"))
SHORT = 6_000  # states in CI; `python -m pumicenotch.lab.agreeing` goes on to a million each


@pytest.mark.parametrize("narrow", [False, True], ids=["wide", "deep"])
@pytest.mark.parametrize("name, bounds", LONG, ids=[name for name, _ in LONG])
def test_explored(name: str, bounds: Bounds, narrow: bool) -> None:
    found = long_form(bounds, SHORT, narrow)
    assert not found.violation, found.text()
    assert found.states >= SHORT


@pytest.mark.parametrize("name, bounds", LONG, ids=[name for name, _ in LONG])
def test_wandered(name: str, bounds: Bounds) -> None:
    """Walks by chance, each through several elections."""
    model = three(Bounds(*(3 * most for most in bounds)))
    found = Explorer(model.after, model.wrong).wander(led(model), 2, 12, 120)
    assert not found.violation, found.text()
    assert found.depth > 30


class VotesTwice(Voter):
    def may_vote(self, sender: str, asked: AskVote) -> bool:
        return asked.term == self.term or asked.pre


class CountsOldTerms(Voter):
    ENTRIES_MOST = 1

    def advance(self) -> None:
        for index in range(self.log.last, self.commit, -1):
            if self.log.seats.majority(self.has(index)):
                self.agreed(index)
                return


class Careful(Voter):
    ENTRIES_MOST = 1


class ReadsAtOnce(Voter):
    def read(self, key: Any) -> None:
        self.effects.append(Readable(key, self.commit))


class ChangesAtOnce(Voter):
    def settled(self) -> bool:
        return self.log.seats_index <= self.commit


ROOT_AND_A, ROOT_AND_B = (ROOT, Entry(2, "do", "a")), (ROOT, Entry(3, "do", "b"))
FOUR = Seats(("a/1", "b/1", "c/1", "d/1"))
FIVE = Seats((*FOUR.voters, "e/1"))
WITHOUT_A = Seats(("b/1", "c/1", "d/1"))


def elections(voter: type[Voter]) -> tuple[Agreement, Any]:
    model = Agreement(list(ABC.voters), ABC, Bounds(timeouts=2, proposals=0), voter=voter)
    return model, model.first()


def older_entry(voter: type[Voter]) -> tuple[Agreement, Any]:
    """Figure 8 of the thesis: a leads again with an entry of term 2, c has another of term 3."""
    bounds = Bounds(timeouts=2, proposals=0)
    model = Agreement(
        list(ABC.voters),
        ABC,
        bounds,
        voter=voter,
        patient=frozenset({"b/1"}),
        cut=frozenset({("a/1", "c/1"), ("c/1", "a/1")}),
    )
    same = {"term": 4, "commit": 1}
    leads = {"role": LEADER, "next": {"a/1": 2, "b/1": 2, "c/1": 2}, "match": {"b/1": 1}}
    return model, model.first(
        **{
            "a/1": {
                **same,
                "entries": (*ROOT_AND_A, Entry(4, "noop", None)),
                **leads,
                "voted": "a/1",
            },
            "b/1": {**same, "entries": (ROOT,), "voted": "a/1"},
            "c/1": {**same, "entries": ROOT_AND_B},
        },
    )


def reads(voter: type[Voter]) -> tuple[Agreement, Any]:
    cut = frozenset({("a/1", "b/1"), ("a/1", "c/1"), ("b/1", "a/1"), ("c/1", "a/1")})
    model = Agreement(
        list(ABC.voters),
        ABC,
        Bounds(timeouts=1, proposals=0, reads=1),
        voter=voter,
        cut=cut,
        patient=frozenset({"c/1"}),
    )
    return model, led(model)


def changes(voter: type[Voter]) -> tuple[Agreement, Any]:
    """The case behind the correction of 2015: a has added e in term 1, heard by nobody; b leads term 2 and
    takes a out.
    """
    names = list(FIVE.voters)
    reach = {
        ("a/1", "d/1"),
        ("a/1", "e/1"),
        ("d/1", "a/1"),
        ("e/1", "a/1"),
        ("b/1", "c/1"),
        ("c/1", "b/1"),
    }
    cut = frozenset((one, other) for one in names for other in names) - reach
    model = Agreement(
        names,
        FOUR,
        Bounds(timeouts=1, proposals=0, changes=1),
        voter=voter,
        changes=(WITHOUT_A,),
        cut=frozenset(cut),
        patient=frozenset({"c/1", "d/1", "e/1"}),
    )
    old = {"term": 2, "voted": "b/1", "entries": (ROOT,), "commit": 1}
    leads = {"role": LEADER, "next": dict.fromkeys(FOUR.voters, 2), "match": {"c/1": 1, "d/1": 1}}
    return model, model.first(
        **{
            "a/1": {**old, "voted": "", "entries": (ROOT, Entry(1, "seats", FIVE))},
            "b/1": {**old, "entries": (ROOT, Entry(2, "noop", None)), **leads},
            "c/1": old,
            "d/1": old,
        },
    )


SEEDED = [
    (elections, VotesTwice, Voter, "two leaders"),
    (older_entry, CountsOldTerms, Careful, "agreed"),
    (reads, ReadsAtOnce, Voter, "stale read"),
    (changes, ChangesAtOnce, Voter, "agreed"),
]


@pytest.mark.parametrize(
    "model, bug, sound, what", SEEDED, ids=[bug.__name__ for _, bug, _, _ in SEEDED]
)
def test_seeded_bugs_are_found(model: Any, bug: type[Voter], sound: type[Voter], what: str) -> None:
    made, first = model(bug)
    assert what in made.explore(first, 60_000).violation
    made, first = model(sound)
    assert not (found := made.explore(first, SHORT)).violation, found.text()


class Cluster:
    """Voters in simulated time: messages with delays, lost, twice, cut; restarts of what was stored."""

    def __init__(self, seed: int, many: int, loss: float = 0.0, voter: type[Voter] = Voter) -> None:
        self.random, self.loss, self.type = random.Random(seed), loss, voter
        self.seats = Seats(tuple(f"{letter}/1" for letter in "abcdefg"[:many]))
        self.now, self.voters = 0.0, {seat: self.made(seat) for seat in self.seats.voters}
        self.down: set[str] = set()
        self.cut: set[tuple[str, str]] = set()
        self.wire: list[tuple[float, int, str, str, Any]] = []
        self.agreed: dict[int, Entry] = {}
        self.applied: dict[str, int] = {}
        self.leaders: dict[int, str] = {}
        self.answers: list[Any] = []
        self.changed = 0  # of leaders
        self.number = 0

    def made(self, seat: str) -> Voter:
        return self.type(seat, getattr(self, "now", 0.0), self.seats, self.random.uniform)

    def put(self, seat: str, name: str, *details: Any) -> None:
        voter = self.voters[seat]
        todo = deque(voter.step(self.now, name, *details))
        while todo:
            match todo.popleft():
                case Store(serial):
                    todo += voter.step(self.now, "stored", serial)
                case Send(to, message):
                    self.post(seat, to, message)
                case Commit(index, entry):
                    assert self.agreed.setdefault(index, entry) == entry
                    assert index == self.applied.get(seat, 0) + 1
                    self.applied[seat] = index
                case Restore(index, state):
                    assert state == self.state(index)
                    self.applied[seat] = index
                case Readable() | Unreadable() as answer:
                    self.answers.append(answer)
                case Led(leader, term) if leader == seat:
                    assert self.leaders.setdefault(term, seat) == seat
                    self.changed += 1

    @staticmethod
    def state(index: int) -> bytes:
        return b"%d " % index * 6000  # several pieces

    def post(self, sender: str, to: str, message: Any) -> None:
        if to not in self.voters or (sender, to) in self.cut:
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            if self.random.random() >= self.loss:
                self.number += 1
                late = self.random.expovariate(1 / 5.0)
                self.wire.append((self.now + 1.0 + late, self.number, sender, to, message))

    def run(self, for_ms: float) -> None:
        until = self.now + for_ms
        while self.now < until:
            self.now += 5.0
            due = sorted(
                (each for each in self.wire if each[0] <= self.now), key=lambda each: each[:2]
            )
            self.wire = [each for each in self.wire if each[0] > self.now]
            for _, _, sender, to, message in due:
                if to not in self.down:
                    packed = msgpack.unpackb(msgpack.packb(plain(message)), use_list=False)
                    self.put(to, "message", sender, message_of(packed))
            for seat in list(self.voters):
                if seat not in self.down:
                    self.put(seat, "time")

    def leader(self) -> str:
        found = [
            seat
            for seat, voter in self.voters.items()
            if voter.role == LEADER and seat not in self.down
        ]
        return max(found, key=lambda seat: self.voters[seat].term, default="")

    def await_leader(self, within_ms: float = 20_000.0) -> str:
        until = self.now + within_ms
        while not (
            (seat := self.leader()) and self.voters[seat].in_touch() and self.voters[seat].commit
        ):
            assert self.now < until, "no leader"
            self.run(50.0)
        return seat

    def restart(self, seat: str) -> None:
        old, new = self.voters[seat], self.made(seat)
        new.term, new.voted, new.log, new.commit = old.term, old.voted, old.log, old.log.base
        new.stored_index = old.log.last
        self.voters[seat], self.applied[seat] = new, old.log.base
        self.down.discard(seat)


@settings(max_examples=30, deadline=None)
@given(
    seed=st.integers(0, 10_000), many=st.sampled_from([3, 5]), loss=st.sampled_from([0.0, 0.1, 0.3])
)
def test_agreement_through_random_faults(seed: int, many: int, loss: float) -> None:
    cluster = Cluster(seed, many, loss)
    chance, seats = cluster.random, list(cluster.voters)
    for number in range(40):
        one, other = chance.sample(seats, 2)
        match chance.randrange(9):
            case 0:
                cluster.down.add(one)
            case 1 | 2:
                if cluster.down:
                    cluster.restart(sorted(cluster.down)[0])
            case 3:
                cluster.cut.add((one, other))  # one way
            case 4:
                cluster.cut.clear()
            case 5 if (leader := cluster.leader()) and cluster.voters[leader].commit:
                voter = cluster.voters[leader]
                voter.compact(voter.commit, cluster.state(voter.commit))
            case 6 if leader := cluster.leader():
                cluster.put(leader, "hand_over", "")
            case 7 if leader := cluster.leader():
                cluster.put(leader, "read", number)
            case _:
                for seat in seats:
                    if cluster.voters[seat].role == LEADER:
                        cluster.put(seat, "propose", f"{number} by {seat}")
        cluster.run(chance.uniform(10.0, 600.0))
    cluster.cut.clear()
    for seat in sorted(cluster.down):
        cluster.restart(seat)
    for _ in range(10):  # a leader may be about to hand over, or lose its place
        cluster.put(cluster.await_leader(60_000.0), "propose", "last")
        cluster.run(3000.0)
    assert any(entry.data == "last" for entry in cluster.agreed.values())
    assert len(set(cluster.applied.values())) == 1 or loss > 0.0
    cluster.loss = 0.0
    cluster.run(10_000.0)
    assert len(set(cluster.applied.values())) == 1


def test_a_flapping_link_changes_no_leader() -> None:
    cluster = Cluster(4, 5)
    leader = cluster.await_leader()
    other = next(seat for seat in cluster.voters if seat != leader)
    for _ in range(
        20
    ):  # the link of one voter to all comes and goes, longer than an election takes
        cluster.cut |= {(other, seat) for seat in cluster.voters} | {
            (seat, other) for seat in cluster.voters
        }
        cluster.run(2500.0)
        cluster.cut.clear()
        cluster.run(700.0)
    assert cluster.leader() == leader and cluster.changed == 1


@pytest.mark.parametrize("way", ["deaf", "mute"])
def test_a_leader_cut_one_way_makes_room(way: str) -> None:
    cluster = Cluster(5, 5)
    leader = cluster.await_leader()
    others = [seat for seat in cluster.voters if seat != leader]
    cluster.cut = {(leader, seat) if way == "mute" else (seat, leader) for seat in others}
    cluster.run(8000.0)
    assert cluster.voters[leader].role != LEADER
    assert cluster.leader() in others


def test_a_stopped_leader_that_wakes_reads_nothing_stale() -> None:
    cluster = Cluster(6, 3)
    leader = cluster.await_leader()
    cluster.down.add(leader)  # as SIGSTOP: it keeps everything
    cluster.run(10_000.0)
    second = cluster.leader()
    assert second and second != leader
    cluster.put(second, "propose", "news")
    cluster.run(1000.0)
    cluster.down.clear()
    cluster.put(leader, "read", "stale?")  # before it hears of anything
    cluster.put(leader, "propose", "lost")
    cluster.run(3000.0)
    assert [type(each) for each in cluster.answers] == [Unreadable]
    assert "lost" not in [entry.data for entry in cluster.agreed.values()]


def test_reads_see_what_was_agreed_before() -> None:
    cluster = Cluster(7, 5)
    leader = cluster.await_leader()
    cluster.put(leader, "propose", "x")
    cluster.run(500.0)
    agreed = max(cluster.agreed)
    cluster.put(leader, "read", 1)
    cluster.run(500.0)
    assert cluster.answers == [Readable(1, agreed)]


def test_leadership_is_handed_over_faster_than_an_election() -> None:
    cluster = Cluster(8, 5)
    leader = cluster.await_leader()
    cluster.put(leader, "hand_over", "")
    cluster.run(200.0)  # a fifth of the shortest silence that would bring an election
    assert cluster.leader() not in ("", leader)


def test_nothing_is_sent_before_what_it_rests_on_is_stored() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    asked = AskVote(1, 0, 0, False, False)
    effects = voter.step(5000.0, "message", "b/1", asked)
    stores = [each for each in effects if isinstance(each, Store)]
    assert len(stores) == 1 and stores[0].voted == "b/1"
    assert not [each for each in effects if isinstance(each, Send)]
    sent = [
        each for each in voter.step(5001.0, "stored", stores[0].serial) if isinstance(each, Send)
    ]
    assert [each.to for each in sent] == ["b/1"]


def test_a_replaced_entry_counts_only_once_stored_anew() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    first = (Entry(1, "noop", None), Entry(1, "do", "x"))
    voter.step(1.0, "message", "b/1", Append(1, 0, 0, first, 0, 1))
    voter.step(2.0, "message", "c/1", Append(2, 0, 0, (Entry(2, "noop", None),), 0, 1))
    voter.step(3.0, "stored", 1)
    assert voter.stored_index == 0
    voter.step(4.0, "stored", voter.serial)
    assert voter.stored_index == 1


def test_a_snapshot_keeps_what_may_have_been_counted() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    entries = tuple(Entry(1, "do", number) for number in range(3))
    voter.step(1.0, "message", "b/1", Append(1, 0, 0, entries, 0, 1))
    voter.step(2.0, "message", "b/1", Install(1, 2, 1, ABC, 0, b"state", True, 2))
    assert (voter.log.last, voter.commit) == (3, 2)


# New lives


def test_seats_change_one_at_a_time_and_a_new_life_gets_its_vote() -> None:
    cluster = Cluster(9, 5)
    leader = cluster.await_leader()
    for number in range(10):
        cluster.put(leader, "propose", number)
    cluster.run(500.0)
    voter = cluster.voters[leader]
    voter.compact(voter.commit, cluster.state(voter.commit))
    old = next(seat for seat in cluster.voters if seat != leader)
    cluster.down.add(old)
    new = old.replace("/1", "/2")
    cluster.voters[new] = Voter(new, cluster.now, Seats(), cluster.random.uniform)
    before = set(cluster.seats.voters)
    for _ in range(100):
        made = seated(voter, {new.partition("/")[0]: new}, lambda seat: seat not in cluster.down)
        if made is not None:
            assert len(before ^ set(made.voters)) <= 1
            before = set(made.voters)
            cluster.put(leader, "change", made)
        cluster.run(100.0)
    assert set(voter.log.seats.voters) == set(cluster.seats.voters) - {old} | {new}
    assert cluster.applied[new] == cluster.applied[leader]


def test_the_same_name_twice_waits_while_the_first_is_alive() -> None:
    cluster = Cluster(10, 3)
    voter = cluster.voters[cluster.await_leader()]
    other = next(seat for seat in cluster.voters if seat != voter.me)
    assert seated(voter, {other[0]: f"{other[0]}/2"}, lambda seat: True) is None
    assert seated(voter, {other[0]: f"{other[0]}/2"}, lambda seat: False) is not None


def founded(foundings: dict[str, Founding], rounds: int, *lost: str) -> None:
    """`foundings` by name, with everyone's seat."""
    for number in range(rounds):
        todo = deque(
            (founding.me, say)
            for founding in foundings.values()
            for say in founding.time(number * Founding.ASK_MS)
        )
        while todo:
            sender, say = todo.popleft()
            if say.to in foundings and say.told[0] not in lost:
                to = foundings[say.to]
                todo += [(to.me, each) for each in to.said(sender, say.told)]


def test_a_fleet_is_founded_once_all_are_there_and_know_nothing() -> None:
    names = ["a", "b", "c"]
    some = {name: Founding(f"{name}/1", names) for name in "ab"}
    founded(some, 5)
    assert all(each.seats is None for each in some.values())
    some["c"] = Founding("c/1", names)
    founded(some, 9)
    assert {each.seats for each in some.values()} == {ABC}
    some["b"] = Founding("b/2", names)  # its memory is gone: it asks for a seat, and founds nothing
    founded(some, 9)
    assert some["b"].seats is None and some["b"].known


def test_a_founder_that_starts_anew_cannot_found_beside_its_former_life() -> None:
    names = ["a", "b", "c"]
    some = {name: Founding(f"{name}/1", names) for name in names}
    founded(some, 9, "found")  # nobody hears of it
    assert some["a"].seats == ABC
    some["a"] = Founding("a/2", names)
    founded(some, 9)
    assert {each.seats for each in some.values()} == {Seats(("a/2", "b/1", "c/1"))}
    some["b"].said("a/1", ("found", "a/1", ABC))  # late
    assert some["b"].seats == Seats(("a/2", "b/1", "c/1"))


def test_what_is_no_message_is_refused_with_its_place() -> None:
    wrong: list[Any] = [[], 7, ["vote"], ["vote", 1, 2, True], ["append", -1, 0, 0, [], 0, 0]]
    wrong += [
        ["append", 1, 0, 0, [[1, "x", 0]], 0, 0],
        ["install", 1, 1, 1, [["a"], []], 0, b"", True, 0],
    ]
    for told in wrong:
        with pytest.raises(BadMessage):
            message_of(told)
    with pytest.raises(BadMessage, match="no word of a founding"):
        Founding("a/1", ["a"]).said("b/1", ("who", "c/1"))


def test_roles_are_left_with_the_term() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    voter.role, voter.term, voter.voted = CANDIDATE, 3, "a/1"
    voter.step(1.0, "message", "b/1", Append(4, 0, 0, (), 0, 1))
    assert (voter.role, voter.term, voter.voted, voter.leader) == (FOLLOWER, 4, "", "b/1")
