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

from pumicenotch.consensus.bootstrap import Bootstrap
from pumicenotch.consensus.effects import (
    ApplyEntry,
    LeaderChanged,
    Persist,
    ReadFailed,
    ReadReady,
    RestoreSnapshot,
    Send,
)
from pumicenotch.consensus.inputs import (
    ChangeMembership,
    Input,
    MessageReceived,
    Persisted,
    Propose,
    RequestRead,
    Tick,
    TransferLeadership,
)
from pumicenotch.consensus.membership_changes import next_membership
from pumicenotch.consensus.messages import (
    AppendEntries,
    Bootstrapped,
    ClusterMembership,
    Discover,
    Entry,
    EntryKind,
    InstallSnapshot,
    MessageDecodeError,
    RequestVote,
    VoterId,
    decode_bootstrap_message,
    decode_message,
    encode_message,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter
from pumicenotch.lab.consensus_model import LONG, ROOT, Agreement, Bounds, led, long_form, three
from pumicenotch.lab.explore import Explorer

ABC = ClusterMembership(("a/1", "b/1", "c/1"))
SHORT = 6_000  # states in CI; `python -m pumicenotch.lab.consensus_model` goes on to a million each


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
    def may_grant_vote(self, sender: VoterId, request: RequestVote) -> bool:
        return request.term == self.term or request.pre_vote


class CountsOldTerms(Voter):
    MAX_ENTRIES_PER_MESSAGE = 1

    def advance_commit_index(self) -> None:
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.membership.has_majority(self.members_with_entry(index)):
                self.commit_up_to(index)
                return


class Careful(Voter):
    MAX_ENTRIES_PER_MESSAGE = 1


class ReadsAtOnce(Voter):
    def request_read(self, key: Any) -> None:
        self.effects.append(ReadReady(key, self.commit_index))


class ChangesAtOnce(Voter):
    def can_change_membership(self) -> bool:
        return self.log.membership_index <= self.commit_index


ROOT_AND_A, ROOT_AND_B = (
    (ROOT, Entry(2, EntryKind.COMMAND, "a")),
    (ROOT, Entry(3, EntryKind.COMMAND, "b")),
)
FOUR = ClusterMembership(("a/1", "b/1", "c/1", "d/1"))
FIVE = ClusterMembership((*FOUR.voters, "e/1"))
WITHOUT_A = ClusterMembership(("b/1", "c/1", "d/1"))


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
    same = {"term": 4, "commit_index": 1}
    leads = {
        "role": Role.LEADER,
        "next_index": {"a/1": 2, "b/1": 2, "c/1": 2},
        "match_index": {"b/1": 1},
    }
    return model, model.first(
        **{
            "a/1": {
                **same,
                "entries": (*ROOT_AND_A, Entry(4, EntryKind.NO_OP, None)),
                **leads,
                "voted_for": "a/1",
            },
            "b/1": {**same, "entries": (ROOT,), "voted_for": "a/1"},
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
    old = {"term": 2, "voted_for": "b/1", "entries": (ROOT,), "commit_index": 1}
    leads = {
        "role": Role.LEADER,
        "next_index": dict.fromkeys(FOUR.voters, 2),
        "match_index": {"c/1": 1, "d/1": 1},
    }
    return model, model.first(
        **{
            "a/1": {
                **old,
                "voted_for": "",
                "entries": (ROOT, Entry(1, EntryKind.MEMBERSHIP, FIVE)),
            },
            "b/1": {**old, "entries": (ROOT, Entry(2, EntryKind.NO_OP, None)), **leads},
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
        self.seats = ClusterMembership(tuple(f"{letter}/1" for letter in "abcdefg"[:many]))
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

    def put(self, seat: VoterId, event: Input) -> None:
        voter = self.voters[seat]
        todo = deque(voter.step(self.now, event))
        while todo:
            match todo.popleft():
                case Persist(serial):
                    todo += voter.step(self.now, Persisted(serial))
                case Send(to, message):
                    self.post(seat, to, message)
                case ApplyEntry(index, entry):
                    assert self.agreed.setdefault(index, entry) == entry
                    assert index == self.applied.get(seat, 0) + 1
                    self.applied[seat] = index
                case RestoreSnapshot(index, state):
                    assert state == self.state(index)
                    self.applied[seat] = index
                case ReadReady() | ReadFailed() as answer:
                    self.answers.append(answer)
                case LeaderChanged(leader, term) if leader == seat:
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
                    packed = msgpack.unpackb(msgpack.packb(encode_message(message)), use_list=False)
                    self.put(to, MessageReceived(sender, decode_message(packed)))
            for seat in list(self.voters):
                if seat not in self.down:
                    self.put(seat, Tick())

    def leader(self) -> str:
        found = [
            seat
            for seat, voter in self.voters.items()
            if voter.role is Role.LEADER and seat not in self.down
        ]
        return max(found, key=lambda seat: self.voters[seat].term, default="")

    def await_leader(self, within_ms: float = 20_000.0) -> str:
        until = self.now + within_ms
        while not (
            (seat := self.leader())
            and self.voters[seat].has_active_quorum()
            and self.voters[seat].commit_index
        ):
            assert self.now < until, "no leader"
            self.run(50.0)
        return seat

    def restart(self, seat: str) -> None:
        old, new = self.voters[seat], self.made(seat)
        new.term, new.voted_for, new.log, new.commit_index = (
            old.term,
            old.voted_for,
            old.log,
            old.log.snapshot_index,
        )
        new.persistence.persisted_index = old.log.last_index
        self.voters[seat], self.applied[seat] = new, old.log.snapshot_index
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
            case 5 if (leader := cluster.leader()) and cluster.voters[leader].commit_index:
                voter = cluster.voters[leader]
                voter.compact(voter.commit_index, cluster.state(voter.commit_index))
            case 6 if leader := cluster.leader():
                cluster.put(leader, TransferLeadership(""))
            case 7 if leader := cluster.leader():
                cluster.put(leader, RequestRead(number))
            case _:
                for seat in seats:
                    if cluster.voters[seat].role is Role.LEADER:
                        cluster.put(seat, Propose(f"{number} by {seat}"))
        cluster.run(chance.uniform(10.0, 600.0))
    cluster.cut.clear()
    for seat in sorted(cluster.down):
        cluster.restart(seat)
    for _ in range(10):  # a leader may be about to hand over, or lose its place
        cluster.put(cluster.await_leader(60_000.0), Propose("last"))
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
    assert cluster.voters[leader].role is not Role.LEADER
    assert cluster.leader() in others


def test_a_stopped_leader_that_wakes_reads_nothing_stale() -> None:
    cluster = Cluster(6, 3)
    leader = cluster.await_leader()
    cluster.down.add(leader)  # as SIGSTOP: it keeps everything
    cluster.run(10_000.0)
    second = cluster.leader()
    assert second and second != leader
    cluster.put(second, Propose("news"))
    cluster.run(1000.0)
    cluster.down.clear()
    cluster.put(leader, RequestRead("stale?"))  # before it hears of anything
    cluster.put(leader, Propose("lost"))
    cluster.run(3000.0)
    assert [type(each) for each in cluster.answers] == [ReadFailed]
    assert "lost" not in [entry.data for entry in cluster.agreed.values()]


def test_reads_see_what_was_agreed_before() -> None:
    cluster = Cluster(7, 5)
    leader = cluster.await_leader()
    cluster.put(leader, Propose("x"))
    cluster.run(500.0)
    agreed = max(cluster.agreed)
    cluster.put(leader, RequestRead(1))
    cluster.run(500.0)
    assert cluster.answers == [ReadReady(1, agreed)]


def test_leadership_is_handed_over_faster_than_an_election() -> None:
    cluster = Cluster(8, 5)
    leader = cluster.await_leader()
    cluster.put(leader, TransferLeadership(""))
    cluster.run(200.0)  # a fifth of the shortest silence that would bring an election
    assert cluster.leader() not in ("", leader)


def test_nothing_is_sent_before_what_it_rests_on_is_stored() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    request = RequestVote(1, 0, 0, False, False)
    effects = voter.step(5000.0, MessageReceived("b/1", request))
    stores = [each for each in effects if isinstance(each, Persist)]
    assert len(stores) == 1 and stores[0].voted_for == "b/1"
    assert not [each for each in effects if isinstance(each, Send)]
    sent = [
        each for each in voter.step(5001.0, Persisted(stores[0].serial)) if isinstance(each, Send)
    ]
    assert [each.recipient for each in sent] == ["b/1"]


def test_a_replaced_entry_counts_only_once_stored_anew() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    first = (Entry(1, EntryKind.NO_OP, None), Entry(1, EntryKind.COMMAND, "x"))
    voter.step(1.0, MessageReceived("b/1", AppendEntries(1, 0, 0, first, 0, 1)))
    voter.step(
        2.0,
        MessageReceived("c/1", AppendEntries(2, 0, 0, (Entry(2, EntryKind.NO_OP, None),), 0, 1)),
    )
    voter.step(3.0, Persisted(1))
    assert voter.persistence.persisted_index == 0
    voter.step(4.0, Persisted(voter.persistence.serial))
    assert voter.persistence.persisted_index == 1


def test_a_snapshot_keeps_what_may_have_been_counted() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    entries = tuple(Entry(1, EntryKind.COMMAND, number) for number in range(3))
    voter.step(1.0, MessageReceived("b/1", AppendEntries(1, 0, 0, entries, 0, 1)))
    voter.step(2.0, MessageReceived("b/1", InstallSnapshot(1, 2, 1, ABC, 0, b"state", True, 2)))
    assert (voter.log.last_index, voter.commit_index) == (3, 2)


# New lives


def test_seats_change_one_at_a_time_and_a_new_life_gets_its_vote() -> None:
    cluster = Cluster(9, 5)
    leader = cluster.await_leader()
    for number in range(10):
        cluster.put(leader, Propose(number))
    cluster.run(500.0)
    voter = cluster.voters[leader]
    voter.compact(voter.commit_index, cluster.state(voter.commit_index))
    old = next(seat for seat in cluster.voters if seat != leader)
    cluster.down.add(old)
    new = old.replace("/1", "/2")
    cluster.voters[new] = Voter(new, cluster.now, ClusterMembership(), cluster.random.uniform)
    before = set(cluster.seats.voters)
    for _ in range(100):
        made = next_membership(
            voter, {new.partition("/")[0]: new}, lambda seat: seat not in cluster.down
        )
        if made is not None:
            assert len(before ^ set(made.voters)) <= 1
            before = set(made.voters)
            cluster.put(leader, ChangeMembership(made))
        cluster.run(100.0)
    assert set(voter.log.membership.voters) == set(cluster.seats.voters) - {old} | {new}
    assert cluster.applied[new] == cluster.applied[leader]


def test_the_same_name_twice_waits_while_the_first_is_alive() -> None:
    cluster = Cluster(10, 3)
    voter = cluster.voters[cluster.await_leader()]
    other = next(seat for seat in cluster.voters if seat != voter.voter_id)
    assert next_membership(voter, {other[0]: f"{other[0]}/2"}, lambda seat: True) is None
    assert next_membership(voter, {other[0]: f"{other[0]}/2"}, lambda seat: False) is not None


def discover(bootstraps: dict[str, Bootstrap], rounds: int, lost: type[Any] | None = None) -> None:
    """Rounds of discovery among `bootstraps`, which are by name; messages of a type may be lost."""
    for number in range(rounds):
        todo = deque(
            (bootstrap.voter_id, send)
            for bootstrap in bootstraps.values()
            for send in bootstrap.on_tick(number * Bootstrap.DISCOVERY_INTERVAL_MS)
        )
        while todo:
            sender, (name, message) = todo.popleft()
            if name in bootstraps and type(message) is not lost:
                recipient = bootstraps[name]
                received = decode_bootstrap_message(encode_message(message))
                todo += [(recipient.voter_id, send) for send in recipient.receive(sender, received)]


def test_cluster_is_bootstrapped_once_all_are_there_and_know_of_none() -> None:
    names = ["a", "b", "c"]
    some = {name: Bootstrap(f"{name}/1", names) for name in "ab"}
    discover(some, 5)
    assert all(bootstrap.membership is None for bootstrap in some.values())
    some["c"] = Bootstrap("c/1", names)
    discover(some, 9)
    assert {bootstrap.membership for bootstrap in some.values()} == {ABC}
    some["b"] = Bootstrap("b/2", names)  # its log is gone: it asks to join, and bootstraps nothing
    discover(some, 9)
    assert some["b"].membership is None and some["b"].cluster_exists


def test_restarted_founder_cannot_bootstrap_beside_its_former_incarnation() -> None:
    names = ["a", "b", "c"]
    some = {name: Bootstrap(f"{name}/1", names) for name in names}
    discover(some, 9, Bootstrapped)  # nobody hears of it
    assert some["a"].membership == ABC
    some["a"] = Bootstrap("a/2", names)
    discover(some, 9)
    second = ClusterMembership(("a/2", "b/1", "c/1"))
    assert {bootstrap.membership for bootstrap in some.values()} == {second}
    some["b"].receive("a/1", Bootstrapped("a/1", ABC))  # late
    assert some["b"].membership == second


def test_what_is_no_message_is_refused_with_its_place() -> None:
    wrong: list[Any] = [[], 7, ["vote"], ["vote", 1, 2, True], ["append", -1, 0, 0, [], 0, 0]]
    wrong += [
        ["append", 1, 0, 0, [[1, "x", 0]], 0, 0],
        ["install", 1, 1, 1, [["a"], []], 0, b"", True, 0],
    ]
    for told in wrong:
        with pytest.raises(MessageDecodeError):
            decode_message(told)
    with pytest.raises(MessageDecodeError, match="bootstrap"):
        Bootstrap("a/1", ["a"]).receive("b/1", Discover("c/1"))
    for told in ([], 7, ["who"], ["who", 7], ["fresh", "a/1"], ["vote", 1, True, False]):
        with pytest.raises(MessageDecodeError):
            decode_bootstrap_message(told)


def test_roles_are_left_with_the_term() -> None:
    voter = Voter("a/1", 0.0, ABC, lambda low, high: low)
    voter.role, voter.term, voter.voted_for = Role.CANDIDATE, 3, "a/1"
    voter.step(1.0, MessageReceived("b/1", AppendEntries(4, 0, 0, (), 0, 1)))
    assert (voter.role, voter.term, voter.voted_for, voter.leader_id) == (
        Role.FOLLOWER,
        4,
        "",
        "b/1",
    )
