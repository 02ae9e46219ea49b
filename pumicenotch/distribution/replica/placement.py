"""Chooses an instance's role in its zone, and its sources.

Relays use voters as their sources, and only relays and voters have children. The distribution tree
therefore has no loops.
"""

from collections.abc import Sequence

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.events import Peer
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.replica.rendezvous import rank_candidates
from pumicenotch.distribution.replica.upstreams import Upstreams
from pumicenotch.distribution.replica.zone import Zone
from pumicenotch.distribution.settings import NEVER
from pumicenotch.distribution.source.source import Source


class Placement:
    """Chooses the role and the sources of this instance; see `next_choice_at` for the times.

    Attributes:
        relay: whether this instance is a relay.
        hints: addresses of relays that other instances named in a refusal.
    """

    def __init__(
        self,
        me: Peer,
        voters: Sequence[str],
        context: Context,
        upstreams: Upstreams,
        source: Source,
        relay_eligible: bool,
    ) -> None:
        self.relay = False
        self.hints: tuple[str, ...] = ()
        self._me = me
        self._voters = tuple(rank_candidates(me.name, voters, lambda address: address))
        self._settings = context.settings
        self._upstreams = upstreams
        self._source = source
        self._outbox = context.outbox
        self._zone = Zone(me, context.settings.relays, relay_eligible)
        self._started_at = NEVER
        self._choice_at = NEVER
        self._step_down_at = NEVER

    def on_started(self, now_ms: float) -> None:
        """Schedules the first choice, which is made once the zone's members are known."""
        self._started_at = now_ms
        self._choice_at = now_ms

    def on_peer_changed(self, now_ms: float, peer: Peer) -> None:
        """Updates the zone after another instance has joined, left or changed."""
        if peer.address in self._voters or not self._zone.update_peer(peer):
            return
        if peer.alive:
            self._upstreams.stop_avoiding(peer.address)
        self._choice_at = now_ms

    def request_choice(self, now_ms: float) -> None:
        """Schedules another choice as soon as possible."""
        self._choice_at = now_ms

    def next_choice_at(self, now_ms: float) -> float:
        """Returns the time at which `choose` is to be called next."""
        if self._started_at == NEVER:
            return NEVER
        if not self._is_settled(now_ms):
            return self._started_at + self._settings.settle_ms
        return min(self._choice_at, self._upstreams.next_tick_at(), self._step_down_at)

    def _is_settled(self, now_ms: float) -> bool:
        """Returns whether enough members of the zone are known to choose sources."""
        is_settled = now_ms >= self._started_at + self._settings.settle_ms
        return is_settled or self._zone.size > self._settings.relays

    def choose(self, now_ms: float, readable: bool) -> None:
        """Updates the role and the sources of this instance.

        An instance that cannot read the newest version (`readable` is False) serves no children,
        because they may run newer programs.
        """
        self._choice_at = NEVER
        self._update_role(now_ms)
        self._source.accepting = self.relay and self._zone.is_relay() and readable
        self._source.candidates = tuple(self._zone.relays()[: m.MAX_CANDIDATES])
        if not readable:
            self._source.dismiss(m.NOT_A_RELAY)
        preferred: Sequence[str] = self._voters
        fallback: Sequence[str] = ()
        if not self.relay:
            hints = [address for address in self.hints if address != self._me.address]
            preferred = self._zone.relays()
            fallback = [*hints, *self._voters]
        alive = {*self._voters, *self._zone.addresses(), *self.hints}
        self._upstreams.choose(now_ms, preferred, fallback, alive)

    def _update_role(self, now_ms: float) -> None:
        should_relay = self._zone.is_relay()
        if should_relay:
            self._step_down_at = NEVER
            if not self.relay:
                self._change_role(relay=True)
        elif self.relay and not self._source.children:
            self._change_role(relay=False)
        elif self.relay and self._step_down_at == NEVER:
            self._step_down_at = now_ms + self._settings.relay_linger_ms
        elif self.relay and now_ms >= self._step_down_at:
            self._change_role(relay=False)

    def _change_role(self, relay: bool) -> None:
        self.relay = relay
        self._step_down_at = NEVER
        role = "now a relay" if relay else "no longer a relay"
        self._outbox.log(f"this instance is {role} of zone {self._me.zone}")
        if not relay:
            self._source.dismiss(m.NOT_A_RELAY)
        self._source.log.reset(self._source.view.version)
        self._upstreams.unsubscribe_all()
