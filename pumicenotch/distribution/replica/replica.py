"""Keeps a copy of the configuration current.

A replica applies the deltas that sources push, pulls the versions that it missed, and compares
scope digests where deltas cannot update the copy.
"""

from collections.abc import Callable
from typing import Protocol

from pumicenotch.distribution.context import Context
from pumicenotch.distribution.data.changelog import LogEntry
from pumicenotch.distribution.data.records import ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.view import Scope
from pumicenotch.distribution.errors import DigestMismatchError, DistributionError
from pumicenotch.distribution.protocol import messages as m
from pumicenotch.distribution.replica.audit import Auditor
from pumicenotch.distribution.replica.copy import Copy
from pumicenotch.distribution.replica.fetching import Transfer
from pumicenotch.distribution.replica.requests import Requests


class Sources(Protocol):
    """The interface to the sources of a replica."""

    def select(self, now_ms: float, min_version: int) -> str | None:
        """Returns the address of a source with at least that version that can be asked now."""

    def on_source_failed(self, now_ms: float, address: str, wait_ms: float = 0.0) -> None:
        """Records that a source did not answer, or gave an answer that cannot be used."""

    def postpone(self, address: str, until_ms: float) -> None:
        """Sends no requests to a source before `until_ms`."""


class Replica:
    """Keeps the scopes of `subscription` in `copy` at the newest version of the sources.

    `generation` identifies the current subscription, and increases with each new one.
    """

    def __init__(
        self,
        subscription: Subscription,
        context: Context,
        sources: Sources,
        on_switch: Callable[[LogEntry | None], None],
    ) -> None:
        self.copy = Copy(context, on_switch)
        self.subscription = subscription
        self.generation = context.rng.getrandbits(30)
        self._settings = context.settings
        self._tables = context.tables
        self._outbox = context.outbox
        self._counts = context.counts
        self._sources = sources
        self._requests = Requests(context)
        self._transfer: Transfer | None = None
        self._transfer_number = context.rng.getrandbits(30)
        # Verified scopes of a transfer that was aborted.
        self._reusable: dict[ScopeId, Scope] = {}
        # Earliest time of the next pull or transfer.
        self._not_before = 0.0
        first_audit_at = context.settings.audit_ms * (1.0 + context.rng.random())
        self._auditor = Auditor(context.settings, first_audit_at)

    # Interface to the node

    def next_tick_at(self, now_ms: float) -> float:
        """Returns the time at which `tick` is to be called next."""
        if self._has_work():
            return now_ms
        next_at = min(self._requests.next_retry_at(), self._auditor.next_audit_at)
        if self._is_idle() and self._is_behind():
            next_at = min(
                next_at,
                self._not_before if self._not_before > now_ms else now_ms + self._settings.retry_ms,
            )
        return next_at

    def tick(self, now_ms: float) -> None:
        """Processes one slice, and sends the requests and retries whose time has come."""
        self._process_slice(now_ms)
        for request in self._requests.tick(now_ms):
            self._counts["unanswered"] += 1
            self._sources.on_source_failed(now_ms, request.address)
        self._start_catching_up(now_ms)
        if now_ms >= self._auditor.next_audit_at and self._is_idle():
            self._auditor.start(now_ms, self.copy.view)

    def on_version(self, now_ms: float, version: int) -> None:
        """Records that a source has a version in force."""
        if version > self.copy.newest_version and not self.copy.is_lagging():
            # A delta that the source pushed has arrived by this time.
            pushed_by = now_ms + self._settings.missed_ms
            self._not_before = max(self._not_before, pushed_by)
        self.copy.newest_version = max(self.copy.newest_version, version)

    def subscribe(self, now_ms: float, subscription: Subscription) -> None:
        """Changes the subscription: drops removed scopes, and schedules a fetch of added ones."""
        self.subscription = subscription
        self.generation += 1
        self._abort_transfer()
        self._requests.cancel()
        self.copy.narrow(subscription)
        self._not_before = now_ms

    def on_source_lost(self, address: str) -> None:
        """Cancels the requests to a source that is no longer in use."""
        self._requests.cancel(address)
        if self._transfer is not None and self._transfer.address == address:
            self._abort_transfer()

    # Messages

    def on_delta(self, now_ms: float, address: str, delta: m.Delta) -> None:
        """Handles a delta that was pushed or that answers a pull."""
        copy = self.copy
        is_answer = (
            delta.request != 0 and self._requests.take_answered(delta.request, address) is not None
        )
        if delta.generation != self.generation:
            return
        self.on_version(now_ms, delta.version)
        if copy.staging is not None and copy.staging.follows(delta):
            copy.staging.add(delta)
            return
        if is_answer and copy.staging is not None and copy.staging.paged:
            # The page comes from the log of another source.
            copy.staging = None
        if delta.version <= copy.view.version:
            if is_answer:
                # The source that answered has no newer version.
                self._not_before = now_ms + self._settings.retry_ms
        elif self._can_stage() and delta.previous == copy.view.version and delta.start == m.START:
            copy.stage(delta)
        else:
            copy.queue(delta)

    def on_scopes(self, now_ms: float, address: str, page: m.Scopes) -> None:
        """Handles the answer to a Compare request."""
        transfer = self._transfer
        is_answer = self._requests.take_answered(page.request, address) is not None
        if not is_answer or transfer is None or page.transfer != transfer.number:
            return
        if page.version < self.copy.view.version or transfer.version not in (-1, page.version):
            self._counts["sources_behind"] += 1
            self._abort_transfer()
            self._sources.on_source_failed(now_ms, address)
            return
        self.on_version(now_ms, page.version)
        transfer.add_digests(page, self.copy.view)
        self._continue_transfer(now_ms, transfer)

    def on_records(self, now_ms: float, address: str, page: m.Records) -> None:
        """Handles the answer to a Fetch request."""
        request = self._requests.take_answered(page.request, address)
        transfer = self._transfer
        if request is None or transfer is None or page.transfer != transfer.number:
            return
        assert isinstance(request.message, m.Fetch)
        transfer.add(request.message.wants, page.parts)

    def on_refused(self, now_ms: float, address: str, refusal: m.Refused) -> None:
        """Handles the refusal of a request of this replica."""
        if refusal.reason in (m.BUSY, m.NOT_READY):
            self._sources.postpone(address, now_ms + refusal.retry_after_ms)
        if refusal.reason == m.BUSY:
            self._requests.postpone(now_ms, refusal.request, refusal.retry_after_ms)
        elif self._requests.take_answered(refusal.request, address) is not None:
            self.copy.needs_comparison = self.copy.needs_comparison or refusal.reason == m.COMPACTED
            self.copy.staging = None
            self._abort_transfer()

    def on_mismatch(self, message: m.Mismatch) -> None:
        """Handles the message that a source has another digest for a scope at the same version."""
        scope_id = ScopeId(message.table, message.scope)
        if message.version == self.copy.view.version and self.copy.coverage.contains(*scope_id):
            self.copy.mark_suspect([scope_id])

    # Sliced processing

    def _has_work(self) -> bool:
        staging = self.copy.staging
        transfer = self._transfer
        return (
            self._auditor.current is not None
            or (staging is not None and (staging.has_work or staging.complete))
            or (transfer is not None and (transfer.has_work or transfer.done))
        )

    def _process_slice(self, now_ms: float) -> None:
        transfer = self._transfer
        staging = self.copy.staging
        try:
            if transfer is not None:
                self._process_transfer(now_ms, transfer)
            elif staging is not None:
                self.copy.process_slice()
            else:
                self._process_audit(now_ms)
        except DistributionError as error:
            self._handle_error(now_ms, error, transfer)

    def _handle_error(
        self, now_ms: float, error: DistributionError, transfer: Transfer | None
    ) -> None:
        staging = self.copy.staging
        self._abort_transfer()
        if transfer is not None and isinstance(error, DigestMismatchError):
            self.copy.record_error(error)
            self._sources.on_source_failed(now_ms, transfer.address)
        elif transfer is not None:
            self.copy.block_version(transfer.version, error)
        elif staging is not None:
            self.copy.block_version(staging.version, error)

    def _process_transfer(self, now_ms: float, transfer: Transfer) -> None:
        budget = transfer.process_slice(self._settings.slice_changes)
        self._continue_transfer(now_ms, transfer)
        if budget <= 0 or not transfer.done:
            return
        view = transfer.build(self.copy.view)
        self._end_transfer(transfer)
        self.copy.suspect_scopes -= transfer.suspect_scopes
        self.copy.needs_comparison = bool(self.copy.suspect_scopes)
        self.copy.switch(view, transfer.subscription, None)

    def _process_audit(self, now_ms: float) -> None:
        view = self.copy.view
        audit = self._auditor.process_slice(view)
        if audit is None:
            return
        address = self._sources.select(now_ms, view.version)
        if not audit.matches:
            self.copy.mark_suspect([audit.scope_id])
        elif address is not None:
            digest = m.ScopeDigest(*audit.scope_id, audit.scope.digest)
            self._outbox.send(address, m.Check(view.version, digest))

    # Requests

    def _can_stage(self) -> bool:
        return (
            self.copy.staging is None and self._transfer is None and not self.copy.needs_comparison
        )

    def _is_idle(self) -> bool:
        return self.copy.staging is None and self._transfer is None and not self._requests.pending

    def _is_behind(self) -> bool:
        return not self.copy.is_blocked() and (self._needs_transfer() or self.copy.is_lagging())

    def _needs_transfer(self) -> bool:
        return self.copy.needs_comparison or not self.copy.coverage.covers(self.subscription)

    def _start_catching_up(self, now_ms: float) -> None:
        """Starts or continues the pull or transfer that is needed to catch up."""
        copy = self.copy
        busy = self._transfer is not None or self._requests.pending or copy.is_blocked()
        if busy or now_ms < self._not_before:
            return
        if copy.staging is not None:
            if copy.staging.paged and not copy.staging.has_work:
                self._pull(now_ms, copy.staging.version, copy.staging.end)
        elif self._needs_transfer():
            self._start_transfer(now_ms)
        elif copy.is_lagging():
            self._pull(now_ms, copy.view.version + 1, m.START)

    def _pull(self, now_ms: float, min_version: int, start: m.Cursor) -> None:
        address = self._sources.select(now_ms, min_version)
        if address is None:
            return
        self._counts["pulled"] += 1
        current_version = self.copy.view.version
        generation = self.generation
        self._requests.send(
            now_ms, address, lambda number: m.Pull(number, generation, current_version, start)
        )

    def _start_transfer(self, now_ms: float) -> None:
        copy = self.copy
        newer_version = max(copy.view.version, copy.blocked_version) + 1
        address = self._sources.select(now_ms, newer_version) if copy.is_lagging() else None
        # Otherwise, any source that is not behind this copy and is past the blocked version.
        if address is None:
            address = self._sources.select(now_ms, max(copy.view.version, copy.blocked_version + 1))
        if address is None:
            return
        self._counts["transfers"] += 1
        self._transfer_number += 1
        self._transfer = Transfer(
            self._transfer_number,
            address,
            self.subscription,
            self._tables,
            copy.suspect_scopes,
            self._reusable,
        )
        self._reusable = {}
        self._request_digests(now_ms, self._transfer)

    def _continue_transfer(self, now_ms: float, transfer: Transfer) -> None:
        """Sends the next requests of the transfer, up to the limit on requests in flight."""
        in_flight = [type(request.message) for request in self._requests.pending.values()]
        if not transfer.compared_all and m.Compare not in in_flight:
            self._request_digests(now_ms, transfer)
        for _ in range(self._settings.max_fetches - len(in_flight)):
            if transfer.has_work or not transfer.has_wants:
                return
            self._request_records(now_ms, transfer)

    def _request_digests(self, now_ms: float, transfer: Transfer) -> None:
        number = transfer.number
        generation = self.generation
        after = transfer.compared_up_to
        self._requests.send(
            now_ms, transfer.address, lambda request: m.Compare(request, generation, number, after)
        )

    def _request_records(self, now_ms: float, transfer: Transfer) -> None:
        number = transfer.number
        wants = transfer.next_wants()
        self._requests.send(
            now_ms, transfer.address, lambda request: m.Fetch(request, number, wants)
        )

    def _abort_transfer(self) -> None:
        """Ends a transfer early, and keeps its verified scopes for the next one."""
        if self._transfer is not None:
            self._reusable = self._transfer.complete
            self._end_transfer(self._transfer)

    def _end_transfer(self, transfer: Transfer) -> None:
        self._transfer = None
        self._requests.cancel()
        self._outbox.send(transfer.address, m.EndTransfer(transfer.number))
