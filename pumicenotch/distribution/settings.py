"""The times and bounds of sources and replicas, in one place."""

from typing import NamedTuple

from pumicenotch.distribution.data.changelog import MAX_LOG_BYTES, MAX_LOG_ENTRIES
from pumicenotch.distribution.protocol.messages import MAX_PAGE_BYTES, MAX_PAGE_SCOPES

# A time that does not come.
NEVER = float("inf")


class Settings(NamedTuple):
    """What a process spends on distribution, and when it does what.

    Attributes:
        relays: relays of a zone.
        relay_linger_ms: how long a relay that is no longer among the first ones goes on.
        max_children: replicas that a source serves.
        settle_ms: after the start, unless enough peers are known before; then sources are chosen.
        avoid_ms: how long a source that failed is avoided, and by chance up to as much again.
        source_silent_ms: without a message for so long a source counts as failed.
        source_lag_ms: a source that others are ahead of for so long is left.
        min_leave_ms: the least time after which a source is left that others should replace.
        max_leave_ms: the most time after which it is.
        widen_ms: a relay waits so long for further children before it asks for their scopes.
        narrow_ms: it keeps scopes that no child needs any more for so long.
        child_silent_ms: without an acknowledgement for so long a child is dropped.
        announce_ms: the longest time between two announcements.
        min_announce_ms: the shortest time between two announcements of different versions.
        acknowledge_ms: the longest time between two acknowledgements.
        min_acknowledge_ms: the shortest, of a replica that serves nobody.
        aggregate_ms: the shortest, of one that serves others.
        roster_ms: the longest time between two rosters.
        progress_silent_ms: how long a voter's report counts.
        max_push_bytes: a larger delta is announced, and pulled in pages.
        page_bytes: of records in the answer to one request.
        page_scopes: digests in the answer to one comparison.
        push_window: versions that are pushed to a child without an acknowledgement.
        retry_ms: of a request without an answer, and by chance up to half as much again.
        max_retry_ms: the bound of its backoff.
        max_attempts: of one request; then another source is chosen.
        not_ready_ms: the retry-after of a relay whose scopes are on their way.
        missed_ms: a version that was announced and not pushed is pulled after that.
        max_fetches: requests in flight.
        max_transfers: transfers that a source serves at one time.
        transfer_idle_ms: after so long without a request a transfer is dropped.
        bytes_per_second: what a source sends in answer to pulls and transfers.
        bytes_burst: what it may send at once.
        busy_ms: the shortest retry-after of a busy source, and by chance up to as much again.
        max_log_versions: entries of the log of changes; replicas that miss more compare scopes.
        max_log_bytes: bytes of the log of changes.
        slice_changes: changes read, hashed and staged in one step: half a millisecond.
        slice_bytes: bytes pushed in one step.
        slice_children: children that a delta is pushed to in one step.
        slice_audit: records whose digests are computed in one step.
        max_queue_bytes: received pages that wait to be applied.
        audit_ms: between two scopes whose digest is computed.
    """

    relays: int = 3
    relay_linger_ms: float = 30_000.0
    max_children: int = 256
    settle_ms: float = 1_000.0
    avoid_ms: float = 1_000.0
    source_silent_ms: float = 5_000.0
    source_lag_ms: float = 3_000.0
    min_leave_ms: float = 5_000.0
    max_leave_ms: float = 20_000.0
    widen_ms: float = 200.0
    narrow_ms: float = 60_000.0
    child_silent_ms: float = 16_000.0

    announce_ms: float = 2_000.0
    min_announce_ms: float = 500.0
    acknowledge_ms: float = 5_000.0
    min_acknowledge_ms: float = 200.0
    aggregate_ms: float = 1_000.0
    roster_ms: float = 60_000.0
    progress_silent_ms: float = 16_000.0

    max_push_bytes: int = 16 * 1024
    page_bytes: int = MAX_PAGE_BYTES
    page_scopes: int = MAX_PAGE_SCOPES
    push_window: int = 64
    retry_ms: float = 400.0
    max_retry_ms: float = 1_000.0
    max_attempts: int = 3
    not_ready_ms: float = 300.0
    missed_ms: float = 250.0
    max_fetches: int = 4
    max_transfers: int = 32
    transfer_idle_ms: float = 10_000.0

    bytes_per_second: float = 4_000_000.0
    bytes_burst: float = 1_000_000.0
    busy_ms: float = 300.0

    max_log_versions: int = MAX_LOG_ENTRIES
    max_log_bytes: int = MAX_LOG_BYTES

    slice_changes: int = 32
    slice_bytes: int = 32 * 1024
    slice_children: int = 32
    slice_audit: int = 300
    max_queue_bytes: int = 256 * 1024
    audit_ms: float = 20_000.0


DEFAULTS = Settings()
