"""Guards against faults in single steps of one voter.

For example, a message sent before its vote is durable, or a log truncated by a snapshot.
"""

from pumicenotch.consensus.effects import (
    Persist,
    Send,
)
from pumicenotch.consensus.inputs import (
    MessageReceived,
    Persisted,
)
from pumicenotch.consensus.messages import (
    AppendEntries,
    Entry,
    EntryKind,
    InstallSnapshot,
    RequestVote,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter
from tests.consensus.cluster import THREE_VOTERS


def test_messages_are_sent_only_after_the_vote_is_persisted() -> None:
    voter = Voter("a/1", 0.0, THREE_VOTERS, lambda low, high: low)
    request = RequestVote(1, 0, 0, False, False)
    effects = voter.step(5000.0, MessageReceived("b/1", request))
    writes = [effect for effect in effects if isinstance(effect, Persist)]
    assert len(writes) == 1 and writes[0].voted_for == "b/1"
    assert not [effect for effect in effects if isinstance(effect, Send)]
    sent = [
        effect
        for effect in voter.step(5001.0, Persisted(writes[0].serial))
        if isinstance(effect, Send)
    ]
    assert [effect.recipient for effect in sent] == ["b/1"]


def test_replaced_entry_is_durable_only_after_its_replacement_is_persisted() -> None:
    voter = Voter("a/1", 0.0, THREE_VOTERS, lambda low, high: low)
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


def test_snapshot_that_matches_the_log_keeps_later_entries() -> None:
    voter = Voter("a/1", 0.0, THREE_VOTERS, lambda low, high: low)
    entries = tuple(Entry(1, EntryKind.COMMAND, number) for number in range(3))
    voter.step(1.0, MessageReceived("b/1", AppendEntries(1, 0, 0, entries, 0, 1)))
    voter.step(
        2.0, MessageReceived("b/1", InstallSnapshot(1, 2, 1, THREE_VOTERS, 0, b"state", True, 2))
    )
    assert (voter.log.last_index, voter.commit_index) == (3, 2)


def test_candidate_follows_the_leader_of_a_later_term() -> None:
    voter = Voter("a/1", 0.0, THREE_VOTERS, lambda low, high: low)
    voter.role, voter.term, voter.voted_for = Role.CANDIDATE, 3, "a/1"
    voter.step(1.0, MessageReceived("b/1", AppendEntries(4, 0, 0, (), 0, 1)))
    assert (voter.role, voter.term, voter.voted_for, voter.leader_id) == (
        Role.FOLLOWER,
        4,
        "",
        "b/1",
    )
