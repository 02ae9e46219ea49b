"""The sources of one replica.

They are two at most. They are kept while they serve, left at once when they fail, and after a while
when others should serve instead.
"""

from collections.abc import Container, Sequence
from dataclasses import dataclass

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.settings import NEVER

# The primary one pushes, the secondary one announces.
MAX_UPSTREAMS = 2


@dataclass(slots=True)
class Upstream:
    """One source, as this replica knows it.

    Attributes:
        address: where it listens.
        last_message_at: when it was last heard from.
        subscribe_at: when the next Subscribe is sent, while it has not accepted.
        attempts: how many were sent.
        request: the number of the last one.
        accepted: whether it serves this replica.
        version: in force there.
        current_at: when that version was known to be the newest.
        retry_at: until then it is asked for nothing.
        unsubscribe_at: when it is left, if others should serve instead.
        lagging_since: since when another source is ahead of it.
    """

    address: str
    last_message_at: float
    subscribe_at: float
    attempts: int = 0
    request: int = 0
    accepted: bool = False
    version: int = 0
    current_at: float = -NEVER
    retry_at: float = 0.0
    unsubscribe_at: float = NEVER
    lagging_since: float = NEVER


class Upstreams:
    """The sources in use: the first of `active` is the primary one.

    Attributes:
        active: in order.
        lost: addresses that were left since the owner last looked.
        promoted: whether the primary source has changed since then.
    """

    def __init__(self, context: Context) -> None:
        self.active: list[Upstream] = []
        self.lost: list[str] = []
        self.promoted = False
        self._context = context
        self._settings = context.settings
        self._rng = context.rng
        self._outbox = context.outbox
        self._counts = context.counts
        self._avoided_until: dict[str, float] = {}
        self._request_numbers = context.request_numbers
        self._swap_at = NEVER

    def find(self, address: str) -> Upstream | None:
        """Return the source in use with that address."""
        return next((upstream for upstream in self.active if upstream.address == address), None)

    # Choice

    def choose(
        self,
        now_ms: float,
        preferred: Sequence[str],
        fallback: Sequence[str],
        alive: Container[str],
    ) -> None:
        """Use the first two of the preferred ones that can be had, or one of the others."""
        self._avoided_until = {
            address: avoided_until
            for address, avoided_until in self._avoided_until.items()
            if avoided_until > now_ms
        }
        usable = [address for address in preferred if address not in self._avoided_until]
        if not usable:
            usable = [address for address in fallback if address not in self._avoided_until][:1]
        wanted = usable[:MAX_UPSTREAMS]
        for upstream in list(self.active):
            self._keep_or_unsubscribe(now_ms, upstream, wanted, alive)
        for address in wanted:
            if len(self.active) < MAX_UPSTREAMS and self.find(address) is None:
                self.active.append(Upstream(address, now_ms, now_ms))
        self._swap(now_ms, wanted)

    def _keep_or_unsubscribe(
        self, now_ms: float, upstream: Upstream, wanted: Sequence[str], alive: Container[str]
    ) -> None:
        if upstream.address in wanted:
            upstream.unsubscribe_at = NEVER
        elif upstream.address not in alive:
            self._drop(upstream)
        elif upstream.unsubscribe_at == NEVER:
            upstream.unsubscribe_at = now_ms + self._unsubscribe_delay_ms()
        elif now_ms >= upstream.unsubscribe_at:
            self._outbox.send(upstream.address, m.Unsubscribe())
            self._drop(upstream)

    def _swap(self, now_ms: float, wanted: Sequence[str]) -> None:
        """Make the better one of two the primary again, after a while."""
        addresses = [upstream.address for upstream in self.active]
        is_reversed = len(addresses) == MAX_UPSTREAMS and addresses == list(reversed(wanted))
        if not is_reversed:
            self._swap_at = NEVER
        elif self._swap_at == NEVER:
            self._swap_at = now_ms + self._unsubscribe_delay_ms()
        elif now_ms >= self._swap_at and self.active[1].accepted:
            self.active.reverse()
            self.promoted = True
            self._swap_at = NEVER

    def _unsubscribe_delay_ms(self) -> float:
        return self._rng.uniform(self._settings.min_leave_ms, self._settings.max_leave_ms)

    def _drop(self, upstream: Upstream) -> None:
        if self.active[0] is upstream:
            self.promoted = True
        self.active.remove(upstream)
        self.lost.append(upstream.address)

    def failed(self, now_ms: float, address: str, wait_ms: float = 0.0) -> None:
        """Leave a source that failed, and avoid it for a while."""
        avoid_ms = self._settings.avoid_ms * (1.0 + self._rng.random())
        self._avoided_until[address] = now_ms + max(wait_ms, avoid_ms)
        self._counts["sources_failed"] += 1
        upstream = self.find(address)
        if upstream is not None:
            self._outbox.send(address, m.Unsubscribe())
            self._drop(upstream)

    def unsubscribe_all(self) -> None:
        """Leave all sources: this instance has another role, and needs others."""
        for upstream in list(self.active):
            self._outbox.send(upstream.address, m.Unsubscribe())
            self._drop(upstream)

    def stop_avoiding(self, address: str) -> None:
        """Consider a source again that has restarted."""
        self._avoided_until.pop(address, None)

    # Messages of sources

    def received(self, now_ms: float, address: str, version: int | None, age_ms: int) -> None:
        """Note a message of a source, and the version that it has if it says so."""
        upstream = self.find(address)
        if upstream is None:
            return
        upstream.last_message_at = now_ms
        if version is not None and version >= upstream.version:
            upstream.version = version
            upstream.current_at = max(upstream.current_at, now_ms - age_ms)

    def on_accepted(self, address: str, message: m.Accepted) -> bool:
        """Return whether a source has accepted the last Subscribe."""
        upstream = self.find(address)
        if upstream is None or upstream.request != message.request:
            return False
        upstream.accepted = True
        upstream.attempts = 0
        return True

    def resubscribe(self, now_ms: float, address: str) -> None:
        """Subscribe again at a source that does not know this replica."""
        upstream = self.find(address)
        if upstream is not None and upstream.accepted:
            upstream.accepted = False
            upstream.subscribe_at = now_ms
            upstream.attempts = 0
            # It may be another process, with another history.
            upstream.version = 0
            upstream.current_at = -NEVER

    def resubscribe_all(self, now_ms: float) -> None:
        """Subscribe again at all sources, as the subscription has changed."""
        for upstream in self.active:
            upstream.accepted = False
            upstream.subscribe_at = now_ms
            upstream.attempts = 0

    def postpone(self, address: str, until_ms: float) -> None:
        """Ask a source for nothing until then."""
        upstream = self.find(address)
        if upstream is not None:
            upstream.retry_at = max(upstream.retry_at, until_ms)

    def best(self, now_ms: float, min_version: int) -> str | None:
        """Return the primary source if it can be asked now, else the other."""
        for upstream in self.active:
            if (
                upstream.accepted
                and upstream.retry_at <= now_ms
                and upstream.version >= min_version
            ):
                return upstream.address
        return None

    # Time

    def tick(
        self, now_ms: float, generation: int, version: int, newest: int, subscription: Subscription
    ) -> None:
        """Subscribe where it is due, and leave sources that are silent or lag."""
        for upstream in list(self.active):
            if self._silent(now_ms, upstream) or self._lags(now_ms, upstream, newest):
                self.failed(now_ms, upstream.address)
            elif not upstream.accepted and now_ms >= upstream.subscribe_at:
                self._subscribe(now_ms, upstream, generation, version, subscription)

    def _silent(self, now_ms: float, upstream: Upstream) -> bool:
        gave_up = not upstream.accepted and upstream.attempts > self._settings.max_attempts
        return gave_up or now_ms - upstream.last_message_at >= self._settings.source_silent_ms

    def _lags(self, now_ms: float, upstream: Upstream, newest: int) -> bool:
        """Whether another source has been ahead of it for long."""
        is_elsewhere = any(each.version >= newest for each in self.active if each.accepted)
        if not upstream.accepted or upstream.version >= newest or not is_elsewhere:
            upstream.lagging_since = NEVER
            return False
        upstream.lagging_since = min(upstream.lagging_since, now_ms)
        return now_ms - upstream.lagging_since >= self._settings.source_lag_ms

    def _subscribe(
        self,
        now_ms: float,
        upstream: Upstream,
        generation: int,
        version: int,
        subscription: Subscription,
    ) -> None:
        upstream.attempts += 1
        upstream.request = next(self._request_numbers)
        upstream.subscribe_at = now_ms + self._context.retry_delay_ms(upstream.attempts)
        primary = upstream is self.active[0]
        message = m.Subscribe(upstream.request, generation, version, primary, subscription)
        self._outbox.send(upstream.address, message)

    def next_tick_at(self) -> float:
        """Return when `choose` and `tick` are to be called next."""
        next_at = NEVER
        if len(self.active) < MAX_UPSTREAMS:
            next_at = min(self._avoided_until.values(), default=NEVER)
        for upstream in self.active:
            silent_at = upstream.last_message_at + self._settings.source_silent_ms
            next_at = min(
                next_at,
                silent_at,
                upstream.unsubscribe_at,
                upstream.lagging_since + self._settings.source_lag_ms,
            )
            if not upstream.accepted:
                next_at = min(next_at, upstream.subscribe_at)
        return min(next_at, self._swap_at)
