"""The source's side of a transfer by scopes.

A view is kept while a child compares digests with it and fetches the scopes that differ. A page
follows from its position alone, so that a repeated request has the same answer.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from pumicenotch.distribution.data.records import RECORD_OVERHEAD_BYTES, ScopeId
from pumicenotch.distribution.data.subscription import Subscription
from pumicenotch.distribution.data.view import View
from pumicenotch.distribution.protocol.messages import (
    MAX_PAGE_CHANGES,
    ScopeDigest,
    ScopePage,
    Want,
)


@dataclass(slots=True)
class OpenTransfer:
    """A transfer to a child: `number` is the child's, `view` what it compares with throughout."""

    number: int
    generation: int
    view: View
    subscription: Subscription
    last_used_at: float


def digest_page(
    transfer: OpenTransfer, after: ScopeId, max_scopes: int
) -> tuple[tuple[ScopeDigest, ...], bool]:
    """Return the next subscribed scopes with their digests, and whether these are the last."""
    digests: list[ScopeDigest] = []
    for scope_id in transfer.view.subscribed_after(transfer.subscription, after):
        if len(digests) == max_scopes:
            return tuple(digests), False
        digests.append(ScopeDigest(*scope_id, transfer.view.digest(*scope_id)))
    return tuple(digests), True


def record_page(
    transfer: OpenTransfer, wants: Sequence[Want], max_bytes: int
) -> tuple[tuple[ScopePage, ...], int]:
    """Return records of the wanted scopes as far as a message holds them, and their size."""
    pages: list[ScopePage] = []
    size = 0
    count = 0
    for want in wants:
        if not transfer.subscription.contains(want.table, want.scope):
            continue
        max_records = MAX_PAGE_CHANGES - count
        page, page_size = _scope_page(
            transfer.view, want, max_bytes - size, max_records, first=not pages
        )
        if pages and not page.records and not page.done:
            break
        pages.append(page)
        size += page_size
        count += len(page.records)
        if not page.done:
            break
    return tuple(pages), size


def _scope_page(
    view: View, want: Want, max_bytes: int, max_records: int, first: bool
) -> tuple[ScopePage, int]:
    """Return a page of a scope; the first in a message has one record at least, however large."""
    scope = view.find(ScopeId(want.table, want.scope))
    records: list[tuple[str, str]] = []
    size = len(want.table) + len(want.scope) + RECORD_OVERHEAD_BYTES
    if scope is None:
        return ScopePage(want.table, want.scope, (), True), size
    for name in scope.names_after(want.after):
        value = scope.records[name]
        size += len(name) + len(value) + RECORD_OVERHEAD_BYTES
        if (size > max_bytes or len(records) >= max_records) and (records or not first):
            return ScopePage(want.table, want.scope, tuple(records), False), size
        records.append((name, value))
    return ScopePage(want.table, want.scope, tuple(records), True), size
