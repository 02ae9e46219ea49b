"""A model of voters for the explorer; everything that is decided is decided by `consensus/`.

It has elections, the log, snapshots, membership changes and reads, messages that are late, lost or
delivered twice, stops and restarts. Time is left out on purpose: at any moment any voter may reach
its election timeout, and forget that it heard a leader. What holds here holds whatever clocks do.
"""

import argparse
from collections.abc import Iterator
from typing import Any, NamedTuple

from pumicenotch.consensus.effects import ApplyEntry, Persist, ReadReady, Send
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
from pumicenotch.consensus.log import Log
from pumicenotch.consensus.messages import (
    AppendEntries,
    ClusterMembership,
    Entry,
    EntryKind,
    Message,
    RequestVote,
    VoteResponse,
    encode_message,
)
from pumicenotch.consensus.state import Role
from pumicenotch.consensus.voter import Voter
from pumicenotch.lab.explore import Explorer

NEVER = float("-inf")
PERSISTED_FIELDS = ("term", "voted_for")
VOLATILE_FIELDS = ("role", "commit_index", "heartbeat_round", "transfer_target")
LEADER_FIELDS = ("next_index", "match_index", "acknowledged_round", "snapshot_offset")


class Letter(NamedTuple):
    sender: str
    to: str
    message: Message


def order_on_wire(letter: Letter) -> str:
    """Letters are delivered in this order: walks by a seed depend on it."""
    return repr((letter.sender, letter.to, encode_message(letter.message)))


class State(NamedTuple):
    voters: tuple[tuple[Any, ...], ...]  # frozen, in the order of the model's names
    wire: frozenset[Letter]
    agreed: tuple[Entry, ...]  # by anyone, ever
    led: frozenset[tuple[int, str]]
    asked: tuple[
        tuple[str, int], ...
    ]  # open reads: at whom, and how much was agreed when it was asked
    left: tuple[int, ...]  # of each bound, as `Bounds` names them
    bad: str = ""


class Bounds(NamedTuple):
    """How often each may happen at the most."""

    timeouts: int = 2
    proposals: int = 1
    reads: int = 0
    restarts: int = 0
    copies: int = 0
    changes: int = 0
    snapshots: int = 0
    transfers: int = 0


def frozen(voter: Voter) -> tuple[Any, ...]:
    """What of a voter makes one state of the model differ from another."""
    log = voter.log
    receiver = voter.snapshot_receiver
    return (
        *(getattr(voter, name) for name in PERSISTED_FIELDS + VOLATILE_FIELDS),
        *(tuple(sorted(getattr(voter, name).items())) for name in LEADER_FIELDS),
        (
            log.snapshot_membership,
            log.snapshot_index,
            log.snapshot_term,
            log.snapshot,
            tuple(log.entries),
        ),
        (receiver.source, receiver.data),
        frozenset(voter.votes_received),
        tuple(voter.pending_reads),
        voter.last_leader_contact_ms == 0.0,
    )


