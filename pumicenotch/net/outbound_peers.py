"""The connections that a process dials to others of its fleet, one for each address."""

from functools import partial
from typing import TYPE_CHECKING

from anyio.abc import TaskGroup

from pumicenotch import start
from pumicenotch.net.dialer import DialedProtocol, Dialer
from pumicenotch.net.peer_frames import ENCODERS, PROBE, PeerMessage
from pumicenotch.net.peer_protocol import DialedPeer

if TYPE_CHECKING:
    from pumicenotch.net.peers import PeerHub

PARTY = "peer"
MAX_QUEUED_MESSAGES = 256  # for a connection that is being dialled
REDIAL_DELAY_MS = 200.0  # after a refused dial; what is sent meanwhile is lost, as on a cut link
# A connection without a message for so long is closed: among 1,000 members each talks to some at a
# time.
IDLE_TIMEOUT_MS = 5000.0
IDLE_CHECK_INTERVAL_MS = IDLE_TIMEOUT_MS / 5.0
PROBE_INTERVAL_MS = 1000.0  # between probes of a connection in use
PROBE_TIMEOUT_MS = 2500.0


class OutboundPeer:
    """The connection to one address, and what waits for it."""

    def __init__(self, connection: str) -> None:
        self.connection = connection
        self.is_up = False
        self.is_dialing = False
        self.queue: list[PeerMessage] = []
        self.redial_at_ms = 0.0
        self.used_at_ms = 0.0
        self.probed_at_ms = 0.0
        self.unanswered_probe_at_ms: float | None = None


class OutboundPeers:
    """Dials when there is something to send, and closes what is idle, unresponsive or too much.

    Args:
        hub: Carries the connections.
        group: Runs them.
        max_connections: That are kept; beyond it the least recently used one is closed.
    """

    def __init__(self, hub: "PeerHub", group: TaskGroup, max_connections: int) -> None:
        self.hub = hub
        self.group = group
        self.max_connections = max_connections
        self.peers: dict[str, OutboundPeer] = {}  # by connection, which is "peer-ADDRESS"
        self.check_idle_at_ms = 0.0

    def send(self, address: str, message: PeerMessage) -> None:
        """Sends on the connection to that address, or queues until it is dialled."""
        now_ms = self.hub.clock.now()
        peer = self.peer_at(address)
        peer.used_at_ms = now_ms
        if self.is_unresponsive(peer, now_ms):
            text = f"{address} does not answer on a link that is up"
            self.hub.count_problem("mates_deaf", text)
            self.cut(peer)
        if peer.is_up:
            self.hub.write(peer.connection, message)
            self.probe_if_due(peer, now_ms)
            return
        if len(peer.queue) < MAX_QUEUED_MESSAGES:
            peer.queue.append(message)
        if not peer.is_dialing and now_ms >= peer.redial_at_ms:
            peer.is_dialing = True
            self.dial(address, peer.connection)

    def peer_at(self, address: str) -> OutboundPeer:
        """Returns the connection to that address, new where there is none."""
        connection = f"{PARTY}-{address}"
        peer = self.peers.get(connection)
        if peer is None:
            if len(self.peers) >= self.max_connections:
                self.evict_least_recently_used()
            peer = OutboundPeer(connection)
            self.peers[connection] = peer
        return peer

    def dial(self, address: str, connection: str) -> None:
        """Starts the connection; an address that is none counts as one that cannot be reached."""
        try:
            host_and_port = start.parse_address(address)
        except ValueError:
            self.on_down(connection)
            return
        protocol = DialedProtocol(
            ENCODERS, partial(DialedPeer, self.hub), self.hub.max_unread_bytes
        )
        Dialer(self.hub, self.group, host_and_port, protocol).dial(connection, 0.0)

    # Probes

    def is_unresponsive(self, peer: OutboundPeer, now_ms: float) -> bool:
        """Whether a probe was not answered: a half-open connection would swallow all."""
        if not peer.is_up or peer.unanswered_probe_at_ms is None:
            return False
        return now_ms - peer.unanswered_probe_at_ms > PROBE_TIMEOUT_MS

    def probe_if_due(self, peer: OutboundPeer, now_ms: float) -> None:
        """Asks for an answer, now and then while the connection is in use."""
        is_due = now_ms - peer.probed_at_ms > PROBE_INTERVAL_MS
        if peer.unanswered_probe_at_ms is None and is_due:
            peer.unanswered_probe_at_ms = now_ms
            peer.probed_at_ms = now_ms
            self.hub.write(peer.connection, PROBE)

    def on_probe_answered(self, connection: str) -> None:
        """The other side has answered a probe."""
        self.peers[connection].unanswered_probe_at_ms = None

    # Connections

    def on_up(self, connection: str) -> None:
        """Sends the hello, then what has waited."""
        peer = self.peers[connection]
        peer.is_up = True
        peer.is_dialing = False
        peer.unanswered_probe_at_ms = None
        peer.probed_at_ms = self.hub.clock.now()
        queue = peer.queue
        peer.queue = []
        self.hub.write(connection, self.hub.hello)
        for message in queue:
            self.hub.write(connection, message)

    def on_down(self, connection: str) -> None:
        """The connection is lost, or could not be made: what has waited is lost with it."""
        peer = self.peers[connection]
        if not peer.is_up:
            self.hub.node.counters["mates_unreached"] += 1
        peer.is_up = False
        peer.is_dialing = False
        peer.queue = []
        peer.redial_at_ms = self.hub.clock.now() + REDIAL_DELAY_MS

    def cut(self, peer: OutboundPeer) -> None:
        """Ends a connection whose peer may never see its end, without waiting for its writer."""
        outbox = self.hub.outboxes.pop(peer.connection, None)
        if outbox is not None:
            outbox.scope.cancel()
        peer.is_up = False
        peer.unanswered_probe_at_ms = None

    def evict_least_recently_used(self) -> None:
        """Closes one connection to make room for another."""
        candidates = [peer for peer in self.peers.values() if not peer.is_dialing]
        if candidates:
            self.close(min(candidates, key=lambda peer: peer.used_at_ms))

    def close_idle(self) -> None:
        """Closes connections that nobody has used for a while; to be called often."""
        now_ms = self.hub.clock.now()
        if now_ms < self.check_idle_at_ms:
            return
        self.check_idle_at_ms = now_ms + IDLE_CHECK_INTERVAL_MS
        for peer in list(self.peers.values()):
            if now_ms - peer.used_at_ms > IDLE_TIMEOUT_MS and not peer.is_dialing:
                self.close(peer)

    def close(self, peer: OutboundPeer) -> None:
        """Closes the connection once all that it was given is written."""
        self.hub.close(peer.connection)
        del self.peers[peer.connection]
