"""What voters wrote to result other before is read, and written again to the byte."""

import hashlib
from typing import Any

import msgpack
import pytest

from pumicenotch.consensus.bootstrap import Bootstrap, SendToName
from pumicenotch.consensus.inputs import (
    ChangeMembership,
    Propose,
    RequestRead,
    TransferLeadership,
)
from pumicenotch.consensus.messages import (
    BOOTSTRAP_MESSAGES,
    BOOTSTRAP_METHOD,
    CONSENSUS_MESSAGES,
    CONSENSUS_METHOD,
    AppendEntries,
    AppendResponse,
    BootstrapMessage,
    Bootstrapped,
    ClusterMembership,
    Discover,
    Entry,
    EntryKind,
    Initialized,
    InstallSnapshot,
    InstallSnapshotResponse,
    Message,
    RequestVote,
    TimeoutNow,
    Uninitialized,
    VoteResponse,
    decode_bootstrap_message,
    decode_message,
    encode_message,
)
from pumicenotch.net.peer_frames import ENCODERS, FrameDecoder, Notice
from tests.compatibility.golden_files import golden_bytes, golden_json
from tests.consensus.cluster import Cluster

VOTERS = ClusterMembership(("a/1", "b/1", "c/1"))
WITH_LEARNER = ClusterMembership(("a/1", "b/1", "c/1"), ("d/0f3a9c",))
ENTRIES = (
    Entry(1, EntryKind.NO_OP, None),
    Entry(2, EntryKind.COMMAND, ("ask", "s1", "1f", 7, {"minutes": 5})),
    Entry(2, EntryKind.COMMAND, b"\x00\xff"),
    Entry(2**40, EntryKind.MEMBERSHIP, WITH_LEARNER),
)
MESSAGES: dict[str, Message] = {
    "ask-vote": RequestVote(7, 12, 6, False, False),
    "ask-vote-pre": RequestVote(8, 300, 6, True, False),
    "ask-vote-handed": RequestVote(70000, 2**33, 69999, False, True),
    "vote-granted": VoteResponse(7, True, False),
    "vote-refused": VoteResponse(9, False, False),
    "vote-pre-granted": VoteResponse(8, True, True),
    "append-heartbeat": AppendEntries(7, 12, 6, (), 11, 41),
    "append-entries": AppendEntries(2**40, 3, 1, ENTRIES, 2, 0),
    "append-seats": AppendEntries(3, 8, 3, (Entry(3, EntryKind.MEMBERSHIP, VOTERS),), 8, 2),
    "append-learner": AppendEntries(3, 9, 3, (Entry(3, EntryKind.MEMBERSHIP, WITH_LEARNER),), 9, 3),
    "appended-good": AppendResponse(7, True, 12, 41),
    "appended-bad": AppendResponse(7, False, 3, 41),
    "install-first": InstallSnapshot(9, 2048, 8, VOTERS, 0, b"\x81\xa5state\x01" * 4, False, 77),
    "install-last": InstallSnapshot(9, 2048, 8, WITH_LEARNER, 16384, b"end", True, 78),
    "installed": InstallSnapshotResponse(9, 2048, 16384, 77),
    "stand-now": TimeoutNow(9),
}
BOOTSTRAP: dict[str, BootstrapMessage] = {
    "who": Discover("a/1"),
    "fresh": Uninitialized("b/1", "a/1"),
    "fresh-unpromised": Uninitialized("b/1", ""),
    "known": Initialized("b/1"),
    "found": Bootstrapped("a/1", VOTERS),
}


def only_frame(data: bytes) -> Any:
    """The one frame that the bytes are."""
    (frame,) = FrameDecoder(len(data)).decode(data)
    assert frame.size_bytes == len(data)
    return frame.content


@pytest.mark.parametrize("name", MESSAGES)
def test_message_among_voters_is_read_and_written_as_before(name: str) -> None:
    data = golden_bytes("consensus/messages.json")[name]
    kind, method, params = only_frame(data)
    message = decode_message(params)
    assert (kind, method, message) == (2, CONSENSUS_METHOD, MESSAGES[name])
    assert ENCODERS[Notice](Notice(CONSENSUS_METHOD, encode_message(message))) == data


