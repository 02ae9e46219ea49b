"""Guards against violations of safety in any order of events, by exploring a model's states.

Faulty voters, each with one seeded bug, check that the exploration finds violations.
"""

from typing import Any

import pytest

from pumicenotch.consensus.effects import (
    ReadReady,
)
from pumicenotch.consensus.messages import (
    ClusterMembership,
    Entry,
    EntryKind,
    RequestVote,
    VoterId,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter
from pumicenotch.lab.consensus_model import (
    LONG,
    ROOT,
    Bounds,
    ConsensusModel,
    led,
    long_form,
    three,
)
from pumicenotch.lab.explore import Explorer
from tests.consensus.cluster import THREE_VOTERS

# States explored in CI. `python -m pumicenotch.lab.consensus_model` explores a million per model.
MAX_STATES = 6_000


@pytest.mark.parametrize("narrow", [False, True], ids=["wide", "deep"])
@pytest.mark.parametrize("name, bounds", LONG, ids=[name for name, _ in LONG])
def test_no_violation_is_reachable_within_the_bounds(
    name: str, bounds: Bounds, narrow: bool
) -> None:
    found = long_form(bounds, MAX_STATES, narrow)
    assert not found.violation, found.text()
    assert found.states >= MAX_STATES


@pytest.mark.parametrize("name, bounds", LONG, ids=[name for name, _ in LONG])
def test_no_violation_on_random_walks_through_several_elections(name: str, bounds: Bounds) -> None:
    """Random walks reach deeper states than the breadth-first search."""
    model = three(Bounds(*(3 * bound for bound in bounds)))
    found = Explorer(model.after, model.wrong).wander(led(model), 2, 12, 120)
    assert not found.violation, found.text()
    assert found.depth > 30


class VotesTwice(Voter):
    def may_grant_vote(self, sender: VoterId, request: RequestVote) -> bool:
        return request.term == self.term or request.pre_vote


class CommitsEarlierTerms(Voter):
    MAX_ENTRIES_PER_MESSAGE = 1

    def advance_commit_index(self) -> None:
        for index in range(self.log.last_index, self.commit_index, -1):
            if self.log.membership.has_majority(self.members_with_entry(index)):
                self.commit_up_to(index)
                return


class SendsSingleEntries(Voter):
    MAX_ENTRIES_PER_MESSAGE = 1


class ReadsWithoutHeartbeats(Voter):
    def request_read(self, key: Any) -> None:
        self.effects.append(ReadReady(key, self.commit_index))


class ChangesWithoutCommit(Voter):
    def can_change_membership(self) -> bool:
        return self.log.membership_index <= self.commit_index


LOG_WITH_A, LOG_WITH_B = (
    (ROOT, Entry(2, EntryKind.COMMAND, "a")),
    (ROOT, Entry(3, EntryKind.COMMAND, "b")),
)


FOUR = ClusterMembership(("a/1", "b/1", "c/1", "d/1"))


FIVE = ClusterMembership((*FOUR.voters, "e/1"))


WITHOUT_A = ClusterMembership(("b/1", "c/1", "d/1"))


def election_model(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    model = ConsensusModel(
        list(THREE_VOTERS.voters), THREE_VOTERS, Bounds(timeouts=2, proposals=0), voter=voter
    )
    return model, model.first()


def earlier_term_model(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    """Figure 8 of the thesis: a leads again with an entry of term 2, c has another of term 3."""
    bounds = Bounds(timeouts=2, proposals=0)
    model = ConsensusModel(
        list(THREE_VOTERS.voters),
        THREE_VOTERS,
        bounds,
        voter=voter,
        patient=frozenset({"b/1"}),
        cut=frozenset({("a/1", "c/1"), ("c/1", "a/1")}),
    )
    common = {"term": 4, "commit_index": 1}
    leader_fields = {
        "role": Role.LEADER,
        "next_index": {"a/1": 2, "b/1": 2, "c/1": 2},
        "match_index": {"b/1": 1},
    }
    return model, model.first(
        **{
            "a/1": {
                **common,
                "entries": (*LOG_WITH_A, Entry(4, EntryKind.NO_OP, None)),
                **leader_fields,
                "voted_for": "a/1",
            },
            "b/1": {**common, "entries": (ROOT,), "voted_for": "a/1"},
            "c/1": {**common, "entries": LOG_WITH_B},
        },
    )


def read_model(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    cut = frozenset({("a/1", "b/1"), ("a/1", "c/1"), ("b/1", "a/1"), ("c/1", "a/1")})
    model = ConsensusModel(
        list(THREE_VOTERS.voters),
        THREE_VOTERS,
        Bounds(timeouts=1, proposals=0, reads=1),
        voter=voter,
        cut=cut,
        patient=frozenset({"c/1"}),
    )
    return model, led(model)


def membership_change_model(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    """The case behind the correction of 2015.

    In term 1, a appended a change that adds e, and no other voter received it. In term 2, b is the
    leader and removes a.
    """
    names = list(FIVE.voters)
    open_links = {
        ("a/1", "d/1"),
        ("a/1", "e/1"),
        ("d/1", "a/1"),
        ("e/1", "a/1"),
        ("b/1", "c/1"),
        ("c/1", "b/1"),
    }
    cut = frozenset((sender, recipient) for sender in names for recipient in names) - open_links
    model = ConsensusModel(
        names,
        FOUR,
        Bounds(timeouts=1, proposals=0, changes=1),
        voter=voter,
        changes=(WITHOUT_A,),
        cut=frozenset(cut),
        patient=frozenset({"c/1", "d/1", "e/1"}),
    )
    follower_fields = {"term": 2, "voted_for": "b/1", "entries": (ROOT,), "commit_index": 1}
    leader_fields = {
        "role": Role.LEADER,
        "next_index": dict.fromkeys(FOUR.voters, 2),
        "match_index": {"c/1": 1, "d/1": 1},
    }
    return model, model.first(
        **{
            "a/1": {
                **follower_fields,
                "voted_for": "",
                "entries": (ROOT, Entry(1, EntryKind.MEMBERSHIP, FIVE)),
            },
            "b/1": {
                **follower_fields,
                "entries": (ROOT, Entry(2, EntryKind.NO_OP, None)),
                **leader_fields,
            },
            "c/1": follower_fields,
            "d/1": follower_fields,
        },
    )


SEEDED_BUGS = [
    (election_model, VotesTwice, Voter, "two leaders"),
    (earlier_term_model, CommitsEarlierTerms, SendsSingleEntries, "agreed"),
    (read_model, ReadsWithoutHeartbeats, Voter, "stale read"),
    (membership_change_model, ChangesWithoutCommit, Voter, "agreed"),
]


@pytest.mark.parametrize(
    "make_model, faulty, correct, expected_violation",
    SEEDED_BUGS,
    ids=[faulty.__name__ for _, faulty, _, _ in SEEDED_BUGS],
)
def test_seeded_bugs_are_found(
    make_model: Any, faulty: type[Voter], correct: type[Voter], expected_violation: str
) -> None:
    model, first = make_model(faulty)
    assert expected_violation in model.explore(first, 60_000).violation
    model, first = make_model(correct)
    assert not (found := model.explore(first, MAX_STATES)).violation, found.text()
