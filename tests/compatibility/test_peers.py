"""Frames on connections among instances: what was written before is read, and written again to the byte."""

from typing import Any

import pytest

from pumicenotch.net.peers import FRAMES, InboundPeer, OutboundPeer, PeerHub, PeerLink, Unpacker
from tests.compatibility.golden_files import golden_bytes

LINK = "peer-10.0.0.2:7000"
FRAME_EXAMPLES: dict[str, tuple[Any, ...]] = {
    "hello": ("hello", "accra", "s1", "0f3a9c", "10.0.0.1:7000"),
    "hello-of-a-command": ("hello", "accra", "", "", ""),
    "notice": ("notice", "members", ["ping", 3, [], []]),
    "notice-agree": ("notice", "agree", ["vote", 7, True, False]),
    "request": ("request", 9, "status", ("a", 1, b"\x00")),
    "request-alive": ("request", 0, "alive", ()),
    "result": ("result", 9, {"text": "done", "index": 70000}),
    "result-alive": ("result", 0, True),
    "error": ("error", 9, ("Refused", "drain: no such member", None)),
    "error-not-leader": ("error", 2**31, ("NotLeader", "10.0.0.3:7000 leads", "10.0.0.3:7000")),
    "refused": ("refused", "this is a process of the fleet 'accra', not of 'lagos'"),
}


class RecordingHub(PeerHub):
    """Keeps what readers hand on, and carries nothing."""

    def __init__(self) -> None:
        self.frame_most = 64 * 1024
        self.peer_links = {LINK: PeerLink(LINK)}
        self.peer_links[LINK].probed_at = 1.0
        self.taken: list[Any] = []

    def put(self, name: str, *details: Any) -> None:
        self.taken.append([name, *details])

    def write(self, link: int | str, message: tuple[Any, ...]) -> None:
        self.taken.append(["write", link, message])

    def check_hello(self, conn: int, hello: Any) -> None:
        self.taken.append(["hello", conn, hello])

    def count_trouble(self, trouble: str, text: str = "") -> None:
        self.taken.append(["trouble", trouble, text])


def test_golden_frames_are_complete() -> None:
    frames = golden_bytes("peers/frames.json")
    assert frames.keys() == FRAME_EXAMPLES.keys()
    assert {example[0] for example in FRAME_EXAMPLES.values()} == FRAMES.keys()


@pytest.mark.parametrize("name", FRAME_EXAMPLES)
def test_frame_is_written_as_before(name: str) -> None:
    kind, *values = FRAME_EXAMPLES[name]
    assert FRAMES[kind](*values) == golden_bytes("peers/frames.json")[name]


def test_frames_are_cut_where_they_end() -> None:
    frames = golden_bytes("peers/frames.json")
    unpacker, found = Unpacker(64 * 1024), []
    for byte in b"".join(frames.values()):
        found += unpacker.frames(bytes([byte]))
    whole = [Unpacker(64 * 1024).frames(data)[0][0] for data in frames.values()]
    assert [frame for frame, _ in found] == whole


def test_frames_of_a_dialling_peer_are_read_as_before() -> None:
    frames = golden_bytes("peers/frames.json")
    hub = RecordingHub()
    peer = InboundPeer(hub, 5)
    for name in ("hello", "notice", "notice-agree", "request", "request-alive"):
        peer.feed(frames[name])
    sender = ("s1", "0f3a9c", "10.0.0.1:7000")
    assert hub.taken == [
        ["hello", 5, ("accra", *sender)],
        ["told", sender, "members", ("ping", 3, (), ())],
        ["told", sender, "agree", ("vote", 7, True, False)],
        ["asked", 5, 9, "status", ("a", 1, b"\x00")],
        ["write", 5, ("result", 0, True)],
    ]


def test_frames_of_a_dialled_peer_are_read_as_before() -> None:
    frames = golden_bytes("peers/frames.json")
    hub = RecordingHub()
    peer = OutboundPeer(hub, hub.deliver, LINK)
    for name in ("result", "result-alive", "error", "error-not-leader", "refused"):
        peer.feed(frames[name])
    assert hub.taken == [
        ["answered", 9, None, {"text": "done", "index": 70000}],
        ["answered", 9, ("Refused", "drain: no such member", None), None],
        ["answered", 2**31, ("NotLeader", "10.0.0.3:7000 leads", "10.0.0.3:7000"), None],
        [
            "trouble",
            "mates_refuse",
            f"{LINK} refuses this process: this is a process of the fleet 'accra', not of 'lagos'",
        ],
    ]
    assert hub.peer_links[LINK].probed_at is None


@pytest.mark.parametrize("name", ["notice", "request", "result", "refused"])
def test_peer_that_says_no_hello_first_is_refused(name: str) -> None:
    with pytest.raises(ValueError, match="no hello first"):
        InboundPeer(RecordingHub(), 5).feed(golden_bytes("peers/frames.json")[name])
