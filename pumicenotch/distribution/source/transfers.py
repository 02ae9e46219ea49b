"""The source's side of a transfer, which repairs a child's copy scope by scope.

The source keeps one view for the whole transfer, while the child compares its digests and fetches
the scopes that differ. The content of a page depends only on its position in that view, so that a
repeated request gets the same answer.
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
    """A transfer to a child.

    Attributes:
        number: the child's number of the transfer.
        generation: identifies the child's subscription at its start.
        view: the view that the child compares with, unchanged throughout the transfer.
        subscription: the scopes that are transferred.
        last_used_at: time of the last request, in milliseconds.
    """

    number: int
    generation: int
    view: View
    subscription: Subscription
    last_used_at: float


def digest_page(
    transfer: OpenTransfer, after: ScopeId, max_scopes: int
) -> tuple[tuple[ScopeDigest, ...], bool]:
    """Returns the digests of the next subscribed scopes, and whether these are the last ones."""
    digests: list[ScopeDigest] = []
    for scope_id in transfer.view.subscribed_after(transfer.subscription, after):
        if len(digests) == max_scopes:
            return tuple(digests), False
        digests.append(ScopeDigest(*scope_id, transfer.view.digest(*scope_id)))
    return tuple(digests), True


def record_page(
    transfer: OpenTransfer, wants: Sequence[Want], max_bytes: int
) -> tuple[tuple[ScopePage, ...], int]:
    """Returns the pages of the wanted scopes that fit into a message, and their size in bytes."""
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
    """Returns a page of a scope; the first one in a message has at least one record of any size."""
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
