"""Frames on connections among instances: what was written before is read, and written again to the byte."""

from typing import Any

import pytest

from pumicenotch.net.outbound_peers import OutboundPeer, OutboundPeers
from pumicenotch.net.peer_frames import (
    ENCODERS,
    ErrorResponse,
    FrameDecoder,
    Hello,
    Notice,
    PeerMessage,
    Refusal,
    Request,
    Result,
)
from pumicenotch.net.peer_protocol import AcceptedPeer, DialedPeer
from pumicenotch.net.peers import PeerHub
from tests.compatibility.golden_files import golden_bytes

CONNECTION = "peer-10.0.0.2:7000"
FRAME_EXAMPLES: dict[str, PeerMessage] = {
    "hello": Hello("accra", "s1", "0f3a9c", "10.0.0.1:7000"),
    "hello-of-a-command": Hello("accra", "", "", ""),
    "notice": Notice("members", ["ping", 3, [], []]),
    "notice-agree": Notice("agree", ["vote", 7, True, False]),
    "request": Request(9, "status", ("a", 1, b"\x00")),
    "request-alive": Request(0, "alive", ()),
    "result": Result(9, {"text": "done", "index": 70000}),
    "result-alive": Result(0, True),
    "error": ErrorResponse(9, ("Refused", "drain: no such member", None)),
    "error-not-leader": ErrorResponse(2**31, ("NotLeader", "10.0.0.3:7000 leads", "10.0.0.3:7000")),
    "refused": Refusal("this is a process of the fleet 'accra', not of 'lagos'"),
}


class RecordingHub(PeerHub):
    """Keeps what readers hand on, and carries nothing."""

    def __init__(self) -> None:
        self.max_frame_bytes = 64 * 1024
        self.outbound = OutboundPeers(self, None, 2)  # type: ignore[arg-type]
        self.peer = OutboundPeer(CONNECTION)
        self.peer.unanswered_probe_at_ms = 1.0
        self.outbound.peers[CONNECTION] = self.peer
        self.taken: list[Any] = []

    def put(self, name: str, *details: Any) -> None:
        self.taken.append([name, *details])

    def write(self, connection: int | str, message: PeerMessage) -> None:
        self.taken.append(["write", connection, message])

    def check_hello(self, connection_id: int, hello: Hello) -> None:
        self.taken.append(["hello", connection_id, hello])

    def count_problem(self, counter: str, text: str = "") -> None:
        self.taken.append(["problem", counter, text])


def test_golden_frames_are_complete() -> None:
    frames = golden_bytes("peers/frames.json")
    assert frames.keys() == FRAME_EXAMPLES.keys()
    assert {type(example) for example in FRAME_EXAMPLES.values()} == ENCODERS.keys()


@pytest.mark.parametrize("name", FRAME_EXAMPLES)
def test_frame_is_written_as_before(name: str) -> None:
    message = FRAME_EXAMPLES[name]
    assert ENCODERS[type(message)](message) == golden_bytes("peers/frames.json")[name]


def test_frames_are_cut_where_they_end() -> None:
    frames = golden_bytes("peers/frames.json")
    decoder = FrameDecoder(64 * 1024)
    found = []
    for byte in b"".join(frames.values()):
        found += decoder.decode(bytes([byte]))
    whole = [FrameDecoder(64 * 1024).decode(data)[0].content for data in frames.values()]
    assert [frame.content for frame in found] == whole


def test_frames_of_a_dialling_peer_are_read_as_before() -> None:
    frames = golden_bytes("peers/frames.json")
    hub = RecordingHub()
    peer = AcceptedPeer(hub, 5)
    for name in ("hello", "notice", "notice-agree", "request", "request-alive"):
        peer.feed(frames[name])
    sender = ("s1", "0f3a9c", "10.0.0.1:7000")
    assert hub.taken == [
        ["hello", 5, ("accra", *sender)],
        ["told", sender, "members", ("ping", 3, (), ())],
        ["told", sender, "agree", ("vote", 7, True, False)],
        ["asked", 5, 9, "status", ("a", 1, b"\x00")],
        ["write", 5, Result(0, True)],
    ]


def test_frames_of_a_dialled_peer_are_read_as_before() -> None:
    frames = golden_bytes("peers/frames.json")
    hub = RecordingHub()
    peer = DialedPeer(hub, hub.deliver, CONNECTION)
    for name in ("result", "result-alive", "error", "error-not-leader", "refused"):
        peer.feed(frames[name])
    assert hub.taken == [
        ["answered", 9, None, {"text": "done", "index": 70000}],
        ["answered", 9, ("Refused", "drain: no such member", None), None],
        ["answered", 2**31, ("NotLeader", "10.0.0.3:7000 leads", "10.0.0.3:7000"), None],
        [
            "problem",
            "mates_refuse",
            f"{CONNECTION} refuses this process: this is a process of the fleet 'accra', not of 'lagos'",
        ],
    ]
    assert hub.peer.unanswered_probe_at_ms is None


@pytest.mark.parametrize("name", ["notice", "request", "result", "refused"])
def test_peer_that_says_no_hello_first_is_refused(name: str) -> None:
    with pytest.raises(ValueError, match="no hello first"):
        AcceptedPeer(RecordingHub(), 5).feed(golden_bytes("peers/frames.json")[name])
