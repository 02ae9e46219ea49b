"""The sources of one replica: at most two, kept while they serve, left at once when they fail, and later by
chance when others should serve instead.
"""

import random
from collections import Counter
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass

from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.settings import NEVER, Settings

SOURCES = 2  # the primary one pushes, the secondary one announces


@dataclass(slots=True)
class Upstream:
    """One source, as this replica knows it."""

    address: str
    heard_at: float
    subscribe_at: float  # when it is asked to serve, while it has not accepted
    tries: int = 0
    request: int = 0
    accepted: bool = False
    version: int = 0
    as_of: float = -NEVER  # when that version was known to be the newest
    put_off_until: float = 0.0
    leave_at: float = NEVER
    behind_since: float = NEVER


class Upstreams:
    """The first of `links` is the primary source."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        outbox: Outbox,
        counts: Counter[str],
        numbers: Iterator[int],
    ) -> None:
        self.links: list[Upstream] = []
        self.lost: list[str] = []  # addresses left since the owner last looked
        self.promoted = False  # whether the primary source has changed since then
        self._settings = settings
        self._rng = rng
        self._outbox = outbox
        self._counts = counts
        self._avoided: dict[str, float] = {}  # until when
        self._numbers = numbers
        self._swap_at = NEVER

    def link(self, address: str) -> Upstream | None:
        return next((link for link in self.links if link.address == address), None)

    # Choice

    def choose(
        self,
        now_ms: float,
        preferred: Sequence[str],
        fallback: Sequence[str],
        alive: Container[str],
    ) -> None:
        """Keeps to the first two of the preferred ones that can be had, or to one of the others."""
        self._avoided = {
            address: until for address, until in self._avoided.items() if until > now_ms
        }
        usable = [address for address in preferred if address not in self._avoided]
        if not usable:
            usable = [address for address in fallback if address not in self._avoided][:1]
        wanted = usable[:SOURCES]
        for link in list(self.links):
            self._keep_or_leave(now_ms, link, wanted, alive)
        for address in wanted:
            if len(self.links) < SOURCES and self.link(address) is None:
                self.links.append(Upstream(address, now_ms, now_ms))
        self._swap(now_ms, wanted)

    def _keep_or_leave(
        self, now_ms: float, link: Upstream, wanted: Sequence[str], alive: Container[str]
    ) -> None:
        if link.address in wanted:
            link.leave_at = NEVER
        elif link.address not in alive:
            self._drop(link)
        elif link.leave_at == NEVER:
            link.leave_at = now_ms + self._leave_after()
        elif now_ms >= link.leave_at:
            self._outbox.send(link.address, m.Unsubscribe())
            self._drop(link)

    def _swap(self, now_ms: float, wanted: Sequence[str]) -> None:
        """The better one of two becomes the primary again, by and by."""
        right = [link.address for link in self.links] != list(wanted[::-1]) or len(
            self.links
        ) < SOURCES
        if right:
            self._swap_at = NEVER
        elif self._swap_at == NEVER:
            self._swap_at = now_ms + self._leave_after()
        elif now_ms >= self._swap_at and self.links[1].accepted:
            self.links.reverse()
            self.promoted = True
            self._swap_at = NEVER

    def _leave_after(self) -> float:
        return self._rng.uniform(self._settings.min_leave_ms, self._settings.max_leave_ms)

    def _drop(self, link: Upstream) -> None:
        if self.links[0] is link:
            self.promoted = True
        self.links.remove(link)
        self.lost.append(link.address)

    def failed(self, now_ms: float, address: str, wait_ms: float = 0.0) -> None:
        """Leaves it, and avoids it for a while."""
        wait = max(wait_ms, self._settings.avoid_ms * (1.0 + self._rng.random()))
        self._avoided[address] = now_ms + wait
        self._counts["sources_failed"] += 1
        link = self.link(address)
        if link is not None:
            self._outbox.send(address, m.Unsubscribe())
            self._drop(link)

    def leave_all(self) -> None:
        """This instance has another role now, and needs other sources."""
        for link in list(self.links):
            self._outbox.send(link.address, m.Unsubscribe())
            self._drop(link)

    def forgive(self, address: str) -> None:
        """It has come back."""
        self._avoided.pop(address, None)

    # What sources say

    def heard(self, now_ms: float, address: str, version: int | None, age_ms: int) -> None:
        link = self.link(address)
        if link is None:
            return
        link.heard_at = now_ms
        if version is not None and version >= link.version:
            link.version = version
            link.as_of = max(link.as_of, now_ms - age_ms)

    def accepted(self, address: str, message: m.Accepted) -> bool:
        link = self.link(address)
        if link is None or link.request != message.request:
            return False
        link.accepted = True
        link.tries = 0
        return True

    def forgotten(self, now_ms: float, address: str) -> None:
        """It does not know this replica: it is asked anew."""
        link = self.link(address)
        if link is not None and link.accepted:
            link.accepted = False
            link.subscribe_at = now_ms
            link.tries = 0
            link.version = 0
            link.as_of = -NEVER

    def subscribe_anew(self, now_ms: float) -> None:
        """The subscription is another one."""
        for link in self.links:
            link.accepted = False
            link.subscribe_at = now_ms
            link.tries = 0

    def put_off(self, address: str, until_ms: float) -> None:
        link = self.link(address)
        if link is not None:
            link.put_off_until = max(link.put_off_until, until_ms)

    def best(self, now_ms: float, least_version: int) -> str | None:
        """The primary one if it can be asked now, else the other."""
        for link in self.links:
            if link.accepted and link.put_off_until <= now_ms and link.version >= least_version:
                return link.address
        return None

    # Time

    def tick(
        self, now_ms: float, generation: int, version: int, newest: int, subscription: Subscription
    ) -> None:
        """Subscribes where that is to be done, and finds out who is silent or behind."""
        for link in list(self.links):
            if self._silent(now_ms, link) or self._behind(now_ms, link, newest):
                self.failed(now_ms, link.address)
            elif not link.accepted and now_ms >= link.subscribe_at:
                self._subscribe(now_ms, link, generation, version, subscription)

    def _silent(self, now_ms: float, link: Upstream) -> bool:
        waits_in_vain = not link.accepted and link.tries > self._settings.max_attempts
        return waits_in_vain or now_ms - link.heard_at >= self._settings.source_silent_ms

    def _behind(self, now_ms: float, link: Upstream, newest: int) -> bool:
        """Whether it is behind what another one has, for long."""
        others = any(other.version >= newest for other in self.links if other.accepted)
        if not link.accepted or link.version >= newest or not others:
            link.behind_since = NEVER
            return False
        link.behind_since = min(link.behind_since, now_ms)
        return now_ms - link.behind_since >= self._settings.source_lag_ms

    def _subscribe(
        self,
        now_ms: float,
        link: Upstream,
        generation: int,
        version: int,
        subscription: Subscription,
    ) -> None:
        link.tries += 1
        link.request = next(self._numbers)
        wait = min(
            self._settings.max_retry_ms, self._settings.retry_ms * float(1 << link.tries - 1)
        )
        link.subscribe_at = now_ms + wait * (1.0 + 0.5 * self._rng.random())
        primary = link is self.links[0]
        message = m.Subscribe(link.request, generation, version, primary, subscription)
        self._outbox.send(link.address, message)

    def next_tick_at(self) -> float:
        """When `choose` and `tick` are to be called next."""
        due = min(self._avoided.values(), default=NEVER) if len(self.links) < SOURCES else NEVER
        for link in self.links:
            silent_at = link.heard_at + self._settings.source_silent_ms
            due = min(
                due, silent_at, link.leave_at, link.behind_since + self._settings.source_lag_ms
            )
            if not link.accepted:
                due = min(due, link.subscribe_at)
        return min(due, self._swap_at)
