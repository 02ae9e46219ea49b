"""Voters in simulated time, with messages delayed, lost, copied and cut, and with restarts."""

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

ABC = ClusterMembership(("a/1", "b/1", "c/1"))


class Delivery(NamedTuple):
    """A message on its way."""

    deliver_at_ms: float
    number: int  # in the order of sending
    sender: VoterId
    recipient: VoterId
    message: Message


class Cluster:
    """Voters in simulated time, with a network that loses, delays and copies messages.

    Attributes:
        down: voters that are stopped, and keep everything.
        cut: pairs of sender and recipient between which nothing is delivered.
        committed: what any voter has applied, by index.
        applied: the last index that each voter has applied.
        leaders: by term.
        read_results: in the order in which they came.
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
        self.down: set[VoterId] = set()
        self.cut: set[tuple[VoterId, VoterId]] = set()
        self.in_flight: list[Delivery] = []
        self.committed: dict[int, Entry] = {}
        self.applied: dict[VoterId, int] = {}
        self.leaders: dict[int, VoterId] = {}
        self.read_results: list[ReadReady | ReadFailed] = []
        self.leader_changes = 0
        self.sent = 0

    def new_voter(self, voter_id: VoterId) -> Voter:
        return self.voter_type(voter_id, self.now_ms, self.membership, self.random.uniform)

    def put(self, voter_id: VoterId, event: Input) -> None:
        """Gives the voter an input and carries its effects out."""
        voter = self.voters[voter_id]
        todo = deque(voter.step(self.now_ms, event))
        while todo:
            match todo.popleft():
                case Persist(serial):
                    todo += voter.step(self.now_ms, Persisted(serial))
                case Send(recipient, message):
                    self.post(voter_id, recipient, message)
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
        return b"%d " % index * 6000  # several chunks

    def post(self, sender: VoterId, recipient: VoterId, message: Message) -> None:
        if recipient not in self.voters or (sender, recipient) in self.cut:
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
            self.deliver_due()
            for voter_id in list(self.voters):
                if voter_id not in self.down:
                    self.put(voter_id, Tick())

    def deliver_due(self) -> None:
        due = [item for item in self.in_flight if item.deliver_at_ms <= self.now_ms]
        self.in_flight = [item for item in self.in_flight if item.deliver_at_ms > self.now_ms]
        for item in sorted(due, key=lambda item: (item.deliver_at_ms, item.number)):
            if item.recipient not in self.down:
                data = msgpack.packb(encode_message(item.message))
                message = decode_message(msgpack.unpackb(data, use_list=False))
                self.put(item.recipient, MessageReceived(item.sender, message))

    def leader(self) -> VoterId:
        """Of those that lead and are not down, the one of the latest term; "" if there is none."""
        leaders = [
            voter_id
            for voter_id, voter in self.voters.items()
            if voter.role is Role.LEADER and voter_id not in self.down
        ]
        return max(leaders, key=lambda voter_id: self.voters[voter_id].term, default="")

    def await_leader(self, within_ms: float = 20_000.0) -> VoterId:
        """Runs until somebody leads with a majority and has committed an entry."""
        deadline_ms = self.now_ms + within_ms
        while not (
            (voter_id := self.leader())
            and self.voters[voter_id].has_active_quorum()
            and self.voters[voter_id].commit_index
        ):
            assert self.now_ms < deadline_ms, "no leader"
            self.run(50.0)
        return voter_id

    def restart(self, voter_id: VoterId) -> None:
        """What was persisted is there again, and nothing else."""
        old = self.voters[voter_id]
        new = self.new_voter(voter_id)
        new.term = old.term
        new.voted_for = old.voted_for
        new.log = old.log
        new.commit_index = old.log.snapshot_index
        new.persistence.persisted_index = old.log.last_index
        self.voters[voter_id] = new
        self.applied[voter_id] = old.log.snapshot_index
        self.down.discard(voter_id)
