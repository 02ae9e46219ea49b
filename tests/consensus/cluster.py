"""Voters in simulated time, with messages delayed, lost, copied and cut, and with restarts."""

import random
from collections import deque
from typing import Any

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
    VoterId,
    decode_message,
    encode_message,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter

ABC = ClusterMembership(("a/1", "b/1", "c/1"))


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
