"""How a copy is kept up to date: it takes deltas that are pushed, pulls what it has missed, and compares
scopes where deltas are not enough.
"""

import random
from collections import Counter
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from pumicenotch.distribution.data.changelog import LogEntry
from pumicenotch.distribution.data.records import ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.tables import Table
from pumicenotch.distribution.data.view import Scope
from pumicenotch.distribution.errors import DigestMismatchError, DistributionError
from pumicenotch.distribution.outbox import Outbox
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.replica.audit import Auditor
from pumicenotch.distribution.replica.copy import Copy
from pumicenotch.distribution.replica.fetching import Transfer
from pumicenotch.distribution.replica.requests import Requests
from pumicenotch.distribution.settings import Settings


class Sources(Protocol):
    """What the replica needs to know of its sources."""

    def best(self, now_ms: float, least_version: int) -> str | None:
        """The address of one that has at least that version and serves at the moment."""

    def failed(self, now_ms: float, address: str, wait_ms: float = 0.0) -> None:
        """It did not answer, or not with what it should."""

    def put_off(self, address: str, until_ms: float) -> None:
        """It asked to come back then."""


class Replica:
    """Keeps `copy` at what its sources have, as far as `subscription` goes."""

    def __init__(
        self,
        subscription: Subscription,
        rng: random.Random,
        settings: Settings,
        tables: Mapping[str, Table],
        outbox: Outbox,
        counts: Counter[str],
        sources: Sources,
        numbers: Iterator[int],
        on_switch: Callable[[LogEntry | None], None],
    ) -> None:
        self.copy = Copy(settings, tables, outbox, counts, on_switch)
        self.subscription = subscription  # what the copy should cover
        self.generation = rng.getrandbits(30)
        self._settings = settings
        self._tables = tables
        self._outbox = outbox
        self._counts = counts
        self._sources = sources
        self._requests = Requests(settings, rng, outbox, numbers)
        self._transfer: Transfer | None = None
        self._transfer_number = rng.getrandbits(30)
        self._kept: dict[ScopeId, Scope] = {}  # of a transfer that was broken off
        self._begin_at = 0.0  # no pull and no transfer begins before
        self._auditor = Auditor(settings, settings.audit_ms * (1.0 + rng.random()))

    # What its owner asks

    def next_tick_at(self, now_ms: float) -> float:
        """When `tick` is to be called next."""
        if self._has_work():
            return now_ms
        due = min(self._requests.next_retry_at(), self._auditor.due)
        if self._is_idle() and self._lags():
            due = min(
                due, self._begin_at if self._begin_at > now_ms else now_ms + self._settings.retry_ms
            )
        return due

    def tick(self, now_ms: float) -> None:
        """One slice of work, and what is due."""
        self._work(now_ms)
        for request in self._requests.tick(now_ms):
            self._counts["unanswered"] += 1
            self._sources.failed(now_ms, request.address)
        self._begin(now_ms)
        if now_ms >= self._auditor.due and self._is_idle():
            self._auditor.begin(now_ms, self.copy.view)

    def heard(self, now_ms: float, version: int) -> None:
        """A source has that version in force."""
        if version > self.copy.newest and not self.copy.lags():
            pushed_by = now_ms + self._settings.missed_ms  # what is on its way has come by then
            self._begin_at = max(self._begin_at, pushed_by)
        self.copy.newest = max(self.copy.newest, version)

    def subscribe(self, now_ms: float, subscription: Subscription) -> None:
        """Another subscription: what is no longer in it is dropped at once, what is new in it is fetched."""
        self.subscription = subscription
        self.generation += 1
        self._break_off()
        self._requests.cancel()
        self.copy.narrow(subscription)
        self._begin_at = now_ms

    def source_lost(self, address: str) -> None:
        """That one is no source any more."""
        self._requests.cancel(address)
        if self._transfer is not None and self._transfer.address == address:
            self._break_off()

    # Messages

    def delta(self, now_ms: float, address: str, delta: m.Delta) -> None:
        """Pushed, or the answer to a pull."""
        copy = self.copy
        asked = delta.request != 0 and self._requests.answered(delta.request, address) is not None
        if delta.generation != self.generation:
            return
        self.heard(now_ms, delta.version)
        if copy.staging is not None and copy.staging.follows(delta):
            copy.staging.add(delta)
            return
        if asked and copy.staging is not None and copy.staging.paged:
            copy.staging = None  # the page is of another source's log: begin anew
        if delta.version <= copy.view.version:
            if asked:
                self._begin_at = now_ms + self._settings.retry_ms  # that source has nothing newer
        elif self._can_stage() and delta.previous == copy.view.version and delta.start == m.START:
            copy.stage(delta)
        else:
            copy.keep(delta)

    def scopes(self, now_ms: float, address: str, page: m.Scopes) -> None:
        """The answer to a comparison."""
        transfer = self._transfer
        asked = self._requests.answered(page.request, address) is not None
        if not asked or transfer is None or page.transfer != transfer.number:
            return
        if page.version < self.copy.view.version or transfer.version not in (-1, page.version):
            self._counts["sources_behind"] += 1
            self._break_off()
            self._sources.failed(now_ms, address)
            return
        self.heard(now_ms, page.version)
        transfer.list_page(page, self.copy.view)
        self._go_on(now_ms, transfer)

    def records(self, now_ms: float, address: str, page: m.Records) -> None:
        """The answer to a fetch."""
        request = self._requests.answered(page.request, address)
        transfer = self._transfer
        if request is None or transfer is None or page.transfer != transfer.number:
            return
        assert isinstance(request.message, m.Fetch)
        transfer.add(request.message.wants, page.parts)

    def refused(self, now_ms: float, address: str, refusal: m.Refused) -> None:
        """A request of this replica was refused."""
        if refusal.reason in (m.BUSY, m.NOT_READY):
            self._sources.put_off(address, now_ms + refusal.retry_after_ms)
        if refusal.reason == m.BUSY:
            self._requests.postpone(now_ms, refusal.request, refusal.retry_after_ms)
        elif self._requests.answered(refusal.request, address) is not None:
            self.copy.compare = self.copy.compare or refusal.reason == m.COMPACTED
            self.copy.staging = None
            self._break_off()

    def mismatch(self, message: m.Mismatch) -> None:
        """A source has another digest for a scope at this version."""
        scope_id = ScopeId(message.table, message.scope)
        if message.version == self.copy.view.version and self.copy.coverage.contains(*scope_id):
            self.copy.suspect([scope_id])

    # Work, a slice at a time

    def _has_work(self) -> bool:
        staging = self.copy.staging
        transfer = self._transfer
        return (
            self._auditor.current is not None
            or (staging is not None and (staging.has_work or staging.complete))
            or (transfer is not None and (transfer.has_work or transfer.done))
        )

    def _work(self, now_ms: float) -> None:
        transfer = self._transfer
        staging = self.copy.staging
        try:
            if transfer is not None:
                self._work_transfer(now_ms, transfer)
            elif staging is not None:
                self.copy.work()
            else:
                self._work_audit(now_ms)
        except DistributionError as error:
            self._failed(now_ms, error, transfer)

    def _failed(self, now_ms: float, error: DistributionError, transfer: Transfer | None) -> None:
        staging = self.copy.staging
        self._break_off()
        if transfer is not None and isinstance(error, DigestMismatchError):
            self.copy.fail(error)
            self._sources.failed(now_ms, transfer.address)
        elif transfer is not None:
            self.copy.stuck(transfer.version, error)
        elif staging is not None:
            self.copy.stuck(staging.version, error)

    def _work_transfer(self, now_ms: float, transfer: Transfer) -> None:
        budget = transfer.work(self._settings.slice_changes)
        self._go_on(now_ms, transfer)
        if budget <= 0 or not transfer.done:
            return
        view = transfer.build(self.copy.view)
        self._end_transfer(transfer)
        self.copy.suspects -= transfer.suspects
        self.copy.compare = bool(self.copy.suspects)
        self.copy.switch(view, transfer.subscription, None)

    def _work_audit(self, now_ms: float) -> None:
        view = self.copy.view
        audit = self._auditor.work(view)
        if audit is None:
            return
        address = self._sources.best(now_ms, view.version)
        if not audit.good:
            self.copy.suspect([audit.scope_id])
        elif address is not None:
            digest = m.ScopeDigest(*audit.scope_id, audit.scope.digest)
            self._outbox.send(address, m.Check(view.version, digest))

    # Asking

    def _can_stage(self) -> bool:
        return self.copy.staging is None and self._transfer is None and not self.copy.compare

    def _is_idle(self) -> bool:
        return self.copy.staging is None and self._transfer is None and not self._requests.open

    def _lags(self) -> bool:
        return not self.copy.is_blocked() and (self._needs_transfer() or self.copy.lags())

    def _needs_transfer(self) -> bool:
        return self.copy.compare or not self.copy.coverage.covers(self.subscription)

    def _begin(self, now_ms: float) -> None:
        """Begins, or goes on with, what is needed to catch up."""
        copy = self.copy
        busy = self._transfer is not None or self._requests.open or copy.is_blocked()
        if busy or now_ms < self._begin_at:
            return
        if copy.staging is not None:
            if copy.staging.paged and not copy.staging.has_work:
                self._pull(now_ms, copy.staging.version, copy.staging.end)
        elif self._needs_transfer():
            self._begin_transfer(now_ms)
        elif copy.lags():
            self._pull(now_ms, copy.view.version + 1, m.START)

    def _pull(self, now_ms: float, least_version: int, start: m.Cursor) -> None:
        address = self._sources.best(now_ms, least_version)
        if address is None:
            return
        self._counts["pulled"] += 1
        have = self.copy.view.version
        generation = self.generation
        self._requests.send(now_ms, address, lambda number: m.Pull(number, generation, have, start))

    def _begin_transfer(self, now_ms: float) -> None:
        copy = self.copy
        newer = max(copy.view.version, copy.blocked) + 1
        address = self._sources.best(now_ms, newer) if copy.lags() else None
        if address is None:  # nothing newer is to be had: at least what is in force, whole
            address = self._sources.best(now_ms, max(copy.view.version, copy.blocked + 1))
        if address is None:
            return
        self._counts["transfers"] += 1
        self._transfer_number += 1
        self._transfer = Transfer(
            self._transfer_number,
            address,
            self.subscription,
            self._tables,
            copy.suspects,
            self._kept,
        )
        self._kept = {}
        self._ask_digests(now_ms, self._transfer)

    def _go_on(self, now_ms: float, transfer: Transfer) -> None:
        """Requests of the transfer, as many as may be in flight."""
        asked = [type(request.message) for request in self._requests.open.values()]
        if not transfer.listed_all and m.Compare not in asked:
            self._ask_digests(now_ms, transfer)
        for _ in range(self._settings.max_fetches - len(asked)):
            if transfer.has_work or not transfer.wants:
                return
            self._ask_records(now_ms, transfer)

    def _ask_digests(self, now_ms: float, transfer: Transfer) -> None:
        number = transfer.number
        generation = self.generation
        after = transfer.listed_to
        self._requests.send(
            now_ms, transfer.address, lambda request: m.Compare(request, generation, number, after)
        )

    def _ask_records(self, now_ms: float, transfer: Transfer) -> None:
        number = transfer.number
        wants = transfer.next_wants()
        self._requests.send(
            now_ms, transfer.address, lambda request: m.Fetch(request, number, wants)
        )

    def _break_off(self) -> None:
        """Ends a transfer; what it has fetched and verified is of use to the next one."""
        if self._transfer is not None:
            self._kept = self._transfer.complete
            self._end_transfer(self._transfer)

    def _end_transfer(self, transfer: Transfer) -> None:
        self._transfer = None
        self._requests.cancel()
        self._outbox.send(transfer.address, m.EndTransfer(transfer.number))
