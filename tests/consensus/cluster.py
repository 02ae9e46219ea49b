"""A simulated cluster: voters, a faulty network and restarts, in simulated time."""

import random
from collections import deque
from typing import NamedTuple

import msgpack

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
    Input,
    MessageReceived,
    Persisted,
    Tick,
)
from pumicenotch.consensus.messages import (
    ClusterMembership,
    Entry,
    Message,
    VoterId,
    decode_message,
    encode_message,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter

THREE_VOTERS = ClusterMembership(("a/1", "b/1", "c/1"))


class Delivery(NamedTuple):
    """A message in flight."""

    deliver_at_ms: float
    number: int  # position in the order of sending
    sender: VoterId
    recipient: VoterId
    message: Message


class Cluster:
    """Voters in simulated time, with a network that loses, delays and duplicates messages.

    The cluster asserts that all voters apply the same entries in log order and that a term has one
    leader.

    Attributes:
        loss: The probability that a message is lost, and that it is duplicated.
        stopped: The voters that are paused; they keep their whole state.
        blocked_links: Pairs of sender and recipient between which no message is delivered.
        committed: The entries that any voter has applied, by log index.
        applied: The last log index that each voter has applied.
        leaders: The leader of each term.
        read_results: The results of reads, in order of completion.
        leader_changes: The number of times that a voter became the leader.
        sent: The number of messages sent and not lost.
    """

    STEP_MS = 5.0

    def __init__(
        self, seed: int, voter_count: int, loss: float = 0.0, voter_type: type[Voter] = Voter
    ) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.voter_type = voter_type
        names = "abcdefg"[:voter_count]
        self.membership = ClusterMembership(tuple(f"{name}/1" for name in names))
        self.now_ms = 0.0
        self.voters = {voter_id: self.new_voter(voter_id) for voter_id in self.membership.voters}
        self.stopped: set[VoterId] = set()
        self.blocked_links: set[tuple[VoterId, VoterId]] = set()
        self.in_flight: list[Delivery] = []
        self.committed: dict[int, Entry] = {}
        self.applied: dict[VoterId, int] = {}
        self.leaders: dict[int, VoterId] = {}
        self.read_results: list[ReadReady | ReadFailed] = []
        self.leader_changes = 0
        self.sent = 0

    def new_voter(self, voter_id: VoterId) -> Voter:
        return self.voter_type(voter_id, self.now_ms, self.membership, self.random.uniform)

    def step_voter(self, voter_id: VoterId, event: Input) -> None:
        """Gives a voter an input and executes the effects."""
        voter = self.voters[voter_id]
        effects = deque(voter.step(self.now_ms, event))
        while effects:
            match effects.popleft():
                case Persist(serial):
                    effects += voter.step(self.now_ms, Persisted(serial))
                case Send(recipient, message):
                    self.send(voter_id, recipient, message)
                case ApplyEntry(index, entry):
                    assert self.committed.setdefault(index, entry) == entry
                    assert index == self.applied.get(voter_id, 0) + 1
                    self.applied[voter_id] = index
                case RestoreSnapshot(index, data):
                    assert data == self.snapshot(index)
                    self.applied[voter_id] = index
                case ReadReady() | ReadFailed() as result:
                    self.read_results.append(result)
                case LeaderChanged(leader, term) if leader == voter_id:
                    assert self.leaders.setdefault(term, voter_id) == voter_id
                    self.leader_changes += 1

    @staticmethod
    def snapshot(index: int) -> bytes:
        return b"%d " % index * 6000  # large enough for several chunks

    def send(self, sender: VoterId, recipient: VoterId, message: Message) -> None:
        if recipient not in self.voters or (sender, recipient) in self.blocked_links:
            return
        for _ in range(2 if self.random.random() < self.loss else 1):
            if self.random.random() >= self.loss:
                self.sent += 1
                delay_ms = 1.0 + self.random.expovariate(1 / 5.0)
                deliver_at_ms = self.now_ms + delay_ms
                self.in_flight.append(
                    Delivery(deliver_at_ms, self.sent, sender, recipient, message)
                )

    def run(self, duration_ms: float) -> None:
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += self.STEP_MS
            self.deliver_messages()
            for voter_id in list(self.voters):
                if voter_id not in self.stopped:
                    self.step_voter(voter_id, Tick())

    def deliver_messages(self) -> None:
        arrived = [delivery for delivery in self.in_flight if delivery.deliver_at_ms <= self.now_ms]
        self.in_flight = [
            delivery for delivery in self.in_flight if delivery.deliver_at_ms > self.now_ms
        ]
        for delivery in sorted(
            arrived, key=lambda delivery: (delivery.deliver_at_ms, delivery.number)
        ):
            if delivery.recipient not in self.stopped:
                data = msgpack.packb(encode_message(delivery.message))
                message = decode_message(msgpack.unpackb(data, use_list=False))
                self.step_voter(delivery.recipient, MessageReceived(delivery.sender, message))

    def leader(self) -> VoterId:
        """Returns the leader of the latest term that is not stopped; "" if there is none."""
        leaders = [
            voter_id
            for voter_id, voter in self.voters.items()
            if voter.role is Role.LEADER and voter_id not in self.stopped
        ]
        return max(leaders, key=lambda voter_id: self.voters[voter_id].term, default="")

    def await_leader(self, within_ms: float = 20_000.0) -> VoterId:
        """Runs until a leader has a majority and a committed entry, and returns the leader."""
        deadline_ms = self.now_ms + within_ms
        while not (
            (voter_id := self.leader())
            and self.voters[voter_id].has_active_quorum()
            and self.voters[voter_id].commit_index
        ):
            assert self.now_ms < deadline_ms, "no leader within the time limit"
            self.run(50.0)
        return voter_id

    def restart(self, voter_id: VoterId) -> None:
        """Restarts a voter with its persisted state; all volatile state is lost."""
        former = self.voters[voter_id]
        restarted = self.new_voter(voter_id)
        restarted.term = former.term
        restarted.voted_for = former.voted_for
        restarted.log = former.log
        restarted.commit_index = former.log.snapshot_index
        restarted.persistence.persisted_index = former.log.last_index
        self.voters[voter_id] = restarted
        self.applied[voter_id] = former.log.snapshot_index
        self.stopped.discard(voter_id)
