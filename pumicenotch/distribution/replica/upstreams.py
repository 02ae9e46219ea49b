"""Selection and supervision of the sources of one replica.

A replica uses at most two sources. It keeps a source that serves it, leaves a failed source at
once, and leaves a working source after a random delay when another source is preferred.
"""

from collections.abc import Container, Sequence
from dataclasses import dataclass

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.settings import NEVER

# The primary source pushes deltas, the secondary one only announces versions.
MAX_UPSTREAMS = 2


@dataclass(slots=True)
class Upstream:
    """The state of one source at this replica. Times are in milliseconds.

    Attributes:
        address: the address at which the source listens.
        last_message_at: time of the last message from the source.
        subscribe_at: time of the next Subscribe, while the source has not accepted.
        attempts: number of Subscribe messages sent without an answer.
        request: request number of the last Subscribe.
        accepted: whether the source serves this replica.
        version: the version in force at the source.
        current_at: time at which that version was known to be the newest.
        retry_at: time before which no requests are sent to the source.
        unsubscribe_at: time at which the source is left, if another one is preferred.
        lagging_since: time since which another source has a newer version.
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
    """The sources that a replica uses. The node reads and resets `lost_addresses`, `promoted`.

    Attributes:
        active: the sources in use, the primary one first.
        lost_addresses: addresses of the sources that were left since the last reset.
        promoted: whether the primary source has changed since the last reset.
    """

    def __init__(self, context: Context) -> None:
        self.active: list[Upstream] = []
        self.lost_addresses: list[str] = []
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
        """Returns the source in use with that address; None if there is none."""
        return next((upstream for upstream in self.active if upstream.address == address), None)

    # Selection

    def choose(
        self,
        now_ms: float,
        preferred: Sequence[str],
        fallback: Sequence[str],
        alive: Container[str],
    ) -> None:
        """Uses the first two usable preferred addresses, or else the first usable fallback address.

        A source that is no longer alive is dropped at once.
        """
        self._avoided_until = {
            address: avoided_until
            for address, avoided_until in self._avoided_until.items()
            if avoided_until > now_ms
        }
        usable = [address for address in preferred if address not in self._avoided_until]
        if not usable:
            usable = [address for address in fallback if address not in self._avoided_until][:1]
        chosen = usable[:MAX_UPSTREAMS]
        for upstream in list(self.active):
            self._keep_or_unsubscribe(now_ms, upstream, chosen, alive)
        for address in chosen:
            if len(self.active) < MAX_UPSTREAMS and self.find(address) is None:
                self.active.append(Upstream(address, now_ms, now_ms))
        self._swap(now_ms, chosen)

    def _keep_or_unsubscribe(
        self, now_ms: float, upstream: Upstream, chosen: Sequence[str], alive: Container[str]
    ) -> None:
        if upstream.address in chosen:
            upstream.unsubscribe_at = NEVER
        elif upstream.address not in alive:
            self._drop(upstream)
        elif upstream.unsubscribe_at == NEVER:
            upstream.unsubscribe_at = now_ms + self._unsubscribe_delay_ms()
        elif now_ms >= upstream.unsubscribe_at:
            self._outbox.send(upstream.address, m.Unsubscribe())
            self._drop(upstream)

    def _swap(self, now_ms: float, chosen: Sequence[str]) -> None:
        """Restores the preferred order of two sources after a delay."""
        addresses = [upstream.address for upstream in self.active]
        is_reversed = len(addresses) == MAX_UPSTREAMS and addresses == list(reversed(chosen))
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
        self.lost_addresses.append(upstream.address)

    def on_source_failed(self, now_ms: float, address: str, wait_ms: float = 0.0) -> None:
        """Leaves a failed source, and avoids its address for a randomized time."""
        avoid_ms = self._settings.avoid_ms * (1.0 + self._rng.random())
        self._avoided_until[address] = now_ms + max(wait_ms, avoid_ms)
        self._counts["sources_failed"] += 1
        upstream = self.find(address)
        if upstream is not None:
            self._outbox.send(address, m.Unsubscribe())
            self._drop(upstream)

    def unsubscribe_all(self) -> None:
        """Leaves all sources, because another role of this instance needs other sources."""
        for upstream in list(self.active):
            self._outbox.send(upstream.address, m.Unsubscribe())
            self._drop(upstream)

    def stop_avoiding(self, address: str) -> None:
        """Makes the address of a restarted source usable again."""
        self._avoided_until.pop(address, None)

    # Messages from sources

    def on_message(self, now_ms: float, address: str, version: int | None, age_ms: int) -> None:
        """Records a message from a source, and the source's version if the message contains one."""
        upstream = self.find(address)
        if upstream is None:
            return
        upstream.last_message_at = now_ms
        if version is not None and version >= upstream.version:
            upstream.version = version
            upstream.current_at = max(upstream.current_at, now_ms - age_ms)

    def on_accepted(self, address: str, message: m.Accepted) -> bool:
        """Handles Accepted, and returns whether it answers the last Subscribe to that source."""
        upstream = self.find(address)
        if upstream is None or upstream.request != message.request:
            return False
        upstream.accepted = True
        upstream.attempts = 0
        return True

    def resubscribe(self, now_ms: float, address: str) -> None:
        """Schedules a new Subscribe to a source that does not know this replica."""
        upstream = self.find(address)
        if upstream is not None and upstream.accepted:
            upstream.accepted = False
            upstream.subscribe_at = now_ms
            upstream.attempts = 0
            # The source may be a new process with another history of versions.
            upstream.version = 0
            upstream.current_at = -NEVER

    def resubscribe_all(self, now_ms: float) -> None:
        """Schedules a new Subscribe to all sources after a change of the subscription."""
        for upstream in self.active:
            upstream.accepted = False
            upstream.subscribe_at = now_ms
            upstream.attempts = 0

    def postpone(self, address: str, until_ms: float) -> None:
        """Sends no requests to a source before `until_ms`."""
        upstream = self.find(address)
        if upstream is not None:
            upstream.retry_at = max(upstream.retry_at, until_ms)

    def select(self, now_ms: float, min_version: int) -> str | None:
        """Returns the address of the first source that can be asked now and has the version."""
        for upstream in self.active:
            if (
                upstream.accepted
                and upstream.retry_at <= now_ms
                and upstream.version >= min_version
            ):
                return upstream.address
        return None

    # Timers

    def tick(
        self, now_ms: float, generation: int, version: int, newest: int, subscription: Subscription
    ) -> None:
        """Sends due Subscribe messages, and leaves sources that are silent or lag."""
        for upstream in list(self.active):
            if self._is_silent(now_ms, upstream) or self._is_lagging(now_ms, upstream, newest):
                self.on_source_failed(now_ms, upstream.address)
            elif not upstream.accepted and now_ms >= upstream.subscribe_at:
                self._subscribe(now_ms, upstream, generation, version, subscription)

    def _is_silent(self, now_ms: float, upstream: Upstream) -> bool:
        is_exhausted = not upstream.accepted and upstream.attempts > self._settings.max_attempts
        return is_exhausted or now_ms - upstream.last_message_at >= self._settings.source_silent_ms

    def _is_lagging(self, now_ms: float, upstream: Upstream, newest: int) -> bool:
        """Returns whether another source has had a newer version for `source_lag_ms`."""
        is_available = any(source.version >= newest for source in self.active if source.accepted)
        if not upstream.accepted or upstream.version >= newest or not is_available:
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
        """Returns the time at which `choose` and `tick` are to be called next."""
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
