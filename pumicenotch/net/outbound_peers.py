"""Manages the connections that a process dials to others of its fleet, one per address."""

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
MAX_QUEUED_MESSAGES = 256  # Messages queued for one connection while it is dialed.
# Delay before a new dial after a failed dial or a lost connection. Messages queued at the failure
# are lost.
REDIAL_DELAY_MS = 200.0
# Time without an outgoing message after which a connection is closed. In a fleet of 1,000 members,
# each member communicates with only a few others at a time.
IDLE_TIMEOUT_MS = 5000.0
IDLE_CHECK_INTERVAL_MS = IDLE_TIMEOUT_MS / 5.0
PROBE_INTERVAL_MS = 1000.0  # Minimum time between probes of a connection in use.
PROBE_TIMEOUT_MS = 2500.0


class OutboundPeer:
    """State of the connection to one address, and the messages queued for it."""

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
    """Dials connections on demand, and closes idle, unresponsive and surplus ones.

    Args:
        hub: Receives the events of the connections and holds their outboxes.
        group: Runs the connections.
        max_connections: Limit above which the least recently used connection is closed.
    """

    def __init__(self, hub: "PeerHub", group: TaskGroup, max_connections: int) -> None:
        self.hub = hub
        self.group = group
        self.max_connections = max_connections
        self.peers: dict[str, OutboundPeer] = {}  # By connection name, "peer-ADDRESS".
        self.next_idle_check_at_ms = 0.0

    def send(self, address: str, message: PeerMessage) -> None:
        """Sends on the connection to the address, or queues the message while it is dialed."""
        now_ms = self.hub.clock.now()
        peer = self.peer_at(address)
        peer.used_at_ms = now_ms
        if self.is_unresponsive(peer, now_ms):
            text = f"{address} did not answer a probe on an established connection"
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
        """Returns the connection to the address, creating it if there is none."""
        connection = f"{PARTY}-{address}"
        peer = self.peers.get(connection)
        if peer is None:
            if len(self.peers) >= self.max_connections:
                self.evict_least_recently_used()
            peer = OutboundPeer(connection)
            self.peers[connection] = peer
        return peer

    def dial(self, address: str, connection: str) -> None:
        """Starts dialing; an invalid address is handled like an unreachable one."""
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
        """Returns whether a probe has timed out.

        A half-open connection would accept messages without delivering them.
        """
        if not peer.is_up or peer.unanswered_probe_at_ms is None:
            return False
        return now_ms - peer.unanswered_probe_at_ms > PROBE_TIMEOUT_MS

    def probe_if_due(self, peer: OutboundPeer, now_ms: float) -> None:
        """Sends a probe if the last one is answered and the probe interval has passed."""
        is_due = now_ms - peer.probed_at_ms > PROBE_INTERVAL_MS
        if peer.unanswered_probe_at_ms is None and is_due:
            peer.unanswered_probe_at_ms = now_ms
            peer.probed_at_ms = now_ms
            self.hub.write(peer.connection, PROBE)

    def on_probe_answered(self, connection: str) -> None:
        """Records that the peer has answered a probe."""
        self.peers[connection].unanswered_probe_at_ms = None

    # Connections

    def on_up(self, connection: str) -> None:
        """Sends the hello, then the queued messages, on an established connection."""
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
        """Handles a lost connection or a failed dial; queued messages are dropped."""
        peer = self.peers[connection]
        if not peer.is_up:
            self.hub.node.counters["mates_unreached"] += 1
        peer.is_up = False
        peer.is_dialing = False
        peer.queue = []
        peer.redial_at_ms = self.hub.clock.now() + REDIAL_DELAY_MS

    def cut(self, peer: OutboundPeer) -> None:
        """Ends an unresponsive connection at once, without writing its queued data."""
        outbox = self.hub.outboxes.pop(peer.connection, None)
        if outbox is not None:
            outbox.scope.cancel()
        peer.is_up = False
        peer.unanswered_probe_at_ms = None

    def evict_least_recently_used(self) -> None:
        """Closes the least recently used connection that is not being dialed."""
        candidates = [peer for peer in self.peers.values() if not peer.is_dialing]
        if candidates:
            self.close(min(candidates, key=lambda peer: peer.used_at_ms))

    def close_idle(self) -> None:
        """Closes idle connections; called with each timer input, checks once per interval."""
        now_ms = self.hub.clock.now()
        if now_ms < self.next_idle_check_at_ms:
            return
        self.next_idle_check_at_ms = now_ms + IDLE_CHECK_INTERVAL_MS
        for peer in list(self.peers.values()):
            if now_ms - peer.used_at_ms > IDLE_TIMEOUT_MS and not peer.is_dialing:
                self.close(peer)

    def close(self, peer: OutboundPeer) -> None:
        """Closes the connection once its queued messages are written."""
        self.hub.close(peer.connection)
        del self.peers[peer.connection]
