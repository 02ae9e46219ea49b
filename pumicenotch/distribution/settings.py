"""The times and bounds of sources and replicas, in one place."""

from typing import NamedTuple

from pumicenotch.distribution.data.changelog import MAX_LOG_BYTES, MAX_LOG_ENTRIES
from pumicenotch.distribution.protocol.messages import MAX_PAGE_BYTES, MAX_PAGE_SCOPES

NEVER = float("inf")  # a time that does not come


class Settings(NamedTuple):
    # Relays and sources
    relays: int = 3  # of a zone
    relay_linger_ms: float = (
        30_000.0  # a relay that falls out of the first ones goes on for so long
    )
    children_most: int = 256
    settle_ms: float = 1_000.0  # after the start, unless enough peers are known before
    avoid_ms: float = (
        1_000.0  # a source that was silent or refused, and again by chance up to as much
    )
    source_silent_ms: float = 5_000.0  # without a message: another source is sought
    source_behind_ms: float = 3_000.0  # a source that others are ahead of for so long is left
    leave_least_ms: float = (
        5_000.0  # a source that others should serve now is left between these times
    )
    leave_most_ms: float = 20_000.0
    widen_ms: float = (
        200.0  # a relay waits so long for further children before it asks for their scopes
    )
    narrow_ms: float = 60_000.0  # and for so long keeps scopes that no child needs any more
    child_silent_ms: float = 16_000.0  # without an acknowledgement: the child is forgotten

    # Announcements and acknowledgements
    announce_ms: float = 2_000.0  # at the latest
    announce_least_ms: float = 500.0  # at the soonest, of another version
    acknowledge_ms: float = 5_000.0  # at the latest
    acknowledge_least_ms: float = 200.0  # at the soonest, from who serves nobody
    aggregate_ms: float = 1_000.0  # at the soonest, from who serves others

    roster_ms: float = 60_000.0  # at the latest, the names of those served
    progress_silent_ms: float = 16_000.0  # a voter's report counts for so long

    # Deltas and transfers
    push_bytes_most: int = 16 * 1024  # a larger delta is announced, and pulled in pages
    page_bytes: int = MAX_PAGE_BYTES  # of records in the answer to one request
    page_scopes: int = MAX_PAGE_SCOPES  # digests in the answer to one comparison
    push_window: int = 64  # versions pushed to a child and not acknowledged
    retry_ms: float = (
        400.0  # of a request without an answer, and again by chance up to half as much
    )
    retry_most_ms: float = 1_000.0
    tries_most: int = 3  # of one request, then another source is sought
    not_ready_ms: float = (
        300.0  # the time to come back that a relay tells whose scopes are on their way
    )
    missed_ms: float = 250.0  # a version that was announced and not pushed is pulled after that
    fetches_most: int = 4  # requests in flight
    transfers_most: int = 32  # that a source keeps at once
    transfer_idle_ms: float = 10_000.0

    # Admission: bytes that a source sends in answer to pulls and transfers
    bytes_per_second: float = 4_000_000.0
    bytes_burst: float = 1_000_000.0
    busy_ms: float = 300.0  # the shortest time to come back, and again by chance up to as much

    # The log of changes: whoever has missed more compares scopes
    log_versions_most: int = MAX_LOG_ENTRIES
    log_bytes_most: int = MAX_LOG_BYTES

    # Work in one step
    slice_changes: int = 32  # read, hashed and staged in half a millisecond
    slice_bytes: int = 32 * 1024
    slice_children: int = 32  # that a delta is pushed to
    slice_audit: int = 300  # records whose digests are made anew
    queue_bytes_most: int = 256 * 1024  # of received pages that wait to be applied
    audit_ms: float = 20_000.0  # between two scopes whose digest is made anew


DEFAULTS = Settings()
