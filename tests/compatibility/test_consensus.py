"""What voters wrote to each other before is read, and written again to the byte."""

import hashlib
from typing import Any

import msgpack
import pytest

from pumicenotch.consensus.bootstrap import Founding, Say
from pumicenotch.consensus.messages import (
    KINDS,
    Append,
    Appended,
    AskVote,
    Entry,
    Install,
    Installed,
    Message,
    Seats,
    StandNow,
    Vote,
    message_of,
    plain,
)
from pumicenotch.net.peers import FRAMES, Unpacker
from tests.compatibility.golden_files import golden_bytes, golden_json
from tests.test_agree import Cluster

METHOD, FOUNDING_METHOD = "agree", "found"
VOTERS = Seats(("a/1", "b/1", "c/1"))
WITH_LEARNER = Seats(("a/1", "b/1", "c/1"), ("d/0f3a9c",))
ENTRIES = (
    Entry(1, "noop", None),
    Entry(2, "do", ("ask", "s1", "1f", 7, {"minutes": 5})),
    Entry(2, "do", b"\x00\xff"),
    Entry(2**40, "seats", WITH_LEARNER),
)
MESSAGES: dict[str, Message] = {
    "ask-vote": AskVote(7, 12, 6, False, False),
    "ask-vote-pre": AskVote(8, 300, 6, True, False),
    "ask-vote-handed": AskVote(70000, 2**33, 69999, False, True),
    "vote-granted": Vote(7, True, False),
    "vote-refused": Vote(9, False, False),
    "vote-pre-granted": Vote(8, True, True),
    "append-heartbeat": Append(7, 12, 6, (), 11, 41),
    "append-entries": Append(2**40, 3, 1, ENTRIES, 2, 0),
    "append-seats": Append(3, 8, 3, (Entry(3, "seats", VOTERS),), 8, 2),
    "append-learner": Append(3, 9, 3, (Entry(3, "seats", WITH_LEARNER),), 9, 3),
    "appended-good": Appended(7, True, 12, 41),
    "appended-bad": Appended(7, False, 3, 41),
    "install-first": Install(9, 2048, 8, VOTERS, 0, b"\x81\xa5state\x01" * 4, False, 77),
    "install-last": Install(9, 2048, 8, WITH_LEARNER, 16384, b"end", True, 78),
    "installed": Installed(9, 2048, 16384, 77),
    "stand-now": StandNow(9),
}
FOUNDING: dict[str, tuple[Any, ...]] = {
    "who": ("who", "a/1"),
    "fresh": ("fresh", "b/1", "a/1"),
    "fresh-unpromised": ("fresh", "b/1", ""),
    "known": ("known", "b/1"),
    "found": ("found", "a/1", VOTERS),
}


def only_frame(data: bytes) -> Any:
    """The one frame that the bytes are."""
    ((frame, size),) = Unpacker(len(data)).frames(data)
    assert size == len(data)
    return frame


@pytest.mark.parametrize("name", MESSAGES)
def test_message_among_voters_is_read_and_written_as_before(name: str) -> None:
    data = golden_bytes("consensus/messages.json")[name]
    kind, method, params = only_frame(data)
    message = message_of(params)
    assert (kind, method, message) == (2, METHOD, MESSAGES[name])
    assert FRAMES["notice"](METHOD, plain(message)) == data


def test_every_kind_of_message_has_a_golden_example() -> None:
    assert golden_bytes("consensus/messages.json").keys() == MESSAGES.keys()
    assert {type(message) for message in MESSAGES.values()} == set(KINDS.values())


@pytest.mark.parametrize("name", FOUNDING)
def test_founding_message_is_read_and_written_as_before(name: str) -> None:
    data = golden_bytes("consensus/founding.json")[name]
    assert FRAMES["notice"](FOUNDING_METHOD, FOUNDING[name]) == data
    kind, method, params = only_frame(data)
    assert (kind, method) == (2, FOUNDING_METHOD)
    Founding("a/1", ["a", "b", "c"]).said("a/1" if name == "who" else "b/1", params)


def test_founding_goes_on_as_before() -> None:
    """Each message of a bootstrap, in order, as bytes: three voters that find each other."""
    sent = []
    foundings = {name: Founding(f"{name}/1", ["a", "b", "c"]) for name in "abc"}

    def deliver(sender: str, messages: list[Say]) -> None:
        for to, told in messages:
            frame = FRAMES["notice"](FOUNDING_METHOD, told)
            sent.append(f"{sender} {to} {frame.hex()}")
            deliver(foundings[to].me, foundings[to].said(sender, only_frame(frame)[2]))

    for round_ in range(4):
        for founding in foundings.values():
            deliver(founding.me, founding.time(round_ * Founding.ASK_MS))
    assert sent == golden_json("consensus/bootstrap.json")


class RecordedCluster(Cluster):
    """Keeps a digest of all that voters send and of all that they apply."""

    def __init__(self, seed: int, many: int, loss: float) -> None:
        super().__init__(seed, many, loss)
        self.digest, self.messages = hashlib.sha256(), 0

    def post(self, sender: str, to: str, message: Any) -> None:
        self.messages += 1
        data = msgpack.packb([self.now, sender, to, plain(message)])
        self.digest.update(data)
        super().post(sender, to, message)


def transcript(seed: int, many: int, loss: float) -> dict[str, Any]:
    """What a seeded run with faults says, as a digest: it changes with any message, order or time."""
    cluster = RecordedCluster(seed, many, loss)
    random, names = cluster.random, list(cluster.voters)
    for number in range(60):
        one, other = random.sample(names, 2)
        match random.randrange(8):
            case 0:
                cluster.down.add(one)
            case 1 | 2 if cluster.down:
                cluster.restart(sorted(cluster.down)[0])
            case 3:
                cluster.cut.add((one, other))
            case 4:
                cluster.cut.clear()
            case 5 if (leader := cluster.leader()) and cluster.voters[leader].commit:
                voter = cluster.voters[leader]
                voter.compact(voter.commit, cluster.state(voter.commit))
            case 6 if leader := cluster.leader():
                cluster.put(leader, "hand_over", "")
            case 7 if leader := cluster.leader():
                cluster.put(leader, "read", number)
                cluster.put(leader, "change", cluster.seats)
            case _:
                if leader := cluster.leader():
                    cluster.put(leader, "propose", f"{number}")
        cluster.run(random.uniform(10.0, 900.0))
    return {
        "messages": cluster.messages,
        "digest": cluster.digest.hexdigest(),
        "agreed": len(cluster.agreed),
        "leaders": len(cluster.leaders),
        "answers": len(cluster.answers),
    }


@pytest.mark.parametrize("run", golden_json("consensus/transcripts.json"))
def test_seeded_run_with_faults_says_the_same_messages_as_before(run: dict[str, Any]) -> None:
    assert transcript(run["seed"], run["voters"], run["loss"]) == run["transcript"]