class ConsensusModel:
    """`voter` is the class that decides; `cut` are pairs between which nothing comes through."""

    def __init__(
        self,
        names: list[str],
        membership: ClusterMembership,
        bounds: Bounds,
        *,
        voter: type[Voter] = Voter,
        cut: frozenset[tuple[str, str]] = frozenset(),
        changes: tuple[ClusterMembership, ...] = (),
        patient: frozenset[str] = frozenset(),
        narrow: bool = False,
    ) -> None:
        self.names = names
        self.membership = membership
        self.bounds = bounds
        self.voter = voter
        self.cut = cut
        self.changes = changes
        self.patient = patient  # they never start an election by themselves
        # Of one kind only the latest message is on its way between two: the older is lost.
        self.narrow = narrow

    def new(self, name: str) -> Voter:
        return self.voter(name, 0.0, self.membership, lambda low, high: low)

    def first(self, **prepared: dict[str, Any]) -> State:
        """`prepared` sets attributes of voters by name; `entries` of its log."""
        voters = []
        for name in self.names:
            voter = self.new(name)
            told = dict(prepared.get(name, {}))
            for entry in told.pop("entries", ()):
                voter.log.append(entry)
            for key, value in told.items():
                setattr(voter, key, value)
            voters.append(voter)
        most = max(voters, key=lambda voter: voter.commit_index)
        agreed = tuple(most.log.entries[: most.commit_index])
        led = frozenset(
            (voter.term, voter.voter_id) for voter in voters if voter.role is Role.LEADER
        )
        return State(tuple(map(frozen, voters)), frozenset(), agreed, led, (), tuple(self.bounds))

    def thawed(self, state: State, at: int) -> Voter:
        voter = self.new(self.names[at])
        values = state.voters[at]
        for name, value in zip(PERSISTED_FIELDS + VOLATILE_FIELDS, values, strict=False):
            setattr(voter, name, value)
        many = len(PERSISTED_FIELDS + VOLATILE_FIELDS)
        for name, value in zip(LEADER_FIELDS, values[many:], strict=False):
            setattr(voter, name, dict(value))
        log, received, votes, reads, heard = values[many + len(LEADER_FIELDS) :]
        voter.log = Log(*log[:-1])
        voter.log.entries = list(log[-1])
        voter.log.find_membership()
        voter.snapshot_receiver.source, voter.snapshot_receiver.data = received
        voter.votes_received = set(votes)
        voter.pending_reads = list(reads)
        voter.last_leader_contact_ms = 0.0 if heard else NEVER
        voter.responded_at_ms = dict.fromkeys(voter.next_index, 0.0)
        voter.persistence.persisted_index = voter.log.last_index
        voter.deadline_ms = NEVER
        return voter

    # What may happen next

    def after(self, state: State) -> Iterator[tuple[str, State]]:
        if state.bad:
            return
        left = Bounds(*state.left)
        for letter in sorted(state.wire, key=order_on_wire):
            at = self.names.index(letter.to)
            gone = state._replace(wire=state.wire - {letter})
            what = f"{letter.to} gets {self.told(letter)}"
            forgets = isinstance(letter.message, RequestVote) and state.voters[at][-1]
            yield what, self.stepped(gone, at, MessageReceived(letter.sender, letter.message))
            if forgets:
                yield (
                    f"{what}, long after it heard a leader",
                    self.stepped(
                        gone, at, MessageReceived(letter.sender, letter.message), heard_at=NEVER
                    ),
                )
            if left.copies:
                kept = self.spent(state, left, "copies")
                yield (
                    f"{what}, and a copy",
                    self.stepped(kept, at, MessageReceived(letter.sender, letter.message)),
                )
        for at, name in enumerate(self.names):
            yield from self.moves(state, left, at, name)

    def moves(self, state: State, left: Bounds, at: int, name: str) -> Iterator[tuple[str, State]]:
        role = state.voters[at][len(PERSISTED_FIELDS)]
        if left.timeouts and (role is Role.LEADER or name not in self.patient):
            what = "beats" if role is Role.LEADER else "hears no leader"
            spent = self.spent(state, left, "timeouts")
            yield f"{name} {what}", self.stepped(spent, at, Tick(), heard_at=NEVER)
        if left.restarts:
            yield f"{name} restarts", self.restarted(self.spent(state, left, "restarts"), at)
        if role is not Role.LEADER:
            return
        if left.proposals:
            data = f"{name}.{left.proposals}"
            spent = self.spent(state, left, "proposals")
            yield f"{name} proposes {data}", self.stepped(spent, at, Propose(data))
        if left.reads:
            spent = self.spent(state, left, "reads")
            asked = spent._replace(asked=(*state.asked, (name, len(state.agreed))))
            yield (
                f"{name} is asked for a read",
                self.stepped(asked, at, RequestRead(len(asked.asked) - 1)),
            )
        if left.transfers:
            spent = self.spent(state, left, "transfers")
            yield f"{name} transfers leadership", self.stepped(spent, at, TransferLeadership(""))
        if left.changes:
            spent = self.spent(state, left, "changes")
            for membership in self.changes:
                yield (
                    f"{name} wants the voters {membership.voters}",
                    self.stepped(spent, at, ChangeMembership(membership)),
                )
        if left.snapshots:
            voter = self.thawed(state, at)
            if voter.log.snapshot_index < voter.commit_index:
                voter.compact(voter.commit_index, b"state")
                spent = self.spent(state, left, "snapshots")
                yield f"{name} makes a snapshot", self.put(spent, at, voter)

    @staticmethod
    def spent(state: State, left: Bounds, name: str) -> State:
        return state._replace(left=tuple(left._replace(**{name: getattr(left, name) - 1})))

    @staticmethod
    def put(state: State, at: int, voter: Voter) -> State:
        voters = (*state.voters[:at], frozen(voter), *state.voters[at + 1 :])
        return state._replace(voters=voters)

    def restarted(self, state: State, at: int) -> State:
        """What was stored is there again, and nothing else."""
        old = self.thawed(state, at)
        voter = self.new(self.names[at])
        voter.term = old.term
        voter.voted_for = old.voted_for
        voter.log = old.log
        voter.commit_index = old.log.snapshot_index
        reads = tuple(read for read in state.asked if read[0] != voter.voter_id)
        return self.put(state, at, voter)._replace(asked=reads if not state.asked else state.asked)

    def stepped(self, state: State, at: int, event: Input, heard_at: float | None = None) -> State:
        voter = self.thawed(state, at)
        if heard_at is not None:
            voter.last_leader_contact_ms = heard_at
        todo = voter.step(0.0, event)
        wire = set(state.wire)
        agreed = list(state.agreed)
        bad = ""
        while todo:
            effect = todo.pop(0)
            match effect:
                case Persist(serial):
                    todo += voter.step(0.0, Persisted(serial))
                case Send(to, message) if to in self.names and (voter.voter_id, to) not in self.cut:
                    if self.narrow:
                        wire = {
                            each
                            for each in wire
                            if (each.sender, each.to, type(each.message))
                            != (voter.voter_id, to, type(message))
                        }
                    wire.add(Letter(voter.voter_id, to, message))
                case ApplyEntry(index, entry):
                    if index <= len(agreed) and agreed[index - 1] != entry:
                        bad = f"two entries are agreed at {index}: {agreed[index - 1]} and {entry}"
                    elif index == len(agreed) + 1:
                        agreed.append(entry)
                    elif index > len(agreed):
                        bad = f"{voter.voter_id} skips to {index}"
                case ReadReady(key, index) if index < state.asked[key][1]:
                    bad = f"stale read: {voter.voter_id} reads as of {index}, {state.asked[key][1]} was agreed before"
        new = self.put(state, at, voter)._replace(
            wire=frozenset(wire), agreed=tuple(agreed), bad=bad
        )
        if voter.role is Role.LEADER and (voter.term, voter.voter_id) not in state.led:
            new = new._replace(
                led=new.led | {(voter.term, voter.voter_id)}, bad=bad or self.unfit(state, voter)
            )
        return new

    @staticmethod
    def unfit(state: State, voter: Voter) -> str:
        for term, other in state.led:
            if term == voter.term and other != voter.voter_id:
                return f"two leaders in term {term}: {other} and {voter.voter_id}"
        for index, entry in enumerate(state.agreed, 1):
            if index > voter.log.snapshot_index and voter.log.term_at(index) != entry.term:
                return f"{voter.voter_id} leads term {voter.term} without entry {index}, which is agreed"
        return ""

    @staticmethod
    def wrong(state: State) -> str:
        return state.bad

    @staticmethod
    def told(letter: Letter) -> str:
        message = letter.message
        more = ""
        if isinstance(message, AppendEntries):
            more = f" of {len(message.entries)} after {message.prev_log_index}, committed {message.leader_commit}"
        elif isinstance(message, RequestVote):
            more = " (only asks)" if message.pre_vote else ""
        elif isinstance(message, VoteResponse):
            more = " yes" if message.vote_granted else " no"
        return f"{type(message).__name__}{more} of term {message.term} from {letter.sender}"

    def explore(self, first: State, most: int) -> Any:
        return Explorer(self.after, self.wrong, most).run(first)


