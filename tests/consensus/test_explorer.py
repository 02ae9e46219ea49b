"""Consensus explored state by state, with seeded bugs that must be found."""

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
from tests.consensus.cluster import ABC

SHORT = 6_000  # states in CI; `python -m pumicenotch.lab.consensus_model` goes on to a million each


@pytest.mark.parametrize("narrow", [False, True], ids=["wide", "deep"])
@pytest.mark.parametrize("name, bounds", LONG, ids=[name for name, _ in LONG])
def test_no_violation_is_reachable_within_the_bounds(
    name: str, bounds: Bounds, narrow: bool
) -> None:
    found = long_form(bounds, SHORT, narrow)
    assert not found.violation, found.text()
    assert found.states >= SHORT


@pytest.mark.parametrize("name, bounds", LONG, ids=[name for name, _ in LONG])
def test_no_violation_on_random_walks_through_several_elections(name: str, bounds: Bounds) -> None:
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


def elections(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    model = ConsensusModel(list(ABC.voters), ABC, Bounds(timeouts=2, proposals=0), voter=voter)
    return model, model.first()


def older_entry(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    """Figure 8 of the thesis: a leads again with an entry of term 2, c has another of term 3."""
    bounds = Bounds(timeouts=2, proposals=0)
    model = ConsensusModel(
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


def reads(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
    cut = frozenset({("a/1", "b/1"), ("a/1", "c/1"), ("b/1", "a/1"), ("c/1", "a/1")})
    model = ConsensusModel(
        list(ABC.voters),
        ABC,
        Bounds(timeouts=1, proposals=0, reads=1),
        voter=voter,
        cut=cut,
        patient=frozenset({"c/1"}),
    )
    return model, led(model)


def changes(voter: type[Voter]) -> tuple[ConsensusModel, Any]:
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
    model = ConsensusModel(
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
