"""Tests of dialed peer connections: queueing, probes, eviction and closing when idle."""

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest

from pumicenotch.net.outbound_peers import (
    IDLE_TIMEOUT_MS,
    MAX_QUEUED_MESSAGES,
    PROBE_INTERVAL_MS,
    PROBE_TIMEOUT_MS,
    REDIAL_DELAY_MS,
    OutboundPeers,
)
from pumicenotch.net.peer_frames import PROBE, Hello, Notice, PeerMessage

ADDRESS = "10.0.0.2:7000"
CONNECTION = f"peer-{ADDRESS}"
HELLO = Hello("accra", "s1", "1", "10.0.0.1:7000")


class RecordingHub:
    """Stands in for the hub: has a manual clock and records writes, closes and problems."""

    def __init__(self) -> None:
        self.now_ms = 10_000.0
        self.clock = SimpleNamespace(now=lambda: self.now_ms)
        self.node = SimpleNamespace(counters=Counter[str]())
        self.hello = HELLO
        self.outboxes: dict[str, Any] = {}
        self.written: list[tuple[str, PeerMessage]] = []
        self.closed: list[str] = []
        self.problems: list[str] = []

    def write(self, connection: str, message: PeerMessage) -> None:
        self.written.append((connection, message))

    def close(self, connection: str) -> None:
        self.closed.append(connection)

    def count_problem(self, counter: str, text: str = "") -> None:
        self.problems.append(counter)


class RecordingPeers(OutboundPeers):
    """Records the addresses to dial instead of dialing them."""

    def __init__(self, hub: RecordingHub, max_connections: int) -> None:
        super().__init__(hub, None, max_connections)  # type: ignore[arg-type]
        self.dialed: list[str] = []

    def dial(self, address: str, connection: str) -> None:
        self.dialed.append(address)


@pytest.fixture
def hub() -> RecordingHub:
    return RecordingHub()


@pytest.fixture
def peers(hub: RecordingHub) -> RecordingPeers:
    return RecordingPeers(hub, max_connections=2)


def notice(number: int) -> Notice:
    return Notice("members", [number])


def connect(peers: RecordingPeers, address: str = ADDRESS) -> None:
    peers.send(address, notice(0))
    peers.on_up(f"peer-{address}")


def test_hello_goes_first_and_what_was_queued_in_order(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    peers.send(ADDRESS, notice(1))
    peers.send(ADDRESS, notice(2))
    assert peers.dialed == [ADDRESS] and hub.written == []
    peers.on_up(CONNECTION)
    assert [message for _, message in hub.written] == [HELLO, notice(1), notice(2)]


def test_queue_of_a_connection_being_dialled_is_bounded(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    for number in range(MAX_QUEUED_MESSAGES + 5):
        peers.send(ADDRESS, notice(number))
    peers.on_up(CONNECTION)
    assert len(hub.written) == 1 + MAX_QUEUED_MESSAGES


def test_refused_dial_loses_the_queue_and_is_repeated_only_after_a_delay(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    peers.send(ADDRESS, notice(1))
    peers.on_down(CONNECTION)
    assert hub.node.counters == {"mates_unreached": 1}
    hub.now_ms += REDIAL_DELAY_MS - 1.0
    peers.send(ADDRESS, notice(2))
    assert peers.dialed == [ADDRESS]
    hub.now_ms += 1.0
    peers.send(ADDRESS, notice(3))
    assert peers.dialed == [ADDRESS, ADDRESS]
    peers.on_up(CONNECTION)
    assert [message for _, message in hub.written] == [HELLO, notice(2), notice(3)]


def test_connection_in_use_is_probed_once_until_it_answers(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    connect(peers)
    hub.now_ms += PROBE_INTERVAL_MS + 1.0
    for _ in range(3):
        peers.send(ADDRESS, notice(1))
    assert [message for _, message in hub.written].count(PROBE) == 1
    peers.on_probe_answered(CONNECTION)
    hub.now_ms += PROBE_INTERVAL_MS + 1.0
    peers.send(ADDRESS, notice(2))
    assert [message for _, message in hub.written].count(PROBE) == 2


def test_connection_without_probe_response_is_closed_and_dialed_again(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    connect(peers)
    hub.now_ms += PROBE_INTERVAL_MS + 1.0
    peers.send(ADDRESS, notice(1))
    hub.now_ms += PROBE_TIMEOUT_MS
    peers.send(ADDRESS, notice(2))
    assert hub.problems == []
    hub.now_ms += 1.0
    peers.send(ADDRESS, notice(3))
    assert hub.problems == ["mates_deaf"]
    assert peers.dialed == [ADDRESS, ADDRESS]
    written = [message for _, message in hub.written]
    assert notice(3) not in written
    peers.on_up(CONNECTION)
    assert [message for _, message in hub.written[len(written) :]] == [HELLO, notice(3)]


def test_least_recently_used_connection_makes_room(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    connect(peers, "a:1")
    hub.now_ms += 1.0
    connect(peers, "b:1")
    hub.now_ms += 1.0
    peers.send("a:1", notice(1))
    hub.now_ms += 1.0
    peers.send("c:1", notice(1))
    assert hub.closed == ["peer-b:1"]
    assert list(peers.peers) == ["peer-a:1", "peer-c:1"]


def test_idle_connection_is_closed_and_one_in_use_is_not(
    hub: RecordingHub, peers: RecordingPeers
) -> None:
    connect(peers, "a:1")
    connect(peers, "b:1")
    hub.now_ms += IDLE_TIMEOUT_MS
    peers.send("b:1", notice(1))
    hub.now_ms += 1.0
    peers.close_idle()
    assert hub.closed == ["peer-a:1"]