WALK_MOST = 120  # steps: some elections, each of a dozen letters
MEMBERSHIP = ClusterMembership(("a/1", "b/1", "c/1"))
ROOT = Entry(1, EntryKind.NO_OP, None)
LONG = (
    ("elections and the log", Bounds(timeouts=3, proposals=2, copies=1)),
    ("restarts", Bounds(timeouts=3, proposals=1, restarts=2)),
    ("reads", Bounds(timeouts=3, proposals=1, reads=2)),
    ("membership changes", Bounds(timeouts=3, proposals=1, changes=2)),
    (
        "snapshots and leadership transfer",
        Bounds(timeouts=3, proposals=1, snapshots=1, transfers=1),
    ),
)


def three(bounds: Bounds, narrow: bool = False) -> ConsensusModel:
    """Three voters, or a fourth for changes; `a/1` leads in term 1 to begin with. Narrow goes deeper: one of
    them never runs for an election by itself, and of one kind only the latest letter is on its way.
    """
    names = list(MEMBERSHIP.voters) + (["d/1"] if bounds.changes else [])
    changes = (ClusterMembership((*MEMBERSHIP.voters, "d/1")), ClusterMembership(("b/1", "c/1")))
    patient = frozenset(MEMBERSHIP.voters[-1:] if narrow else ())
    return ConsensusModel(
        names, MEMBERSHIP, bounds, changes=changes, narrow=narrow, patient=patient
    )


def long_form(bounds: Bounds, most: int, narrow: bool = False) -> Any:
    model = three(bounds, narrow)
    return model.explore(led(model), most)


def led(model: ConsensusModel) -> State:
    """Its first voter leads in term 1, and the others have its first entry, agreed."""
    followers = {
        name: {"term": 1, "voted_for": model.names[0], "entries": (ROOT,), "commit_index": 1}
        for name in model.membership.voters
    }
    numbers = dict.fromkeys(model.membership.voters, 1)
    leads = {
        "role": Role.LEADER,
        "next_index": dict.fromkeys(model.membership.voters, 2),
        "match_index": numbers,
    }
    followers[model.names[0]] |= leads
    return model.first(**followers)


def main() -> None:
    parser = argparse.ArgumentParser(description="The long form of the checks on agreement.")
    parser.add_argument("--most", type=int, default=1_000_000, help="states for each of the models")
    parser.add_argument(
        "--narrow", action="store_true", help="deeper, with fewer orders of the letters"
    )
    parser.add_argument("--walks", type=int, default=0, help="walks by chance for each, instead")
    told = parser.parse_args()
    for name, bounds in LONG:
        if told.walks:
            more = Bounds(*(3 * most for most in bounds))
            model = three(more, told.narrow)
            found = Explorer(model.after, model.wrong).wander(led(model), 1, told.walks, WALK_MOST)
        else:
            found = long_form(bounds, told.most, told.narrow)
        print(f"{name}, {bounds}: {found.text()}", flush=True)


if __name__ == "__main__":
    main()
