"""The instances of one zone, and which of them are its relays.

Each instance decides by its own membership; those that agree on who is alive agree on the relays.
"""

from pumicenotch.distribution.events import Peer
from pumicenotch.distribution.replica.rendezvous import ranked


class Zone:
    """The zone of this instance; peers of other zones are ignored."""

    def __init__(self, me: Peer, relay_count: int, eligible: bool = True) -> None:
        """Start with this instance alone.

        Args:
            me: this instance.
            relay_count: how many relays the zone has.
            eligible: whether this instance may be a relay. Others that try it nonetheless are
                refused, and go to the next.
        """
        self.me = me
        self._eligible = eligible
        self._relay_count = relay_count
        self._peers: dict[str, Peer] = {}
        self._relays: list[Peer] = [me] if eligible else []

    def changed(self, peer: Peer) -> bool:
        """Note a peer, and return whether it is of this zone."""
        if peer.name == self.me.name:
            return False
        if peer.zone != self.me.zone or not peer.alive:
            if self._peers.pop(peer.name, None) is None:
                return False
        else:
            self._peers[peer.name] = peer
        everyone = [*([self.me] if self._eligible else []), *self._peers.values()]
        order = ranked(self.me.zone, everyone, lambda candidate: candidate.name)
        self._relays = order[: self._relay_count]
        return True

    @property
    def size(self) -> int:
        """How many instances there are, this one included."""
        return 1 + len(self._peers)

    def addresses(self) -> set[str]:
        """Return the addresses of the others that are alive."""
        return {peer.address for peer in self._peers.values()}

    def relays(self) -> list[str]:
        """Return the addresses of the other relays, in this instance's order of preference."""
        others = [peer for peer in self._relays if peer.name != self.me.name]
        return [
            peer.address for peer in ranked(self.me.name, others, lambda candidate: candidate.name)
        ]

    def makes_me_relay(self) -> bool:
        """Whether this instance is to be a relay."""
        return any(peer.name == self.me.name for peer in self._relays)