def test_every_kind_of_message_has_a_golden_example() -> None:
    assert golden_bytes("consensus/messages.json").keys() == MESSAGES.keys()
    assert {type(message) for message in MESSAGES.values()} == set(CONSENSUS_MESSAGES.values())


@pytest.mark.parametrize("name", BOOTSTRAP)
def test_bootstrap_message_is_read_and_written_as_before(name: str) -> None:
    data = golden_bytes("consensus/founding.json")[name]
    kind, method, params = only_frame(data)
    assert (kind, method) == (2, BOOTSTRAP_METHOD)
    assert decode_bootstrap_message(params) == BOOTSTRAP[name]
    assert ENCODERS[Notice](Notice(BOOTSTRAP_METHOD, encode_message(BOOTSTRAP[name]))) == data


def test_every_kind_of_bootstrap_message_has_a_golden_example() -> None:
    assert golden_bytes("consensus/founding.json").keys() == BOOTSTRAP.keys()
    assert {type(message) for message in BOOTSTRAP.values()} == set(BOOTSTRAP_MESSAGES.values())


def test_bootstrap_goes_on_as_before() -> None:
    """Each message of a bootstrap, in order, as bytes: three voters that find result other."""
    sent = []
    bootstraps = {name: Bootstrap(f"{name}/1", ["a", "b", "c"]) for name in "abc"}

    def deliver(sender: str, sends: list[SendToName]) -> None:
        for name, message in sends:
            frame = ENCODERS[Notice](Notice(BOOTSTRAP_METHOD, encode_message(message)))
            sent.append(f"{sender} {name} {frame.hex()}")
            received = decode_bootstrap_message(only_frame(frame)[2])
            deliver(bootstraps[name].voter_id, bootstraps[name].receive(sender, received))

    for round_ in range(4):
        for bootstrap in bootstraps.values():
            now_ms = round_ * Bootstrap.DISCOVERY_INTERVAL_MS
            deliver(bootstrap.voter_id, bootstrap.on_tick(now_ms))
    assert sent == golden_json("consensus/bootstrap.json")


class RecordedCluster(Cluster):
    """Keeps a digest of all that voters send and of all that they apply."""

    def __init__(self, seed: int, voter_count: int, loss: float) -> None:
        super().__init__(seed, voter_count, loss)
        self.digest, self.messages = hashlib.sha256(), 0

    def send(self, sender: str, recipient: str, message: Any) -> None:
        self.messages += 1
        data = msgpack.packb([self.now_ms, sender, recipient, encode_message(message)])
        self.digest.update(data)
        super().send(sender, recipient, message)


def transcript(seed: int, voter_count: int, loss: float) -> dict[str, Any]:
    """What a seeded run with faults says, as a digest: it changes with any message, order or time."""
    cluster = RecordedCluster(seed, voter_count, loss)
    random, names = cluster.random, list(cluster.voters)
    for number in range(60):
        one, other = random.sample(names, 2)
        match random.randrange(8):
            case 0:
                cluster.stopped.add(one)
            case 1 | 2 if cluster.stopped:
                cluster.restart(sorted(cluster.stopped)[0])
            case 3:
                cluster.blocked_links.add((one, other))
            case 4:
                cluster.blocked_links.clear()
            case 5 if (leader := cluster.leader()) and cluster.voters[leader].commit_index:
                voter = cluster.voters[leader]
                voter.compact(voter.commit_index, cluster.snapshot(voter.commit_index))
            case 6 if leader := cluster.leader():
                cluster.step_voter(leader, TransferLeadership(""))
            case 7 if leader := cluster.leader():
                cluster.step_voter(leader, RequestRead(number))
                cluster.step_voter(leader, ChangeMembership(cluster.membership))
            case _:
                if leader := cluster.leader():
                    cluster.step_voter(leader, Propose(f"{number}"))
        cluster.run(random.uniform(10.0, 900.0))
    return {
        "messages": cluster.messages,
        "digest": cluster.digest.hexdigest(),
        "agreed": len(cluster.committed),
        "leaders": len(cluster.leaders),
        "answers": len(cluster.read_results),
    }


@pytest.mark.parametrize("run", golden_json("consensus/transcripts.json"))
def test_seeded_run_with_faults_says_the_same_messages_as_before(run: dict[str, Any]) -> None:
    assert transcript(run["seed"], run["voters"], run["loss"]) == run["transcript"]
