"""The source's side of a transfer by scopes: a view is transfer while a child compares digests with it and
fetches the scopes that differ. Pages are made of a place alone, so that a repeated request has the same
answer.
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
    """`number` is the child's; `view` is the one that it compares with from the first page to the last."""

    number: int
    generation: int
    view: View
    subscription: Subscription
    last_used_at: float


def digest_page(
    transfer: OpenTransfer, after: ScopeId, most: int
) -> tuple[tuple[ScopeDigest, ...], bool]:
    """The next subscribed scopes with their digests, and whether these are the last."""
    found: list[ScopeDigest] = []
    for scope_id in transfer.view.subscribed_after(transfer.subscription, after):
        if len(found) == most:
            return tuple(found), False
        found.append(ScopeDigest(*scope_id, transfer.view.digest(*scope_id)))
    return tuple(found), True


def record_page(
    transfer: OpenTransfer, wants: Sequence[Want], most: int
) -> tuple[tuple[ScopePage, ...], int]:
    """Records of the wanted scopes as far as a page holds, and their size."""
    parts: list[ScopePage] = []
    size = 0
    count = 0
    for want in wants:
        if not transfer.subscription.contains(want.table, want.scope):
            continue
        room = MAX_PAGE_CHANGES - count
        part, part_size = _scope_part(transfer.view, want, most - size, room, first=not parts)
        if parts and not part.records and not part.done:
            break
        parts.append(part)
        size = size + part_size
        count = count + len(part.records)
        if not part.done:
            break
    return tuple(parts), size


def _scope_part(
    view: View, want: Want, max_bytes: int, records_most: int, first: bool
) -> tuple[ScopePage, int]:
    """The first part of a page has one record at least, however large."""
    held = view.find(ScopeId(want.table, want.scope))
    records: list[tuple[str, str]] = []
    size = len(want.table) + len(want.scope) + RECORD_OVERHEAD_BYTES
    if held is None:
        return ScopePage(want.table, want.scope, (), True), size
    for name in held.names_after(want.after):
        value = held.records[name]
        size += len(name) + len(value) + RECORD_OVERHEAD_BYTES
        if (size > max_bytes or len(records) >= records_most) and (records or not first):
            return ScopePage(want.table, want.scope, tuple(records), False), size
        records.append((name, value))
    return ScopePage(want.table, want.scope, tuple(records), True), size
