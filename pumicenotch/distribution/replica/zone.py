"""The instances of one zone, and the choice of its relays.

Each instance computes the relays from its own membership view. Instances with the same view of live
members compute the same relays.
"""

from pumicenotch.distribution.events import Peer
from pumicenotch.distribution.replica.rendezvous import rank_candidates


class Zone:
    """The members of this instance's zone. Peers of other zones are ignored."""

    def __init__(self, me: Peer, relay_count: int, eligible: bool = True) -> None:
        """Creates a zone with this instance as its only member.

        Args:
            me: this instance.
            relay_count: number of relays in the zone.
            eligible: whether this instance may be a relay. If not, it refuses replicas that
                subscribe here nonetheless, and they try the next relay.
        """
        self.me = me
        self._eligible = eligible
        self._relay_count = relay_count
        self._peers: dict[str, Peer] = {}
        self._relays: list[Peer] = [me] if eligible else []

    def update_peer(self, peer: Peer) -> bool:
        """Updates a peer, and returns whether the members of this zone may have changed."""
        if peer.name == self.me.name:
            return False
        if peer.zone != self.me.zone or not peer.alive:
            if self._peers.pop(peer.name, None) is None:
                return False
        else:
            self._peers[peer.name] = peer
        candidates = [*([self.me] if self._eligible else []), *self._peers.values()]
        order = rank_candidates(self.me.zone, candidates, lambda candidate: candidate.name)
        self._relays = order[: self._relay_count]
        return True

    @property
    def size(self) -> int:
        """The number of live instances in the zone, including this one."""
        return 1 + len(self._peers)

    def addresses(self) -> set[str]:
        """Returns the addresses of the other live instances."""
        return {peer.address for peer in self._peers.values()}

    def relays(self) -> list[str]:
        """Returns the addresses of the other relays, in this instance's order of preference."""
        others = [peer for peer in self._relays if peer.name != self.me.name]
        return [
            peer.address
            for peer in rank_candidates(self.me.name, others, lambda candidate: candidate.name)
        ]

    def is_relay(self) -> bool:
        """Returns whether this instance is one of the zone's relays."""
        return any(peer.name == self.me.name for peer in self._relays)
