"""The times and limits of sources and replicas."""

from typing import NamedTuple

from pumicenotch.distribution.data.changelog import MAX_LOG_BYTES, MAX_LOG_ENTRIES
from pumicenotch.distribution.protocol.messages import MAX_PAGE_BYTES, MAX_PAGE_SCOPES

# A time that is never reached, in milliseconds.
NEVER = float("inf")


class Settings(NamedTuple):
    """The times and limits of one process. Times are in milliseconds, sizes in bytes.

    Attributes:
        relays: number of relays of a zone.
        relay_linger_ms: time for which a relay with children continues after it was replaced.
        max_children: number of replicas that a source serves.
        settle_ms: time after the start at which sources are chosen, or earlier once the zone has
            enough known members.
        avoid_ms: shortest time for which a failed source is avoided, with up to 100 % jitter.
        source_silent_ms: time without a message after which a source is treated as failed.
        source_lag_ms: time for which a source may lag behind another one before it is left.
        min_leave_ms: shortest delay before a working source is left for a preferred one.
        max_leave_ms: longest delay before a working source is left for a preferred one.
        widen_ms: time for which a relay waits for further children before it subscribes to the
            scopes that they need.
        narrow_ms: interval at which a relay drops scopes that no child needs any more.
        child_silent_ms: time without a message after which a child is dropped.
        announce_ms: longest time between two announcements.
        min_announce_ms: shortest time between two announcements of different versions.
        acknowledge_ms: longest time between two acknowledgements.
        min_acknowledge_ms: shortest time between two acknowledgements of a replica without
            children.
        aggregate_ms: shortest time between two acknowledgements of a replica with children.
        roster_ms: longest time between two rosters.
        progress_silent_ms: time after which the last report of a voter is ignored.
        max_push_bytes: size of the largest delta that is pushed. Larger ones are announced, and
            pulled in pages.
        page_bytes: size of the records in the answer to one request.
        page_scopes: number of digests in the answer to one comparison.
        push_window: number of versions that are pushed to a child without an acknowledgement.
        retry_ms: first retry delay of a request without an answer, with up to 50 % jitter.
        max_retry_ms: longest retry delay, before jitter.
        max_attempts: number of attempts of one request before another source is chosen.
        not_ready_ms: shortest retry-after of a relay that does not have the scopes yet, with up to
            100 % jitter.
        missed_ms: time after which an announced version that was not pushed is pulled.
        max_fetches: number of requests in flight.
        max_transfers: number of transfers that a source serves at one time.
        transfer_idle_ms: time without a request after which a source drops a transfer.
        bytes_per_second: sustained rate at which a source answers pulls and transfers.
        bytes_burst: bytes that a source may send at once in answer to pulls and transfers.
        busy_ms: shortest retry-after of a busy source, with up to 100 % jitter.
        max_log_versions: number of entries in the change log. Replicas that missed more versions
            compare scopes.
        max_log_bytes: size of the change log.
        slice_changes: changes that are read, hashed and staged in one step; half a millisecond.
        slice_bytes: bytes that are pushed in one step.
        slice_children: number of children to which a delta is pushed in one step.
        slice_audit: number of records whose digests are computed in one step.
        max_queue_bytes: size of the received deltas that wait to be applied.
        audit_ms: time between the audits of two scopes.
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
